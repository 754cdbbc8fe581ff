//! Learns how fast each upstream works, compared with the others of its service.
//!
//! The time that an upstream takes for one unit of work, the next event of a stream or a plain response, is inversely
//! proportional to its speed, but also grows with its load. Both are observed with each request, so an analysis of
//! covariance separates them: the slope of the logarithm of the time over the load is common to the upstreams of a
//! service, and what is left of an upstream's mean beyond it is its speed. The sums of several gateways add up to the
//! sums over all requests. It answers loads on upstreams of unequal speed. See docs/design/PACES.md.

use std::{collections::BTreeMap, time::Duration};

use crate::domain::InstanceName;

/// Time constant of the decay of the sums: long enough for a few dozen requests to each upstream at a request a second,
/// and short enough that a change of speed shows within a minute.
const DECAY_TIME: Duration = Duration::from_secs(30);
/// Fewest requests of an upstream, after decay, from which its speed is estimated.
const MIN_REQUESTS: f64 = 12.0;
/// Fewest upstreams with an estimate, since a speed is relative to those of the others.
const MIN_UPSTREAMS: usize = 2;
/// Requests that share an upstream at the same time see the same conditions, so that many of them count as one.
const REQUESTS_PER_INDEPENDENT_SAMPLE: f64 = 3.0;
/// Standard errors by which a speed must differ from the usual one to be used.
const MIN_STANDARD_ERRORS: f64 = 3.0;
/// Ratio between two adjacent speeds that are told apart. Coarse steps keep homes where they are.
const STEP_RATIO: f64 = 1.25;
/// Steps by which a speed differs from the usual one at most, so that the slowest upstream keeps about a quarter of the
/// requests of the fastest, which show when it recovers.
const MAX_STEPS: i32 = 3;
/// Distance of an estimate from the step in force, in steps, up to which that step stays.
const HYSTERESIS_STEPS: f64 = 0.75;
/// Time without requests after which an upstream counts as usual again.
const FORGET_AFTER: Duration = Duration::from_secs(120);
/// Time constant of the decay of trust in what an upstream states of its present pace, which changes many times a second.
const STATEMENT_TRUST_DECAY: Duration = Duration::from_millis(300);
/// Age from which such a statement says nothing.
const MAX_STATEMENT_AGE: Duration = Duration::from_secs(1);
/// Bounds of the factor by which a statement lengthens work.
const STRETCH_BOUNDS: (f64, f64) = (0.5, 10.0);

/// Bounds of the time of a unit of work in seconds: events that arrive together, or an upstream that hangs, say little of its
/// speed.
const TIME_BOUNDS: (f64, f64) = (1e-3, 60.0);
/// Largest load that counts, as a multiple of the slots.
const MAX_LOAD: f64 = 4.0;

/// Speed of an upstream that is as fast as the others of its service, in percent.
pub const USUAL_PERCENT: u32 = 100;

/// What a request may expect of the best upstream that can get it now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outlook {
    /// Time until the first byte of the answer.
    pub first: Duration,
    /// Longest pause between two events of a stream; zero for other answers.
    pub pause: Duration,
    /// Time for which the request keeps the upstream from other work, in seconds of that upstream.
    pub work_seconds: f64,
}

/// How fast an upstream works now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Learned speed, as a multiple of the service's mean.
    pub speed: f64,
    /// Factor by which work takes longer at this moment, from what the upstream stated last.
    pub stretch: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            speed: 1.0,
            stretch: 1.0,
        }
    }
}

impl Pace {
    /// Returns the factor by which work takes longer than at a usual upstream.
    pub fn slowness(&self) -> f64 {
        self.stretch / self.speed
    }
}

/// Returns the factor by which work takes longer, `age` after an upstream stated that it takes `percent` of its usual time.
pub fn stretch(percent: u32, age: Duration) -> f64 {
    if age >= MAX_STATEMENT_AGE {
        return 1.0;
    }
    let stated = (f64::from(percent) / 100.0).clamp(STRETCH_BOUNDS.0, STRETCH_BOUNDS.1);
    let trust = (-age.as_secs_f64() / STATEMENT_TRUST_DECAY.as_secs_f64()).exp();
    1.0 + (stated - 1.0) * trust
}

