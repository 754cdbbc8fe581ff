//! Counters of a gateway's rare events, for `GET /metrics`.

use std::sync::atomic::{AtomicU64, Ordering};

/// A counter that only grows.
#[derive(Debug, Default)]
pub(crate) struct Counter(AtomicU64);

impl Counter {
    /// Counts one event.
    pub(crate) fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// The counters.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    /// Frames dropped because they came from an older incarnation or in another's name.
    pub(crate) dropped_frames: Counter,
    /// Requests accepted without a backup.
    pub(crate) accepted_alone: Counter,
    /// Requests handed to another gateway.
    pub(crate) handed_over: Counter,
    /// Requests taken over from another gateway.
    pub(crate) taken_over: Counter,
    /// Outcomes of claims that were not committed within the caller's wait.
    pub(crate) late_outcomes: Counter,
}

impl Counters {
    /// Returns the counters in the text format of Prometheus.
    pub(crate) fn render(&self) -> String {
        let rows = [
            ("dropped_frames", &self.dropped_frames),
            ("accepted_alone", &self.accepted_alone),
            ("handed_over", &self.handed_over),
            ("taken_over", &self.taken_over),
            ("late_outcomes", &self.late_outcomes),
        ];
        rows.iter()
            .map(|(name, counter)| {
                let name = format!("flamingocroft_gateway_{name}_total");
                format!("# TYPE {name} counter\n{name} {}\n", counter.get())
            })
            .collect()
    }
}
