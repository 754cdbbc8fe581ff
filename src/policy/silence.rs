//! How long an upstream may be silent before it is taken to be lost.
//!
//! A model engine that reads long prompts, or serves many requests at once, pauses longer than a small one. A
//! fixed limit cuts sound streams on one and waits too long for a dark one on another. The limit therefore
//! follows from the route's own targets, and grows with the pauses that upstreams of the service are seen to
//! make. See docs/DECISIONS.md, "Lost engines".

use std::time::Duration;

/// Silence, in times of what the route allows for an answer that is on time, before which nothing is taken
/// to be lost: an upstream that is on time is silent for half of it at most.
const TARGETS: u32 = 2;
/// Shortest time after which callers of streams leave, and the same in times of the route's target for the
/// first event and for the pause between events; they wait for the longest of the three. From the users'
/// pages.
const CALLER_WAITS: Duration = Duration::from_secs(2);
const CALLER_WAITS_TARGETS: u32 = 4;
const CALLER_WAITS_GAPS: u32 = 8;
/// Part of a caller's wait after which a stream is given up also at an upstream that is alive; the rest is for
/// another one to begin.
const PART_OF_WAIT: f64 = 0.5;
/// Weight of one pause in the mean, and in the slow fall of the longest one: the longest of about a thousand
/// pauses counts, so that long prompts read now and then are within it.
const WEIGHT: f64 = 1.0 / 1024.0;
/// Times the longest pause seen after which an upstream is taken to be lost. A wait that is given up counts as
/// a pause, so each one lengthens the limit by this until it no longer cuts sound streams.
const HEADROOM: f64 = 1.25;

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
pub struct OnTime {
    /// Time to the first byte.
    pub first: Duration,
    /// Longest pause between two events.
    pub gap: Duration,
}

impl OnTime {
    /// Returns for how long a caller of a stream waits for what comes next.
    pub fn caller_waits(&self) -> Duration {
        CALLER_WAITS
            .max(self.first * CALLER_WAITS_TARGETS)
            .max(self.gap * CALLER_WAITS_GAPS)
    }

    /// Returns the silence after which a stream is taken up elsewhere also if its upstream is alive.
    pub fn longest(&self) -> Duration {
        self.caller_waits().mul_f64(PART_OF_WAIT)
    }
}

/// The pauses that upstreams of one service were seen to make.
#[derive(Clone, Debug, Default)]
pub struct Silences {
    first: Pauses,
    next: Pauses,
}

impl Silences {
    /// Notes how long something was waited for, also if the wait was given up then.
    pub fn note(&mut self, awaited: Awaited, pause: Duration) {
        let pauses = match awaited {
            Awaited::First => &mut self.first,
            Awaited::Next => &mut self.next,
        };
        pauses.note(pause);
    }

    /// Returns the silence after which an upstream is taken to be lost.
    pub fn limit(&self, awaited: Awaited, on_time: &OnTime) -> Duration {
        let target = match awaited {
            Awaited::First => on_time.first,
            Awaited::Next => on_time.gap,
        };
        let seen = self.pauses(awaited).longest * HEADROOM;
        let seen = Duration::try_from_secs_f64(seen).unwrap_or(Duration::MAX);
        (target * TARGETS).max(seen).min(on_time.longest())
    }

    /// Returns the mean pause, in seconds.
    pub fn mean(&self, awaited: Awaited) -> f64 {
        self.pauses(awaited).mean
    }

    fn pauses(&self, awaited: Awaited) -> &Pauses {
        match awaited {
            Awaited::First => &self.first,
            Awaited::Next => &self.next,
        }
    }
}

/// In seconds.
#[derive(Clone, Copy, Debug, Default)]
struct Pauses {
    mean: f64,
    longest: f64,
    count: u32,
}

impl Pauses {
    fn note(&mut self, pause: Duration) {
        let pause = pause.as_secs_f64();
        self.count = self.count.saturating_add(1);
        // The first pauses count equally.
        let weight = WEIGHT.max(1.0 / f64::from(self.count));
        self.mean += weight * (pause - self.mean);
        self.longest += WEIGHT * (pause - self.longest);
        self.longest = self.longest.max(pause);
    }
}
