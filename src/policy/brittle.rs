//! Upstreams that fall over when they have to reject many requests at once, and say so in their answers.
//!
//! The gateways together must not send such an upstream more than it has room for, without asking one another. They divide its slots,
//! and a part of the rejections that it bears, in whole requests in progress, and count on no queue. After a rejection a gateway
//! pauses for as long as the rejections of all of them need to stay below what the upstream bears. See
//! docs/DECISIONS.md, "Brittle upstreams".

use std::time::Duration;

use super::rate_limit::Place;

/// Fraction of the rejections that an upstream bears which the gateways plan for.
const USED_FRACTION: f64 = 0.5;
/// Shortest pause after a rejection: the upstream counts rejections by the second.
const MIN_PAUSE: Duration = Duration::from_secs(1);
/// Longest pause after a rejection.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// How brittle one upstream is, as a gateway knows it from its answers. All times come from one monotonic clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct Brittleness {
    /// Rejections per second that the upstream bears, or `None` if it is not brittle.
    bears: Option<u32>,
    paused_until: Option<Duration>,
}

impl Brittleness {
    /// Returns the rejections per second that the upstream bears, or `None` if it is not brittle.
    pub fn bears(&self) -> Option<u32> {
        self.bears
    }

    /// Records what an answer says: the rejections per second that the upstream bears, or `None` if it is not brittle.
    /// Returns whether that is new.
    pub fn record_statement(&mut self, bears: Option<u32>) -> bool {
        let is_new = self.bears != bears;
        self.bears = bears;
        if bears.is_none() {
            self.paused_until = None;
        }
        is_new
    }

    /// Records that the upstream rejected a request for want of room. `random` from 0 to 1 spreads the end of the pause.
    pub fn record_rejection(&mut self, place: Place, random: f64, now: Duration) {
        let Some(bears) = self.bears else {
            return;
        };
        let allowed = (f64::from(bears) * USED_FRACTION).max(USED_FRACTION);
        let seconds = place.gateways() as f64 / allowed;
        let pause = Duration::from_secs_f64(seconds.min(MAX_PAUSE.as_secs_f64())).max(MIN_PAUSE);
        let until = now + pause.mul_f64(1.0 + random.clamp(0.0, 1.0) / 2.0);
        self.paused_until = self.paused_until.max(Some(until));
    }

    /// Checks whether a request may be sent now to an upstream of some slots, at which `own` requests of this gateway are in
    /// progress.
    ///
    /// # Errors
    ///
    /// Returns the time until one may be, or `None` if that depends on the requests in progress.
    pub fn check(
        &self,
        place: Place,
        slots: u32,
        own: u32,
        now: Duration,
    ) -> Result<(), Option<Duration>> {
        let Some(bears) = self.bears else {
            return Ok(());
        };
        if let Some(left) = self.paused_until.and_then(|until| until.checked_sub(now))
            && !left.is_zero()
        {
            return Err(Some(left));
        }
        let room = slots as usize + (f64::from(bears) * USED_FRACTION) as usize;
        match (own as usize) < place.share(room) {
            true => Ok(()),
            false => Err(None),
        }
    }
}
