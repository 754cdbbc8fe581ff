//! Adaptive timeout after which a silent upstream counts as lost.
//!
//! A model engine that prefills long prompts, or serves many requests at once, pauses longer than a
//! small one. A fixed timeout cuts healthy streams on one engine and waits too long for a dead one
//! on another. The timeout therefore follows from the route's latency targets, and grows with the
//! pauses observed at the upstreams of the service. See docs/DECISIONS.md, "Lost engines".

use std::time::Duration;

/// Shortest timeout, as a multiple of the route's target: an upstream that is on time is silent for
/// half of it at most.
const MIN_TIMEOUT_TARGETS: u32 = 2;
/// Callers of streams wait at least this long, or a multiple of the route's target for the first
/// event or for the pause between events, whichever is longest, before they disconnect. From the
/// users' pages.
const MIN_CALLER_PATIENCE: Duration = Duration::from_secs(2);
const CALLER_PATIENCE_TARGETS: u32 = 4;
const CALLER_PATIENCE_GAPS: u32 = 8;
/// Fraction of a caller's patience after which a stream is given up even if its upstream is alive;
/// the rest is left for another upstream to begin.
const MAX_SILENCE_FRACTION: f64 = 0.5;
/// Smoothing factor of the mean pause, and of the slow decay of the longest one: the longest of
/// about a thousand pauses counts, so that occasional prefills of long prompts stay within it.
const PAUSE_WEIGHT: f64 = 1.0 / 1024.0;
/// Timeout as a multiple of the longest observed pause. A wait that timed out counts as a pause, so
/// each timeout raises the next by this factor until healthy streams are no longer cut.
const LONGEST_PAUSE_FACTOR: f64 = 1.25;

/// What a request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Awaited {
    /// The first byte of an answer.
    First,
    /// The next event of a stream.
    Next,
}

/// Latency targets of a route's answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseTargets {
    /// Time to the first byte.
    pub first: Duration,
    /// Longest pause between two events.
    pub gap: Duration,
}

impl ResponseTargets {
    /// Returns how long the caller of a stream waits for the next event before it disconnects.
    pub fn caller_patience(&self) -> Duration {
        MIN_CALLER_PATIENCE
            .max(self.first * CALLER_PATIENCE_TARGETS)
            .max(self.gap * CALLER_PATIENCE_GAPS)
    }

    /// Returns the silence after which a stream is resumed at another upstream even if its own is
    /// alive.
    pub fn max_silence(&self) -> Duration {
        self.caller_patience().mul_f64(MAX_SILENCE_FRACTION)
    }
}

/// Pauses observed at the upstreams of one service.
#[derive(Clone, Debug, Default)]
pub struct PauseTracker {
    first: PauseStats,
    next: PauseStats,
}

impl PauseTracker {
    /// Records how long a wait took, also one that ended in a timeout.
    pub fn record(&mut self, awaited: Awaited, pause: Duration) {
        let pauses = match awaited {
            Awaited::First => &mut self.first,
            Awaited::Next => &mut self.next,
        };
        pauses.record(pause);
    }

    /// Returns the silence after which an upstream counts as lost.
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

/// Statistics of pauses, in seconds.
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
