//! Pre-votes, votes and their timeouts.

use std::{collections::BTreeSet, mem};

use super::{Replica, replica::State};
use crate::wire::{ReplicaPayload, VoteReply, VoteRequest};

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

    pub(super) fn receive_vote(&mut self, from: u64, term: u64, request: VoteRequest) {
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

    pub(super) fn receive_vote_reply(&mut self, from: u64, term: u64, reply: VoteReply) {
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
