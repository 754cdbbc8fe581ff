//! What the operator tool and the controllers say to each other over HTTP, as JSON.
//!
//! | call | body | answer |
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

/// An error as callers and operators get it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// What went wrong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// The machine-readable kind, such as `conflict` or `not_leader`.
    pub kind: Arc<str>,
    /// What happened and what to do.
    pub message: String,
    /// Whether the request ran.
    pub ran: Ran,
    /// Where the leader serves operators, if the receiver does not lead and knows it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<SocketAddr>,
}

/// How the installation stands, as the leader sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The answering controller's name.
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
}

/// One controller, as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name in the settings, if it is known.
    pub name: Arc<str>,
    /// The identity of its data folder.
    pub member: MemberId,
    /// Whether it votes; otherwise it is a learner.
    pub voter: bool,
    /// The last index known to be on its disk.
    pub matched: u64,
}

/// One gateway, as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayStatus {
    /// Its name.
    pub name: GatewayName,
    /// Where it runs.
    pub zone: ZoneName,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Log index of the view in force there.
    pub view_index: u64,
    /// Whether it is shutting down or being reclaimed.
    pub leaving: bool,
}

/// What confirming an intent would change. The tool writes it to a file for `confirm`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Makes the confirm resendable: the same plan has the same effect once.
    pub operation: OperationId,
    /// The revision that the plan was made on; a confirm on another one is a conflict.
    pub base_revision: Revision,
    /// What changes, a sentence each.
    pub changes: Vec<String>,
    /// The instances wanted.
    pub placement: Vec<PlacementRow>,
    /// Targets that cannot be met, with the remedy.
    pub shortfalls: Vec<String>,
    /// Cost before, in millionths an hour.
    pub cost_before: Money,
    /// Cost after, in millionths an hour.
    pub cost_after: Money,
    /// The intent that the confirm puts in force.
    pub intent: Intent,
}

/// Instances of one kind of one service in one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRow {
    /// The service.
    pub service: ServiceName,
    /// The zone.
    pub zone: ZoneName,
    /// The kind of machine.
    pub class: MachineClass,
    /// How they are paid for.
    pub purchase: Purchase,
    /// How many run now.
    pub before: u32,
    /// How many are wanted.
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

/// The answer to a confirm, the same one when it is resent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmed {
    /// The revision that the intent became.
    pub revision: Revision,
    /// Its index in the log.
    pub index: u64,
    /// Gateways where it was in force when the answer was made.
    pub in_force: u32,
    /// Gateways in all.
    pub gateways: u32,
    /// Whether the intent is in force at every gateway that may take new work: all have it, or
    /// the leases of those that have not are over.
    pub everywhere: bool,
}

/// One confirmed revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The revision.
    pub revision: Revision,
    /// The operation that made it.
    pub operation: OperationId,
    /// When the leader took it, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// What changed, a sentence each.
    pub changes: Vec<String>,
}

/// What was decided about something, and why, in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// What is explained.
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

/// Takes an instance out of use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainRequest {
    /// Makes the order resendable.
    pub operation: OperationId,
}

/// The answer to a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drained {
    /// The index in the log at which the instance became leaving.
    pub index: u64,
}

/// Changes the members of the replicated log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberRequest {
    /// Starts sending entries to a new data folder.
    AddLearner(MemberId),
    /// Lets a learner that has caught up vote.
    Promote(MemberId),
    /// Removes a data folder, for example a lost disk's.
    Remove(MemberId),
}

/// The answer to a change of members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberChanged {
    /// The index in the log at which the change took effect.
    pub index: u64,
}
