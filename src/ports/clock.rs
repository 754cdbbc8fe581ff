//! The clocks of a process, behind a trait so that tests can control time.

use std::time::Duration;

/// A monotonic clock for leases and timeouts, and the wall clock.
pub trait Clock: Send + Sync + 'static {
    /// Returns the time since an arbitrary origin. It advances while the process is suspended.
    fn monotonic(&self) -> Duration;

    /// Returns the wall-clock time in milliseconds since the Unix epoch.
    fn unix_ms(&self) -> u64;
}
