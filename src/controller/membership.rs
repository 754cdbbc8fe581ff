//! Discovers controllers and maintains the members of the cluster: queries all known controllers, links to
//! the controllers that they know and, while this one leads, applies the member changes of `policy::members`.

use std::{
    collections::{BTreeMap, HashSet},
    sync::Arc,
    time::Duration,
};

use futures_util::future::join_all;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::{
    core::Core, log::LogError, member_reports::Sighting, metrics::MemberChangeCounters,
    periodic::run_periodically,
};
use crate::{
    domain::MemberId,
    link::Link,
    policy::members::{Absence, Member, Members, silence, voters_needed},
    ports::Clock,
    replication::MemberChange,
    settings::ControllerEntry,
    wire::{Body, MemberQuery, MemberReport},
};

/// Interval between query rounds.
const MEMBER_QUERY_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for the report of a controller.
const MEMBER_QUERY_TIMEOUT: Duration = Duration::from_millis(700);
/// Interval at which a leader looks at the members without being woken.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The same, while a learner that is to vote catches up.
const CATCH_UP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Queries the controllers and maintains the members until the token is cancelled.
pub(super) async fn run<T: Clock>(core: Arc<Core<T>>, stop: CancellationToken) {
    let queries = run_periodically(
        MEMBER_QUERY_INTERVAL,
        &stop,
        Arc::clone(&core),
        |core| async move {
            query_all(&core).await;
            core
        },
    );
    let task = MembershipTask {
        counters: MemberChangeCounters::new(&core.metrics),
        core,
        missing_voters: 0,
        absent: BTreeMap::new(),
        failed: None,
    };
    tokio::join!(queries, stop.run_until_cancelled(task.run()));
}

/// Returns this controller's query, which also tells the receiver of this controller.
fn member_query<T: Clock>(core: &Core<T>) -> MemberQuery {
    let own = core.peers.entry(&core.settings.name);
    MemberQuery {
        sender: own.as_ref().map(ControllerEntry::to_record),
        member: core.local_member.id().0,
        leaving: core.local_member.is_leaving(),
    }
}

async fn query_all<T: Clock>(core: &Core<T>) {
    let links = core.peers.links();
    let queries = links
        .iter()
        .map(|(name, link)| query(core, name, link, MEMBER_QUERY_TIMEOUT));
    join_all(queries).await;
}

/// Asks a controller for its report and records what it says of its member and of the controllers that it knows. Returns
/// `None` if it does not answer in time.
pub(super) async fn query<T: Clock>(
    core: &Core<T>,
    name: &Arc<str>,
    link: &Link,
    deadline: Duration,
) -> Option<MemberReport> {
    let query = Body::MemberQuery(member_query(core));
    let Ok(Body::MemberReport(report)) = link.call(query, deadline).await else {
        return None;
    };
    record_sighting(core, name, MemberId(report.member), report.leaving);
    for known in &report.known {
        core.peers.add_record(known);
    }
    Some(report)
}

/// Records the member of a controller.
pub(super) fn record_sighting<T: Clock>(
    core: &Core<T>,
    name: &Arc<str>,
    member: MemberId,
    is_leaving: bool,
) {
    core.peers.set_controller(member, name);
    let sighting = Sighting {
        member,
        at: core.now(),
        is_leaving,
    };
    core.member_reports.record(name, sighting);
}

