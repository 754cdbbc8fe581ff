//! An HTTP client that sends one request per exchange over pooled connections and never retries.

use std::{
    ops::RangeInclusive,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    body::Incoming,
    header::{self, HeaderValue},
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    time::{Instant, sleep, timeout_at},
};

use super::{
    connection::{Connection, connect_error},
    framing::Framing,
    messages::{ErrorReply, error_kind},
    pool::{IdleConnections, Pool},
};
use crate::{
    adapters::{revocable::Sending, tcp::TcpDialer},
    ports::{Dialer, SendRight, Sent, Target, UpstreamError, UpstreamErrorKind},
};

/// Maximum size of a response body that is buffered, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Interval at which it is checked whether the right to make a call still lasts.
const RIGHT_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Why a response that ends with its connection is not complete.
pub(crate) const UNREAD_REQUEST: &str =
    "the upstream ended the connection before it had taken the whole request";
/// Statuses that a final response may have; informational ones come before it.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Returns whether a status is one that a final response may have.
pub(crate) fn is_final_status(status: StatusCode) -> bool {
    FINAL_STATUSES.contains(&status.as_u16())
}

/// Whether a request may be sent over an idle pooled connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reuse {
    /// An idle connection may be reused. If the peer has closed it unnoticed, the request fails.
    Allowed,
    /// A new connection is opened, so that a dead pooled one cannot leave the outcome unknown.
    Forbidden,
}

/// How a connection reaches its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Way {
    /// From this process.
    Direct,
    /// Through another gateway.
    Tunnel,
}

/// An HTTP client with a connection pool.
#[derive(Debug)]
pub(crate) struct Client {
    pool: Pool,
    tunnels: Pool,
    dialer: Arc<dyn Dialer>,
    connect_timeout: Duration,
    opened: AtomicU64,
    reused: AtomicU64,
}

/// A response whose body is not read yet, with its connection.
#[derive(Debug)]
pub(crate) struct StreamingResponse {
    pub(crate) res: Response<Incoming>,
    pub(crate) connection: PooledConnection,
}

/// A request on its connection, whose response is awaited. Dropping it resets the connection, so that a request that has not
/// arrived never does.
pub(crate) struct Exchange {
    connection: PooledConnection,
    response: BoxFuture<'static, Result<Response<Incoming>, UpstreamError>>,
    deadline: Instant,
}

/// A connection in use. Dropping it resets it, unless it is returned to the pool.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    connection: Connection,
    idle: Arc<IdleConnections>,
    reused: bool,
    way: Way,
}

impl PooledConnection {
    /// Returns how the connection reaches its upstream.
    pub(crate) fn way(&self) -> Way {
        self.way
    }

    /// Returns whether a response with a status may be complete when only the end of the connection shows its end: a success
    /// is none before the upstream has taken the whole request, while it may refuse a request that it has not read.
    pub(crate) fn may_end_response(&self, status: StatusCode) -> bool {
        !status.is_success() || self.connection.has_written()
    }

    /// Starts to send a request whose response is awaited until the deadline.
    pub(crate) fn start(self, req: Request<Full<Bytes>>, deadline: Instant) -> Exchange {
        self.start_while(req, Arc::new(deadline), deadline)
    }

    /// Like [`Self::start`], for a request that may be sent only while a right lasts.
    fn start_while(
        mut self,
        req: Request<Full<Bytes>>,
        right: Arc<dyn SendRight>,
        deadline: Instant,
    ) -> Exchange {
        Exchange {
            response: Box::pin(self.connection.send(req, right)),
            connection: self,
            deadline,
        }
    }

    /// Keeps the connection for reuse if its request was wholly written before the response, which must have been read to
    /// its end.
    pub(crate) fn return_to_pool(self) {
        self.idle.put(self.connection);
    }

    /// Returns an error for a connection that went silent.
    pub(crate) fn silence_error(&self, message: &str) -> UpstreamError {
        self.record_silence();
        UpstreamError::new(UpstreamErrorKind::Silent, Sent::Maybe, message)
    }

    /// Closes the idle connections to the target if this one was among them: the cause of its silence may affect them as
    /// well.
    pub(crate) fn record_silence(&self) {
        if self.reused {
            self.idle.clear();
        }
    }
}

impl Exchange {
    /// Waits for the head of the response until the deadline. The wait can be dropped and begun again.
    pub(crate) async fn response(&mut self) -> Result<Response<Incoming>, UpstreamError> {
        match timeout_at(self.deadline, &mut self.response).await {
            Ok(result) => result,
            Err(_) => Err(self
                .connection
                .silence_error("no answer before the deadline")),
        }
    }

    /// Waits for the head of the response until the deadline, and returns it with its connection.
    pub(crate) async fn await_response(mut self) -> Result<StreamingResponse, UpstreamError> {
        let res = self.response().await?;
        Ok(self.into_streaming(res))
    }

    /// Returns the response with the connection on which its body follows.
    pub(crate) fn into_streaming(self, res: Response<Incoming>) -> StreamingResponse {
        StreamingResponse {
            res,
            connection: self.connection,
        }
    }

