//! Authenticated links between the system's own processes: frames over TCP, with heartbeats,
//! deadlines and reconnection, and datagrams for what may be lost. See docs/DESIGN.md, "Links".

mod client;
mod codec;
mod datagram;
mod handshake;
mod server;

pub use client::{Link, LinkError};
pub use datagram::DatagramSocket;
pub use handshake::{Identity, PeerKey};
pub use server::{Handler, Peer, serve};

use std::time::Duration;

/// Timing of links.
#[derive(Clone, Debug)]
pub struct LinkSettings {
    /// Longest time to connect and authenticate.
    pub connect_timeout: Duration,
    /// Silence after which a side sends a ping.
    pub ping_interval: Duration,
    /// Silence after which a connection is closed and made anew.
    pub silence_timeout: Duration,
    /// Delay before a broken connection is made anew; doubled up to `reconnect_delay_max`.
    pub reconnect_delay_min: Duration,
    /// Longest delay between attempts.
    pub reconnect_delay_max: Duration,
    /// Frames that may wait to be written.
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
