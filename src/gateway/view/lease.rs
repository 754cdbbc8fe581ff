//! The view lease: how long this gateway may accept new work without an answer from the leader.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// The expiry of the lease on the monotonic clock, which is read without locks.
#[derive(Debug, Default)]
pub(crate) struct Lease {
    until_micros: AtomicU64,
}

impl Lease {
    /// Returns whether the lease is valid at a time on the monotonic clock.
    pub(crate) fn is_valid(&self, now: Duration) -> bool {
        now < Duration::from_micros(self.until_micros.load(Ordering::Acquire))
    }

    /// Extends the lease. An earlier expiry has no effect, since replies may arrive out of order.
    pub(crate) fn extend(&self, until: Duration) {
        let micros = u64::try_from(until.as_micros()).unwrap_or(u64::MAX);
        self.until_micros.fetch_max(micros, Ordering::AcqRel);
    }
}
