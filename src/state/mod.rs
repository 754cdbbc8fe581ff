//! The replicated state machine: configuration, claims, fencing tokens and instances. It is
//! deterministic: the same entries in the same order give the same state on every controller.

mod claims;
mod command;
mod configuration;
mod instances;
mod published;
mod rollouts;
mod starts;
mod usage;

pub use claims::{ClaimRecord, Claims, Standing};
pub use command::{
    Action, AllocateFence, ClaimCommand, Command, ConfirmIntent, ExpireClaims, MarkUnknown,
    Observation, ObserveInstances, Publish, SettleStart, Sighting, StartOrder,
};
pub use configuration::{Configuration, ConfirmOutcome, OperationRecord, RevisionRecord};
pub use instances::{
    AppliedAt, EventRecord, GONE, InstanceHistory, Instances, InstancesRecord, LEAVING, LIVE,
};
pub use published::Published;
pub use rollouts::{RolloutOrder, Rollouts, SettleRollout, StartRollout};
pub use starts::{StartRecord, Starts};
pub use usage::{Usage, UsageRecord};

use bytes::Bytes;
use prost::Message;

use crate::{domain::FencingToken, wire::ClaimReply};

/// The result of applying a command.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The result of a confirm.
    Confirm(ConfirmOutcome),
    /// The result of a claim.
    Claim(ClaimReply),
    /// Whether the command took effect. For an outcome or a release: whether the sender held the claim.
    Accepted(bool),
    /// Number of claims that were expired or marked.
    Count(u64),
    /// Whether all observed instances are known.
    Known(bool),
    /// A fencing token that was never allocated before.
    Fence(FencingToken),
    /// The command has no action; nothing changed.
    Nothing,
}

/// The snapshot of the state can't be decoded, for this reason.
#[derive(Debug, thiserror::Error)]
#[error(
    "the snapshot of the state is damaged: {0}; restore the data folder or join as a new member"
)]
pub struct DamagedState(pub &'static str);

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    index: u64,
    configuration: Configuration,
    claims: Claims,
    instances: Instances,
    starts: Starts,
    fence: u64,
    published: Published,
    usage: Usage,
    rollouts: Rollouts,
}

impl State {
    /// Returns the index of the last applied entry.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Returns the confirmed configuration.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the claims.
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// Returns the known upstream instances.
    pub fn instances(&self) -> &Instances {
        &self.instances
    }

    /// Returns the open orders to start instances.
    pub fn starts(&self) -> &Starts {
        &self.starts
    }

    /// Returns the published document.
    pub fn published(&self) -> &Published {
        &self.published
    }

    /// Returns the usage of the newest windows.
    pub fn usage(&self) -> &Usage {
        &self.usage
    }

    /// Returns the roll-outs, the last one of each service.
    pub fn rollouts(&self) -> &Rollouts {
        &self.rollouts
    }

    /// Returns the log index of the last change that gateways must see.
    pub fn view_index(&self) -> u64 {
        self.configuration
            .index()
            .max(self.instances.changed_index())
            .max(self.published.index)
            .max(self.rollouts.index())
    }

    /// Returns the log index that a gateway's view must include for it to accept new work: that of the last
    /// confirm or of the last instance that became leaving. A new or a gone instance does not raise it, since
    /// a gateway that has not seen it yet need not refuse work.
    pub fn required_index(&self) -> u64 {
        self.configuration
            .index()
            .max(self.instances.leaving_index())
    }

    /// Records that the entry at an index was applied without a command.
    pub fn advance_index(&mut self, index: u64) {
        self.index = index;
    }

    /// Applies a committed command.
    pub fn apply(&mut self, index: u64, command: &Command) -> Reply {
        self.index = index;
        let at = AppliedAt {
            index,
            unix_ms: command.at_unix_ms,
        };
        let Some(action) = &command.action else {
            return Reply::Nothing;
        };
        match action {
            Action::Confirm(confirm) => {
                Reply::Confirm(self.configuration.confirm(index, at.unix_ms, confirm))
            }
            Action::Claim(claim) => Reply::Claim(self.claims.claim(at.unix_ms, claim)),
            Action::RecordOutcome(outcome) => Reply::Accepted(self.claims.record(outcome)),
            Action::ReleaseClaim(release) => {
                Reply::Accepted(self.claims.release(at.unix_ms, release))
            }
            Action::ExpireClaims(expire) => Reply::Count(self.claims.expire(expire.before_unix_ms)),
            Action::MarkUnknown(mark) => {
                Reply::Count(self.claims.mark_unknown(&mark.gateway, mark.incarnation))
            }
            Action::Observe(observe) => Reply::Known(self.observe(at, observe)),
            Action::AllocateFence(_) => {
                self.fence += 1;
                Reply::Fence(FencingToken(self.fence))
            }
            Action::OrderStart(order) => {
                Reply::Accepted(self.starts.open_order(index, at.unix_ms, order))
            }
            Action::SettleStart(settle) => {
                let listed = self.instances.get(&settle.instance).is_some();
                Reply::Accepted(self.starts.settle(settle, listed))
            }
            Action::Publish(publish) => Reply::Accepted(self.published.publish(index, publish)),
            Action::RecordUsage(record) => Reply::Accepted(self.usage.record(record)),
            Action::StartRollout(order) => {
                Reply::Accepted(self.rollouts.start(index, at.unix_ms, order))
            }
            Action::SettleRollout(settle) => {
                Reply::Accepted(self.rollouts.settle(index, at.unix_ms, settle))
            }
        }
    }

