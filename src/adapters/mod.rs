//! Implementations of the ports: HTTP, disk and clocks.

mod clock;
pub mod disk;
pub(crate) mod http;
pub(crate) mod revocable;
pub(crate) mod tcp;

pub use clock::SystemClock;
pub use http::{
    CallerBody, EndCause, HttpCloud, HttpUpstreams, HttpWeights, Observer, ServerOptions, serve,
};
pub use tcp::TcpDialer;
