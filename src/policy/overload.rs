//! Decides whether a request is refused at once because those sent before it wait too long.
//!
//! A model engine takes what it is sent into a queue. When more comes than all engines can begin, every
//! request waits, and soon none is in time, although most could be. A gateway therefore measures how long
//! its requests wait for the first byte of their answers, and refuses a part, the least urgent first, for as
//! long as many of these waits come near the target. See docs/DECISIONS.md, "Refusing in a burst".

use std::time::Duration;

/// Time over which waits are judged: a few times a usual wait, and short against a burst.
const DECAY_TIME: Duration = Duration::from_millis(300);
/// Part of the target up to which a wait is well; the rest is for what comes after the first byte's way
/// here, and for the time in which refusing shows.
const ACCEPTABLE_WAIT_FRACTION: f64 = 0.5;
/// Part of the waits that may be longer. Servers that are lost or lose answers make some requests wait
/// long, which refusing others does not help.
const TOLERATED_LONG_FRACTION: f64 = 0.4;
/// How much the level changes in a second if all waits are too long.
const LEVEL_GAIN_PER_SECOND: f64 = 4.0;
/// Longest time without a request for which the level rises at once.
const MAX_RISE_STEP: Duration = Duration::from_millis(200);
/// Waits in the span from which on they say something.
const MIN_WAITS: f64 = 3.0;
/// Largest part of the requests of one urgency that is refused, so that none is shut out.
const MAX_REFUSED_FRACTION: f64 = 0.85;
/// Level at which also the most urgent requests begin to be refused.
const URGENT_REFUSAL_LEVEL: f64 = 0.7;
/// Shortest time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// How long one gateway's requests for one service waited for the first byte of their answers.
#[derive(Clone, Debug, Default)]
pub struct LoadShedder {
    /// First bytes, those that were waited for too long, and their waits in seconds, each summed over
    /// [`SPAN`].
    count: f64,
    long_count: f64,
    wait_seconds: f64,
    /// How much is refused, from nothing at zero to most at one.
    level: f64,
    decayed_at: Duration,
    level_updated_at: Duration,
}

impl LoadShedder {
    /// Notes the first byte of an answer, and for how long a request with that target waited for it.
    pub fn record_first_byte(&mut self, wait: Duration, target: Duration, now: Duration) {
        self.decay(now);
        self.count += 1.0;
        self.wait_seconds += wait.as_secs_f64();
        if wait > target.mul_f64(ACCEPTABLE_WAIT_FRACTION) {
            self.long_count += 1.0;
        }
    }

    /// Decides about a request. `rank` is its place among the urgencies of the service, from zero for the
    /// most urgent one to one; `draw` is drawn evenly from zero to one. Returns after which time the
    /// caller may come back if the request is refused.
    pub fn refuse(
        &mut self,
        rank: impl FnOnce() -> f64,
        draw: f64,
        now: Duration,
    ) -> Option<Duration> {
        self.decay(now);
        let passed = now.saturating_sub(self.level_updated_at);
        self.level_updated_at = now;
        let long_fraction = match self.count >= MIN_WAITS {
            true => self.long_count / self.count,
            false => 0.0,
        };
        let excess = (long_fraction - TOLERATED_LONG_FRACTION) / TOLERATED_LONG_FRACTION;
        let step = match excess > 0.0 {
            true => passed.min(MAX_RISE_STEP),
            false => passed,
        };
        self.level =
            (self.level + LEVEL_GAIN_PER_SECOND * excess * step.as_secs_f64()).clamp(0.0, 1.0);
        if self.level <= 0.0 {
            return None;
        }
        let above = self.level - URGENT_REFUSAL_LEVEL * (1.0 - rank());
        let fraction = (above / URGENT_REFUSAL_LEVEL).clamp(0.0, MAX_REFUSED_FRACTION);
        (draw < fraction).then(|| self.mean_wait().max(MIN_RETRY_AFTER))
    }

    /// Returns the mean of the latest waits.
    fn mean_wait(&self) -> Duration {
        let mean = self.wait_seconds / self.count.max(1e-9);
        Duration::try_from_secs_f64(mean).unwrap_or(Duration::MAX)
    }

    fn decay(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.decayed_at).as_secs_f64();
        let decay = (-passed / DECAY_TIME.as_secs_f64()).exp();
        for sum in [
            &mut self.count,
            &mut self.long_count,
            &mut self.wait_seconds,
        ] {
            *sum *= decay;
        }
        self.decayed_at = self.decayed_at.max(now);
    }
}
