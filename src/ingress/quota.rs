//! Quotas of accounts. Each gateway holds an equal part of every quota.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use tokio::time::Instant;

use crate::{
    domain::{AccountName, KeyedAccount, Quota, QuotaUnit},
    ports::PromptFacts,
};

/// Buckets by account.
#[derive(Debug, Default)]
pub(super) struct Quotas {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    gateways: usize,
    buckets: HashMap<AccountName, Bucket>,
}

#[derive(Debug)]
struct Bucket {
    quota: Quota,
    /// Units of the whole quota that are left, as if this gateway had all of it.
    left: f64,
    filled: Instant,
}

impl Quotas {
    /// Takes the number of gateways that share each quota.
    pub(super) fn set_gateways(&self, count: usize) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.gateways = count;
    }

    /// Takes the quotas of a new table; what is left of those that stay is kept.
    pub(super) fn set_accounts(&self, accounts: &[KeyedAccount], now: Instant) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let mut before = std::mem::take(&mut state.buckets);
        for account in accounts {
            let Some(quota) = account.quota else {
                continue;
            };
            let bucket = match before.remove(&account.name) {
                Some(bucket) => Bucket {
                    quota,
                    left: bucket.left.min(quota.burst),
                    filled: bucket.filled,
                },
                None => Bucket {
                    quota,
                    left: quota.burst,
                    filled: now,
                },
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
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let sharers = state.gateways.max(1) as f64;
        let Some(bucket) = state.buckets.get_mut(account) else {
            return Ok(());
        };
        let units = units(bucket.quota.unit, prompt) * sharers;
        let gained = now.duration_since(bucket.filled).as_secs_f64() * bucket.quota.per_second;
        bucket.left = (bucket.left + gained).min(bucket.quota.burst);
        bucket.filled = now;
        // A request larger than the bucket passes once the bucket is full, and leaves a debt.
        if bucket.left < units.min(bucket.quota.burst) {
            let missing = units.min(bucket.quota.burst) - bucket.left;
            return Err(Duration::from_secs_f64(
                missing / bucket.quota.per_second.max(1e-9),
            ));
        }
        bucket.left -= units;
        Ok(())
    }
}

fn units(unit: QuotaUnit, prompt: Option<&PromptFacts>) -> f64 {
    match (unit, prompt) {
        (QuotaUnit::Requests, _) => 1.0,
        (QuotaUnit::Tokens { .. }, Some(prompt)) => (prompt.tokens_in + prompt.tokens_out) as f64,
        (QuotaUnit::Tokens { plain }, None) => plain,
    }
}
