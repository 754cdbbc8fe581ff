//! Decides whether a failed attempt is repeated, and when.

use std::time::Duration;

use crate::ports::{Sent, UpstreamErrorKind};

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
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Counts a request, which earns a part of a repeated attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + 0.1).min(10.0);
    }

    /// Decides about a failure; a repeated attempt is paid from the budget.
    pub fn decide(&mut self, failure: &Failure) -> Retry {
        let repeatable = failure.idempotent || failure.sent == Sent::No;
        if !repeatable || failure.attempts >= 3 || self.tokens < 1.0 {
            return Retry::GiveUp;
        }
        self.tokens -= 1.0;
        Retry::After(Duration::from_millis(10).mul_f64(failure.random))
    }
}