    fn observe(&mut self, at: AppliedAt, observe: &ObserveInstances) -> bool {
        let mut known = true;
        for observation in &observe.observations {
            known &= self.instances.observe(at, observation);
            if let Some(Sighting::Seen(record)) = &observation.sighting {
                self.starts.close_listed(&record.name);
            }
        }
        known
    }

    /// Encodes the state for a snapshot.
    pub fn encode(&self) -> Bytes {
        let record = StateRecord {
            index: self.index,
            revision: self.configuration.revision(),
            intent_index: self.configuration.index(),
            intent: self.configuration.json().clone(),
            history: self.configuration.history().cloned().collect(),
            operations: self.configuration.operations(),
            claims: self.claims.records(),
            expired_before: self.claims.expired_before(),
            instances: Some(self.instances.to_record()),
            fence: self.fence,
            starts: self.starts.open_orders().cloned().collect(),
            published: Some(self.published.clone()),
            usage: self.usage.records(),
            rollouts: self.rollouts.records(),
        };
        record.encode_to_vec().into()
    }

    /// Decodes a snapshot. An empty one stands for the initial state; any other must have all parts.
    ///
    /// # Errors
    ///
    /// Fails if a part is missing or can't be decoded, since the state without it breaks promises.
    pub fn decode(bytes: &[u8]) -> Result<Self, DamagedState> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        let record = StateRecord::decode(bytes).map_err(|_| DamagedState("it can't be decoded"))?;
        Self::from_record(record)
    }

    fn from_record(record: StateRecord) -> Result<Self, DamagedState> {
        let instances = record
            .instances
            .ok_or(DamagedState("it has no instances"))?;
        Ok(Self {
            index: record.index,
            configuration: Configuration::from_records(
                record.revision,
                record.intent_index,
                record.intent,
                record.history,
                record.operations,
            )
            .ok_or(DamagedState("its intent can't be decoded"))?,
            claims: Claims::from_records(record.claims, record.expired_before)
                .ok_or(DamagedState("a claim can't be decoded"))?,
            instances: Instances::from_record(instances)
                .ok_or(DamagedState("an instance can't be decoded"))?,
            starts: Starts::from_records(record.starts),
            fence: record.fence,
            published: record
                .published
                .ok_or(DamagedState("it has no published document"))?,
            usage: Usage::from_records(record.usage),
            rollouts: Rollouts::from_records(record.rollouts),
        })
    }
}

#[derive(Clone, PartialEq, prost::Message)]
struct StateRecord {
    #[prost(uint64, tag = "1")]
    index: u64,
    #[prost(uint64, tag = "2")]
    revision: u64,
    #[prost(uint64, tag = "3")]
    intent_index: u64,
    #[prost(bytes = "bytes", tag = "4")]
    intent: Bytes,
    #[prost(message, repeated, tag = "5")]
    history: Vec<RevisionRecord>,
    #[prost(message, repeated, tag = "6")]
    operations: Vec<OperationRecord>,
    #[prost(message, repeated, tag = "7")]
    claims: Vec<ClaimRecord>,
    #[prost(uint64, tag = "8")]
    expired_before: u64,
    #[prost(message, optional, tag = "9")]
    instances: Option<InstancesRecord>,
    #[prost(uint64, tag = "10")]
    fence: u64,
    #[prost(message, repeated, tag = "11")]
    starts: Vec<StartRecord>,
    #[prost(message, optional, tag = "12")]
    published: Option<Published>,
    #[prost(message, repeated, tag = "13")]
    usage: Vec<UsageRecord>,
    #[prost(message, repeated, tag = "14")]
    rollouts: Vec<RolloutOrder>,
}
