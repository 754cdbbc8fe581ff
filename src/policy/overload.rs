//! Decides whether a request is refused at once because those sent before it wait too long.
//!
//! A model engine takes what it is sent into a queue. When more comes than all engines can begin, every
//! request waits, and soon none is in time, although most could be. A gateway therefore measures how long
//! its requests wait for the first byte of their answers, and refuses a part, the least urgent first, for as
//! long as many of these waits come near the target. See docs/DECISIONS.md, "Refusing in a burst".

use std::time::Duration;

/// Time over which waits are judged: a few times a usual wait, and short against a burst.
const SPAN: Duration = Duration::from_millis(300);
/// Part of the target up to which a wait is well; the rest is for what comes after the first byte's way
/// here, and for the time in which refusing shows.
const WELL: f64 = 0.5;
/// Part of the waits that may be longer. Servers that are lost or lose answers make some requests wait
/// long, which refusing others does not help.
const LONG_PART: f64 = 0.4;
/// How much the level changes in a second if all waits are too long.
const GAIN: f64 = 4.0;
/// Longest time without a request for which the level rises at once.
const LONGEST_STEP: Duration = Duration::from_millis(200);
/// Waits in the span from which on they say something.
const FEWEST_WAITS: f64 = 3.0;
/// Largest part of the requests of one urgency that is refused, so that none is shut out.
const MOST_REFUSED: f64 = 0.85;
/// Level at which also the most urgent requests begin to be refused.
const LEVEL_OF_URGENT: f64 = 0.7;
/// Shortest time after which a refused caller is asked to come back.
const SHORTEST_RETURN: Duration = Duration::from_millis(500);

/// How long one gateway's requests for one service waited for the first byte of their answers.
#[derive(Clone, Debug, Default)]
pub struct Waits {
    /// First bytes, those that were waited for too long, and their waits in seconds, each summed over
    /// [`SPAN`].
    count: f64,
    long: f64,
    waited: f64,
    /// How much is refused, from nothing at zero to most at one.
    level: f64,
    at: Duration,
    level_at: Duration,
}

impl Waits {
    /// Notes the first byte of an answer, and for how long a request with that target waited for it.
    pub fn begun(&mut self, wait: Duration, target: Duration, now: Duration) {
        self.advance(now);
        self.count += 1.0;
        self.waited += wait.as_secs_f64();
        if wait > target.mul_f64(WELL) {
            self.long += 1.0;
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
        self.advance(now);
        let passed = now.saturating_sub(self.level_at);
        self.level_at = now;
        let long = match self.count >= FEWEST_WAITS {
            true => self.long / self.count,
            false => 0.0,
        };
        let excess = (long - LONG_PART) / LONG_PART;
        let step = match excess > 0.0 {
            true => passed.min(LONGEST_STEP),
            false => passed,
        };
        self.level = (self.level + GAIN * excess * step.as_secs_f64()).clamp(0.0, 1.0);
        if self.level <= 0.0 {
            return None;
        }
        let above = self.level - LEVEL_OF_URGENT * (1.0 - rank());
        let part = (above / LEVEL_OF_URGENT).clamp(0.0, MOST_REFUSED);
        (draw < part).then(|| self.wait().max(SHORTEST_RETURN))
    }

    /// Returns the mean of the latest waits.
    fn wait(&self) -> Duration {
        let mean = self.waited / self.count.max(1e-9);
        Duration::try_from_secs_f64(mean).unwrap_or(Duration::MAX)
    }

    fn advance(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        let kept = (-passed / SPAN.as_secs_f64()).exp();
        for sum in [&mut self.count, &mut self.long, &mut self.waited] {
            *sum *= kept;
        }
        self.at = self.at.max(now);
    }
}
