//! The leader: appending entries, heartbeat rounds, advancing the commit index and tracking members.

use std::{
    collections::{BTreeMap, VecDeque},
    mem,
    time::Duration,
};

use bytes::Bytes;

use super::{
    MemberProgress, Rejection, Replica, Ticket,
    log::quorum_value,
    progress::{Progress, ReplicationMode},
    replica::RoleState,
};
use crate::{
    domain::MemberId,
    wire::{Entry, EntryKind},
};

/// Maximum size of a command, in bytes, so that a message that carries it fits into a frame.
pub const MAX_COMMAND_BYTES: usize = 4 * 1024 * 1024;
/// Number of election timeouts without acknowledgements from a majority after which a leader steps down.
const QUORUM_LOSS_TIMEOUTS: u32 = 2;

#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) progress: BTreeMap<u64, Progress>,
    /// Tickets of uncommitted entries, by index.
    pub(super) tickets: BTreeMap<u64, Ticket>,
    pub(super) reads: Vec<PendingRead>,
    /// The newest heartbeat round.
    pub(super) round: u64,
    /// Number and start of recent rounds, oldest first.
    round_starts: VecDeque<(u64, Duration)>,
    next_heartbeat: Duration,
    /// Index of the leader's first entry in its term.
    pub(super) term_start_index: u64,
    elected_at: Duration,
}

/// A read that waits until a majority acknowledges a heartbeat round (read index).
#[derive(Debug)]
pub(super) struct PendingRead {
    pub(super) round: u64,
    pub(super) ticket: Ticket,
}

impl Replica {
    pub(super) fn become_leader(&mut self) {
        self.leader = Some(self.own_id);
        let term_start_index = self.log.last_index() + 1;
        self.state = RoleState::Leader(Box::new(LeaderState {
            progress: BTreeMap::new(),
            tickets: BTreeMap::new(),
            reads: Vec::new(),
            round: 0,
            round_starts: VecDeque::new(),
            next_heartbeat: self.now,
            term_start_index,
            elected_at: self.now,
        }));
        self.track_members();
        self.append_entry(EntryKind::Open, Bytes::new(), None);
        self.start_round();
    }

    pub(super) fn leader_state(&self) -> Option<&LeaderState> {
        match &self.state {
            RoleState::Leader(leader_state) => Some(leader_state),
            _ => None,
        }
    }

    fn leader_state_mut(&mut self) -> Option<&mut LeaderState> {
        match &mut self.state {
            RoleState::Leader(leader_state) => Some(leader_state),
            _ => None,
        }
    }

    /// Tracks the progress of exactly the other members of the newest membership.
    pub(super) fn track_members(&mut self) {
        let record = self.membership().clone();
        let (own_id, last) = (self.own_id, self.log.last_index());
        let Some(leader_state) = self.leader_state_mut() else {
            return;
        };
        let mut known = mem::take(&mut leader_state.progress);
        leader_state.progress = record
            .voters
            .iter()
            .chain(&record.learners)
            .filter(|id| **id != own_id)
            .map(|id| {
                let progress = known.remove(id).unwrap_or_else(|| Progress::new(last));
                (*id, progress)
            })
            .collect();
    }

    pub(super) fn propose(&mut self, ticket: Ticket, command: Bytes) {
        if !matches!(self.state, RoleState::Leader(_)) {
            return self.reject(ticket, Rejection::NotLeader);
        }
        if command.len() > MAX_COMMAND_BYTES {
            return self.reject(ticket, Rejection::TooLarge);
        }
        if self.log.bytes() + command.len() as u64 > self.max_log_bytes() {
            return self.reject(ticket, Rejection::LogFull);
        }
        self.append_entry(EntryKind::Command, command, Some(ticket));
    }

    pub(super) fn append_entry(&mut self, kind: EntryKind, data: Bytes, ticket: Option<Ticket>) {
        let entry = Entry {
            index: self.log.last_index() + 1,
            term: self.hard_state.term,
            kind: kind as i32,
            data,
        };
        if let (Some(leader_state), Some(ticket)) = (self.leader_state_mut(), ticket) {
            leader_state.tickets.insert(entry.index, ticket);
        }
        self.memberships
            .record_change(&entry)
            .expect("a leader writes only entries that it can read");
        self.log.append(entry.clone());
        self.persist(vec![entry], None);
    }

    pub(super) fn tick_leader(&mut self) {
        let Some(leader_state) = self.leader_state() else {
            return;
        };
        let last_quorum_contact = self.quorum_round_start().max(leader_state.elected_at);
        if self.now > last_quorum_contact + self.settings.election_timeout * QUORUM_LOSS_TIMEOUTS {
            return self.step_down();
        }
        if self.now >= leader_state.next_heartbeat {
            self.start_round();
        }
        self.replicate_to_all();
    }

