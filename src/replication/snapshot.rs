//! Log compaction, and sending and installing snapshots.

use bytes::{Bytes, BytesMut};

use super::{
    Effect, Replica, ReplicaSettings, Snapshot,
    log::MembershipHistory,
    progress::{ReplicationMode, SnapshotTransfer},
    replica::{IncomingSnapshot, RoleState},
};
use crate::wire::{InstallSnapshot, InstallSnapshotReply, ReplicaPayload};

/// Maximum size of the state in one snapshot message.
const SNAPSHOT_CHUNK_BYTES: usize = 1024 * 1024;
/// Minimum of the log's maximum size, as a multiple of the snapshot's size: the next snapshot is due before.
const MAX_LOG_BYTES_PER_SNAPSHOT_BYTE: u64 = 4;

impl Replica {
    pub(super) fn compact(&mut self, index: u64, state: Bytes) {
        if index <= self.snapshot.index || index > self.applied {
            return;
        }
        let Some(term) = self.log.term(index) else {
            return;
        };
        self.snapshot = Snapshot {
            index,
            term,
            membership: self.memberships.at(index).clone(),
            state,
        };
        self.persist(Vec::new(), Some(self.snapshot.clone()));
        let drop_to = self.compaction_index(index);
        if drop_to > self.log.base_index() {
            self.log.compact(drop_to);
            self.memberships.compact(drop_to);
        }
    }

    /// Returns the size from which on the log takes no more commands.
    pub(super) fn max_log_bytes(&self) -> u64 {
        let snapshot_bytes = self.snapshot.state.len() as u64;
        let for_snapshot = snapshot_bytes.saturating_mul(MAX_LOG_BYTES_PER_SNAPSHOT_BYTE);
        self.settings.max_log_bytes.max(for_snapshot)
    }

    /// Returns the index up to which entries are dropped once the snapshot at `index` is written. While an
    /// older snapshot is sent to a member, the entries after that one are kept as well, so that the member
    /// does not need another snapshot, unless they take up more than half of the log's maximum size.
    fn compaction_index(&self, index: u64) -> u64 {
        let ReplicaSettings {
            retained_entries,
            retained_bytes,
            ..
        } = self.settings;
        let start = self
            .log
            .retention_start(index, retained_entries, retained_bytes);
        let transfers = self.leader_state().into_iter().flat_map(|leader_state| {
            let modes = leader_state.progress.values().map(|p| &p.mode);
            modes.filter_map(|mode| match mode {
                ReplicationMode::Snapshot(transfer) => Some(transfer.snapshot.index),
                _ => None,
            })
        });
        let half = self.max_log_bytes() / 2;
        let for_transfers = self.log.retention_start(index, u64::MAX, half);
        match transfers.min() {
            Some(sent) => start.min(sent.max(for_transfers)),
            None => start,
        }
    }

    pub(super) fn receive_snapshot(&mut self, from: u64, request: InstallSnapshot) {
        let round = request.round;
        let offset = match request.index <= self.commit {
            true => request.total,
            false => self.store_chunk(from, request),
        };
        let reply = InstallSnapshotReply {
            index: self.acknowledgeable_index(self.commit),
            round,
            offset,
        };
        self.send(from, ReplicaPayload::InstallSnapshotReply(reply));
    }

    /// Stores a chunk, installs the snapshot if it is complete, and returns the number of bytes received.
    fn store_chunk(&mut self, from: u64, request: InstallSnapshot) -> u64 {
        let same =
            |incoming: &IncomingSnapshot| incoming.from == from && incoming.index == request.index;
        let mut incoming = self
            .incoming_snapshot
            .take()
            .filter(same)
            .unwrap_or_else(|| IncomingSnapshot {
                from,
                index: request.index,
                state: BytesMut::new(),
            });
        let received = incoming.state.len() as u64;
        if request.offset == received {
            incoming.state.extend_from_slice(&request.state);
        }
        let received = incoming.state.len() as u64;
        if received < request.total {
            self.incoming_snapshot = Some(incoming);
            return received;
        }
        let membership = request
            .membership
            .filter(|members| !members.voters.is_empty());
        let Some(membership) = membership else {
            let place = (request.index, request.term);
            if self.refused.replace(place) != Some(place) {
                log::error!(
                    event = "log.snapshot_refused", index = request.index, snapshot_term = request.term;
                    "replication: a snapshot of the leader without members that vote is not installed; restart the leader, \
                     and if this stays, replace it by a new member"
                );
            }
            return 0;
        };
        self.install(Snapshot {
            index: request.index,
            term: request.term,
            membership,
            state: incoming.state.freeze(),
        });
        received
    }

