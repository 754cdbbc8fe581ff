//! What a leader knows of one other member.

use std::{collections::VecDeque, time::Duration};

use super::Snapshot;

/// Messages with entries that may be under way to one follower.
const MAX_IN_FLIGHT_APPENDS: usize = 16;

#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// The last entry that is known to equal the leader's and to be synced.
    pub(super) match_index: u64,
    /// The entry to send next.
    pub(super) next_index: u64,
    pub(super) mode: ReplicationMode,
    /// The newest round that the member acknowledged, and when that round began.
    pub(super) acked_round: u64,
    pub(super) acked_round_start: Duration,
}

/// How entries are sent.
#[derive(Clone, Debug)]
pub(super) enum ReplicationMode {
    /// The place where the logs match is not known; one message at a time looks for it.
    Probe { waiting: bool },
    /// Messages follow each other without waiting; the last index of each one under way.
    Pipeline { in_flight: VecDeque<u64> },
    /// The next entry was compacted away.
    Snapshot(SnapshotTransfer),
}

/// A snapshot on its way, one chunk at a time.
#[derive(Clone, Debug)]
pub(super) struct SnapshotTransfer {
    pub(super) snapshot: Snapshot,
    pub(super) offset: usize,
    pub(super) sent_at: Duration,
    /// Whether the last chunk was repeated, so that the answer's offset is taken even if smaller.
    pub(super) was_resent: bool,
}

impl Progress {
    pub(super) fn new(last_index: u64) -> Self {
        Self {
            match_index: 0,
            next_index: last_index + 1,
            mode: ReplicationMode::Probe { waiting: false },
            acked_round: 0,
            acked_round_start: Duration::ZERO,
        }
    }

    /// Takes over that the member holds everything up to an index.
    pub(super) fn advance(&mut self, index: u64) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
        match &mut self.mode {
            ReplicationMode::Probe { .. } => self.enter_pipeline(),
            ReplicationMode::Pipeline { in_flight } => in_flight.retain(|last| *last > index),
            ReplicationMode::Snapshot(transfer) if index >= transfer.snapshot.index => {
                self.enter_pipeline()
            }
            ReplicationMode::Snapshot(_) => {}
        }
    }

    /// Takes over that the logs don't match and where the member proposes to try.
    pub(super) fn backtrack(&mut self, hint: u64, last_index: u64) {
        if matches!(self.mode, ReplicationMode::Snapshot(_)) {
            return;
        }
        self.next_index = hint.min(last_index).max(self.match_index) + 1;
        self.mode = ReplicationMode::Probe { waiting: false };
    }

    /// Says whether another message with entries may be sent now.
    pub(super) fn can_send(&self) -> bool {
        match &self.mode {
            ReplicationMode::Probe { waiting } => !waiting,
            ReplicationMode::Pipeline { in_flight } => in_flight.len() < MAX_IN_FLIGHT_APPENDS,
            ReplicationMode::Snapshot(_) => false,
        }
    }

    /// Takes over that entries up to an index were sent.
    pub(super) fn record_sent(&mut self, last: u64) {
        match &mut self.mode {
            ReplicationMode::Probe { waiting } => *waiting = true,
            ReplicationMode::Pipeline { in_flight } => {
                in_flight.push_back(last);
                self.next_index = last + 1;
            }
            ReplicationMode::Snapshot(_) => {}
        }
    }

    fn enter_pipeline(&mut self) {
        self.next_index = self.match_index + 1;
        self.mode = ReplicationMode::Pipeline {
            in_flight: VecDeque::new(),
        };
    }
}
