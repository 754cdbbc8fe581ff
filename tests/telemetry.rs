//! Tests the metrics as a scrape returns them.

mod metric_text;

use std::{thread, time::Duration};

use flamingocroft::{
    domain::{Money, RefusalKind},
    telemetry::Metrics,
};
use metric_text::value;

#[test]
fn refusal_kinds_are_listed_in_order_under_their_serialized_names() {
    for (i, kind) in RefusalKind::ALL.into_iter().enumerate() {
        assert_eq!(kind as usize, i);
        assert_eq!(serde_json::to_value(kind).unwrap(), kind.name());
    }
}

#[test]
fn a_scrape_shows_what_was_recorded() {
    let metrics = Metrics::new().unwrap();
    let depot = metrics.for_account(&"depot".into(), &"paying".into());
    depot.record_first_token(Duration::from_millis(640));
    depot.record_first_token(Duration::from_millis(641));
    depot.record_between_tokens(Duration::from_millis(26));
    depot.record_queue_wait(Duration::from_micros(50));
    depot.add_recomputed_tokens(300);
    depot.add_spending(Money(1500));
    depot.add_spending(Money(-7));
    metrics
        .for_account(&"depot".into(), &"paying".into())
        .add_spending(Money(500));
    metrics
        .for_account(&"guest".into(), &"free".into())
        .record_queue_wait(Duration::from_secs(60));
    metrics.count_refusal(RefusalKind::OverShare);
    metrics.record_commit(Duration::from_millis(3));
    insta::assert_snapshot!(metrics.render());
}

#[test]
fn a_scrape_shows_counters_and_gauges() {
    let metrics = Metrics::new().unwrap();
    let counter = metrics.register_counter("flamingocroft.lost", "Frames lost.");
    metrics.register_gauge("flamingocroft.term", "The term.", || 7);
    counter.increment();
    counter.clone().increment();
    let text = metrics.render();
    assert_eq!(value(&text, "flamingocroft_lost_total"), 2.0);
    assert_eq!(value(&text, "flamingocroft_term"), 7.0);
}

#[test]
fn counts_are_exact_over_threads_and_scrapes() {
    const THREADS: u64 = 8;
    const RECORDINGS_PER_THREAD: u64 = 10_000;
    let metrics = Metrics::new().unwrap();
    let depot = metrics.for_account(&"depot".into(), &"paying".into());
    thread::scope(|scope| {
        for thread in 0..THREADS {
            let depot = depot.clone();
            scope.spawn(move || {
                (0..RECORDINGS_PER_THREAD)
                    .for_each(|_| depot.record_between_tokens(Duration::from_millis(1 + thread)));
            });
        }
        (0..20).for_each(|_| drop(metrics.render()));
    });
    let text = metrics.render();
    let name = "flamingocroft_between_tokens_seconds";
    let labels = r#"account="depot",tier="paying""#;
    let count = value(&text, &format!("{name}_count{{{labels}}}"));
    let sum = value(&text, &format!("{name}_sum{{{labels}}}"));
    let at_most_2_ms = value(&text, &format!("{name}_bucket{{{labels},le=\"0.002\"}}"));
    assert_eq!(count, (THREADS * RECORDINGS_PER_THREAD) as f64);
    assert_eq!(at_most_2_ms, (2 * RECORDINGS_PER_THREAD) as f64);
    assert!((sum - 360.0).abs() < 0.5, "{sum}");
}

#[test]
fn dropping_metrics_ends_their_thread() {
    let threads = || std::fs::read_dir("/proc/self/task").unwrap().count();
    // Other tests of this file start threads too, so many metrics are created and dropped here.
    let before = threads();
    (0..200).for_each(|_| drop(Metrics::new().unwrap()));
    let ended = (0..1000).any(|_| {
        thread::yield_now();
        thread::sleep(Duration::from_millis(1));
        threads() < before + 100
    });
    assert!(ended);
}
