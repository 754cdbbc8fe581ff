//! Flamingocroft serves language models and plain services on reclaimable instances.
//!
//! The parts and their promises are described in docs/DESIGN.md.

pub mod adapters;
pub mod cmd;
pub mod controller;
pub mod daemon;
pub mod domain;
pub mod gateway;
pub mod ingress;
pub mod link;
pub mod operator;
pub mod platform;
pub mod policy;
pub mod ports;
pub mod replication;
pub mod settings;
pub mod state;
pub mod telemetry;
pub mod wire;

/// A started role.
#[derive(Debug)]
pub struct RunningRole {
    /// Where HTTP is served; the port is the one taken if the settings say zero.
    pub http_address: std::net::SocketAddr,
    /// Where other processes connect.
    pub peer_address: std::net::SocketAddr,
    /// Ends when the role has stopped.
    pub task: tokio::task::JoinHandle<anyhow::Result<()>>,
}
