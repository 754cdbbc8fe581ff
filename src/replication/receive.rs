//! Dispatch of incoming messages by kind, with the term checks that come first.

use super::{Replica, replica::RoleState};
use crate::wire::{AppendReply, ReplicaMessage, ReplicaPayload};

impl Replica {
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
        if to != self.own_id || from == self.own_id {
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

    /// Accepts the sender as leader of its term, or replies with the newer term and returns false.
    fn accept_leader(&mut self, from: u64, term: u64, round: u64) -> bool {
        if term < self.hard_state.term {
            let reply = AppendReply {
                matched: false,
                index: self.log.last_index(),
                round,
            };
            self.send(from, ReplicaPayload::AppendReply(reply));
            return false;
        }
        if term > self.hard_state.term {
            self.enter_term(term);
        }
        self.state = RoleState::Follower;
        self.leader = Some(from);
        self.no_votes_before = self
            .no_votes_before
            .max(self.now + self.settings.election_timeout);
        self.reset_election_deadline();
        true
    }

    fn accept_reply(&mut self, term: u64) -> bool {
        if term > self.hard_state.term {
            self.enter_term(term);
        }
        term == self.hard_state.term
    }
}
