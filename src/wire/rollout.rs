//! What gateways and controllers tell each other about roll-outs; see docs/design/ROLLOUTS.md.

use crate::policy::rollout::{Answers, GatewayReport, Lease, RouteAnswers, WAIT_CLASSES};

/// What a gateway counted since an order, as sums.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RolloutReport {
    /// The log index of the order.
    #[prost(uint64, tag = "1")]
    pub order: u64,
    /// Requests that reached the service.
    #[prost(uint64, tag = "2")]
    pub requests: u64,
    /// Requests sent to the target.
    #[prost(uint64, tag = "3")]
    pub exposed: u64,
    /// Requests that the gateway may have sent to the target in all.
    #[prost(uint64, tag = "4")]
    pub allowance: u64,
    /// Fraction of the requests that the gateway sends to the target now.
    #[prost(double, tag = "5")]
    pub share: f64,
    /// Requests in progress at servers of other versions.
    #[prost(uint64, tag = "6")]
    pub old_in_progress: u64,
    /// The answers by route.
    #[prost(message, repeated, tag = "7")]
    pub routes: Vec<RolloutRoute>,
}

/// The answers on one route.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RolloutRoute {
    /// The route.
    #[prost(string, tag = "1")]
    pub route: String,
    /// Answers of other versions by class of their wait.
    #[prost(uint64, repeated, tag = "2")]
    pub old_waits: Vec<u64>,
    /// Requests that failed at other versions.
    #[prost(uint64, tag = "3")]
    pub old_failed: u64,
    /// Answers of the target by class of their wait.
    #[prost(uint64, repeated, tag = "4")]
    pub new_waits: Vec<u64>,
    /// Requests that failed at the target.
    #[prost(uint64, tag = "5")]
    pub new_failed: u64,
    /// Answers of other versions that broke off.
    #[prost(uint64, tag = "6")]
    pub old_broken: u64,
    /// Answers of the target that broke off.
    #[prost(uint64, tag = "7")]
    pub new_broken: u64,
}

impl RolloutRoute {
    /// Describes the answers on a route.
    pub fn new(route: &str, answers: &RouteAnswers) -> Self {
        Self {
            route: route.to_owned(),
            old_waits: answers.old.waits.to_vec(),
            old_failed: answers.old.failed,
            old_broken: answers.old.broken,
            new_waits: answers.new.waits.to_vec(),
            new_failed: answers.new.failed,
            new_broken: answers.new.broken,
        }
    }

    /// Returns the answers. Classes that this build does not know count as its last one.
    pub fn answers(&self) -> RouteAnswers {
        let side = |waits: &[u64], failed, broken| {
            let mut answers = Answers {
                failed,
                broken,
                ..Answers::default()
            };
            for (class, count) in waits.iter().enumerate() {
                answers.waits[class.min(WAIT_CLASSES - 1)] += count;
            }
            answers
        };
        RouteAnswers {
            old: side(&self.old_waits, self.old_failed, self.old_broken),
            new: side(&self.new_waits, self.new_failed, self.new_broken),
        }
    }
}

impl RolloutReport {
    /// Returns the report of a gateway in an incarnation.
    pub fn report(&self, incarnation: u64) -> GatewayReport {
        let routes = self.routes.iter();
        GatewayReport {
            incarnation,
            requests: self.requests,
            exposed: self.exposed,
            allowance: self.allowance,
            share: self.share,
            old_in_progress: self.old_in_progress,
            routes: routes
                .map(|route| (route.route.clone(), route.answers()))
                .collect(),
        }
    }
}

/// How far a roll-out is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum RolloutState {
    /// The order is in progress.
    Running = 0,
    /// The target serves alone.
    Completed = 1,
    /// The target gets nothing.
    RolledBack = 2,
}

/// A controller's news of roll-outs.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RolloutNews {
    /// Changes with the news. Versions of one controller can be compared for equality only.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The last roll-out of each service.
    #[prost(message, repeated, tag = "2")]
    pub rollouts: Vec<RolloutRecord>,
}

/// A roll-out.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RolloutRecord {
    /// The log index of the order.
    #[prost(uint64, tag = "1")]
    pub order: u64,
    /// The service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The software version to which its requests move.
    #[prost(string, tag = "3")]
    pub target: String,
    /// How far it is.
    #[prost(enumeration = "RolloutState", tag = "4")]
    pub state: i32,
    /// From the leader, what the gateway may send to the target of a roll-out that runs.
    #[prost(message, optional, tag = "5")]
    pub lease: Option<RolloutLease>,
    /// Time since the roll-out ended, in milliseconds.
    #[prost(uint64, tag = "6")]
    pub ended_ago_ms: u64,
}

/// What a gateway may send to the target of a roll-out.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct RolloutLease {
    /// Fraction of the requests.
    #[prost(double, tag = "1")]
    pub share: f64,
    /// Requests that the gateway may have sent in all since the order; unlimited if missing.
    #[prost(uint64, optional, tag = "2")]
    pub allowance: Option<u64>,
    /// Time for which this holds, from when the gateway sent its request, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub lease_ms: u64,
}

impl RolloutLease {
    /// Returns what may be sent.
    pub fn lease(&self) -> Lease {
        Lease {
            share: self.share,
            allowance: self.allowance,
        }
    }
}
