//! Periodic tasks of the leader: it starts its term, detects lost gateways, divides capacity and
//! expires old claims.

use std::{sync::Arc, time::Duration};

use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use super::{core::Core, shares};
use crate::{
    ports::Clock,
    state::{Action, ExpireClaims, MarkUnknown},
};

/// Interval between checks of the gateways' leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between expirations of old claims.
const CLAIM_EXPIRY_INTERVAL: Duration = Duration::from_secs(60);

/// Runs the leader's tasks until the token is cancelled.
pub(super) async fn run<T: Clock>(core: Arc<Core<T>>, stop: CancellationToken) {
    let mut leader = LeaderTasks {
        core,
        complete_term: 0,
        divided_at: Duration::ZERO,
        expired_at: Duration::ZERO,
    };
    let mut led_term_changed = leader.core.log.watch_led_term();
    let mut tick = interval(LEASE_CHECK_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = tick.tick() => {}
            Ok(()) = led_term_changed.changed() => {}
            () = stop.cancelled() => return,
        }
        leader.run_round().await;
    }
}

struct LeaderTasks<T> {
    core: Arc<Core<T>>,
    complete_term: u64,
    divided_at: Duration,
    expired_at: Duration,
}

impl<T: Clock> LeaderTasks<T> {
    async fn run_round(&mut self) {
        let status = self.core.log.status();
        if !status.leads {
            return;
        }
        if self.core.fleet().term() != status.term && !self.start_term(status.term).await {
            return;
        }
        self.notify_when_complete(status.term);
        self.handle_lost_gateways().await;
        self.divide_capacity();
        self.expire_claims().await;
    }

    /// Starts a term once everything that earlier leaders committed is applied here; leases and views
    /// are served only from then on.
    async fn start_term(&self, term: u64) -> bool {
        if self.core.log.read_barrier().await.is_err() {
            return false;
        }
        if self.core.log.status().term != term {
            return false;
        }
        self.core.fleet().start_term(term, self.core.now());
        self.core.notify_fleet_changed();
        log::info!("controller: became leader in term {term}.");
        true
    }

    fn notify_when_complete(&mut self, term: u64) {
        if self.complete_term != term && self.core.fleet().is_complete(self.core.now()) {
            self.complete_term = term;
            self.core.notify_fleet_changed();
        }
    }

    /// Removes lost gateways from the registry and marks the outcome of their open claims as unknown.
    async fn handle_lost_gateways(&self) {
        let lost = self.core.fleet().remove_lost(self.core.now());
        if !lost.is_empty() {
            self.core.notify_fleet_changed();
        }
        for gateway in &lost {
            log::info!(
                "controller: lost gateway {}: its lease expired or a newer incarnation replaced it.",
                gateway.name
            );
        }
        if !self.core.fleet().is_complete(self.core.now()) {
            return;
        }
        for (gateway, incarnation) in self.orphaned_claim_holders() {
            let action = Action::MarkUnknown(MarkUnknown {
                gateway,
                incarnation,
            });
            if let Err(e) = self.core.propose(action).await {
                log::warn!("controller: cannot mark the claims of a lost gateway yet: {e}.");
                return;
            }
        }
    }

    /// Returns the holders of open claims that are not registered: without a lease they dispatch
    /// nothing more.
    fn orphaned_claim_holders(&self) -> Vec<(String, u64)> {
        let fleet = self.core.fleet();
        let state = self.core.log.state();
        state
            .claims()
            .holders()
            .filter(|(gateway, incarnation)| !fleet.is_registered(gateway, *incarnation))
            .map(|(gateway, incarnation)| (gateway.to_owned(), incarnation))
            .collect()
    }

    fn divide_capacity(&mut self) {
        let now = self.core.now();
        if now < self.divided_at + self.core.settings.timing.gateway_heartbeat {
            return;
        }
        self.divided_at = now;
        let mut fleet = self.core.fleet();
        let state = self.core.log.state();
        let intent = Arc::clone(state.configuration().intent());
        let divided = shares::divide_capacity(&intent, state.instances(), &fleet);
        drop(state);
        for (gateway, shares) in divided {
            fleet.set_shares(&gateway, shares);
        }
    }

    async fn expire_claims(&mut self) {
        let now = self.core.now();
        if now < self.expired_at + CLAIM_EXPIRY_INTERVAL {
            return;
        }
        self.expired_at = now;
        let retention = self.core.settings.timing.claim_retention.as_millis();
        let retention = u64::try_from(retention).unwrap_or(u64::MAX);
        let before_unix_ms = self.core.clock.unix_ms().saturating_sub(retention);
        let action = Action::ExpireClaims(ExpireClaims { before_unix_ms });
        if let Err(e) = self.core.propose(action).await {
            log::warn!("controller: cannot expire old claims yet: {e}.");
        }
    }
}
