//! Asks all controllers who they are, meets those that they know, and, while this one leads, changes
//! the members as `policy::members` says.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use futures_util::future::join_all;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::{core::Core, rounds::repeat};
use crate::{
    domain::MemberId,
    policy::members::{Member, Members, voters},
    ports::Clock,
    settings::ControllerEntry,
    wire::{Body, MemberQuery, MemberReport},
};

/// Time between two rounds of questions.
const EVERY: Duration = Duration::from_secs(1);
/// Longest wait for an answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(700);
/// Most changes in one round.
const MOST_CHANGES: usize = 4;
/// Pause after a change, in which a new member gets a log of usual size.
const CATCH_UP: Duration = Duration::from_millis(150);
/// Entries by which a member may be behind to count as caught up.
const NEARLY_ALL: u64 = 64;

/// Asks until the token is cancelled.
pub(super) async fn run<T: Clock>(core: Arc<Core<T>>, stop: CancellationToken) {
    let roll = RollCall {
        heard: HashMap::new(),
        term: 0,
        missing: 0,
        since: core.now(),
        core,
    };
    repeat(EVERY, &stop, roll, |mut roll| async move {
        roll.round().await;
        roll
    })
    .await;
}

struct RollCall<T> {
    core: Arc<Core<T>>,
    /// The member behind each controller's name, and when it answered last.
    heard: HashMap<Arc<str>, (MemberId, Duration)>,
    term: u64,
    /// Voters missing at the last look.
    missing: usize,
    /// When this controller began to lead; silence counts from then at the earliest.
    since: Duration,
}

impl<T: Clock> RollCall<T> {
    async fn round(&mut self) {
        let links = self.core.peers.links();
        let own = self.core.peers.entry(&self.core.settings.name);
        let query = MemberQuery {
            own: own.as_ref().map(ControllerEntry::record),
        };
        let asked = links.iter().map(|(name, link)| async {
            let answer = link
                .call(Body::MemberQuery(query.clone()), ASK_TIMEOUT)
                .await;
            match answer {
                Ok(Body::MemberReport(report)) => Some((Arc::clone(name), report)),
                Ok(_) | Err(_) => None,
            }
        });
        for (name, report) in join_all(asked).await.into_iter().flatten() {
            self.hear(name, &report);
        }
        self.change().await;
    }

    fn hear(&mut self, name: Arc<str>, report: &MemberReport) {
        let member = MemberId(report.member);
        self.core.peers.set_controller(member, &name);
        self.heard.insert(name, (member, self.core.now()));
        for known in &report.known {
            self.core.peers.add_record(known);
        }
    }

    /// Says when more, or no more, voters are missing that the tolerated losses want.
    fn note_missing(&mut self) {
        let members = self.members();
        let missing = members.missing();
        if self.missing == missing {
            return;
        }
        self.missing = missing;
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

    async fn change(&mut self) {
        if !self.core.leads() {
            self.term = 0;
            self.missing = 0;
            return;
        }
        let term = self.core.fleet().term();
        if self.term != term {
            self.term = term;
            self.since = self.core.now();
        }
        self.note_missing();
        // A learner catches up between two changes.
        for _ in 0..MOST_CHANGES {
            let members = self.members();
            let Some(change) = members.next_change() else {
                return;
            };
            if let Err(e) = self.core.log.change_members(change).await {
                log::warn!("controller: members do not change, {change:?}: {e}.");
                return;
            }
            log::info!("controller: members change: {change:?}, of {members:?}.");
            sleep(CATCH_UP).await;
        }
    }

    fn members(&self) -> Members {
        let status = self.core.log.status();
        let membership = &status.membership;
        let view = |ids: &[u64]| ids.iter().map(|id| self.member(MemberId(*id))).collect();
        let known: HashSet<u64> = membership
            .voters
            .iter()
            .chain(&membership.learners)
            .copied()
            .collect();
        let now = self.core.now();
        let strangers = self
            .heard
            .values()
            .filter(|(member, at)| {
                !known.contains(&member.0) && now.saturating_sub(*at) <= EVERY * 2
            })
            .map(|(member, _)| *member);
        Members {
            voters: view(&membership.voters),
            learners: view(&membership.learners),
            strangers: strangers.collect(),
            wanted: voters(self.core.settings.tolerated_losses),
        }
    }

    fn member(&self, id: MemberId) -> Member {
        let status = self.core.log.status();
        let matched = status.matched.iter().find(|(member, _)| *member == id);
        let matched = matched.map_or(0, |(_, index)| *index);
        let own = id == self.core.local_member.id();
        let name = self.core.peers.controller_name(id);
        let heard = name.and_then(|name| self.heard.get(&name));
        let last = match heard {
            Some((member, at)) if *member == id => *at,
            _ => Duration::ZERO,
        };
        let silence = self.core.now().saturating_sub(last.max(self.since));
        Member {
            id,
            silence: if own { Duration::ZERO } else { silence },
            is_replaced: !own && heard.is_some_and(|(member, _)| *member != id),
            has_caught_up: matched + NEARLY_ALL >= status.commit,
        }
    }
}
