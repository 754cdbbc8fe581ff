//! Upstream instances as the log knows them. `Leaving` is never undone for an incarnation.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, VecDeque},
};

use super::command::{Observation, Sighting};
use crate::wire::{InstanceRecord, LeavingNotice};

/// The values of [`InstanceRecord::state`].
pub const LIVE: u32 = 0;
/// Gets no new work.
pub const LEAVING: u32 = 1;
/// No longer in the instance list.
pub const GONE: u32 = 2;

/// Gone instances kept, so that gateways can be told and `explain` can answer.
const KEPT_GONE: usize = 1024;
/// Events kept for each instance.
const KEPT_EVENTS: usize = 16;
/// Notices kept for instances that are not in the list yet.
const KEPT_AHEAD: usize = 256;

/// Something that happened to an instance, kept for `explain`.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct EventRecord {
    /// The leader's time.
    #[prost(uint64, tag = "1")]
    pub at_unix_ms: u64,
    /// What happened and why.
    #[prost(string, tag = "2")]
    pub what: String,
}

/// An instance with its history.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct InstanceFact {
    /// The instance.
    #[prost(message, optional, tag = "1")]
    pub record: Option<InstanceRecord>,
    /// Whether it was leaving before it was gone.
    #[prost(bool, tag = "2")]
    pub left: bool,
    /// The log index of its last change.
    #[prost(uint64, tag = "3")]
    pub changed_index: u64,
    /// What happened to it, oldest first.
    #[prost(message, repeated, tag = "4")]
    pub events: Vec<EventRecord>,
}

impl InstanceFact {
    fn state(&self) -> u32 {
        self.record.as_ref().map_or(GONE, |record| record.state)
    }

    fn incarnation(&self) -> u64 {
        self.record.as_ref().map_or(0, |record| record.incarnation)
    }

    fn change(&mut self, at: At, state: u32, what: String) {
        if let Some(record) = &mut self.record {
            record.state = state;
        }
        self.left |= state == LEAVING;
        self.changed_index = at.index;
        self.events.push(EventRecord {
            at_unix_ms: at.unix_ms,
            what,
        });
        if self.events.len() > KEPT_EVENTS {
            self.events.remove(0);
        }
    }
}

