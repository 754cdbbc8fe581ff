//! Messages about the speeds of upstreams, as parts of [`super::FollowRequest`] and [`super::FollowReply`]. See docs/design/PACES.md.

use crate::policy::pace::PaceSums;

/// What a gateway observed of the upstreams of a service since its last report.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PaceReport {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The upstreams that it used.
    #[prost(message, repeated, tag = "2")]
    pub upstreams: Vec<ObservedPace>,
}

/// Sums over the requests to one upstream; see [`PaceSums`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct ObservedPace {
    /// The upstream.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Requests.
    #[prost(uint32, tag = "2")]
    pub count: u32,
    /// Logarithms of times in seconds.
    #[prost(float, tag = "3")]
    pub logs: f32,
    /// Squares of the logarithms.
    #[prost(float, tag = "4")]
    pub logs_squared: f32,
    /// Loads, as multiples of the upstream's slots.
    #[prost(float, tag = "5")]
    pub loads: f32,
    /// Squares of the loads.
    #[prost(float, tag = "6")]
    pub loads_squared: f32,
    /// Products of logarithms and loads.
    #[prost(float, tag = "7")]
    pub products: f32,
}

impl ObservedPace {
    /// Describes the sums of an upstream.
    pub fn new(instance: String, sums: &PaceSums) -> Self {
        Self {
            instance,
            count: sums.count as u32,
            logs: sums.logs as f32,
            logs_squared: sums.logs_squared as f32,
            loads: sums.loads as f32,
            loads_squared: sums.loads_squared as f32,
            products: sums.products as f32,
        }
    }

    /// Returns the sums.
    pub fn sums(&self) -> PaceSums {
        PaceSums {
            count: f64::from(self.count),
            logs: self.logs.into(),
            logs_squared: self.logs_squared.into(),
            loads: self.loads.into(),
            loads_squared: self.loads_squared.into(),
            products: self.products.into(),
        }
    }
}

/// The learned speeds of upstreams, as the leader tells them.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PaceTable {
    /// Version that the gateway holds after it has applied this. Versions can be compared for equality only.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Whether the rows change those of the held version; otherwise all upstreams without a row are as fast as usual.
    #[prost(bool, tag = "2")]
    pub is_delta: bool,
    /// The upstreams.
    #[prost(message, repeated, tag = "3")]
    pub rows: Vec<PaceRow>,
}

/// The learned speed of an upstream.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PaceRow {
    /// The upstream.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Its speed in percent of its service's mean.
    #[prost(uint32, tag = "2")]
    pub percent: u32,
}
