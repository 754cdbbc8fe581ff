//! The operator's intent: what to serve, to whom, where, and at which price. It is written in JSON
//! with comments, validated by `crate::settings`, and confirmed as a revision.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::{
    AccountName, MachineClass, ModelName, Money, RegionName, ServiceName, TierName, ZoneName,
};

/// Everything that an operator declares.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Intent {
    /// The availability zones in use.
    pub zones: Vec<Zone>,
    /// The classes of callers, with their latency targets.
    pub tiers: Vec<Tier>,
    /// The client accounts.
    pub accounts: Vec<Account>,
    /// The models that engines may load.
    pub models: Vec<Model>,
    /// Groups of engines and of plain servers.
    pub services: Vec<Service>,
    /// Prices by zone and machine class.
    pub prices: Vec<Price>,
    /// How routing weighs latency, recomputed tokens and zone crossing.
    #[serde(default)]
    pub routing: RoutingWeights,
    /// Limits of automatic repairs without a new confirmation.
    #[serde(default)]
    pub limits: ChangeLimits,
}

/// An availability zone and the region that holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// The zone's name.
    pub name: ZoneName,
    /// The region that holds it.
    pub region: RegionName,
}

/// A class of callers and its latency target.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// The tier's name.
    pub name: TierName,
    /// Whether its callers pay; callers of other tiers use spare capacity only.
    pub paying: bool,
    /// Target for the first token, for the 95th percentile.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "first_token_ms")]
    pub first_token: Duration,
    /// Target for the time between two tokens, for the 95th percentile.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "between_tokens_ms")]
    pub between_tokens: Duration,
}

/// A client account. Only the hash of its bearer token is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// The account's name.
    pub name: AccountName,
    /// Its tier.
    pub tier: TierName,
    /// SHA-256 of its bearer token, in hexadecimal.
    pub token_sha256: String,
    /// Weight of its part of contended capacity, relative to the other accounts of its tier.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}

/// A model that engines load from the model weight store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The model's name.
    pub name: ModelName,
    /// The version to serve.
    pub version: String,
    /// Size of its weights, in mebibytes.
    pub weights_mib: u64,
}

/// A group of interchangeable instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's name.
    pub name: ServiceName,
    /// What its instances run.
    pub kind: ServiceKind,
    /// The availability zones it may run in.
    pub zones: Vec<ZoneName>,
    /// The kind of machine it runs on.
    pub class: MachineClass,
    /// Requests that one instance serves concurrently within the latency target.
    pub slots_per_instance: u32,
    /// Expected number of requests in progress, which capacity is planned for.
    pub expected_concurrency: u32,
}

/// What the instances of a service run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ServiceKind {
    /// Model engines.
    Engines {
        /// The models that each engine serves.
        models: Vec<ModelName>,
        /// Whether the engines refuse orders with an old fencing token.
        fencing: Fencing,
    },
    /// Plain servers.
    Plain {
        /// The operations they offer; a call that matches none is refused.
        operations: Vec<Operation>,
    },
}

/// Whether an upstream checks the fencing token of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// Orders with an old token are refused.
    Checked,
    /// The token is ignored; a new leader must wait before it sends orders.
    Ignored,
}

/// One operation of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// The HTTP method, in upper case.
    pub method: String,
    /// The path that a call's path must equal, or extend after a slash.
    pub path: String,
    /// Whether a call may be repeated safely.
    pub idempotent: bool,
}

/// Prices of one machine class in one availability zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Price {
    /// The zone.
    pub zone: ZoneName,
    /// The machine class.
    pub class: MachineClass,
    /// Price of an on-demand instance, in millionths per hour.
    pub on_demand_micros_per_hour: Money,
    /// Price of a reclaimable instance, in millionths per hour.
    pub reclaimable_micros_per_hour: Money,
    /// Expected reclaims per instance and day.
    pub reclaims_per_day: f64,
}

/// Weights of the routing cost, all in milliseconds of latency; see docs/DESIGN.md.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoutingWeights {
    /// Cost of a thousand prompt tokens that the instance has not cached.
    pub ms_per_thousand_uncached_tokens: f64,
    /// Cost of crossing from the gateway's availability zone to another.
    pub ms_per_zone_crossing: f64,
    /// Cost of one request queued ahead.
    pub ms_per_queued_request: f64,
    /// Costs that differ by less count as equal, and the conversation's home is chosen among those
    /// instances. Defaults to the cost of half a queued request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ms_of_equal_cost: Option<f64>,
}

impl Default for RoutingWeights {
    fn default() -> Self {
        Self {
            ms_per_thousand_uncached_tokens: 120.0,
            ms_per_zone_crossing: 12.0,
            ms_per_queued_request: 300.0,
            ms_of_equal_cost: None,
        }
    }
}

/// Limits within which repairs need no new confirmation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ChangeLimits {
    /// Most instances that may run.
    pub max_instances: u32,
    /// Most that all instances together may cost, in millionths per hour.
    pub max_micros_per_hour: Money,
}

impl Default for ChangeLimits {
    fn default() -> Self {
        Self {
            max_instances: 64,
            max_micros_per_hour: Money(200_000_000),
        }
    }
}
