//! The state of the gateway's shutdown.

use std::{
    sync::{Arc, Mutex, OnceLock, PoisonError},
    time::Duration,
};

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::errors::NotRun;
use crate::policy::shutdown::{Admission, LongestTimes, PendingRequest, ShutdownPlan};

/// Whether and how the gateway shuts down, and how long requests took before.
#[derive(Debug)]
pub(super) struct Shutdown {
    begun: OnceLock<Begun>,
    signal: CancellationToken,
    request_times: Arc<RequestTimes>,
}

#[derive(Clone, Copy, Debug)]
struct Begun {
    at: Instant,
    plan: ShutdownPlan,
}

impl Shutdown {
    pub(super) fn new() -> Self {
        Self {
            begun: OnceLock::new(),
            signal: CancellationToken::new(),
            request_times: Arc::new(RequestTimes {
                longest: Mutex::default(),
                origin: Instant::now(),
            }),
        }
    }

    /// Begins the shutdown, unless it has already begun. Returns when it began.
    pub(super) fn begin(&self, plan: ShutdownPlan) -> Instant {
        let at = Instant::now();
        let begun = self.begun.get_or_init(|| Begun { at, plan });
        self.signal.cancel();
        begun.at
    }

    /// Returns whether the shutdown has begun.
    pub(super) fn is_begun(&self) -> bool {
        self.begun.get().is_some()
    }

    /// Waits until the shutdown begins.
    pub(super) async fn begun(&self) {
        self.signal.cancelled().await;
    }

    /// Returns the time until open answers are cut; zero before the shutdown.
    pub(super) fn time_until_cut(&self, now: Instant) -> Duration {
        self.begun.get().map_or(Duration::ZERO, |begun| {
            (begun.at + begun.plan.cut()).saturating_duration_since(now)
        })
    }

    /// Checks that a request which has not run ends before the gateway does; `other_gateways` counts the other
    /// gateways that callers are given.
    ///
    /// # Errors
    ///
    /// Returns the reason to refuse the request if it may last longer.
    pub(super) fn check(
        &self,
        route: &str,
        deadline: Instant,
        other_gateways: impl FnOnce() -> usize,
    ) -> Result<(), NotRun> {
        let Some(begun) = self.begun.get() else {
            return Ok(());
        };
        let now = Instant::now();
        let req = PendingRequest {
            time_left: deadline.saturating_duration_since(now),
            longest: self.request_times.longest(route, now),
        };
        match begun.plan.admit(now - begun.at, &req, other_gateways()) {
            Admission::Take => Ok(()),
            Admission::Refuse(after) => Err(NotRun::Leaving(after)),
        }
    }

    /// Returns a guard that measures a request of a route from its arrival until it is dropped.
    pub(super) fn measure(&self, route: &Arc<str>, arrived: Instant) -> RequestTimer {
        RequestTimer {
            times: Arc::clone(&self.request_times),
            route: Arc::clone(route),
            arrived,
        }
    }
}

/// The longest times of requests, with the origin of their clock.
#[derive(Debug)]
struct RequestTimes {
    longest: Mutex<LongestTimes>,
    origin: Instant,
}

impl RequestTimes {
    fn longest(&self, route: &str, now: Instant) -> Option<Duration> {
        let mut longest = self.longest.lock().unwrap_or_else(PoisonError::into_inner);
        longest.longest(route, now - self.origin)
    }
}

/// Records the time of a request when it is dropped.
#[derive(Debug)]
pub(super) struct RequestTimer {
    times: Arc<RequestTimes>,
    route: Arc<str>,
    arrived: Instant,
}

impl Drop for RequestTimer {
    fn drop(&mut self) {
        let now = Instant::now();
        let longest = &self.times.longest;
        let mut longest = longest.lock().unwrap_or_else(PoisonError::into_inner);
        longest.record(&self.route, now - self.arrived, now - self.times.origin);
    }
}
