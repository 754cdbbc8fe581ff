//! Log replication on the follower's side.

use super::Replica;
use crate::wire::{AppendReply, AppendRequest, Entry, ReplicaPayload};

impl Replica {
    pub(super) fn receive_append(&mut self, from: u64, request: AppendRequest) {
        if !is_contiguous(&request) {
            return;
        }
        let round = request.round;
        let (matched, index) = match self.matches(&request) {
            true => match self.store_entries(request) {
                Some(index) => (true, index),
                None => return,
            },
            false => {
                let hint = self
                    .log
                    .conflict_hint(request.previous_index, request.previous_term);
                (false, hint)
            }
        };
        let reply = AppendReply {
            matched,
            index,
            round,
        };
        self.send(from, ReplicaPayload::AppendReply(reply));
    }

    /// Returns whether the log contains the request's previous entry. Committed entries equal those of
    /// every later leader, so they need no comparison.
    fn matches(&self, request: &AppendRequest) -> bool {
        request.previous_index <= self.commit
            || self.log.term(request.previous_index) == Some(request.previous_term)
    }

    /// Appends the entries that the log lacks and returns the last index that is known to match the
    /// leader's log and is synced before the reply is sent. Returns `None` if the first entry that the log lacks can't
    /// be read: a reply would make the leader send it again at once, and not only with its next heartbeat.
    fn store_entries(&mut self, request: AppendRequest) -> Option<u64> {
        let mut last = request.previous_index + request.entries.len() as u64;
        let new_entries = request.entries.into_iter().skip_while(|entry| {
            entry.index <= self.commit || self.log.term(entry.index) == Some(entry.term)
        });
        let mut new_entries: Vec<Entry> = new_entries.collect();
        // Neither an entry that can't be read nor one after it is taken; the leader sends them again.
        let unreadable = new_entries
            .iter()
            .position(|entry| entry.membership().is_err());
        if let Some(position) = unreadable {
            last = new_entries[position].index - 1;
            self.report_unreadable(&new_entries[position]);
            new_entries.truncate(position);
        }
        if let Some(first) = new_entries.first() {
            self.truncate(first.index);
            for entry in &new_entries {
                let read = self.memberships.record_change(entry);
                read.expect("entries that can't be read were taken out");
                self.log.append(entry.clone());
            }
            self.persist(new_entries, None);
        }
        let matched_index = last.max(self.commit);
        self.commit_to(request.commit.min(matched_index));
        let is_stuck = unreadable == Some(0);
        (!is_stuck).then(|| self.acknowledgeable_index(matched_index))
    }

    /// Logs an entry that can't be read, once: the leader sends it again and again.
    fn report_unreadable(&mut self, entry: &Entry) {
        let Err(e) = entry.membership() else { return };
        let place = (entry.index, entry.term);
        if self.refused.replace(place) != Some(place) {
            log::error!(
                event = "log.entry_refused", index = entry.index, entry_term = entry.term,
                kind = entry.kind;
                "replication: an entry of the leader is not stored: {e}; start this controller in the leader's version, \
                 and if it is the same, restart the leader"
            );
        }
    }

    fn truncate(&mut self, from: u64) {
        assert!(from > self.commit, "committed entries are never replaced");
        self.log.truncate(from);
        self.memberships.truncate(from);
        self.persisted_index = self.persisted_index.min(from - 1);
    }
}

fn is_contiguous(request: &AppendRequest) -> bool {
    let indices = request.previous_index.saturating_add(1)..;
    request
        .entries
        .iter()
        .zip(indices)
        .all(|(entry, index)| entry.index == index)
}