    /// Returns the connection, on which the body of the response follows.
    pub(crate) fn into_connection(self) -> PooledConnection {
        self.connection
    }

    /// Returns the connection.
    pub(crate) fn connection(&self) -> &PooledConnection {
        &self.connection
    }
}

/// A response with its complete body.
#[derive(Debug)]
pub(crate) struct FullResponse {
    pub(super) framing: Framing,
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

impl Client {
    /// Creates a client without open connections.
    pub(crate) fn new(connect_timeout: Duration) -> Self {
        Self::with_dialer(connect_timeout, Arc::new(TcpDialer))
    }

    /// Creates a client that opens its connections with a dialer.
    pub(crate) fn with_dialer(connect_timeout: Duration, dialer: Arc<dyn Dialer>) -> Self {
        Self {
            pool: Pool::default(),
            tunnels: Pool::default(),
            dialer,
            connect_timeout,
            opened: AtomicU64::new(0),
            reused: AtomicU64::new(0),
        }
    }

    /// Removes all targets for which `is_kept` is false and closes their idle connections.
    pub(crate) fn retain(&self, is_kept: impl Fn(&Target) -> bool) {
        self.pool.retain(&is_kept);
        self.tunnels.retain(is_kept);
    }

    /// Closes the idle connections of one way to the targets for which `is_closed` is true. Those in use are closed
    /// after their exchange.
    pub(crate) fn close_idle(&self, way: Way, is_closed: impl Fn(&Target) -> bool) {
        self.pool_of(way).retain(|target| !is_closed(target));
    }

    fn pool_of(&self, way: Way) -> &Pool {
        match way {
            Way::Direct => &self.pool,
            Way::Tunnel => &self.tunnels,
        }
    }

    /// Returns the number of connections opened so far.
    pub(crate) fn connections_opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    /// Returns how often an idle connection was reused so far.
    pub(crate) fn connections_reused(&self) -> u64 {
        self.reused.load(Ordering::Relaxed)
    }

    /// Sends a request once and returns the response when its head has arrived.
    pub(crate) async fn exchange(
        &self,
        target: &Target,
        req: Request<Full<Bytes>>,
        reuse: Reuse,
        deadline: Instant,
    ) -> Result<StreamingResponse, UpstreamError> {
        let connection = self.connect(target, reuse, deadline).await?;
        connection.start(req, deadline).await_response().await
    }

    /// Sends a request once and reads the complete response.
    pub(crate) async fn fetch(
        &self,
        target: &Target,
        req: Request<Full<Bytes>>,
        reuse: Reuse,
        deadline: Instant,
    ) -> Result<FullResponse, UpstreamError> {
        let response = self.exchange(target, req, reuse, deadline).await?;
        response.read_body(deadline).await
    }

    /// Sends a request once, while a right lasts, and reads the complete response.
    pub(crate) async fn fetch_while(
        &self,
        target: &Target,
        req: Request<Full<Bytes>>,
        right: Arc<dyn SendRight>,
        deadline: Instant,
    ) -> Result<FullResponse, UpstreamError> {
        let lost = async {
            loop {
                match right.time_left() {
                    Duration::ZERO => return,
                    left => sleep(left.min(RIGHT_CHECK_INTERVAL)).await,
                }
            }
        };
        let fetched = async {
            let connection = self.connect(target, Reuse::Allowed, deadline).await?;
            let exchange = connection.start_while(req, Arc::clone(&right), deadline);
            exchange.await_response().await?.read_body(deadline).await
        };
        tokio::select! {
            biased;
            () = lost => Err(UpstreamError::new(
                UpstreamErrorKind::Silent,
                Sent::Maybe,
                "no answer while the right to make the call lasted",
            )),
            result = fetched => result,
        }
    }

