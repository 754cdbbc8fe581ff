//! Authenticated connections (links) between the processes of an installation: frames over TCP with
//! heartbeats, call deadlines and reconnection, and UDP datagrams for messages that may be lost. See
//! docs/DESIGN.md, "Links".

mod client;
mod codec;
mod datagram;
mod handshake;
mod server;
mod tunnel;

pub use client::{Link, LinkError};
pub use datagram::DatagramSocket;
pub use handshake::{Identity, PeerKey};
pub use server::{Handler, Peer, serve};
pub use tunnel::{TunnelError, TunnelHandler, open as open_tunnel, serve_tunnels};

use std::time::Duration;

/// Timeouts, reconnection delays and the queue size of links.
#[derive(Clone, Debug)]
pub struct LinkSettings {
    /// Maximum time for connecting and authenticating.
    pub connect_timeout: Duration,
    /// Interval at which the connecting side sends pings and both sides check for silence.
    pub ping_interval: Duration,
    /// Time without a received frame after which a side closes the connection; the connecting side then
    /// reconnects.
    pub silence_timeout: Duration,
    /// Delay after the first failed connection attempt; it doubles per attempt up to
    /// `reconnect_delay_max`.
    pub reconnect_delay_min: Duration,
    /// Maximum delay between connection attempts.
    pub reconnect_delay_max: Duration,
    /// Number of frames that can be queued for writing on one connection.
    pub queue_capacity: usize,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            ping_interval: Duration::from_millis(300),
            silence_timeout: Duration::from_millis(1000),
            reconnect_delay_min: Duration::from_millis(20),
            reconnect_delay_max: Duration::from_millis(500),
            queue_capacity: 4096,
        }
    }
}
