//! Commands of the replicated log. What depends on time carries the leader's time, because applying
//! a command must not read a clock.

use bytes::Bytes;

use super::usage::UsageRecord;
use crate::wire::{ClaimRequest, InstanceRecord, LeavingNotice, OutcomeRequest, ReleaseRequest};

/// One command and the time at which the leader proposed it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Command {
    /// The leader's time, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "1")]
    pub at_unix_ms: u64,
    /// What to do; a command without an action changes nothing.
    #[prost(
        oneof = "Action",
        tags = "10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21"
    )]
    pub action: Option<Action>,
}

/// What a command does.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Action {
    /// Puts an intent in force.
    #[prost(message, tag = "10")]
    Confirm(ConfirmIntent),
    /// Asks for the right to dispatch a call.
    #[prost(message, tag = "11")]
    Claim(ClaimCommand),
    /// Records how a claimed call ended.
    #[prost(message, tag = "12")]
    RecordOutcome(OutcomeRequest),
    /// Gives back a claim that was not dispatched.
    #[prost(message, tag = "13")]
    ReleaseClaim(ReleaseRequest),
    /// Forgets claims that are older than the retention window.
    #[prost(message, tag = "14")]
    ExpireClaims(ExpireClaims),
    /// Marks the open claims of a lost gateway incarnation.
    #[prost(message, tag = "15")]
    MarkUnknown(MarkUnknown),
    /// Reports what was seen of the upstream instances.
    #[prost(message, tag = "16")]
    Observe(ObserveInstances),
    /// Allocates a fencing number.
    #[prost(message, tag = "17")]
    AllocateFence(AllocateFence),
    /// Opens an order to start an instance.
    #[prost(message, tag = "18")]
    OrderStart(StartOrder),
    /// Notes the answer to such an order.
    #[prost(message, tag = "19")]
    SettleStart(SettleStart),
    /// Publishes a document, if its version is the highest.
    #[prost(message, tag = "20")]
    Publish(Publish),
    /// Keeps the usage of a window.
    #[prost(message, tag = "21")]
    RecordUsage(UsageRecord),
}

/// A compare-and-set of the intent.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfirmIntent {
    /// The 16 bytes of the operation id.
    #[prost(bytes = "vec", tag = "1")]
    pub operation: Vec<u8>,
    /// The revision that must still be the newest.
    #[prost(uint64, tag = "2")]
    pub base_revision: u64,
    /// The intent as JSON.
    #[prost(bytes = "bytes", tag = "3")]
    pub intent: Bytes,
    /// What changes, a sentence each.
    #[prost(string, repeated, tag = "4")]
    pub changes: Vec<String>,
}

/// A claim, with the window in which keys are accepted.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ClaimCommand {
    /// The claim.
    #[prost(message, optional, tag = "1")]
    pub request: Option<ClaimRequest>,
    /// Greatest age of a key, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub retention_ms: u64,
    /// How far a key may lie in the future, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub skew_ms: u64,
}

/// Forgets claims whose key is older than a time.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ExpireClaims {
    /// The time, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "1")]
    pub before_unix_ms: u64,
}

/// Marks the open claims of a gateway incarnation that holds no lease any more.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct MarkUnknown {
    /// The gateway.
    #[prost(string, tag = "1")]
    pub gateway: String,
    /// The incarnation that is gone.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// Reports about upstream instances, applied in order.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ObserveInstances {
    /// The reports.
    #[prost(message, repeated, tag = "1")]
    pub observations: Vec<Observation>,
}

/// One report about one instance.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Observation {
    /// Where the report comes from and why, for `explain`.
    #[prost(string, tag = "1")]
    pub reason: String,
    /// What was seen.
    #[prost(oneof = "Sighting", tags = "10, 11, 12")]
    pub sighting: Option<Sighting>,
}

/// What was seen of an instance.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Sighting {
    /// It is in the instance list.
    #[prost(message, tag = "10")]
    Seen(InstanceRecord),
    /// It gets no new work from now on.
    #[prost(message, tag = "11")]
    Leaving(LeavingNotice),
    /// It is no longer in the instance list.
    #[prost(message, tag = "12")]
    Gone(LeavingNotice),
}

/// Allocates the next fencing number.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct AllocateFence {}

/// An instance to start.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StartOrder {
    /// The service that it will belong to.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Where to start it.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Its machine class.
    #[prost(string, tag = "3")]
    pub class: String,
    /// Whether it can be reclaimed.
    #[prost(bool, tag = "4")]
    pub reclaimable: bool,
}

/// The answer to an order to start an instance.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SettleStart {
    /// The log index of the order.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The cloud's name for the instance; empty if none comes of the order.
    #[prost(string, tag = "2")]
    pub instance: String,
}

/// A document to publish.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Publish {
    /// Its version; it takes effect if it is higher than the one in force.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The document, as it was sent.
    #[prost(bytes = "bytes", tag = "2")]
    pub document: Bytes,
}
