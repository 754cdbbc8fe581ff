//! Leading: appending, sending entries, counting what is synced, and the lease.

use std::{
    collections::{BTreeMap, VecDeque},
    mem,
    time::Duration,
};

use bytes::Bytes;

use super::{
    Rejection, Replica, Ticket,
    log::majority,
    progress::{Mode, Progress},
    replica::State,
};
use crate::wire::{Entry, EntryKind};

/// Largest command, so that a message with it fits into a frame.
pub const MAX_COMMAND_BYTES: usize = 4 * 1024 * 1024;
/// Election timeouts without an answer of a majority after which a leader gives up.
const PATIENCE: u32 = 2;

#[derive(Debug)]
pub(super) struct Leadership {
    pub(super) progress: BTreeMap<u64, Progress>,
    pub(super) tickets: BTreeMap<u64, Ticket>,
    pub(super) reads: Vec<PendingRead>,
    /// The newest round and, oldest first, when recent rounds began.
    pub(super) round: u64,
    starts: VecDeque<(u64, Duration)>,
    next_heartbeat: Duration,
    pub(super) opened_at: u64,
    since: Duration,
}

/// A read that waits until a majority echoed a round.
#[derive(Debug)]
pub(super) struct PendingRead {
    pub(super) round: u64,
    pub(super) ticket: Ticket,
}

impl Replica {
    pub(super) fn lead(&mut self) {
        self.leader = Some(self.own);
        let opened_at = self.log.last_index() + 1;
        self.state = State::Leader(Box::new(Leadership {
            progress: BTreeMap::new(),
            tickets: BTreeMap::new(),
            reads: Vec::new(),
            round: 0,
            starts: VecDeque::new(),
            next_heartbeat: self.now,
            opened_at,
            since: self.now,
        }));
        self.track_members();
        self.append_own(EntryKind::Open, Bytes::new(), None);
        self.start_round();
    }

    pub(super) fn leadership(&self) -> Option<&Leadership> {
        match &self.state {
            State::Leader(leadership) => Some(leadership),
            _ => None,
        }
    }

    fn leadership_mut(&mut self) -> Option<&mut Leadership> {
        match &mut self.state {
            State::Leader(leadership) => Some(leadership),
            _ => None,
        }
    }

    /// Makes the members that are followed those of the newest membership.
    pub(super) fn track_members(&mut self) {
        let record = self.membership().clone();
        let (own, last) = (self.own, self.log.last_index());
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        let mut known = mem::take(&mut leadership.progress);
        leadership.progress = record
            .voters
            .iter()
            .chain(&record.learners)
            .filter(|id| **id != own)
            .map(|id| {
                let progress = known.remove(id).unwrap_or_else(|| Progress::new(last));
                (*id, progress)
            })
            .collect();
    }

    pub(super) fn propose(&mut self, ticket: Ticket, command: Bytes) {
        if !matches!(self.state, State::Leader(_)) {
            return self.reject(ticket, Rejection::NotLeader);
        }
        if command.len() > MAX_COMMAND_BYTES {
            return self.reject(ticket, Rejection::TooLarge);
        }
        self.append_own(EntryKind::Command, command, Some(ticket));
    }

    pub(super) fn append_own(&mut self, kind: EntryKind, data: Bytes, ticket: Option<Ticket>) {
        let entry = Entry {
            index: self.log.last_index() + 1,
            term: self.hard.term,
            kind: kind as i32,
            data,
        };
        if let (Some(leadership), Some(ticket)) = (self.leadership_mut(), ticket) {
            leadership.tickets.insert(entry.index, ticket);
        }
        self.memberships.note(&entry);
        self.log.append(entry.clone());
        self.persist(vec![entry], None);
    }

    pub(super) fn tick_leader(&mut self) {
        let Some(leadership) = self.leadership() else {
            return;
        };
        let heard = self.quorum_start().max(leadership.since);
        if self.now > heard + self.settings.election_timeout * PATIENCE {
            return self.step_down();
        }
        if self.now >= leadership.next_heartbeat {
            self.start_round();
        }
        self.send_entries();
    }

    pub(super) fn round(&self) -> u64 {
        self.leadership().map_or(0, |leadership| leadership.round)
    }

    /// Begins a round: every member gets a message to echo.
    pub(super) fn start_round(&mut self) {
        let (now, heartbeat) = (self.now, self.settings.heartbeat);
        let horizon = now.saturating_sub(self.settings.election_timeout * 2);
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        leadership.round += 1;
        leadership.starts.push_back((leadership.round, now));
        while leadership
            .starts
            .front()
            .is_some_and(|(_, at)| *at < horizon)
        {
            leadership.starts.pop_front();
        }
        leadership.next_heartbeat = now + heartbeat;
        let members: Vec<u64> = leadership.progress.keys().copied().collect();
        for to in members {
            if !self.send_to(to) {
                self.send_heartbeat(to);
            }
        }
        self.release_reads();
    }

    pub(super) fn progress_mut(&mut self, member: u64) -> Option<&mut Progress> {
        self.leadership_mut()?.progress.get_mut(&member)
    }

    /// Takes over that a member echoed a round. Returns whether the member is known.
    pub(super) fn note_echo(&mut self, from: u64, round: u64) -> bool {
        let Some(leadership) = self.leadership_mut() else {
            return false;
        };
        let start = leadership
            .starts
            .iter()
            .find(|(number, _)| *number == round);
        let start = start.map(|(_, at)| *at);
        let Some(progress) = leadership.progress.get_mut(&from) else {
            return false;
        };
        progress.echoed = progress.echoed.max(round);
        progress.echoed_start = progress.echoed_start.max(start.unwrap_or_default());
        self.release_reads();
        true
    }

    /// Commits what a majority has synced, if it is of this term: an older entry that a majority
    /// holds may still be replaced.
    pub(super) fn advance_commit(&mut self) {
        let Some(leadership) = self.leadership() else {
            return;
        };
        let voters = &self.membership().voters;
        let synced = majority(voters.iter().map(|id| match leadership.progress.get(id) {
            Some(progress) => progress.matched,
            None => self.persisted,
        }));
        let Some(index) = synced.filter(|index| *index > self.commit) else {
            return;
        };
        if self.log.term(index) != Some(self.hard.term) {
            return;
        }
        self.commit_to(index);
        self.release_reads();
        if !self.is_voter() && self.memberships.changed_at() <= self.commit {
            self.step_down();
        }
    }

    /// Says whether an entry of this leader's term is committed.
    pub(super) fn has_opened(&self) -> bool {
        self.leadership()
            .is_some_and(|leadership| self.commit >= leadership.opened_at)
    }

    pub(super) fn has_caught_up(&self, member: u64) -> bool {
        let lag = self.settings.batch_entries as u64;
        let progress = self.leadership().and_then(|l| l.progress.get(&member));
        progress.is_some_and(|progress| {
            matches!(progress.mode, Mode::Pipeline { .. })
                && progress.matched + lag >= self.log.last_index()
                && progress.echoed_start + self.settings.election_timeout > self.now
        })
    }

    /// The last index that a member is known to have synced, if this member leads.
    pub fn matched(&self, member: crate::domain::MemberId) -> Option<u64> {
        let leadership = self.leadership()?;
        if member.0 == self.own {
            return Some(self.persisted);
        }
        leadership.progress.get(&member.0).map(|p| p.matched)
    }
}
