//! Load shedding in bursts that engines cannot start in time, compared with refusing nothing.

use std::{collections::VecDeque, time::Duration};

use flamingocroft::policy::overload::LoadShedder;
use rand::{Rng, SeedableRng, rngs::StdRng};

const GATEWAYS: usize = 8;
const TARGET: Duration = Duration::from_millis(300);
const PATIENCE: Duration = Duration::from_millis(2500);
/// Time to the first byte without queueing.
const BASE_LATENCY: Duration = Duration::from_millis(80);
/// Requests that all engines together can start per second.
const CAPACITY_PER_SECOND: f64 = 300.0;
const STEP: Duration = Duration::from_millis(1);

/// Outcomes of the requests of one urgency.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    asked: u32,
    in_time: u32,
    late: u32,
    refused: u32,
}

impl Outcome {
    fn fraction_in_time(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked)
    }
}

struct Load {
    /// Request rate at a time, as a fraction of the capacity.
    rate: fn(f64) -> f64,
    sheds_load: bool,
    seed: u64,
}

/// Simulates 13 seconds: requests arrive at random gateways and are started in the order in which
/// they were sent. Returns the outcomes of the requests that arrived between `from` and `to`, by
/// urgency, the most urgent first.
fn simulate(load: &Load, from: f64, to: f64) -> [Outcome; 2] {
    let mut rng = StdRng::seed_from_u64(load.seed);
    let mut shedders = vec![LoadShedder::default(); GATEWAYS];
    let mut queue: VecDeque<(Duration, usize, usize)> = VecDeque::new();
    let mut beginning: VecDeque<(Duration, Duration, usize, usize)> = VecDeque::new();
    let mut outcomes = [Outcome::default(); 2];
    let (mut now, mut credit) = (Duration::ZERO, 0.0);
    let mut note = |asked: Duration, urgency: usize, change: fn(&mut Outcome)| {
        if (from..to).contains(&asked.as_secs_f64()) {
            change(&mut outcomes[urgency]);
        }
    };
    while now < Duration::from_secs(13) {
        now += STEP;
        let at = now.as_secs_f64();
        let mut due = (load.rate)(at) * CAPACITY_PER_SECOND * STEP.as_secs_f64();
        while rng.random_range(0.0..1.0) < due {
            due -= 1.0;
            let gateway = rng.random_range(0..GATEWAYS);
            let urgency = usize::from(rng.random_bool(0.5));
            note(now, urgency, |outcome| outcome.asked += 1);
            let draw = rng.random_range(0.0..1.0);
            let refused = shedders[gateway].refuse(|| urgency as f64, draw, now);
            if load.sheds_load && refused.is_some() {
                note(now, urgency, |outcome| outcome.refused += 1);
                continue;
            }
            queue.push_back((now, gateway, urgency));
        }
        credit = (credit + CAPACITY_PER_SECOND * STEP.as_secs_f64())
            .min(1.0 + CAPACITY_PER_SECOND * STEP.as_secs_f64());
        while credit >= 1.0 {
            let Some((sent, gateway, urgency)) = queue.pop_front() else {
                break;
            };
            if now - sent > PATIENCE {
                continue;
            }
            credit -= 1.0;
            beginning.push_back((now + BASE_LATENCY, sent, gateway, urgency));
        }
        while beginning.front().is_some_and(|(at, ..)| *at <= now) {
            let (_, sent, gateway, urgency) = beginning.pop_front().unwrap();
            shedders[gateway].record_first_byte(now - sent, TARGET, now);
            match now - sent <= TARGET {
                true => note(sent, urgency, |outcome| outcome.in_time += 1),
                false => note(sent, urgency, |outcome| outcome.late += 1),
            }
        }
    }
    outcomes
}

/// A rate of two thirds of the capacity, and of 1.4 times the capacity from second 2 to 6.
fn burst(at: f64) -> f64 {
    if (2.0..6.0).contains(&at) { 1.4 } else { 0.67 }
}

#[test]
fn refusing_some_requests_keeps_most_in_time_during_a_burst() {
    for seed in 0..5 {
        let load = |sheds_load| Load {
            rate: burst,
            sheds_load,
            seed,
        };
        let [urgent, other] = simulate(&load(true), 2.5, 8.0);
        let unprotected = simulate(&load(false), 2.5, 8.0);
        let all = |outcomes: [Outcome; 2]| {
            let sum = |part: fn(&Outcome) -> u32| f64::from(outcomes.iter().map(part).sum::<u32>());
            sum(|outcome| outcome.in_time) / sum(|outcome| outcome.asked)
        };
        let gained = all([urgent, other]) - all(unprotected);
        assert!(
            gained > 0.35,
            "{urgent:?} {other:?} against {unprotected:?}"
        );
        assert!(
            urgent.fraction_in_time() > other.fraction_in_time(),
            "{urgent:?} {other:?}"
        );
        assert!(urgent.fraction_in_time() > 0.6, "{urgent:?}");
        assert!(
            other.fraction_in_time() > 0.2,
            "less urgent requests are shut out: {other:?}"
        );
    }
}

#[test]
fn nothing_is_refused_while_requests_are_in_time() {
    for seed in 0..5 {
        let load = Load {
            rate: |_| 0.85,
            sheds_load: true,
            seed,
        };
        let refused: u32 = simulate(&load, 0.0, 10.0)
            .iter()
            .map(|outcome| outcome.refused)
            .sum();
        assert!(refused < 5, "{refused} of about 2,550");
    }
}

#[test]
fn refusals_end_soon_after_the_burst() {
    for seed in 0..5 {
        let load = Load {
            rate: burst,
            sheds_load: true,
            seed,
        };
        let [urgent, other] = simulate(&load, 7.0, 10.0);
        assert!(urgent.refused + other.refused < 10, "{urgent:?} {other:?}");
    }
}

/// Single requests are no sign of a queue, however long they take.
#[test]
fn a_gateway_with_few_requests_refuses_none() {
    let mut shedders = LoadShedder::default();
    for i in 1..50 {
        let now = Duration::from_secs(i);
        assert_eq!(shedders.refuse(|| 1.0, 0.0, now), None);
        shedders.record_first_byte(Duration::from_millis(900), TARGET, now);
    }
}

/// A quarter of the requests waits long because some servers lose their answers; the others are in
/// time.
#[test]
fn lost_servers_alone_cause_no_refusals() {
    let mut shedders = LoadShedder::default();
    for i in 0..2000_u64 {
        let now = Duration::from_millis(5 * i);
        assert_eq!(shedders.refuse(|| 1.0, 0.0, now), None);
        let wait = if i % 4 == 3 { 1500 } else { 90 };
        shedders.record_first_byte(Duration::from_millis(wait), TARGET, now);
    }
}

#[test]
fn the_retry_delay_is_the_mean_wait() {
    let mut shedders = LoadShedder::default();
    let told = (0..200).find_map(|i| {
        let now = Duration::from_millis(10 * i);
        shedders.record_first_byte(Duration::from_millis(1200), TARGET, now);
        shedders.refuse(|| 1.0, 0.0, now)
    });
    let later = Duration::from_secs(8);
    assert_eq!(
        shedders.refuse(|| 1.0, 0.0, later),
        None,
        "no request waits any more"
    );
    let told = told.unwrap();
    assert!((told.as_secs_f64() - 1.2).abs() < 0.01, "{told:?}");
}
