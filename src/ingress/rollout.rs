//! Which software version of a service a request may use while a roll-out runs, and what callers got of each. The leader
//! decides; see docs/design/ROLLOUTS.md. Without a roll-out nothing here takes part in a request.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use tokio::time::Instant;

use crate::{
    domain::{ServiceName, SoftwareVersion},
    policy::{
        origins::Origin,
        rollout::{Lease, RouteAnswers, wait_class},
    },
    telemetry::{Counter, Metrics},
    wire::{RolloutNews, RolloutRecord, RolloutReport, RolloutRoute, RolloutState},
};

/// Time from the end of a completed roll-out for which old servers get nothing: the platform may list them for seconds
/// after it has stopped them.
const OLD_EXCLUDED: Duration = Duration::from_secs(30);
/// Routes of a service that are reported by name; the others count as one. It bounds the size of reports.
const MAX_ROUTES: usize = 32;
/// Name under which the answers of further routes are reported.
const FURTHER_ROUTES: &str = "further routes";

/// Which software versions may get a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) enum Versions {
    /// All of them.
    #[default]
    Any,
    /// Only this one.
    Only(SoftwareVersion),
    /// All but this one.
    Except(SoftwareVersion),
}

impl Versions {
    /// Returns whether servers of a version may get the request.
    pub(super) fn include(&self, software: &SoftwareVersion) -> bool {
        match self {
            Self::Any => true,
            Self::Only(version) => version == software,
            Self::Except(version) => version != software,
        }
    }
}

/// What an upstream's answer was worth to the caller.
#[derive(Clone, Copy, Debug)]
pub(super) enum Outcome {
    /// It began after a wait, on a route with this target for it.
    Begun { wait: Duration, target: Duration },
    /// It failed, or did not come in time.
    Failed,
    /// It began and broke off.
    BrokeOff,
}

/// The roll-outs that this gateway knows.
#[derive(Debug)]
pub(super) struct Rollouts {
    /// Whether the settings have bounds for roll-outs.
    enabled: bool,
    /// The last roll-out of each service.
    services: ArcSwap<HashMap<ServiceName, Arc<Rollout>>>,
    /// Version of each controller's news that this gateway holds.
    held: Mutex<HashMap<String, u64>>,
    exposed: Counter,
    bad: Counter,
}

#[derive(Debug)]
struct Rollout {
    order: u64,
    target: SoftwareVersion,
    state: RolloutState,
    /// Until when old servers of a completed roll-out get nothing.
    exclude_until: Instant,
    counts: Arc<Counts>,
}

/// What is counted since an order; it outlives the change of its state.
#[derive(Debug, Default)]
struct Counts {
    requests: AtomicU64,
    exposed: AtomicU64,
    /// The highest allowance that was granted.
    allowance: AtomicU64,
    lease: Mutex<Option<(Lease, Instant)>>,
    routes: Mutex<BTreeMap<Arc<str>, RouteAnswers>>,
}

impl Counts {
    fn lease(&self, now: Instant) -> Lease {
        let held = *self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        held.filter(|(_, until)| now < *until)
            .map_or_else(Lease::default, |(lease, _)| lease)
    }

    /// Counts a request to the target if the lease allows one more.
    fn take(&self, lease: &Lease) -> bool {
        let allowance = lease.allowance.unwrap_or(u64::MAX);
        let one_more = |exposed| (exposed < allowance).then_some(exposed + 1);
        let (set, fetch) = (Ordering::Relaxed, Ordering::Relaxed);
        self.exposed.fetch_update(set, fetch, one_more).is_ok()
    }

    fn routes(&self) -> MutexGuard<'_, BTreeMap<Arc<str>, RouteAnswers>> {
        self.routes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request that was counted as sent to the target of an order.
#[derive(Debug)]
pub(super) struct Counted(Arc<Counts>);

impl Counted {
    /// Corrects the count of the order for which it was made, since the request was not sent there.
    fn revoke(self) {
        let one_less = |exposed: u64| exposed.checked_sub(1);
        let (set, fetch) = (Ordering::Relaxed, Ordering::Relaxed);
        // It fails only at zero, where nothing is left to correct.
        let _ = self.0.exposed.fetch_update(set, fetch, one_less);
    }
}

impl Rollouts {
    /// Starts without roll-outs.
    pub(super) fn new(enabled: bool, metrics: &Metrics) -> Self {
        Self {
            enabled,
            services: ArcSwap::default(),
            held: Mutex::default(),
            exposed: metrics.register_counter(
                "ingress_rollout_requests",
                "Requests sent to the target of a roll-out.",
            ),
            bad: metrics.register_counter(
                "ingress_rollout_bad_answers",
                "Failed or broken answers of the target of a roll-out.",
            ),
        }
    }

