//! Responses of the stand-ins, including injected faults.

use std::{convert::Infallible, fmt, future::pending, time::Duration};

use bytes::Bytes;
use futures_util::{Stream, StreamExt, stream};
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{Response, StatusCode, body::Frame, header};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::json;
use tokio::task::yield_now;

use crate::Faults;

/// A response body.
pub(crate) type Body = UnsyncBoxBody<Bytes, ConnectionAborted>;

/// A handler's response, or an abort of the connection without one.
pub(crate) type HandlerResult = Result<Response<Body>, ConnectionAborted>;

/// Makes the server close the connection, mid-response if one has begun.
#[derive(Debug)]
pub(crate) struct ConnectionAborted;

impl fmt::Display for ConnectionAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection closed by an injected fault")
    }
}

impl std::error::Error for ConnectionAborted {}

/// Builds a JSON response.
pub(crate) fn json_response(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let text = serde_json::to_vec(value).expect("stand-in answers are valid JSON");
    response_with_body(status, "application/json", text.into())
}

/// Builds an error response with an error kind and a message.
pub(crate) fn error_response(status: StatusCode, kind: &str, message: &str) -> Response<Body> {
    json_response(
        status,
        &json!({ "error": { "kind": kind, "message": message } }),
    )
}

/// Builds a response that streams server-sent events.
pub(crate) fn event_stream(
    events: impl Stream<Item = Result<Bytes, ConnectionAborted>> + Send + 'static,
) -> Response<Body> {
    let body = StreamBody::new(events.map(|event| event.map(Frame::data)));
    let mut res = Response::new(BodyExt::boxed_unsync(body));
    let content_type = header::HeaderValue::from_static("text/event-stream");
    res.headers_mut().insert(header::CONTENT_TYPE, content_type);
    res
}

/// A boxed error response.
pub(crate) type ErrorResponse = Box<Response<Body>>;

/// Parses a JSON body; a failure becomes a 400 response.
pub(crate) fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, ErrorResponse> {
    serde_json::from_slice(body)
        .map_err(|e| error_response(StatusCode::BAD_REQUEST, "bad_request", &e.to_string()).into())
}

/// Applies the faults that take effect after a request has been executed.
pub(crate) async fn apply_response_faults(faults: Faults, res: Response<Body>) -> HandlerResult {
    if faults.silent_reply {
        pending::<()>().await;
    }
    sleep_ms(faults.answer_delay_ms).await;
    if faults.lost_reply {
        return Err(ConnectionAborted);
    }
    match faults.cut_after_bytes {
        Some(bytes) => Ok(truncate_body(res, bytes).await),
        None => Ok(res),
    }
}

/// Sleeps for `ms` milliseconds; returns immediately for zero, without yielding.
pub(crate) async fn sleep_ms(ms: u64) {
    if ms > 0 {
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }
}

fn response_with_body(
    status: StatusCode,
    content_type: &'static str,
    bytes: Bytes,
) -> Response<Body> {
    let body = Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed_unsync();
    let mut res = Response::new(body);
    *res.status_mut() = status;
    let content_type = header::HeaderValue::from_static(content_type);
    res.headers_mut().insert(header::CONTENT_TYPE, content_type);
    res
}

async fn truncate_body(res: Response<Body>, bytes: usize) -> Response<Body> {
    let (mut head, body) = res.into_parts();
    let Ok(whole) = body.collect().await else {
        return Response::from_parts(
            head,
            Full::default()
                .map_err(|_| ConnectionAborted)
                .boxed_unsync(),
        );
    };
    let whole = whole.to_bytes();
    head.headers
        .insert(header::CONTENT_LENGTH, whole.len().into());
    let part = whole.slice(..bytes.min(whole.len()));
    let end = stream::once(async {
        // hyper flushes its buffer only when the body is pending; yield so that the bytes so far
        // are sent before the connection is closed.
        yield_now().await;
        Err(ConnectionAborted)
    });
    let frames = stream::iter([Ok(Frame::data(part))]).chain(end);
    Response::from_parts(head, BodyExt::boxed_unsync(StreamBody::new(frames)))
}