/// Returns the silence after which an upstream of a learned speed counts as lost, given the one for a usual upstream: a
/// slow upstream is not a broken one.
pub fn silence_timeout(usual: Duration, speed_percent: u32) -> Duration {
    match speed_percent {
        0 | USUAL_PERCENT.. => usual,
        slow => usual.saturating_mul(USUAL_PERCENT) / slow,
    }
}

/// Sums over the requests of one upstream for the analysis: their number, the logarithms of the seconds that a unit of
/// work took, the loads in which they ran, the squares of both, and the products.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PaceSums {
    /// Requests.
    pub count: f64,
    /// Logarithms of times in seconds.
    pub logs: f64,
    /// Squares of the logarithms.
    pub logs_squared: f64,
    /// Loads, as multiples of the upstream's slots.
    pub loads: f64,
    /// Squares of the loads.
    pub loads_squared: f64,
    /// Products of logarithms and loads.
    pub products: f64,
}

impl PaceSums {
    /// Records that a unit of work took `time` while the upstream had `load` requests for each of its slots.
    pub fn record(&mut self, time: Duration, load: f64) {
        let (min, max) = TIME_BOUNDS;
        let log = time.as_secs_f64().clamp(min, max).ln();
        let load = load.clamp(0.0, MAX_LOAD);
        self.merge(&Self {
            count: 1.0,
            logs: log,
            logs_squared: log * log,
            loads: load,
            loads_squared: load * load,
            products: log * load,
        });
    }

    /// Adds the sums of another gateway.
    pub fn merge(&mut self, other: &Self) {
        let mut other = *other;
        for (sum, more) in self.sums().into_iter().zip(other.sums()) {
            *sum += *more;
        }
    }

    /// Returns whether the sums can be those of requests.
    pub fn is_valid(&self) -> bool {
        let mut own = *self;
        self.count >= 0.0 && own.sums().into_iter().all(|sum| sum.is_finite())
    }

    fn decay(&mut self, passed: Duration) {
        let retained = (-passed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        for sum in self.sums() {
            *sum *= retained;
        }
    }

    fn sums(&mut self) -> [&mut f64; 6] {
        [
            &mut self.count,
            &mut self.logs,
            &mut self.logs_squared,
            &mut self.loads,
            &mut self.loads_squared,
            &mut self.products,
        ]
    }

    fn log_variation(&self) -> f64 {
        (self.logs_squared - self.logs * self.logs / self.count).max(0.0)
    }

    fn load_variation(&self) -> f64 {
        (self.loads_squared - self.loads * self.loads / self.count).max(0.0)
    }

    fn covariation(&self) -> f64 {
        self.products - self.logs * self.loads / self.count
    }
}

/// A change of an upstream's learned speed.
#[derive(Clone, Debug, PartialEq)]
pub struct PaceChange {
    /// The upstream.
    pub instance: InstanceName,
    /// Its speed now, in percent of the service's mean.
    pub percent: u32,
    /// Its speed before.
    pub before: u32,
    /// The estimate that led to the change, as a multiple of the service's mean; missing if it is forgotten.
    pub estimate: Option<f64>,
    /// Requests of the upstream that the estimate rests on, after decay.
    pub requests: f64,
}

/// The speeds of the upstreams of one service.
#[derive(Clone, Debug, Default)]
pub struct PaceLearner {
    upstreams: BTreeMap<InstanceName, Learned>,
    decayed_at: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Learned {
    sums: PaceSums,
    /// The speed in force, in steps of [`STEP_RATIO`].
    step: i32,
    reported_at: Duration,
}

/// The service's mean over its upstreams.
struct Reference {
    /// Mean of the logarithms at the mean load.
    log: f64,
    load: f64,
    /// Increase of a logarithm with the load.
    slope: f64,
    /// Variance of a single logarithm at a given load.
    variance: f64,
}

impl PaceLearner {
    /// Adds what gateways observed of an upstream since their last reports.
    pub fn record(&mut self, instance: &InstanceName, sums: &PaceSums, now: Duration) {
        let learned = self.upstreams.entry(instance.clone()).or_default();
        learned.sums.merge(sums);
        learned.reported_at = now;
    }

