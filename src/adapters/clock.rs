//! The machine's clocks.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

use crate::ports::Clock;

/// The machine's clocks. The monotonic one is `CLOCK_BOOTTIME`, which goes on while the process is
/// stopped or the machine is suspended, so that a lease also ends for a process that did not run
/// meanwhile. [`std::time::Instant`] does not count the time of a suspended machine.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    start: Duration,
}

impl SystemClock {
    /// Starts a clock at zero.
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
