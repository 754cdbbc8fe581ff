//! Fair shares of a service's engines while there is too little room. See docs/design/ROOM.md.
//!
//! The load: one account, or all of them, ask for more work than engines can begin in time. How much
//! is refused follows from waits ([`super::overload`]); here it is decided whose requests these are.

use std::{collections::HashMap, time::Duration};

use super::{max_min, overload::LoadShedder, pace::Outlook};
use crate::domain::AccountName;

/// Time constant of the moving average of an account's demand: some requests at a usual rate, and
/// short compared with a burst.
const DEMAND_AVERAGING_TIME: Duration = Duration::from_secs(1);
/// Demand below which an account is forgotten, in seconds of an engine per second.
const MIN_DEMAND: f64 = 1e-6;
/// Most accounts whose demand is kept for a service; those with the least are forgotten.
pub const MAX_ACCOUNTS: usize = 64;
/// Prompt tokens that an engine reads in the time that one token to generate takes from the other
/// requests: prompts are read many tokens at a time, and tokens are generated one after the other.
const PROMPT_TOKENS_PER_OUTPUT_TOKEN: f64 = 10.0;
/// Fraction of all demand that is refused at the highest level.
const MAX_REFUSED_FRACTION: f64 = 0.97;
/// Fraction of an account's part of all demand, by weight, that it keeps at any level, so that none
/// is shut out.
const MIN_KEPT_FRACTION: f64 = 0.15;
/// Largest probability with which a request is refused, so that no kind of request is shut out.
const MAX_REFUSAL_PROBABILITY: f64 = 0.98;
/// Most by which the level of one gateway differs from the mean of all while it refuses by the sums
/// of all. Beyond, the load has risen since the sums were made.
const MAX_LEVEL_DIFFERENCE: f64 = 0.4;
/// Wait for the first event that is expected at the best upstream, as a fraction of the target,
/// from which requests are refused; the rest covers that not all get the best one.
const SCARCE_WAIT_FRACTION: f64 = 0.15;
/// That fraction of the target at which the level is highest; at upstreams that are not the best no
/// request would be in time.
const FULL_WAIT_FRACTION: f64 = 0.5;
/// Change per second of the lasting part of the level, for an expected wait of one target more, or of none at all.
const PRESSURE_GAIN_PER_SECOND: f64 = 2.0;
/// Longest time between two outlooks that counts for that change.
const MAX_PRESSURE_STEP: Duration = Duration::from_millis(200);
/// Time constant of the moving average of the expected waits; short compared with a target.
const PRESSURE_AVERAGING_TIME: Duration = Duration::from_millis(100);
/// Fraction of the work admitted lately within which an account's share is never refused; the rest
/// covers that the averages lag.
const PROTECTED_FRACTION: f64 = 0.9;
/// Time constant of the decay of the waits of earlier requests: a few requests at a gateway that
/// serves few of them.
const WAIT_DECAY_TIME: Duration = Duration::from_secs(1);
/// Whole parts into which demand and weights are scaled for the division.
const SCALE: f64 = 1e6;
/// Shortest retry delay; a service that is scarce stays so for about that long.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Fraction of the time left up to which callers honour a retry delay.
const HONOURED_FRACTION: f64 = 1.0 / 3.0;

/// What an account asks of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountDemand {
    /// The account.
    pub account: AccountName,
    /// Seconds of an engine per second.
    pub work: f64,
}

/// What all accounts ask of a service, and what it was given lately.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// The accounts with demand.
    pub accounts: Vec<AccountDemand>,
    /// Work that was admitted, in seconds of an engine per second.
    pub admitted: f64,
}

/// Estimates the work of a request, in seconds of an engine that reads `speed` prompt tokens a
/// second.
pub fn work_seconds(new_tokens: u32, output_tokens: u64, speed: f64) -> f64 {
    let tokens = f64::from(new_tokens) + output_tokens as f64 * PROMPT_TOKENS_PER_OUTPUT_TOKEN;
    tokens / speed.max(1.0)
}

/// The demand of each account for one service, as one gateway sees it.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    accounts: HashMap<AccountName, f64>,
    /// Mean urgency rank of the requests, weighted by their work.
    mean_rank: f64,
    total: f64,
    admitted: f64,
    decayed_at: Duration,
}

impl DemandMeter {
    /// Records that a request was admitted that takes `work` seconds of an engine.
    pub fn record_admitted(&mut self, account: &AccountName, work: f64, rank: f64, now: Duration) {
        self.record_refused(account, work, rank, now);
        self.admitted += work.max(0.0) / DEMAND_AVERAGING_TIME.as_secs_f64();
    }

