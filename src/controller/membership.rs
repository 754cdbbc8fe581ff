//! Discovers controllers and maintains the members of the cluster: queries all known controllers, links to
//! the controllers that they know and, while this one leads, applies the member changes of `policy::members`.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use futures_util::future::join_all;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::{core::Core, periodic::run_periodically};
use crate::{
    domain::MemberId,
    policy::members::{Member, Members, voters_needed},
    ports::Clock,
    settings::ControllerEntry,
    wire::{Body, MemberQuery, MemberReport},
};

/// Interval between query rounds.
const MEMBER_QUERY_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for the report of a controller.
const MEMBER_QUERY_TIMEOUT: Duration = Duration::from_millis(700);
/// Most member changes in one round.
const MAX_MEMBER_CHANGES_PER_ROUND: usize = 4;
/// Most pauses in one round for a learner that is to vote once it has caught up; they take as long as the round.
const MAX_CATCH_UP_PAUSES_PER_ROUND: usize = 6;
/// Pause after a member change; a new member receives a log of usual size within this time.
const LEARNER_CATCH_UP_DELAY: Duration = Duration::from_millis(150);
/// Most log entries by which a member may lag and still count as caught up.
const MAX_CATCH_UP_LAG_ENTRIES: u64 = 64;

/// Queries the controllers and maintains the members until the token is cancelled.
pub(super) async fn run<T: Clock>(core: Arc<Core<T>>, stop: CancellationToken) {
    let task = MembershipTask {
        last_reports: HashMap::new(),
        term: 0,
        missing_voters: 0,
        leading_since: core.now(),
        core,
    };
    run_periodically(MEMBER_QUERY_INTERVAL, &stop, task, |mut task| async move {
        task.run_round().await;
        task
    })
    .await;
}

struct MembershipTask<T> {
    core: Arc<Core<T>>,
    /// The member that each controller last reported, by the controller's name, and when.
    last_reports: HashMap<Arc<str>, (MemberId, Duration)>,
    term: u64,
    /// Number of missing voters in the last round.
    missing_voters: usize,
    /// When this controller began to lead; the silence of a member counts from then at the earliest.
    leading_since: Duration,
}

impl<T: Clock> MembershipTask<T> {
    async fn run_round(&mut self) {
        let links = self.core.peers.links();
        let own = self.core.peers.entry(&self.core.settings.name);
        let query = MemberQuery {
            sender: own.as_ref().map(ControllerEntry::to_record),
        };
        let queries = links.iter().map(|(name, link)| async {
            let answer = link
                .call(Body::MemberQuery(query.clone()), MEMBER_QUERY_TIMEOUT)
                .await;
            match answer {
                Ok(Body::MemberReport(report)) => Some((Arc::clone(name), report)),
                Ok(_) | Err(_) => None,
            }
        });
        for (name, report) in join_all(queries).await.into_iter().flatten() {
            self.handle_report(name, &report);
        }
        self.change_members().await;
    }

    fn handle_report(&mut self, name: Arc<str>, report: &MemberReport) {
        let member = MemberId(report.member);
        self.core.peers.set_controller(member, &name);
        self.last_reports.insert(name, (member, self.core.now()));
        for known in &report.known {
            self.core.peers.add_record(known);
        }
    }

    /// Logs when the number of voters missing for `tolerated_losses` changes.
    fn log_missing_voters(&mut self) {
        let members = self.members();
        let missing = members.missing_voters();
        if self.missing_voters == missing {
            return;
        }
        self.missing_voters = missing;
        let level = match missing {
            0 => log::Level::Info,
            _ => log::Level::Warn,
        };
        log::log!(
            level,
            event = "voters.missing", missing = missing, voters = members.voters.len(),
            wanted = members.wanted, learners = members.learners.len();
            "controller: {missing} voters are missing for tolerated_losses; start more controllers if this lasts"
        );
    }

    async fn change_members(&mut self) {
        if !self.core.leads() {
            self.term = 0;
            self.missing_voters = 0;
            return;
        }
        let term = self.core.fleet().term();
        if self.term != term {
            self.term = term;
            self.leading_since = self.core.now();
        }
        self.log_missing_voters();
        // Several changes fit into one round because a learner catches up during the pauses between them.
        let (mut changes, mut pauses) = (0, 0);
        while changes < MAX_MEMBER_CHANGES_PER_ROUND {
            let members = self.members();
            let Some(change) = members.next_change() else {
                if !members.awaits_learner() || pauses == MAX_CATCH_UP_PAUSES_PER_ROUND {
                    return;
                }
                pauses += 1;
                sleep(LEARNER_CATCH_UP_DELAY).await;
                continue;
            };
            changes += 1;
            if let Err(e) = self.core.log.change_members(change).await {
                log::warn!("controller: cannot apply the member change {change:?}: {e}.");
                return;
            }
            log::info!("controller: members change: {change:?}, of {members:?}.");
            sleep(LEARNER_CATCH_UP_DELAY).await;
        }
    }

    fn members(&self) -> Members {
        let status = self.core.log.status();
        let membership = &status.membership;
        let to_members = |ids: &[u64]| {
            ids.iter()
                .map(|id| self.member_status(MemberId(*id)))
                .collect()
        };
        let known: HashSet<u64> = membership
            .voters
            .iter()
            .chain(&membership.learners)
            .copied()
            .collect();
        let now = self.core.now();
        let strangers = self
            .last_reports
            .values()
            .filter(|(member, at)| {
                !known.contains(&member.0) && now.saturating_sub(*at) <= MEMBER_QUERY_INTERVAL * 2
            })
            .map(|(member, _)| *member);
        Members {
            voters: to_members(&membership.voters),
            learners: to_members(&membership.learners),
            strangers: strangers.collect(),
            wanted: voters_needed(self.core.settings.tolerated_losses),
        }
    }

    fn member_status(&self, id: MemberId) -> Member {
        let status = self.core.log.status();
        let matched = status.matched.iter().find(|(member, _)| *member == id);
        let matched = matched.map_or(0, |(_, index)| *index);
        let own = id == self.core.local_member.id();
        let name = self.core.peers.controller_name(id);
        let report = name.and_then(|name| self.last_reports.get(&name));
        let last = match report {
            Some((member, at)) if *member == id => *at,
            _ => Duration::ZERO,
        };
        let silence = self.core.now().saturating_sub(last.max(self.leading_since));
        Member {
            id,
            silence: if own { Duration::ZERO } else { silence },
            is_replaced: !own && report.is_some_and(|(member, _)| *member != id),
            has_caught_up: matched + MAX_CATCH_UP_LAG_ENTRIES >= status.commit,
        }
    }
}
