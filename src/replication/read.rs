//! Linearizable reads without a log entry, by lease or by read index.

use super::{
    Effect, Rejection, Replica, Ticket, leader::PendingRead, log::quorum_value, replica::RoleState,
};

impl Replica {
    pub(super) fn read(&mut self, ticket: Ticket) {
        if self.lease_until().is_some() {
            return self.emit(Effect::ReadReady(ticket));
        }
        let confirmed = self.quorum_round();
        let RoleState::Leader(leader_state) = &mut self.state else {
            return self.reject(ticket, Rejection::NotLeader);
        };
        // Acknowledgements of a round that already began prove leadership only for a time before the read.
        let round = leader_state.round + 1;
        leader_state.reads.push(PendingRead { round, ticket });
        if confirmed >= leader_state.round {
            self.start_round();
        }
    }

    /// Returns the newest heartbeat round that a majority acknowledged.
    fn quorum_round(&self) -> u64 {
        let Some(leader_state) = self.leader_state() else {
            return 0;
        };
        let voters = &self.membership().voters;
        let rounds = voters.iter().map(|id| match leader_state.progress.get(id) {
            Some(progress) => progress.acked_round,
            None => leader_state.round,
        });
        quorum_value(rounds).unwrap_or_default()
    }

    /// Completes the reads whose round a majority acknowledged, and starts a round for the remaining ones.
    pub(super) fn release_reads(&mut self) {
        if !self.has_committed_in_term() {
            return;
        }
        let confirmed = self.quorum_round();
        let RoleState::Leader(leader_state) = &mut self.state else {
            return;
        };
        if leader_state.reads.is_empty() {
            return;
        }
        let (ready, waiting): (Vec<_>, Vec<_>) = leader_state
            .reads
            .drain(..)
            .partition(|read| read.round <= confirmed);
        let needs_round = !waiting.is_empty() && confirmed >= leader_state.round;
        leader_state.reads = waiting;
        for read in ready {
            self.emit(Effect::ReadReady(read.ticket));
        }
        if needs_round {
            self.start_round();
        }
    }
}
