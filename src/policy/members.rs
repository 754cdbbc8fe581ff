//! Chooses which controllers are voters of the replicated log. A controller that returns with an
//! empty disk, or that replaces a lost one, joins as a new member and becomes a voter once it has
//! caught up. See docs/DESIGN.md, "Replacing controllers".

use std::time::Duration;

use crate::{domain::MemberId, replication::MemberChange};

/// Silence after which a voter is removed if another member can replace it; if it comes back later,
/// it joins again. A replacement must vote before the next controller may be lost, which the users'
/// pages allow 4 s after the replacement's start.
const VOTER_LOSS_TIMEOUT: Duration = Duration::from_secs(3);
/// Silence after which a learner is removed.
const LEARNER_REMOVAL_TIMEOUT: Duration = Duration::from_secs(30);
/// Learners that may catch up at the same time.
const MAX_LEARNERS: usize = 2;

/// Returns how many voters are needed to tolerate a number of simultaneous losses.
pub fn voters_needed(tolerated_losses: usize) -> usize {
    tolerated_losses * 2 + 1
}

/// A member of the replicated log, as seen by the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// The member.
    pub id: MemberId,
    /// Time since its last answer.
    pub silence: Duration,
    /// Whether its controller now answers with another member ID, which means that its disk was
    /// lost.
    pub is_replaced: bool,
    /// Whether it has replicated nearly all of the log.
    pub has_caught_up: bool,
}

impl Member {
    fn is_lost(&self) -> bool {
        self.is_replaced || self.silence >= VOTER_LOSS_TIMEOUT
    }
}

/// The members of the replicated log, and the reachable controllers that are not members.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// Members that vote, including the leader.
    pub voters: Vec<Member>,
    /// Learners: members without a vote that are catching up.
    pub learners: Vec<Member>,
    /// Controllers that answer but are not members.
    pub strangers: Vec<MemberId>,
    /// Target number of voters.
    pub wanted: usize,
}

impl Members {
    /// Returns how many voters are missing from the target.
    pub fn missing_voters(&self) -> usize {
        self.wanted.saturating_sub(self.voters.len())
    }

    /// Returns the next membership change, one member at a time, or `None` if none is needed.
    pub fn next_change(&self) -> Option<MemberChange> {
        self.remove_lost_learner()
            .or_else(|| self.remove_lost_voter())
            .or_else(|| self.promote_learner())
            .or_else(|| self.add_learner())
    }

    /// Returns whether a learner that answers is to vote as soon as it has caught up.
    pub fn awaits_learner(&self) -> bool {
        self.wants_voter() && self.learners.iter().any(|m| !m.is_lost())
    }

    fn wants_voter(&self) -> bool {
        let responsive = self.voters.iter().filter(|m| !m.is_lost()).count();
        responsive < self.wanted && self.voters.len() <= self.wanted
    }

    fn remove_lost_learner(&self) -> Option<MemberChange> {
        let is_gone = |m: &&Member| m.is_replaced || m.silence >= LEARNER_REMOVAL_TIMEOUT;
        let learner = self.learners.iter().find(is_gone)?;
        Some(MemberChange::Remove(learner.id))
    }

    /// Removes a lost voter only if there are more voters than the target and a majority of the
    /// remaining ones responds.
    fn remove_lost_voter(&self) -> Option<MemberChange> {
        if self.voters.len() <= self.wanted {
            return None;
        }
        let lost = self.voters.iter().find(|m| m.is_lost())?;
        let others = self.voters.iter().filter(|m| m.id != lost.id);
        let responsive = others.filter(|m| !m.is_lost()).count();
        let remaining = self.voters.len() - 1;
        (responsive * 2 > remaining).then_some(MemberChange::Remove(lost.id))
    }

    fn promote_learner(&self) -> Option<MemberChange> {
        if !self.wants_voter() {
            return None;
        }
        let is_ready = |m: &&Member| m.has_caught_up && !m.is_lost();
        let learner = self.learners.iter().find(is_ready)?;
        Some(MemberChange::Promote(learner.id))
    }

    fn add_learner(&self) -> Option<MemberChange> {
        let has_room = self.learners.len() < MAX_LEARNERS;
        let stranger = self.strangers.first().filter(|_| has_room)?;
        Some(MemberChange::AddLearner(*stranger))
    }
}
