//! The replica: its state, its entry point and the operations that all roles share.

use std::{collections::BTreeSet, mem, ops::Range, time::Duration};

use bytes::BytesMut;
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{
    Effect, HardState, Input, Recovered, Rejection, ReplicaSettings, Snapshot, Ticket,
    leader::LeaderState,
    log::{Log, MembershipHistory},
};
use crate::{
    domain::MemberId,
    wire::{Entry, MembershipRecord, ReplicaMessage, ReplicaPayload},
};

/// Range of the randomized election timeout, as factors of the shortest one. The spread keeps members
/// from starting their pre-votes at the same time.
const ELECTION_TIMEOUT_FACTORS: Range<f64> = 1.0..2.0;
/// Range of the first election timeout after a start, when the member knows no leader and no member may
/// vote before the shortest timeout.
const FIRST_ELECTION_TIMEOUT_FACTORS: Range<f64> = 1.0..1.3;

/// The current role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// It has no vote: it is a learner, was removed, or was not added yet.
    Learner,
    /// It follows a leader, or waits for one to be elected.
    Follower,
    /// It requests pre-votes or votes.
    Candidate,
    /// It leads the current term.
    Leader,
}

/// One member of the replicated log, as a pure step function.
///
/// The driver owns the disk, the links and the clock. It restores its state machine on
/// `Effect::Restore`, which the first step returns if there is a snapshot; an empty `state` in it stands
/// for the state machine's initial state. See [`super::Batch`] for the order of writes and sends.
#[derive(Debug)]
pub struct Replica {
    pub(super) own_id: u64,
    pub(super) settings: ReplicaSettings,
    pub(super) now: Duration,
    pub(super) hard_state: HardState,
    pub(super) log: Log,
    pub(super) memberships: MembershipHistory,
    pub(super) snapshot: Snapshot,
    pub(super) commit: u64,
    pub(super) applied: u64,
    /// Index of the last entry known to be synced on this member's disk.
    pub(super) persisted_index: u64,
    pub(super) state: RoleState,
    pub(super) leader: Option<u64>,
    /// No vote is granted before this time, because a leader may still hold a lease.
    pub(super) no_votes_before: Duration,
    /// When the election timeout fires.
    pub(super) election_deadline: Duration,
    pub(super) incoming_snapshot: Option<IncomingSnapshot>,
    /// Index and term of the entry or snapshot of a leader that was refused last because it can't be read.
    pub(super) refused: Option<(u64, u64)>,
    /// Whether the term or vote changed without a `Persist` effect for it yet.
    hard_state_changed: bool,
    /// Whether the current step emitted a `Persist` with entries or a snapshot.
    pub(super) step_persists: bool,
    restore_emitted: bool,
    rng: StdRng,
    effects: Vec<Effect>,
}

#[derive(Debug)]
pub(super) enum RoleState {
    Follower,
    Candidate {
        pre_vote: bool,
        votes: BTreeSet<u64>,
    },
    Leader(Box<LeaderState>),
}

/// A partly received snapshot.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    pub(super) from: u64,
    pub(super) index: u64,
    pub(super) state: BytesMut,
}

impl Replica {
    /// Creates a replica from what its disk holds. `seed` drives the randomized election timeouts;
    /// members should have different ones. `now` counts from any fixed point and must be monotonic.
    pub fn new(
        own_id: MemberId,
        recovered: Recovered,
        settings: ReplicaSettings,
        seed: u64,
        now: Duration,
    ) -> Self {
        let Recovered {
            hard_state,
            snapshot,
            entries,
        } = recovered;
        let mut memberships = MembershipHistory::new(snapshot.membership.clone());
        for entry in &entries {
            let read = memberships.record_change(entry);
            read.expect("the data folder gives only entries that can be read");
        }
        let log = Log::new(snapshot.index, snapshot.term, entries);
        let mut replica = Self {
            own_id: own_id.0,
            now,
            hard_state,
            commit: snapshot.index,
            applied: snapshot.index,
            persisted_index: log.last_index(),
            log,
            memberships,
            restore_emitted: snapshot.index == 0,
            snapshot,
            state: RoleState::Follower,
            leader: None,
            // It may have acknowledged a leader just before the restart, which extends that leader's lease.
            no_votes_before: now + settings.election_timeout,
            election_deadline: now,
            incoming_snapshot: None,
            refused: None,
            hard_state_changed: false,
            step_persists: false,
            rng: StdRng::seed_from_u64(seed),
            settings,
            effects: Vec::new(),
        };
        replica.election_deadline = now + replica.random_timeout(FIRST_ELECTION_TIMEOUT_FACTORS);
        replica
    }

