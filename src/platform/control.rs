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
use serde::{Deserialize, Serialize};
use tokio::{net::TcpListener, time::timeout};
use tokio_util::sync::CancellationToken;

use crate::{
    adapters::http::{
        BodyLimits, CallerBody, CollectError, RequestMemory, ServerOptions, no_observer, serve,
    },
    controller::{
        publisher::{PublishError, Publisher},
        rollouts::RolloutError,
    },
    policy::connections::max_connections,
    ports::{Clock, Platform},
    wire::RolloutState,
};

const PUT_PATH: &str = "/api/config/put";
const GET_PATH: &str = "/api/config/get";
const START_ROLLOUT_PATH: &str = "/api/rollouts/start";
/// Before and after the service in the path of a roll-out.
const ROLLOUT_PATH: (&str, &str) = ("/api/rollouts/", "/get");

/// Maximum size of a configuration document; the log accepts no larger entry.
const MAX_DOCUMENT_BYTES: u64 = 4 * 1024 * 1024;
/// Timeout for receiving a document.
const DOCUMENT_TIMEOUT: Duration = Duration::from_secs(10);

/// An order to move the requests of a service to a version.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RolloutBody {
    service: String,
    target: String,
    duration_s: f64,
}

/// A roll-out as operators read it.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct RolloutStatus {
    state: &'static str,
    target: String,
}

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
            let document = match receive(memory, req).await {
                Ok(document) => document,
                Err(res) => return res,
            };
            // The document becomes part of the state, so it leaves the memory for requests; until then both count.
            let copy = Bytes::copy_from_slice(&document);
            let published = publisher.publish(copy).await;
            drop(document);
            match published {
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
        (&Method::POST, START_ROLLOUT_PATH) if publisher.has_rollouts() => {
            let order = match receive(memory, req).await {
                Ok(order) => order,
                Err(res) => return res,
            };
            match start_rollout(publisher, &order).await {
                Ok(()) => reply(StatusCode::OK, "{}"),
                Err(e) => rollout_error_reply(&e, START_ROLLOUT_PATH),
            }
        }
        (&Method::GET, path) if let Some(service) = rollout_service(path) => {
            match publisher.rollout(service).await {
                Ok((target, state)) => rollout_reply(target, state),
                Err(e) => rollout_error_reply(&e, path),
            }
        }
        _ => reply(StatusCode::NOT_FOUND, "there is no such call"),
    }
}

/// Receives a body, or returns the reply to one that does not arrive.
async fn receive(
    memory: &RequestMemory,
    req: Request<CallerBody>,
) -> Result<Bytes, Response<Full<Bytes>>> {
    read_document(memory, req.into_body()).await.map_err(|e| {
        log::info!("controller: a document was not received completely: {e}.");
        read_error_reply(e)
    })
}

/// Returns the service in the path of a roll-out.
fn rollout_service(path: &str) -> Option<&str> {
    let (before, after) = ROLLOUT_PATH;
    path.strip_prefix(before)?.strip_suffix(after)
}

async fn start_rollout<T: Clock, P: Platform>(
    publisher: &Publisher<T, P>,
    order: &[u8],
) -> Result<(), RolloutError> {
    let order: RolloutBody = serde_json::from_slice(order)
        .map_err(|_| RolloutError::Invalid("it needs Service, Target and DurationS"))?;
    let duration = Duration::try_from_secs_f64(order.duration_s).unwrap_or_default();
    publisher
        .start_rollout(&order.service, &order.target, duration)
        .await
}

fn rollout_reply(target: String, state: RolloutState) -> Response<Full<Bytes>> {
    let state = match state {
        RolloutState::Running => "running",
        RolloutState::Completed => "completed",
        RolloutState::RolledBack => "rolled_back",
    };
    let status = RolloutStatus { state, target };
    let body = serde_json::to_vec(&status).unwrap_or_default();
    let mut res = reply(StatusCode::OK, body);
    let json = HeaderValue::from_static("application/json");
    res.headers_mut().insert(CONTENT_TYPE, json);
    res
}

fn rollout_error_reply(e: &RolloutError, path: &str) -> Response<Full<Bytes>> {
    let status = match e {
        RolloutError::Unavailable(e) => return error_reply(e, path),
        RolloutError::ListUnread => StatusCode::SERVICE_UNAVAILABLE,
        RolloutError::Off | RolloutError::NotOrdered => StatusCode::NOT_FOUND,
        RolloutError::Invalid(_) => StatusCode::BAD_REQUEST,
        RolloutError::InProgress(_) => StatusCode::CONFLICT,
    };
    log::info!("controller: {path} failed: {e}.");
    reply(status, e.to_string())
}

/// Reads a document, which counts towards the memory for requests until it is dropped.
async fn read_document(memory: &RequestMemory, body: CallerBody) -> Result<Bytes, CollectError> {
    let limits = BodyLimits {
        bytes: MAX_DOCUMENT_BYTES,
        announced: body.size_hint().exact(),
        account: Arc::default(),
        max_silence: DOCUMENT_TIMEOUT,
    };
    let body = memory.collect(BodyDataStream::new(body), limits);
    let body = timeout(DOCUMENT_TIMEOUT, body).await;
    body.map_err(|_| CollectError::Silent)?
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
