//! Decides whether a failed attempt is retried, and when.
//!
//! Retries are paid from a retry budget that grows with the requests of the service, so that a lost
//! zone does not multiply the load on the zones that remain. See docs/DECISIONS.md, "Retries".

use std::{collections::VecDeque, time::Duration};

use crate::ports::{Sent, UpstreamErrorKind};

/// Retries that each request adds to the budget.
const RETRIES_EARNED_PER_REQUEST: f64 = 0.1;

/// Most retries that a budget can save up.
const MAX_SAVED_RETRIES: f64 = 20.0;

/// Retries that a new budget holds, so that the first failures can be retried.
const INITIAL_SAVED_RETRIES: f64 = 3.0;

/// Most attempts for one request, including the first.
const MAX_ATTEMPTS: u32 = 3;

/// Mean backoff before the second attempt; it doubles with each further attempt.
const BASE_DELAY: Duration = Duration::from_millis(10);

/// A failed attempt.
#[derive(Clone, Debug)]
pub struct Failure {
    /// What went wrong.
    pub kind: UpstreamErrorKind,
    /// Whether the upstream may have received the request.
    pub sent: Sent,
    /// Whether the request is idempotent.
    pub idempotent: bool,
    /// Attempts made so far, including this one.
    pub attempts: u32,
    /// Time left until the request's deadline.
    pub remaining: Duration,
    /// Random number from zero to one, for the jitter.
    pub random: f64,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// Try another instance after a delay, on a new connection.
    After(Duration),
    /// Give the caller its final answer now.
    GiveUp,
}

/// A service's retry budget, as a fraction of its requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved: INITIAL_SAVED_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Counts a request, which adds `RETRIES_EARNED_PER_REQUEST` to the budget.
    pub fn record_request(&mut self) {
        self.saved = (self.saved + RETRIES_EARNED_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Decides about a failure, and takes a retry out of the budget if it grants one.
    pub fn decide(&mut self, failure: &Failure) -> Retry {
        let delay = backoff(failure);
        let is_exhausted = failure.attempts >= MAX_ATTEMPTS || delay >= failure.remaining;
        if is_exhausted || !is_retryable(failure) || self.saved < 1.0 {
            return Retry::GiveUp;
        }
        self.saved -= 1.0;
        Retry::After(delay)
    }
}

/// Returns whether another attempt is safe and may have another outcome.
fn is_retryable(failure: &Failure) -> bool {
    let is_safe = failure.idempotent || failure.sent == Sent::No;
    is_safe && failure.kind != UpstreamErrorKind::Rejected
}

/// Returns an exponential backoff with a jitter of half to one and a half times the mean.
fn backoff(failure: &Failure) -> Duration {
    let doublings = failure.attempts.saturating_sub(1).min(MAX_ATTEMPTS);
    let mean = BASE_DELAY * 2_u32.pow(doublings);
    mean.mul_f64(0.5 + failure.random.clamp(0.0, 1.0))
}

/// Fraction of the operator's ratio that is used, since upstreams and gateways count the requests
/// and attempts of one window at slightly different times.
const USED_RATIO_FRACTION: f64 = 0.75;
/// Fraction of the operator's slack that is used, for the same reason.
const USED_SLACK_FRACTION: f64 = 0.5;

/// How many retries all gateways together may make for a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetRule {
    /// Retries as a fraction of the requests in a window.
    pub ratio: f64,
    /// Retries allowed in addition.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// One gateway's part of a service's retry budget over a sliding window. Each gateway counts its
/// own requests, so the parts add up to the whole without coordination.
#[derive(Clone, Debug, Default)]
pub struct WindowRetryBudget {
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

impl WindowRetryBudget {
    /// Counts a request.
    pub fn record_request(&mut self, rule: &RetryBudgetRule, now: Duration) {
        self.remove_expired(rule, now);
        self.requests.push_back(now);
    }

    /// Takes one retry out of the budget. Returns whether there was one, with the slack divided
    /// among `gateways` gateways.
    pub fn try_spend(&mut self, rule: &RetryBudgetRule, gateways: usize, now: Duration) -> bool {
        if self.available(rule, gateways, now) < 1.0 {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Returns how many retries are available now.
    pub fn available(&mut self, rule: &RetryBudgetRule, gateways: usize, now: Duration) -> f64 {
        self.remove_expired(rule, now);
        let earned = rule.ratio * USED_RATIO_FRACTION * self.requests.len() as f64;
        let slack = rule.slack * USED_SLACK_FRACTION / gateways.max(1) as f64;
        earned + slack - self.retries.len() as f64
    }

    fn remove_expired(&mut self, rule: &RetryBudgetRule, now: Duration) {
        for times in [&mut self.requests, &mut self.retries] {
            let is_old = |at: &Duration| now.saturating_sub(*at) > rule.window;
            while times.front().is_some_and(is_old) {
                times.pop_front();
            }
        }
    }
}
