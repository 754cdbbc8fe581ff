//! The leader's lease: until when a majority gives nobody else a vote.
//!
//! A follower gives no vote within the shortest election timeout after it heard the leader. The leader
//! counts that time from the start of a round, which is before any follower heard of it, and ends it
//! early for clocks that run at different rates. A lease outlives changes of the members, because a
//! change commits only when a majority of the new members has heard the leader after it was appended.

use std::time::Duration;

use super::{Replica, log::quorum_value};

/// A lease ends this part of the election timeout early, for clocks that run at different rates.
const LEASE_MARGIN_DIVISOR: u32 = 10;

impl Replica {
    /// The start of the newest round that a majority echoed.
    pub(super) fn quorum_round_start(&self) -> Duration {
        let Some(leader_state) = self.leader_state() else {
            return Duration::ZERO;
        };
        let voters = &self.membership().voters;
        let starts = voters.iter().map(|id| match leader_state.progress.get(id) {
            Some(progress) => progress.acked_round_start,
            None => self.now,
        });
        quorum_value(starts).unwrap_or_default()
    }

    /// The time until which a majority gives no vote; zero if this member does not lead.
    pub(super) fn lease_end(&self) -> Duration {
        let timeout = self.settings.election_timeout;
        match self.quorum_round_start() {
            Duration::ZERO => Duration::ZERO,
            start => start + timeout - timeout / LEASE_MARGIN_DIVISOR,
        }
    }

    /// Until when no other leader can exist. Nothing if this member does not lead, or has not yet
    /// committed an entry of its term and so may not know the newest state.
    pub fn lease_until(&self) -> Option<Duration> {
        let lease = self.lease_end();
        (self.has_committed_in_term() && lease > self.now).then_some(lease)
    }
}
