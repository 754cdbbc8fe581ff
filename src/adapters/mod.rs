//! The outside of the ports: HTTP, disk and clocks.

mod clock;
pub mod disk;
mod http;

pub use clock::SystemClock;
pub use http::{HttpCloud, HttpUpstreams, HttpWeights};
