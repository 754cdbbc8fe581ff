//! Settings of what serves published routes: at a gateway, where callers connect and ask for
//! addresses; at a controller, where documents are published. docs/SETTINGS.md explains each field.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::policy::quota::QuotaRule;

/// How a process takes part in serving published routes.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ingress {
    /// Where callers connect to a gateway, or operators publish at a controller.
    pub address: SocketAddr,
    /// Where a gateway answers whether it is ready.
    #[serde(default)]
    pub ready_address: Option<SocketAddr>,
    /// Where a gateway tells callers which addresses to use.
    #[serde(default)]
    pub directory_address: Option<SocketAddr>,
    /// Where the metrics are told, under `/metrics`.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// The platform's API.
    pub platform_address: SocketAddr,
    /// Time between two readings of the platform's list by the leader.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "list_interval_ms", default = "list_interval")]
    pub list_interval: Duration,
    /// Calls of its list that the platform takes in a second; no bound without it.
    #[serde(default)]
    pub list_calls_per_second: Option<f64>,
    /// Length of a window of usage; no usage is reported without it.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "usage_window_ms", default)]
    pub usage_window: Option<Duration>,
    /// How long a new leader waits before it acts towards the platform, so that duties do not pass
    /// back and forth within this time.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "duty_lease_ms", default = "duty_lease")]
    pub duty_lease: Duration,
    /// Over any such time an account may use what the time gains and its burst; without it the burst
    /// is gained only once.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "quota_window_ms", default)]
    pub quota_window: Option<Duration>,
    /// Part by which an account may exceed its quota in a window.
    #[serde(default)]
    pub quota_overage: f64,
    /// Units by which an account may exceed its quota in a window besides.
    #[serde(default)]
    pub quota_slack: f64,
    /// Further attempts that a service may get, as a part of the requests for it.
    #[serde(default = "retry_ratio")]
    pub retry_ratio: f64,
    /// Further attempts that a service may get besides, over all gateways, in each retry window.
    #[serde(default)]
    pub retry_slack: f64,
    /// The window over which further attempts are counted.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "retry_window_ms", default = "retry_window")]
    pub retry_window: Duration,
}

impl Ingress {
    /// Returns how exactly quotas must be kept.
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
