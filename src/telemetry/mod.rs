//! Logs and metrics of a process. docs/METRICS.md lists the metrics.

mod export;
mod histogram;
mod logging;
mod recorder;
mod serve;

pub use logging::{LogGuard, start_logging};
pub use recorder::RequestOutcome;
pub use serve::serve_metrics;

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use crate::domain::{AccountName, Money, RefusalKind, TierName};
use export::Exporter;
use recorder::{AccountRecorder, ProcessRecorder};

/// The metrics of a process; clones share them. Recording takes no lock.
#[derive(Clone, Debug)]
pub struct Metrics {
    recorder: Arc<ProcessRecorder>,
    exporter: Arc<Exporter>,
}

impl Metrics {
    /// Creates the metrics of a process and starts the thread that exports them.
    ///
    /// # Errors
    ///
    /// Fails if the metrics cannot be registered or the thread cannot be started.
    pub fn new() -> anyhow::Result<Self> {
        let recorder = Arc::default();
        let exporter = Arc::new(Exporter::start(&recorder)?);
        Ok(Self { recorder, exporter })
    }

    /// Returns the metrics of an account. Callers get them once and keep them with the account, so
    /// that recording needs no lookup.
    pub fn for_account(&self, account: &AccountName, tier: &TierName) -> AccountMetrics {
        AccountMetrics(self.recorder.account(account, tier))
    }

    /// Counts a request that was refused or failed.
    pub fn count_refusal(&self, kind: RefusalKind) {
        self.recorder.count_refusal(kind);
    }

    /// Records the time from the proposal of a log entry to its commit.
    pub fn record_commit(&self, duration: Duration) {
        self.recorder.commit.record(duration);
    }

    /// Records the time to write a batch of log entries to disk and sync it.
    pub fn record_sync(&self, duration: Duration) {
        self.recorder.sync.record(duration);
    }

    /// Registers a counter of rare events. Register each name only once in a process.
    pub fn register_counter(&self, name: &'static str, help: &'static str) -> Counter {
        self.register_labelled_counter(name, help, &[])
    }

    /// Registers one of several counters that share a name and differ in their labels.
    pub fn register_labelled_counter(
        &self,
        name: &'static str,
        help: &'static str,
        labels: &[(&'static str, &'static str)],
    ) -> Counter {
        let counter = Counter::default();
        let count = Arc::clone(&counter.0);
        let read = move || count.load(Ordering::Relaxed);
        self.exporter.register_counter(name, help, labels, read);
        counter
    }

    /// Registers a counter whose value is kept elsewhere and read at each scrape. Register each name only
    /// once in a process.
    pub fn register_counter_callback(
        &self,
        name: &'static str,
        help: &'static str,
        read: impl Fn() -> u64 + Send + Sync + 'static,
    ) {
        self.exporter.register_counter(name, help, &[], read);
    }

    /// Registers a gauge that is read at each scrape. Register each name only once in a process.
    pub fn register_gauge(
        &self,
        name: &'static str,
        help: &'static str,
        read: impl Fn() -> u64 + Send + Sync + 'static,
    ) {
        self.exporter.register_gauge(name, help, read);
    }

    /// Registers a gauge with one value for each value of a label, read at each scrape. Register each
    /// name only once in a process.
    pub fn register_labelled_gauge(
        &self,
        name: &'static str,
        help: &'static str,
        label: &'static str,
        read: impl Fn() -> Vec<(String, f64)> + Send + Sync + 'static,
    ) {
        self.exporter
            .register_labelled_gauge(name, help, label, read);
    }

    /// Returns the metrics in the Prometheus text format, for `GET /metrics`. The text is empty if they
    /// cannot be encoded.
    pub fn render(&self) -> String {
        self.exporter.render(&self.recorder).unwrap_or_else(|e| {
            log::warn!("metrics: could not be encoded: {e:#}.");
            String::new()
        })
    }
}

/// A monotonic counter; clones share its value.
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
pub struct AccountMetrics(Arc<AccountRecorder>);

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
        self.0.count_outcome(outcome);
    }

    /// Adds prompt and answer tokens that an engine computed again because their cache entries were
    /// lost or held by another instance.
    pub fn add_recomputed_tokens(&self, count: u64) {
        self.0.recomputed_tokens.fetch_add(count, Ordering::Relaxed);
    }

    /// Adds to the account's spending. A negative amount adds nothing, since the counter is
    /// monotonic.
    pub fn add_spending(&self, amount: Money) {
        let micros = u64::try_from(amount.0).unwrap_or(0);
        self.0.spent_micros.fetch_add(micros, Ordering::Relaxed);
    }
}
