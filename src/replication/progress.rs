//! A leader's replication progress for one other member.

use std::{collections::VecDeque, time::Duration};

use super::Snapshot;

/// Maximum number of unacknowledged append messages to one follower.
const MAX_IN_FLIGHT_APPENDS: usize = 16;
/// Size of the entries in unacknowledged append messages to one follower, in bytes, from which on no more are
/// sent. A follower whose disk hangs keeps no more than this and one message in memory.
const MAX_IN_FLIGHT_BYTES: u64 = 4 * 1024 * 1024;

#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// Index of the last entry that is known to match the leader's log and to be synced.
    pub(super) match_index: u64,
    /// Index of the next entry to send.
    pub(super) next_index: u64,
    pub(super) mode: ReplicationMode,
    /// The newest heartbeat round that the member acknowledged.
    pub(super) acked_round: u64,
    /// When that round began.
    pub(super) acked_round_start: Duration,
}

/// How entries are sent to a member.
#[derive(Clone, Debug)]
pub(super) enum ReplicationMode {
    /// It is not known where the logs match; one message at a time is sent to find out.
    Probe { waiting: bool },
    /// Messages are sent without waiting for replies; holds the unacknowledged ones.
    Pipeline { in_flight: VecDeque<SentAppend> },
    /// The next entry was compacted, so a snapshot is sent instead.
    Snapshot(SnapshotTransfer),
}

/// An unacknowledged append message.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentAppend {
    /// Index of its last entry.
    last: u64,
    /// Size of its entries.
    bytes: u64,
}

/// A snapshot transfer, one chunk at a time.
#[derive(Clone, Debug)]
pub(super) struct SnapshotTransfer {
    pub(super) snapshot: Snapshot,
    pub(super) offset: usize,
    pub(super) sent_at: Duration,
    /// Whether the last chunk was resent, so that a smaller offset in the reply is accepted as well.
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

    /// Records that the member has synced all entries up to an index.
    pub(super) fn advance(&mut self, index: u64) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
        match &mut self.mode {
            ReplicationMode::Probe { .. } => self.enter_pipeline(),
            ReplicationMode::Pipeline { in_flight } => in_flight.retain(|sent| sent.last > index),
            ReplicationMode::Snapshot(transfer) if index >= transfer.snapshot.index => {
                self.enter_pipeline()
            }
            ReplicationMode::Snapshot(_) => {}
        }
    }

    /// Records that the logs do not match at the probed index, and probes at the member's hint.
    pub(super) fn backtrack(&mut self, hint: u64, last_index: u64) {
        if matches!(self.mode, ReplicationMode::Snapshot(_)) {
            return;
        }
        self.next_index = hint.min(last_index).max(self.match_index) + 1;
        self.mode = ReplicationMode::Probe { waiting: false };
    }

    /// Returns whether another append message may be sent now.
    pub(super) fn can_send(&self) -> bool {
        match &self.mode {
            ReplicationMode::Probe { waiting } => !waiting,
            ReplicationMode::Pipeline { in_flight } => {
                let bytes: u64 = in_flight.iter().map(|sent| sent.bytes).sum();
                in_flight.len() < MAX_IN_FLIGHT_APPENDS && bytes < MAX_IN_FLIGHT_BYTES
            }
            ReplicationMode::Snapshot(_) => false,
        }
    }

    /// Records that entries up to an index, of a total size, were sent.
    pub(super) fn record_sent(&mut self, last: u64, bytes: u64) {
        match &mut self.mode {
            ReplicationMode::Probe { waiting } => *waiting = true,
            ReplicationMode::Pipeline { in_flight } => {
                in_flight.push_back(SentAppend { last, bytes });
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
