//! Settings for serving published routes: at a gateway, the addresses for callers; at a controller, the
//! address where operators publish documents. docs/SETTINGS.md explains each field.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::policy::{quota::QuotaRule, rollout::Bounds};

/// Settings of a process that serves or publishes routes.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ingress {
    /// Where callers connect to a gateway, or operators publish at a controller.
    pub address: SocketAddr,
    /// Where a gateway serves readiness checks.
    #[serde(default)]
    pub ready_address: Option<SocketAddr>,
    /// Where a gateway serves the list of gateway addresses to callers.
    #[serde(default)]
    pub directory_address: Option<SocketAddr>,
    /// Where the metrics are served, at `/metrics`.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// Address of the platform's API.
    pub platform_address: SocketAddr,
    /// Interval at which the leader reads the platform's list of instances.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "list_interval_ms", default = "list_interval")]
    pub list_interval: Duration,
    /// Calls of the list that the platform accepts per second; unlimited if absent.
    #[serde(default)]
    pub list_calls_per_second: Option<f64>,
    /// Length of a usage window; no usage is reported if absent.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "usage_window_ms", default)]
    pub usage_window: Option<Duration>,
    /// How long a new leader waits before it acts on the platform. This keeps duties from moving back
    /// and forth between controllers within this time.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "duty_lease_ms", default = "duty_lease")]
    pub duty_lease: Duration,
    /// Sliding window of quotas: within any window of this length, an account may use what its rate
    /// yields in that time plus its burst. If absent, the burst is granted only once.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "quota_window_ms", default)]
    pub quota_window: Option<Duration>,
    /// Fraction by which an account may exceed its quota in a window.
    #[serde(default)]
    pub quota_overage: f64,
    /// Units by which an account may exceed its quota in a window, in addition to `quota_overage`.
    #[serde(default)]
    pub quota_slack: f64,
    /// Retry budget of a service, as a fraction of the requests for it.
    #[serde(default = "retry_ratio")]
    pub retry_ratio: f64,
    /// Retries that a service may get in each retry window in addition to `retry_ratio`, over all
    /// gateways.
    #[serde(default)]
    pub retry_slack: f64,
    /// Window over which retries are counted.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "retry_window_ms", default = "retry_window")]
    pub retry_window: Duration,
    /// Whether the speeds of upstreams are learned and requests are placed by them; see docs/design/PACES.md.
    #[serde(default)]
    pub learn_paces: bool,
    /// Bounds of roll-outs; operators can't order any if absent.
    #[serde(default)]
    pub rollout: Option<RolloutLimits>,
    /// Whether callers are given to gateways by the capacity of their machines. See docs/design/GATEWAY_CAPACITY.md.
    #[serde(default)]
    pub share_callers: bool,
    /// Whether a gateway divides a service with too little room fairly among the accounts, and refuses requests
    /// for which there is none before it reads their bodies. See docs/design/ROOM.md.
    #[serde(default)]
    pub share_room: bool,
}

/// What a software version may get until it is known to be sound; see docs/design/ROLLOUTS.md.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutLimits {
    /// Fraction of a service's requests, from an order to its deadline, that a bad version may get.
    pub exposure_share: f64,
    /// Requests that it may get in addition to `exposure_share`.
    pub exposure_slack: f64,
    /// Time from a bad version's 50th bad answer after which it gets no requests.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "rollback_ms")]
    pub rollback: Duration,
}

impl RolloutLimits {
    /// Returns the bounds that the decisions keep.
    pub fn bounds(&self) -> Bounds {
        Bounds {
            share: self.exposure_share,
            slack: self.exposure_slack,
            rollback: self.rollback,
        }
    }
}

impl Ingress {
    /// Returns how strictly quotas are enforced.
    pub fn quota_rule(&self) -> QuotaRule {
        QuotaRule {
            window: self.quota_window,
            overage: self.quota_overage,
            slack: self.quota_slack,
        }
    }
}

fn list_interval() -> Duration {
    Duration::from_millis(500)
}

fn duty_lease() -> Duration {
    Duration::from_secs(3)
}

fn retry_ratio() -> f64 {
    0.1
}

fn retry_window() -> Duration {
    Duration::from_secs(10)
}
