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
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(8);

/// Maximum bytes that the kernel holds unsent, so that a request whose rest is not read is soon seen to be
/// unwritten. Bytes that were sent and are not acknowledged are not limited by it.
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

/// Sends small writes at once and closes a connection whose peer is gone.
pub(crate) fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    if let Err(e) = socket.set_tcp_notsent_lowat(MAX_UNSENT_BYTES) {
        log::debug!("tcp: the kernel does not limit its unsent bytes: {e}.");
    }
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}
