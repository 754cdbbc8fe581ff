//! Fair shares of a service's engines while there is too little room. See docs/design/ROOM.md.
//!
//! The load: one account, or all of them, ask for more work than engines can begin in time. How much
//! is refused follows from waits ([`super::overload`]); here it is decided whose requests these are.

use std::{collections::HashMap, time::Duration};

use super::{max_min, pace::Outlook};
use crate::domain::AccountName;

/// Time constant of the moving average of an account's demand: some requests at a usual rate, and
/// short compared with a burst.
const DEMAND_AVERAGING_TIME: Duration = Duration::from_secs(2);
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
/// Most by which the level of one gateway differs from the mean of all. A gateway sees few
/// requests, and those that wait there may wait because of an account that it does not serve.
const MAX_LEVEL_DIFFERENCE: f64 = 0.4;
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
    decayed_at: Duration,
}

impl DemandMeter {
    /// Records a request that takes `work` seconds of an engine and has this urgency rank.
    pub fn record(&mut self, account: &AccountName, work: f64, rank: f64, now: Duration) {
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

    /// Returns the demand of each account.
    pub fn demands(&mut self, now: Duration) -> Vec<AccountDemand> {
        self.decay(now);
        let all = self.accounts.iter();
        all.map(|(account, work)| AccountDemand {
            account: account.clone(),
            work: *work,
        })
        .collect()
    }

    /// Returns the mean urgency rank of the recent requests.
    pub fn mean_rank(&self) -> f64 {
        self.mean_rank
    }

    fn decay(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.decayed_at).as_secs_f64();
        let decay = (-passed / DEMAND_AVERAGING_TIME.as_secs_f64()).exp();
        self.total *= decay;
        self.accounts.retain(|_, demand| {
            *demand *= decay;
            *demand >= MIN_DEMAND
        });
        self.decayed_at = self.decayed_at.max(now);
    }
}

/// Returns the level by which a gateway refuses, from its own one and the mean of all gateways, if
/// that is known. Zero refuses nothing, one the most.
pub fn level(own: f64, mean: Option<f64>) -> f64 {
    let level = match mean {
        Some(mean) => own.clamp(mean - MAX_LEVEL_DIFFERENCE, mean + MAX_LEVEL_DIFFERENCE),
        None => own,
    };
    level.clamp(0.0, 1.0)
}

/// Returns the fraction of each account's work to refuse at a level, in the order of `demands`. The
/// room left is divided by max-min fairness with the weights that `weight` returns, so an account
/// within its share has a fraction of zero.
pub fn refused_fractions(
    demands: &[AccountDemand],
    weight: impl Fn(&AccountName) -> f64,
    level: f64,
) -> Vec<f64> {
    let total: f64 = demands.iter().map(|demand| demand.work).sum();
    if level <= 0.0 || total <= 0.0 {
        return vec![0.0; demands.len()];
    }
    let weights: Vec<f64> = demands.iter().map(|held| weight(&held.account)).collect();
    let weight_total: f64 = weights.iter().sum::<f64>().max(f64::MIN_POSITIVE);
    let parts = |value: f64, of: f64| ((value / of * SCALE) as u32).max(1);
    let asked: Vec<u32> = demands.iter().map(|held| parts(held.work, total)).collect();
    let scaled: Vec<u32> = weights
        .iter()
        .map(|own| parts(*own, weight_total))
        .collect();
    let room = (1.0 - MAX_REFUSED_FRACTION * level.min(1.0)) * SCALE;
    let shares = max_min::divide(&asked, &scaled, room as u32);
    let fractions = shares.iter().zip(&asked).zip(&scaled);
    fractions
        .map(|((share, asked), scaled)| {
            let kept = f64::from(*share).max(MIN_KEPT_FRACTION * f64::from(*scaled));
            (1.0 - kept / f64::from(*asked)).max(0.0)
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
