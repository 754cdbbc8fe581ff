//! One connection to an upstream. Dropping it closes it.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::TcpStream,
    task::JoinHandle,
    time::{Instant, timeout},
};

use crate::ports::{Sent, UpstreamError, UpstreamErrorKind};

/// Idle time after which the kernel probes a connection.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
/// Time between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Unanswered probes after which a connection is dead.
const KEEPALIVE_PROBES: u32 = 3;
/// Time after which unacknowledged bytes make a connection dead.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(8);
/// Idle time after which a connection is not reused.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);

/// An open HTTP/1.1 connection.
#[derive(Debug)]
pub(super) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    last_used: Instant,
}

impl Connection {
    /// Connects. An error means that nothing was sent.
    pub(super) async fn open(address: SocketAddr, limit: Duration) -> Result<Self, UpstreamError> {
        let opened = timeout(limit, open(address)).await;
        match opened {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(e)) => Err(connect_error(address, &e.to_string())),
            Err(_) => Err(connect_error(address, "the connect timeout passed")),
        }
    }

    /// Waits until the connection can take a request; false if it is dead or idle for too long.
    pub(super) async fn is_usable(&mut self) -> bool {
        if self.sender.is_closed() || self.last_used.elapsed() > MAX_IDLE_TIME {
            return false;
        }
        self.sender.is_ready() || self.sender.ready().await.is_ok()
    }

    /// Returns whether the other side or an error has ended the connection.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Notes the end of an exchange, from which idle time is counted.
    pub(super) fn mark_used(&mut self) {
        self.last_used = Instant::now();
    }

    /// Sends a request and waits for the head of the answer.
    pub(super) async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, UpstreamError> {
        self.sender.try_send_request(req).await.map_err(|mut e| {
            // The request comes back only if the connection never began to write it.
            match e.take_message() {
                Some(_) => UpstreamError::new(
                    UpstreamErrorKind::Connect,
                    Sent::No,
                    format!(
                        "the connection was closed before the request: {}",
                        e.error()
                    ),
                ),
                None => UpstreamError::new(
                    UpstreamErrorKind::Cut,
                    Sent::Maybe,
                    format!("no answer before the connection ended: {}", e.error()),
                ),
            }
        })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn open(address: SocketAddr) -> anyhow::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    set_socket_options(&stream)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let task = tokio::spawn(async move {
        // The exchange gets the error too; a connection that ends while idle needs no report.
        let _ = connection.await;
    });
    sender.ready().await?;
    Ok(Connection {
        sender,
        task,
        last_used: Instant::now(),
    })
}

fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

fn connect_error(address: SocketAddr, reason: &str) -> UpstreamError {
    UpstreamError::new(
        UpstreamErrorKind::Connect,
        Sent::No,
        format!("no connection to {address}: {reason}"),
    )
}
