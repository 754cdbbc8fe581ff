//! How long something may still be sent.

use std::{fmt, time::Duration};

use tokio::time::Instant;

/// A right to send that ends: a request's deadline, or a duty that is held under a fencing token. See docs/DESIGN.md, "What
/// was given up does not arrive".
pub trait SendRight: fmt::Debug + Send + Sync + 'static {
    /// Returns how much longer bytes may be sent; zero once the right is lost, also if the process was stopped meanwhile.
    fn time_left(&self) -> Duration;

    /// Returns how long the kernel may go on sending what it takes now.
    fn kernel_limit(&self) -> Duration {
        self.time_left()
    }
}

/// Time after a deadline at which the kernel stops sending. A running process has given up by then, and the limit is for one
/// that is stopped.
const KERNEL_DELAY: Duration = Duration::from_millis(500);

/// The right to send until a deadline.
impl SendRight for Instant {
    fn time_left(&self) -> Duration {
        self.saturating_duration_since(Instant::now())
    }

    fn kernel_limit(&self) -> Duration {
        self.time_left() + KERNEL_DELAY
    }
}
