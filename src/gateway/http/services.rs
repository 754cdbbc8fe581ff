//! `/v1/services/{service}/{path}`: calls to plain services.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::time::Instant;
use warp::{
    http::{HeaderName, HeaderValue, StatusCode, header},
    reply::{Reply, Response},
};

use super::{
    completions::admission_request,
    error,
    routes::{Caller, RequestHead},
};
use crate::{
    adapters::http::end_with_connection,
    domain::{AccountName, IdempotencyKey, Ran, Refusal, RefusalKind, RequestId, ServiceName},
    gateway::{
        core::Gateway,
        explain::DecisionKind,
        services::{PlainAnswer, PlainCall},
        view::ServiceEntry,
    },
    ports::{Clock, ServiceCall, Upstreams},
};

const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Marks a response that is replayed from the record of an earlier call.
const REPLAYED_HEADER: HeaderName = HeaderName::from_static("x-replayed");

/// Time after which a caller may retry with a key whose claim was not settled.
const UNSETTLED_CLAIM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Path segments before the part that is sent to the service.
const ROUTE_PREFIX_SEGMENTS: usize = 4;

/// A call that matches a declared operation of its service.
#[derive(Debug)]
pub(super) struct PreparedCall {
    caller: Caller,
    service: Arc<ServiceEntry>,
    path: String,
    /// The key of a call that may run only once; `None` for an idempotent call.
    key: Option<IdempotencyKey>,
    arrived: Instant,
}

impl PreparedCall {
    /// Returns the account that makes the call.
    pub(super) fn account(&self) -> &AccountName {
        &self.caller.account.name
    }
}

/// Validates a call before its body is read.
pub(super) fn prepare_call<U: Upstreams, T: Clock>(
    gateway: &Gateway<U, T>,
    head: &RequestHead,
    caller: Caller,
    service: ServiceName,
) -> Result<PreparedCall, Refusal> {
    let service = gateway.snapshot.load().service(&service).cloned();
    let service = service.ok_or_else(unknown_operation)?;
    let path = service_path(&head.path);
    check_path_segments(&path)?;
    let operation = service
        .operation(head.method.as_str(), &path)
        .ok_or_else(unknown_operation)?;
    let key = match operation.idempotent {
        true => None,
        false => Some(idempotency_key(head)?),
    };
    let path = match head.query.is_empty() {
        true => path,
        false => format!("{path}?{}", head.query),
    };
    Ok(PreparedCall {
        caller,
        service,
        path,
        key,
        arrived: Instant::now(),
    })
}

fn service_path(path: &str) -> String {
    let segments: Vec<&str> = path.split('/').skip(ROUTE_PREFIX_SEGMENTS).collect();
    format!("/{}", segments.join("/"))
}

/// Refuses dot segments, which a server may resolve: the call could then be another operation than the
/// one that was matched here, and one that may run only once would be repeated.
fn check_path_segments(path: &str) -> Result<(), Refusal> {
    let is_dot_segment = |segment: &str| {
        let decoded = segment.to_ascii_lowercase().replace("%2e", ".");
        decoded == "." || decoded == ".."
    };
    if !path.split('/').any(is_dot_segment) {
        return Ok(());
    }
    Err(Refusal::not_run(
        RefusalKind::BadRequest,
        "the path has a segment of dots only; send the path that the service declares",
    ))
}

/// Marks a call with a key as possibly run if it was refused for a temporary reason before its claim
/// was settled: an earlier attempt with the key may have run, at any gateway.
pub(super) fn mark_possibly_run(head: &RequestHead, refusal: Refusal) -> Refusal {
    let temporary = matches!(
        refusal.kind,
        RefusalKind::Leaving
            | RefusalKind::NoLease
            | RefusalKind::OverShare
            | RefusalKind::Overloaded
            | RefusalKind::TooSlow
    );
    if !temporary || head.header(IDEMPOTENCY_KEY_HEADER).is_none() {
        return refusal;
    }
    // `Retry-After` tells the caller that a retry can succeed; a lost answer has none.
    Refusal {
        ran: Ran::Unknown,
        retry_after: refusal.retry_after.or(Some(UNSETTLED_CLAIM_RETRY_AFTER)),
        message: format!(
            "{}; this request was not sent on, but an earlier one with its Idempotency-Key may have \
             run, so use the same key again",
            refusal.message
        ),
        ..refusal
    }
}

