//! Which controllers vote. A controller that comes back with an empty disk, or in place of one that is
//! gone, is a new member; it takes over a vote once it has caught up. See docs/DESIGN.md,
//! "Replacing controllers".

use std::time::Duration;

use crate::{domain::MemberId, replication::MemberChange};

/// Silence after which a voter is given up if another member can take its place; a voter that comes
/// back later joins again. A successor must vote before the next controller may be lost, which the
/// users' pages allow 4 s after the successor's start.
const VOTER_LOSS_TIMEOUT: Duration = Duration::from_secs(3);
/// Silence after which a member without a vote is removed.
const LEARNER_REMOVAL_TIMEOUT: Duration = Duration::from_secs(30);
/// Most members that catch up at once.
const MAX_LEARNERS: usize = 2;

/// Returns how many members must vote so that some may be lost at once.
pub fn voters(tolerated_losses: usize) -> usize {
    tolerated_losses * 2 + 1
}

/// A member of the replicated log as the leader sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// The member.
    pub id: MemberId,
    /// Time since it answered last.
    pub silence: Duration,
    /// Whether its controller answers as another member, so that its disk is gone.
    pub is_replaced: bool,
    /// Whether it holds nearly all of the log.
    pub has_caught_up: bool,
}

impl Member {
    fn is_lost(&self) -> bool {
        self.is_replaced || self.silence >= VOTER_LOSS_TIMEOUT
    }
}

/// The members, and the controllers that answer but are none.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// Members that vote, the leader included.
    pub voters: Vec<Member>,
    /// Members that catch up.
    pub learners: Vec<Member>,
    /// Controllers that answer and are no members.
    pub strangers: Vec<MemberId>,
    /// How many members should vote.
    pub wanted: usize,
}

impl Members {
    /// Returns how many voters are missing that the tolerated losses want.
    pub fn missing_voters(&self) -> usize {
        self.wanted.saturating_sub(self.voters.len())
    }

    /// Returns the next change, one at a time, or nothing if all is well.
    pub fn next_change(&self) -> Option<MemberChange> {
        self.remove_lost_learner()
            .or_else(|| self.remove_lost_voter())
            .or_else(|| self.promote_learner())
            .or_else(|| self.add_learner())
    }

    fn remove_lost_learner(&self) -> Option<MemberChange> {
        let is_gone = |m: &&Member| m.is_replaced || m.silence >= LEARNER_REMOVAL_TIMEOUT;
        let learner = self.learners.iter().find(is_gone)?;
        Some(MemberChange::Remove(learner.id))
    }

    /// A vote is taken away only where more vote than are wanted, and if most of the others answer.
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
        let responsive = self.voters.iter().filter(|m| !m.is_lost()).count();
        if responsive >= self.wanted || self.voters.len() > self.wanted {
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
