//! Answers of the stand-ins, faulty ones included.

use std::{convert::Infallible, fmt, future::pending, time::Duration};

use bytes::Bytes;
use futures_util::{Stream, StreamExt, stream};
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{Response, StatusCode, body::Frame, header};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::json;
use tokio::task::yield_now;

use crate::Faults;

/// The body of an answer.
pub(crate) type Body = UnsyncBoxBody<Bytes, Fault>;

/// An answer, or the order to close the connection without one.
pub(crate) type Reply = Result<Response<Body>, Fault>;

/// Makes the server close the connection, in the middle of an answer if one has begun.
#[derive(Debug)]
pub(crate) struct Fault;

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the connection is closed on purpose")
    }
}

impl std::error::Error for Fault {}

/// Answers with a status and a JSON value.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let text = serde_json::to_vec(value).expect("stand-in answers are valid JSON");
    with_body(status, "application/json", text.into())
}

/// Answers with an error of a kind.
pub(crate) fn error(status: StatusCode, kind: &str, message: &str) -> Response<Body> {
    json(
        status,
        &json!({ "error": { "kind": kind, "message": message } }),
    )
}

/// Answers with server-sent events.
pub(crate) fn stream(
    events: impl Stream<Item = Result<Bytes, Fault>> + Send + 'static,
) -> Response<Body> {
    let body = StreamBody::new(events.map(|event| event.map(Frame::data)));
    let mut res = Response::new(BodyExt::boxed_unsync(body));
    let kind = header::HeaderValue::from_static("text/event-stream");
    res.headers_mut().insert(header::CONTENT_TYPE, kind);
    res
}

/// An error answer in place of a result.
pub(crate) type Refused = Box<Response<Body>>;

/// Reads a JSON body.
pub(crate) fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refused> {
    serde_json::from_slice(body)
        .map_err(|e| error(StatusCode::BAD_REQUEST, "bad_request", &e.to_string()).into())
}

/// Shows the faults that come after the execution.
pub(crate) async fn apply(faults: Faults, res: Response<Body>) -> Reply {
    if faults.silent_reply {
        pending::<()>().await;
    }
    sleep_ms(faults.answer_delay_ms).await;
    if faults.lost_reply {
        return Err(Fault);
    }
    match faults.cut_after_bytes {
        Some(bytes) => Ok(cut(res, bytes).await),
        None => Ok(res),
    }
}

/// Sleeps, or returns at once if there is nothing to wait for.
pub(crate) async fn sleep_ms(ms: u64) {
    if ms > 0 {
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }
}

fn with_body(status: StatusCode, kind: &'static str, bytes: Bytes) -> Response<Body> {
    let body = Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed_unsync();
    let mut res = Response::new(body);
    *res.status_mut() = status;
    let kind = header::HeaderValue::from_static(kind);
    res.headers_mut().insert(header::CONTENT_TYPE, kind);
    res
}

async fn cut(res: Response<Body>, bytes: usize) -> Response<Body> {
    let (mut head, body) = res.into_parts();
    let Ok(whole) = body.collect().await else {
        return Response::from_parts(head, Full::default().map_err(|_| Fault).boxed_unsync());
    };
    let whole = whole.to_bytes();
    head.headers
        .insert(header::CONTENT_LENGTH, whole.len().into());
    let part = whole.slice(..bytes.min(whole.len()));
    let end = stream::once(async {
        // The server writes what it holds only when it has to wait for more.
        yield_now().await;
        Err(Fault)
    });
    let frames = stream::iter([Ok(Frame::data(part))]).chain(end);
    Response::from_parts(head, BodyExt::boxed_unsync(StreamBody::new(frames)))
}