    /// Estimates all speeds, and returns those that changed.
    pub fn update(&mut self, now: Duration) -> Vec<PaceChange> {
        let passed = now.saturating_sub(self.decayed_at);
        self.decayed_at = now;
        for learned in self.upstreams.values_mut() {
            learned.sums.decay(passed);
        }
        let reference = self.reference();
        let mut changes = Vec::new();
        for (instance, learned) in &mut self.upstreams {
            let is_forgotten = now.saturating_sub(learned.reported_at) > FORGET_AFTER;
            let estimate = reference
                .as_ref()
                .filter(|_| !is_forgotten && learned.sums.count >= MIN_REQUESTS)
                .map(|reference| reference.speed_log(&learned.sums));
            let step = match (estimate, &reference) {
                (Some(log), Some(reference)) => {
                    next_step(learned.step, log, reference.error(&learned.sums))
                }
                _ if is_forgotten => 0,
                _ => learned.step,
            };
            if step != learned.step {
                changes.push(PaceChange {
                    instance: instance.clone(),
                    percent: percent(step),
                    before: percent(learned.step),
                    estimate: estimate.map(f64::exp),
                    requests: learned.sums.count,
                });
                learned.step = step;
            }
        }
        self.upstreams.retain(|_, learned| {
            learned.step != 0 || now.saturating_sub(learned.reported_at) <= FORGET_AFTER
        });
        changes
    }

    fn reference(&self) -> Option<Reference> {
        let known = || {
            let all = self.upstreams.values().map(|learned| &learned.sums);
            all.filter(|sums| sums.count >= MIN_REQUESTS)
        };
        let upstreams = known().count();
        if upstreams < MIN_UPSTREAMS {
            return None;
        }
        let load_variation: f64 = known().map(PaceSums::load_variation).sum();
        let covariation: f64 = known().map(PaceSums::covariation).sum();
        let log_variation: f64 = known().map(PaceSums::log_variation).sum();
        let requests: f64 = known().map(|sums| sums.count).sum();
        // More load never shortens work; a negative slope is noise.
        let slope = match load_variation > 0.0 {
            true => (covariation / load_variation).max(0.0),
            false => 0.0,
        };
        let unexplained = (log_variation - slope * covariation).max(0.0);
        let mean = |of: fn(&PaceSums) -> f64| {
            known().map(|sums| of(sums) / sums.count).sum::<f64>() / upstreams as f64
        };
        Some(Reference {
            log: mean(|sums| sums.logs),
            load: mean(|sums| sums.loads),
            slope,
            variance: unexplained / (requests - upstreams as f64).max(1.0),
        })
    }
}

impl Reference {
    /// Returns the logarithm of the speed of an upstream, relative to the mean.
    fn speed_log(&self, sums: &PaceSums) -> f64 {
        let expected = self.log + self.slope * (sums.loads / sums.count - self.load);
        expected - sums.logs / sums.count
    }

    /// Returns the standard error of that logarithm.
    fn error(&self, sums: &PaceSums) -> f64 {
        (self.variance * REQUESTS_PER_INDEPENDENT_SAMPLE / sums.count).sqrt()
    }
}

/// Returns the step that follows on `held` for an estimate with a standard error, both in logarithms.
fn next_step(held: i32, log: f64, error: f64) -> i32 {
    let steps = log / STEP_RATIO.ln();
    let is_certain = (log - f64::from(held) * STEP_RATIO.ln()).abs() > MIN_STANDARD_ERRORS * error;
    if (steps - f64::from(held)).abs() <= HYSTERESIS_STEPS || !is_certain {
        return held;
    }
    (steps.round() as i32).clamp(-MAX_STEPS, MAX_STEPS)
}

fn percent(step: i32) -> u32 {
    (f64::from(USUAL_PERCENT) * STEP_RATIO.powi(step)).round() as u32
}
