//! Implementations of the ports: HTTP, disk and clocks.

mod clock;
pub mod disk;
pub(crate) mod http;
pub(crate) mod tcp;

pub use clock::SystemClock;
pub use http::{HttpCloud, HttpUpstreams, HttpWeights};
pub use tcp::TcpDialer;