    /// Sends an idempotent request and decodes the JSON body of its response.
    pub(crate) async fn fetch_json<T: DeserializeOwned>(
        &self,
        target: &Target,
        req: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<T, UpstreamError> {
        let response = self.fetch(target, req, Reuse::Allowed, deadline).await?;
        response.error_for_status()?.json()
    }

    /// Takes an idle connection or opens a new one. An error means that nothing was sent.
    pub(crate) async fn connect(
        &self,
        target: &Target,
        reuse: Reuse,
        deadline: Instant,
    ) -> Result<PooledConnection, UpstreamError> {
        if reuse == Reuse::Allowed
            && let Some(connection) = self.take_idle(target, Way::Direct)
        {
            return Ok(connection);
        }
        let limit = deadline.saturating_duration_since(Instant::now());
        let limit = limit.min(self.connect_timeout);
        let connection = Connection::open(&*self.dialer, target.address, limit).await?;
        Ok(self.opened(target, Way::Direct, connection))
    }

    /// Takes an idle connection of one way to a target.
    pub(crate) fn take_idle(&self, target: &Target, way: Way) -> Option<PooledConnection> {
        let idle = self.pool_of(way).idle_connections(target);
        while let Some(connection) = idle.take() {
            if connection.is_usable() {
                self.reused.fetch_add(1, Ordering::Relaxed);
                return Some(PooledConnection {
                    connection,
                    idle,
                    reused: true,
                    way,
                });
            }
        }
        None
    }

    /// Uses a tunnel to a target for HTTP; its bytes can be taken back through `sending`. An error means that nothing was
    /// sent.
    pub(crate) async fn connect_over(
        &self,
        target: &Target,
        tunnel: impl AsyncRead + AsyncWrite + Send + Unpin + 'static,
        sending: Sending,
    ) -> Result<PooledConnection, UpstreamError> {
        let connection = Connection::over(tunnel, sending).await;
        let connection = connection.map_err(|e| connect_error(target.address, &e.to_string()))?;
        Ok(self.opened(target, Way::Tunnel, connection))
    }

    fn opened(&self, target: &Target, way: Way, connection: Connection) -> PooledConnection {
        self.opened.fetch_add(1, Ordering::Relaxed);
        PooledConnection {
            connection,
            idle: self.pool_of(way).idle_connections(target),
            reused: false,
            way,
        }
    }
}

impl StreamingResponse {
    /// Reads the complete body and returns the connection to the pool.
    pub(crate) async fn read_body(self, deadline: Instant) -> Result<FullResponse, UpstreamError> {
        let (head, body) = self.res.into_parts();
        let framing = Framing::of(&head, &body);
        let body = Limited::new(body, MAX_RESPONSE_BYTES);
        let collected = timeout_at(deadline, body.collect()).await;
        let body = match collected {
            Ok(Ok(_))
                if framing == Framing::Connection
                    && !self.connection.may_end_response(head.status) =>
            {
                return Err(cut_error(UNREAD_REQUEST));
            }
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) => return Err(cut_error(&e.to_string())),
            Err(_) => {
                return Err(self
                    .connection
                    .silence_error("the answer stopped in its middle"));
            }
        };
        self.connection.return_to_pool();
        Ok(FullResponse {
            framing,
            status: head.status,
            headers: head.headers,
            body,
        })
    }
}

impl FullResponse {
    /// Returns an error unless the status is a success.
    pub(crate) fn error_for_status(self) -> Result<Self, UpstreamError> {
        if self.status.is_success() {
            Ok(self)
        } else {
            Err(self.into_error())
        }
    }

    /// Converts an error response into an error.
    pub(super) fn into_error(self) -> UpstreamError {
        let reply: Option<ErrorReply> = serde_json::from_slice(&self.body).ok();
        let kind = error_kind(self.status, reply.as_ref());
        let message = match reply {
            Some(reply) => format!("{}: {}", self.status, reply.error.message),
            None => self.status.to_string(),
        };
        UpstreamError::new(kind, Sent::Maybe, message)
    }

    /// Returns the body.
    pub(crate) fn into_body(self) -> Bytes {
        self.body
    }

    /// Decodes the body as JSON.
    pub(super) fn json<T: DeserializeOwned>(&self) -> Result<T, UpstreamError> {
        serde_json::from_slice(&self.body)
            .map_err(|e| protocol_error(format!("the answer is not the expected JSON: {e}")))
    }
}

/// Builds a `GET` request without a body.
pub(crate) fn get_request(
    target: &Target,
    path: &str,
) -> Result<Request<Full<Bytes>>, UpstreamError> {
    build_request(target, Method::GET, path, None, Bytes::new())
}

/// Builds a `POST` request with a JSON body.
pub(crate) fn post_request(
    target: &Target,
    path: &str,
    body: &impl Serialize,
) -> Result<Request<Full<Bytes>>, UpstreamError> {
    let body = serde_json::to_vec(body).map_err(|e| rejected_error(e.to_string()))?;
    let kind = HeaderValue::from_static("application/json");
    build_request(target, Method::POST, path, Some(kind), body.into())
}

/// Builds a request to a target.
pub(crate) fn build_request(
    target: &Target,
    method: Method,
    path: &str,
    content_type: Option<HeaderValue>,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, UpstreamError> {
    let mut req = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, target.address.to_string())
        .body(Full::new(body))
        .map_err(|e| rejected_error(e.to_string()))?;
    if let Some(kind) = content_type {
        req.headers_mut().insert(header::CONTENT_TYPE, kind);
    }
    Ok(req)
}

/// Returns an error for an invalid request that was not sent.
pub(super) fn rejected_error(message: String) -> UpstreamError {
    UpstreamError::new(UpstreamErrorKind::Rejected, Sent::No, message)
}

/// Returns an error for a response that violates the protocol.
pub(super) fn protocol_error(message: String) -> UpstreamError {
    UpstreamError::new(UpstreamErrorKind::Protocol, Sent::Maybe, message)
}

/// Returns an error for a connection that ended before the response was complete.
pub(crate) fn cut_error(message: &str) -> UpstreamError {
    UpstreamError::new(UpstreamErrorKind::Cut, Sent::Maybe, message)
}