    /// Handles one input. `now` must be read after the inputs of a batch were received.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Effect> {
        self.now = self.now.max(now);
        self.step_persists = false;
        if !mem::replace(&mut self.restore_emitted, true) {
            self.effects.push(Effect::Restore(self.snapshot.clone()));
        }
        match input {
            Input::Tick => self.tick(),
            Input::Receive(message) => self.receive(message),
            Input::Propose { ticket, command } => self.propose(ticket, command),
            Input::Read { ticket } => self.read(ticket),
            Input::ChangeMembers { ticket, change } => self.change_members(ticket, change),
            Input::Persisted { index, term } => self.receive_persisted(index, term),
            Input::Compact { index, state } => self.compact(index, state),
        }
        if self.hard_state_changed {
            self.persist(Vec::new(), None);
        }
        mem::take(&mut self.effects)
    }

    /// Returns the current role.
    pub fn role(&self) -> Role {
        match self.state {
            RoleState::Leader(_) => Role::Leader,
            _ if !self.is_voter() => Role::Learner,
            RoleState::Candidate { .. } => Role::Candidate,
            RoleState::Follower => Role::Follower,
        }
    }

    /// Returns the highest term seen.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Returns the leader of the current term, if it is known.
    pub fn leader(&self) -> Option<MemberId> {
        self.leader.map(MemberId)
    }

    /// Returns the index of the last entry known to be committed.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Returns the index of the last entry passed to the state machine.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Returns the index of the last entry in the log.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Returns the newest membership, which may be uncommitted.
    pub fn membership(&self) -> &MembershipRecord {
        self.memberships.latest()
    }

    /// Returns whether the newest membership is committed.
    pub fn is_membership_committed(&self) -> bool {
        self.memberships.last_change_index() <= self.commit
    }

    /// Returns the entry at an index, unless it was compacted or not appended yet.
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        self.log.get(index)
    }

    /// Returns whether this member has neither stored an entry nor voted; see [`super::Bootstrap`].
    pub fn is_blank(&self) -> bool {
        self.hard_state == HardState::default() && self.log.last_index() == 0
    }

    pub(super) fn is_voter(&self) -> bool {
        self.membership().voters.contains(&self.own_id)
    }

    pub(super) fn reset_election_deadline(&mut self) {
        self.election_deadline = self.now + self.random_timeout(ELECTION_TIMEOUT_FACTORS);
    }

    /// Returns a random duration, with the range given as factors of the shortest election timeout.
    pub(super) fn random_timeout(&mut self, factors: Range<f64>) -> Duration {
        let factor = self.rng.random_range(factors);
        self.settings.election_timeout.mul_f64(factor)
    }

    /// Adopts a higher term as a follower.
    pub(super) fn enter_term(&mut self, term: u64) {
        self.step_down();
        self.hard_state = HardState { term, vote: None };
        self.hard_state_changed = true;
    }

    pub(super) fn vote_for(&mut self, member: u64) {
        self.hard_state.vote = Some(MemberId(member));
        // Set even if the vote is unchanged: the step that first granted it may not be synced yet.
        self.hard_state_changed = true;
    }

    /// Becomes a follower. A former leader rejects all pending proposals and reads, and grants no vote
    /// before its lease ends.
    pub(super) fn step_down(&mut self) {
        let lease = self.lease_end();
        self.leader = None;
        let state = mem::replace(&mut self.state, RoleState::Follower);
        let RoleState::Leader(leader_state) = state else {
            return;
        };
        self.no_votes_before = self.no_votes_before.max(lease);
        self.reset_election_deadline();
        for ticket in leader_state.tickets.into_values() {
            self.reject(ticket, Rejection::Deposed);
        }
        for read in leader_state.reads {
            self.reject(read.ticket, Rejection::NotLeader);
        }
    }

    pub(super) fn reject(&mut self, ticket: Ticket, rejection: Rejection) {
        self.effects.push(Effect::Rejected { ticket, rejection });
    }

    pub(super) fn emit(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    pub(super) fn persist(&mut self, entries: Vec<Entry>, snapshot: Option<Snapshot>) {
        let hard_state = mem::take(&mut self.hard_state_changed).then(|| self.hard_state.clone());
        self.step_persists |= !entries.is_empty() || snapshot.is_some();
        self.effects.push(Effect::Persist {
            hard_state,
            entries,
            snapshot,
        });
    }

    /// Returns the last index, up to `index`, that a reply of this step may acknowledge as synced. Entries
    /// that the step itself persists count, because its replies wait for that sync.
    pub(super) fn acknowledgeable_index(&self, index: u64) -> u64 {
        if self.step_persists {
            index
        } else {
            index.min(self.persisted_index)
        }
    }

    /// Sends a message in the current term, after a `Persist` of the term and vote if they changed.
    pub(super) fn send(&mut self, to: u64, payload: ReplicaPayload) {
        self.send_with_term(self.hard_state.term, to, payload);
    }

    pub(super) fn send_with_term(&mut self, term: u64, to: u64, payload: ReplicaPayload) {
        if self.hard_state_changed {
            self.persist(Vec::new(), None);
        }
        self.effects.push(Effect::Send(ReplicaMessage {
            from: self.own_id,
            to,
            term,
            payload: Some(payload),
        }));
    }

    /// Advances the commit index and emits the newly committed entries to be applied.
    pub(super) fn commit_to(&mut self, index: u64) {
        self.commit = self.commit.max(index);
        while self.applied < self.commit {
            self.applied += 1;
            let entry = self
                .log
                .get(self.applied)
                .expect("committed entries are kept until they are applied")
                .clone();
            let ticket = match &mut self.state {
                RoleState::Leader(leader_state) => leader_state.tickets.remove(&self.applied),
                _ => None,
            };
            self.effects.push(Effect::Apply { entry, ticket });
        }
    }

    fn receive_persisted(&mut self, index: u64, term: u64) {
        if self.log.term(index) == Some(term) {
            self.persisted_index = self.persisted_index.max(index);
        }
        self.advance_commit();
        self.replicate_to_all();
    }
}
