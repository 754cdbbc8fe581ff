//! What the leader does by itself: it takes up a new term, notices lost gateways, divides capacity
//! and forgets old claims.

use std::{sync::Arc, time::Duration};

use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use super::{core::Core, shares};
use crate::{
    ports::Clock,
    state::{Action, ExpireClaims, MarkUnknown},
};

/// Time between two looks at the leases.
const LOOK: Duration = Duration::from_millis(100);
/// Time between two rounds of forgetting old claims.
const EXPIRY: Duration = Duration::from_secs(60);

/// Runs the leader's duties until the token is cancelled.
pub(super) async fn run<T: Clock>(core: Arc<Core<T>>, stop: CancellationToken) {
    let mut leader = Leader {
        core,
        complete_term: 0,
        shared_at: Duration::ZERO,
        expired_at: Duration::ZERO,
    };
    let mut leads = leader.core.log.watch_led_term();
    let mut tick = interval(LOOK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = tick.tick() => {}
            Ok(()) = leads.changed() => {}
            () = stop.cancelled() => return,
        }
        leader.look().await;
    }
}

struct Leader<T> {
    core: Arc<Core<T>>,
    complete_term: u64,
    shared_at: Duration,
    expired_at: Duration,
}

impl<T: Clock> Leader<T> {
    async fn look(&mut self) {
        let status = self.core.log.status();
        if !status.leads {
            return;
        }
        if self.core.fleet().term() != status.term && !self.take_up(status.term).await {
            return;
        }
        self.note_completeness(status.term);
        self.mark_lost().await;
        self.divide();
        self.expire().await;
    }

    /// Leases and views wait until everything that earlier leaders committed is applied here.
    async fn take_up(&self, term: u64) -> bool {
        if self.core.log.read_barrier().await.is_err() {
            return false;
        }
        if self.core.log.status().term != term {
            return false;
        }
        self.core.fleet().lead(term, self.core.now());
        self.core.notify_fleet_changed();
        log::info!("controller: leads in term {term}.");
        true
    }

    fn note_completeness(&mut self, term: u64) {
        if self.complete_term != term && self.core.fleet().is_complete(self.core.now()) {
            self.complete_term = term;
            self.core.notify_fleet_changed();
        }
    }

    async fn mark_lost(&self) {
        let lost = self.core.fleet().take_lost(self.core.now());
        if !lost.is_empty() {
            self.core.notify_fleet_changed();
        }
        for gone in &lost {
            log::info!(
                "controller: gateway {} holds no lease any more.",
                gone.gateway
            );
        }
        if !self.core.fleet().is_complete(self.core.now()) {
            return;
        }
        for (gateway, incarnation) in self.orphans() {
            let action = Action::MarkUnknown(MarkUnknown {
                gateway,
                incarnation,
            });
            if let Err(e) = self.core.propose(action).await {
                log::warn!("controller: claims of a lost gateway stay open for now: {e}.");
                return;
            }
        }
    }

    /// Open claims whose holder is not registered: it holds no lease, so it dispatches no more.
    fn orphans(&self) -> Vec<(String, u64)> {
        let fleet = self.core.fleet();
        let state = self.core.log.state();
        state
            .claims()
            .holders()
            .filter(|(gateway, incarnation)| !fleet.holds(gateway, *incarnation))
            .map(|(gateway, incarnation)| (gateway.to_owned(), incarnation))
            .collect()
    }

    fn divide(&mut self) {
        let now = self.core.now();
        if now < self.shared_at + self.core.settings.timing.gateway_heartbeat {
            return;
        }
        self.shared_at = now;
        let mut fleet = self.core.fleet();
        let state = self.core.log.state();
        let intent = Arc::clone(state.configuration().intent());
        let divided = shares::divide(&intent, state.instances(), &fleet);
        drop(state);
        for (gateway, shares) in divided {
            fleet.share(&gateway, shares);
        }
    }

    async fn expire(&mut self) {
        let now = self.core.now();
        if now < self.expired_at + EXPIRY {
            return;
        }
        self.expired_at = now;
        let retention = self.core.settings.timing.claim_retention.as_millis();
        let retention = u64::try_from(retention).unwrap_or(u64::MAX);
        let before_unix_ms = self.core.clock.unix_ms().saturating_sub(retention);
        let action = Action::ExpireClaims(ExpireClaims { before_unix_ms });
        if let Err(e) = self.core.propose(action).await {
            log::warn!("controller: old claims are kept for now: {e}.");
        }
    }
}
