//! How many callers each gateway is given. Gateways of one deployment differ in size, and callers connect to
//! a random one of the addresses that they get. See docs/design/GATEWAY_CAPACITY.md.

use std::time::Duration;

use crate::settings::Machine;

/// A gateway with balanced parts, by which others are rated; the parts in proportion to what requests use of them.
const BALANCED: Parts = Parts {
    memory_mb: 1024.0,
    cores: 1.0,
    descriptors: 32_768.0,
    link_mbps: 80.0,
};
/// Capacity of a balanced gateway, which leaves enough digits for those of a hundredth of its size.
const BALANCED_CAPACITY: f64 = 1000.0;

/// Least number of gateways in an answer, so that a caller can try two others after a failure.
pub const MIN_ADDRESSES: usize = 3;

/// Delay of the event loop that counts as late. A request waits for the loop some ten times, which adds up to the
/// shortest latency targets.
const LATE: Duration = Duration::from_millis(20);
/// Fraction of late observations from which a window counts as strained.
const STRAINED_FRACTION: f64 = 0.5;
/// Fraction of late observations up to which a window counts as calm.
const CALM_FRACTION: f64 = 0.1;
/// Observations in a window; fewer would let one pause of the process decide.
const WINDOW: u32 = 20;
/// Least time between two changes: that of a few address lifetimes, after which callers have followed the change.
const MIN_HOLD: Duration = Duration::from_secs(6);
/// Longest time until a level is raised again, so that a machine that recovered gets its callers back.
const MAX_HOLD: Duration = Duration::from_secs(96);
/// Levels between the least and the full capacity. Few, because each change is sent to all gateways.
const LEVELS: u32 = 4;

struct Parts {
    memory_mb: f64,
    cores: f64,
    descriptors: f64,
    link_mbps: f64,
}

/// Returns the capacity of a gateway at full strength: that of its scarcest part, in thousandths of a balanced gateway of one
/// core. Returns `None` if nothing is known of it.
pub fn rated(machine: &Machine) -> Option<u32> {
    let parts = [
        machine.memory_mb.map(|mb| mb as f64 / BALANCED.memory_mb),
        machine.cores.map(|cores| cores / BALANCED.cores),
        machine
            .descriptors
            .map(|count| count as f64 / BALANCED.descriptors),
        machine.link_mbps.map(|mbps| mbps / BALANCED.link_mbps),
    ];
    let scarcest = parts.into_iter().flatten().reduce(f64::min)?;
    Some((scarcest * BALANCED_CAPACITY).max(1.0) as u32)
}

/// How strained a gateway is, from the delays of its event loop. Answers a machine that is slower for seconds or longer than
/// its settings say. The level falls and rises by one step at a time and is held after each, so that callers have followed
/// before it is judged again; a level that proved too high is tried later each time.
#[derive(Clone, Debug)]
pub struct Strain {
    level: u32,
    seen: u32,
    late: u32,
    changed_at: Option<Duration>,
    has_risen: bool,
    /// Time without strain after which the level rises.
    rise_after: Duration,
    calm_since: Option<Duration>,
}

impl Default for Strain {
    fn default() -> Self {
        Self {
            level: LEVELS,
            seen: 0,
            late: 0,
            changed_at: None,
            has_risen: false,
            rise_after: MIN_HOLD,
            calm_since: None,
        }
    }
}

impl Strain {
    /// Records how late the event loop was at `now`, and returns whether this changed the level.
    pub fn observe(&mut self, delay: Duration, now: Duration) -> bool {
        self.seen += 1;
        self.late += u32::from(delay > LATE);
        if self.seen < WINDOW {
            return false;
        }
        let late = f64::from(self.late) / f64::from(self.seen);
        (self.seen, self.late) = (0, 0);
        if late > CALM_FRACTION {
            self.calm_since = None;
        } else if self.calm_since.is_none() {
            self.calm_since = Some(now);
        }
        let held = self.changed_at.map(|at| now.saturating_sub(at));
        if held.is_some_and(|held| held < MIN_HOLD) {
            return false;
        }
        if late >= STRAINED_FRACTION && self.level > 1 {
            let was_too_high = self.has_risen && held.is_some_and(|held| held < MAX_HOLD);
            self.rise_after = match was_too_high {
                true => (self.rise_after * 2).min(MAX_HOLD),
                false => MIN_HOLD,
            };
            self.set_level(self.level - 1, now);
            return true;
        }
        let is_calm = self
            .calm_since
            .is_some_and(|since| now.saturating_sub(since) >= self.rise_after);
        if is_calm && self.level < LEVELS {
            self.set_level(self.level + 1, now);
            return true;
        }
        false
    }

