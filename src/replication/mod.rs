//! A Raft-style replicated log as a pure step function from an input and a time to a list of effects.
//! The module does no I/O, reads no clock and writes no log lines. See docs/DESIGN.md, "Replication".

mod batch;
mod bootstrap;
mod election;
mod follower;
mod leader;
mod lease;
mod log;
mod membership;
mod progress;
mod read;
mod receive;
mod replica;
mod replicate;
mod snapshot;

pub use batch::{Batch, LogWrite};
pub use bootstrap::{Bootstrap, BootstrapStep, FIRST_SNAPSHOT_INDEX};
pub use leader::MAX_COMMAND_BYTES;
pub use replica::{Replica, Role};

use std::time::Duration;

use bytes::Bytes;

use crate::{
    domain::MemberId,
    wire::{Entry, MembershipRecord, ReplicaMessage},
};

/// Timeouts and size limits of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaSettings {
    /// Interval between a leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// Shortest randomized election timeout; the longest is twice this.
    pub election_timeout: Duration,
    /// Maximum number of entries in one append message.
    pub max_entries_per_append: usize,
    /// Maximum number of entries kept in the log behind a snapshot, so that slow followers can catch up
    /// without the snapshot.
    pub retained_entries: u64,
    /// Maximum size of the entries kept behind a snapshot, in bytes.
    pub retained_bytes: u64,
    /// Size of the log in memory, in bytes, from which on a leader refuses commands: compaction does not
    /// keep up, for example because the disk hangs. It is raised to a multiple of a large snapshot's size.
    pub max_log_bytes: u64,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(50),
            election_timeout: Duration::from_millis(300),
            max_entries_per_append: 256,
            retained_entries: 4096,
            retained_bytes: 8 * 1024 * 1024,
            max_log_bytes: 32 * 1024 * 1024,
        }
    }
}

/// Term and vote, which must be durable before any message that depends on them is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// The highest term seen.
    pub term: u64,
    /// The member voted for in that term.
    pub vote: Option<MemberId>,
}

/// The state machine's state at an index, which replaces the log entries up to that index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Index of the last entry included.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// The membership at that index.
    pub membership: MembershipRecord,
    /// The encoded state of the state machine.
    pub state: Bytes,
}

/// What a member reads back from its data folder on start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The vote and term.
    pub hard_state: HardState,
    /// The newest snapshot; its index is zero if there is none.
    pub snapshot: Snapshot,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// Identifies a proposal or read within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// An event that a replica handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// Advances the timers; step it at least every half heartbeat interval.
    Tick,
    /// A message from another member.
    Receive(ReplicaMessage),
    /// Appends a command to the log. Completes with an `Effect::Apply` that has the ticket, or with
    /// `Effect::Rejected`.
    Propose {
        /// Identifies the answer.
        ticket: Ticket,
        /// The encoded command.
        command: Bytes,
    },
    /// Requests a linearizable read. Completes with `Effect::ReadReady` or `Effect::Rejected`.
    Read {
        /// Identifies the answer.
        ticket: Ticket,
    },
    /// Adds a learner, promotes a learner to voter, or removes a member. Only one change may be uncommitted.
    ChangeMembers {
        /// Identifies the answer.
        ticket: Ticket,
        /// The change.
        change: MemberChange,
    },
    /// Everything requested by `Effect::Persist` up to this index is synced. Step it before the next
    /// `Persist` starts, because that one may replace the entry.
    Persisted {
        /// The last synced entry.
        index: u64,
        /// Its term.
        term: u64,
    },
    /// The state machine has encoded its state, so that the entries up to `index` may be dropped.
    Compact {
        /// Index of the last entry included.
        index: u64,
        /// The encoded state.
        state: Bytes,
    },
}

/// What a leader knows of a member's replication.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberProgress {
    /// The member.
    pub member: MemberId,
    /// The last index known to be on its disk.
    pub matched: u64,
    /// Start of the newest heartbeat round that it acknowledged; zero if there is none in the leader's term.
    pub acknowledged_at: Duration,
    /// Whether a promotion would be accepted: it acknowledges the newest rounds and lacks few entries.
    pub has_caught_up: bool,
}

/// A change to the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// Starts replicating to a new member that does not vote.
    AddLearner(MemberId),
    /// Makes a learner that has caught up a voter.
    Promote(MemberId),
    /// Removes a member.
    Remove(MemberId),
}

/// Why a proposal, read or membership change was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// This member is not the leader; nothing was appended.
    NotLeader,
    /// Leadership was lost after the entry was appended; it may still commit.
    Deposed,
    /// Another membership change is uncommitted, or this one does not apply to the current membership.
    ChangeRefused,
    /// The command exceeds [`MAX_COMMAND_BYTES`]; nothing was appended.
    TooLarge,
    /// The log has reached its maximum size, because snapshots are not written; nothing was appended.
    LogFull,
}

/// An action for the driver, in order. `Send` effects that follow a `Persist` of the same step must
/// wait until it is synced; the driver then steps `Input::Persisted`.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Write and sync. The entries replace any stored ones from the first one's index on.
    Persist {
        /// The vote and term, if they changed.
        hard_state: Option<HardState>,
        /// Entries to append.
        entries: Vec<Entry>,
        /// A snapshot. It replaces the entries up to its index, or the whole log if that does not hold
        /// the snapshot's last entry.
        snapshot: Option<Snapshot>,
    },
    /// Send the message to `ReplicaMessage::to`.
    Send(ReplicaMessage),
    /// Apply a committed entry. The ticket is set if this leader proposed it.
    Apply {
        /// The entry.
        entry: Entry,
        /// Identifies the proposal.
        ticket: Option<Ticket>,
    },
    /// Replace the state machine's state by the snapshot's.
    Restore(Snapshot),
    /// The state machine has applied every entry that this read must observe.
    ReadReady(Ticket),
    /// A proposal, read or membership change was rejected.
    Rejected {
        /// Identifies the request.
        ticket: Ticket,
        /// Why.
        rejection: Rejection,
    },
}
