//! Roll-outs of software versions: operators' orders, the leader's decisions about them, and what gateways are told. Every
//! controller collects the gateways' reports, so that a new leader goes on with them. See docs/design/ROLLOUTS.md.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio_util::sync::CancellationToken;

use super::{
    core::Core,
    log::LogError,
    periodic::run_periodically,
    publisher::{PublishError, Publisher},
};
use crate::{
    operator::RolloutStatus,
    policy::rollout::{Decision, Reason, Rollout, Slots},
    ports::{Clock, Platform},
    settings::RolloutLimits,
    state::{Action, Reply, RolloutOrder, Rollouts, SettleRollout, StartRollout},
    telemetry::Counter,
    wire::{
        FollowReply, FollowRequest, RolloutLease, RolloutNews, RolloutRecord, RolloutState,
        UpstreamRow,
    },
};

/// Interval between two decisions; several of them fall into each window in which versions are compared.
const DECISION_INTERVAL: Duration = Duration::from_millis(100);
/// Time in which an operator may send an order again whose acknowledgement was lost.
const REPEAT_TIME: Duration = Duration::from_secs(10);
/// Longest duration of an order.
const MAX_DURATION: Duration = Duration::from_secs(24 * 60 * 60);
/// Longest name of a software version, in bytes.
const MAX_VERSION_BYTES: usize = 256;
/// Bits of the version of news that count the leader's changes; the others are the log index of the last change.
const CHANGE_BITS: u32 = 24;

/// Why an order was not accepted, or a roll-out can't be read.
#[derive(Debug, thiserror::Error)]
pub enum RolloutError {
    /// Roll-outs are not set up.
    #[error("roll-outs are not set up; set ingress.rollout")]
    Off,
    /// The leader has not read the platform's list yet, without which nobody can tell whether the order can be carried out.
    #[error("the list of upstreams was not read yet; send the order again")]
    ListUnread,
    /// The order can't be carried out.
    #[error("the order is not valid: {0}")]
    Invalid(&'static str),
    /// Another roll-out of the service runs.
    #[error("a roll-out of the service to {0} is in progress; wait for its end")]
    InProgress(String),
    /// There was no order for the service.
    #[error("no roll-out of the service was ordered")]
    NotOrdered,
    /// This controller does not lead, or has no quorum.
    #[error(transparent)]
    Unavailable(#[from] PublishError),
}

/// The roll-outs that run, with what gateways reported of them.
#[derive(Debug, Default)]
pub struct RunningRollouts {
    /// By the log index of the order.
    running: BTreeMap<u64, Running>,
    /// Counts what gateways must be told at once.
    changes: u64,
}

#[derive(Debug)]
struct Running {
    order: RolloutOrder,
    rollout: Rollout,
    /// The end that was decided and is not committed yet.
    end: Option<RolloutState>,
    /// Time from the order until this controller learned of it, by the wall clock.
    learned_age: Duration,
    /// When it learned of it, by the monotonic clock.
    learned: Duration,
}

impl Running {
    /// Returns the time since the order. The wall clock may step by seconds, so it is read only once.
    fn age(&self, now: Duration) -> Duration {
        self.learned_age + now.saturating_sub(self.learned)
    }
}

impl RunningRollouts {
    /// Returns how many run.
    pub fn count(&self) -> usize {
        self.running.len()
    }

    /// Takes over which orders run according to the log.
    fn update<'a>(
        &mut self,
        limits: &RolloutLimits,
        clock: &impl Clock,
        orders: impl Iterator<Item = &'a RolloutOrder>,
    ) {
        let is_running = |order: &&RolloutOrder| order.state() == RolloutState::Running;
        let orders: BTreeMap<u64, &RolloutOrder> = orders
            .filter(is_running)
            .map(|order| (order.index, order))
            .collect();
        self.running.retain(|index, _| orders.contains_key(index));
        for (index, order) in orders {
            self.running.entry(index).or_insert_with(|| {
                let duration = Duration::from_millis(order.order.duration_ms);
                let learned_ms = clock.unix_ms().saturating_sub(order.started_unix_ms);
                Running {
                    order: order.clone(),
                    rollout: Rollout::new(limits.bounds(), duration),
                    end: None,
                    learned_age: Duration::from_millis(learned_ms),
                    learned: clock.monotonic(),
                }
            });
        }
    }
}

fn limits<T>(core: &Core<T>) -> Option<RolloutLimits> {
    core.settings.ingress.as_ref()?.rollout
}

/// Returns the roll-outs for operators.
pub(super) fn statuses<T: Clock>(core: &Core<T>, orders: &Rollouts) -> Vec<RolloutStatus> {
    let rollouts = core.rollouts();
    let status = |order: &RolloutOrder| {
        let running = rollouts.running.get(&order.index);
        RolloutStatus {
            service: order.order.service.clone(),
            target: order.order.target.clone(),
            state: state_name(order.state()).to_owned(),
            share: running.map_or(0.0, |running| running.rollout.share()),
        }
    };
    orders.iter().map(status).collect()
}

/// Returns the name of a state for operators.
fn state_name(state: RolloutState) -> &'static str {
    match state {
        RolloutState::Running => "running",
        RolloutState::Completed => "completed",
        RolloutState::RolledBack => "rolled_back",
    }
}

