//! HTTP interface of a controller through which operators publish and read the configuration document.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue, LOCATION},
    service::service_fn,
};
use tokio::{net::TcpListener, time::timeout};
use tokio_util::sync::CancellationToken;

use crate::{
    adapters::http::{CallerBody, ServerOptions, no_observer, serve},
    controller::publisher::{PublishError, Publisher},
    ports::{Clock, Platform},
};

const PUT_PATH: &str = "/api/config/put";
const GET_PATH: &str = "/api/config/get";

/// Maximum size of a configuration document; the log accepts no larger entry.
const MAX_DOCUMENT_BYTES: usize = 4 * 1024 * 1024;
/// Timeout for receiving a document.
const DOCUMENT_TIMEOUT: Duration = Duration::from_secs(10);

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
            let body = Limited::new(req.into_body(), MAX_DOCUMENT_BYTES).collect();
            let document = match timeout(DOCUMENT_TIMEOUT, body).await {
                Ok(Ok(body)) => body.to_bytes(),
                Ok(Err(e)) => {
                    log::info!("controller: a document was not received completely: {e}.");
                    return reply(StatusCode::BAD_REQUEST, "the document did not arrive whole");
                }
                Err(_) => {
                    return reply(StatusCode::REQUEST_TIMEOUT, "the document came too slowly");
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
