//! Graceful shutdown of a gateway: how long it stays, and which requests it still takes.
//!
//! Callers keep the addresses that they were given for a while, so a gateway that leaves has to serve
//! them after it was withdrawn from the addresses. It takes a request only if that ends before the
//! process does: an answer that is cut may have run and cannot be repeated everywhere, while a request
//! that is refused at once goes to another gateway. See docs/DECISIONS.md, "Leaving gateways".

use std::{collections::HashMap, mem, sync::Arc, time::Duration};

/// Callers may keep addresses for this many times as long as they are told. From the users' pages.
const MAX_ADDRESS_KEEP_FACTOR: u32 = 3;
/// Time after the beginning of a shutdown in which callers may still be given the address: a directory
/// may take a second to answer a caller, and hears of the shutdown in the meantime.
const WITHDRAWAL_TIME: Duration = Duration::from_millis(1000);
/// Time before the shutdown limit at which open answers are cut, so that the process ends within the limit.
const EXIT_TIME: Duration = Duration::from_millis(600);
/// Part of the shutdown limit that [`EXIT_TIME`] may take at most.
const MAX_EXIT_FRACTION: f64 = 0.5;
/// Time in which the end of an answer reaches its caller, and an idle connection is closed.
const CLOSE_TIME: Duration = Duration::from_millis(100);
/// First part of a shutdown in which a request is also taken if requests like it have been short. Later
/// too little time is left for one that takes longer than all before it, so only deadlines count.
const ESTIMATES_FRACTION: f64 = 3.0 / 8.0;
/// A request is expected to take up to this many times as long as the longest recent one of its route, and
/// [`ESTIMATE_SLACK`] more.
const ESTIMATE_FACTOR: u32 = 2;
const ESTIMATE_SLACK: Duration = Duration::from_millis(500);
/// Time for which the longest request of a route is remembered, at least.
const ESTIMATE_WINDOW: Duration = Duration::from_secs(60);
/// Retry delay of a refused request if callers may be given other gateways.
const OTHER_GATEWAY_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Retry delay of a refused request if there is no other gateway: one has to start first.
const RESTART_RETRY_AFTER: Duration = Duration::from_millis(1000);

/// The course of a shutdown. All times count from its beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownPlan {
    stay: Duration,
    close: Duration,
    cut: Duration,
    estimates_end: Duration,
}

/// A request that a gateway has not passed on yet.
#[derive(Clone, Copy, Debug)]
pub struct PendingRequest {
    /// Time until its deadline, after which its caller gets no answer.
    pub time_left: Duration,
    /// Longest recent time of a request of its route, if one ended recently.
    pub longest: Option<Duration>,
}

/// What a gateway that leaves does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Passes it on.
    Take,
    /// Answers that it has not run and may be sent again after the duration.
    Refuse(Duration),
}

impl ShutdownPlan {
    /// Plans a shutdown that takes up to `limit`, of a gateway whose address callers may keep for `address_ttl`.
    pub fn new(limit: Duration, address_ttl: Duration) -> Self {
        let cut = limit - EXIT_TIME.min(limit.mul_f64(MAX_EXIT_FRACTION));
        let close = cut.saturating_sub(CLOSE_TIME);
        let kept = address_ttl.saturating_mul(MAX_ADDRESS_KEEP_FACTOR);
        Self {
            stay: WITHDRAWAL_TIME.saturating_add(kept).min(close),
            close,
            cut,
            estimates_end: limit.mul_f64(ESTIMATES_FRACTION),
        }
    }

    /// Returns until when callers may use the address, so that an idle gateway must not end.
    pub fn stay(&self) -> Duration {
        self.stay
    }

    /// Returns when the gateway stops to accept connections even if requests are in progress.
    pub fn close(&self) -> Duration {
        self.close
    }

    /// Returns when answers that have not ended are cut.
    pub fn cut(&self) -> Duration {
        self.cut
    }

    /// Decides on a request at the time `elapsed`, while callers may be given `other_gateways`.
    pub fn admit(
        &self,
        elapsed: Duration,
        req: &PendingRequest,
        other_gateways: usize,
    ) -> Admission {
        let left = self.close.saturating_sub(elapsed);
        let expected = req
            .longest
            .filter(|_| elapsed <= self.estimates_end)
            .map(|longest| longest.saturating_mul(ESTIMATE_FACTOR) + ESTIMATE_SLACK);
        let needed = expected.map_or(req.time_left, |expected| expected.min(req.time_left));
        match (needed <= left, other_gateways) {
            (true, _) => Admission::Take,
            (false, 0) => Admission::Refuse(RESTART_RETRY_AFTER),
            (false, _) => Admission::Refuse(OTHER_GATEWAY_RETRY_AFTER),
        }
    }
}

/// Remembers the longest recent time of a request of each route.
#[derive(Debug, Default)]
pub struct LongestTimes {
    current: HashMap<Arc<str>, Duration>,
    previous: HashMap<Arc<str>, Duration>,
    /// Number of the current window.
    window: u64,
}

impl LongestTimes {
    /// Records the time of a request of a route that ended at `now`.
    pub fn record(&mut self, route: &Arc<str>, time: Duration, now: Duration) {
        self.advance(now);
        match self.current.get_mut(route) {
            Some(longest) => *longest = (*longest).max(time),
            None => drop(self.current.insert(Arc::clone(route), time)),
        }
    }

    /// Returns the longest time that was recorded for a route within one to two windows before `now`.
    pub fn longest(&mut self, route: &str, now: Duration) -> Option<Duration> {
        self.advance(now);
        let windows = [&self.current, &self.previous];
        windows.iter().filter_map(|w| w.get(route)).max().copied()
    }

    fn advance(&mut self, now: Duration) {
        let window = now.as_secs() / ESTIMATE_WINDOW.as_secs();
        if window <= self.window {
            return;
        }
        self.previous = mem::take(&mut self.current);
        if window > self.window + 1 {
            self.previous.clear();
        }
        self.window = window;
    }
}
