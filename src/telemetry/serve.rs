//! Serves the metrics of a process over HTTP.

use std::convert::Infallible;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, service::service_fn};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::Metrics;
use crate::adapters::http::{CallerBody, ServerOptions, no_observer, serve};

/// URL path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Serves the metrics until the token is cancelled.
pub async fn serve_metrics(metrics: Metrics, listener: TcpListener, stop: CancellationToken) {
    let service = service_fn(move |req: Request<CallerBody>| {
        let metrics = metrics.clone();
        async move {
            let mut res = Response::new(Full::<Bytes>::default());
            match req.uri().path() {
                METRICS_PATH => *res.body_mut() = Full::from(metrics.render()),
                _ => *res.status_mut() = StatusCode::NOT_FOUND,
            }
            Ok::<_, Infallible>(res)
        }
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
