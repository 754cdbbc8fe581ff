//! Routes requests to their handlers, and authenticates their accounts.

use std::sync::Arc;

use bytes::Buf;
use futures_util::Stream;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use warp::{
    http::{HeaderMap, Method, header},
    path::FullPath,
    reply::Response,
};

use super::{addresses, body, completions, error, requests, services};
use crate::{
    domain::{Refusal, RefusalKind, RequestId, ServiceName},
    gateway::{
        core::{Gateway, InFlight},
        view::{AccountEntry, decode_hex},
    },
    ports::{Clock, Upstreams},
};

/// Maximum size of a request's path, query and headers together.
const MAX_HEAD_BYTES: usize = 16 * 1024;

const BEARER_PREFIX: &str = "Bearer ";

/// The head of a request: everything but its body.
#[derive(Debug)]
pub(super) struct RequestHead {
    /// The method.
    pub(super) method: Method,
    /// The path.
    pub(super) path: String,
    /// The query string, empty if there is none.
    pub(super) query: String,
    /// The headers.
    pub(super) headers: HeaderMap,
}

impl RequestHead {
    /// Returns the value of a header, if it is present and is text.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    fn size(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        self.path.len() + self.query.len() + headers
    }

    /// Returns the SHA-256 hash of the bearer token.
    pub(super) fn token_hash(&self) -> Option<[u8; 32]> {
        let value = self.header(header::AUTHORIZATION.as_str())?;
        let token = value.strip_prefix(BEARER_PREFIX)?;
        Some(Sha256::digest(token.as_bytes()).into())
    }
}

/// The authenticated caller of a request for new work.
#[derive(Debug)]
pub(super) struct Caller {
    /// The account.
    pub(super) account: Arc<AccountEntry>,
    /// Counts the request as in progress until it ends.
    pub(super) in_flight: InFlight,
}

/// Responds to a request; a refusal becomes an error response and is counted.
pub(super) async fn handle_request<U: Upstreams, T: Clock, B: Buf>(
    gateway: Arc<Gateway<U, T>>,
    method: Method,
    path: FullPath,
    query: String,
    headers: HeaderMap,
    body: impl Stream<Item = Result<B, warp::Error>> + Send + 'static,
) -> Response {
    let head = RequestHead {
        method,
        path: path.as_str().to_owned(),
        query,
        headers,
    };
    match dispatch(&gateway, &head, body).await {
        Ok(response) => response,
        Err(refusal) => error::counted_refusal_response(&gateway, &refusal),
    }
}

async fn dispatch<U: Upstreams, T: Clock, B: Buf>(
    gateway: &Arc<Gateway<U, T>>,
    head: &RequestHead,
    body: impl Stream<Item = Result<B, warp::Error>> + Send + 'static,
) -> Result<Response, Refusal> {
    if head.size() > MAX_HEAD_BYTES {
        return Err(Refusal::not_run(
            RefusalKind::TooLarge,
            format!("the request's head is over {MAX_HEAD_BYTES} bytes; send fewer headers"),
        ));
    }
    let segments: Vec<&str> = head.path.split('/').skip(1).collect();
    match (segments.as_slice(), &head.method) {
        (["healthz"], &Method::GET) => Ok(Response::new("ok\n".into())),
        (["readyz"], &Method::GET) => gateway
            .check_accepting()
            .map(|()| Response::new("ok\n".into())),
        (["metrics"], &Method::GET) => Ok(metrics(gateway)),
        (["v1", "addresses"], &Method::GET) => addresses::list_addresses(gateway, head),
        (["v1", "explain", "request", id], &Method::GET) => {
            explain_request(gateway, head, id).await
        }
        (["v1", "requests", id], &Method::GET) => requests::resume_answer(gateway, head, id).await,
        (["v1", "completions"], &Method::POST) => {
            let caller = admit_caller(gateway, head)?;
            let body = body::read_body(gateway, head, &caller.account.name, body).await?;
            completions::generate(gateway, caller, &body, false).await
        }
        (["v1", "chat", "completions"], &Method::POST) => {
            let caller = admit_caller(gateway, head)?;
            let body = body::read_body(gateway, head, &caller.account.name, body).await?;
            completions::generate(gateway, caller, &body, true).await
        }
        (["v1", "services", service, ..], _) => {
            let answer = call_service(gateway, head, (*service).into(), body).await;
            answer.map_err(|refusal| services::mark_possibly_run(head, refusal))
        }
        (path, _) if is_known_path(path) => Err(method_not_allowed()),
        _ => Err(not_found()),
    }
}

