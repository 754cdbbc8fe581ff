//! The system's monotonic and wall clocks.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

use crate::ports::Clock;

/// The system's clocks. The monotonic one is `CLOCK_BOOTTIME`, which advances while the process is stopped
/// or the machine is suspended, so that a lease also expires for a process that did not run in the
/// meantime. [`std::time::Instant`] does not count suspended time.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    start: Duration,
}

impl SystemClock {
    /// Creates a clock whose monotonic time starts at zero.
    pub fn new() -> Self {
        Self {
            start: since_boot(),
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
        since_boot().saturating_sub(self.start)
    }

    fn unix_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |time| time.as_millis() as u64)
    }
}

fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from);
    now.expect("every Linux since 2.6.39 has CLOCK_BOOTTIME")
}
