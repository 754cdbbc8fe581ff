//! HTTP clients for upstreams, the cloud API and the weight store, and a small HTTP server.
//!
//! The client never retries a request. A connection serves one exchange at a time and is reused only after a request that
//! was wholly written before its response, which was read to its end; see docs/DESIGN.md.

mod caller;
mod client;
mod cloud;
mod connection;
mod connections;
mod early_end;
mod events;
mod framing;
mod generation;
mod json_items;
mod memory;
mod messages;
mod panics;
mod pool;
mod server;
mod tracked_stream;
mod upstreams;
mod weights;

pub use caller::CallerBody;
pub(crate) use client::{
    Client, Exchange, FullResponse, PooledConnection, Reuse, UNREAD_REQUEST, Way, cut_error,
    get_request, is_final_status, post_request,
};
pub use cloud::HttpCloud;
pub(crate) use early_end::no_observer;
pub use early_end::{EndCause, Observer};
pub(crate) use framing::{Framing, end_with_connection};
pub(crate) use json_items::read_json_items;
pub use memory::RequestMemory;
pub(crate) use memory::{BodyLimits, CollectError};
pub(crate) use server::{EndsWithConnection, RespondBy};
pub use server::{ServerOptions, serve};
pub use upstreams::HttpUpstreams;
pub use weights::HttpWeights;