async fn call_service<U: Upstreams, T: Clock, B: Buf>(
    gateway: &Arc<Gateway<U, T>>,
    head: &RequestHead,
    service: ServiceName,
    body: impl Stream<Item = Result<B, warp::Error>> + Send + 'static,
) -> Result<Response, Refusal> {
    let caller = admit_caller(gateway, head)?;
    let call = services::prepare_call(gateway, head, caller, service)?;
    let body = body::read_body(gateway, head, call.account(), body).await?;
    services::make_call(gateway, head, call, body).await
}

fn is_known_path(segments: &[&str]) -> bool {
    matches!(
        segments,
        ["healthz" | "readyz" | "metrics"]
            | ["v1", "addresses" | "completions"]
            | ["v1", "chat", "completions"]
            | ["v1", "requests", _]
            | ["v1", "explain", "request", _]
    )
}

/// Authenticates the caller and checks that this gateway accepts new work. The account is checked
/// first, so that unauthenticated callers get no information.
fn admit_caller<U: Upstreams, T: Clock>(
    gateway: &Gateway<U, T>,
    head: &RequestHead,
) -> Result<Caller, Refusal> {
    let account = authenticate(gateway, head)?;
    gateway.check_accepting()?;
    Ok(Caller {
        account,
        in_flight: gateway.begin_request()?,
    })
}

/// Returns the account of the request's bearer token. Without a view no token is known to be invalid,
/// so the request is refused for the missing lease.
pub(super) fn authenticate<U: Upstreams, T: Clock>(
    gateway: &Gateway<U, T>,
    head: &RequestHead,
) -> Result<Arc<AccountEntry>, Refusal> {
    if gateway.has_no_view() {
        gateway.check_lease()?;
    }
    let snapshot = gateway.snapshot.load();
    head.token_hash()
        .and_then(|hash| snapshot.account_by_token_hash(&hash).cloned())
        .ok_or_else(unauthorized)
}

fn metrics<U: Upstreams, T: Clock>(gateway: &Gateway<U, T>) -> Response {
    Response::new(gateway.metrics.render().into())
}

async fn explain_request<U: Upstreams, T: Clock>(
    gateway: &Gateway<U, T>,
    head: &RequestHead,
    id: &str,
) -> Result<Response, Refusal> {
    check_operator(gateway, head)?;
    let id = parse_request_id(id)?;
    let explanation = gateway.decisions.explain(id).await;
    let explanation = explanation.ok_or_else(not_found)?;
    Ok(error::json_response(&explanation))
}

fn check_operator<U: Upstreams, T: Clock>(
    gateway: &Gateway<U, T>,
    head: &RequestHead,
) -> Result<(), Refusal> {
    let hash = gateway.settings.operator_token_sha256.as_deref();
    let expected = hash.and_then(decode_hex).ok_or_else(not_found)?;
    let given = head.token_hash().ok_or_else(unauthorized)?;
    let token_matches: bool = expected.ct_eq(&given).into();
    if token_matches {
        Ok(())
    } else {
        Err(unauthorized())
    }
}

/// Parses the request id in a path.
pub(super) fn parse_request_id(text: &str) -> Result<RequestId, Refusal> {
    text.parse().map_err(|_| {
        Refusal::not_run(
            RefusalKind::BadRequest,
            "the request id is not a UUID; take it from the header x-request-id",
        )
    })
}

fn unauthorized() -> Refusal {
    Refusal::not_run(
        RefusalKind::Unauthorized,
        "no account has this bearer token; send the header Authorization: Bearer <token>",
    )
}

/// Refuses an unknown path or request.
pub(super) fn not_found() -> Refusal {
    Refusal::not_run(
        RefusalKind::NotFound,
        "there is nothing at this path; see the callers' interface for the paths",
    )
}

fn method_not_allowed() -> Refusal {
    Refusal::not_run(
        RefusalKind::MethodNotAllowed,
        "this path has another method; see the callers' interface",
    )
}
