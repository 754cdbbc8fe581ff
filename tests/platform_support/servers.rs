//! The stand-in for the platform's API, and the scripted servers.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{Arc, Mutex, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use futures_util::{StreamExt, stream::BoxStream};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::{
    Request, Response, StatusCode,
    body::{Frame, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::{
    net::TcpListener,
    sync::Notify,
    time::{Instant, sleep},
};

use super::{Body, ReceivedRequest, Script, ServerAction, ServerLog, TEST_TIMEOUT};

/// Serves the platform's API: the list of servers and the reports of usage.
pub(super) async fn serve_platform(
    address: SocketAddr,
    listed: Arc<Mutex<Vec<Value>>>,
    raw_list: Arc<Mutex<Option<Vec<u8>>>>,
    usage: Arc<Mutex<Vec<Value>>>,
) -> SocketAddr {
    let listener = TcpListener::bind(address).await.unwrap();
    let address = listener.local_addr().unwrap();
    let service = move |req: Request<Incoming>| {
        let (listed, usage) = (Arc::clone(&listed), Arc::clone(&usage));
        let raw_list = Arc::clone(&raw_list);
        async move {
            let path = req.uri().path().to_owned();
            let headers = req.headers().clone();
            let body = req.into_body().collect().await.unwrap().to_bytes();
            if path == "/usage" {
                let mut report: Value = serde_json::from_slice(&body).unwrap();
                let text = |name: &str| headers[name].to_str().unwrap().to_owned();
                report["holder"] = json!(text("x-flamingocroft-duty-holder"));
                report["fence"] = json!(text("x-flamingocroft-fencing-token"));
                usage.lock().unwrap().push(report);
            }
            let listed = listed.lock().unwrap().clone();
            let list = || {
                json!({"Instances": listed, "Next": null})
                    .to_string()
                    .into()
            };
            let body = raw_list.lock().unwrap().clone().unwrap_or_else(list);
            Ok::<_, Infallible>(Response::new(Full::new(Bytes::from(body))))
        }
    };
    tokio::spawn(accept(listener, move |io| {
        let service = service.clone();
        async move {
            let _ = http1::Builder::new()
                .serve_connection(io, service_fn(service))
                .await;
        }
    }));
    address
}

/// Time from a request that crashes a server to the crash, and until the server is back.
const CRASH_DELAY: Duration = Duration::from_millis(20);
const CRASH_TIME: Duration = Duration::from_millis(800);

/// Whether a server is up.
#[derive(Default)]
struct Life {
    crashed: Notify,
    down_until: Mutex<Option<Instant>>,
}

impl Life {
    fn is_down(&self) -> bool {
        let until = *self.down_until.lock().unwrap();
        until.is_some_and(|until| Instant::now() < until)
    }

    fn crash(&self) {
        *self.down_until.lock().unwrap() = Some(Instant::now() + CRASH_TIME);
        self.crashed.notify_waiters();
    }
}

/// Runs a server that follows the script.
pub(super) async fn serve_upstream(
    address: SocketAddr,
    server: usize,
    script: Arc<Script>,
    log: Arc<ServerLog>,
) -> SocketAddr {
    let listener = TcpListener::bind(address).await.unwrap();
    let address = listener.local_addr().unwrap();
    let life: Arc<Life> = Arc::default();
    tokio::spawn(accept(listener, move |io| {
        let (script, log, life) = (Arc::clone(&script), Arc::clone(&log), Arc::clone(&life));
        async move {
            if life.is_down() {
                return;
            }
            let service = service_fn(|req| handle(server, req, &*script, Arc::clone(&log), &life));
            tokio::select! {
                // A scripted reset ends the connection with an error here.
                _ = http1::Builder::new().serve_connection(io, service) => {}
                () = life.crashed.notified() => {}
            }
        }
    }));
    address
}

async fn accept<F: Future<Output = ()> + Send + 'static>(
    listener: TcpListener,
    serve: impl Fn(TokioIo<tokio::net::TcpStream>) -> F,
) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        tokio::spawn(serve(TokioIo::new(stream)));
    }
}

