//! Elections: pre-votes, votes and election timeouts.

use std::{collections::BTreeSet, mem, ops::Range};

use super::{Replica, replica::RoleState};
use crate::wire::{ReplicaPayload, VoteReply, VoteRequest};

/// Range of the delay before a pre-vote is retried, as factors of the shortest election timeout. It is
/// longer than a round trip between regions, and randomized so that members do not collide repeatedly.
const PRE_VOTE_RETRY_FACTORS: Range<f64> = 0.2..0.4;

impl Replica {
    pub(super) fn tick(&mut self) {
        if matches!(self.state, RoleState::Leader(_)) {
            return self.tick_leader();
        }
        if self.now < self.election_deadline {
            return;
        }
        self.reset_election_deadline();
        if self.is_voter() {
            // Other voters may refuse because of a lease that ends soon. A pre-vote changes no state on
            // them, so it is retried after a short delay.
            self.schedule_pre_vote_retry();
            self.campaign(true);
        }
    }

    fn schedule_pre_vote_retry(&mut self) {
        self.election_deadline = self.now + self.random_timeout(PRE_VOTE_RETRY_FACTORS);
    }

    fn campaign(&mut self, pre_vote: bool) {
        if pre_vote {
            self.leader = None;
        } else {
            self.enter_term(self.hard_state.term + 1);
            self.vote_for(self.own_id);
        }
        let votes = BTreeSet::from([self.own_id]);
        self.state = RoleState::Candidate { pre_vote, votes };
        let request = VoteRequest {
            pre_vote,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        let term = self.hard_state.term + u64::from(pre_vote);
        for to in self.other_voters() {
            self.send_with_term(term, to, ReplicaPayload::Vote(request.clone()));
        }
        self.count_votes();
    }

    pub(super) fn receive_vote(&mut self, from: u64, term: u64, request: VoteRequest) {
        let granted = if request.pre_vote {
            let granted =
                term > self.hard_state.term && self.may_vote() && self.is_up_to_date(&request);
            if granted {
                self.yield_pre_vote(from);
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
            false => self.hard_state.term,
        };
        self.send_with_term(reply_term, from, ReplicaPayload::VoteReply(reply));
    }

    /// Abandons its own pre-vote in favour of a candidate with a higher identifier, because two
    /// simultaneous candidates would split the vote.
    fn yield_pre_vote(&mut self, from: u64) {
        if matches!(self.state, RoleState::Candidate { pre_vote: true, .. }) && from > self.own_id {
            self.state = RoleState::Follower;
            self.schedule_pre_vote_retry();
        }
    }

    fn decide_vote(&mut self, from: u64, term: u64, request: &VoteRequest) -> bool {
        if term < self.hard_state.term || !self.may_vote() {
            return false;
        }
        if term > self.hard_state.term {
            self.enter_term(term);
        }
        if self.hard_state.vote.is_some_and(|vote| vote.0 != from) || !self.is_up_to_date(request) {
            return false;
        }
        self.vote_for(from);
        self.reset_election_deadline();
        true
    }

    /// Returns whether no lease can be valid: a leader heard from within the shortest election timeout may
    /// rely on its lease.
    fn may_vote(&self) -> bool {
        self.now >= self.no_votes_before && self.now >= self.lease_end()
    }

    fn is_up_to_date(&self, request: &VoteRequest) -> bool {
        let theirs = (request.last_term, request.last_index);
        theirs >= (self.log.last_term(), self.log.last_index())
    }

    pub(super) fn receive_vote_reply(&mut self, from: u64, term: u64, reply: VoteReply) {
        if !reply.granted {
            if term > self.hard_state.term {
                self.enter_term(term);
            }
            return;
        }
        let RoleState::Candidate { pre_vote, votes } = &mut self.state else {
            return;
        };
        if *pre_vote != reply.pre_vote || term != self.hard_state.term + u64::from(*pre_vote) {
            return;
        }
        votes.insert(from);
        self.count_votes();
    }

    fn count_votes(&mut self) {
        let RoleState::Candidate { pre_vote, votes } = &self.state else {
            return;
        };
        let voters = &self.membership().voters;
        let granted = voters.iter().filter(|voter| votes.contains(voter)).count();
        if granted <= voters.len() / 2 {
            return;
        }
        if *pre_vote {
            self.reset_election_deadline();
            return self.campaign(false);
        }
        let _ = mem::replace(&mut self.state, RoleState::Follower);
        self.become_leader();
    }

    pub(super) fn other_voters(&self) -> Vec<u64> {
        let voters = &self.membership().voters;
        voters
            .iter()
            .copied()
            .filter(|id| *id != self.own_id)
            .collect()
    }
}