/// Records what a gateway reports of roll-outs.
pub(super) fn record_reports<T: Clock>(core: &Core<T>, follow: &FollowRequest) {
    let (Some(limits), Some(gateway)) = (limits(core), &follow.gateway) else {
        return;
    };
    if follow.rollouts.is_empty() {
        return;
    }
    let now = core.now();
    let state = core.log.state();
    let mut rollouts = core.rollouts();
    rollouts.update(&limits, &*core.clock, state.rollouts().iter());
    for report in &follow.rollouts {
        if let Some(running) = rollouts.running.get_mut(&report.order) {
            let age = running.age(now);
            let report = report.report(follow.incarnation);
            running.rollout.record(&gateway.name, report, age);
        }
    }
}

/// Returns whether a reply has news of roll-outs that the gateway does not hold.
pub(super) fn has_news(reply: &FollowReply, follow: &FollowRequest) -> bool {
    let version = reply.rollouts.as_ref().map(|news| news.version);
    version.is_some() && version != follow.held_rollouts_version
}

/// Returns what a gateway is told of roll-outs.
pub(super) fn news<T: Clock>(
    core: &Core<T>,
    leads: bool,
    follow: &FollowRequest,
) -> Option<RolloutNews> {
    let limits = limits(core)?;
    let held = follow.held_rollouts_version?;
    let now = core.clock.unix_ms();
    let lease_ms = millis(limits.bounds().lease());
    let state = core.log.state();
    let rollouts = core.rollouts();
    let index = state.rollouts().index();
    let changes = if leads { rollouts.changes } else { 0 };
    let version = (index << CHANGE_BITS) | (changes & ((1 << CHANGE_BITS) - 1));
    let gateway = follow.gateway.as_ref().map_or("", |gateway| &*gateway.name);
    let record = |order: &RolloutOrder| {
        let running = rollouts.running.get(&order.index).filter(|_| leads);
        let lease = running.map(|running| {
            let lease = running.rollout.lease(gateway);
            RolloutLease {
                share: lease.share,
                allowance: lease.allowance,
                lease_ms,
            }
        });
        RolloutRecord {
            order: order.index,
            service: order.order.service.clone(),
            target: order.order.target.clone(),
            state: order.state,
            lease,
            ended_ago_ms: match order.state() {
                RolloutState::Running => 0,
                _ => now.saturating_sub(order.ended_unix_ms),
            },
        }
    };
    // Leases are renewed with every reply; ends are told once, also late, to gateways that were out of touch.
    if index == 0 || (version == held && rollouts.running.is_empty()) {
        return None;
    }
    Some(RolloutNews {
        version,
        rollouts: state.rollouts().iter().map(record).collect(),
    })
}

/// Decides about the roll-outs while this controller leads, until the token is cancelled.
pub(super) async fn run<T: Clock>(core: Arc<Core<T>>, stop: CancellationToken) {
    let Some(limits) = limits(&core) else {
        return;
    };
    let shared = Arc::clone(&core);
    core.metrics
        .register_gauge("controller_rollouts", "Roll-outs that run.", move || {
            shared.rollouts().count() as u64
        });
    let counter = |state| {
        let labels = [("state", state)];
        let (name, help) = (
            "controller_rollouts_ended",
            "Roll-outs that this leader ended.",
        );
        core.metrics.register_labelled_counter(name, help, &labels)
    };
    let worker = Worker {
        completed: counter("completed"),
        rolled_back: counter("rolled_back"),
        limits,
        core: Arc::clone(&core),
    };
    run_periodically(DECISION_INTERVAL, &stop, worker, |worker| async move {
        worker.run_round().await;
        worker
    })
    .await;
}