    pub(super) fn round(&self) -> u64 {
        self.leader_state()
            .map_or(0, |leader_state| leader_state.round)
    }

    /// Starts a heartbeat round: sends every other member a message whose round it acknowledges.
    pub(super) fn start_round(&mut self) {
        let (now, heartbeat) = (self.now, self.settings.heartbeat_interval);
        let oldest_kept = now.saturating_sub(self.settings.election_timeout * 2);
        let Some(leader_state) = self.leader_state_mut() else {
            return;
        };
        leader_state.round += 1;
        leader_state
            .round_starts
            .push_back((leader_state.round, now));
        while leader_state
            .round_starts
            .front()
            .is_some_and(|(_, at)| *at < oldest_kept)
        {
            leader_state.round_starts.pop_front();
        }
        leader_state.next_heartbeat = now + heartbeat;
        let members: Vec<u64> = leader_state.progress.keys().copied().collect();
        for to in members {
            if !self.replicate_to(to) {
                self.send_heartbeat(to);
            }
        }
        self.release_reads();
    }

    pub(super) fn progress_mut(&mut self, member: u64) -> Option<&mut Progress> {
        self.leader_state_mut()?.progress.get_mut(&member)
    }

    /// Records that a member acknowledged a heartbeat round. Returns whether the member is tracked.
    pub(super) fn record_round_ack(&mut self, from: u64, round: u64) -> bool {
        let Some(leader_state) = self.leader_state_mut() else {
            return false;
        };
        let start = leader_state
            .round_starts
            .iter()
            .find(|(number, _)| *number == round);
        let start = start.map(|(_, at)| *at);
        let Some(progress) = leader_state.progress.get_mut(&from) else {
            return false;
        };
        progress.acked_round = progress.acked_round.max(round);
        progress.acked_round_start = progress.acked_round_start.max(start.unwrap_or_default());
        self.release_reads();
        true
    }

    /// Commits what a majority has synced if that entry is of the current term: an entry of an older term
    /// that a majority holds may still be replaced.
    pub(super) fn advance_commit(&mut self) {
        let Some(leader_state) = self.leader_state() else {
            return;
        };
        let voters = &self.membership().voters;
        let quorum_index =
            quorum_value(voters.iter().map(|id| match leader_state.progress.get(id) {
                Some(progress) => progress.match_index,
                None => self.persisted_index,
            }));
        let Some(index) = quorum_index.filter(|index| *index > self.commit) else {
            return;
        };
        if self.log.term(index) != Some(self.hard_state.term) {
            return;
        }
        self.commit_to(index);
        self.release_reads();
        if !self.is_voter() && self.memberships.last_change_index() <= self.commit {
            self.step_down();
        }
    }

    /// Returns whether this leader has committed an entry of its term.
    pub(super) fn has_committed_in_term(&self) -> bool {
        self.leader_state()
            .is_some_and(|leader_state| self.commit >= leader_state.term_start_index)
    }

    pub(super) fn has_caught_up(&self, member: u64) -> bool {
        let max_lag_entries = self.settings.max_entries_per_append as u64;
        let progress = self.leader_state().and_then(|l| l.progress.get(&member));
        progress.is_some_and(|progress| {
            matches!(progress.mode, ReplicationMode::Pipeline { .. })
                && progress.match_index + max_lag_entries >= self.log.last_index()
                && progress.acked_round_start + self.settings.election_timeout > self.now
        })
    }

    /// Returns when this member began to lead, if it leads.
    pub fn led_since(&self) -> Option<Duration> {
        self.leader_state()
            .map(|leader_state| leader_state.elected_at)
    }

    /// Returns what this member knows of another one's replication; nothing is known unless it leads.
    pub fn member_progress(&self, member: MemberId) -> MemberProgress {
        let progress = self.leader_state().and_then(|l| l.progress.get(&member.0));
        MemberProgress {
            member,
            matched: self.match_index(member).unwrap_or_default(),
            acknowledged_at: progress.map_or(Duration::ZERO, |p| p.acked_round_start),
            has_caught_up: self.has_caught_up(member.0),
        }
    }

    /// Returns the last index that a member is known to have synced, if this member is the leader.
    pub fn match_index(&self, member: MemberId) -> Option<u64> {
        let leader_state = self.leader_state()?;
        if member.0 == self.own_id {
            return Some(self.persisted_index);
        }
        leader_state.progress.get(&member.0).map(|p| p.match_index)
    }
}
