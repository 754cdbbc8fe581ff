//! Upstream instances in the replicated state. An incarnation that is leaving never becomes live again.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, VecDeque},
};

use super::command::{Observation, Sighting};
use crate::wire::{InstanceRecord, LeavingNotice};

/// [`InstanceRecord::state`] of an instance that may get new work.
pub const LIVE: u32 = 0;
/// [`InstanceRecord::state`] of an instance that must get no new work.
pub const LEAVING: u32 = 1;
/// [`InstanceRecord::state`] of an instance that is no longer in the instance list.
pub const GONE: u32 = 2;

/// Maximum number of gone instances kept for incremental views of gateways and for `explain`.
const MAX_GONE_INSTANCES: usize = 1024;
/// Maximum number of events kept for each instance; the oldest is evicted first.
const MAX_EVENTS_PER_INSTANCE: usize = 16;
/// Maximum number of leaving notices kept for instances that are not in the instance list yet.
const MAX_EARLY_NOTICES: usize = 256;

/// A change of an instance, kept for `explain`.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct EventRecord {
    /// The leader's time, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "1")]
    pub at_unix_ms: u64,
    /// What changed and why.
    #[prost(string, tag = "2")]
    pub what: String,
}

/// An instance with its history.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct InstanceHistory {
    /// The instance.
    #[prost(message, optional, tag = "1")]
    pub record: Option<InstanceRecord>,
    /// Whether it was leaving before it was gone.
    #[prost(bool, tag = "2")]
    pub was_leaving: bool,
    /// The log index of its last change.
    #[prost(uint64, tag = "3")]
    pub changed_index: u64,
    /// Its changes, oldest first.
    #[prost(message, repeated, tag = "4")]
    pub events: Vec<EventRecord>,
}

impl InstanceHistory {
    fn state(&self) -> u32 {
        self.record.as_ref().map_or(GONE, |record| record.state)
    }

    fn incarnation(&self) -> u64 {
        self.record.as_ref().map_or(0, |record| record.incarnation)
    }

    fn change(&mut self, at: AppliedAt, state: u32, what: String) {
        if let Some(record) = &mut self.record {
            record.state = state;
        }
        self.was_leaving |= state == LEAVING;
        self.changed_index = at.index;
        self.events.push(EventRecord {
            at_unix_ms: at.unix_ms,
            what,
        });
        if self.events.len() > MAX_EVENTS_PER_INSTANCE {
            self.events.remove(0);
        }
    }
}

/// Log index and time at which an observation is applied.
#[derive(Clone, Copy, Debug)]
pub struct AppliedAt {
    /// The log index.
    pub index: u64,
    /// The leader's time, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

/// All known instances.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Instances {
    histories: BTreeMap<String, InstanceHistory>,
    /// Names of gone instances, the longest gone first.
    gone: VecDeque<String>,
    /// Highest incarnation with a leaving notice, of instances that are not in the instance list yet.
    early_notices: BTreeMap<String, u64>,
    /// Highest log index of a change of an evicted instance.
    forgotten_index: u64,
    changed_index: u64,
    leaving_index: u64,
}

impl Instances {
    /// Returns the log index of the last change of any instance.
    pub fn changed_index(&self) -> u64 {
        self.changed_index
    }

    /// Returns the log index at which an instance last became leaving.
    pub fn leaving_index(&self) -> u64 {
        self.leaving_index
    }

    /// Returns the instances that are not gone.
    pub fn present(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.histories
            .values()
            .filter_map(|history| history.record.as_ref())
            .filter(|record| record.state != GONE)
    }

    /// Returns one instance with its history.
    pub fn get(&self, name: &str) -> Option<&InstanceHistory> {
        self.histories.get(name)
    }

    /// Returns whether a notice is redundant because its incarnation is already leaving, gone or replaced.
    pub fn is_leaving(&self, notice: &LeavingNotice) -> bool {
        let Some(history) = self.histories.get(&notice.instance) else {
            return self.early_notices.get(&notice.instance) >= Some(&notice.incarnation);
        };
        match history.incarnation().cmp(&notice.incarnation) {
            Ordering::Greater => true,
            Ordering::Equal => history.was_leaving || history.state() == GONE,
            Ordering::Less => self.early_notices.get(&notice.instance) >= Some(&notice.incarnation),
        }
    }

    /// Returns the instances that changed after an index, including gone ones. Returns `None` if some of
    /// these may have been evicted.
    pub fn changed_after(&self, index: u64) -> Option<Vec<InstanceRecord>> {
        if index < self.forgotten_index {
            return None;
        }
        let changed = self
            .histories
            .values()
            .filter(|history| history.changed_index > index)
            .filter_map(|history| history.record.clone());
        Some(changed.collect())
    }

    /// Applies one observation. Returns whether the instance is known.
    pub fn observe(&mut self, at: AppliedAt, observation: &Observation) -> bool {
        let reason = &observation.reason;
        match &observation.sighting {
            Some(Sighting::Seen(record)) => {
                self.apply_seen(at, record, reason);
                true
            }
            Some(Sighting::Leaving(notice)) => self.apply_leaving(at, notice, reason),
            Some(Sighting::Gone(notice)) => self.apply_gone(at, notice, reason),
            None => false,
        }
    }

