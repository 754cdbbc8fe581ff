//! Timeouts of silent upstreams: kinds of engines, a slow engine among healthy ones, and dead
//! engines.

use std::time::Duration;

use flamingocroft::policy::silence::{Awaited, PauseTracker, ResponseTargets};
use rand::{Rng, SeedableRng, rngs::StdRng};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Targets of a fast engine, and of one with a third of its prefill throughput and eight times its
/// concurrent requests.
const QUICK: ResponseTargets = ResponseTargets {
    first: Duration::from_millis(300),
    gap: Duration::from_millis(250),
};
const SLOW: ResponseTargets = ResponseTargets {
    first: Duration::from_millis(1200),
    gap: Duration::from_millis(800),
};

/// Returns pauses of an engine: mostly near the usual one, occasionally with the prefill of a long
/// prompt in between.
fn pauses(usual: f64, seed: u64) -> impl Iterator<Item = Duration> {
    let mut rng = StdRng::seed_from_u64(seed);
    std::iter::repeat_with(move || {
        let is_prefill = rng.random_range(0.0..1.0) < 0.1;
        let most = if is_prefill { 4.0 } else { 1.5 };
        Duration::from_secs_f64(usual * rng.random_range(0.7..most))
    })
}

/// Records 2,000 pauses and returns how many of the later half exceed the timeout although the
/// engine is healthy.
fn count_false_timeouts(targets: &ResponseTargets, usual: f64) -> usize {
    let mut tracker = PauseTracker::default();
    let mut false_timeouts = 0;
    for (i, pause) in pauses(usual, 5).take(2000).enumerate() {
        let timeout = tracker.timeout(Awaited::Next, targets);
        tracker.record(Awaited::Next, pause.min(timeout));
        false_timeouts += usize::from(i >= 1000 && pause > timeout);
    }
    false_timeouts
}

#[test]
fn healthy_engines_of_every_kind_do_not_time_out() {
    // Pauses on time, pauses up to a quarter over the target, and prefills of long prompts in
    // between.
    for (targets, usual) in [(QUICK, 0.03), (QUICK, 0.2), (SLOW, 0.1), (SLOW, 0.6)] {
        assert_eq!(
            count_false_timeouts(&targets, usual),
            0,
            "{targets:?} pauses {usual}"
        );
    }
}

#[test]
fn timeouts_that_are_too_short_grow() {
    // With a target far below the real pauses only the recorded ones help.
    let unknown = ResponseTargets {
        gap: ms(50),
        ..QUICK
    };
    let fixed = pauses(0.1, 5).take(1000).filter(|p| *p > ms(100)).count();
    assert!(fixed > 400, "twice the target cuts {fixed} of 1000");
    assert_eq!(count_false_timeouts(&unknown, 0.1), 0);
}

#[test]
fn a_dead_engine_times_out_before_its_callers_disconnect() {
    for (targets, usual) in [(QUICK, 0.03), (SLOW, 0.1), (SLOW, 0.6)] {
        let mut tracker = PauseTracker::default();
        for pause in pauses(usual, 9).take(500) {
            tracker.record(Awaited::Next, pause);
        }
        // A fifth of the streams are lost at the same time, again and again; each lost stream
        // records the timeout as its pause.
        for _ in 0..40 {
            let timeout = tracker.timeout(Awaited::Next, &targets);
            tracker.record(Awaited::Next, timeout);
        }
        let timeout = tracker.timeout(Awaited::Next, &targets);
        assert!(
            timeout <= targets.caller_patience() / 2,
            "{targets:?} {timeout:?}"
        );
    }
}

#[test]
fn the_targets_decide_before_any_pause_is_recorded() {
    let tracker = PauseTracker::default();
    assert_eq!(tracker.timeout(Awaited::First, &QUICK), ms(600));
    assert_eq!(tracker.timeout(Awaited::Next, &SLOW), ms(1600));
}

#[test]
fn the_timeout_follows_an_engine_that_slows_down_and_recovers() {
    let mut tracker = PauseTracker::default();
    let feed = |tracker: &mut PauseTracker, usual: f64| {
        for pause in pauses(usual, 3).take(2000) {
            tracker.record(Awaited::Next, pause);
        }
        tracker.timeout(Awaited::Next, &QUICK)
    };
    let quick = feed(&mut tracker, 0.02);
    let slow = feed(&mut tracker, 0.15);
    assert_eq!(quick, ms(500));
    assert!(slow > ms(550), "{slow:?}");
    assert_eq!(feed(&mut tracker, 0.02), ms(500));
}
