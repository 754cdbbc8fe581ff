//! HTTP towards upstreams, the cloud API and the weight store.
//!
//! No request is ever sent again from here. A connection serves one exchange at a time, and one
//! whose answer was not read to its end is closed; see docs/DESIGN.md.

mod caller;
mod client;
mod cloud;
mod connection;
mod events;
mod generation;
mod messages;
mod pool;
mod server;
mod upstreams;
mod weights;

pub(crate) use client::{
    Client, PooledConnection, Reuse, StreamingResponse, get_request, post_request,
};
pub use cloud::HttpCloud;
pub use server::{ServerOptions, serve};
pub use upstreams::HttpUpstreams;
pub use weights::HttpWeights;
