//! HTTP interface of a controller through which operators publish and read the configuration document.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue, LOCATION},
    service::service_fn,
};
use serde::{Deserialize, Serialize};
use tokio::{net::TcpListener, time::timeout};
use tokio_util::sync::CancellationToken;

use crate::{
    adapters::http::{CallerBody, ServerOptions, no_observer, serve},
    controller::{
        publisher::{PublishError, Publisher},
        rollouts::RolloutError,
    },
    ports::{Clock, Platform},
    wire::RolloutState,
};

const PUT_PATH: &str = "/api/config/put";
const GET_PATH: &str = "/api/config/get";
const START_ROLLOUT_PATH: &str = "/api/rollouts/start";
/// Before and after the service in the path of a roll-out.
const ROLLOUT_PATH: (&str, &str) = ("/api/rollouts/", "/get");

/// Maximum size of a configuration document; the log accepts no larger entry.
const MAX_DOCUMENT_BYTES: usize = 4 * 1024 * 1024;
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
    let service = service_fn(move |req| {
        let publisher = Arc::clone(&publisher);
        async move { Ok::<_, Infallible>(handle(&publisher, req).await) }
    });
    serve(
        listener,
        ServerOptions::default,
        no_observer(),
        service,
        stop,
    )
    .await;
}

async fn handle<T: Clock, P: Platform>(
    publisher: &Publisher<T, P>,
    req: Request<CallerBody>,
) -> Response<Full<Bytes>> {
    let path = req.uri().path().to_owned();
    match (req.method(), path.as_str()) {
        (&Method::POST, PUT_PATH) => {
            let document = match receive(req).await {
                Ok(document) => document,
                Err(res) => return res,
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
        (&Method::POST, START_ROLLOUT_PATH) if publisher.has_rollouts() => {
            let order = match receive(req).await {
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
async fn receive(req: Request<CallerBody>) -> Result<Bytes, Response<Full<Bytes>>> {
    let body = Limited::new(req.into_body(), MAX_DOCUMENT_BYTES).collect();
    match timeout(DOCUMENT_TIMEOUT, body).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) => {
            log::info!("controller: a document was not received completely: {e}.");
            let message = "the document did not arrive whole";
            Err(reply(StatusCode::BAD_REQUEST, message))
        }
        Err(_) => Err(reply(
            StatusCode::REQUEST_TIMEOUT,
            "the document came too slowly",
        )),
    }
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
        RolloutError::Off | RolloutError::NotOrdered => StatusCode::NOT_FOUND,
        RolloutError::Invalid(_) => StatusCode::BAD_REQUEST,
        RolloutError::InProgress(_) => StatusCode::CONFLICT,
    };
    log::info!("controller: {path} failed: {e}.");
    reply(status, e.to_string())
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
