//! JSON messages exchanged with upstreams, the cloud API and the weight store.

use std::{borrow::Cow, net::SocketAddr, time::Duration};

use hyper::StatusCode;
use serde::{Deserialize, Serialize};

use crate::{
    domain::{
        Completion, FencingToken, Incarnation, InstanceName, InstanceState, MachineClass,
        ModelName, Priority, Purchase, ServiceName, ZoneName,
    },
    ports::{
        CacheEvent, CacheEvents, EngineLoad, EngineOrder, InstanceListing, OrderKind,
        ReclaimNotice, UpstreamErrorKind,
    },
};

/// An error response.
#[derive(Debug, Deserialize)]
pub(super) struct ErrorReply {
    pub(super) error: ErrorDetail,
}

/// The kind and message of an error response.
#[derive(Debug, Deserialize)]
pub(super) struct ErrorDetail {
    pub(super) kind: String,
    pub(super) message: String,
}

/// Maps an error response to the kind of error.
pub(super) fn error_kind(status: StatusCode, reply: Option<&ErrorReply>) -> UpstreamErrorKind {
    let kind = reply.map_or("", |reply| reply.error.kind.as_str());
    match (status, kind) {
        (_, "leaving") => UpstreamErrorKind::Leaving,
        (StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS, _) => {
            UpstreamErrorKind::Busy
        }
        (status, _) if status.is_client_error() => UpstreamErrorKind::Rejected,
        _ => UpstreamErrorKind::Protocol,
    }
}

/// The body of a completion request.
#[derive(Debug, Serialize)]
pub(super) struct CompletionBody<'a> {
    request_id: String,
    model: &'a str,
    prompt: &'a str,
    max_tokens: u32,
    seed: u64,
    priority: Priority,
    prefix: &'a [String],
    stream: bool,
}

impl<'a> From<&'a Completion> for CompletionBody<'a> {
    fn from(req: &'a Completion) -> Self {
        Self {
            request_id: req.id.to_string(),
            model: req.model.as_str(),
            prompt: &req.prompt,
            max_tokens: req.max_tokens,
            seed: req.seed,
            priority: req.priority,
            prefix: &req.prefix,
            stream: true,
        }
    }
}

/// One event of a stream: a token, or the finish reason.
#[derive(Debug, Deserialize)]
pub(super) struct StreamEvent<'a> {
    #[serde(borrow)]
    pub(super) request_id: Cow<'a, str>,
    #[serde(default)]
    pub(super) offset: Option<u32>,
    #[serde(default)]
    pub(super) text: Option<String>,
    #[serde(default)]
    pub(super) finish_reason: Option<String>,
    #[serde(default)]
    pub(super) usage: Option<Usage>,
}

/// The token counts that an engine reports.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub(super) struct Usage {
    pub(super) prompt_tokens: u32,
    pub(super) cached_tokens: u32,
}

/// A load report. A plain server omits the fields that only engines have.
#[derive(Debug, Deserialize)]
pub(super) struct LoadReply {
    running: u32,
    queued: u32,
    slots: u32,
    #[serde(default)]
    cache_capacity_tokens: u64,
    #[serde(default)]
    age_ms: u64,
    #[serde(default)]
    leaving: bool,
    #[serde(default)]
    models: Vec<ModelName>,
    #[serde(default)]
    fence: FencingToken,
}

impl From<LoadReply> for EngineLoad {
    fn from(reply: LoadReply) -> Self {
        Self {
            running: reply.running,
            queued: reply.queued,
            slots: reply.slots,
            cache_capacity_tokens: reply.cache_capacity_tokens,
            age: Duration::from_millis(reply.age_ms),
            leaving: reply.leaving,
            models: reply.models,
            fence: reply.fence,
        }
    }
}

/// A page of cache events.
#[derive(Debug, Deserialize)]
pub(super) struct CacheEventsReply {
    events: Vec<CacheEventReply>,
    next: u64,
    gap: bool,
}

#[derive(Debug, Deserialize)]
struct CacheEventReply {
    prefix: u64,
    tokens: u32,
    stored: bool,
}

impl From<CacheEventsReply> for CacheEvents {
    fn from(reply: CacheEventsReply) -> Self {
        let event = |event: CacheEventReply| CacheEvent {
            prefix: event.prefix,
            tokens: event.tokens,
            stored: event.stored,
        };
        Self {
            events: reply.events.into_iter().map(event).collect(),
            next: reply.next,
            gap: reply.gap,
        }
    }
}

/// An order to an engine.
#[derive(Debug, Serialize)]
pub(super) struct OrderBody<'a> {
    kind: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    model: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<&'a str>,
    fence: FencingToken,
}

impl<'a> From<&'a EngineOrder> for OrderBody<'a> {
    fn from(order: &'a EngineOrder) -> Self {
        let (kind, model, version) = match &order.kind {
            OrderKind::Load { model, version } => {
                ("load", Some(model.as_str()), Some(version.as_str()))
            }
            OrderKind::Unload { model } => ("unload", Some(model.as_str()), None),
            OrderKind::Drain => ("drain", None, None),
        };
        Self {
            kind,
            model,
            version,
            fence: order.fence,
        }
    }
}

/// One entry of the instance list.
#[derive(Debug, Deserialize)]
pub(super) struct ListingReply {
    name: InstanceName,
    incarnation: Incarnation,
    service: ServiceName,
    zone: ZoneName,
    class: MachineClass,
    purchase: Purchase,
    address: SocketAddr,
    state: InstanceState,
}

impl From<ListingReply> for InstanceListing {
    fn from(reply: ListingReply) -> Self {
        Self {
            name: reply.name,
            incarnation: reply.incarnation,
            service: reply.service,
            zone: reply.zone,
            class: reply.class,
            purchase: reply.purchase,
            address: reply.address,
            state: reply.state,
        }
    }
}

/// A reclaim notice.
#[derive(Debug, Deserialize)]
pub(super) struct NoticeReply {
    instance: InstanceName,
    incarnation: Incarnation,
    remaining_ms: u64,
}

impl From<NoticeReply> for ReclaimNotice {
    fn from(reply: NoticeReply) -> Self {
        Self {
            instance: reply.instance,
            incarnation: reply.incarnation,
            remaining: Duration::from_millis(reply.remaining_ms),
        }
    }
}

/// A request to start an instance.
#[derive(Debug, Serialize)]
pub(super) struct StartBody<'a> {
    pub(super) operation: String,
    pub(super) service: &'a ServiceName,
    pub(super) zone: &'a ZoneName,
    pub(super) class: &'a MachineClass,
    pub(super) purchase: Purchase,
    pub(super) fence: FencingToken,
}

/// The name of a started instance.
#[derive(Debug, Deserialize)]
pub(super) struct StartReply {
    pub(super) name: InstanceName,
}

/// A request to stop an instance.
#[derive(Debug, Serialize)]
pub(super) struct StopBody {
    pub(super) fence: FencingToken,
}

/// The weight store's estimate of a fetch time.
#[derive(Debug, Deserialize)]
pub(super) struct FetchTimeReply {
    pub(super) fetch_ms: u64,
}

/// The weight store's response when its rate limit is reached.
#[derive(Debug, Deserialize)]
pub(super) struct LimitedReply {
    pub(super) retry_after_ms: u64,
}
