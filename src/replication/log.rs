//! The in-memory log, and the memberships that its entries define.

use std::collections::VecDeque;

use prost::Message;

use crate::wire::{Entry, MembershipRecord, UnreadableEntry};

/// The log after its compacted prefix. The index and term of the last compacted entry are kept, so that
/// the consistency check of the entry after it still works.
#[derive(Clone, Debug, Default)]
pub(super) struct Log {
    base_index: u64,
    base_term: u64,
    entries: VecDeque<Entry>,
    /// Total size of the entries.
    bytes: u64,
}

impl Log {
    pub(super) fn new(base_index: u64, base_term: u64, entries: Vec<Entry>) -> Self {
        Self {
            base_index,
            base_term,
            bytes: entries.iter().map(entry_bytes).sum(),
            entries: entries.into(),
        }
    }

    /// Returns the total size of the entries.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Index of the last compacted entry.
    pub(super) fn base_index(&self) -> u64 {
        self.base_index
    }

    pub(super) fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    pub(super) fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    /// Returns the term of an entry, unless it was compacted or not appended yet.
    pub(super) fn term(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(super) fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    pub(super) fn append(&mut self, entry: Entry) {
        assert_eq!(entry.index, self.last_index() + 1, "the log has no gaps");
        self.bytes += entry_bytes(&entry);
        self.entries.push_back(entry);
    }

    /// Removes the entries from an index on.
    pub(super) fn truncate(&mut self, from: u64) {
        let keep = from.saturating_sub(self.base_index + 1) as usize;
        let removed = self.entries.iter().skip(keep).map(entry_bytes);
        self.bytes -= removed.sum::<u64>();
        self.entries.truncate(keep);
    }

    /// Returns the smallest index to which the log may be compacted so that the entries after it, up to and
    /// including `last`, are within both limits.
    pub(super) fn retention_start(&self, last: u64, max_entries: u64, max_bytes: u64) -> u64 {
        let (mut start, mut bytes) = (last, 0);
        while start > last.saturating_sub(max_entries)
            && let Some(entry) = self.get(start)
        {
            bytes += entry_bytes(entry);
            if bytes > max_bytes {
                break;
            }
            start -= 1;
        }
        start
    }

    /// Returns entries from an index on within both limits, but at least one if there is any.
    pub(super) fn slice(&self, from: u64, max_entries: usize, max_bytes: usize) -> Vec<Entry> {
        let skip = from.saturating_sub(self.base_index + 1) as usize;
        let mut bytes = 0;
        self.entries
            .iter()
            .skip(skip)
            .take(max_entries)
            .take_while(|entry| {
                let first = bytes == 0;
                bytes += entry.encoded_len();
                first || bytes <= max_bytes
            })
            .cloned()
            .collect()
    }

    /// Removes the entries up to an index. Does nothing if the index is not in the log.
    pub(super) fn compact(&mut self, to: u64) {
        let Some(term) = self.term(to) else { return };
        let removed = self.entries.drain(..(to - self.base_index) as usize);
        self.bytes -= removed.map(|entry| entry_bytes(&entry)).sum::<u64>();
        self.base_index = to;
        self.base_term = term;
    }

    /// Discards all entries and starts after a snapshot's last entry.
    pub(super) fn reset(&mut self, index: u64, term: u64) {
        *self = Self::new(index, term, Vec::new());
    }

    /// Returns where a leader should probe next if the entry at `previous` does not match: the index of the
    /// last entry before it whose term is not newer than `previous_term`.
    pub(super) fn conflict_hint(&self, previous: u64, previous_term: u64) -> u64 {
        let last = self.last_index();
        if last < previous {
            return last;
        }
        (self.base_index..previous)
            .rev()
            .find(|index| self.term(*index).is_some_and(|term| term <= previous_term))
            .unwrap_or(self.base_index)
    }
}

fn entry_bytes(entry: &Entry) -> u64 {
    entry.encoded_len() as u64
}

/// The membership at the log's base index and every later change, committed or not.
#[derive(Clone, Debug, Default)]
pub(super) struct MembershipHistory {
    base: MembershipRecord,
    changes: Vec<(u64, MembershipRecord)>,
}

impl MembershipHistory {
    pub(super) fn new(base: MembershipRecord) -> Self {
        Self {
            base,
            changes: Vec::new(),
        }
    }

    /// Records an appended entry if it is a membership change. An entry that can't be read must not be appended.
    pub(super) fn record_change(&mut self, entry: &Entry) -> Result<(), UnreadableEntry> {
        let record = entry.membership()?;
        self.changes
            .extend(record.map(|record| (entry.index, record)));
        Ok(())
    }

    pub(super) fn truncate(&mut self, from: u64) {
        self.changes.retain(|(index, _)| *index < from);
    }

    /// Returns the newest membership, which takes effect as soon as it is appended.
    pub(super) fn latest(&self) -> &MembershipRecord {
        self.changes.last().map_or(&self.base, |(_, record)| record)
    }

    /// Returns the index of the newest membership change; zero if there is none after the base.
    pub(super) fn last_change_index(&self) -> u64 {
        self.changes.last().map_or(0, |(index, _)| *index)
    }

    pub(super) fn at(&self, index: u64) -> &MembershipRecord {
        self.changes
            .iter()
            .rev()
            .find(|(changed, _)| *changed <= index)
            .map_or(&self.base, |(_, record)| record)
    }

    /// Makes the membership at an index the base and drops the changes up to it.
    pub(super) fn compact(&mut self, to: u64) {
        self.base = self.at(to).clone();
        self.changes.retain(|(index, _)| *index > to);
    }
}

/// Returns the highest value that a majority of the given voters has reached.
pub(super) fn quorum_value<T: Ord + Copy>(values: impl Iterator<Item = T>) -> Option<T> {
    let mut values: Vec<T> = values.collect();
    values.sort_unstable();
    let position = values.len().checked_sub(1)? / 2;
    values.get(position).copied()
}
