//! Whether a gateway reaches the upstreams of a service directly, and through which other gateways it can if it does not. See
//! docs/DECISIONS.md, "Gateways that do not reach the upstreams".

use std::time::Duration;

use crate::domain::InstanceName;

/// Silence of a service, with requests sent to it, after which its upstreams are probed.
const SUSPICIOUS_SILENCE: Duration = Duration::from_millis(400);
/// Number of upstreams to which no connection could be opened, with none opened in between, from which on others are probed.
const SUSPICIOUS_FAILURES: usize = 2;
/// Minimum interval between the probes of a service.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// What a gateway knows of its own connections to the upstreams of one service. All times come from one monotonic clock.
#[derive(Clone, Debug, Default)]
pub struct DirectReach {
    is_cut_off: bool,
    /// When the first request was sent since the last sign of life of any upstream.
    waiting_since: Option<Duration>,
    /// Upstreams to which no connection could be opened since one could be opened.
    failed: Vec<InstanceName>,
    probed_at: Option<Duration>,
}

impl DirectReach {
    /// Returns whether requests have to go through another gateway.
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Records that a request is sent now.
    pub fn record_send(&mut self, now: Duration) {
        self.waiting_since.get_or_insert(now);
    }

    /// Records a sign of life on an open connection. It does not show that connections can be opened.
    pub fn record_activity(&mut self) {
        self.waiting_since = None;
    }

    /// Records that a connection was opened. Returns whether the upstreams were out of reach before.
    pub fn record_connected(&mut self) -> bool {
        self.waiting_since = None;
        self.failed.clear();
        std::mem::take(&mut self.is_cut_off)
    }

    /// Records that no connection to an upstream could be opened.
    pub fn record_connect_failure(&mut self, instance: &InstanceName) {
        if self.failed.len() < SUSPICIOUS_FAILURES && !self.failed.contains(instance) {
            self.failed.push(instance.clone());
        }
    }

    /// Returns whether upstreams are to be probed now, and counts the probe as begun.
    pub fn begin_probe(&mut self, now: Duration) -> bool {
        let is_early = self
            .probed_at
            .is_some_and(|at| now.saturating_sub(at) < PROBE_INTERVAL);
        if is_early || !(self.is_cut_off || self.is_suspicious(now)) {
            return false;
        }
        self.probed_at = Some(now);
        true
    }

    /// Records that no probed upstream could be reached. Returns whether the upstreams count as out of reach from now on.
    pub fn record_failed_probe(&mut self, now: Duration) -> bool {
        let is_new = !self.is_cut_off && self.is_suspicious(now);
        self.is_cut_off |= is_new;
        is_new
    }

    fn is_suspicious(&self, now: Duration) -> bool {
        self.failed.len() >= SUSPICIOUS_FAILURES
            || self
                .waiting_since
                .is_some_and(|since| now.saturating_sub(since) >= SUSPICIOUS_SILENCE)
    }
}

/// A gateway that may open a connection for this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Helper {
    /// Whether it is in the availability zone of the upstream, so that the way through it crosses no more zones than the
    /// direct one.
    pub is_near_upstream: bool,
    /// Whether it recently failed to open a connection for this gateway.
    pub has_failed: bool,
    /// Spreads the requests over the helpers; drawn anew for each connection.
    pub random: u32,
}

/// Returns the indexes of the helpers in the order in which they are asked.
pub fn rank_helpers(helpers: &[Helper]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..helpers.len()).collect();
    order.sort_by_key(|at| {
        let helper = &helpers[*at];
        (helper.has_failed, !helper.is_near_upstream, helper.random)
    });
    order
}
