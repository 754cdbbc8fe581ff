//! HTTP endpoints of a gateway besides the proxied routes: address resolution for callers and the
//! platform's readiness check.

use std::{convert::Infallible, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
    service::service_fn,
};
use serde::Serialize;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::{
    adapters::http::{CallerBody, ServerOptions, no_observer, serve},
    ingress::Directory,
};

/// Path of address resolution. The parameter `Zone` is the caller's zone. `Name` is the host of a route and
/// is ignored, since all gateways serve all routes.
const RESOLVE_PATH: &str = "/api/resolve";
/// Path of the readiness check.
const READINESS_PATH: &str = "/api/readiness";

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct Resolved {
    addresses: Vec<SocketAddr>,
    ttl_s: f64,
}

/// Serves address resolution for callers until the token is cancelled.
pub async fn serve_directory(directory: Directory, listener: TcpListener, stop: CancellationToken) {
    let options = options(&directory);
    let directory = Arc::new(directory);
    let service = service_fn(move |req| {
        let res = handle_resolve(&directory, &req);
        async move { Ok::<_, Infallible>(res) }
    });
    serve(listener, options, no_observer(), service, stop).await;
}

/// Serves the platform's readiness check of this gateway until the token is cancelled.
pub async fn serve_ready(directory: Directory, listener: TcpListener, stop: CancellationToken) {
    let options = options(&directory);
    let directory = Arc::new(directory);
    let service = service_fn(move |req: Request<CallerBody>| {
        let status = match (req.uri().path(), directory.is_open()) {
            (READINESS_PATH, true) => StatusCode::OK,
            (READINESS_PATH, false) => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::NOT_FOUND,
        };
        async move { Ok::<_, Infallible>(empty_response(status)) }
    });
    serve(listener, options, no_observer(), service, stop).await;
}

/// Returns the options of an endpoint, whose callers are as little controlled as those of the routes.
fn options(directory: &Directory) -> impl Fn() -> ServerOptions + Send + Sync + 'static {
    let max_connections = directory.max_connections();
    move || ServerOptions {
        max_connections,
        ..ServerOptions::default()
    }
}

fn handle_resolve(directory: &Directory, req: &Request<CallerBody>) -> Response<Full<Bytes>> {
    if req.uri().path() != RESOLVE_PATH {
        return empty_response(StatusCode::NOT_FOUND);
    }
    let query = req.uri().query().unwrap_or_default();
    let zone = query.split('&').find_map(|pair| pair.strip_prefix("Zone="));
    let addresses = directory.addresses(zone.unwrap_or_default());
    if addresses.is_empty() {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    let resolved = Resolved {
        addresses,
        ttl_s: directory.ttl().as_secs_f64(),
    };
    match serde_json::to_vec(&resolved) {
        Ok(body) => {
            let mut res = Response::new(Full::new(body.into()));
            let json = HeaderValue::from_static("application/json");
            res.headers_mut().insert(CONTENT_TYPE, json);
            res
        }
        Err(e) => {
            log::error!("platform: the addresses cannot be serialized as JSON: {e}.");
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::default());
    *res.status_mut() = status;
    res
}
