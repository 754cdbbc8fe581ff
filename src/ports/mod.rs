//! Traits at the edges of a process. Production code meets them with `crate::adapters`; tests meet
//! them with small fakes. Nothing inside a process is a trait.

mod clock;
mod cloud;
mod platform;
mod upstream;
mod weights;

pub use clock::Clock;
pub use cloud::{CloudApi, CloudError, InstanceListing, ReclaimNotice, StartRequest};
pub use platform::{
    DutyHolder, ForwardContext, ListedPage, ListedUpstream, Platform, PromptPart, PromptSizes,
    ReportedLoad, RequestMetadata, ResponseMetadata, UpstreamOrder, WindowUsage,
};
pub use upstream::{
    CacheEvent, CacheEvents, EngineLoad, EngineOrder, OrderKind, OrderOutcome, Sent, ServiceCall,
    ServiceReply, StreamEnd, StreamItem, Target, TokenStream, UpstreamError, UpstreamErrorKind,
    Upstreams,
};
pub use weights::{WeightError, WeightStore};

use std::sync::Arc;

use crate::telemetry::Metrics;

/// The outside of a process, handed to its role at the start.
#[derive(Clone, Debug)]
pub struct Ports<U, C, T> {
    /// Model engines and plain servers.
    pub upstreams: Arc<U>,
    /// The cloud API, if the settings name one.
    pub cloud: Option<Arc<C>>,
    /// The time.
    pub clock: Arc<T>,
    /// The process's metrics.
    pub metrics: Metrics,
}
