//! The speeds of upstreams: what this gateway observes of them and reports to the controllers, and what the leader tells.
//! See docs/design/PACES.md.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    mem,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use arc_swap::ArcSwap;
use tokio::time::Instant;

use super::upstream::Upstream;
use crate::{
    domain::{InstanceName, ServiceName},
    policy::pace::{PaceSums, USUAL_PERCENT},
    wire::{ObservedPace, PaceReport, PaceTable},
};

/// Time between two reports to a controller.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Most upstreams in one report, which bounds it to about 3 KB. Those with most requests go first; the others are reported
/// later.
const MAX_REPORTED: usize = 48;

type Observed = HashMap<(ServiceName, InstanceName), PaceSums>;

/// What this gateway knows of the speeds of upstreams.
#[derive(Debug, Default)]
pub(super) struct Paces {
    is_enabled: bool,
    reports: Mutex<Reports>,
    held: ArcSwap<Held>,
}

#[derive(Debug, Default)]
struct Reports {
    /// What was observed and is in no report yet.
    observed: Observed,
    /// The last report with its number, from one.
    last: Arc<[PaceReport]>,
    number: u64,
    made_at: Option<Instant>,
    /// Number of the last report that each controller was sent.
    sent: HashMap<String, u64>,
}

#[derive(Clone, Debug, Default)]
struct Held {
    version: u64,
    /// Speeds in percent that differ from the usual one.
    percents: HashMap<InstanceName, u32>,
    told_at: Option<Instant>,
}

impl Paces {
    /// Starts with all upstreams at the usual speed; nothing is reported or applied unless it is enabled.
    pub(super) fn new(is_enabled: bool) -> Self {
        Self {
            is_enabled,
            ..Self::default()
        }
    }

    /// Returns whether speeds are learned and used.
    pub(super) fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Records how long an upstream took for a unit of work.
    pub(super) fn record(&self, upstream: &Upstream, time: Duration) {
        if !self.is_enabled {
            return;
        }
        let load = upstream.reported_load();
        let key = (upstream.service.clone(), upstream.target.instance.clone());
        let mut reports = self.reports();
        reports.observed.entry(key).or_default().record(time, load);
    }

    /// Returns the report that a controller was not sent yet.
    pub(super) fn report_to(&self, controller: &str, now: Instant) -> Vec<PaceReport> {
        let mut reports = self.reports();
        let is_due = reports
            .made_at
            .is_none_or(|at| now.duration_since(at) >= REPORT_INTERVAL);
        if is_due && !reports.observed.is_empty() {
            let observed = mem::take(&mut reports.observed);
            let (report, rest) = make_report(observed);
            reports.last = report;
            reports.observed = rest;
            reports.number += 1;
            reports.made_at = Some(now);
        }
        let number = reports.number;
        match reports.sent.insert(controller.to_owned(), number) {
            Some(sent) if sent == number => Vec::new(),
            _ => reports.last.to_vec(),
        }
    }

    /// Returns the version of the speeds in force, for the controllers; `None` if none are used.
    pub(super) fn held_version(&self) -> Option<u64> {
        self.is_enabled.then(|| self.held.load().version)
    }

    /// Applies the speeds that the leader tells.
    pub(super) fn apply(&self, table: &PaceTable, now: Instant) {
        if !self.is_enabled {
            return;
        }
        let mut held = match table.is_delta {
            true => Held::clone(&self.held.load()),
            false => Held::default(),
        };
        for row in &table.rows {
            let instance = InstanceName::from(row.instance.as_str());
            match row.percent {
                0 | USUAL_PERCENT => held.percents.remove(&instance),
                percent => held.percents.insert(instance, percent),
            };
        }
        held.version = table.version;
        held.told_at = Some(now);
        self.held.store(Arc::new(held));
    }

    /// Returns the speed of an upstream in percent of its service's mean.
    pub(super) fn percent(&self, instance: &InstanceName) -> u32 {
        let held = self.held.load();
        held.percents
            .get(instance)
            .copied()
            .unwrap_or(USUAL_PERCENT)
    }

    /// Returns the time since the leader last changed the speeds; `None` if it has told none.
    pub(super) fn age(&self, now: Instant) -> Option<Duration> {
        let told_at = self.held.load().told_at?;
        Some(now.duration_since(told_at))
    }

    fn reports(&self) -> MutexGuard<'_, Reports> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns a report of the upstreams with most requests, and what is left for the next one.
fn make_report(observed: Observed) -> (Arc<[PaceReport]>, Observed) {
    let mut all: Vec<_> = observed.into_iter().collect();
    all.sort_unstable_by_key(|(_, sums)| Reverse(sums.count as u64));
    let rest = all.split_off(all.len().min(MAX_REPORTED));
    let mut by_service: BTreeMap<ServiceName, Vec<ObservedPace>> = BTreeMap::new();
    for ((service, instance), sums) in all {
        let observed = ObservedPace::new(instance.to_string(), &sums);
        by_service.entry(service).or_default().push(observed);
    }
    let reports = by_service
        .into_iter()
        .map(|(service, upstreams)| PaceReport {
            service: service.to_string(),
            upstreams,
        });
    (reports.collect(), rest.into_iter().collect())
}
