//! Log replication on the leader's side: sending entries and handling the replies.

use prost::Message;

use super::{Replica, progress::ReplicationMode};
use crate::wire::{AppendReply, AppendRequest, Entry, ReplicaPayload};

/// Maximum size of the entries in one append message; a larger entry is sent alone.
const MAX_APPEND_BYTES: usize = 1024 * 1024;

impl Replica {
    pub(super) fn replicate_to_all(&mut self) {
        let Some(leader_state) = self.leader_state() else {
            return;
        };
        let members: Vec<u64> = leader_state.progress.keys().copied().collect();
        for to in members {
            self.replicate_to(to);
        }
    }

    /// Sends a member all entries that flow control allows; returns whether anything was sent.
    pub(super) fn replicate_to(&mut self, to: u64) -> bool {
        let mut sent = false;
        if !self.may_replicate() {
            return sent;
        }
        while let Some(progress) = self.leader_state().and_then(|l| l.progress.get(&to)) {
            let (next, ready) = (progress.next_index, progress.can_send());
            if !ready {
                return sent;
            }
            if next <= self.log.base_index() {
                self.start_snapshot_transfer(to);
                return true;
            }
            let entries =
                self.log
                    .slice(next, self.settings.max_entries_per_append, MAX_APPEND_BYTES);
            let Some(last) = entries.last().map(|entry| entry.index) else {
                return sent;
            };
            let bytes = entries.iter().map(|entry| entry.encoded_len() as u64);
            let bytes = bytes.sum();
            self.send_append(to, next - 1, entries);
            if let Some(progress) = self.progress_mut(to) {
                progress.record_sent(last, bytes);
            }
            sent = true;
        }
        sent
    }

    /// Returns whether this leader's term is durable, or will be when this step's messages are sent.
    /// Otherwise it could crash, lead the same term again and replicate different entries in it.
    fn may_replicate(&self) -> bool {
        let term_start_index = self.leader_state().map_or(u64::MAX, |l| l.term_start_index);
        self.step_persists || self.persisted_index >= term_start_index
    }

    /// Sends an append message without entries: a consistency check and a round to acknowledge.
    pub(super) fn send_heartbeat(&mut self, to: u64) {
        if !self.may_replicate() {
            return;
        }
        let Some(progress) = self.leader_state().and_then(|l| l.progress.get(&to)) else {
            return;
        };
        let previous = match &progress.mode {
            ReplicationMode::Snapshot(_) => self.snapshot.index,
            _ => (progress.next_index - 1).max(self.log.base_index()),
        };
        self.send_append(to, previous, Vec::new());
        self.resend_overdue_chunk(to);
    }

    fn send_append(&mut self, to: u64, previous: u64, entries: Vec<Entry>) {
        let request = AppendRequest {
            previous_index: previous,
            previous_term: self.log.term(previous).unwrap_or_default(),
            entries,
            commit: self.commit,
            round: self.round(),
        };
        self.send(to, ReplicaPayload::Append(request));
    }

    pub(super) fn receive_append_reply(&mut self, from: u64, reply: AppendReply) {
        if !self.record_round_ack(from, reply.round) {
            return;
        }
        if reply.matched {
            self.record_match(from, reply.index);
            return;
        }
        let last = self.log.last_index();
        if let Some(progress) = self.progress_mut(from) {
            progress.backtrack(reply.index, last);
        }
        self.replicate_to(from);
    }

    /// Records what a member has synced. Returns whether the member receives entries rather than a snapshot.
    pub(super) fn record_match(&mut self, from: u64, index: u64) -> bool {
        let index = index.min(self.log.last_index());
        let Some(progress) = self.progress_mut(from) else {
            return false;
        };
        progress.advance(index);
        let takes_entries = !matches!(progress.mode, ReplicationMode::Snapshot(_));
        self.advance_commit();
        self.replicate_to(from);
        takes_entries
    }
}
