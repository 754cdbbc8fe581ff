//! Logs and metrics of a process. docs/METRICS.md lists the metrics.

mod cells;
mod export;
mod histogram;
mod logging;
mod serve;

pub use cells::RequestOutcome;
pub use logging::{LogGuard, start_logging};
pub use serve::serve_metrics;

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use crate::domain::{AccountName, Money, RefusalKind, TierName};
use cells::{AccountCells, Cells};
use export::Exporter;

/// The metrics of a process; clones share them. Recording takes no lock.
#[derive(Clone, Debug)]
pub struct Metrics {
    cells: Arc<Cells>,
    exporter: Arc<Exporter>,
}

impl Metrics {
    /// Makes the metrics of a process.
    pub fn new() -> anyhow::Result<Self> {
        let cells = Arc::default();
        let exporter = Arc::new(Exporter::start(&cells)?);
        Ok(Self { cells, exporter })
    }

    /// Returns handles for an account, made once and kept beside the account, so that recording
    /// looks nothing up.
    pub fn for_account(&self, account: &AccountName, tier: &TierName) -> AccountMetrics {
        AccountMetrics(self.cells.account(account, tier))
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, kind: RefusalKind) {
        self.cells.refusal(kind);
    }

    /// Records how long an entry took from proposal to commit.
    pub fn record_commit(&self, duration: Duration) {
        self.cells.commit.record(duration);
    }

    /// Records how long a write of log entries to the disk took, sync included.
    pub fn record_sync(&self, duration: Duration) {
        self.cells.sync.record(duration);
    }

    /// Makes a counter of rare events. Make each name once in a process.
    pub fn register_counter(&self, name: &'static str, help: &'static str) -> Counter {
        self.register_labelled_counter(name, help, &[])
    }

    /// Makes one of several counters with a name, told apart by their labels.
    pub fn register_labelled_counter(
        &self,
        name: &'static str,
        help: &'static str,
        labels: &[(&'static str, &'static str)],
    ) -> Counter {
        let counter = Counter::default();
        let cell = Arc::clone(&counter.0);
        let read = move || cell.load(Ordering::Relaxed);
        self.exporter.counter(name, help, labels, read);
        counter
    }

    /// Shows a count that is kept elsewhere, read at each scrape. Make each name once in a process.
    pub fn register_counter_callback(
        &self,
        name: &'static str,
        help: &'static str,
        read: impl Fn() -> u64 + Send + Sync + 'static,
    ) {
        self.exporter.counter(name, help, &[], read);
    }

    /// Shows a value that goes up and down, read at each scrape. Make each name once in a process.
    pub fn register_gauge(
        &self,
        name: &'static str,
        help: &'static str,
        read: impl Fn() -> u64 + Send + Sync + 'static,
    ) {
        self.exporter.gauge(name, help, read);
    }

    /// Shows values that go up and down, one for each value of a label, read at each scrape. Make each
    /// name once in a process.
    pub fn register_labelled_gauge(
        &self,
        name: &'static str,
        help: &'static str,
        label: &'static str,
        read: impl Fn() -> Vec<(String, f64)> + Send + Sync + 'static,
    ) {
        self.exporter.gauges(name, help, label, read);
    }

    /// Returns the text for `GET /metrics`.
    pub fn render(&self) -> String {
        self.exporter.render(&self.cells).unwrap_or_else(|e| {
            log::warn!("metrics: {e:#}.");
            String::new()
        })
    }
}

/// A counter that only grows; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Counter(Arc<AtomicU64>);

impl Counter {
    /// Counts one event.
    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

/// The metrics of one account; clones share them.
#[derive(Clone, Debug)]
pub struct AccountMetrics(Arc<AccountCells>);

impl AccountMetrics {
    /// Records the time from a request's arrival to its first token.
    pub fn record_first_token(&self, duration: Duration) {
        self.0.first_token.record(duration);
    }

    /// Records the time between two tokens.
    pub fn record_between_tokens(&self, duration: Duration) {
        self.0.between_tokens.record(duration);
    }

    /// Records the time that a request waited for admission.
    pub fn record_queue_wait(&self, duration: Duration) {
        self.0.queue_wait.record(duration);
    }

    /// Records the time from a request's arrival to the end of its answer.
    pub fn record_answer(&self, duration: Duration) {
        self.0.answer.record(duration);
    }

    /// Counts the end of a request of a published route.
    pub fn count_outcome(&self, outcome: RequestOutcome) {
        self.0.outcome(outcome);
    }

    /// Counts prompt and answer tokens that an engine computed again because cached work was lost
    /// or elsewhere.
    pub fn add_recomputed_tokens(&self, count: u64) {
        self.0.recomputed_tokens.fetch_add(count, Ordering::Relaxed);
    }

    /// Adds to the account's spending. A negative amount adds nothing, since the counter only
    /// grows.
    pub fn add_spending(&self, amount: Money) {
        let micros = u64::try_from(amount.0).unwrap_or(0);
        self.0.spent_micros.fetch_add(micros, Ordering::Relaxed);
    }
}
