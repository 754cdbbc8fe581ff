//! The HTTP interface for operators.

use std::{sync::Arc, time::Duration};

use bytes::{Buf, Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{net::TcpListener, time::timeout};
use tokio_util::sync::CancellationToken;
use warp::{
    Filter,
    http::{HeaderMap, Method, StatusCode, header::AUTHORIZATION},
    reply::Response,
};

use super::{api_error::ApiError, operator_api::OperatorApi, operator_token::TokenHash};
use crate::ports::Clock;

/// Maximum time to read a request body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// The HTTP server for operators.
#[derive(Debug)]
pub(super) struct HttpServer<T> {
    pub api: OperatorApi<T>,
    pub token: TokenHash,
}

/// Serves requests until the token is cancelled, then drains gracefully.
pub(super) async fn serve<T: Clock>(
    http: Arc<HttpServer<T>>,
    listener: TcpListener,
    stop: CancellationToken,
) {
    let routes = warp::method()
        .and(warp::path::full())
        .and(warp::header::headers_cloned())
        .and(warp::body::stream())
        .then(
            move |method: Method, path: warp::path::FullPath, headers: HeaderMap, body| {
                let http = Arc::clone(&http);
                async move { http.answer(&method, path.as_str(), &headers, body).await }
            },
        );
    warp::serve(routes)
        .incoming(listener)
        .graceful(stop.cancelled_owned())
        .run()
        .await;
}

impl<T: Clock> HttpServer<T> {
    async fn answer<B: Buf>(
        &self,
        method: &Method,
        path: &str,
        headers: &HeaderMap,
        body: impl Stream<Item = Result<B, warp::Error>>,
    ) -> Response {
        let answered = match path.strip_prefix("/v1/") {
            Some(call) => self.answer_api(method, call, headers, body).await,
            None => self.answer_unauthenticated(method, path),
        };
        answered.unwrap_or_else(ApiError::into_response)
    }

    /// Answers the paths that need no operator token.
    fn answer_unauthenticated(&self, method: &Method, path: &str) -> Result<Response, ApiError> {
        if method != Method::GET {
            return Err(unknown_path());
        }
        let core = &self.api.core;
        match path {
            "/metrics" => Ok(text(StatusCode::OK, core.metrics.render())),
            "/healthz" => Ok(text(StatusCode::OK, "healthy\n".into())),
            "/readyz" => match core.log.status().leader {
                Some(_) => Ok(text(StatusCode::OK, "ready\n".into())),
                None => Ok(text(StatusCode::SERVICE_UNAVAILABLE, "no leader\n".into())),
            },
            _ => Err(unknown_path()),
        }
    }

    async fn answer_api<B: Buf>(
        &self,
        method: &Method,
        call: &str,
        headers: &HeaderMap,
        body: impl Stream<Item = Result<B, warp::Error>>,
    ) -> Result<Response, ApiError> {
        self.authorize(headers)?;
        let api = &self.api;
        let parts: Vec<&str> = call.split('/').collect();
        match (method, parts.as_slice()) {
            (&Method::GET, ["status"]) => json(api.status().await?),
            (&Method::GET, ["history"]) => json(api.history().await?),
            (&Method::GET, ["explain", "revision", number]) => {
                let number = number
                    .parse()
                    .map_err(|_| bad_request("a revision is a number"))?;
                json(api.explain_revision(number).await?)
            }
            (&Method::GET, ["explain", "instance", name]) => {
                json(api.explain_instance(name).await?)
            }
            (&Method::POST, ["plan"]) => {
                let intent = self.read_json(body).await?;
                json(api.plan(intent).await?)
            }
            (&Method::POST, ["confirm"]) => {
                let request = self.read_json(body).await?;
                json(api.confirm(request).await?)
            }
            (&Method::POST, ["drain", name]) => {
                let request = self.read_json(body).await?;
                json(api.drain(&(*name).into(), request).await?)
            }
            (&Method::POST, ["members"]) => {
                let request = self.read_json(body).await?;
                json(api.change_members(request).await?)
            }
            _ => Err(unknown_path()),
        }
    }

    fn authorize(&self, headers: &HeaderMap) -> Result<(), ApiError> {
        let header = headers.get(AUTHORIZATION).and_then(|v| v.to_str().ok());
        if header.is_some_and(|header| self.token.matches_header(header)) {
            return Ok(());
        }
        let message = "the operators' bearer token is missing or wrong; give the right one";
        Err(ApiError::new(
            StatusCode::UNAUTHORIZED,
            "unauthorized",
            message,
        ))
    }

    async fn read_json<B: Buf, R: DeserializeOwned>(
        &self,
        body: impl Stream<Item = Result<B, warp::Error>>,
    ) -> Result<R, ApiError> {
        let limit = self.api.core.settings.limits.body_bytes;
        let bytes = timeout(BODY_READ_TIMEOUT, collect_body(body, limit))
            .await
            .map_err(|_| {
                let message = "the body came too slowly; send it at once";
                ApiError::new(StatusCode::REQUEST_TIMEOUT, "too_slow", message)
            })??;
        serde_json::from_slice(&bytes).map_err(|e| bad_request(&e.to_string()))
    }
}

async fn collect_body<B: Buf>(
    body: impl Stream<Item = Result<B, warp::Error>>,
    limit: u64,
) -> Result<Bytes, ApiError> {
    let mut bytes = BytesMut::new();
    let mut body = std::pin::pin!(body);
    while let Some(part) = body.next().await {
        let mut part = part.map_err(|e| bad_request(&e.to_string()))?;
        if bytes.len() as u64 + part.remaining() as u64 > limit {
            let message = format!("the body exceeds {limit} bytes; make it smaller");
            return Err(ApiError::new(
                StatusCode::PAYLOAD_TOO_LARGE,
                "too_large",
                message,
            ));
        }
        bytes.extend_from_slice(&part.copy_to_bytes(part.remaining()));
    }
    Ok(bytes.freeze())
}

fn json(answer: impl Serialize) -> Result<Response, ApiError> {
    Ok(warp::Reply::into_response(warp::reply::json(&answer)))
}

fn text(status: StatusCode, text: String) -> Response {
    warp::Reply::into_response(warp::reply::with_status(text, status))
}

fn bad_request(message: &str) -> ApiError {
    let message = format!("the request is malformed: {message}; correct it and send it again");
    ApiError::new(StatusCode::BAD_REQUEST, "bad_request", message)
}

fn unknown_path() -> ApiError {
    let message = "there is no such call; see docs/OPERATIONS.md for those that are";
    ApiError::new(StatusCode::NOT_FOUND, "not_found", message)
}
