//! Stopping a controller without a gap in what the cluster can bear: it says that it leaves, and stops once its vote
//! was given to another controller, or once the leader says that there is none to take it.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::{StreamExt, stream::FuturesUnordered};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::{core::Core, membership};
use crate::{domain::MemberId, ports::Clock, wire::LeaveReply};

/// Longest time for which a controller that is to stop waits for its successor. It leaves time to close connections
/// within the 8 s that the users' machines grant.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between two questions whether this controller may stop.
const LEAVE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for an answer.
const LEAVE_QUERY_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of questions in a row without any answer after which this controller stops.
const MAX_UNANSWERED_QUERIES: u32 = 3;

/// Waits for `stop`, lets another controller take this one's vote, and cancels `stop_tasks`.
pub(super) async fn run<T: Clock>(
    core: Arc<Core<T>>,
    stop: CancellationToken,
    stop_tasks: CancellationToken,
) {
    tokio::select! {
        () = stop.cancelled() => {}
        () = stop_tasks.cancelled() => return,
    }
    let begun = Instant::now();
    log::info!(
        event = "leave.begins", member = core.local_member.id().0, leads = core.leads(), term = core.log.status().term;
        "controller: leaves, and lets another controller take its vote if one can"
    );
    core.local_member.set_leaving();
    core.member_reports.notify();
    let outcome = tokio::select! {
        outcome = timeout(LEAVE_TIMEOUT, wait_for_release(&core)) => outcome.unwrap_or(Outcome::TimedOut),
        () = stop_tasks.cancelled() => Outcome::Stopped,
    };
    let level = match outcome {
        Outcome::TimedOut => log::Level::Warn,
        _ => log::Level::Info,
    };
    log::log!(
        level,
        event = "leave.ends", outcome:? = outcome, ms = begun.elapsed().as_millis() as u64;
        "controller: stops: {outcome:?}"
    );
    stop_tasks.cancel();
}

/// Why a controller that leaves stops now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// It knows no members, so it has no vote.
    NoMember,
    /// The leader says that it has no vote, or that nobody can take it.
    Released,
    /// It led and has given its vote away.
    HandedOver,
    /// No controller that stays answers.
    Alone,
    /// The controllers that answer run a build that does not replace votes.
    EarlierBuild,
    /// Nobody took the vote in time.
    TimedOut,
    /// Its tasks have ended, for example because the disk failed.
    Stopped,
}

async fn wait_for_release<T: Clock>(core: &Core<T>) -> Outcome {
    let own = core.local_member.id();
    if core.log.status().membership.voters.is_empty() {
        return Outcome::NoMember;
    }
    let had_vote = votes(core, own);
    let mut unanswered = 0;
    loop {
        if core.leads() {
            if leave_reply(core, own).may_leave {
                return Outcome::Released;
            }
        } else if had_vote && core.log.status().is_membership_committed && !votes(core, own) {
            return Outcome::HandedOver;
        } else {
            match ask_others(core).await {
                Answer::Released => return Outcome::Released,
                Answer::Wait => unanswered = 0,
                Answer::EarlierBuild => return Outcome::EarlierBuild,
                Answer::None => unanswered += 1,
            }
            if unanswered == MAX_UNANSWERED_QUERIES {
                return Outcome::Alone;
            }
        }
        sleep(LEAVE_POLL_INTERVAL).await;
    }
}

fn votes<T: Clock>(core: &Core<T>, member: MemberId) -> bool {
    core.log.status().membership.voters.contains(&member.0)
}

/// Returns whether a controller that is about to stop may do so, as far as this one can tell.
pub(super) fn leave_reply<T: Clock>(core: &Core<T>, member: MemberId) -> LeaveReply {
    let leads = core.leads();
    let is_committed = core.log.status().is_membership_committed;
    LeaveReply {
        leads,
        may_leave: leads && is_committed && membership::members(core).may_leave(member),
    }
}

/// What the other controllers answer together.
enum Answer {
    Released,
    Wait,
    EarlierBuild,
    None,
}

/// Tells all other controllers that this one leaves, and returns the leader's answer if it comes.
async fn ask_others<T: Clock>(core: &Core<T>) -> Answer {
    let leader = core.log.status().leader;
    let links = core.peers.links();
    let queries = links
        .iter()
        .map(|(name, link)| membership::query(core, name, link, LEAVE_QUERY_TIMEOUT));
    let mut reports: FuturesUnordered<_> = queries.collect();
    let mut answer = Answer::None;
    while let Some(report) = reports.next().await {
        let Some(report) = report else { continue };
        let is_leader = leader == Some(MemberId(report.member));
        match report.leave {
            Some(leave) if leave.may_leave => return Answer::Released,
            Some(leave) if leave.leads => return Answer::Wait,
            // Another one that leaves may be gone soon, so it is nobody to wait for.
            Some(_) if report.leaving => {}
            Some(_) => answer = Answer::Wait,
            None if is_leader => return Answer::EarlierBuild,
            None if matches!(answer, Answer::None) => answer = Answer::EarlierBuild,
            None => {}
        }
    }
    answer
}
