//! How long an upstream may be silent before it is taken to be lost.
//!
//! A model engine that reads long prompts, or serves many requests at once, pauses longer than a small one. A
//! fixed limit cuts sound streams on one and waits too long for a dark one on another. The limit therefore
//! follows from the route's own targets, and grows with the pauses that upstreams of the service are seen to
//! make. See docs/DECISIONS.md, "Lost engines".

use std::time::Duration;

/// Silence, in times of what the route allows for an answer that is on time, before which nothing is taken
/// to be lost: an upstream that is on time is silent for half of it at most.
const MIN_TIMEOUT_TARGETS: u32 = 2;
/// Shortest time after which callers of streams leave, and the same in times of the route's target for the
/// first event and for the pause between events; they wait for the longest of the three. From the users'
/// pages.
const MIN_CALLER_PATIENCE: Duration = Duration::from_secs(2);
const CALLER_PATIENCE_TARGETS: u32 = 4;
const CALLER_PATIENCE_GAPS: u32 = 8;
/// Part of a caller's wait after which a stream is given up also at an upstream that is alive; the rest is for
/// another one to begin.
const MAX_SILENCE_FRACTION: f64 = 0.5;
/// Weight of one pause in the mean, and in the slow fall of the longest one: the longest of about a thousand
/// pauses counts, so that long prompts read now and then are within it.
const PAUSE_WEIGHT: f64 = 1.0 / 1024.0;
/// Times the longest pause seen after which an upstream is taken to be lost. A wait that is given up counts as
/// a pause, so each one lengthens the limit by this until it no longer cuts sound streams.
const LONGEST_PAUSE_FACTOR: f64 = 1.25;

/// What is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Awaited {
    /// The first byte of an answer.
    First,
    /// The next event of a stream.
    Next,
}

/// What a route allows for an answer that is on time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseTargets {
    /// Time to the first byte.
    pub first: Duration,
    /// Longest pause between two events.
    pub gap: Duration,
}

impl ResponseTargets {
    /// Returns for how long a caller of a stream waits for what comes next.
    pub fn caller_patience(&self) -> Duration {
        MIN_CALLER_PATIENCE
            .max(self.first * CALLER_PATIENCE_TARGETS)
            .max(self.gap * CALLER_PATIENCE_GAPS)
    }

    /// Returns the silence after which a stream is taken up elsewhere also if its upstream is alive.
    pub fn max_silence(&self) -> Duration {
        self.caller_patience().mul_f64(MAX_SILENCE_FRACTION)
    }
}

/// The pauses that upstreams of one service were seen to make.
#[derive(Clone, Debug, Default)]
pub struct PauseTracker {
    first: PauseStats,
    next: PauseStats,
}

impl PauseTracker {
    /// Notes how long something was waited for, also if the wait was given up then.
    pub fn record(&mut self, awaited: Awaited, pause: Duration) {
        let pauses = match awaited {
            Awaited::First => &mut self.first,
            Awaited::Next => &mut self.next,
        };
        pauses.record(pause);
    }

    /// Returns the silence after which an upstream is taken to be lost.
    pub fn timeout(&self, awaited: Awaited, targets: &ResponseTargets) -> Duration {
        let target = match awaited {
            Awaited::First => targets.first,
            Awaited::Next => targets.gap,
        };
        let observed = self.pauses(awaited).longest * LONGEST_PAUSE_FACTOR;
        let observed = Duration::try_from_secs_f64(observed).unwrap_or(Duration::MAX);
        (target * MIN_TIMEOUT_TARGETS)
            .max(observed)
            .min(targets.max_silence())
    }

    /// Returns the mean pause, in seconds.
    pub fn mean(&self, awaited: Awaited) -> f64 {
        self.pauses(awaited).mean
    }

    fn pauses(&self, awaited: Awaited) -> &PauseStats {
        match awaited {
            Awaited::First => &self.first,
            Awaited::Next => &self.next,
        }
    }
}

/// In seconds.
#[derive(Clone, Copy, Debug, Default)]
struct PauseStats {
    mean: f64,
    longest: f64,
    count: u32,
}

impl PauseStats {
    fn record(&mut self, pause: Duration) {
        let pause = pause.as_secs_f64();
        self.count = self.count.saturating_add(1);
        // The first pauses count equally.
        let weight = PAUSE_WEIGHT.max(1.0 / f64::from(self.count));
        self.mean += weight * (pause - self.mean);
        self.longest += PAUSE_WEIGHT * (pause - self.longest);
        self.longest = self.longest.max(pause);
    }
}
