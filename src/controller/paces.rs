//! The speeds of upstreams, learned from what all gateways observe. Every controller gets every report, so that a new
//! leader knows them; only the leader tells them, so that all gateways place by the same ones. See docs/design/PACES.md.

use std::{collections::BTreeMap, time::Duration};

use super::core::Core;
use crate::{
    domain::{InstanceName, ServiceName},
    policy::pace::{PaceChange, PaceLearner, USUAL_PERCENT},
    ports::Clock,
    wire::{PaceReport, PaceRow, PaceTable},
};

/// Shortest time between two estimates, which bounds how often a speed changes.
const ESTIMATE_INTERVAL: Duration = Duration::from_secs(2);
/// Most speeds in one reply, about 8 KB; the next replies carry the others.
const MAX_ROWS: usize = 256;
/// Speeds from which those that became usual again are dropped and every gateway gets all others anew. Upstreams that are
/// gone leave one each.
const MAX_SPEEDS: usize = 8192;

/// What a controller knows of the speeds of upstreams.
#[derive(Debug)]
pub struct Paces {
    learners: BTreeMap<ServiceName, PaceLearner>,
    /// Speeds that differ from the usual one or did so before, with the number of their last change.
    speeds: BTreeMap<InstanceName, Speed>,
    /// Number of the last change, and a random epoch that distinguishes the numbers of this process from those of
    /// another.
    change: u32,
    epoch: u32,
    estimated_at: Option<Duration>,
}

#[derive(Clone, Copy, Debug)]
struct Speed {
    percent: u32,
    change: u32,
}

impl Default for Paces {
    fn default() -> Self {
        Self {
            learners: BTreeMap::new(),
            speeds: BTreeMap::new(),
            change: 0,
            // Zero is the version of a gateway that holds none.
            epoch: rand::random_range(1..=u32::MAX),
            estimated_at: None,
        }
    }
}

impl Paces {
    /// Adds what a gateway observed, and returns the speeds that changed, with their services.
    pub fn handle_report(
        &mut self,
        now: Duration,
        reports: &[PaceReport],
    ) -> Vec<(ServiceName, PaceChange)> {
        for report in reports {
            let service = ServiceName::from(report.service.as_str());
            let learner = self.learners.entry(service).or_default();
            for observed in &report.upstreams {
                let sums = observed.sums();
                if sums.is_valid() {
                    learner.record(&observed.instance.as_str().into(), &sums, now);
                }
            }
        }
        if self
            .estimated_at
            .is_some_and(|at| now.saturating_sub(at) < ESTIMATE_INTERVAL)
        {
            return Vec::new();
        }
        self.estimated_at = Some(now);
        let mut changes = Vec::new();
        for (service, learner) in &mut self.learners {
            let changed = learner.update(now).into_iter();
            changes.extend(changed.map(|change| (service.clone(), change)));
        }
        for (_, changed) in &changes {
            self.change += 1;
            let speed = Speed {
                percent: changed.percent,
                change: self.change,
            };
            self.speeds.insert(changed.instance.clone(), speed);
        }
        if self.speeds.len() > MAX_SPEEDS {
            self.speeds
                .retain(|_, speed| speed.percent != USUAL_PERCENT);
            self.epoch = rand::random_range(1..=u32::MAX);
        }
        changes
    }

    /// Returns the speeds that a gateway with a version lacks, or `None` if it has all.
    pub fn changes_since(&self, held: u64) -> Option<PaceTable> {
        let (epoch, change) = ((held >> 32) as u32, held as u32);
        let is_delta = epoch == self.epoch && change <= self.change;
        let held = if is_delta { change } else { 0 };
        if is_delta && held == self.change {
            return None;
        }
        let all = self.speeds.iter();
        let mut newer: Vec<_> = all
            .filter(|(_, speed)| speed.change > held)
            .filter(|(_, speed)| is_delta || speed.percent != USUAL_PERCENT)
            .collect();
        newer.sort_unstable_by_key(|(_, speed)| speed.change);
        let told = match newer.get(MAX_ROWS) {
            Some(_) => newer[MAX_ROWS - 1].1.change,
            None => self.change,
        };
        let rows = newer
            .iter()
            .take(MAX_ROWS)
            .map(|(instance, speed)| PaceRow {
                instance: instance.to_string(),
                percent: speed.percent,
            });
        Some(PaceTable {
            version: (u64::from(self.epoch) << 32) | u64::from(told),
            is_delta,
            rows: rows.collect(),
        })
    }
}

/// Adds what a gateway observed, and logs the speeds that changed.
pub(super) fn record_report<T: Clock>(core: &Core<T>, reports: &[PaceReport]) {
    let now = core.now();
    let changes = core.followers().paces_mut().handle_report(now, reports);
    for (service, changed) in changes {
        log::info!(
            event = "upstream.pace", service:% = service, upstream:% = changed.instance,
            percent = changed.percent, before = changed.before, estimate:? = changed.estimate,
            requests = changed.requests, leads = core.leads();
            "controller: upstream {} works at {} % of its service's mean speed", changed.instance,
            changed.percent
        );
    }
}