struct Worker<T> {
    core: Arc<Core<T>>,
    limits: RolloutLimits,
    completed: Counter,
    rolled_back: Counter,
}

impl<T: Clock> Worker<T> {
    async fn run_round(&self) {
        let leads = self.core.leads();
        let now = self.core.now();
        let ends = {
            let followers = self.core.followers();
            let rows = followers.upstream_list().rows();
            let state = self.core.log.state();
            let mut rollouts = self.core.rollouts();
            rollouts.update(&self.limits, &*self.core.clock, state.rollouts().iter());
            let before = rollouts.changes;
            let RunningRollouts { running, changes } = &mut *rollouts;
            for running in running.values_mut() {
                match leads {
                    true => decide(running, changes, rows, now),
                    false => {
                        // An end that was not committed may hold no more when this controller leads again.
                        running.end = None;
                        running.rollout.follow();
                    }
                }
            }
            let is_changed = rollouts.changes != before;
            let ends = rollouts.running.iter();
            let ends: Vec<_> = ends
                .filter(|_| leads)
                .filter_map(|(index, running)| Some((*index, running.end?)))
                .collect();
            drop((rollouts, state, followers));
            if is_changed {
                self.core.notify_followers_changed();
            }
            ends
        };
        for (order, state) in ends {
            self.commit_end(order, state).await;
        }
    }

    async fn commit_end(&self, order: u64, state: RolloutState) {
        let action = Action::SettleRollout(SettleRollout {
            order,
            state: state.into(),
        });
        match self.core.propose(action).await {
            Ok(_) => {
                log::info!(
                    event = "rollout.ended", order = order, state:? = state;
                    "controller: a roll-out has ended"
                );
                match state {
                    RolloutState::Completed => self.completed.increment(),
                    RolloutState::RolledBack | RolloutState::Running => {
                        self.rolled_back.increment();
                    }
                }
            }
            Err(e) => {
                log::warn!(
                    event = "rollout.not_committed", order = order, state:? = state;
                    "controller: the end of a roll-out can't be committed yet: {e}"
                );
                // By the next attempt old servers may serve again. A bad version stays bad.
                if state == RolloutState::Completed
                    && let Some(running) = self.core.rollouts().running.get_mut(&order)
                {
                    running.end = None;
                }
            }
        }
    }
}

fn decide(running: &mut Running, changes: &mut u64, rows: &[UpstreamRow], now: Duration) {
    if running.end.is_some() {
        return;
    }
    let age = running.age(now);
    let order = &running.order.order;
    let slots = count_slots(rows, &order.service, &order.target);
    let decision = running.rollout.decide(age, slots);
    let (requests, exposed) = running.rollout.exposure();
    let (service, target) = (order.service.as_str(), order.target.as_str());
    match decision {
        Decision::Continue => {}
        Decision::Enter(stage) => {
            *changes += 1;
            log::info!(
                event = "rollout.share", service = service, target = target, stage:? = stage,
                share = running.rollout.share(), age_ms = millis(age), requests = requests,
                exposed = exposed, slots_old = slots.old, slots_new = slots.new, slots_cold = slots.cold;
                "controller: the share of a roll-out changes"
            );
        }
        Decision::Complete => {
            *changes += 1;
            running.end = Some(RolloutState::Completed);
            log::info!(
                event = "rollout.completed", service = service, target = target,
                age_ms = millis(age), requests = requests, exposed = exposed,
                slots_old = slots.old, slots_new = slots.new;
                "controller: the new version serves alone"
            );
        }
        Decision::RollBack(reason) => {
            *changes += 1;
            running.end = Some(RolloutState::RolledBack);
            let (reason, route) = match &reason {
                Reason::Failures(route) => ("failures", route.as_str()),
                Reason::Slow(route) => ("slow", route.as_str()),
                Reason::Deadline => ("deadline", ""),
            };
            log::warn!(
                event = "rollout.rolled_back", service = service, target = target,
                reason = reason, route = route, stage:? = running.rollout.stage(),
                age_ms = millis(age), requests = requests, exposed = exposed,
                slots_old = slots.old, slots_new = slots.new;
                "controller: a new version gets nothing more"
            );
            running.rollout.follow();
        }
    }
}

