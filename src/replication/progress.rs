//! What a leader knows of one other member.

use std::{collections::VecDeque, time::Duration};

use super::Snapshot;

/// Messages with entries that may be under way to one follower.
const PIPELINE_MESSAGES: usize = 16;

#[derive(Clone, Debug)]
pub(super) struct Progress {
    /// The last entry that is known to equal the leader's and to be synced.
    pub(super) matched: u64,
    /// The entry to send next.
    pub(super) next: u64,
    pub(super) mode: Mode,
    /// The newest round that the member echoed, and when that round began.
    pub(super) echoed: u64,
    pub(super) echoed_start: Duration,
}

/// How entries are sent.
#[derive(Clone, Debug)]
pub(super) enum Mode {
    /// The place where the logs match is not known; one message at a time looks for it.
    Probe { waiting: bool },
    /// Messages follow each other without waiting; the last index of each one under way.
    Pipeline { in_flight: VecDeque<u64> },
    /// The next entry was compacted away.
    Snapshot(Transfer),
}

/// A snapshot on its way, one chunk at a time.
#[derive(Clone, Debug)]
pub(super) struct Transfer {
    pub(super) snapshot: Snapshot,
    pub(super) offset: usize,
    pub(super) sent: Duration,
    /// Whether the last chunk was repeated, so that the answer's offset is taken even if smaller.
    pub(super) resent: bool,
}

impl Progress {
    pub(super) fn new(last_index: u64) -> Self {
        Self {
            matched: 0,
            next: last_index + 1,
            mode: Mode::Probe { waiting: false },
            echoed: 0,
            echoed_start: Duration::ZERO,
        }
    }

    /// Takes over that the member holds everything up to an index.
    pub(super) fn advance(&mut self, index: u64) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched + 1);
        match &mut self.mode {
            Mode::Probe { .. } => self.pipeline(),
            Mode::Pipeline { in_flight } => in_flight.retain(|last| *last > index),
            Mode::Snapshot(transfer) if index >= transfer.snapshot.index => self.pipeline(),
            Mode::Snapshot(_) => {}
        }
    }

    /// Takes over that the logs don't match and where the member proposes to try.
    pub(super) fn retreat(&mut self, hint: u64, last_index: u64) {
        if matches!(self.mode, Mode::Snapshot(_)) {
            return;
        }
        self.next = hint.min(last_index).max(self.matched) + 1;
        self.mode = Mode::Probe { waiting: false };
    }

    /// Says whether another message with entries may be sent now.
    pub(super) fn ready(&self) -> bool {
        match &self.mode {
            Mode::Probe { waiting } => !waiting,
            Mode::Pipeline { in_flight } => in_flight.len() < PIPELINE_MESSAGES,
            Mode::Snapshot(_) => false,
        }
    }

    /// Takes over that entries up to an index were sent.
    pub(super) fn sent(&mut self, last: u64) {
        match &mut self.mode {
            Mode::Probe { waiting } => *waiting = true,
            Mode::Pipeline { in_flight } => {
                in_flight.push_back(last);
                self.next = last + 1;
            }
            Mode::Snapshot(_) => {}
        }
    }

    fn pipeline(&mut self) {
        self.next = self.matched + 1;
        self.mode = Mode::Pipeline {
            in_flight: VecDeque::new(),
        };
    }
}
