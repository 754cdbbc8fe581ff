//! What a run is measured by.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;

/// Longest latency that the histograms tell apart.
const MAX_LATENCY_MS: u64 = 600_000;

/// Requests of one account.
#[derive(Clone, Copy, Debug, Default)]
pub struct AccountFigures {
    pub paying: bool,
    pub arrived: u64,
    pub in_target: u64,
}

/// Figures of one or more runs.
#[derive(Clone, Debug)]
pub struct Figures {
    pub accounts: BTreeMap<&'static str, AccountFigures>,
    /// Time to the first token of paying requests that got one, in milliseconds.
    pub first_token: Histogram<u64>,
    pub dispatched: u64,
    pub attempts: u64,
    /// Requests that had been dispatched and got no whole answer.
    pub lost: u64,
    pub refused: u64,
    pub recomputed_tokens: u64,
    /// Paying requests that missed the target and met free work in a slot when they had to wait.
    pub displaced: u64,
    pub preempted: u64,
    /// Price of the instances over the run, in millionths.
    pub cost_micros: f64,
    pub hours: f64,
}

impl Default for Figures {
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

impl Figures {
    /// Adds another run.
    pub fn add(&mut self, other: Self) {
        for (name, figures) in other.accounts {
            let sum = self.accounts.entry(name).or_default();
            sum.paying = figures.paying;
            sum.arrived += figures.arrived;
            sum.in_target += figures.in_target;
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

    /// Counts the first token of a paying request.
    pub fn record_first_token(&mut self, latency: Duration) {
        self.first_token
            .saturating_record(latency.as_millis() as u64);
    }

    /// Returns the part of a tier's arrivals that were served within the target, in percent.
    pub fn tier_in_target(&self, paying: bool) -> f64 {
        let tier = || self.accounts.values().filter(|a| a.paying == paying);
        let in_target: u64 = tier().map(|a| a.in_target).sum();
        percent(in_target, tier().map(|a| a.arrived).sum())
    }

    /// Returns the part of the worst-served paying account, in percent.
    pub fn worst_paying_account(&self) -> f64 {
        self.accounts
            .values()
            .filter(|a| a.paying)
            .map(|a| percent(a.in_target, a.arrived))
            .fold(100.0, f64::min)
    }

    /// Returns the part of each account, in percent.
    pub fn by_account(&self) -> impl Iterator<Item = (&'static str, f64)> + '_ {
        self.accounts
            .iter()
            .map(|(name, a)| (*name, percent(a.in_target, a.arrived)))
    }

    /// Returns upstream attempts for each dispatched request.
    pub fn attempts_per_request(&self) -> f64 {
        self.attempts as f64 / self.dispatched.max(1) as f64
    }

    /// Returns the cost, in units of money, of a thousand requests served within the target.
    pub fn cost_per_thousand(&self) -> f64 {
        let in_target: u64 = self.accounts.values().map(|a| a.in_target).sum();
        self.cost_micros / 1e6 / (in_target.max(1) as f64 / 1000.0)
    }

    /// Returns the cost an hour, in units of money.
    pub fn cost_per_hour(&self) -> f64 {
        self.cost_micros / 1e6 / self.hours
    }
}

fn percent(part: u64, whole: u64) -> f64 {
    part as f64 * 100.0 / whole.max(1) as f64
}
