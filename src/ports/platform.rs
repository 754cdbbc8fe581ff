//! The platform that an installation runs on: its list of upstreams, the calls that controllers make to it,
//! and its formats of request headers, response headers and published documents.

use std::{future::Future, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{HeaderMap, StatusCode, header::HeaderValue};

use super::{CloudError, RejectedItems, SendRight};
use crate::domain::{
    AccountName, FencingToken, InstanceName, InvalidTable, RouteTable, ServiceName,
    SoftwareVersion, ZoneName,
};

/// One entry of the platform's list of upstreams, which may be seconds old.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedUpstream {
    /// The platform's name for this start of the upstream; a restart gets another name.
    pub instance: InstanceName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The availability zone that it runs in.
    pub zone: ZoneName,
    /// The version of its software.
    pub software: SoftwareVersion,
    /// Maximum number of requests that it serves concurrently.
    pub slots: u32,
    /// Whether it is draining and must get no new requests.
    pub leaving: bool,
    /// Whether the platform may reclaim it.
    pub reclaimable: bool,
    /// Remaining time of its slow phase after the start (cold start), in milliseconds.
    pub cold_left_ms: u32,
}

/// One page of the platform's list of upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListedPage {
    /// The upstreams on this page.
    pub upstreams: Vec<ListedUpstream>,
    /// Token of the next page; `None` on the last page, and if the end of this one can't be read.
    pub next: Option<String>,
    /// The entries on this page that name no upstream.
    pub rejected: RejectedItems,
    /// Why the end of the page can't be read, if so. Further upstreams may be on it and on other pages.
    pub cut: Option<String>,
}

/// Number of requests per account that started to run in one usage window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WindowUsage {
    /// Window number, counted from the Unix epoch.
    pub window: u64,
    /// Number of requests by account.
    pub counts: Vec<(AccountName, u64)>,
}

/// Desired number of upstreams of a service in a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamOrder {
    /// The service.
    pub service: ServiceName,
    /// The zone.
    pub zone: ZoneName,
    /// Desired number of upstreams.
    pub count: u32,
    /// Whether the platform may reclaim them.
    pub reclaimable: bool,
}

/// Metadata that the platform's headers give about a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMetadata {
    /// The caller's identifier for this attempt.
    pub id: Option<String>,
    /// The caller's API key.
    pub key: Option<String>,
    /// How long the caller waits for the response, counted from when it sent the request.
    pub timeout: Option<Duration>,
    /// Number of the last event that the caller received, if it resumes a stream.
    pub resume_after: Option<u64>,
    /// Identifier of the request that brought the caller the first event of the stream that it resumes.
    pub resumes: Option<String>,
    /// Token counts of the prompt, if the request is for a model.
    pub prompt: Option<PromptSizes>,
}

/// Token counts of a request to a model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptSizes {
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Maximum number of tokens to generate.
    pub max_output_tokens: u64,
    /// Segments of the prompt in order. The last one is specific to this request or its session; the
    /// preceding ones may be shared with other requests.
    pub parts: Vec<PromptPart>,
}

impl PromptSizes {
    /// Returns the number of prompt tokens that are unique to the request, so that no upstream has them cached.
    pub fn new_tokens(&self) -> u32 {
        let own = self.parts.last();
        own.map_or(self.prompt_tokens, |part| part.tokens) as u32
    }
}

/// One segment of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash that identifies the segment's content.
    pub hash: u64,
    /// Number of tokens in the segment.
    pub tokens: u64,
}

/// Information that a gateway adds to a request when it forwards it to an upstream.
#[derive(Clone, Debug)]
pub struct ForwardContext<'a> {
    /// Time left until the caller's deadline.
    pub time_left: Option<Duration>,
    /// The upstream instance that must serve the request.
    pub instance: &'a InstanceName,
    /// The account that the caller's API key belongs to.
    pub account: Option<&'a AccountName>,
    /// Number of the last event that the caller received, if a stream is resumed.
    pub resume_after: Option<u64>,
}

