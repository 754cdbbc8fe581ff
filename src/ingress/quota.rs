//! Quotas of accounts. The leader leases each gateway a part of every quota; a gateway whose lease is
//! over uses the floor that every gateway has. When its own part does not suffice it asks the leader,
//! who keeps a reserve of every quota.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use crate::{
    domain::{AccountName, KeyedAccount, QuotaUnit},
    policy::quota::{Admission, Bucket, Limit, QuotaRule, admission, floor, own},
    ports::PromptFacts,
    wire::QuotaPart,
};

/// How long a part may be used after the question was asked that it answers: long enough for a new
/// leader to be found and to hear of all gateways. The leader counts it as used for longer than that.
const PART_LEASE: Duration = Duration::from_secs(10);
/// Time over which what callers ask is averaged.
const DEMAND_SPAN: Duration = Duration::from_secs(2);

/// What this gateway may use of each account's quota. Times are those of the process's monotonic clock,
/// which goes on while the machine is suspended.
#[derive(Debug)]
pub(super) struct Quotas {
    rule: QuotaRule,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    gateways: usize,
    /// The parts leased last, and until when.
    parts: HashMap<AccountName, f64>,
    leased_until: Option<Duration>,
    held: HashMap<AccountName, Held>,
}

#[derive(Debug)]
struct Held {
    admission: Admission,
    unit: QuotaUnit,
    /// Units that this gateway may use now.
    bucket: Bucket,
    /// Units that callers ask for in a second, admitted or not.
    demand: f64,
    asked: Duration,
}

/// A request for which this gateway's part of the quota does not suffice.
#[derive(Clone, Copy, Debug)]
pub(super) struct Short {
    /// Units of the request.
    pub(super) units: f64,
    /// What the leader keeps of the quota.
    pub(super) reserve: Limit,
    /// After which time this gateway's part may suffice.
    pub(super) wait: Duration,
}

impl Quotas {
    pub(super) fn new(rule: QuotaRule) -> Self {
        Self {
            rule,
            state: Mutex::default(),
        }
    }

    /// Takes the number of gateways that share each quota.
    pub(super) fn set_gateways(&self, count: usize) {
        self.state().gateways = count;
    }

    /// Takes the parts that the leader gave in answer to a question.
    pub(super) fn lease(&self, parts: &[QuotaPart], asked: Duration) {
        let mut state = self.state();
        state.leased_until = Some(asked + PART_LEASE);
        state.parts = parts
            .iter()
            .map(|part| (part.account.as_str().into(), part.value))
            .collect();
    }

    /// Takes the quotas of a new table; what is left of those that stay is kept.
    pub(super) fn set_accounts(&self, accounts: &[KeyedAccount], now: Duration) {
        let mut state = self.state();
        let mut before = std::mem::take(&mut state.held);
        for account in accounts {
            let Some(quota) = account.quota else {
                continue;
            };
            let admission = admission(&quota, &self.rule);
            let unit = quota.unit;
            let held = match before.remove(&account.name) {
                Some(held) => Held {
                    admission,
                    unit,
                    ..held
                },
                None => {
                    let own = own(admission.gateways, state.part(&account.name, now));
                    Held {
                        admission,
                        unit,
                        bucket: Bucket::new(own.saved, now),
                        demand: 0.0,
                        asked: now,
                    }
                }
            };
            state.held.insert(account.name.clone(), held);
        }
    }

    /// Takes a request's units out of this gateway's part of its account's quota.
    pub(super) fn take(
        &self,
        account: &AccountName,
        prompt: Option<&PromptFacts>,
        now: Duration,
    ) -> Result<(), Short> {
        let mut state = self.state();
        let part = state.part(account, now);
        let Some(held) = state.held.get_mut(account) else {
            return Ok(());
        };
        let units = units(held.unit, prompt);
        held.ask(units, now);
        let own = own(held.admission.gateways, part);
        let taken = held.bucket.take(units, own, now);
        taken.map_err(|wait| Short {
            units,
            reserve: held.admission.reserve,
            wait,
        })
    }

    /// Returns the parts that this gateway uses.
    pub(super) fn parts(&self, now: Duration) -> Vec<QuotaPart> {
        let state = self.state();
        if state.leased_until.is_none_or(|until| now >= until) {
            return Vec::new();
        }
        let parts = state.parts.iter();
        parts
            .map(|(account, part)| QuotaPart {
                account: account.to_string(),
                value: *part,
            })
            .collect()
    }

    /// Returns what callers ask of each quota in a second.
    pub(super) fn demands(&self, now: Duration) -> Vec<QuotaPart> {
        let mut state = self.state();
        let all = state.held.iter_mut();
        all.map(|(account, held)| {
            held.ask(0.0, now);
            QuotaPart {
                account: account.to_string(),
                value: held.demand,
            }
        })
        .collect()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn part(&self, account: &AccountName, now: Duration) -> f64 {
        let leased = self.leased_until.is_some_and(|until| now < until);
        let part = self.parts.get(account).filter(|_| leased);
        part.copied().unwrap_or_else(|| floor(self.gateways))
    }
}

impl Held {
    fn ask(&mut self, units: f64, now: Duration) {
        let passed = now.saturating_sub(self.asked).as_secs_f64();
        let span = DEMAND_SPAN.as_secs_f64();
        self.demand = self.demand * (-passed / span).exp() + units / span;
        self.asked = now;
    }
}

fn units(unit: QuotaUnit, prompt: Option<&PromptFacts>) -> f64 {
    match (unit, prompt) {
        (QuotaUnit::Requests, _) => 1.0,
        (QuotaUnit::Tokens { .. }, Some(prompt)) => (prompt.tokens_in + prompt.tokens_out) as f64,
        (QuotaUnit::Tokens { plain }, None) => plain,
    }
}
