//! Whether a gateway reaches an upstream directly, when it asks other gateways to connect it, and which ones. Each pair of
//! gateway and upstream is decided on its own. See docs/DECISIONS.md, "Gateways that do not reach the upstreams".

use std::time::Duration;

/// Silence of an upstream, with requests sent to it, after which it is probed.
const SUSPICIOUS_SILENCE: Duration = Duration::from_millis(400);
/// Minimum interval between the probes of an upstream.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of doublings of [`PROBE_INTERVAL`] while neither this gateway nor another one reaches the upstream.
const MAX_PROBE_DOUBLINGS: u32 = 2;
/// Multiple of the mean number of carried connections from which on a helper counts as loaded.
const LOADED_FACTOR: u64 = 2;
/// Number of carried connections up to which no helper counts as loaded.
const LIGHT_LOAD: u64 = 16;

/// On which ways a new connection to an upstream is opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plan {
    /// Directly; other gateways are asked only if that fails or takes long.
    Direct,
    /// Directly and through another gateway at once, since it is not known which way works.
    Both,
    /// Through another gateway, on a connection that is open already if there is one. The direct way is tried too, so that
    /// its return is noticed.
    Tunnel,
}

/// What a gateway knows of its own way to one upstream. All times come from one monotonic clock.
#[derive(Clone, Debug, Default)]
pub struct DirectReach {
    /// Whether another gateway reached the upstream while this one did not.
    is_cut_off: bool,
    /// Whether the last direct connection could not be opened, or not soon.
    has_failed: bool,
    /// When the first request was sent directly since the last sign of life.
    waiting_since: Option<Duration>,
    probed_at: Option<Duration>,
    /// Probes in a row that reached the upstream on no way, up to [`MAX_PROBE_DOUBLINGS`].
    failed_probes: u32,
}

impl DirectReach {
    /// Returns on which ways to open a connection.
    pub fn plan(&self) -> Plan {
        match (self.is_cut_off, self.has_failed) {
            (true, _) => Plan::Tunnel,
            (false, true) => Plan::Both,
            (false, false) => Plan::Direct,
        }
    }

    /// Returns whether only other gateways reach the upstream.
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// Returns whether no way to the upstream is known.
    pub fn is_lost(&self) -> bool {
        self.has_failed && !self.is_cut_off
    }

    /// Records that a request is sent directly now.
    pub fn record_send(&mut self, now: Duration) {
        self.waiting_since.get_or_insert(now);
    }

    /// Records a sign of life on an open direct connection. It does not show that connections can be opened.
    pub fn record_activity(&mut self) {
        self.waiting_since = None;
    }

    /// Records that a direct connection was opened. Returns whether the upstream was cut off before.
    pub fn record_connected(&mut self) -> bool {
        std::mem::take(self).is_cut_off
    }

    /// Records that a direct connection could not be opened, or not soon.
    pub fn record_connect_failure(&mut self) {
        self.has_failed = true;
    }

    /// Records that another gateway opened a connection. Returns whether the upstream counts as cut off from now on, which
    /// needs a direct connection that failed.
    pub fn record_tunnel(&mut self) -> bool {
        self.failed_probes = 0;
        let is_new = self.has_failed && !self.is_cut_off;
        self.is_cut_off |= is_new;
        is_new
    }

    /// Records that a probe reached the upstream on no way.
    pub fn record_failed_probe(&mut self) {
        self.failed_probes = (self.failed_probes + 1).min(MAX_PROBE_DOUBLINGS);
    }

    /// Returns whether the upstream is to be probed now.
    pub fn needs_probe(&self, now: Duration) -> bool {
        let interval = PROBE_INTERVAL * 2_u32.pow(self.failed_probes);
        let is_early = self
            .probed_at
            .is_some_and(|at| now.saturating_sub(at) < interval);
        let is_silent = self
            .waiting_since
            .is_some_and(|since| now.saturating_sub(since) >= SUSPICIOUS_SILENCE);
        !is_early && (self.is_cut_off || self.has_failed || is_silent)
    }

    /// Returns when the last probe began.
    pub fn probed_at(&self) -> Option<Duration> {
        self.probed_at
    }

    /// Counts a probe as begun.
    pub fn begin_probe(&mut self, now: Duration) {
        self.probed_at = Some(now);
    }
}

/// What is known of another gateway's own way to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HelperReach {
    /// It opened the last connection to the upstream that this gateway asked for.
    Reached,
    /// Nothing.
    Unknown,
    /// It recently failed to reach the upstream.
    Unreachable,
}

/// A gateway that may open a connection for this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Helper {
    /// Its own way to the upstream.
    pub reach: HelperReach,
    /// Whether it is in the availability zone of the upstream, so that the way through it crosses no more zones than the
    /// direct one.
    pub is_near_upstream: bool,
    /// Whether it recently could not be asked, or refused for its own sake.
    pub has_failed: bool,
    /// Number of connections that it carries for others, as it last said; zero if that is not known.
    pub carried: u32,
    /// Spreads the requests over the helpers; drawn anew for each connection.
    pub random: u32,
}

/// Returns the indexes of the helpers in the order in which they are asked, without those that do not reach the upstream.
pub fn rank_helpers(helpers: &[Helper]) -> Vec<usize> {
    let sum: u64 = helpers.iter().map(|helper| u64::from(helper.carried)).sum();
    let mean = sum / (helpers.len() as u64).max(1);
    let loaded = (mean * LOADED_FACTOR).max(LIGHT_LOAD);
    let mut order: Vec<usize> = (0..helpers.len())
        .filter(|at| helpers[*at].reach != HelperReach::Unreachable)
        .collect();
    order.sort_by_key(|at| {
        let helper = &helpers[*at];
        let is_loaded = u64::from(helper.carried) > loaded;
        (
            helper.has_failed,
            is_loaded,
            helper.reach,
            !helper.is_near_upstream,
            helper.random,
        )
    });
    order
}
