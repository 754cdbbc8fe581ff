//! Flamingocroft serves language models and plain services on reclaimable instances.
//!
//! The parts and their promises are described in docs/DESIGN.md.

pub mod adapters;
pub mod cmd;
pub mod controller;
pub mod domain;
pub mod gateway;
pub mod link;
pub mod policy;
pub mod ports;
pub mod replication;
pub mod settings;
pub mod state;
pub mod telemetry;
pub mod wire;
