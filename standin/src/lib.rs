//! Stand-ins for the external systems of flamingocroft: model engines, plain services, the cloud API
//! and the weight store. Each counts what it executed, and faults are injected by parameters.
//! standin/README.md describes the protocol.
//!
//! The servers use hyper rather than warp, because a warp handler can neither close a connection
//! without a response nor stall in the middle of one.

pub mod cloud;
pub mod engine;
mod faults;
mod http;
mod lagged;
pub mod service;
pub mod weights;

pub use faults::Faults;