    fn install(&mut self, snapshot: Snapshot) {
        let (index, term) = (snapshot.index, snapshot.term);
        if self.log.term(index) == Some(term) {
            self.log.compact(index);
            self.memberships.compact(index);
        } else {
            self.log.reset(index, term);
            self.memberships = MembershipHistory::new(snapshot.membership.clone());
            self.persisted_index = self.persisted_index.min(self.commit);
        }
        self.commit = index;
        self.applied = index;
        self.snapshot = snapshot.clone();
        self.persist(Vec::new(), Some(snapshot.clone()));
        self.emit(Effect::Restore(snapshot));
    }

    /// Starts sending the newest snapshot to a member.
    pub(super) fn start_snapshot_transfer(&mut self, to: u64) {
        let transfer = SnapshotTransfer {
            snapshot: self.snapshot.clone(),
            offset: 0,
            sent_at: self.now,
            was_resent: false,
        };
        let RoleState::Leader(leader_state) = &mut self.state else {
            return;
        };
        if let Some(progress) = leader_state.progress.get_mut(&to) {
            progress.mode = ReplicationMode::Snapshot(transfer);
            self.send_chunk(to);
        }
    }

    /// Resends a chunk that was not acknowledged within an election timeout.
    pub(super) fn resend_overdue_chunk(&mut self, to: u64) {
        let (now, timeout) = (self.now, self.settings.election_timeout);
        let Some(transfer) = self.transfer(to) else {
            return;
        };
        if now < transfer.sent_at + timeout {
            return;
        }
        transfer.was_resent = true;
        self.send_chunk(to);
    }

    fn transfer(&mut self, to: u64) -> Option<&mut SnapshotTransfer> {
        let RoleState::Leader(leader_state) = &mut self.state else {
            return None;
        };
        match &mut leader_state.progress.get_mut(&to)?.mode {
            ReplicationMode::Snapshot(transfer) => Some(transfer),
            _ => None,
        }
    }

    fn send_chunk(&mut self, to: u64) {
        let (now, round) = (self.now, self.round());
        let Some(transfer) = self.transfer(to) else {
            return;
        };
        transfer.sent_at = now;
        let state = &transfer.snapshot.state;
        let end = state.len().min(transfer.offset + SNAPSHOT_CHUNK_BYTES);
        let request = InstallSnapshot {
            index: transfer.snapshot.index,
            term: transfer.snapshot.term,
            membership: Some(transfer.snapshot.membership.clone()),
            state: state.slice(transfer.offset..end),
            round,
            offset: transfer.offset as u64,
            total: state.len() as u64,
        };
        self.send(to, ReplicaPayload::InstallSnapshot(request));
    }

    pub(super) fn receive_snapshot_reply(&mut self, from: u64, reply: InstallSnapshotReply) {
        if !self.record_round_ack(from, reply.round) {
            return;
        }
        if self.record_match(from, reply.index) {
            return;
        }
        let Some(transfer) = self.transfer(from) else {
            return;
        };
        let offset = usize::try_from(reply.offset).unwrap_or(usize::MAX);
        let advances =
            offset > transfer.offset || (transfer.was_resent && offset < transfer.offset);
        if !advances || offset > transfer.snapshot.state.len() {
            return;
        }
        transfer.offset = offset;
        transfer.was_resent = false;
        self.send_chunk(from);
    }
}
