//! Cost of recording a metric value, in nanoseconds per thread, with 1 and 8 threads on the same
//! account: the product's metrics, compared with the SDK's histogram as it would be used on the
//! request path. Run it with `cargo bench --bench recording`.

use std::{
    thread,
    time::{Duration, Instant},
};

use flamingocroft::{domain::RefusalKind, telemetry::Metrics};
use opentelemetry::{KeyValue, metrics::MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;

const RECORDINGS: u32 = 1_000_000;
const RUNS: usize = 5;

/// Returns the mean time of one recording, the minimum over several runs.
fn measure(threads: usize, record: impl Fn(u32) + Sync) -> f64 {
    let run = || {
        let start = Instant::now();
        thread::scope(|scope| {
            for _ in 0..threads {
                scope.spawn(|| (0..RECORDINGS).for_each(&record));
            }
        });
        start.elapsed().as_nanos() as f64 / f64::from(RECORDINGS)
    };
    (0..RUNS).map(|_| run()).fold(f64::MAX, f64::min)
}

fn report(name: &str, record: impl Fn(u32) + Sync) {
    let one = measure(1, &record);
    let eight = measure(8, &record);
    println!("{name:<40} {one:>8.1} ns {eight:>8.1} ns");
}

fn main() {
    let metrics = Metrics::new().expect("metrics start");
    let account = metrics.for_account(&"depot".into(), &"paying".into());
    println!(
        "{:<40} {:>11} {:>11}",
        "one recording with", "1 thread", "8 threads"
    );
    report("flamingocroft between_tokens", |i| {
        account.record_between_tokens(Duration::from_micros(u64::from(20_000 + i % 8000)));
    });
    report("flamingocroft recomputed_tokens", |_| {
        account.add_recomputed_tokens(1)
    });
    report("flamingocroft refusal", |_| {
        metrics.count_refusal(RefusalKind::OverShare)
    });

    let reader = opentelemetry_prometheus::exporter()
        .with_registry(prometheus::Registry::new())
        .build()
        .expect("the exporter starts");
    let provider = SdkMeterProvider::builder().with_reader(reader).build();
    let histogram = provider.meter("bench").f64_histogram("direct").build();
    let labels = [
        KeyValue::new("account", "depot"),
        KeyValue::new("tier", "paying"),
    ];
    report("SDK histogram with two labels", |i| {
        histogram.record(0.020 + f64::from(i % 8000) / 1e6, &labels);
    });
    report("SDK histogram without labels", |i| {
        histogram.record(0.020 + f64::from(i % 8000) / 1e6, &[]);
    });
}