/// Counts the slots of a service's servers that may get requests.
fn count_slots(rows: &[UpstreamRow], service: &str, target: &str) -> Slots {
    let mut slots = Slots::default();
    for row in rows {
        if row.service != service || row.leaving || row.reported_leaving {
            continue;
        }
        let count = match (row.software == target, row.cold_left_ms) {
            (false, _) => &mut slots.old,
            (true, 0) => &mut slots.new,
            (true, _) => &mut slots.cold,
        };
        *count += u64::from(row.slots);
    }
    slots
}

impl<T: Clock, P: Platform> Publisher<T, P> {
    /// Returns whether operators may order roll-outs.
    pub fn has_rollouts(&self) -> bool {
        limits(&self.core).is_some()
    }

    /// Records an operator's order to move the requests of a service to a software version. An order that is sent again is
    /// acknowledged without effect.
    ///
    /// # Errors
    ///
    /// Fails if roll-outs are not set up, if the order can't be carried out, while another one of the service runs, if this
    /// controller does not lead or has not read the platform's list, or without a quorum.
    pub async fn start_rollout(
        &self,
        service: &str,
        target: &str,
        duration: Duration,
    ) -> Result<(), RolloutError> {
        let core = &self.core;
        limits(core).ok_or(RolloutError::Off)?;
        if target.is_empty() || target.len() > MAX_VERSION_BYTES {
            return Err(RolloutError::Invalid("the target is no software version"));
        }
        let duration_ms = millis(duration);
        if duration_ms == 0 || duration > MAX_DURATION {
            return Err(RolloutError::Invalid("the duration can't be kept"));
        }
        self.read_barrier().await?;
        let order = StartRollout {
            service: service.to_owned(),
            target: target.to_owned(),
            duration_ms,
        };
        self.check_service(service)?;
        if let Some(held) = core.log.state().rollouts().get(service)
            && self.is_repeated(held, &order)?
        {
            return Ok(());
        }
        let term = core.fleet().term();
        let slots = {
            let followers = core.followers();
            let list = followers.upstream_list();
            if list.version().is_none_or(|version| version.term != term) {
                return Err(RolloutError::ListUnread);
            }
            count_slots(list.rows(), service, target)
        };
        if slots.old == 0 && slots.new + slots.cold > 0 {
            return Err(RolloutError::Invalid(
                "all servers of the service run the target already",
            ));
        }
        let applied = core.propose(Action::StartRollout(order)).await;
        let applied = applied.map_err(|e: LogError| self.publish_error(e))?;
        if applied.reply != Reply::Accepted(true) {
            return Err(RolloutError::InProgress("another version".to_owned()));
        }
        log::info!(
            event = "rollout.started", service = service, target = target, order = applied.index,
            duration_ms = duration_ms, slots_old = slots.old, slots_new = slots.new;
            "controller: a roll-out is ordered"
        );
        Ok(())
    }

    fn check_service(&self, service: &str) -> Result<(), RolloutError> {
        let document = self.core.log.state().published().document.clone();
        let table = self.platform.read_table(&document);
        let is_known = table.is_ok_and(|table| {
            let mut services = table.services.iter();
            services.any(|known| known.name.as_str() == service)
        });
        match is_known {
            true => Ok(()),
            false => Err(RolloutError::Invalid("the service is not published")),
        }
    }

    /// Returns whether an order is one that was recorded already.
    fn is_repeated(&self, held: &RolloutOrder, order: &StartRollout) -> Result<bool, RolloutError> {
        let age = self
            .core
            .clock
            .unix_ms()
            .saturating_sub(held.started_unix_ms);
        match held.state() {
            RolloutState::Running if held.order == *order => Ok(true),
            RolloutState::Running => Err(RolloutError::InProgress(held.order.target.clone())),
            _ => Ok(held.order == *order && age < millis(REPEAT_TIME)),
        }
    }

    /// Returns the target of a service's last roll-out, and how far it is.
    ///
    /// # Errors
    ///
    /// Fails if roll-outs are not set up, if none was ordered, if this controller does not lead, or without a quorum.
    pub async fn rollout(&self, service: &str) -> Result<(String, RolloutState), RolloutError> {
        limits(&self.core).ok_or(RolloutError::Off)?;
        self.read_barrier().await?;
        let state = self.core.log.state();
        let held = state.rollouts().get(service);
        let held = held.ok_or(RolloutError::NotOrdered)?;
        Ok((held.order.target.clone(), held.state()))
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
