//! Decides whether a failed attempt is repeated, and when.
//!
//! Repeated attempts are paid from a budget that grows with the requests of the service, so that a
//! lost zone does not multiply the load on the zones that remain. See docs/DECISIONS.md, "Retries".

use std::{collections::VecDeque, time::Duration};

use crate::ports::{Sent, UpstreamErrorKind};

/// Part of a repeated attempt that each request earns.
const RETRIES_EARNED_PER_REQUEST: f64 = 0.1;

/// Most repeated attempts that a budget can save up.
const MAX_SAVED_RETRIES: f64 = 20.0;

/// Repeated attempts that a new budget holds, so that the first failure can be repeated.
const INITIAL_SAVED_RETRIES: f64 = 3.0;

/// Most attempts for one request, the first one included.
const MAX_ATTEMPTS: u32 = 3;

/// Mean delay before the second attempt; it doubles with each further one.
const BASE_DELAY: Duration = Duration::from_millis(10);

/// A failed attempt.
#[derive(Clone, Debug)]
pub struct Failure {
    /// What went wrong.
    pub kind: UpstreamErrorKind,
    /// Whether the request can have arrived.
    pub sent: Sent,
    /// Whether the request may be repeated without harm.
    pub idempotent: bool,
    /// Attempts made so far, this one included.
    pub attempts: u32,
    /// Time left until the request's deadline.
    pub remaining: Duration,
    /// A random number from zero to one, for the jitter.
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

/// A service's budget of repeated attempts, as a fraction of its requests.
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
    /// Counts a request, which earns a part of a repeated attempt.
    pub fn record_request(&mut self) {
        self.saved = (self.saved + RETRIES_EARNED_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Decides about a failure; a repeated attempt is paid from the budget.
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

/// Returns whether another attempt can do no harm and may have another outcome.
fn is_retryable(failure: &Failure) -> bool {
    let is_safe = failure.idempotent || failure.sent == Sent::No;
    is_safe && failure.kind != UpstreamErrorKind::Rejected
}

/// Returns half to one and a half times a delay that doubles with each attempt.
fn backoff(failure: &Failure) -> Duration {
    let doublings = failure.attempts.saturating_sub(1).min(MAX_ATTEMPTS);
    let mean = BASE_DELAY * 2_u32.pow(doublings);
    mean.mul_f64(0.5 + failure.random.clamp(0.0, 1.0))
}

/// Part of an operator's ratio that is used, since requests and attempts of one window are counted at
/// slightly different times by upstreams and gateways.
const USED_RATIO_FRACTION: f64 = 0.75;
/// Part of an operator's slack that is used, for the same reason.
const USED_SLACK_FRACTION: f64 = 0.5;

/// How many further attempts all gateways together may make for a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetRule {
    /// Further attempts as a part of the requests in a window.
    pub ratio: f64,
    /// Further attempts besides.
    pub slack: f64,
    /// The window, which slides.
    pub window: Duration,
}

/// One gateway's part of a service's budget over a sliding window. The parts add up to the whole
/// without a message, since each is counted from the gateway's own requests.
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

    /// Takes one further attempt out. Returns whether there was one, if the slack is shared among some
    /// gateways.
    pub fn try_spend(&mut self, rule: &RetryBudgetRule, gateways: usize, now: Duration) -> bool {
        if self.available(rule, gateways, now) < 1.0 {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Returns how many further attempts may be made now.
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