    /// Records that a request was refused for want of room. Requests that their quotas refuse are not
    /// owed, and so are no demand.
    pub fn record_refused(&mut self, account: &AccountName, work: f64, rank: f64, now: Duration) {
        self.decay(now);
        let rate = work.max(0.0) / DEMAND_AVERAGING_TIME.as_secs_f64();
        self.total += rate;
        self.mean_rank += (rank - self.mean_rank) * rate / self.total.max(f64::MIN_POSITIVE);
        if let Some(demand) = self.accounts.get_mut(account) {
            *demand += rate;
            return;
        }
        if self.accounts.len() >= MAX_ACCOUNTS {
            let least = self.accounts.iter().min_by(|a, b| a.1.total_cmp(b.1));
            if let Some(least) = least.map(|(account, _)| account.clone()) {
                self.accounts.remove(&least);
            }
        }
        self.accounts.insert(account.clone(), rate);
    }

    /// Returns the demand of each account and the work that was admitted.
    pub fn demand(&mut self, now: Duration) -> Demand {
        self.decay(now);
        let all = self.accounts.iter().map(|(account, work)| AccountDemand {
            account: account.clone(),
            work: *work,
        });
        Demand {
            accounts: all.collect(),
            admitted: self.admitted,
        }
    }

    /// Returns the mean urgency rank of the recent requests.
    pub fn mean_rank(&self) -> f64 {
        self.mean_rank
    }

    fn decay(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.decayed_at).as_secs_f64();
        let decay = (-passed / DEMAND_AVERAGING_TIME.as_secs_f64()).exp();
        self.total *= decay;
        self.admitted *= decay;
        self.accounts.retain(|_, demand| {
            *demand *= decay;
            *demand >= MIN_DEMAND
        });
        self.decayed_at = self.decayed_at.max(now);
    }
}

/// Follows how long requests wait against their targets: those answered, and those to come, from the
/// outlook at the best upstream. The outlook rises before the first answer is late, also at a gateway
/// with few requests; the answers show what it misses.
#[derive(Clone, Debug)]
pub struct Pressure {
    /// Expected wait as a fraction of the target.
    fraction: f64,
    /// The part of the level that lasts, which follows the excess of the demand.
    lasting: f64,
    updated_at: Duration,
    answered: LoadShedder,
}

impl Default for Pressure {
    fn default() -> Self {
        Self {
            fraction: 0.0,
            lasting: 0.0,
            updated_at: Duration::ZERO,
            answered: LoadShedder::with_decay_time(WAIT_DECAY_TIME),
        }
    }
}

impl Pressure {
    /// Records how long a request waited for the first byte of its answer.
    pub fn record_wait(&mut self, wait: Duration, target: Duration, now: Duration) {
        self.answered.record_first_byte(wait, target, now);
    }

    /// Returns the mean of the recent waits.
    pub fn mean_wait(&self) -> Duration {
        self.answered.mean_wait()
    }

    /// Records what a request with latency target `target` may expect.
    pub fn record(&mut self, outlook: &Outlook, target: Duration, now: Duration) {
        let passed = now.saturating_sub(self.updated_at);
        let old = (-passed.as_secs_f64() / PRESSURE_AVERAGING_TIME.as_secs_f64()).exp();
        // A long prompt at an idle upstream takes its time although nothing is scarce.
        let wait = (outlook.first.as_secs_f64() - outlook.work_seconds).max(0.0);
        let fraction = wait / target.as_secs_f64().max(1e-3);
        self.fraction = self.fraction * old + fraction * (1.0 - old);
        // An idle time raises nothing in one step, but all of it counts as time in which room came back.
        let above = self.fraction - SCARCE_WAIT_FRACTION;
        let (excess, step) = match above > 0.0 {
            true => (above, passed.min(MAX_PRESSURE_STEP)),
            false => (above / SCARCE_WAIT_FRACTION, passed),
        };
        let change = excess * step.as_secs_f64() * PRESSURE_GAIN_PER_SECOND;
        self.lasting = (self.lasting + change).clamp(0.0, 1.0);
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the level that follows: zero while the expected waits are short, one if no request
    /// would be in time.
    pub fn level(&mut self, now: Duration) -> f64 {
        let above = self.fraction - SCARCE_WAIT_FRACTION;
        let present = (above / (FULL_WAIT_FRACTION - SCARCE_WAIT_FRACTION)).max(0.0);
        let expected = (present + self.lasting).clamp(0.0, 1.0);
        expected.max(self.answered.level(now))
    }
}

/// What a gateway refuses by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum View {
    /// The demand of all gateways, at this level.
    Overall(f64),
    /// The demand at this gateway, at this level.
    Own(f64),
}

