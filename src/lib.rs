//! Flamingocroft serves language models and plain services on reclaimable instances.
//!
//! docs/DESIGN.md describes the components and their guarantees.

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

/// A role that was started in this process.
#[derive(Debug)]
pub struct RunningRole {
    /// Where HTTP is served, with the port that was bound if the settings have port zero.
    pub http_address: std::net::SocketAddr,
    /// Where other processes connect.
    pub peer_address: std::net::SocketAddr,
    /// Completes when the role has stopped.
    pub task: tokio::task::JoinHandle<anyhow::Result<()>>,
}
