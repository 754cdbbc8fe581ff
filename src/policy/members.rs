//! Chooses which controllers are voters of the replicated log, so that whenever one more controller may
//! be lost, a majority of the voters remains. A controller that returns with an empty disk, or that
//! replaces a lost one, joins as a new member and becomes a voter once it has caught up. A voter that is
//! about to stop is replaced before it goes. See docs/DESIGN.md, "Replacing controllers".

use std::time::Duration;

use crate::{domain::MemberId, replication::MemberChange};

/// Silence after which a voter is removed if another member can replace it; if it comes back later,
/// it joins again. A replacement must vote before the next controller may be lost, which the users'
/// pages allow 4 s after the replacement's start; the election of a new leader falls into that time too.
const VOTER_LOSS_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time in which a new leader hears of every member that is there. Before, it does not judge who is lost.
const FIRST_ANSWERS_TIME: Duration = Duration::from_millis(500);
/// Silence after which a learner is removed.
const LEARNER_REMOVAL_TIMEOUT: Duration = Duration::from_secs(30);
/// Fewest learners that are kept up to date, so that two voters that leave at once can be replaced.
const MIN_LEARNERS: usize = 2;
/// Voters beyond the target that controllers which stand by become, if there are enough. With them two voters may be lost
/// at once without notice although only one loss is tolerated, because their successors stand by.
const EXTRA_VOTERS: usize = 2;

/// Returns how many voters are needed to tolerate a number of simultaneous losses.
pub fn voters_needed(tolerated_losses: usize) -> usize {
    tolerated_losses * 2 + 1
}

/// Returns how long a member has been silent for the leader. `heard` is when it was last heard of, also before the
/// leader's term: leaders that follow each other quickly must not forget who was lost before. All times are of one
/// monotonic clock.
pub fn silence(now: Duration, led_since: Duration, heard: Option<Duration>) -> Duration {
    let is_new = now.saturating_sub(led_since) < FIRST_ANSWERS_TIME;
    let since = match heard {
        Some(heard) if is_new => heard.max(led_since),
        Some(heard) => heard,
        None => led_since,
    };
    now.saturating_sub(since)
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
    /// Whether its controller has said that it is about to stop, and has not been heard of as running since.
    pub is_leaving: bool,
    /// Whether it has answered the leader in its term. A new leader does not know yet who is there.
    pub has_answered: bool,
    /// Whether it has replicated nearly all of the log.
    pub has_caught_up: bool,
}

impl Member {
    /// Returns why the member does not count as present, or `None` if it does.
    pub fn absence(&self) -> Option<Absence> {
        match self {
            Self {
                is_replaced: true, ..
            } => Some(Absence::Replaced),
            Self { silence, .. } if *silence >= VOTER_LOSS_TIMEOUT => Some(Absence::Silent),
            Self {
                is_leaving: true, ..
            } => Some(Absence::Leaving),
            _ => None,
        }
    }

    fn is_lost(&self) -> bool {
        self.absence().is_some()
    }

    /// Returns whether it may take a vote.
    fn is_ready(&self) -> bool {
        self.has_caught_up && !self.is_lost()
    }

    /// Returns whether it answers, though it may be about to stop.
    fn answers(&self) -> bool {
        self.has_answered && self.absence().is_none_or(|why| why == Absence::Leaving)
    }
}

/// Why a member does not count as present.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Absence {
    /// Its disk was lost.
    Replaced,
    /// It has not answered for too long.
    Silent,
    /// It still answers, but is about to stop.
    Leaving,
}

/// The members of the replicated log, and the reachable controllers that are not members.
#[derive(Clone, Debug, Default)]
pub struct Members {
    /// Members that vote, including the leader.
    pub voters: Vec<Member>,
    /// Learners: members without a vote that are catching up.
    pub learners: Vec<Member>,
    /// Controllers that answer and are not about to stop, but are not members.
    pub strangers: Vec<MemberId>,
    /// The voter that leads, if it is known. It is removed last, because it steps down then.
    pub leader: Option<MemberId>,
    /// Target number of voters.
    pub wanted: usize,
}

impl Members {
    /// Returns how many voters are missing from the target.
    pub fn missing_voters(&self) -> usize {
        self.wanted.saturating_sub(self.voters.len())
    }

    /// Returns how many more voters may be lost while a majority of them remains.
    pub fn losses_borne(&self) -> usize {
        let present = self.voters.iter().filter(|m| m.answers() && !m.is_leaving);
        present.count().saturating_sub(self.voters.len() / 2 + 1)
    }