impl View {
    /// Chooses the view from a gateway's own level and the mean level of all gateways, if their sums
    /// are known. Levels are from zero, which refuses nothing, to one.
    pub fn choose(own: f64, mean: Option<f64>) -> Self {
        match mean {
            // The sums are older than the load.
            Some(mean) if own > mean + MAX_LEVEL_DIFFERENCE => Self::Own(own.min(1.0)),
            Some(mean) => Self::Overall(own.max(mean - MAX_LEVEL_DIFFERENCE).clamp(0.0, 1.0)),
            None => Self::Own(own.clamp(0.0, 1.0)),
        }
    }

    /// Returns the level.
    pub fn level(self) -> f64 {
        match self {
            Self::Overall(level) | Self::Own(level) => level,
        }
    }
}

/// Returns the fraction of each account's work to refuse at a level, in the order of the accounts.
/// The room left is divided by max-min fairness with the weights that `weight` returns. An account
/// within its share of that room, or of the work that was admitted lately, has a fraction of zero.
pub fn refused_fractions(
    demand: &Demand,
    weight: impl Fn(&AccountName) -> f64,
    level: f64,
) -> Vec<f64> {
    let accounts = &demand.accounts;
    let total: f64 = accounts.iter().map(|held| held.work).sum();
    if level <= 0.0 || total <= 0.0 {
        return vec![0.0; accounts.len()];
    }
    let weights: Vec<f64> = accounts.iter().map(|held| weight(&held.account)).collect();
    let weight_total: f64 = weights.iter().sum::<f64>().max(f64::MIN_POSITIVE);
    let scaled = |value: f64, of: f64| ((value / of * SCALE) as u32).max(1);
    let asked: Vec<u32> = accounts
        .iter()
        .map(|held| scaled(held.work, total))
        .collect();
    let weights: Vec<u32> = weights
        .iter()
        .map(|own| scaled(*own, weight_total))
        .collect();
    let shares = |fraction: f64| max_min::divide(&asked, &weights, (fraction * SCALE) as u32);
    let left = shares(1.0 - MAX_REFUSED_FRACTION * level.min(1.0));
    let protected = shares((demand.admitted * PROTECTED_FRACTION / total).clamp(0.0, 1.0));
    (0..asked.len())
        .map(|i| {
            let least = MIN_KEPT_FRACTION * f64::from(weights[i]);
            let kept = f64::from(left[i]).max(least);
            match protected[i] >= asked[i] {
                true => 0.0,
                false => (1.0 - kept / f64::from(asked[i])).max(0.0),
            }
        })
        .collect()
}

/// Returns the urgency rank of a request that has `left` of the `whole` time that its route allows.
/// A caller that was told to return has used a part of its time, so it goes before a newcomer of the
/// same rank, at any gateway.
pub fn rank_with_time(rank: f64, left: Duration, whole: Duration) -> f64 {
    rank * (left.as_secs_f64() / whole.as_secs_f64().max(1e-3)).clamp(0.0, 1.0)
}

/// Returns the probability of refusing a request of rank `rank`, if `fraction` of its account's work
/// is refused and the mean rank is `mean_rank`.
pub fn refusal_probability(fraction: f64, rank: f64, mean_rank: f64) -> f64 {
    let shift = 2.0 * (rank - mean_rank) * fraction.min(1.0 - fraction);
    (fraction + shift).clamp(0.0, MAX_REFUSAL_PROBABILITY)
}

/// Returns whether no upstream can answer before the deadline.
pub fn is_hopeless(outlook: &Outlook, time_left: Duration) -> bool {
    outlook.first > time_left
}

/// Returns the retry delay of a caller if room is expected after `expected`. `draw` is a random
/// number, uniform between zero and one: callers refused together do not return together.
pub fn retry_after(expected: Duration, time_left: Duration, draw: f64) -> Duration {
    let latest = (expected.max(MIN_RETRY_AFTER) * 2).min(time_left.mul_f64(HONOURED_FRACTION));
    latest.mul_f64(0.5 + 0.5 * draw.clamp(0.0, 1.0))
}
