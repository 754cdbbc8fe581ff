//! Logs and metrics of a process.

mod logging;

pub use logging::start_logging;

use std::time::Duration;

use crate::domain::{AccountName, Money, RefusalKind, TierName};

/// The metrics of a process; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Metrics {}

impl Metrics {
    /// Makes the metrics of a process.
    pub fn new() -> anyhow::Result<Self> {
        Ok(Self::default())
    }

    /// Returns handles for an account, made once and kept beside the account, so that recording
    /// looks nothing up.
    pub fn account(&self, account: &AccountName, tier: &TierName) -> AccountMetrics {
        let _ = (account, tier);
        AccountMetrics::default()
    }

    /// Counts a refusal.
    pub fn refusal(&self, kind: RefusalKind) {
        let _ = kind;
    }

    /// Records how long an entry took from proposal to commit.
    pub fn commit(&self, duration: Duration) {
        let _ = duration;
    }

    /// Returns the text for `GET /metrics`.
    pub fn render(&self) -> String {
        String::new()
    }
}

/// The metrics of one account.
#[derive(Clone, Debug, Default)]
pub struct AccountMetrics {}

impl AccountMetrics {
    /// Records the time from a request's arrival to its first token.
    pub fn first_token(&self, duration: Duration) {
        let _ = duration;
    }

    /// Records the time between two tokens.
    pub fn between_tokens(&self, duration: Duration) {
        let _ = duration;
    }

    /// Records the time that a request waited for admission.
    pub fn queue_wait(&self, duration: Duration) {
        let _ = duration;
    }

    /// Counts prompt and answer tokens that an engine computed again because cached work was lost
    /// or elsewhere.
    pub fn recomputed_tokens(&self, count: u64) {
        let _ = count;
    }

    /// Adds to the account's spending.
    pub fn spending(&self, amount: Money) {
        let _ = amount;
    }
}
