//! Commands of the replicated log. Each one carries the leader's time, because applying a command must not
//! read a clock.

use bytes::Bytes;

use super::{
    rollouts::{SettleRollout, StartRollout},
    usage::UsageRecord,
};
use crate::wire::{ClaimRequest, InstanceRecord, LeavingNotice, OutcomeRequest, ReleaseRequest};

/// A command and the time at which the leader proposed it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Command {
    /// The leader's time, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "1")]
    pub at_unix_ms: u64,
    /// The action; a command without one changes nothing.
    #[prost(
        oneof = "Action",
        tags = "10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23"
    )]
    pub action: Option<Action>,
}

/// The action of a command.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Action {
    /// Replaces the confirmed intent (compare-and-set).
    #[prost(message, tag = "10")]
    Confirm(ConfirmIntent),
    /// Claims the right to dispatch a call.
    #[prost(message, tag = "11")]
    Claim(ClaimCommand),
    /// Records the outcome of a claimed call.
    #[prost(message, tag = "12")]
    RecordOutcome(OutcomeRequest),
    /// Releases a claim whose call was not dispatched.
    #[prost(message, tag = "13")]
    ReleaseClaim(ReleaseRequest),
    /// Removes claims that are older than the retention window.
    #[prost(message, tag = "14")]
    ExpireClaims(ExpireClaims),
    /// Marks the open claims of a lost gateway incarnation as unknown.
    #[prost(message, tag = "15")]
    MarkUnknown(MarkUnknown),
    /// Applies observations of upstream instances.
    #[prost(message, tag = "16")]
    Observe(ObserveInstances),
    /// Allocates a fencing token.
    #[prost(message, tag = "17")]
    AllocateFence(AllocateFence),
    /// Records an order to start an instance.
    #[prost(message, tag = "18")]
    OrderStart(StartOrder),
    /// Records the cloud's answer to such an order.
    #[prost(message, tag = "19")]
    SettleStart(SettleStart),
    /// Publishes a document if its version is the highest so far.
    #[prost(message, tag = "20")]
    Publish(Publish),
    /// Records the usage of a window.
    #[prost(message, tag = "21")]
    RecordUsage(UsageRecord),
    /// Orders a roll-out, unless another one of the service runs.
    #[prost(message, tag = "22")]
    StartRollout(StartRollout),
    /// Ends a roll-out.
    #[prost(message, tag = "23")]
    SettleRollout(SettleRollout),
}

/// A compare-and-set of the intent.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfirmIntent {
    /// The 16 bytes of the operation id.
    #[prost(bytes = "vec", tag = "1")]
    pub operation: Vec<u8>,
    /// The revision that the change is based on; it must still be the newest.
    #[prost(uint64, tag = "2")]
    pub base_revision: u64,
    /// The intent as JSON.
    #[prost(bytes = "bytes", tag = "3")]
    pub intent: Bytes,
    /// Descriptions of the changes, one sentence each.
    #[prost(string, repeated, tag = "4")]
    pub changes: Vec<String>,
}

/// A claim, with the time window in which idempotency keys are accepted.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ClaimCommand {
    /// The claim.
    #[prost(message, optional, tag = "1")]
    pub request: Option<ClaimRequest>,
    /// Maximum age of a key, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub retention_ms: u64,
    /// Maximum time by which a key may lie in the future, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub skew_ms: u64,
}

/// Removes claims whose key was created before a time.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ExpireClaims {
    /// The time, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "1")]
    pub before_unix_ms: u64,
}

/// Marks the open claims of a gateway incarnation whose lease has ended as unknown.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct MarkUnknown {
    /// The gateway.
    #[prost(string, tag = "1")]
    pub gateway: String,
    /// The incarnation whose lease has ended.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// Observations of upstream instances, applied in order.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ObserveInstances {
    /// The observations.
    #[prost(message, repeated, tag = "1")]
    pub observations: Vec<Observation>,
}

/// An observation of one instance.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Observation {
    /// The source and the reason, shown by `explain`.
    #[prost(string, tag = "1")]
    pub reason: String,
    /// What was observed.
    #[prost(oneof = "Sighting", tags = "10, 11, 12")]
    pub sighting: Option<Sighting>,
}

/// What was observed of an instance.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Sighting {
    /// It is in the instance list.
    #[prost(message, tag = "10")]
    Seen(InstanceRecord),
    /// It must get no new work from now on.
    #[prost(message, tag = "11")]
    Leaving(LeavingNotice),
    /// It is no longer in the instance list.
    #[prost(message, tag = "12")]
    Gone(LeavingNotice),
}

/// Allocates the next fencing token.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct AllocateFence {}

/// An order to start an instance.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StartOrder {
    /// The service that the instance will belong to.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The availability zone to start it in.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Its machine class.
    #[prost(string, tag = "3")]
    pub class: String,
    /// Whether the cloud may reclaim it.
    #[prost(bool, tag = "4")]
    pub reclaimable: bool,
}

/// The cloud's answer to an order to start an instance.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SettleStart {
    /// The log index of the order.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The cloud's name for the instance; empty if no instance will start for the order.
    #[prost(string, tag = "2")]
    pub instance: String,
}

/// A document to publish.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Publish {
    /// Its version; the document takes effect if this is higher than the current one.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The document, byte for byte as received.
    #[prost(bytes = "bytes", tag = "2")]
    pub document: Bytes,
}