    /// Returns what is left of a rated capacity.
    pub fn apply(&self, rated: u32) -> u32 {
        let left = u64::from(rated) * u64::from(self.level) / u64::from(LEVELS);
        u32::try_from(left).unwrap_or(u32::MAX).max(1)
    }

    fn set_level(&mut self, level: u32, now: Duration) {
        self.has_risen = level > self.level;
        self.level = level;
        self.changed_at = Some(now);
        self.calm_since = None;
    }
}

/// Draws the gateways of one answer to a caller and returns their indexes. `capacities` are those of the gateways that the
/// caller may use, zero if unknown; `most` bounds the answer, and `draw` is a random number, uniform between zero and one.
///
/// Callers pick an address of the answer with equal chances. Each gateway is in the answer with a probability in proportion
/// to its capacity, the largest in all, so that the expected share of callers follows the capacities and a gateway that is
/// strained takes no other one out of answers. An answer holds at least [`MIN_ADDRESSES`]. Equal capacities give the first
/// `most` gateways.
pub fn draw(capacities: &[u32], most: usize, draw: f64) -> Vec<usize> {
    let count = capacities.len();
    let weights = weights(capacities);
    let largest = weights.iter().copied().fold(0.0, f64::max);
    let is_equal = weights.iter().all(|weight| *weight == largest);
    if is_equal || count <= MIN_ADDRESSES {
        return (0..count.min(most)).collect();
    }
    // The largest ones are in every answer, unless that would be too short or too long.
    let sum = weights.iter().sum::<f64>() / largest;
    let least = MIN_ADDRESSES.min(most);
    let probabilities = match sum {
        short if short < least as f64 => inclusion_probabilities(&weights, least),
        long if long > most as f64 => inclusion_probabilities(&weights, most),
        _ => weights.iter().map(|weight| weight / largest).collect(),
    };
    // Systematic sampling: the gateways whose parts of the line hold `draw` plus an integer.
    let mut end = 0.0;
    let mut drawn = Vec::new();
    for (index, probability) in probabilities.into_iter().enumerate() {
        let begin: f64 = end;
        end += probability;
        if (end - draw).ceil() > (begin - draw).ceil() {
            drawn.push(index);
        }
    }
    drawn
}

/// Returns the capacities, where an unknown one counts as the mean of the known ones.
fn weights(capacities: &[u32]) -> Vec<f64> {
    let known = capacities.iter().filter(|capacity| **capacity > 0);
    let (count, sum) = known.fold((0, 0.0), |(count, sum), capacity| {
        (count + 1, sum + f64::from(*capacity))
    });
    let mean = match count {
        0 => 1.0,
        _ => sum / f64::from(count),
    };
    let weight = |capacity: &u32| match capacity {
        0 => mean,
        known => f64::from(*known),
    };
    capacities.iter().map(weight).collect()
}

/// Returns probabilities that sum up to `size` and are in proportion to the weights, except for those that would exceed one.
fn inclusion_probabilities(weights: &[f64], size: usize) -> Vec<f64> {
    let mut certain = vec![false; weights.len()];
    loop {
        let rest: f64 = weights
            .iter()
            .zip(&certain)
            .filter(|(_, certain)| !**certain)
            .map(|(weight, _)| weight)
            .sum();
        let left = size - certain.iter().filter(|certain| **certain).count();
        let scale = left as f64 / rest;
        let mut has_more = false;
        for (weight, certain) in weights.iter().zip(&mut certain) {
            if !*certain && weight * scale > 1.0 {
                *certain = true;
                has_more = true;
            }
        }
        if !has_more {
            return weights
                .iter()
                .zip(certain)
                .map(|(weight, certain)| if certain { 1.0 } else { weight * scale })
                .collect();
        }
    }
}
