//! An HTTP/1.1 connection to an upstream, which is closed when dropped.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    task::JoinHandle,
    time::{Instant, timeout},
};

use crate::ports::{Dialer, Sent, UpstreamError, UpstreamErrorKind};

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
    /// Speaks HTTP over an open connection.
    pub(super) async fn over(
        io: impl AsyncRead + AsyncWrite + Send + Unpin + 'static,
    ) -> hyper::Result<Self> {
        let (mut sender, connection) = http1::handshake(TokioIo::new(io)).await?;
        let task = tokio::spawn(async move {
            // The exchange reports the error as well, and an idle connection that ends is not an error.
            let _ = connection.await;
        });
        sender.ready().await?;
        Ok(Self {
            sender,
            task,
            last_used: Instant::now(),
        })
    }

    /// Connects within a time limit. An error means that no request was sent.
    pub(super) async fn open(
        dialer: &dyn Dialer,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<Self, UpstreamError> {
        let opened = timeout(limit, open(dialer, address)).await;
        match opened {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(e)) => Err(connect_error(address, &e.to_string())),
            Err(_) => Err(connect_error(address, "the connect timeout passed")),
        }
    }

    /// Waits until the connection can accept a request. Returns false if it is closed or was idle for too
    /// long.
    pub(super) async fn is_usable(&mut self) -> bool {
        if self.sender.is_closed() || self.last_used.elapsed() > MAX_IDLE_TIME {
            return false;
        }
        self.sender.is_ready() || self.sender.ready().await.is_ok()
    }

    /// Returns whether the peer or an error has closed the connection.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Records the end of an exchange, from which the idle time counts.
    pub(super) fn mark_used(&mut self) {
        self.last_used = Instant::now();
    }

    /// Sends a request and waits for the response head.
    pub(super) async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, UpstreamError> {
        self.sender.try_send_request(req).await.map_err(|mut e| {
            // hyper hands the request back only if it never began to write it.
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

async fn open(dialer: &dyn Dialer, address: SocketAddr) -> anyhow::Result<Connection> {
    Ok(Connection::over(dialer.dial(address).await?).await?)
}

pub(super) fn connect_error(address: SocketAddr, reason: &str) -> UpstreamError {
    UpstreamError::new(
        UpstreamErrorKind::Connect,
        Sent::No,
        format!("no connection to {address}: {reason}"),
    )
}
