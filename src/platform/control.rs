//! HTTP interface of a controller through which operators publish and read the configuration document.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyDataStream, Full};
use hyper::{
    Method, Request, Response, StatusCode,
    body::Body,
    header::{CONTENT_TYPE, HeaderValue, LOCATION, RETRY_AFTER},
    service::service_fn,
};
use tokio::{net::TcpListener, time::timeout};
use tokio_util::sync::CancellationToken;

use crate::{
    adapters::http::{
        BodyLimits, CallerBody, CollectError, RequestMemory, ServerOptions, no_observer, serve,
    },
    controller::publisher::{PublishError, Publisher},
    policy::connections::max_connections,
    ports::{Clock, Platform},
};

const PUT_PATH: &str = "/api/config/put";
const GET_PATH: &str = "/api/config/get";

/// Maximum size of a configuration document; the log accepts no larger entry.
const MAX_DOCUMENT_BYTES: u64 = 4 * 1024 * 1024;
/// Timeout for receiving a document.
const DOCUMENT_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves the operators' calls until the token is cancelled.
pub async fn serve_control<T: Clock, P: Platform>(
    publisher: Arc<Publisher<T, P>>,
    listener: TcpListener,
    stop: CancellationToken,
) {
    let (machine, memory) = publisher.machine();
    let max_connections = max_connections(machine.descriptors, machine.memory_mb);
    let service = service_fn(move |req| {
        let (publisher, memory) = (Arc::clone(&publisher), memory.clone());
        async move { Ok::<_, Infallible>(handle(&publisher, &memory, req).await) }
    });
    let options = move || ServerOptions {
        max_connections,
        ..ServerOptions::default()
    };
    serve(listener, options, no_observer(), service, stop).await;
}

async fn handle<T: Clock, P: Platform>(
    publisher: &Publisher<T, P>,
    memory: &RequestMemory,
    req: Request<CallerBody>,
) -> Response<Full<Bytes>> {
    let path = req.uri().path().to_owned();
    match (req.method(), path.as_str()) {
        (&Method::POST, PUT_PATH) => {
            let document = match read_document(memory, req.into_body()).await {
                Ok(document) => document,
                Err(e) => {
                    log::info!("controller: a document was not received completely: {e}.");
                    return read_error_reply(e);
                }
            };
            match publisher.publish(document).await {
                Ok(_) => reply(StatusCode::OK, "{}"),
                Err(e) => error_reply(&e, PUT_PATH),
            }
        }
        (&Method::GET, GET_PATH) => match publisher.latest().await {
            Ok(document) => {
                let mut res = Response::new(Full::new(document));
                let json = HeaderValue::from_static("application/json");
                res.headers_mut().insert(CONTENT_TYPE, json);
                res
            }
            Err(e) => error_reply(&e, GET_PATH),
        },
        _ => reply(StatusCode::NOT_FOUND, "there is no such call"),
    }
}

/// Reads a document. It becomes part of the state, so it leaves the memory for requests.
async fn read_document(memory: &RequestMemory, body: CallerBody) -> Result<Bytes, CollectError> {
    let limits = BodyLimits {
        bytes: MAX_DOCUMENT_BYTES,
        announced: body.size_hint().exact(),
        account: Arc::default(),
        max_silence: DOCUMENT_TIMEOUT,
    };
    let body = memory.collect(BodyDataStream::new(body), limits);
    let body = timeout(DOCUMENT_TIMEOUT, body).await;
    let body = body.map_err(|_| CollectError::Silent)??;
    Ok(Bytes::copy_from_slice(&body))
}

fn read_error_reply(e: CollectError) -> Response<Full<Bytes>> {
    match e {
        CollectError::TooLarge => reply(StatusCode::PAYLOAD_TOO_LARGE, "the document is too large"),
        CollectError::Cut => reply(StatusCode::BAD_REQUEST, "the document did not arrive whole"),
        CollectError::Silent => reply(StatusCode::REQUEST_TIMEOUT, "the document came too slowly"),
        CollectError::NoMemory => {
            let message = "other documents hold the memory; the document was not published";
            let mut res = reply(StatusCode::SERVICE_UNAVAILABLE, message);
            res.headers_mut()
                .insert(RETRY_AFTER, HeaderValue::from_static("1"));
            res
        }
    }
}

fn error_reply(e: &PublishError, path: &str) -> Response<Full<Bytes>> {
    log::info!("controller: {path} failed: {e}.");
    let message = e.to_string();
    match e {
        PublishError::Invalid(_) => reply(StatusCode::BAD_REQUEST, message),
        PublishError::NotLeader(leader) => {
            let mut res = reply(StatusCode::TEMPORARY_REDIRECT, message);
            if let Ok(place) = HeaderValue::from_str(&format!("http://{leader}{path}")) {
                res.headers_mut().insert(LOCATION, place);
            }
            res
        }
        PublishError::Unavailable(_) | PublishError::NotPublished => {
            reply(StatusCode::SERVICE_UNAVAILABLE, message)
        }
    }
}

fn reply(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::new(body.into()));
    *res.status_mut() = status;
    res
}
