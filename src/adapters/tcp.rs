//! TCP connections with the options that all connections to upstreams have.

use std::{io, net::SocketAddr, time::Duration};

use futures_util::future::BoxFuture;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use crate::ports::Dialer;

/// Idle time after which the kernel sends keepalive probes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
/// Interval between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Number of unanswered keepalive probes after which the kernel closes the connection.
const KEEPALIVE_PROBES: u32 = 3;
/// `TCP_USER_TIMEOUT`: the kernel closes the connection if sent bytes or keepalive probes stay unacknowledged this long.
pub(super) const TCP_USER_TIMEOUT: Duration = Duration::from_secs(8);

/// Maximum bytes that the kernel holds unsent. Without a limit it takes megabytes at once, which hides for seconds whether
/// a slow network or a peer that does not read still makes progress, and puts small messages behind them. Bytes that were
/// sent and are not acknowledged are not limited by it.
const MAX_UNSENT_BYTES: u32 = 32 * 1024;

/// Opens connections over the network.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpDialer;

impl Dialer for TcpDialer {
    fn dial(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<TcpStream>> {
        Box::pin(async move {
            let stream = TcpStream::connect(address).await?;
            set_socket_options(&stream)?;
            Ok(stream)
        })
    }
}

/// Sends small writes at once and limits the bytes that the kernel holds unsent.
pub(crate) fn set_write_options(stream: &TcpStream) -> io::Result<()> {
    if let Err(e) = SockRef::from(stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES) {
        log::debug!("tcp: the kernel does not limit its unsent bytes: {e}.");
    }
    stream.set_nodelay(true)
}

/// Sets the write options, and closes a connection whose peer is gone.
pub(crate) fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    set_write_options(stream)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}
