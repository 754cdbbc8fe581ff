//! An HTTP/1.1 server for interfaces that need raw paths, streamed bodies or control over each connection.

use std::{convert::Infallible, error::Error, future::Future, io, sync::Arc, time::Duration};

use hyper::{
    Request, Response,
    body::{Body, Incoming},
    header::{self, HeaderValue},
    server::conn::http1,
    service::{Service, service_fn},
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{Instant, timeout},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use super::{
    caller::{CallerBody, CallerStream, GuardedBody, Progress},
    connections::Connections,
    early_end::{EndCause, Observer},
    framing::end_with_connection,
    panics::call_catching_panics,
};

/// Delay after a failed `accept`, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Minimum read buffer size that hyper accepts, in bytes.
const MIN_HYPER_BUFFER_BYTES: usize = 8192;

/// Extension of a response without a known end: it is sent without a length or chunks, and ends with its connection.
/// If it breaks off, the connection is reset.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndsWithConnection;

/// Extension of a response that has a deadline: its connection is closed if the caller does not take the response within
/// the idle timeout after it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RespondBy(pub(crate) Instant);

/// Limits on the connections of a server.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// Maximum time that a connection stays open without a byte of a request, and that a caller may take no byte of a
    /// response.
    pub idle_timeout: Duration,
    /// Maximum time from the first to the last byte of a request head.
    pub head_timeout: Duration,
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum number of open connections. Over it one that is in no request is closed for a new one.
    pub max_connections: usize,
    /// Maximum time for open connections to finish on shutdown; the rest are closed.
    pub drain_timeout: Duration,
    /// Time after which a connection is closed if the caller acknowledges no data or keepalive probe.
    pub tcp_user_timeout: Option<Duration>,
}

impl Default for ServerOptions {
    fn default() -> Self {
        Self {
            idle_timeout: Duration::from_secs(15),
            head_timeout: Duration::from_secs(3),
            max_head_bytes: 16 * 1024,
            max_connections: usize::MAX,
            drain_timeout: Duration::from_millis(500),
            tcp_user_timeout: None,
        }
    }
}

/// Serves until the token is cancelled, then shuts down gracefully: each connection ends after its current
/// response. A connection reads the current timeouts whenever it starts to wait, and the maximum head size
/// when it opens. If the service panics before its response, the caller gets status 502. The observer is told of connections that end before a response is complete.
pub async fn serve<S, B>(
    listener: TcpListener,
    options: impl Fn() -> ServerOptions + Send + Sync + 'static,
    observer: Arc<dyn Observer>,
    service: S,
    stop: CancellationToken,
) where
    S: Service<Request<CallerBody>, Response = Response<B>, Error = Infallible>
        + Send
        + Sync
        + 'static,
    S::Future: Future + Send + 'static,
    B: Body + Send + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let service = Arc::new(service);
    let options = Arc::new(options);
    let tasks = TaskTracker::new();
    let closed = CancellationToken::new();
    let connections = Connections::default();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let progress = Progress::new();
                let max = options().max_connections;
                let Some(slot) = connections.open(&progress, max, &*observer).await else {
                    continue;
                };
                let served = serve_connection(
                    stream,
                    progress,
                    Arc::clone(&options),
                    Arc::clone(&observer),
                    Arc::clone(&service),
                    stop.clone(),
                );
                let served = slot.run(served);
                tasks.spawn(closed.clone().run_until_cancelled_owned(served));
            }
            Err(e) => {
                log::warn!("http: accept failed: {e}.");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    tasks.close();
    if timeout(options().drain_timeout, tasks.wait())
        .await
        .is_err()
    {
        log::warn!(
            "http: closing {} connections that did not finish before the shutdown timeout.",
            tasks.len()
        );
        closed.cancel();
        tasks.wait().await;
    }
}

async fn serve_connection<S, B, O>(
    stream: TcpStream,
    progress: Progress,
    options: Arc<O>,
    observer: Arc<dyn Observer>,
    service: Arc<S>,
    stop: CancellationToken,
) where
    O: Fn() -> ServerOptions,
    S: Service<Request<CallerBody>, Response = Response<B>, Error = Infallible>
        + Send
        + Sync
        + 'static,
    S::Future: Send + 'static,
    B: Body + Send + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    if let Err(e) = set_socket_options(&stream, options().tcp_user_timeout) {
        log::debug!("http: setting the options of a connection failed: {e}.");
        return;
    }
    let max_head_bytes = options().max_head_bytes.max(MIN_HYPER_BUFFER_BYTES);
    let io = TokioIo::new(CallerStream::new(stream, progress.clone(), options));
    // Dropped after the connection, also when that is cancelled or panics.
    let report = EndReport {
        progress: progress.clone(),
        observer: Arc::clone(&observer),
    };
    let service = service_fn(move |req: Request<Incoming>| {
        let id = observer.request_id(req.headers());
        progress.begin_request(id.clone(), !req.body().is_end_stream());
        let req = req.map(|body| CallerBody::new(body, &progress));
        let expects_continue = req.headers().contains_key(header::EXPECT);
        let (service, observer) = (Arc::clone(&service), Arc::clone(&observer));
        let progress = progress.clone();
        async move {
            let response = call_catching_panics(&*service, req, id.as_ref(), |head| {
                observer.mark_failure(id.as_ref(), head);
            });
            let mut res = response.await?;
            if !progress.drain_request(expects_continue).await {
                let close = HeaderValue::from_static("close");
                res.headers_mut().insert(header::CONNECTION, close);
            }
            let respond_by = res.extensions().get().map(|RespondBy(at)| *at);
            let ends_connection = res.extensions().get::<EndsWithConnection>().is_some();
            progress.begin_response(respond_by, ends_connection);
            if ends_connection {
                end_with_connection(&mut res);
            }
            Ok::<_, Infallible>(res.map(|body| GuardedBody::new(body, progress)))
        }
    });
    let served = http1::Builder::new()
        .max_buf_size(max_head_bytes)
        .serve_connection(io, service);
    let mut served = std::pin::pin!(served);
    let result = tokio::select! {
        result = served.as_mut() => result,
        () = stop.cancelled() => {
            served.as_mut().graceful_shutdown();
            served.await
        }
    };
    match result {
        Err(e) => {
            log::debug!("http: a connection failed: {e}.");
            report.progress.record_end(EndCause::Other, &e);
        }
        Ok(()) => {
            let reason = "the HTTP library closed it";
            report.progress.record_end(EndCause::Other, &reason);
        }
    }
}

/// Disables Nagle's algorithm, since tokens are small and must not wait for more of them, and detects a vanished caller
/// with keepalive probes.
fn set_socket_options(stream: &TcpStream, user_timeout: Option<Duration>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let Some(timeout) = user_timeout else {
        return Ok(());
    };
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(timeout / 2)
        .with_interval(timeout / 6);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(user_timeout)
}

/// Reports a request without a complete response when its connection has ended.
struct EndReport {
    progress: Progress,
    observer: Arc<dyn Observer>,
}

impl Drop for EndReport {
    fn drop(&mut self) {
        // Without a cause so far, the connection was cancelled or its task unwinds.
        let (cause, reason) = match std::thread::panicking() {
            true => (EndCause::Panicked, "the task of the connection panicked"),
            false => (EndCause::Shutdown, "the shutdown timeout passed"),
        };
        self.progress.record_end(cause, &reason);
        if let Some(end) = self.progress.take_unanswered() {
            end.report(&*self.observer);
        }
    }
}
