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
            true => (true, self.store_entries(request)),
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
    /// leader's log and is synced before the reply is sent.
    fn store_entries(&mut self, request: AppendRequest) -> u64 {
        let last = request.previous_index + request.entries.len() as u64;
        let new_entries: Vec<Entry> = request
            .entries
            .into_iter()
            .skip_while(|entry| {
                entry.index <= self.commit || self.log.term(entry.index) == Some(entry.term)
            })
            .collect();
        if let Some(first) = new_entries.first() {
            self.truncate(first.index);
            for entry in &new_entries {
                self.memberships.record_change(entry);
                self.log.append(entry.clone());
            }
            self.persist(new_entries, None);
        }
        let matched_index = last.max(self.commit);
        self.commit_to(request.commit.min(matched_index));
        self.acknowledgeable_index(matched_index)
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