    /// Returns whether a member that is about to stop may do so now: it has no vote, or no controller is there
    /// to take it. A vote that nobody takes stays, because fewer voters than the target hold too few copies.
    pub fn may_leave(&self, id: MemberId) -> bool {
        let votes = self.voters.iter().any(|m| m.id == id);
        let has_successor = self.voters.len() > self.wanted || self.candidates() > 0;
        !votes || !has_successor
    }

    /// Returns the next membership change, one member at a time, or `None` if none is needed.
    pub fn next_change(&self) -> Option<MemberChange> {
        self.remove_lost_learner()
            .or_else(|| self.remove_replaced_voter())
            .or_else(|| self.remove_lost_voter())
            .or_else(|| self.promote_learner())
            .or_else(|| self.add_learner())
    }

    /// Returns whether a learner that answers is to vote as soon as it has caught up.
    pub fn awaits_learner(&self) -> bool {
        self.wants_voter() && self.learners.iter().any(|m| !m.is_lost())
    }

    fn wants_voter(&self) -> bool {
        let ready = self.learners.iter().filter(|m| m.is_ready()).count();
        self.responsive() < self.target(ready)
            && self.voters.len() <= self.target(self.candidates())
    }

    /// Returns the number of voters that stay.
    fn responsive(&self) -> usize {
        self.voters.iter().filter(|m| !m.is_lost()).count()
    }

    /// Returns how many voters there are to be while some controllers stand by. An even number bears no more losses than
    /// the odd one below it.
    fn target(&self, standing_by: usize) -> usize {
        let odd = (self.responsive() + standing_by).saturating_sub(1) | 1;
        odd.clamp(self.wanted, self.wanted + EXTRA_VOTERS)
    }

    /// Returns how many controllers that are no voters may become some.
    fn candidates(&self) -> usize {
        self.learners.iter().filter(|m| !m.is_lost()).count() + self.strangers.len()
    }

    fn remove_lost_learner(&self) -> Option<MemberChange> {
        let is_gone = |m: &&Member| m.is_replaced || m.silence >= LEARNER_REMOVAL_TIMEOUT;
        let learner = self.learners.iter().find(is_gone)?;
        Some(MemberChange::Remove(learner.id))
    }

    /// Removes a voter whose disk was lost, also if too few are left then. It never acknowledges anything again, so the voters
    /// that are needed without it are no more than with it. While it is counted, a promotion needs one voter more, and
    /// could never be committed once the promoted member is lost as well.
    fn remove_replaced_voter(&self) -> Option<MemberChange> {
        let replaced = self.voters.iter().find(|m| m.is_replaced)?;
        self.can_do_without(replaced)
            .then_some(MemberChange::Remove(replaced.id))
    }

    /// Returns whether a majority of the voters without this one is known to answer.
    fn can_do_without(&self, voter: &Member) -> bool {
        let others = self.voters.iter().filter(|m| m.id != voter.id);
        let answering = others.filter(|m| m.answers()).count();
        answering * 2 > self.voters.len() - 1
    }

    /// Removes a lost voter, or one that leaves, only if there are more voters than wanted and a majority of the
    /// remaining ones is known to answer. One that leaves but still answers waits for its successor.
    fn remove_lost_voter(&self) -> Option<MemberChange> {
        if self.voters.len() <= self.wanted {
            return None;
        }
        let lost = self.voters.iter().filter(|m| m.is_lost());
        let lost = lost.min_by_key(|m| (Some(m.id) == self.leader, m.absence()))?;
        let is_leaving = lost.absence() == Some(Absence::Leaving);
        if is_leaving && self.voters.len() <= self.target(self.candidates()) {
            return None;
        }
        self.can_do_without(lost)
            .then_some(MemberChange::Remove(lost.id))
    }

    fn promote_learner(&self) -> Option<MemberChange> {
        if !self.wants_voter() {
            return None;
        }
        let learner = self.learners.iter().find(|m| m.is_ready())?;
        Some(MemberChange::Promote(learner.id))
    }

    fn add_learner(&self) -> Option<MemberChange> {
        // Learners that do not answer must not keep others from standing by.
        let present = self.learners.iter().filter(|m| !m.is_lost()).count();
        let has_room = present < MIN_LEARNERS.max(self.wanted / 2);
        let stranger = self.strangers.first().filter(|_| has_room)?;
        Some(MemberChange::AddLearner(*stranger))
    }
}