    /// Returns the version of a controller's news that this gateway holds, or `None` if the settings have no bounds.
    pub(super) fn held_version(&self, controller: &str) -> Option<u64> {
        let held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        self.enabled
            .then(|| held.get(controller).copied().unwrap_or_default())
    }

    /// Returns whether a roll-out runs, so that reports are due often.
    pub(super) fn is_running(&self) -> bool {
        let services = self.services.load();
        let mut rollouts = services.values();
        rollouts.any(|rollout| rollout.state == RolloutState::Running)
    }

    /// Applies a controller's news; the request that they answer was sent at `sent`.
    pub(super) fn apply(&self, controller: &str, news: &RolloutNews, sent: Instant) {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        if !self.enabled {
            return;
        }
        held.insert(controller.to_owned(), news.version);
        for record in &news.rollouts {
            self.apply_record(record, sent);
        }
    }

    fn apply_record(&self, record: &RolloutRecord, sent: Instant) {
        let service = ServiceName::from(record.service.as_str());
        let known = self.services.load();
        let known = known.get(&service);
        let newest = known.map_or(0, |rollout| rollout.order);
        // Some controllers are behind others.
        if record.order < newest {
            return;
        }
        let same = known.filter(|rollout| rollout.order == record.order);
        let counts = same.map_or_else(Arc::default, |rollout| Arc::clone(&rollout.counts));
        let has_ended = same.is_some_and(|rollout| rollout.state != RolloutState::Running);
        if has_ended {
            return;
        }
        if let Some(lease) = &record.lease {
            let until = sent + Duration::from_millis(lease.lease_ms);
            let mut held = counts.lease.lock().unwrap_or_else(PoisonError::into_inner);
            // Answers may overtake each other, and an earlier leader may still answer.
            if held.is_none_or(|(_, held_until)| until >= held_until) {
                *held = Some((lease.lease(), until));
            }
            let allowance = lease.allowance.unwrap_or_default();
            counts.allowance.fetch_max(allowance, Ordering::Relaxed);
        }
        if same.is_some_and(|rollout| rollout.state == record.state()) {
            return;
        }
        log::info!(
            event = "rollout.state", service = record.service.as_str(),
            target = record.target.as_str(), order = record.order, state:? = record.state();
            "ingress: a roll-out has another state"
        );
        let excluded = OLD_EXCLUDED.saturating_sub(Duration::from_millis(record.ended_ago_ms));
        let rollout = Arc::new(Rollout {
            order: record.order,
            target: record.target.as_str().into(),
            state: record.state(),
            exclude_until: Instant::now() + excluded,
            counts,
        });
        let mut services = (**self.services.load()).clone();
        services.insert(service, rollout);
        self.services.store(Arc::new(services));
    }

