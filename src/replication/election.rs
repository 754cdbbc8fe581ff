//! Pre-votes, votes and their timeouts.

use std::{collections::BTreeSet, mem};

use super::{Replica, replica::State};
use crate::wire::{AppendReply, ReplicaMessage, ReplicaPayload, VoteReply, VoteRequest};

impl Replica {
    pub(super) fn tick(&mut self) {
        if matches!(self.state, State::Leader(_)) {
            return self.tick_leader();
        }
        if self.now < self.deadline {
            return;
        }
        self.reset_deadline();
        if self.is_voter() {
            self.stand(true);
        }
    }

    pub(super) fn receive(&mut self, message: ReplicaMessage) {
        let ReplicaMessage {
            from,
            to,
            term,
            payload: Some(payload),
        } = message
        else {
            return;
        };
        if to != self.own || from == self.own {
            return;
        }
        match payload {
            ReplicaPayload::Vote(request) => self.receive_vote(from, term, request),
            ReplicaPayload::VoteReply(reply) => self.receive_vote_reply(from, term, reply),
            ReplicaPayload::Append(request) => {
                if self.accept_leader(from, term, request.round) {
                    self.receive_append(from, request);
                }
            }
            ReplicaPayload::InstallSnapshot(request) => {
                if self.accept_leader(from, term, request.round) {
                    self.receive_snapshot(from, request);
                }
            }
            ReplicaPayload::AppendReply(reply) => {
                if self.accept_reply(term) {
                    self.receive_append_reply(from, reply);
                }
            }
            ReplicaPayload::InstallSnapshotReply(reply) => {
                if self.accept_reply(term) {
                    self.receive_snapshot_reply(from, reply);
                }
            }
        }
    }

    /// Takes over the sender as leader, or tells it of a newer term.
    fn accept_leader(&mut self, from: u64, term: u64, round: u64) -> bool {
        if term < self.hard.term {
            let reply = AppendReply {
                matched: false,
                index: self.log.last_index(),
                round,
            };
            self.send(from, ReplicaPayload::AppendReply(reply));
            return false;
        }
        if term > self.hard.term {
            self.enter_term(term);
        }
        self.state = State::Follower;
        self.leader = Some(from);
        self.votes_from = self
            .votes_from
            .max(self.now + self.settings.election_timeout);
        self.reset_deadline();
        true
    }

    fn accept_reply(&mut self, term: u64) -> bool {
        if term > self.hard.term {
            self.enter_term(term);
        }
        term == self.hard.term
    }

    fn stand(&mut self, pre: bool) {
        if pre {
            self.leader = None;
        } else {
            self.enter_term(self.hard.term + 1);
            self.vote_for(self.own);
        }
        let votes = BTreeSet::from([self.own]);
        self.state = State::Candidate { pre, votes };
        let request = VoteRequest {
            pre_vote: pre,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        let term = self.hard.term + u64::from(pre);
        for to in self.other_voters() {
            self.send_in(term, to, ReplicaPayload::Vote(request.clone()));
        }
        self.count_votes();
    }

    fn receive_vote(&mut self, from: u64, term: u64, request: VoteRequest) {
        let granted = if request.pre_vote {
            term > self.hard.term && self.may_vote() && self.is_as_new(&request)
        } else {
            self.decide_vote(from, term, &request)
        };
        let reply = VoteReply {
            pre_vote: request.pre_vote,
            granted,
        };
        let reply_term = match granted {
            true => term,
            false => self.hard.term,
        };
        self.send_in(reply_term, from, ReplicaPayload::VoteReply(reply));
    }

    fn decide_vote(&mut self, from: u64, term: u64, request: &VoteRequest) -> bool {
        if term < self.hard.term || !self.may_vote() {
            return false;
        }
        if term > self.hard.term {
            self.enter_term(term);
        }
        if self.hard.vote.is_some_and(|vote| vote.0 != from) || !self.is_as_new(request) {
            return false;
        }
        self.vote_for(from);
        self.reset_deadline();
        true
    }

    /// A leader that was heard within the shortest election timeout may rely on its lease.
    fn may_vote(&self) -> bool {
        self.now >= self.votes_from && self.now >= self.lease()
    }

    fn is_as_new(&self, request: &VoteRequest) -> bool {
        let theirs = (request.last_term, request.last_index);
        theirs >= (self.log.last_term(), self.log.last_index())
    }

    fn receive_vote_reply(&mut self, from: u64, term: u64, reply: VoteReply) {
        if !reply.granted {
            if term > self.hard.term {
                self.enter_term(term);
            }
            return;
        }
        let State::Candidate { pre, votes } = &mut self.state else {
            return;
        };
        if *pre != reply.pre_vote || term != self.hard.term + u64::from(*pre) {
            return;
        }
        votes.insert(from);
        self.count_votes();
    }

    fn count_votes(&mut self) {
        let State::Candidate { pre, votes } = &self.state else {
            return;
        };
        let voters = &self.membership().voters;
        let given = voters.iter().filter(|voter| votes.contains(voter)).count();
        if given <= voters.len() / 2 {
            return;
        }
        if *pre {
            self.reset_deadline();
            return self.stand(false);
        }
        let _ = mem::replace(&mut self.state, State::Follower);
        self.lead();
    }

    pub(super) fn other_voters(&self) -> Vec<u64> {
        let voters = &self.membership().voters;
        voters
            .iter()
            .copied()
            .filter(|id| *id != self.own)
            .collect()
    }
}
