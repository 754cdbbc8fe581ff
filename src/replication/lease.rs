//! The leader's lease: the time during which a majority grants no vote to another member.
//!
//! A follower grants no vote within the shortest election timeout after a message from the leader. The
//! leader counts that time from the start of a heartbeat round, which is before any follower receives its
//! messages, and subtracts a margin for clocks that run at different rates. A lease stays valid across
//! membership changes, because a change commits only after a majority of the new members has received a
//! message that the leader sent after appending it.

use std::time::Duration;

use super::{Replica, log::quorum_value};

/// Fraction of the election timeout (one over this) by which a lease ends early, to allow for clock drift.
const LEASE_MARGIN_DIVISOR: u32 = 10;

impl Replica {
    /// Returns when the newest heartbeat round that a majority acknowledged began.
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

    /// Returns the time until which a majority grants no vote; zero if this member is not the leader.
    pub(super) fn lease_end(&self) -> Duration {
        let timeout = self.settings.election_timeout;
        match self.quorum_round_start() {
            Duration::ZERO => Duration::ZERO,
            start => start + timeout - timeout / LEASE_MARGIN_DIVISOR,
        }
    }

    /// Returns the time until which no other leader can exist. Returns `None` if this member holds no lease,
    /// or has not yet committed an entry of its term and so may not know the newest state.
    pub fn lease_until(&self) -> Option<Duration> {
        let lease = self.lease_end();
        (self.has_committed_in_term() && lease > self.now).then_some(lease)
    }
}
