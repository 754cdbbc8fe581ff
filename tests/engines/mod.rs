//! Simulated engines that prefill their queued prompts in turns (processor sharing), for tests of
//! speed estimates and scaling.

#![allow(dead_code, reason = "each test uses a part of it")]

use rand::{Rng, SeedableRng, rngs::StdRng};

/// Wait of every request apart from prefill, in seconds: network, one decoding step, and queueing
/// that does not depend on the prompt.
const FIXED_WAIT_SECONDS: f64 = 0.02;
/// Simulation step, in seconds.
pub const STEP_SECONDS: f64 = 0.001;
/// Mean tokens of a prompt.
pub const MEAN_PROMPT_TOKENS: f64 = 3_100.0;

/// Engines and their load.
pub struct Load {
    /// Prefill throughput of each engine, in tokens per second.
    pub speeds: Vec<f64>,
    /// Fraction of the time in which the engines prefill.
    pub utilization: f64,
    pub seconds: f64,
}

/// An event of the simulation.
pub enum Event {
    /// A step has passed.
    Step,
    /// A request got its first byte after a wait in seconds.
    FirstByte { tokens: f64, wait: f64 },
}

fn tokens(rng: &mut StdRng) -> f64 {
    // Most prompts are short and a few very long.
    match rng.random_range(0.0..1.0) {
        draw if draw < 0.5 => rng.random_range(200.0..2_000.0),
        draw if draw < 0.9 => rng.random_range(1_000.0..6_000.0),
        _ => rng.random_range(5_000.0..20_000.0),
    }
}

/// Simulates engines. Each request goes to the less busy of `choices` randomly drawn engines.
/// Returns the rate of tokens.
pub fn simulate(load: &Load, choices: usize, seed: u64, mut note: impl FnMut(Event)) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let all: f64 = load.speeds.iter().sum();
    let per_second = load.utilization * all / MEAN_PROMPT_TOKENS;
    let mut engines: Vec<Vec<(f64, f64, f64)>> = vec![Vec::new(); load.speeds.len()];
    let (mut now, mut tokens_sent) = (0.0, 0.0);
    while now < load.seconds {
        now += STEP_SECONDS;
        note(Event::Step);
        if rng.random_range(0.0..1.0) < per_second * STEP_SECONDS {
            let size = tokens(&mut rng);
            tokens_sent += size;
            let drawn = (0..choices).map(|_| rng.random_range(0..engines.len()));
            let engine = drawn.min_by_key(|engine| engines[*engine].len()).unwrap();
            engines[engine].push((now, size, size));
        }
        for (requests, speed) in engines.iter_mut().zip(&load.speeds) {
            let each = speed * STEP_SECONDS / requests.len().max(1) as f64;
            requests.retain_mut(|(since, size, left)| {
                *left -= each;
                if *left <= 0.0 {
                    let wait = now - *since + FIXED_WAIT_SECONDS * rng.random_range(0.5..1.5);
                    note(Event::FirstByte {
                        tokens: *size,
                        wait,
                    });
                }
                *left > 0.0
            });
        }
    }
    tokens_sent / load.seconds
}
