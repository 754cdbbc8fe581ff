//! Traits at the edges of a process. Production code meets them with `crate::adapters`; tests meet
//! them with small fakes. Nothing inside a process is a trait.

mod clock;
mod cloud;
mod upstream;
mod weights;

pub use clock::Clock;
pub use cloud::{CloudApi, CloudError, InstanceListing, ReclaimNotice, StartRequest};
pub use upstream::{
    CacheEvent, CacheEvents, EngineLoad, EngineOrder, OrderKind, OrderOutcome, Sent, ServiceCall,
    ServiceReply, StreamEnd, StreamItem, Target, TokenStream, UpstreamError, UpstreamErrorKind,
    Upstreams,
};
pub use weights::{WeightError, WeightStore};
