//! Load shedding: refuses a part of the requests at once while earlier ones wait too long.
//!
//! A model engine queues what it is sent. When requests arrive faster than all engines can start
//! them, every request waits, and soon none meets its target although most could. A gateway
//! therefore measures how long its requests wait for the first byte of their answers. While many of
//! these waits come near the target it refuses a part of the requests, the least urgent first. An
//! integral controller sets that part. See docs/DECISIONS.md, "Refusing in a burst".

use std::time::Duration;

/// Default time constant of the exponential decay of the recorded waits: a few times a usual wait,
/// and short compared with a burst.
const DEFAULT_DECAY_TIME: Duration = Duration::from_millis(300);
/// Fraction of the target up to which a wait is acceptable. The rest covers what follows after the
/// first byte has reached the gateway, and the time until refusals take effect.
const ACCEPTABLE_WAIT_FRACTION: f64 = 0.5;
/// Fraction of the waits that may be longer. Servers that are lost or lose answers make some
/// requests wait long, and refusing other requests does not help those.
const TOLERATED_LONG_FRACTION: f64 = 0.4;
/// Change of the level per second if all waits are too long, in units of the relative excess.
const LEVEL_GAIN_PER_SECOND: f64 = 4.0;
/// Longest time between two requests that counts when the level rises, so that an idle time does
/// not raise it in one step.
const MAX_RISE_STEP: Duration = Duration::from_millis(200);
/// Fewest recorded waits, after decay, from which their long part is judged.
const MIN_WAITS: f64 = 3.0;
/// Largest fraction of the requests of one urgency that is refused, so that none is shut out
/// entirely.
const MAX_REFUSED_FRACTION: f64 = 0.85;
/// Level above which the most urgent requests are refused too.
const URGENT_REFUSAL_LEVEL: f64 = 0.7;
/// Shortest retry delay given to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Sheds load of one service at one gateway, from how long its requests wait for the first byte of
/// their answers.
#[derive(Clone, Debug)]
pub struct LoadShedder {
    decay_time: Duration,
    /// Number of first bytes, number of those that came too late, and the sum of their waits in
    /// seconds, each with exponential decay over `decay_time`.
    count: f64,
    long_count: f64,
    wait_seconds: f64,
    /// Refusal level, from zero (nothing is refused) to one (the maximum).
    level: f64,
    decayed_at: Duration,
    level_updated_at: Duration,
}

impl Default for LoadShedder {
    fn default() -> Self {
        Self::with_decay_time(DEFAULT_DECAY_TIME)
    }
}

impl LoadShedder {
    /// Makes one whose recorded waits decay with a time constant. A gateway with few requests needs
    /// a long one: fewer than three waits tell nothing.
    pub fn with_decay_time(decay_time: Duration) -> Self {
        Self {
            decay_time,
            count: 0.0,
            long_count: 0.0,
            wait_seconds: 0.0,
            level: 0.0,
            decayed_at: Duration::ZERO,
            level_updated_at: Duration::ZERO,
        }
    }

    /// Records the first byte of an answer, which a request with latency target `target` waited
    /// `wait` for.
    pub fn record_first_byte(&mut self, wait: Duration, target: Duration, now: Duration) {
        self.decay(now);
        self.count += 1.0;
        self.wait_seconds += wait.as_secs_f64();
        if wait > target.mul_f64(ACCEPTABLE_WAIT_FRACTION) {
            self.long_count += 1.0;
        }
    }

    /// Decides whether to refuse a request, and returns the retry delay for its caller if so.
    /// `rank` is its place among the urgencies of the service, from zero for the most urgent one to
    /// one; `draw` is a random number, uniform between zero and one.
    pub fn refuse(
        &mut self,
        rank: impl FnOnce() -> f64,
        draw: f64,
        now: Duration,
    ) -> Option<Duration> {
        let level = self.level(now);
        if level <= 0.0 {
            return None;
        }
        let above = level - URGENT_REFUSAL_LEVEL * (1.0 - rank());
        let fraction = (above / URGENT_REFUSAL_LEVEL).clamp(0.0, MAX_REFUSED_FRACTION);
        (draw < fraction).then(|| self.mean_wait().max(MIN_RETRY_AFTER))
    }

    /// Returns the refusal level at a time, from zero (nothing is refused) to one.
    pub fn level(&mut self, now: Duration) -> f64 {
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
        self.level
    }

    /// Returns the mean of the recent waits.
    pub fn mean_wait(&self) -> Duration {
        let mean = self.wait_seconds / self.count.max(1e-9);
        Duration::try_from_secs_f64(mean).unwrap_or(Duration::MAX)
    }

    fn decay(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.decayed_at).as_secs_f64();
        let decay = (-passed / self.decay_time.as_secs_f64()).exp();
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
