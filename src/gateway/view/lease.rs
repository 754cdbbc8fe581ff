//! The view lease: how long this gateway may take new work without hearing from the leader.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// The end of the lease on the monotonic clock. Reading it takes no lock.
#[derive(Debug, Default)]
pub(crate) struct Lease {
    until_micros: AtomicU64,
}

impl Lease {
    /// Says whether new work may be taken at a time.
    pub(crate) fn is_valid(&self, now: Duration) -> bool {
        now < Duration::from_micros(self.until_micros.load(Ordering::Acquire))
    }

    /// Extends the lease; an earlier end changes nothing, since replies may overtake each other.
    pub(crate) fn extend(&self, until: Duration) {
        let micros = u64::try_from(until.as_micros()).unwrap_or(u64::MAX);
        self.until_micros.fetch_max(micros, Ordering::AcqRel);
    }
}
