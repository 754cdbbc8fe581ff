//! The limits that upstreams stated to gateways, merged into one for the list that all gateways get.

use std::{collections::HashMap, time::Duration};

use crate::{
    policy::rate_limit::Statement,
    wire::{UpstreamLimitReport, UpstreamRow, to_requests_per_1000_s},
};

/// Least time between two changes of one upstream's limit in the list. Every change is sent to all gateways, so an
/// upstream that states another limit with each response must not cause a change each time.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// Upstreams whose statements are kept. A controller that does not lead cannot tell which are still listed.
const MAX_UPSTREAMS: usize = 4096;

/// The newest statement of each upstream that ever stated a limit.
#[derive(Debug, Default)]
pub struct StatedLimits {
    upstreams: HashMap<String, StatedLimit>,
}

#[derive(Debug, Default)]
struct StatedLimit {
    statement: Statement,
    /// The limit in the list, in requests per 1,000 seconds, and when it last changed.
    listed: Option<u64>,
    changed_at: Option<Duration>,
}

impl StatedLimit {
    /// Puts the stated limit into the list if that is due. Returns whether the list changed.
    fn refresh(&mut self, now: Duration) -> bool {
        let stated = self.statement.limit.map(to_requests_per_1000_s);
        let is_due = |at| now.saturating_sub(at) >= MIN_CHANGE_INTERVAL;
        if stated == self.listed || !self.changed_at.is_none_or(is_due) {
            return false;
        }
        self.listed = stated;
        self.changed_at = Some(now);
        true
    }
}

impl StatedLimits {
    /// Merges the statements that a gateway reports. Returns the upstreams whose limits in the list changed, each with
    /// its requests per 1,000 seconds.
    pub fn record(
        &mut self,
        now: Duration,
        reports: &[UpstreamLimitReport],
    ) -> Vec<(String, Option<u64>)> {
        for report in reports {
            if !self.upstreams.contains_key(&report.instance) {
                self.make_room();
            }
            let known = self.upstreams.entry(report.instance.clone()).or_default();
            known.statement.update(report.statement(now));
        }
        let changed = self.upstreams.iter_mut().filter_map(|(instance, known)| {
            let is_changed = known.refresh(now);
            is_changed.then(|| (instance.clone(), known.listed))
        });
        changed.collect()
    }

    /// Returns the limit of an upstream in the list, in requests per 1,000 seconds.
    pub fn listed(&self, instance: &str) -> Option<u64> {
        self.upstreams.get(instance)?.listed
    }

    /// Forgets the upstreams that are not in the list.
    pub fn retain_listed(&mut self, rows: &[UpstreamRow]) {
        if !self.upstreams.is_empty() {
            self.upstreams
                .retain(|instance, _| rows.iter().any(|row| row.instance == *instance));
        }
    }

    /// Forgets the upstream with the oldest statement if there are too many.
    fn make_room(&mut self) {
        if self.upstreams.len() < MAX_UPSTREAMS {
            return;
        }
        let all = self.upstreams.iter();
        let oldest = all.min_by_key(|(_, known)| known.statement.received);
        if let Some(instance) = oldest.map(|(instance, _)| instance.clone()) {
            self.upstreams.remove(&instance);
        }
    }
}