/// Metadata that the platform's headers give about an upstream's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// Identifier of the request that it answers, if present.
    pub id: Option<String>,
    /// Whether the upstream declares that it has not executed the request and never will.
    pub not_executed: bool,
    /// Whether it carries the upstream's signature.
    pub signed: bool,
    /// The upstream's load at the time of the response.
    pub load: Option<ReportedLoad>,
    /// Whether the upstream announces that it is leaving.
    pub leaving: bool,
    /// Time for which an upstream that rejected a request asks this gateway to send no others.
    pub pause: Option<Duration>,
    /// The request rate that the upstream accepts from all gateways together.
    pub rate: AcceptedRate,
    /// Whether the upstream falls over when it has to reject many requests.
    pub brittle: StatedBrittleness,
}

/// Whether an upstream falls over when it has to reject many requests, as one of its responses states it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StatedBrittleness {
    /// The response does not state it.
    #[default]
    No,
    /// The upstream bears this many rejections per second.
    Bears(u32),
    /// The response states something that is no number, and so says nothing.
    Unreadable,
}

/// The request rate that an upstream accepts from all gateways together, as one of its responses states it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AcceptedRate {
    /// The response states no limit.
    #[default]
    Unlimited,
    /// Requests per second, finite and not negative.
    PerSecond(f64),
    /// The response states a limit that is not a rate, and so says nothing.
    Unreadable,
}

/// The load that an upstream reports about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Time that work takes there now, in percent of the usual time; missing if it does not tell.
    pub pace_percent: Option<u32>,
}

/// The current holder of a duty, on whose behalf one call to the platform is made. It is not cloned: each call needs a check
/// of its own that the duty is still held, because time passes while the platform answers.
#[derive(Debug)]
pub struct DutyHolder {
    /// The holder's name.
    pub name: Arc<str>,
    /// Fencing token that increases whenever the holder changes.
    pub fence: FencingToken,
    /// The right to act under the token, which ends before another holder acts.
    pub right: Arc<dyn SendRight>,
}

/// The platform as used by controllers and gateways.
pub trait Platform: Send + Sync + 'static {
    /// Reads a page of the list of upstreams, or the first page if `page` is `None`. An entry that can't be read is
    /// rejected and hides no other. Returns `CloudError::Unreadable` if the page can't be split into entries.
    fn list_upstreams(
        &self,
        page: Option<&str>,
    ) -> impl Future<Output = Result<ListedPage, CloudError>> + Send;

    /// Reports the usage of one window to the platform.
    fn report_usage(
        &self,
        holder: DutyHolder,
        usage: &WindowUsage,
    ) -> impl Future<Output = Result<(), CloudError>> + Send;

    /// Sets the desired number of upstreams. Returns `CloudError::Refused` if the platform has no capacity
    /// now.
    fn order_upstreams(
        &self,
        holder: DutyHolder,
        order: &UpstreamOrder,
    ) -> impl Future<Output = Result<(), CloudError>> + Send;

    /// Parses a published document into a route table.
    fn read_table(&self, document: &Bytes) -> Result<RouteTable, InvalidTable>;

    /// Returns the caller's identifier of a request.
    fn request_id(&self, headers: &HeaderMap) -> Option<HeaderValue>;

    /// Extracts the metadata of a caller's request from its headers.
    fn read_request(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Rewrites a caller's headers into those that the upstream gets.
    fn forward_request(&self, headers: &mut HeaderMap, forwarding: &ForwardContext<'_>);

    /// Extracts the metadata of an upstream's response from its status and headers.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata;

    /// Adds the request's identifier and the time after which the caller may retry to the headers of a
    /// refusal.
    fn mark_refusal(&self, headers: &mut HeaderMap, id: &str, retry_after: Option<Duration>);
}
