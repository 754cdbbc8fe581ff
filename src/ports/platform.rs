//! The platform that an installation runs on: its list of upstreams, its duties, and the names that
//! requests, answers and published documents bear there.

use std::{future::Future, net::SocketAddr, time::Duration};

use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};

use super::CloudError;
use crate::domain::{
    AccountName, FencingToken, InstanceName, InvalidTable, RouteTable, ServiceName, ZoneName,
};

/// One upstream in the platform's list, which may be seconds old.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedUpstream {
    /// The platform's name for this start of the upstream.
    pub instance: InstanceName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// Where it runs.
    pub zone: ZoneName,
    /// Requests that it serves at once.
    pub slots: u32,
    /// Whether it gets no new work.
    pub leaving: bool,
    /// Whether the platform may take it back.
    pub reclaimable: bool,
    /// How much longer it is slow after its start, in milliseconds.
    pub cold_left_ms: u32,
}

/// A page of the platform's list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListedPage {
    /// Its upstreams.
    pub upstreams: Vec<ListedUpstream>,
    /// What names the following page; nothing on the last one.
    pub next: Option<String>,
}

/// Requests of each account that began to run in one window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WindowUsage {
    /// The window's number, counted from the Unix epoch.
    pub window: u64,
    /// Requests by account.
    pub counts: Vec<(AccountName, u64)>,
}

/// How many upstreams of one kind a service should have in a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamOrder {
    /// The service.
    pub service: ServiceName,
    /// The zone.
    pub zone: ZoneName,
    /// How many.
    pub count: u32,
    /// Whether the platform may take them back.
    pub reclaimable: bool,
}

/// What is known of a request from its head.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMetadata {
    /// The caller's identifier of this attempt.
    pub id: Option<String>,
    /// The caller's key.
    pub key: Option<String>,
    /// How long the caller waits, from when it sent the request.
    pub timeout: Option<Duration>,
    /// The last event that the caller has, if it continues a stream.
    pub resume_after: Option<u64>,
    /// Sizes of a request to a model.
    pub prompt: Option<PromptSizes>,
}

/// Sizes of a request to a model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptSizes {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    pub max_output_tokens: u64,
    /// Parts of the prompt in order: a hash and how many tokens it has. The last one belongs to this
    /// request or its session, the ones before may be shared with other requests.
    pub parts: Vec<PromptPart>,
}

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Names the part.
    pub hash: u64,
    /// Its tokens.
    pub tokens: u64,
}

/// What a gateway adds to a request on its way to an upstream.
#[derive(Clone, Debug)]
pub struct ForwardContext<'a> {
    /// Time left until the caller gives up.
    pub left: Option<Duration>,
    /// The upstream that the request is meant for.
    pub instance: &'a InstanceName,
    /// The account that holds the caller's key.
    pub account: Option<&'a AccountName>,
    /// Continues after this event, if a stream is taken up again.
    pub resume_after: Option<u64>,
}

/// What is known of an answer from its head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// The request that it answers, if it says so.
    pub id: Option<String>,
    /// Whether the upstream says that it has not run the request and never will.
    pub not_executed: bool,
    /// Whether it bears the upstream's signature.
    pub signed: bool,
    /// The upstream's load when it answered.
    pub load: Option<ReportedLoad>,
    /// Whether the upstream says that it leaves.
    pub leaving: bool,
    /// The time for which an upstream that turned a request away wants no other from this gateway.
    pub pause: Option<Duration>,
}

/// An upstream's own account of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// Who acts towards the platform for one duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyHolder {
    /// The holder's name.
    pub name: std::sync::Arc<str>,
    /// Grows whenever the holder changes.
    pub fence: FencingToken,
}

/// The platform as controllers and gateways use it.
pub trait Platform: Send + Sync + 'static {
    /// Reads a page of the list of upstreams; the first one if none is named.
    fn list_upstreams(
        &self,
        page: Option<&str>,
    ) -> impl Future<Output = Result<ListedPage, CloudError>> + Send;

    /// Reports the usage of one window.
    fn report_usage(
        &self,
        holder: &DutyHolder,
        usage: &WindowUsage,
    ) -> impl Future<Output = Result<(), CloudError>> + Send;

    /// Orders upstreams. `CloudError::Refused` says that there are none to be had now.
    fn order_upstreams(
        &self,
        holder: &DutyHolder,
        order: &UpstreamOrder,
    ) -> impl Future<Output = Result<(), CloudError>> + Send;

    /// Reads a published document.
    fn read_table(&self, document: &Bytes) -> Result<RouteTable, InvalidTable>;

    /// Reads the head of a caller's request.
    fn read_request(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Turns a caller's head into the one that an upstream gets.
    fn forward_request(&self, headers: &mut HeaderMap, forwarding: &ForwardContext<'_>);

    /// Reads the head of an upstream's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata;

    /// Adds to a refusal which request it answers, and after which time the caller may come back.
    fn mark_refusal(&self, headers: &mut HeaderMap, id: &str, retry_after: Option<Duration>);
}
