//! The replicated log as a pure step function: an input and a time go in, effects come out.
//! It opens no socket, reads no clock and writes no log line. See docs/DESIGN.md, "Replication".

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
pub use bootstrap::{Bootstrap, BootstrapStep};
pub use leader::MAX_COMMAND_BYTES;
pub use replica::{Replica, Role};

use std::time::Duration;

use bytes::Bytes;

use crate::{
    domain::MemberId,
    wire::{Entry, MembershipRecord, ReplicaMessage},
};

/// Timing and sizes of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaSettings {
    /// Time between a leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// Shortest silence before an election; the longest is twice that.
    pub election_timeout: Duration,
    /// Most entries in one message.
    pub max_entries_per_append: usize,
    /// Entries kept behind a snapshot for slow followers.
    pub retained_entries: u64,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(50),
            election_timeout: Duration::from_millis(300),
            max_entries_per_append: 256,
            retained_entries: 4096,
        }
    }
}

/// What must be on disk before anything that depends on it is said.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// The newest term seen.
    pub term: u64,
    /// The member voted for in that term.
    pub vote: Option<MemberId>,
}

/// The state at an index, which replaces the entries up to it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Index of the last entry included.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// The members at that index.
    pub membership: MembershipRecord,
    /// The encoded state.
    pub state: Bytes,
}

/// What a restarted member reads back from its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The vote and term.
    pub hard_state: HardState,
    /// The newest snapshot; index zero if there is none.
    pub snapshot: Snapshot,
    /// The entries after it.
    pub entries: Vec<Entry>,
}

/// Identifies a proposal or read within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// What happens to a replica.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passed; call it at least every half heartbeat.
    Tick,
    /// A member's message arrived.
    Receive(ReplicaMessage),
    /// A command for the log. Answered by `Effect::Apply` with the ticket or by `Effect::Rejected`.
    Propose {
        /// Identifies the answer.
        ticket: Ticket,
        /// The encoded command.
        command: Bytes,
    },
    /// A request to read the newest state. Answered by `Effect::ReadReady` or `Effect::Rejected`.
    Read {
        /// Identifies the answer.
        ticket: Ticket,
    },
    /// Adds a learner, makes a learner a voter, or removes a member; one change at a time.
    ChangeMembers {
        /// Identifies the answer.
        ticket: Ticket,
        /// The change.
        change: MemberChange,
    },
    /// Everything asked for by `Effect::Persist` up to this index is synced. Step it before any
    /// later `Persist` is begun, because a later one may replace the entry.
    Persisted {
        /// The last synced entry.
        index: u64,
        /// Its term.
        term: u64,
    },
    /// The state machine encoded its state; entries up to `index` may go.
    Compact {
        /// Index of the last entry included.
        index: u64,
        /// The encoded state.
        state: Bytes,
    },
}

/// One change of the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// Starts sending entries to a new member.
    AddLearner(MemberId),
    /// Lets a learner that has caught up vote.
    Promote(MemberId),
    /// Removes a member.
    Remove(MemberId),
}

/// Why a proposal, read or change was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// This member does not lead; nothing was appended.
    NotLeader,
    /// Leadership was lost after the entry was appended; it may still commit.
    Deposed,
    /// Another membership change is not yet committed, or this one does not apply.
    ChangeRefused,
    /// The command exceeds [`MAX_COMMAND_BYTES`]; nothing was appended.
    TooLarge,
}

/// What the driver must do, in this order. `Send` effects that follow a `Persist` in the same step
/// wait until it is synced; the driver then steps `Input::Persisted`.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Write and sync. Entries replace any stored ones at or after the first one's index.
    Persist {
        /// The vote and term, if they changed.
        hard_state: Option<HardState>,
        /// Entries to append.
        entries: Vec<Entry>,
        /// A snapshot that replaces everything before and, if it came from a leader, the log.
        snapshot: Option<Snapshot>,
    },
    /// Send to `ReplicaMessage::to`.
    Send(ReplicaMessage),
    /// Apply a committed entry. The ticket is set if it was proposed here.
    Apply {
        /// The entry.
        entry: Entry,
        /// Identifies the proposal.
        ticket: Option<Ticket>,
    },
    /// Replace the state machine's state.
    Restore(Snapshot),
    /// The state machine has applied enough for this read.
    ReadReady(Ticket),
    /// A proposal, read or change was not taken.
    Rejected {
        /// Identifies it.
        ticket: Ticket,
        /// Why.
        rejection: Rejection,
    },
}
