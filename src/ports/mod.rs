//! Traits at the boundary of a process. `crate::adapters` implements them for production, and tests use
//! small fakes. Components inside a process are concrete types.

mod clock;
mod cloud;
mod dialer;
mod platform;
mod send_right;
mod upstream;
mod weights;

pub use clock::Clock;
pub use cloud::{
    CloudApi, CloudError, InstanceListing, ReclaimNotice, RejectedItem, RejectedItems, StartRequest,
};
pub use dialer::Dialer;
pub use platform::{
    AcceptedRate, DutyHolder, ForwardContext, ListedPage, ListedUpstream, Platform, PromptPart,
    PromptSizes, ReportedLoad, RequestMetadata, ResponseMetadata, StatedBrittleness, UpstreamOrder,
    WindowUsage,
};
pub use send_right::SendRight;
pub use upstream::{
    CacheEvent, CacheEvents, EngineLoad, EngineOrder, OrderKind, OrderOutcome, Sent, ServiceCall,
    ServiceReply, StreamEnd, StreamItem, Target, TokenStream, UpstreamError, UpstreamErrorKind,
    Upstreams,
};
pub use weights::{WeightError, WeightStore};

use std::sync::Arc;

use crate::telemetry::Metrics;

/// The external dependencies of a process, passed to its role on start.
#[derive(Clone, Debug)]
pub struct Ports<U, C, T> {
    /// Client for model engines and plain servers.
    pub upstreams: Arc<U>,
    /// The cloud API, if one is configured.
    pub cloud: Option<Arc<C>>,
    /// The process's clocks.
    pub clock: Arc<T>,
    /// Registry of the process's metrics.
    pub metrics: Metrics,
}
