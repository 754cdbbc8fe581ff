//! Reads of the newest state without an entry in the log.

use super::{
    Effect, Rejection, Replica, Ticket, leader::PendingRead, log::majority, replica::State,
};

impl Replica {
    pub(super) fn read(&mut self, ticket: Ticket) {
        if self.lease_until().is_some() {
            return self.emit(Effect::ReadReady(ticket));
        }
        let confirmed = self.confirmed_round();
        let State::Leader(leadership) = &mut self.state else {
            return self.reject(ticket, Rejection::NotLeader);
        };
        // Echoes of a round that already began prove leadership only before the read.
        let round = leadership.round + 1;
        leadership.reads.push(PendingRead { round, ticket });
        if confirmed >= leadership.round {
            self.start_round();
        }
    }

    /// The newest round that a majority echoed.
    fn confirmed_round(&self) -> u64 {
        let Some(leadership) = self.leadership() else {
            return 0;
        };
        let voters = &self.membership().voters;
        let rounds = voters.iter().map(|id| match leadership.progress.get(id) {
            Some(progress) => progress.echoed,
            None => leadership.round,
        });
        majority(rounds).unwrap_or_default()
    }

    /// Answers the reads that a majority has confirmed and begins a round for those that wait.
    pub(super) fn release_reads(&mut self) {
        if !self.has_opened() {
            return;
        }
        let confirmed = self.confirmed_round();
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        if leadership.reads.is_empty() {
            return;
        }
        let (ready, waiting): (Vec<_>, Vec<_>) = leadership
            .reads
            .drain(..)
            .partition(|read| read.round <= confirmed);
        let needs_round = !waiting.is_empty() && confirmed >= leadership.round;
        leadership.reads = waiting;
        for read in ready {
            self.emit(Effect::ReadReady(read.ticket));
        }
        if needs_round {
            self.start_round();
        }
    }
}