/// Counts a request as in progress until it is dropped.
struct InProgressGuard(Arc<ServerLog>);

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn handle(
    server: usize,
    req: Request<Incoming>,
    script: &Script,
    log: Arc<ServerLog>,
    life: &Arc<Life>,
) -> Result<Response<Body>, std::io::Error> {
    log.in_progress.fetch_add(1, Ordering::Relaxed);
    let guard = InProgressGuard(Arc::clone(&log));
    let (head, body) = req.into_parts();
    let body = body
        .collect()
        .await
        .map_err(std::io::Error::other)?
        .to_bytes();
    let seen = ReceivedRequest {
        server,
        method: head.method,
        path: head.uri.to_string(),
        headers: head.headers,
        body,
        at: Instant::now(),
    };
    log.requests.lock().unwrap().push(seen.clone());
    let id = seen.headers.get("x-flamingocroft-request-id").cloned();
    let mut res = match script(server, &seen) {
        ServerAction::Reset => return Err(std::io::ErrorKind::ConnectionReset.into()),
        ServerAction::Crash => {
            let life = Arc::clone(life);
            tokio::spawn(async move {
                sleep(CRASH_DELAY).await;
                life.crash();
            });
            let end = futures_util::stream::pending().boxed();
            signed(Response::new(stream(vec!["id: ".into()], end, guard)))
        }
        ServerAction::Silent => {
            sleep(TEST_TIMEOUT * 2).await;
            return Err(std::io::ErrorKind::TimedOut.into());
        }
        ServerAction::NotExecuted => not_executed(Vec::new()),
        ServerAction::NotExecutedAfter(after) => {
            sleep(after).await;
            not_executed(Vec::new())
        }
        ServerAction::NotExecutedWith(headers) => not_executed(headers),
        ServerAction::RespondWith(headers) => with_headers(
            signed(full_response(StatusCode::OK, b"done".to_vec())),
            headers,
        ),
        ServerAction::Respond(status, body) => signed(full_response(status, body)),
        ServerAction::RespondLimited(per_second) => {
            let mut res = signed(full_response(StatusCode::OK, b"done".to_vec()));
            let limit = per_second.to_string().parse().unwrap();
            res.headers_mut().insert("server-limit", limit);
            res
        }
        ServerAction::RespondAfter(after) => {
            sleep(after).await;
            signed(full_response(StatusCode::OK, b"late".to_vec()))
        }
        ServerAction::Unsigned => full_response(StatusCode::OK, b"spoiled".to_vec()),
        ServerAction::WrongRequestId => {
            let mut res = signed(full_response(StatusCode::OK, b"foreign".to_vec()));
            res.headers_mut()
                .insert("x-flamingocroft-request-id", "other".parse().unwrap());
            return Ok(res);
        }
        ServerAction::Stream { chunks, complete } => {
            let end = match complete {
                true => futures_util::stream::empty().boxed(),
                false => broken_end().boxed(),
            };
            signed(Response::new(stream(chunks, end, guard)))
        }
        ServerAction::StallAfter(chunks) => {
            let end = futures_util::stream::pending().boxed();
            signed(Response::new(stream(chunks, end, guard)))
        }
        ServerAction::HeadAfter(delay) => {
            sleep(delay).await;
            let end = futures_util::stream::pending().boxed();
            signed(Response::new(stream(Vec::new(), end, guard)))
        }
        ServerAction::Paced(chunks, pause) => {
            let chunks = chunks.into_iter().map(|chunk| (pause, chunk)).collect();
            timed(chunks, guard)
        }
        ServerAction::Timed(chunks) => timed(chunks, guard),
        ServerAction::StreamAfter(delay, chunks) => {
            sleep(delay).await;
            let end = futures_util::stream::empty().boxed();
            signed(Response::new(stream(chunks, end, guard)))
        }
    };
    if let Some(id) = id {
        res.headers_mut().insert("x-flamingocroft-request-id", id);
    }
    Ok(res)
}

fn timed(chunks: Vec<(Duration, String)>, guard: InProgressGuard) -> Response<Body> {
    let frames = futures_util::stream::iter(chunks).then(|(pause, chunk)| async move {
        sleep(pause).await;
        Ok(Frame::data(Bytes::from(chunk)))
    });
    signed(Response::new(stream(Vec::new(), frames.boxed(), guard)))
}

type Chunk = Result<Frame<Bytes>, std::io::Error>;

fn broken_end() -> impl futures_util::Stream<Item = Chunk> + Send {
    futures_util::stream::once(async {
        // Waits until the chunks before the reset were sent.
        sleep(Duration::from_millis(50)).await;
        Err(std::io::ErrorKind::ConnectionReset.into())
    })
}

fn stream(chunks: Vec<String>, end: BoxStream<'static, Chunk>, guard: InProgressGuard) -> Body {
    let frames = chunks
        .into_iter()
        .map(|chunk| Ok(Frame::data(Bytes::from(chunk))));
    let all = futures_util::stream::iter(frames)
        .chain(end)
        .map(move |frame| {
            let _ = &guard;
            frame
        });
    BodyExt::boxed(StreamBody::new(SyncStream(Mutex::new(all.boxed()))))
}

/// Makes a stream `Sync`, as the boxed body requires.
struct SyncStream(Mutex<BoxStream<'static, Chunk>>);

impl futures_util::Stream for SyncStream {
    type Item = Chunk;

    fn poll_next(
        self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        self.0.lock().unwrap().poll_next_unpin(cx)
    }
}

fn full_response(status: StatusCode, body: Vec<u8>) -> Response<Body> {
    let body = Full::new(Bytes::from(body)).map_err(|never| match never {});
    let mut res = Response::new(BodyExt::boxed(body));
    *res.status_mut() = status;
    res
}

fn not_executed(headers: Vec<(&'static str, &'static str)>) -> Response<Body> {
    let mut res = full_response(StatusCode::SERVICE_UNAVAILABLE, Vec::new());
    res.headers_mut()
        .insert("x-flamingocroft-not-executed", "1".parse().unwrap());
    with_headers(res, headers)
}

fn with_headers(
    mut res: Response<Body>,
    headers: Vec<(&'static str, &'static str)>,
) -> Response<Body> {
    for (name, value) in headers {
        res.headers_mut().insert(name, value.parse().unwrap());
    }
    res
}

fn signed(mut res: Response<Body>) -> Response<Body> {
    res.headers_mut()
        .insert("x-flamingocroft-response-seal", "seal".parse().unwrap());
    res
}
