//! Histograms that are recorded with atomics only. The SDK's own histograms take a lock for each
//! recording, so they get the recordings later, in bulk; see docs/METRICS.md.

use std::{
    cell::Cell,
    sync::atomic::{AtomicU64, AtomicUsize, Ordering},
    time::Duration,
};

/// Copies of a histogram, so that threads rarely write to the same cache line.
const SHARDS: usize = 8;

/// Durations by bucket. A bucket holds what is at most its bound and above the one before.
#[derive(Debug)]
pub(super) struct Histogram {
    bounds: &'static [Duration],
    shards: Box<[Shard]>,
}

#[derive(Debug)]
#[repr(align(64))]
struct Shard {
    buckets: Box<[Bucket]>,
}

#[derive(Debug, Default)]
struct Bucket {
    count: AtomicU64,
    sum_ns: AtomicU64,
}

impl Histogram {
    pub(super) fn new(bounds: &'static [Duration]) -> Self {
        let shard = || Shard {
            buckets: (0..=bounds.len()).map(|_| Bucket::default()).collect(),
        };
        Self {
            bounds,
            shards: (0..SHARDS).map(|_| shard()).collect(),
        }
    }

    /// Records a duration.
    pub(super) fn record(&self, duration: Duration) {
        let index = self.bounds.partition_point(|bound| *bound < duration);
        let bucket = &self.shards[shard_of_thread()].buckets[index];
        let ns = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
        bucket.sum_ns.fetch_add(ns, Ordering::Relaxed);
        bucket.count.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes out what was recorded and hands it on, in seconds. Each value is the mean of its
    /// bucket, so that counts are exact and the sum differs by rounding only.
    pub(super) fn drain(&self, hand_on: impl Fn(f64)) {
        for shard in &self.shards {
            for (index, bucket) in shard.buckets.iter().enumerate() {
                let count = bucket.count.swap(0, Ordering::Relaxed);
                if count == 0 {
                    continue;
                }
                let sum_ns = bucket.sum_ns.swap(0, Ordering::Relaxed);
                let mean = self.within(index, Duration::from_nanos(sum_ns / count));
                (0..count).for_each(|_| hand_on(mean.as_secs_f64()));
            }
        }
    }

    /// Keeps a mean in its bucket. A recording between the two swaps of a drain can shift it.
    fn within(&self, index: usize, mean: Duration) -> Duration {
        const STEP: Duration = Duration::from_nanos(1);
        let above = index
            .checked_sub(1)
            .map(|before| self.bounds[before] + STEP);
        let mean = mean.max(above.unwrap_or_default());
        self.bounds
            .get(index)
            .map_or(mean, |bound| mean.min(*bound))
    }
}

/// Returns the shard of the calling thread, which is given out in turn.
fn shard_of_thread() -> usize {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    thread_local! {
        static SHARD: Cell<Option<usize>> = const { Cell::new(None) };
    }
    SHARD.with(|shard| {
        shard.get().unwrap_or_else(|| {
            let given = NEXT.fetch_add(1, Ordering::Relaxed) % SHARDS;
            shard.set(Some(given));
            given
        })
    })
}
