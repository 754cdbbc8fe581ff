//! Histograms that record with atomics only. The SDK's own histograms take a lock for each recording,
//! so recorded values are passed to them later, in bulk; see docs/METRICS.md.

use std::{
    cell::Cell,
    sync::atomic::{AtomicU64, AtomicUsize, Ordering},
    time::Duration,
};

/// Copies of each histogram. Several copies keep threads from contending for the same cache line.
const SHARD_COUNT: usize = 8;

/// Counts durations by bucket. A bucket holds the durations up to and including its bound that are
/// above the previous bound.
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
            shards: (0..SHARD_COUNT).map(|_| shard()).collect(),
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

    /// Removes all recorded values and passes them to `record`, in seconds. Each value is replaced by
    /// the mean of its bucket and shard, so counts are exact and the sum differs by rounding only.
    pub(super) fn drain(&self, record: impl Fn(f64)) {
        for shard in &self.shards {
            for (index, bucket) in shard.buckets.iter().enumerate() {
                let count = bucket.count.swap(0, Ordering::Relaxed);
                if count == 0 {
                    continue;
                }
                let sum_ns = bucket.sum_ns.swap(0, Ordering::Relaxed);
                let mean = self.clamp_to_bucket(index, Duration::from_nanos(sum_ns / count));
                (0..count).for_each(|_| record(mean.as_secs_f64()));
            }
        }
    }

    /// Clamps a mean to the bounds of its bucket. A value recorded between the two swaps of a drain
    /// can move the mean outside them.
    fn clamp_to_bucket(&self, index: usize, mean: Duration) -> Duration {
        const RESOLUTION: Duration = Duration::from_nanos(1);
        let lowest = index
            .checked_sub(1)
            .map(|previous| self.bounds[previous] + RESOLUTION);
        let mean = mean.max(lowest.unwrap_or_default());
        self.bounds
            .get(index)
            .map_or(mean, |bound| mean.min(*bound))
    }
}

/// Returns the shard of the calling thread; threads get their shards in turn.
fn shard_of_thread() -> usize {
    static NEXT_SHARD: AtomicUsize = AtomicUsize::new(0);
    thread_local! {
        static SHARD: Cell<Option<usize>> = const { Cell::new(None) };
    }
    SHARD.with(|shard| {
        shard.get().unwrap_or_else(|| {
            let assigned = NEXT_SHARD.fetch_add(1, Ordering::Relaxed) % SHARD_COUNT;
            shard.set(Some(assigned));
            assigned
        })
    })
}