    /// Counts a request that reached a service.
    pub(super) fn record_request(&self, service: &ServiceName) {
        if let Some(rollout) = self.services.load().get(service) {
            rollout.counts.requests.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns which versions may get an attempt of a request, which resumes a stream of `origin` or none; `draw` is uniform
    /// between zero and one, and one for an attempt that repeats another. An attempt that may go to the target is counted.
    pub(super) fn versions(
        &self,
        service: &ServiceName,
        origin: Option<&Origin>,
        draw: f64,
        now: Instant,
    ) -> (Versions, Option<Counted>) {
        let services = self.services.load();
        let Some(rollout) = services.get(service) else {
            return (Versions::Any, None);
        };
        let target = || rollout.target.clone();
        let versions = match rollout.state {
            RolloutState::RolledBack => Versions::Except(target()),
            RolloutState::Completed if now < rollout.exclude_until => Versions::Only(target()),
            RolloutState::Completed => Versions::Any,
            RolloutState::Running => {
                let lease = rollout.counts.lease(now);
                let is_drawn = match origin {
                    // A stream can only go on where it began.
                    Some(origin) => origin.software == rollout.target && lease.share > 0.0,
                    None => draw < lease.share || lease.share >= 1.0,
                };
                if is_drawn && rollout.counts.take(&lease) {
                    let counted = Counted(Arc::clone(&rollout.counts));
                    return (Versions::Only(target()), Some(counted));
                }
                Versions::Except(target())
            }
        };
        (versions, None)
    }

    /// Returns which versions may get an attempt if none of `versions` is available: a target that can't take it leaves it to
    /// the old version while that still serves, and the target serves where it is alone. `counted` is what
    /// [`Self::versions`] counted for the attempt; `has_others` returns whether the service has servers of other versions.
    pub(super) fn otherwise(
        &self,
        versions: &Versions,
        counted: Option<Counted>,
        has_others: impl Fn(&SoftwareVersion) -> bool,
    ) -> Option<Versions> {
        match (versions, counted) {
            (Versions::Only(target), Some(counted)) => {
                counted.revoke();
                Some(Versions::Except(target.clone()))
            }
            (Versions::Except(target), _) if !has_others(target) => Some(Versions::Any),
            _ => None,
        }
    }

    /// Counts an attempt that goes to the target of a running order because it serves alone.
    pub(super) fn record_alone(&self, service: &ServiceName) {
        let services = self.services.load();
        let rollout = services.get(service);
        if let Some(rollout) = rollout.filter(|rollout| rollout.state == RolloutState::Running) {
            rollout.counts.exposed.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns which versions may get an attempt that tries no new version, of a request that resumes a stream of `origin` or
    /// none; `has_others` returns whether the service has servers of other versions.
    pub(super) fn usual_versions(
        &self,
        service: &ServiceName,
        origin: Option<&Origin>,
        has_others: impl Fn(&SoftwareVersion) -> bool,
        now: Instant,
    ) -> Versions {
        let services = self.services.load();
        let Some(rollout) = services.get(service) else {
            return Versions::Any;
        };
        let target = || rollout.target.clone();
        let beside_target = || match has_others(&rollout.target) {
            true => Versions::Except(target()),
            false => Versions::Any,
        };
        match rollout.state {
            RolloutState::RolledBack => beside_target(),
            RolloutState::Completed if now < rollout.exclude_until => Versions::Only(target()),
            RolloutState::Completed => Versions::Any,
            RolloutState::Running => {
                let is_from_target = origin.is_some_and(|origin| origin.software == rollout.target);
                match is_from_target || rollout.counts.lease(now).share >= 1.0 {
                    true => Versions::Any,
                    false => beside_target(),
                }
            }
        }
    }

    /// Records what an attempt at a server of a version was worth.
    pub(super) fn record(
        &self,
        service: &ServiceName,
        route: &Arc<str>,
        software: &SoftwareVersion,
        outcome: Outcome,
    ) {
        let services = self.services.load();
        let running = services.get(service);
        let Some(rollout) = running.filter(|rollout| rollout.state == RolloutState::Running) else {
            return;
        };
        let is_target = *software == rollout.target;
        let mut routes = rollout.counts.routes();
        let name = match routes.contains_key(route) || routes.len() < MAX_ROUTES {
            true => Arc::clone(route),
            false => FURTHER_ROUTES.into(),
        };
        let answers = routes.entry(name).or_default();
        let side = match is_target {
            true => &mut answers.new,
            false => &mut answers.old,
        };
        match outcome {
            Outcome::Begun { wait, target } => side.waits[wait_class(wait, target)] += 1,
            Outcome::Failed => side.failed += 1,
            Outcome::BrokeOff => side.broken += 1,
        }
        drop(routes);
        match (is_target, outcome) {
            (true, Outcome::Begun { .. }) => self.exposed.increment(),
            (true, Outcome::Failed) => {
                self.exposed.increment();
                self.bad.increment();
            }
            (true, Outcome::BrokeOff) => self.bad.increment(),
            (false, _) => {}
        }
    }

    /// Returns what is reported to the controllers; `in_progress` returns the requests in progress at a service's servers
    /// of other versions.
    pub(super) fn reports(
        &self,
        now: Instant,
        in_progress: impl Fn(&ServiceName, &SoftwareVersion) -> u64,
    ) -> Vec<RolloutReport> {
        let services = self.services.load();
        let running = services
            .iter()
            .filter(|(_, rollout)| rollout.state == RolloutState::Running);
        let report = |(service, rollout): (&ServiceName, &Arc<Rollout>)| {
            let counts = &rollout.counts;
            // The share is read first: what was sent to old servers before it changed is in progress or has ended.
            let share = counts.lease(now).share;
            let routes = counts.routes();
            let routes = routes.iter();
            RolloutReport {
                order: rollout.order,
                requests: counts.requests.load(Ordering::Relaxed),
                exposed: counts.exposed.load(Ordering::Relaxed),
                allowance: counts.allowance.load(Ordering::Relaxed),
                share,
                old_in_progress: in_progress(service, &rollout.target),
                routes: routes
                    .map(|(route, answers)| RolloutRoute::new(route, answers))
                    .collect(),
            }
        };
        running.map(report).collect()
    }
}
