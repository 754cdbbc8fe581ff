//! The metrics of a run.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;

/// Upper bound of the latency histograms.
const MAX_LATENCY_MS: u64 = 600_000;

/// Request counts of one account.
#[derive(Clone, Copy, Debug, Default)]
pub struct AccountResults {
    pub paying: bool,
    pub arrived: u64,
    pub in_target: u64,
}

/// Metrics of one or more runs.
#[derive(Clone, Debug)]
pub struct Results {
    pub accounts: BTreeMap<&'static str, AccountResults>,
    /// Time to the first token of paying requests that got one, in milliseconds.
    pub first_token: Histogram<u64>,
    pub dispatched: u64,
    pub attempts: u64,
    /// Dispatched requests without a complete answer.
    pub lost: u64,
    pub refused: u64,
    pub recomputed_tokens: u64,
    /// Paying requests that missed the target and had to wait while a free request held a slot.
    pub displaced: u64,
    pub preempted: u64,
    /// Cost of the instances over the run, in millionths of the currency unit.
    pub cost_micros: f64,
    pub hours: f64,
}

impl Default for Results {
    fn default() -> Self {
        Self {
            accounts: BTreeMap::new(),
            first_token: Histogram::new_with_bounds(1, MAX_LATENCY_MS, 3)
                .expect("the bounds are in order"),
            dispatched: 0,
            attempts: 0,
            lost: 0,
            refused: 0,
            recomputed_tokens: 0,
            displaced: 0,
            preempted: 0,
            cost_micros: 0.0,
            hours: 0.0,
        }
    }
}

impl Results {
    /// Adds the metrics of another run.
    pub fn add(&mut self, other: Self) {
        for (name, results) in other.accounts {
            let sum = self.accounts.entry(name).or_default();
            sum.paying = results.paying;
            sum.arrived += results.arrived;
            sum.in_target += results.in_target;
        }
        self.first_token
            .add(&other.first_token)
            .expect("both histograms have the same bounds");
        self.dispatched += other.dispatched;
        self.attempts += other.attempts;
        self.lost += other.lost;
        self.refused += other.refused;
        self.recomputed_tokens += other.recomputed_tokens;
        self.displaced += other.displaced;
        self.preempted += other.preempted;
        self.cost_micros += other.cost_micros;
        self.hours += other.hours;
    }

    /// Records the time to first token of a paying request.
    pub fn record_first_token(&mut self, latency: Duration) {
        self.first_token
            .saturating_record(latency.as_millis() as u64);
    }

    /// Returns the percentage of a tier's requests that were served within the target.
    pub fn tier_in_target(&self, paying: bool) -> f64 {
        let tier = || self.accounts.values().filter(|a| a.paying == paying);
        let in_target: u64 = tier().map(|a| a.in_target).sum();
        percent(in_target, tier().map(|a| a.arrived).sum())
    }

    /// Returns the lowest percentage within the target among the paying accounts.
    pub fn worst_paying_account(&self) -> f64 {
        self.accounts
            .values()
            .filter(|a| a.paying)
            .map(|a| percent(a.in_target, a.arrived))
            .fold(100.0, f64::min)
    }

    /// Returns the percentage within the target for each account.
    pub fn by_account(&self) -> impl Iterator<Item = (&'static str, f64)> + '_ {
        self.accounts
            .iter()
            .map(|(name, a)| (*name, percent(a.in_target, a.arrived)))
    }

    /// Returns the mean number of upstream attempts per dispatched request.
    pub fn attempts_per_request(&self) -> f64 {
        self.attempts as f64 / self.dispatched.max(1) as f64
    }

    /// Returns the cost per thousand requests served within the target, in currency units.
    pub fn cost_per_thousand(&self) -> f64 {
        let in_target: u64 = self.accounts.values().map(|a| a.in_target).sum();
        self.cost_micros / 1e6 / (in_target.max(1) as f64 / 1000.0)
    }

    /// Returns the cost per hour, in currency units.
    pub fn cost_per_hour(&self) -> f64 {
        self.cost_micros / 1e6 / self.hours
    }
}

fn percent(part: u64, whole: u64) -> f64 {
    part as f64 * 100.0 / whole.max(1) as f64
}