fn idempotency_key(head: &RequestHead) -> Result<IdempotencyKey, Refusal> {
    let text = head.header(IDEMPOTENCY_KEY_HEADER).ok_or_else(|| {
        Refusal::not_run(
            RefusalKind::KeyRequired,
            "this call may run only once; send an Idempotency-Key, a new version 7 UUID for each call",
        )
    })?;
    text.parse()
        .map_err(|e| Refusal::not_run(RefusalKind::KeyRequired, format!("{e}")))
}

/// Admits the call, sends it and returns its response.
pub(super) async fn make_call<U: Upstreams, T: Clock>(
    gateway: &Arc<Gateway<U, T>>,
    head: &RequestHead,
    prepared: PreparedCall,
    body: Bytes,
) -> Result<Response, Refusal> {
    let (account, service) = (&prepared.caller.account, &prepared.service);
    let due = prepared.arrived + gateway.settings.timing.first_byte_timeout;
    let admission_request = admission_request(service, account, prepared.arrived, due)?;
    service.retry_budget.record_request();
    let permit = service.queue.admit(admission_request).await?;
    account
        .metrics
        .record_queue_wait(prepared.arrived.elapsed());
    gateway.check_accepting_account(account)?;
    let id = RequestId::generate();
    let call = PlainCall {
        id,
        account: Arc::clone(account),
        service: service.service.name.clone(),
        call: service_call(gateway, head, &prepared, body),
        arrived: prepared.arrived,
        _permit: permit,
        _in_flight: prepared.caller.in_flight,
    };
    let admitted = DecisionKind::Admitted(account.name.clone());
    gateway
        .decisions
        .record(id, gateway.clock.unix_ms(), admitted);
    let answer = match prepared.key {
        None => gateway.call_idempotent(&call).await,
        Some(key) => gateway.call_once(call, key).await,
    };
    let mut response = match answer {
        Ok(answer) => answer_response(answer),
        Err(refusal) => {
            let refused = DecisionKind::Refused(refusal.kind, refusal.ran);
            gateway
                .decisions
                .record(id, gateway.clock.unix_ms(), refused);
            error::counted_refusal_response(gateway, &refusal)
        }
    };
    error::set_request_id(&mut response, id);
    Ok(response)
}

fn service_call<U: Upstreams, T: Clock>(
    gateway: &Gateway<U, T>,
    head: &RequestHead,
    prepared: &PreparedCall,
    body: Bytes,
) -> ServiceCall {
    let content_type = head.header(header::CONTENT_TYPE.as_str());
    ServiceCall {
        method: head.method.to_string(),
        path: prepared.path.clone(),
        content_type: content_type.map(str::to_owned),
        body,
        key: prepared.key.map(|key| key.to_string()),
        timeout: gateway.settings.timing.request_timeout,
    }
}

fn answer_response(answer: PlainAnswer) -> Response {
    let replayed = matches!(answer, PlainAnswer::Replayed(_));
    let (status, content_type, body, ends_with_connection) = match answer {
        PlainAnswer::Fresh(reply) => (
            reply.status,
            reply.content_type,
            reply.body,
            reply.ends_with_connection,
        ),
        PlainAnswer::Replayed(outcome) => (
            u16::try_from(outcome.status).unwrap_or_default(),
            outcome.content_type,
            outcome.body,
            outcome.ends_with_connection,
        ),
    };
    let mut response = match ends_with_connection {
        true => response_without_length(body),
        false => Response::new(body.into()),
    };
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    if let Ok(content_type) = HeaderValue::from_str(&content_type) {
        headers.insert(header::CONTENT_TYPE, content_type);
    }
    if replayed {
        headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    }
    response
}

/// Builds a response that ends with its connection, since its framing would state that the body is complete.
fn response_without_length(body: Bytes) -> Response {
    let chunks = futures_util::stream::iter([Ok::<_, Infallible>(body)]);
    let mut response = warp::reply::stream(chunks).into_response();
    end_with_connection(&mut response);
    response
}

fn unknown_operation() -> Refusal {
    Refusal::not_run(
        RefusalKind::NotFound,
        "no service offers this call; see the declared operations",
    )
}