    fn apply_seen(&mut self, at: AppliedAt, record: &InstanceRecord, reason: &str) {
        let name = &record.name;
        let known = self.histories.get(name);
        if known.is_some_and(|history| history.incarnation() > record.incarnation) {
            return;
        }
        let same_incarnation = known.filter(|history| history.incarnation() == record.incarnation);
        let leaving = same_incarnation.is_some_and(|history| history.was_leaving)
            || record.state == LEAVING
            || self.early_notices.get(name) >= Some(&record.incarnation);
        let state = if leaving { LEAVING } else { LIVE };
        let new_record = InstanceRecord {
            state,
            ..record.clone()
        };
        if same_incarnation.is_some_and(|history| history.record.as_ref() == Some(&new_record)) {
            return;
        }
        let mut history = self.histories.remove(name).unwrap_or_default();
        if history.incarnation() != record.incarnation {
            history.was_leaving = false;
        }
        let state_name = if leaving { "leaving" } else { "live" };
        history.record = Some(new_record);
        let what = format!(
            "Incarnation {} is {state_name}: {reason}.",
            record.incarnation
        );
        history.change(at, state, what);
        self.histories.insert(name.clone(), history);
        self.gone.retain(|gone| gone != name);
        self.early_notices
            .retain(|instance, incarnation| instance != name || *incarnation > record.incarnation);
        self.changed_index = at.index;
        if leaving {
            self.leaving_index = at.index;
        }
    }

    fn apply_leaving(&mut self, at: AppliedAt, notice: &LeavingNotice, reason: &str) -> bool {
        let Some(history) = self.histories.get_mut(&notice.instance) else {
            self.record_early_notice(notice);
            return false;
        };
        // A notice for a later incarnation implies that this one was replaced.
        if history.incarnation() <= notice.incarnation && !history.was_leaving {
            history.was_leaving = true;
            if history.state() != GONE {
                let what = format!(
                    "Incarnation {} is leaving: {reason}.",
                    history.incarnation()
                );
                history.change(at, LEAVING, what);
                self.changed_index = at.index;
                self.leaving_index = at.index;
            }
        }
        let known = history.incarnation() >= notice.incarnation;
        if !known {
            self.record_early_notice(notice);
        }
        known
    }

    fn record_early_notice(&mut self, notice: &LeavingNotice) {
        let noticed = self
            .early_notices
            .entry(notice.instance.clone())
            .or_default();
        *noticed = notice.incarnation.max(*noticed);
        if self.early_notices.len() > MAX_EARLY_NOTICES {
            self.early_notices.pop_first();
        }
    }

    fn apply_gone(&mut self, at: AppliedAt, notice: &LeavingNotice, reason: &str) -> bool {
        let Some(history) = self.histories.get_mut(&notice.instance) else {
            return false;
        };
        if history.incarnation() != notice.incarnation || history.state() == GONE {
            return true;
        }
        let what = format!("Incarnation {} is gone: {reason}.", notice.incarnation);
        history.change(at, GONE, what);
        self.changed_index = at.index;
        self.gone.push_back(notice.instance.clone());
        if self.gone.len() > MAX_GONE_INSTANCES {
            self.evict_oldest_gone();
        }
        true
    }

    fn evict_oldest_gone(&mut self) {
        let Some(history) = self
            .gone
            .pop_front()
            .and_then(|n| self.histories.remove(&n))
        else {
            return;
        };
        self.forgotten_index = self.forgotten_index.max(history.changed_index);
    }

    /// Returns the instances as a record for a snapshot.
    pub fn to_record(&self) -> InstancesRecord {
        InstancesRecord {
            histories: self.histories.values().cloned().collect(),
            gone: self.gone.iter().cloned().collect(),
            early_notices: self
                .early_notices
                .iter()
                .map(|(instance, incarnation)| LeavingNotice {
                    instance: instance.clone(),
                    incarnation: *incarnation,
                })
                .collect(),
            forgotten_index: self.forgotten_index,
            changed_index: self.changed_index,
            leaving_index: self.leaving_index,
        }
    }

    /// Builds the instances from a snapshot. Returns `None` if a record is malformed.
    pub fn from_record(record: InstancesRecord) -> Option<Self> {
        let histories = record
            .histories
            .into_iter()
            .map(|history| Some((history.record.as_ref()?.name.clone(), history)))
            .collect::<Option<_>>()?;
        let early_notices = record
            .early_notices
            .into_iter()
            .map(|notice| (notice.instance, notice.incarnation));
        Some(Self {
            histories,
            gone: record.gone.into(),
            early_notices: early_notices.collect(),
            forgotten_index: record.forgotten_index,
            changed_index: record.changed_index,
            leaving_index: record.leaving_index,
        })
    }
}

/// [`Instances`] in a snapshot.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct InstancesRecord {
    /// The instances.
    #[prost(message, repeated, tag = "1")]
    pub histories: Vec<InstanceHistory>,
    /// Names of gone instances, the longest gone first.
    #[prost(string, repeated, tag = "2")]
    pub gone: Vec<String>,
    /// Leaving notices for instances that are not in the instance list yet.
    #[prost(message, repeated, tag = "3")]
    pub early_notices: Vec<LeavingNotice>,
    /// Highest log index of a change of an evicted instance.
    #[prost(uint64, tag = "4")]
    pub forgotten_index: u64,
    /// Log index of the last change.
    #[prost(uint64, tag = "5")]
    pub changed_index: u64,
    /// Log index at which an instance last became leaving.
    #[prost(uint64, tag = "6")]
    pub leaving_index: u64,
}
