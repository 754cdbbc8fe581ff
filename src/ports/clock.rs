//! The time, so that tests can set it.

use std::time::Duration;

/// Two clocks: one that never goes back, for leases and timeouts, and the calendar.
pub trait Clock: Send + Sync + 'static {
    /// Returns the time since an arbitrary start; it goes on while the process is stopped.
    fn monotonic(&self) -> Duration;

    /// Returns the milliseconds since the Unix epoch.
    fn unix_ms(&self) -> u64;
}
