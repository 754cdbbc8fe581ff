//! Small stand-ins for what flamingocroft meets outside: model engines, plain services, the cloud
//! API and the weight store. Each one counts what it really executed, and its faults are plain
//! parameters. standin/README.md describes the protocol.
//!
//! They are served by hyper in place of warp, because a handler of warp can neither close a
//! connection without an answer nor fall silent in the middle of one.

pub mod cloud;
pub mod engine;
mod faults;
mod http;
mod lagged;
pub mod service;
pub mod weights;

pub use faults::Faults;
