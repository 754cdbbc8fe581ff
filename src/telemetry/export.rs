//! Exports recorded metrics through the OpenTelemetry SDK in the Prometheus text format.

use std::{
    sync::{Arc, atomic::Ordering, mpsc},
    thread,
    time::Duration,
};

use anyhow::Context;
use opentelemetry::{
    KeyValue,
    metrics::{Histogram, Meter, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use super::recorder::{
    ANSWER_BUCKETS, AccountRecorder, BETWEEN_TOKENS_BUCKETS, COMMIT_BUCKETS, FIRST_TOKEN_BUCKETS,
    ProcessRecorder, QUEUE_WAIT_BUCKETS,
};

/// Time between two flushes to the SDK. Flushing regularly leaves little work for a scrape.
const FLUSH_INTERVAL: Duration = Duration::from_secs(1);

/// Exports metrics through the SDK. Dropping it stops the flush thread.
#[derive(Debug)]
pub(super) struct Exporter {
    registry: Registry,
    meter: Meter,
    histograms: Arc<Histograms>,
    _provider: SdkMeterProvider,
    /// Disconnects the channel on drop, which ends the flush thread.
    _stop_on_drop: mpsc::Sender<()>,
}

/// The SDK's histograms.
#[derive(Debug)]
struct Histograms {
    first_token: Histogram<f64>,
    between_tokens: Histogram<f64>,
    queue_wait: Histogram<f64>,
    answer: Histogram<f64>,
    commit: Histogram<f64>,
    sync: Histogram<f64>,
}

impl Exporter {
    /// Registers the instruments and starts the thread that flushes recorded values to them.
    pub(super) fn start(recorder: &Arc<ProcessRecorder>) -> anyhow::Result<Self> {
        let registry = Registry::new();
        let reader = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .scope_info_enabled(false)
            .build()
            .context("could not register the metrics")?;
        let provider = SdkMeterProvider::builder().with_reader(reader).build();
        let meter = provider.meter("flamingocroft");
        register_counters(&meter, recorder);
        let histograms = Arc::new(Histograms::new(&meter));
        let (stop_on_drop, stopped) = mpsc::channel();
        let flushed = Arc::clone(&histograms);
        let recorder = Arc::clone(recorder);
        thread::Builder::new()
            .name("metrics".to_owned())
            .spawn(move || {
                while stopped.recv_timeout(FLUSH_INTERVAL) == Err(mpsc::RecvTimeoutError::Timeout) {
                    flushed.flush(&recorder);
                }
            })
            .context("could not start the thread for metrics")?;
        Ok(Self {
            registry,
            meter,
            histograms,
            _provider: provider,
            _stop_on_drop: stop_on_drop,
        })
    }

    /// Registers a counter with fixed labels that is read at each scrape.
    pub(super) fn register_counter(
        &self,
        name: &'static str,
        help: &'static str,
        labels: &[(&'static str, &'static str)],
        read: impl Fn() -> u64 + Send + Sync + 'static,
    ) {
        let labels: Vec<_> = labels
            .iter()
            .map(|(key, value)| KeyValue::new(*key, *value))
            .collect();
        self.meter
            .u64_observable_counter(name)
            .with_description(help)
            .with_callback(move |observer| observer.observe(read(), &labels))
            .build();
    }

    /// Registers a gauge that is read at each scrape.
    pub(super) fn register_gauge(
        &self,
        name: &'static str,
        help: &'static str,
        read: impl Fn() -> u64 + Send + Sync + 'static,
    ) {
        self.meter
            .u64_observable_gauge(name)
            .with_description(help)
            .with_callback(move |observer| observer.observe(read(), &[]))
            .build();
    }

    /// Registers a gauge with one value for each value of a label, read at each scrape.
    pub(super) fn register_labelled_gauge(
        &self,
        name: &'static str,
        help: &'static str,
        label: &'static str,
        read: impl Fn() -> Vec<(String, f64)> + Send + Sync + 'static,
    ) {
        self.meter
            .f64_observable_gauge(name)
            .with_description(help)
            .with_callback(move |observer| {
                for (label_value, value) in read() {
                    observer.observe(value, &[KeyValue::new(label, label_value)]);
                }
            })
            .build();
    }

    /// Flushes and returns all metrics as text.
    ///
    /// # Errors
    ///
    /// Fails if the metrics cannot be encoded.
    pub(super) fn render(&self, recorder: &ProcessRecorder) -> anyhow::Result<String> {
        self.histograms.flush(recorder);
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .context("could not write the metrics as text")
    }
}

impl Histograms {
    fn new(meter: &Meter) -> Self {
        let histogram = |name: &'static str, help: &'static str, bounds: &[Duration]| {
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_description(help)
                .with_boundaries(bounds.iter().map(Duration::as_secs_f64).collect())
                .build()
        };
        Self {
            first_token: histogram(
                "flamingocroft.first_token",
                "Time from a request's arrival to its first token.",
                FIRST_TOKEN_BUCKETS,
            ),
            between_tokens: histogram(
                "flamingocroft.between_tokens",
                "Time between two tokens of a stream.",
                BETWEEN_TOKENS_BUCKETS,
            ),
            queue_wait: histogram(
                "flamingocroft.queue_wait",
                "Time that a request waited for admission.",
                QUEUE_WAIT_BUCKETS,
            ),
            answer: histogram(
                "flamingocroft.answer",
                "Time from a request's arrival to the end of its answer.",
                ANSWER_BUCKETS,
            ),
            commit: histogram(
                "flamingocroft.commit",
                "Time from the proposal of a log entry to its commit.",
                COMMIT_BUCKETS,
            ),
            sync: histogram(
                "flamingocroft.sync",
                "Time to write a batch of log entries to the disk and sync it.",
                COMMIT_BUCKETS,
            ),
        }
    }

    fn flush(&self, recorder: &ProcessRecorder) {
        recorder
            .commit
            .drain(|seconds| self.commit.record(seconds, &[]));
        recorder
            .sync
            .drain(|seconds| self.sync.record(seconds, &[]));
        for account in recorder.accounts() {
            self.flush_account(&account);
        }
    }

    fn flush_account(&self, recorder: &AccountRecorder) {
        let labels = account_labels(recorder);
        let pairs = [
            (&recorder.first_token, &self.first_token),
            (&recorder.between_tokens, &self.between_tokens),
            (&recorder.queue_wait, &self.queue_wait),
            (&recorder.answer, &self.answer),
        ];
        for (recorded, exported) in pairs {
            recorded.drain(|seconds| exported.record(seconds, &labels));
        }
    }
}

fn account_labels(recorder: &AccountRecorder) -> [KeyValue; 2] {
    [
        KeyValue::new("account", recorder.account.to_string()),
        KeyValue::new("tier", recorder.tier.to_string()),
    ]
}

fn register_counters(meter: &Meter, recorder: &Arc<ProcessRecorder>) {
    let refusals = Arc::clone(recorder);
    meter
        .u64_observable_counter("flamingocroft.refusals")
        .with_description("Requests that were refused or failed, by kind.")
        .with_callback(move |observer| {
            for (kind, count) in refusals.refusals() {
                observer.observe(count, &[KeyValue::new("kind", kind.name())]);
            }
        })
        .build();
    let requests = Arc::clone(recorder);
    meter
        .u64_observable_counter("flamingocroft.requests")
        .with_description("Requests of published routes, by account and outcome.")
        .with_callback(move |observer| {
            for account in requests.accounts() {
                for (outcome, count) in account.outcomes() {
                    let [name, tier] = account_labels(&account);
                    let outcome = KeyValue::new("outcome", outcome.name());
                    observer.observe(count, &[name, tier, outcome]);
                }
            }
        })
        .build();
    register_account_counter(
        meter,
        recorder,
        "flamingocroft.recomputed_tokens",
        "Tokens computed again because cached work was lost or elsewhere.",
        |account| account.recomputed_tokens.load(Ordering::Relaxed),
    );
    register_account_counter(
        meter,
        recorder,
        "flamingocroft.spending_micros",
        "Spending, in millionths of the currency unit.",
        |account| account.spent_micros.load(Ordering::Relaxed),
    );
}

fn register_account_counter(
    meter: &Meter,
    recorder: &Arc<ProcessRecorder>,
    name: &'static str,
    help: &'static str,
    read: fn(&AccountRecorder) -> u64,
) {
    let recorder = Arc::clone(recorder);
    meter
        .u64_observable_counter(name)
        .with_description(help)
        .with_callback(move |observer| {
            for account in recorder.accounts() {
                observer.observe(read(&account), &account_labels(&account));
            }
        })
        .build();
}
