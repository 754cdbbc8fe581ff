//! Pre-votes, votes and their timeouts.

use std::{collections::BTreeSet, mem, ops::Range};

use super::{Replica, replica::State};
use crate::wire::{ReplicaPayload, VoteReply, VoteRequest};

/// Time after which a member asks again whether it would be elected, in shortest election timeouts. It is
/// longer than a round trip between regions and spread so that members do not keep colliding.
const PRE_VOTE_AGAIN: Range<f64> = 0.2..0.4;

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
            // Those asked may be bound by a lease that ends soon. Asking changes nothing at them, so it is
            // done again before long.
            self.ask_again_soon();
            self.stand(true);
        }
    }

    fn ask_again_soon(&mut self) {
        self.deadline = self.now + self.timeout(PRE_VOTE_AGAIN);
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
            let granted = term > self.hard.term && self.may_vote() && self.is_as_new(&request);
            if granted {
                self.stand_back(from);
            }
            granted
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

    /// Of two members that ask at the same time only one goes on, or they would split the votes.
    fn stand_back(&mut self, from: u64) {
        if matches!(self.state, State::Candidate { pre: true, .. }) && from > self.own {
            self.state = State::Follower;
            self.ask_again_soon();
        }
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
