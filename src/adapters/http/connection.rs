//! An HTTP/1.1 connection to an upstream. Dropped within an exchange it is reset, and otherwise closed in order.

use std::{net::SocketAddr, sync::Arc, time::Duration};

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
    sync::watch,
    task::JoinHandle,
    time::{Instant, timeout},
};

use super::{
    client::protocol_error,
    tracked_stream::{RequestProgress, TrackedStream},
};
use crate::{
    adapters::revocable::{RevocableStream, Sending},
    ports::{Dialer, SendRight, Sent, UpstreamError, UpstreamErrorKind},
};

/// Idle time after which a connection is not reused.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);

/// Time that hyper may take to make a connection ready after the last byte of a response.
const READY_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that an upstream may take to read the rest of a request that it has answered. The kernel ends the connection earlier if
/// nothing of it is read.
const REST_TIMEOUT: Duration = Duration::from_secs(30);

/// Size of the read buffer, in bytes. It bounds the head of a response, and what a connection holds of a body while its caller
/// reads nothing.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// An open HTTP/1.1 connection.
#[derive(Debug)]
pub(super) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    progress: watch::Receiver<RequestProgress>,
    sending: Sending,
    task: JoinHandle<()>,
    last_used: Instant,
}

impl Connection {
    /// Speaks HTTP over an open connection, whose bytes can be taken back through `sending`.
    pub(super) async fn over(
        io: impl AsyncRead + AsyncWrite + Send + Unpin + 'static,
        sending: Sending,
    ) -> hyper::Result<Self> {
        let (io, progress) = TrackedStream::new(io, sending.clone());
        let (mut sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(io))
            .await?;
        let task = tokio::spawn(async move {
            // The exchange reports the error as well, and an idle connection that ends is not an error.
            let _ = connection.await;
        });
        sender.ready().await?;
        Ok(Self {
            sender,
            progress,
            sending,
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

    /// Returns whether the connection can accept a request at once: it is open, was not idle for too long, and its last
    /// exchange is complete in both directions.
    pub(super) fn is_usable(&self) -> bool {
        self.last_used.elapsed() <= MAX_IDLE_TIME && self.is_ready()
    }

    fn is_ready(&self) -> bool {
        !self.sender.is_closed() && self.sender.is_ready() && !self.answered_early()
    }

    /// Returns whether a response began before its request was wholly written. Such a connection is not reused, because
    /// the upstream may leave the rest unread for any time, also bytes that the kernel has taken.
    pub(super) fn answered_early(&self) -> bool {
        self.progress.borrow().answered_early
    }

    /// Returns whether the kernel, or the tunnel, has taken all bytes of the last request.
    pub(super) fn has_written(&self) -> bool {
        self.progress.borrow().written
    }

    /// Waits a bounded time until the connection can accept a request after a complete exchange; returns false if it
    /// cannot.
    pub(super) async fn wait_until_ready(&mut self) -> bool {
        matches!(
            timeout(READY_TIMEOUT, self.sender.ready()).await,
            Ok(Ok(()))
        ) && self.is_ready()
    }

    /// Writes the rest of a request that was answered early, for a bounded time, and closes the connection.
    pub(super) async fn finish_request(mut self) {
        let written = self.progress.wait_for(|progress| progress.written);
        match timeout(REST_TIMEOUT, written).await {
            Ok(Ok(_)) => {}
            Ok(Err(_)) => log::debug!(
                "http: an upstream closed its connection before it read a request that it had answered."
            ),
            Err(_) => log::debug!(
                "http: an upstream did not read a request that it had answered; its connection is closed."
            ),
        }
    }

    /// Returns whether the peer or an error has closed the connection.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Records the end of an exchange, from which the idle time counts.
    pub(super) fn mark_used(&mut self) {
        self.last_used = Instant::now();
    }

    /// Marks that the exchange ended well. What is left of its request may still arrive.
    pub(super) fn settle(&self) {
        self.sending.settle();
    }

    /// Sends a request while the right lasts and waits for the response head. The connection must outlive the returned future.
    pub(super) fn send(
        &mut self,
        req: Request<Full<Bytes>>,
        right: Arc<dyn SendRight>,
    ) -> impl Future<Output = Result<Response<Incoming>, UpstreamError>> + Send + use<> {
        self.sending.begin(right);
        let response = self.sender.try_send_request(req);
        async {
            response.await.map_err(|mut e| {
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
                    None if e.error().is_parse() => {
                        protocol_error(format!("the answer is not HTTP: {}", e.error()))
                    }
                    None => UpstreamError::new(
                        UpstreamErrorKind::Cut,
                        Sent::Maybe,
                        format!("no answer before the connection ended: {}", e.error()),
                    ),
                }
            })
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn open(dialer: &dyn Dialer, address: SocketAddr) -> anyhow::Result<Connection> {
    let stream = RevocableStream::new(dialer.dial(address).await?)?;
    let sending = stream.sending();
    Ok(Connection::over(stream, sending).await?)
}

pub(super) fn connect_error(address: SocketAddr, reason: &str) -> UpstreamError {
    UpstreamError::new(
        UpstreamErrorKind::Connect,
        Sent::No,
        format!("no connection to {address}: {reason}"),
    )
}
