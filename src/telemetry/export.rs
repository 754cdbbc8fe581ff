//! Hands what was recorded to the OpenTelemetry SDK, and from there to Prometheus' text format.

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

use super::cells::{ANSWER, AccountCells, BETWEEN_TOKENS, COMMIT, Cells, FIRST_TOKEN, QUEUE_WAIT};

/// Time between two transfers to the SDK, so that a scrape finds little to do.
const TRANSFER_INTERVAL: Duration = Duration::from_secs(1);

/// The SDK's side of the metrics. Dropping the last one ends the thread that transfers.
#[derive(Debug)]
pub(super) struct Exporter {
    registry: Registry,
    meter: Meter,
    histograms: Arc<Histograms>,
    _provider: SdkMeterProvider,
    _alive: mpsc::Sender<()>,
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
    /// Makes the instruments and starts transferring to them.
    pub(super) fn start(cells: &Arc<Cells>) -> anyhow::Result<Self> {
        let registry = Registry::new();
        let reader = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .scope_info_enabled(false)
            .build()
            .context("could not register the metrics")?;
        let provider = SdkMeterProvider::builder().with_reader(reader).build();
        let meter = provider.meter("flamingocroft");
        make_counters(&meter, cells);
        let histograms = Arc::new(Histograms::new(&meter));
        let (alive, ended) = mpsc::channel();
        let transferred = Arc::clone(&histograms);
        let cells = Arc::clone(cells);
        thread::Builder::new()
            .name("metrics".to_owned())
            .spawn(move || {
                while ended.recv_timeout(TRANSFER_INTERVAL) == Err(mpsc::RecvTimeoutError::Timeout)
                {
                    transferred.transfer(&cells);
                }
            })
            .context("could not start the thread for metrics")?;
        Ok(Self {
            registry,
            meter,
            histograms,
            _provider: provider,
            _alive: alive,
        })
    }

    /// Exports a counter with fixed labels.
    pub(super) fn counter(
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

    /// Exports a value that goes up and down.
    pub(super) fn gauge(
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

    /// Exports values that go up and down, one for each value of a label.
    pub(super) fn gauges(
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
                for (of, value) in read() {
                    observer.observe(value, &[KeyValue::new(label, of)]);
                }
            })
            .build();
    }

    /// Returns all metrics as text.
    pub(super) fn render(&self, cells: &Cells) -> anyhow::Result<String> {
        self.histograms.transfer(cells);
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
                FIRST_TOKEN,
            ),
            between_tokens: histogram(
                "flamingocroft.between_tokens",
                "Time between two tokens of a stream.",
                BETWEEN_TOKENS,
            ),
            queue_wait: histogram(
                "flamingocroft.queue_wait",
                "Time that a request waited for admission.",
                QUEUE_WAIT,
            ),
            answer: histogram(
                "flamingocroft.answer",
                "Time from a request's arrival to the end of its answer.",
                ANSWER,
            ),
            commit: histogram(
                "flamingocroft.commit",
                "Time from the proposal of a log entry to its commit.",
                COMMIT,
            ),
            sync: histogram(
                "flamingocroft.sync",
                "Time to write a batch of log entries to the disk and sync it.",
                COMMIT,
            ),
        }
    }

    fn transfer(&self, cells: &Cells) {
        cells
            .commit
            .drain(|seconds| self.commit.record(seconds, &[]));
        cells.sync.drain(|seconds| self.sync.record(seconds, &[]));
        for account in cells.accounts() {
            self.transfer_account(&account);
        }
    }

    fn transfer_account(&self, cells: &AccountCells) {
        let labels = labels(cells);
        let pairs = [
            (&cells.first_token, &self.first_token),
            (&cells.between_tokens, &self.between_tokens),
            (&cells.queue_wait, &self.queue_wait),
            (&cells.answer, &self.answer),
        ];
        for (recorded, exported) in pairs {
            recorded.drain(|seconds| exported.record(seconds, &labels));
        }
    }
}

fn labels(cells: &AccountCells) -> [KeyValue; 2] {
    [
        KeyValue::new("account", cells.account.to_string()),
        KeyValue::new("tier", cells.tier.to_string()),
    ]
}

fn make_counters(meter: &Meter, cells: &Arc<Cells>) {
    let refusals = Arc::clone(cells);
    meter
        .u64_observable_counter("flamingocroft.refusals")
        .with_description("Requests that were refused or failed, by kind.")
        .with_callback(move |observer| {
            for (kind, count) in refusals.refusals() {
                observer.observe(count, &[KeyValue::new("kind", kind.name())]);
            }
        })
        .build();
    let requests = Arc::clone(cells);
    meter
        .u64_observable_counter("flamingocroft.requests")
        .with_description("Requests of published routes, by account and outcome.")
        .with_callback(move |observer| {
            for account in requests.accounts() {
                for (outcome, count) in account.outcomes() {
                    let [of, tier] = labels(&account);
                    let outcome = KeyValue::new("outcome", outcome.name());
                    observer.observe(count, &[of, tier, outcome]);
                }
            }
        })
        .build();
    account_counter(
        meter,
        cells,
        "flamingocroft.recomputed_tokens",
        "Tokens computed again because cached work was lost or elsewhere.",
        |account| account.recomputed_tokens.load(Ordering::Relaxed),
    );
    account_counter(
        meter,
        cells,
        "flamingocroft.spending_micros",
        "Spending, in millionths of the currency unit.",
        |account| account.spent_micros.load(Ordering::Relaxed),
    );
}

fn account_counter(
    meter: &Meter,
    cells: &Arc<Cells>,
    name: &'static str,
    help: &'static str,
    read: fn(&AccountCells) -> u64,
) {
    let cells = Arc::clone(cells);
    meter
        .u64_observable_counter(name)
        .with_description(help)
        .with_callback(move |observer| {
            for account in cells.accounts() {
                observer.observe(read(&account), &labels(&account));
            }
        })
        .build();
}
