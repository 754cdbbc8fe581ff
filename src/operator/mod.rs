//! The HTTP API between the operator tool and the controllers, as JSON.
//!
//! | call | request body | response body |
//! |---|---|---|
//! | `GET /v1/status` | | [`Status`] |
//! | `POST /v1/plan` | an `Intent` | [`Plan`] |
//! | `POST /v1/confirm` | [`ConfirmRequest`] | [`Confirmed`] |
//! | `GET /v1/history` | | list of [`HistoryEntry`] |
//! | `GET /v1/explain/revision/{n}`, `GET /v1/explain/instance/{name}` | | [`Explanation`] |
//! | `GET /v1/explain/request/{id}` (at a gateway) | | [`Explanation`] |
//! | `POST /v1/drain/{instance}` | [`DrainRequest`] | [`Drained`] |
//! | `POST /v1/members` | [`MemberRequest`] | [`MemberChanged`] |
//!
//! Every call carries the operators' bearer token. Errors are an [`ErrorBody`] with a 4xx or 5xx
//! status; a controller that does not lead answers 421 with the leader's address.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::domain::{
    GatewayName, Instance, Intent, MachineClass, MemberId, Money, OperationId, Purchase, Ran,
    Revision, ServiceName, ZoneName,
};

/// Body of an error response to callers and operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// The details of an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// The machine-readable kind, such as `conflict` or `not_leader`.
    pub kind: Arc<str>,
    /// What happened and how to correct it.
    pub message: String,
    /// Whether the request was executed.
    pub ran: Ran,
    /// Where the leader serves operators, if the responding controller does not lead and knows the
    /// leader.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<SocketAddr>,
}

/// State of the installation, as the leader knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the responding controller.
    pub controller: Arc<str>,
    /// Its term.
    pub term: u64,
    /// Index of its last committed entry.
    pub commit: u64,
    /// The confirmed revision.
    pub revision: Revision,
    /// The controllers.
    pub members: Vec<MemberStatus>,
    /// The gateways.
    pub gateways: Vec<GatewayStatus>,
    /// The upstream instances.
    pub instances: Vec<Instance>,
    /// The last roll-out of each service.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rollouts: Vec<RolloutStatus>,
}

/// A roll-out of a software version, as the leader knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// The service.
    pub service: String,
    /// The version to which its requests move.
    pub target: String,
    /// `running`, `completed` or `rolled_back`.
    pub state: String,
    /// Fraction of the requests that go to the target of one that runs.
    pub share: f64,
}

/// A controller, as the leader knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name in the settings, if known.
    pub name: Arc<str>,
    /// The identity of its data folder.
    pub member: MemberId,
    /// Whether it votes; otherwise it is a learner.
    pub voter: bool,
    /// The last index known to be on its disk.
    pub matched: u64,
}

/// A gateway, as the leader knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayStatus {
    /// Its name.
    pub name: GatewayName,
    /// Where it runs.
    pub zone: ZoneName,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Log index of the view that the gateway uses.
    pub view_index: u64,
    /// Whether it is shutting down or being reclaimed.
    pub leaving: bool,
}

/// What confirming an intent would change. The tool writes it to a file for `confirm`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Makes the confirm idempotent: the same plan takes effect only once.
    pub operation: OperationId,
    /// The revision on which the plan is based. Confirming it on another revision is a conflict.
    pub base_revision: Revision,
    /// The changes, one sentence each.
    pub changes: Vec<String>,
    /// The planned instances.
    pub placement: Vec<PlacementRow>,
    /// Targets that cannot be met, each with a remedy.
    pub shortfalls: Vec<String>,
    /// Cost before the change, in millionths of the currency unit per hour.
    pub cost_before: Money,
    /// Cost after the change, in millionths of the currency unit per hour.
    pub cost_after: Money,
    /// The intent that a confirm puts in force.
    pub intent: Intent,
}

/// Number of instances of a service by zone, machine class and purchase.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRow {
    /// The service.
    pub service: ServiceName,
    /// The zone.
    pub zone: ZoneName,
    /// The machine class.
    pub class: MachineClass,
    /// How they are paid for.
    pub purchase: Purchase,
    /// How many there are now.
    pub before: u32,
    /// How many the plan calls for.
    pub after: u32,
}

/// Puts an intent in force if `base_revision` is still the newest.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfirmRequest {
    /// From the plan.
    pub operation: OperationId,
    /// From the plan.
    pub base_revision: Revision,
    /// From the plan.
    pub intent: Intent,
}

/// The response to a confirm. A confirm that is resent gets the same response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmed {
    /// The revision that the intent became.
    pub revision: Revision,
    /// Its index in the log.
    pub index: u64,
    /// Number of gateways where it was in force at the time of the response.
    pub in_force: u32,
    /// Number of all gateways.
    pub gateways: u32,
    /// Whether the intent is in force at every gateway that may accept new requests: each gateway has
    /// it or its lease has expired.
    pub everywhere: bool,
}

/// One confirmed revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The revision.
    pub revision: Revision,
    /// The operation that made it.
    pub operation: OperationId,
    /// When the leader accepted it, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// The changes, one sentence each.
    pub changes: Vec<String>,
}

/// What was decided about a subject and why, in order of time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The subject.
    pub subject: String,
    /// The events.
    pub events: Vec<ExplainedEvent>,
}

/// One step of an explanation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainedEvent {
    /// When, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// What was decided and why.
    pub what: String,
}

/// Drains an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainRequest {
    /// Makes the request idempotent.
    pub operation: OperationId,
}

/// The response to a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drained {
    /// The log index at which the instance's state became `leaving`.
    pub index: u64,
}

/// Changes the members of the replicated log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberRequest {
    /// Adds a new data folder as a learner, which receives entries.
    AddLearner(MemberId),
    /// Promotes a learner that has caught up to a voter.
    Promote(MemberId),
    /// Removes a data folder, for example one on a lost disk.
    Remove(MemberId),
}

/// The response to a change of members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberChanged {
    /// The log index at which the change took effect.
    pub index: u64,
}
