//! Authenticated connections (links) between the processes of an installation: frames over TCP with
//! heartbeats, call deadlines and reconnection, and UDP datagrams for messages that may be lost. See
//! docs/DESIGN.md, "Links".

mod activity;
mod client;
mod codec;
mod datagram;
mod handshake;
mod server;
mod tunnel;

pub use crate::adapters::revocable::Sending;
pub use client::{Link, LinkError};
pub use datagram::DatagramSocket;
pub use handshake::{Identity, PeerKey};
pub use server::{Handler, Peer, serve};
pub use tunnel::{Tunnel, TunnelError, TunnelHandler, open as open_tunnel, serve_tunnels};

use std::{io, time::Duration};

use tokio::net::TcpStream;
use tokio_util::codec::Framed;

use crate::adapters::{revocable::RevocableStream, tcp::set_write_options};

/// A connection whose opener can take back what it has sent.
type OpenedConnection = handshake::Connection<RevocableStream>;

/// Prepares an accepted TCP connection for frames. What it sends are answers, and those still arrive when it has ended.
fn accepted_stream(stream: TcpStream) -> io::Result<handshake::Connection<TcpStream>> {
    set_write_options(&stream)?;
    let watched = activity::Watched::new(stream);
    Ok(Framed::new(watched, codec::FrameCodec::new()))
}

/// Prepares a TCP connection that this process opened for frames.
fn opened_stream(stream: TcpStream) -> io::Result<OpenedConnection> {
    set_write_options(&stream)?;
    let watched = activity::Watched::new(RevocableStream::new(stream)?);
    Ok(Framed::new(watched, codec::FrameCodec::new()))
}

/// Returns an error once nothing was received for the silence timeout.
async fn wait_for_silence(activity: &activity::Activity, settings: &LinkSettings) -> io::Error {
    let mut timer = tokio::time::interval(settings.ping_interval);
    while activity.read_silence() < settings.silence_timeout {
        timer.tick().await;
    }
    io::ErrorKind::TimedOut.into()
}

/// Timeouts, reconnection delays and the queue size of links.
#[derive(Clone, Debug)]
pub struct LinkSettings {
    /// Maximum time for connecting and authenticating.
    pub connect_timeout: Duration,
    /// Interval at which the connecting side sends pings, the accepting side one if it has sent nothing else, and
    /// both sides check for silence.
    pub ping_interval: Duration,
    /// Time without a received byte, or without a byte written of a frame that waits, after which a side closes
    /// the connection; the connecting side then reconnects. A frame may take longer.
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
