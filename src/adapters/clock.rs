//! The machine's clocks.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::ports::Clock;

/// The machine's clocks. [`Instant`] reads `CLOCK_MONOTONIC`, which goes on while the process is
/// stopped by a signal, so that a lease also ends for a process that did not run meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// Starts a clock at zero.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn monotonic(&self) -> Duration {
        self.start.elapsed()
    }

    fn unix_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |time| time.as_millis() as u64)
    }
}