/// Returns the members as this controller sees them; only a leader sees who answers.
pub(super) fn members<T: Clock>(core: &Core<T>) -> Members {
    let status = core.log.status();
    let own = core.local_member.id();
    let now = core.now();
    let member = |id: &u64| {
        let id = MemberId(*id);
        let progress = status.progress.iter().find(|p| p.member == id);
        let progress = progress.copied().unwrap_or_default();
        let name = core.peers.controller_name(id);
        let sighting = name.and_then(|name| core.member_reports.get(&name));
        let same = sighting.filter(|sighting| sighting.member == id);
        let acknowledged = Some(progress.acknowledged_at).filter(|at| !at.is_zero());
        let heard = acknowledged.max(same.map(|sighting| sighting.at));
        let is_own = id == own;
        Member {
            id,
            silence: match is_own {
                true => Duration::ZERO,
                false => silence(now, status.led_since.unwrap_or(now), heard),
            },
            is_replaced: !is_own && sighting.is_some_and(|sighting| sighting.member != id),
            is_leaving: match is_own {
                true => core.local_member.is_leaving(),
                false => same.is_some_and(|sighting| sighting.is_leaving),
            },
            has_answered: is_own || acknowledged.is_some(),
            has_caught_up: progress.has_caught_up,
        }
    };
    let membership = &status.membership;
    let known: HashSet<u64> = membership
        .voters
        .iter()
        .chain(&membership.learners)
        .copied()
        .collect();
    let strangers = core.member_reports.all().into_iter().filter(|sighting| {
        let is_fresh = now.saturating_sub(sighting.at) <= MEMBER_QUERY_INTERVAL * 2;
        !known.contains(&sighting.member.0) && is_fresh && !sighting.is_leaving
    });
    Members {
        voters: membership.voters.iter().map(member).collect(),
        learners: membership.learners.iter().map(member).collect(),
        strangers: strangers.map(|sighting| sighting.member).collect(),
        leader: status.leader,
        wanted: voters_needed(core.settings.tolerated_losses),
    }
}

struct MembershipTask<T> {
    core: Arc<Core<T>>,
    counters: MemberChangeCounters,
    /// Number of missing voters at the last check.
    missing_voters: usize,
    /// The members that did not count as present at the last check, and why.
    absent: BTreeMap<MemberId, Absence>,
    /// The change that failed last, and how, so that it is logged once.
    failed: Option<(MemberChange, LogError)>,
}

impl<T: Clock> MembershipTask<T> {
    async fn run(mut self) {
        let mut led_term = self.core.log.watch_led_term();
        loop {
            let pause = self.check().await;
            tokio::select! {
                () = sleep(pause) => {}
                () = self.core.member_reports.changed() => {}
                Ok(()) = led_term.changed() => {}
            }
        }
    }

    /// Applies the changes that are due now. Returns the time until the next check.
    async fn check(&mut self) -> Duration {
        if !self.core.leads() {
            self.missing_voters = 0;
            self.absent.clear();
            return CHECK_INTERVAL;
        }
        loop {
            let members = members(&self.core);
            self.log_missing_voters(&members);
            self.log_absent(&members);
            let Some(change) = members.next_change() else {
                return match members.awaits_learner() {
                    true => CATCH_UP_CHECK_INTERVAL,
                    false => CHECK_INTERVAL,
                };
            };
            if let Err(e) = self.core.log.change_members(change).await {
                if self.failed.replace((change, e)) != Some((change, e)) {
                    log::warn!(
                        event = "members.change_failed", change:? = change;
                        "controller: cannot apply the member change {change:?}: {e}."
                    );
                }
                return CHECK_INTERVAL;
            }
            self.failed = None;
            self.counters.count(change);
            log::info!(
                event = "members.changed", change:? = change, losses_borne = members.losses_borne();
                "controller: members change: {change:?}, of {members:?}."
            );
        }
    }

    /// Logs when the number of voters missing for `tolerated_losses` changes.
    fn log_missing_voters(&mut self, members: &Members) {
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

    /// Logs which members do not count as present any more, and which do again.
    fn log_absent(&mut self, members: &Members) {
        let all = members.voters.iter().chain(&members.learners);
        let absent: BTreeMap<_, _> = all
            .filter_map(|m| Some((m.id, (m.absence()?, m.silence))))
            .collect();
        let losses_borne = members.losses_borne();
        for (id, (absence, silence)) in &absent {
            if self.absent.get(id) != Some(absence) {
                log::warn!(
                    event = "member.absent", member = id.0, cause:? = absence, silence_ms = silence.as_millis() as u64,
                    votes = members.voters.iter().any(|m| m.id == *id), losses_borne = losses_borne;
                    "controller: member {id} does not count as present: {absence:?}"
                );
            }
        }
        for id in self.absent.keys().filter(|id| !absent.contains_key(id)) {
            log::info!(
                event = "member.present", member = id.0, losses_borne = losses_borne;
                "controller: member {id} is present again, or is no member any more"
            );
        }
        self.absent = absent
            .into_iter()
            .map(|(id, (absence, _))| (id, absence))
            .collect();
    }
}
