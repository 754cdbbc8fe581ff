//! Quotas of accounts. The leader leases each gateway a part of every quota; a gateway whose lease is
//! over uses the floor that every gateway has.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::time::Instant;

use crate::{
    domain::{AccountName, KeyedAccount, Quota, QuotaUnit},
    policy::quota::floor,
    ports::PromptFacts,
    wire::QuotaPart,
};

/// How long a part may be used after the question was asked that it answers. The leader counts it as
/// used for longer than that.
const PART_LEASE: Duration = Duration::from_secs(3);
/// Time over which what callers ask is averaged.
const DEMAND_SPAN: Duration = Duration::from_secs(2);

/// Buckets by account.
#[derive(Debug, Default)]
pub(super) struct Quotas {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    gateways: usize,
    /// The parts leased last, and until when.
    parts: HashMap<AccountName, f64>,
    leased_until: Option<Instant>,
    buckets: HashMap<AccountName, Bucket>,
}

#[derive(Debug)]
struct Bucket {
    quota: Quota,
    /// Units that this gateway may use now.
    left: f64,
    filled: Instant,
    /// Units that callers ask for in a second, admitted or not.
    demand: f64,
    asked: Instant,
}

impl Quotas {
    /// Takes the number of gateways that share each quota.
    pub(super) fn set_gateways(&self, count: usize) {
        self.state().gateways = count;
    }

    /// Takes the parts that the leader gave in answer to a question.
    pub(super) fn lease(&self, parts: &[QuotaPart], asked: Instant) {
        let mut state = self.state();
        state.leased_until = Some(asked + PART_LEASE);
        state.parts = parts
            .iter()
            .map(|part| (part.account.as_str().into(), part.value))
            .collect();
    }

    /// Takes the quotas of a new table; what is left of those that stay is kept.
    pub(super) fn set_accounts(&self, accounts: &[KeyedAccount], now: Instant) {
        let mut state = self.state();
        let mut before = std::mem::take(&mut state.buckets);
        for account in accounts {
            let Some(quota) = account.quota else {
                continue;
            };
            let part = state.part(&account.name, now);
            let fresh = Bucket {
                quota,
                left: quota.burst * part,
                filled: now,
                demand: 0.0,
                asked: now,
            };
            let bucket = match before.remove(&account.name) {
                Some(bucket) => Bucket {
                    quota,
                    left: bucket.left.min(quota.burst * part),
                    ..bucket
                },
                None => fresh,
            };
            state.buckets.insert(account.name.clone(), bucket);
        }
    }

    /// Takes a request's units out of its account's quota. If there are too few, returns after which
    /// time there may be enough.
    pub(super) fn take(
        &self,
        account: &AccountName,
        prompt: Option<&PromptFacts>,
        now: Instant,
    ) -> Result<(), Duration> {
        let mut state = self.state();
        let part = state.part(account, now);
        let Some(bucket) = state.buckets.get_mut(account) else {
            return Ok(());
        };
        let units = units(bucket.quota.unit, prompt);
        bucket.ask(units, now);
        bucket.fill(part, now);
        // A request larger than the bucket passes once the bucket is full, and leaves a debt.
        let needed = units.min(bucket.quota.burst * part);
        if bucket.left < needed {
            let gain = (bucket.quota.per_second * part).max(f64::MIN_POSITIVE);
            let wait = (needed - bucket.left) / gain;
            return Err(Duration::try_from_secs_f64(wait).unwrap_or(DEMAND_SPAN));
        }
        bucket.left -= units;
        Ok(())
    }

    /// Returns what callers ask of each quota in a second.
    pub(super) fn demands(&self, now: Instant) -> Vec<QuotaPart> {
        let mut state = self.state();
        let buckets = state.buckets.iter_mut();
        buckets
            .map(|(account, bucket)| {
                bucket.ask(0.0, now);
                QuotaPart {
                    account: account.to_string(),
                    value: bucket.demand,
                }
            })
            .collect()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn part(&self, account: &AccountName, now: Instant) -> f64 {
        let leased = self.leased_until.is_some_and(|until| now < until);
        let part = self.parts.get(account).filter(|_| leased);
        part.copied().unwrap_or_else(|| floor(self.gateways))
    }
}

impl Bucket {
    fn ask(&mut self, units: f64, now: Instant) {
        let passed = now.duration_since(self.asked).as_secs_f64();
        let span = DEMAND_SPAN.as_secs_f64();
        self.demand = self.demand * (-passed / span).exp() + units / span;
        self.asked = now;
    }

    fn fill(&mut self, part: f64, now: Instant) {
        let gained = now.duration_since(self.filled).as_secs_f64() * self.quota.per_second * part;
        self.left = (self.left + gained).min(self.quota.burst * part);
        self.filled = now;
    }
}

fn units(unit: QuotaUnit, prompt: Option<&PromptFacts>) -> f64 {
    match (unit, prompt) {
        (QuotaUnit::Requests, _) => 1.0,
        (QuotaUnit::Tokens { .. }, Some(prompt)) => (prompt.tokens_in + prompt.tokens_out) as f64,
        (QuotaUnit::Tokens { plain }, None) => plain,
    }
}
