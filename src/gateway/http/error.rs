//! The error format of all responses to callers.

use std::{net::SocketAddr, time::Duration};

use serde::Serialize;
use warp::{
    http::{HeaderName, HeaderValue, StatusCode, header},
    reply::Response,
};

use crate::{
    domain::{GatewayEntry, Ran, Refusal, RefusalKind, RequestId},
    gateway::core::Gateway,
    ports::{Clock, Upstreams},
};

const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// The body of every error response.
#[derive(Debug, Serialize)]
pub(super) struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorDetail<'a> {
    kind: RefusalKind,
    message: &'a str,
    ran: Ran,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    addresses: Vec<Address<'a>>,
}

/// A gateway's address in a response.
#[derive(Debug, Serialize)]
pub(super) struct Address<'a> {
    name: &'a str,
    zone: &'a str,
    address: SocketAddr,
}

impl<'a> From<&'a GatewayEntry> for Address<'a> {
    fn from(entry: &'a GatewayEntry) -> Self {
        Self {
            name: entry.name.as_str(),
            zone: entry.zone.as_str(),
            address: entry.caller_address,
        }
    }
}

impl<'a> ErrorBody<'a> {
    /// Describes a refusal. The addresses of `others` are included if the caller should try them.
    pub(super) fn new(refusal: &'a Refusal, others: &'a [GatewayEntry]) -> Self {
        let try_others = match refusal.kind {
            RefusalKind::Leaving | RefusalKind::NoLease => true,
            // Not found and possibly run means a request that another gateway may know.
            RefusalKind::NotFound => refusal.ran == Ran::Unknown,
            _ => false,
        };
        let others = if try_others { others } else { &[] };
        Self {
            error: ErrorDetail {
                kind: refusal.kind,
                message: &refusal.message,
                ran: refusal.ran,
                addresses: others.iter().map(Address::from).collect(),
            },
        }
    }
}

/// Counts a refusal in the metrics and returns its response.
pub(super) fn counted_refusal_response<U: Upstreams, T: Clock>(
    gateway: &Gateway<U, T>,
    refusal: &Refusal,
) -> Response {
    gateway.metrics.count_refusal(refusal.kind);
    refusal_response(refusal, &gateway.other_gateways())
}

/// Sets the request id in a response, so that the caller can resume the request and an operator can
/// look up its decisions.
pub(super) fn set_request_id(response: &mut Response, id: RequestId) {
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
}

/// Returns the response for a refusal.
pub(super) fn refusal_response(refusal: &Refusal, others: &[GatewayEntry]) -> Response {
    let mut response = json_response(&ErrorBody::new(refusal, others));
    *response.status_mut() =
        StatusCode::from_u16(refusal.kind.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    if let Some(delay) = refusal.retry_after {
        let seconds = HeaderValue::from(round_up_to_seconds(delay));
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

fn round_up_to_seconds(delay: Duration) -> u64 {
    delay.as_secs() + u64::from(delay.subsec_nanos() > 0)
}

/// Returns a response with a JSON document.
pub(super) fn json_response(body: &impl Serialize) -> Response {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(bytes.into());
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