/// Where and when an observation was applied.
#[derive(Clone, Copy, Debug)]
pub struct At {
    /// The log index.
    pub index: u64,
    /// The leader's time, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

/// All known instances.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Instances {
    facts: BTreeMap<String, InstanceFact>,
    gone: VecDeque<String>,
    ahead: BTreeMap<String, u64>,
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
        self.facts
            .values()
            .filter_map(|fact| fact.record.as_ref())
            .filter(|record| record.state != GONE)
    }

    /// Returns one instance with its history.
    pub fn get(&self, name: &str) -> Option<&InstanceFact> {
        self.facts.get(name)
    }

    /// Returns whether a notice says nothing new: its incarnation is leaving, gone or replaced.
    pub fn is_leaving(&self, notice: &LeavingNotice) -> bool {
        let Some(fact) = self.facts.get(&notice.instance) else {
            return self.ahead.get(&notice.instance) >= Some(&notice.incarnation);
        };
        match fact.incarnation().cmp(&notice.incarnation) {
            Ordering::Greater => true,
            Ordering::Equal => fact.left || fact.state() == GONE,
            Ordering::Less => self.ahead.get(&notice.instance) >= Some(&notice.incarnation),
        }
    }

    /// Returns the instances that changed after an index, gone ones included, or nothing if some
    /// of them were forgotten.
    pub fn changed_after(&self, index: u64) -> Option<Vec<InstanceRecord>> {
        if index < self.forgotten_index {
            return None;
        }
        let changed = self
            .facts
            .values()
            .filter(|fact| fact.changed_index > index)
            .filter_map(|fact| fact.record.clone());
        Some(changed.collect())
    }

    /// Applies one observation. Returns whether the instance is known.
    pub fn observe(&mut self, at: At, observation: &Observation) -> bool {
        let reason = &observation.reason;
        match &observation.sighting {
            Some(Sighting::Seen(record)) => {
                self.seen(at, record, reason);
                true
            }
            Some(Sighting::Leaving(notice)) => self.leaving(at, notice, reason),
            Some(Sighting::Gone(notice)) => self.gone(at, notice, reason),
            None => false,
        }
    }

    fn seen(&mut self, at: At, record: &InstanceRecord, reason: &str) {
        let name = &record.name;
        let known = self.facts.get(name);
        if known.is_some_and(|fact| fact.incarnation() > record.incarnation) {
            return;
        }
        let same = known.filter(|fact| fact.incarnation() == record.incarnation);
        let left = same.is_some_and(|fact| fact.left)
            || record.state == LEAVING
            || self.ahead.get(name) >= Some(&record.incarnation);
        let state = if left { LEAVING } else { LIVE };
        let next = InstanceRecord {
            state,
            ..record.clone()
        };
        if same.is_some_and(|fact| fact.record.as_ref() == Some(&next)) {
            return;
        }
        let mut fact = self.facts.remove(name).unwrap_or_default();
        if fact.incarnation() != record.incarnation {
            fact.left = false;
        }
        let word = if left { "leaving" } else { "live" };
        fact.record = Some(next);
        let what = format!("Incarnation {} is {word}: {reason}.", record.incarnation);
        fact.change(at, state, what);
        self.facts.insert(name.clone(), fact);
        self.gone.retain(|gone| gone != name);
        self.ahead
            .retain(|ahead, incarnation| ahead != name || *incarnation > record.incarnation);
        self.changed_index = at.index;
        if left {
            self.leaving_index = at.index;
        }
    }

    fn leaving(&mut self, at: At, notice: &LeavingNotice, reason: &str) -> bool {
        let Some(fact) = self.facts.get_mut(&notice.instance) else {
            self.announce(notice);
            return false;
        };
        // A notice for a later incarnation says that this one was replaced.
        if fact.incarnation() <= notice.incarnation && !fact.left {
            fact.left = true;
            if fact.state() != GONE {
                let what = format!("Incarnation {} is leaving: {reason}.", fact.incarnation());
                fact.change(at, LEAVING, what);
                self.changed_index = at.index;
                self.leaving_index = at.index;
            }
        }
        let known = fact.incarnation() >= notice.incarnation;
        if !known {
            self.announce(notice);
        }
        known
    }

    fn announce(&mut self, notice: &LeavingNotice) {
        let ahead = self.ahead.entry(notice.instance.clone()).or_default();
        *ahead = notice.incarnation.max(*ahead);
        if self.ahead.len() > KEPT_AHEAD {
            self.ahead.pop_first();
        }
    }

    fn gone(&mut self, at: At, notice: &LeavingNotice, reason: &str) -> bool {
        let Some(fact) = self.facts.get_mut(&notice.instance) else {
            return false;
        };
        if fact.incarnation() != notice.incarnation || fact.state() == GONE {
            return true;
        }
        let what = format!("Incarnation {} is gone: {reason}.", notice.incarnation);
        fact.change(at, GONE, what);
        self.changed_index = at.index;
        self.gone.push_back(notice.instance.clone());
        if self.gone.len() > KEPT_GONE {
            self.forget_oldest();
        }
        true
    }

    fn forget_oldest(&mut self) {
        let Some(fact) = self.gone.pop_front().and_then(|n| self.facts.remove(&n)) else {
            return;
        };
        self.forgotten_index = self.forgotten_index.max(fact.changed_index);
    }

    /// Returns everything for a snapshot.
    pub fn to_record(&self) -> InstancesRecord {
        InstancesRecord {
            facts: self.facts.values().cloned().collect(),
            gone: self.gone.iter().cloned().collect(),
            ahead: self
                .ahead
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

    /// Builds the instances from a snapshot; returns nothing if a record is malformed.
    pub fn from_record(record: InstancesRecord) -> Option<Self> {
        let facts = record
            .facts
            .into_iter()
            .map(|fact| Some((fact.record.as_ref()?.name.clone(), fact)))
            .collect::<Option<_>>()?;
        let ahead = record
            .ahead
            .into_iter()
            .map(|notice| (notice.instance, notice.incarnation));
        Some(Self {
            facts,
            gone: record.gone.into(),
            ahead: ahead.collect(),
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
    pub facts: Vec<InstanceFact>,
    /// Names of gone instances, the longest gone first.
    #[prost(string, repeated, tag = "2")]
    pub gone: Vec<String>,
    /// Notices for instances that are not in the list yet.
    #[prost(message, repeated, tag = "3")]
    pub ahead: Vec<LeavingNotice>,
    /// Index of the last change of a forgotten instance.
    #[prost(uint64, tag = "4")]
    pub forgotten_index: u64,
    /// Index of the last change.
    #[prost(uint64, tag = "5")]
    pub changed_index: u64,
    /// Index at which an instance last became leaving.
    #[prost(uint64, tag = "6")]
    pub leaving_index: u64,
}
