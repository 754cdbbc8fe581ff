//! The platform's API and the scripted servers.

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
use tokio::{net::TcpListener, time::sleep};

use super::{Act, Body, Log, PATIENCE, Script, Seen};

/// Serves the platform's API: its list, and reports of usage.
pub(super) async fn serve_platform(
    address: SocketAddr,
    listed: Arc<Mutex<Vec<Value>>>,
    usage: Arc<Mutex<Vec<Value>>>,
) -> SocketAddr {
    let listener = TcpListener::bind(address).await.unwrap();
    let address = listener.local_addr().unwrap();
    let service = move |req: Request<Incoming>| {
        let (listed, usage) = (Arc::clone(&listed), Arc::clone(&usage));
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
            let body = json!({"Instances": listed, "Next": null}).to_string();
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

/// Serves as a server that does what the script says.
pub(super) async fn serve_upstream(
    address: SocketAddr,
    server: usize,
    script: Arc<Script>,
    log: Arc<Log>,
) -> SocketAddr {
    let listener = TcpListener::bind(address).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(accept(listener, move |io| {
        let (script, log) = (Arc::clone(&script), Arc::clone(&log));
        async move {
            let service = service_fn(|req| act(server, req, &*script, Arc::clone(&log)));
            // A scripted reset ends the connection with this error.
            let _ = http1::Builder::new().serve_connection(io, service).await;
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
struct Busy(Arc<Log>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn act(
    server: usize,
    req: Request<Incoming>,
    script: &Script,
    log: Arc<Log>,
) -> Result<Response<Body>, std::io::Error> {
    log.busy.fetch_add(1, Ordering::Relaxed);
    let busy = Busy(Arc::clone(&log));
    let (head, body) = req.into_parts();
    let body = body
        .collect()
        .await
        .map_err(std::io::Error::other)?
        .to_bytes();
    let seen = Seen {
        server,
        method: head.method,
        path: head.uri.to_string(),
        headers: head.headers,
        body,
    };
    log.seen.lock().unwrap().push(seen.clone());
    let id = seen.headers.get("x-flamingocroft-request-id").cloned();
    let mut res = match script(server, &seen) {
        Act::Reset => return Err(std::io::ErrorKind::ConnectionReset.into()),
        Act::Silent => {
            sleep(PATIENCE * 2).await;
            return Err(std::io::ErrorKind::TimedOut.into());
        }
        Act::NotExecuted => turned_away(Vec::new()),
        Act::TurnedAway(headers) => turned_away(headers),
        Act::AnswerWith(headers) => with(signed(whole(StatusCode::OK, b"done".to_vec())), headers),
        Act::Answer(status, body) => signed(whole(status, body)),
        Act::Late(after) => {
            sleep(after).await;
            signed(whole(StatusCode::OK, b"late".to_vec()))
        }
        Act::Unsigned => whole(StatusCode::OK, b"spoiled".to_vec()),
        Act::Foreign => {
            let mut res = signed(whole(StatusCode::OK, b"foreign".to_vec()));
            res.headers_mut()
                .insert("x-flamingocroft-request-id", "other".parse().unwrap());
            return Ok(res);
        }
        Act::Stream { pieces, whole } => {
            let end = match whole {
                true => futures_util::stream::empty().boxed(),
                false => broken_end().boxed(),
            };
            signed(Response::new(stream(pieces, end, busy)))
        }
        Act::Stall(pieces) => {
            let end = futures_util::stream::pending().boxed();
            signed(Response::new(stream(pieces, end, busy)))
        }
        Act::Paced(pieces, pause) => {
            let frames = futures_util::stream::iter(pieces).then(move |piece| async move {
                sleep(pause).await;
                Ok(Frame::data(Bytes::from(piece)))
            });
            signed(Response::new(stream(Vec::new(), frames.boxed(), busy)))
        }
    };
    if let Some(id) = id {
        res.headers_mut().insert("x-flamingocroft-request-id", id);
    }
    Ok(res)
}

type Piece = Result<Frame<Bytes>, std::io::Error>;

fn broken_end() -> impl futures_util::Stream<Item = Piece> + Send {
    futures_util::stream::once(async {
        // The pieces before must have left.
        sleep(Duration::from_millis(50)).await;
        Err(std::io::ErrorKind::ConnectionReset.into())
    })
}

fn stream(pieces: Vec<String>, end: BoxStream<'static, Piece>, busy: Busy) -> Body {
    let frames = pieces
        .into_iter()
        .map(|piece| Ok(Frame::data(Bytes::from(piece))));
    let all = futures_util::stream::iter(frames)
        .chain(end)
        .map(move |frame| {
            let _ = &busy;
            frame
        });
    BodyExt::boxed(StreamBody::new(SyncStream(Mutex::new(all.boxed()))))
}

/// Makes a stream `Sync`, as the boxed body needs it.
struct SyncStream(Mutex<BoxStream<'static, Piece>>);

impl futures_util::Stream for SyncStream {
    type Item = Piece;

    fn poll_next(
        self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        self.0.lock().unwrap().poll_next_unpin(cx)
    }
}

fn whole(status: StatusCode, body: Vec<u8>) -> Response<Body> {
    let body = Full::new(Bytes::from(body)).map_err(|never| match never {});
    let mut res = Response::new(BodyExt::boxed(body));
    *res.status_mut() = status;
    res
}

fn turned_away(headers: Vec<(&'static str, &'static str)>) -> Response<Body> {
    let mut res = whole(StatusCode::SERVICE_UNAVAILABLE, Vec::new());
    res.headers_mut()
        .insert("x-flamingocroft-not-executed", "1".parse().unwrap());
    with(res, headers)
}

fn with(mut res: Response<Body>, headers: Vec<(&'static str, &'static str)>) -> Response<Body> {
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
