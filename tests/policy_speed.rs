//! Estimating the prefill throughput of engines: kinds of engines and loads, a slow engine among
//! healthy ones, a change of speed, and no requests at all.

mod engines;

use std::time::Duration;

use engines::{Event, Load, STEP_SECONDS};

use flamingocroft::policy::speed::PrefillStats;
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Simulates engines with random requests. Records their waits in `stats`, and returns the rate of
/// tokens.
fn simulate(load: &Load, stats: &mut PrefillStats, seed: u64) -> f64 {
    engines::simulate(load, 1, seed, |event| match event {
        Event::Step => stats.decay(Duration::from_secs_f64(STEP_SECONDS)),
        Event::FirstByte { tokens, wait } => {
            stats.record(tokens as u32, Duration::from_secs_f64(wait));
        }
    })
}

fn estimate(load: &Load, seed: u64) -> f64 {
    let mut stats = PrefillStats::default();
    let rate = simulate(load, &mut stats, seed);
    stats
        .tokens_per_second(rate, load.speeds.len() as u32)
        .unwrap()
}

#[test]
fn the_speed_of_each_kind_of_engine_is_estimated_at_each_load() {
    for speed in [20_000.0, 55_000.0, 157_000.0] {
        for utilization in [0.1, 0.35, 0.6] {
            let load = Load {
                speeds: vec![speed; 9],
                utilization,
                seconds: 40.0,
            };
            let ratio = estimate(&load, 3) / speed;
            assert!(
                (0.75..1.25).contains(&ratio),
                "{speed} at {utilization}: {ratio}"
            );
        }
    }
}

#[test]
fn a_slow_engine_among_healthy_ones_counts_proportionally() {
    let mut speeds = vec![100_000.0; 9];
    speeds[4] = 30_000.0;
    let load = Load {
        speeds,
        utilization: 0.2,
        seconds: 40.0,
    };
    let speed = estimate(&load, 5);
    assert!((60_000.0..110_000.0).contains(&speed), "{speed}");
}

#[test]
fn a_change_of_speed_is_detected_within_a_minute() {
    let mut stats = PrefillStats::default();
    let load = |speed: f64| Load {
        speeds: vec![speed; 9],
        utilization: 0.3,
        seconds: 60.0,
    };
    simulate(&load(150_000.0), &mut stats, 1);
    let rate = simulate(&load(50_000.0), &mut stats, 2);
    let speed = stats.tokens_per_second(rate, 9).unwrap();
    assert!((35_000.0..80_000.0).contains(&speed), "{speed}");
}

#[test]
fn the_sums_of_several_gateways_add_up() {
    let load = Load {
        speeds: vec![55_000.0; 9],
        utilization: 0.35,
        seconds: 20.0,
    };
    let (mut all, mut parts) = (PrefillStats::default(), PrefillStats::default());
    for seed in 0..4 {
        let mut part = PrefillStats::default();
        simulate(&load, &mut part, seed);
        assert!(part.count > 0.0);
        parts.merge(&part);
    }
    let rate = simulate(&load, &mut all, 0);
    let ratio = parts.tokens_per_second(rate, 9).unwrap() / all.tokens_per_second(rate, 9).unwrap();
    assert!((0.8..1.2).contains(&ratio), "{ratio}");
}

#[test]
fn there_is_no_estimate_without_enough_data() {
    let mut stats = PrefillStats::default();
    assert_eq!(stats.tokens_per_second(0.0, 9), None);
    simulate(
        &Load {
            speeds: vec![55_000.0; 9],
            utilization: 0.35,
            seconds: 20.0,
        },
        &mut stats,
        3,
    );
    assert_eq!(
        stats.tokens_per_second(170_000.0, 0),
        None,
        "the number of engines is unknown"
    );
    let mut stats = PrefillStats::default();
    for _ in 0..500 {
        stats.record(1_000, Duration::from_millis(80));
    }
    assert_eq!(
        stats.tokens_per_second(50_000.0, 9),
        None,
        "all prompts have the same length"
    );
    let mut rng = StdRng::seed_from_u64(4);
    let mut stats = PrefillStats::default();
    for _ in 0..500 {
        let wait = Duration::from_secs_f64(rng.random_range(0.05..0.5));
        stats.record(rng.random_range(200..9_000), wait);
    }
    assert_eq!(
        stats.tokens_per_second(50_000.0, 9),
        None,
        "the waits do not depend on the prompts"
    );
}
