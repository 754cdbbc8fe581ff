//! Enforces the quotas of accounts. The leader leases each gateway a part of every quota; a gateway whose
//! lease has expired uses the floor that every gateway is entitled to. When its own part does not suffice,
//! a gateway asks the leader, which keeps a reserve of every quota. Where a part would be smaller than a
//! request, the leader keeps the whole quota and decides whether gateways must ask it for each request; see
//! `policy::quota_window`.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use crate::{
    domain::{AccountName, KeyedAccount, QuotaUnit},
    policy::{
        quota::{
            BucketLimit, QuotaRule, QuotaSplit, TokenBucket, floor_fraction, gateway_limit, split,
        },
        quota_window::{AdmittedWindow, QuotaMode, is_divisible},
    },
    ports::PromptSizes,
    wire::{FollowReply, QuotaUsage, QuotaValue},
};

/// Retry delay for a caller whose request needs the leader while none can be asked; electing and finding a
/// new leader takes about this long.
const LEADER_UNREACHABLE_WAIT: Duration = Duration::from_millis(500);
/// Demand of an account, in units per second, from which on it is reported to the controllers.
const MIN_REPORTED_DEMAND_PER_S: f64 = 1e-3;
/// Weight of a new request in the moving average of units per request, which so covers about ten requests.
const MEAN_UNITS_WEIGHT: f64 = 0.1;
/// Lease of a quota part, counted from the sending of the request that it answers. It is long enough for a
/// new leader to be elected and to be followed by all gateways. The leader counts the part as in use for
/// longer than that.
const PART_LEASE: Duration = Duration::from_secs(10);
/// Lease of [`QuotaMode::Open`], in which an account's requests are admitted without asking the leader, counted
/// from the sending of the request that it answers. It is long enough for a new leader to be found in nearly
/// all cases, and short compared to a quota window.
const OPEN_MODE_LEASE: Duration = Duration::from_secs(3);
/// Longest time for which a refusal of the leader is taken to hold; callers get a later time from the leader.
const KNOWN_REFUSAL_LIFETIME: Duration = Duration::from_millis(500);
/// Time constant of the exponential moving average of demand.
const DEMAND_AVERAGING_TIME: Duration = Duration::from_secs(2);

/// This gateway's parts of the accounts' quotas. Times are those of the process's monotonic clock, which
/// advances while the machine is suspended.
#[derive(Debug)]
pub(super) struct Quotas {
    rule: QuotaRule,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Number of gateways that share each quota.
    gateways: usize,
    /// The parts that were leased last; valid until `leased_until`.
    parts: HashMap<AccountName, f64>,
    leased_until: Option<Duration>,
    /// The admission modes that the leader set last; [`QuotaMode::Open`] is valid until `open_until`.
    modes: HashMap<AccountName, QuotaMode>,
    open_until: Option<Duration>,
    /// When this gateway began to count admitted units.
    counting_since: Option<Duration>,
    accounts: HashMap<AccountName, AccountQuota>,
}

/// The quota of one account on this gateway.
#[derive(Debug)]
struct AccountQuota {
    admission: QuotaSplit,
    unit: QuotaUnit,
    /// Units that this gateway may admit now.
    bucket: TokenBucket,
    /// Moving average of the units per second that callers request, admitted or not.
    demand: f64,
    /// When `demand` was last updated.
    demand_updated: Duration,
    admitted: AdmittedWindow,
    /// Moving average of the units per request.
    per_request: f64,
    /// Requests so far, which set the weight of the next one in that average.
    requests: u32,
    refused: Option<LeaderRefusal>,
}

/// The last refusal of the leader.
#[derive(Clone, Copy, Debug)]
struct LeaderRefusal {
    units: f64,
    at: Duration,
    /// When the leader may grant the units.
    granted_at: Duration,
}

/// A request that this gateway's part of the quota does not cover.
#[derive(Clone, Copy, Debug)]
pub(super) struct QuotaShortfall {
    /// Units of the request.
    pub(super) units: f64,
    /// The reserve of the quota that the leader keeps.
    pub(super) reserve: BucketLimit,
    /// Units that the account may use in a window if the leader keeps the whole quota, otherwise zero.
    pub(super) allowed: f64,
    /// Time after which this gateway's part may suffice.
    pub(super) wait: Duration,
}

impl Quotas {
    pub(super) fn new(rule: QuotaRule) -> Self {
        Self {
            rule,
            state: Mutex::default(),
        }
    }

    /// Sets the number of gateways that share each quota.
    pub(super) fn set_gateways(&self, count: usize) {
        self.state().gateways = count;
    }

    /// Applies the parts and admission modes in a reply of the leader to a request that was sent at `sent`.
    pub(super) fn apply_lease(&self, reply: &FollowReply, sent: Duration) {
        let mut state = self.state();
        state.leased_until = Some(sent + PART_LEASE);
        state.open_until = Some(sent + OPEN_MODE_LEASE);
        let parts = reply.shares.iter();
        state.parts = parts
            .map(|part| (part.account.as_str().into(), part.value))
            .collect();
        let mode = |mode| move |account: &String| (AccountName::from(account.as_str()), mode);
        let open = reply.open_accounts.iter().map(mode(QuotaMode::Open));
        let asked = reply.asked_accounts.iter().map(mode(QuotaMode::Asked));
        state.modes = open.chain(asked).collect();
    }

    /// Installs the quotas of a new table and keeps the state of accounts that remain.
    pub(super) fn set_accounts(&self, accounts: &[KeyedAccount], now: Duration) {
        let window = self.rule.usage_window();
        let mut state = self.state();
        state.counting_since.get_or_insert(now);
        let mut before = std::mem::take(&mut state.accounts);
        for account in accounts {
            let Some(quota) = account.quota else {
                continue;
            };
            let admission = split(&quota, &self.rule);
            let unit = quota.unit;
            let entry = match before.remove(&account.name) {
                Some(entry) => AccountQuota {
                    admission,
                    unit,
                    ..entry
                },
                None => {
                    let own = gateway_limit(admission.gateways, state.part(&account.name, now));
                    AccountQuota {
                        admission,
                        unit,
                        bucket: TokenBucket::new(own.capacity, now),
                        demand: 0.0,
                        demand_updated: now,
                        admitted: AdmittedWindow::new(window),
                        per_request: 0.0,
                        requests: 0,
                        refused: None,
                    }
                }
            };
            state.accounts.insert(account.name.clone(), entry);
        }
    }

    /// Admits a request if this gateway's part of its account's quota covers it; otherwise returns what is
    /// missing.
    pub(super) fn try_take(
        &self,
        account: &AccountName,
        prompt: Option<&PromptSizes>,
        now: Duration,
    ) -> Result<(), QuotaShortfall> {
        let mut state = self.state();
        let (part, mode) = (state.part(account, now), state.mode(account, now));
        let (leased, gateways) = (state.is_leased(now), state.gateways);
        let Some(entry) = state.accounts.get_mut(account) else {
            return Ok(());
        };
        let units = request_units(entry.unit, prompt);
        entry.record_demand(units, now);
        let taken = match mode {
            QuotaMode::Open => Ok(()),
            // At an account's first request the leader cannot know yet that the quota is not divisible.
            QuotaMode::Divided
                if entry.is_divisible(gateways) || (leased && entry.requests > 1) =>
            {
                let own = gateway_limit(entry.admission.gateways, part);
                let taken = entry.bucket.take(units, own, now);
                taken.map_err(|wait| QuotaShortfall {
                    units,
                    reserve: entry.admission.reserve,
                    allowed: 0.0,
                    wait,
                })
            }
            QuotaMode::Divided | QuotaMode::Asked => Err(QuotaShortfall {
                units,
                reserve: entry.admission.reserve,
                allowed: entry.admission.allowed,
                wait: LEADER_UNREACHABLE_WAIT,
            }),
        };
        if taken.is_ok() {
            entry.admitted.add(units, now);
        }
        taken
    }

    /// Records that the leader did not grant units and may do so after `wait`.
    pub(super) fn record_refusal(
        &self,
        account: &AccountName,
        units: f64,
        wait: Duration,
        now: Duration,
    ) {
        if let Some(entry) = self.state().accounts.get_mut(account) {
            entry.refused = Some(LeaderRefusal {
                units,
                at: now,
                granted_at: now + wait,
            });
        }
    }

    /// Returns the retry delay of a request that neither this gateway's part nor the leader covers, as the leader
    /// said for one that was no larger. Nothing is taken.
    pub(super) fn known_refusal(
        &self,
        account: &AccountName,
        prompt: Option<&PromptSizes>,
        now: Duration,
    ) -> Option<Duration> {
        let mut state = self.state();
        let (part, mode) = (state.part(account, now), state.mode(account, now));
        let entry = state.accounts.get_mut(account)?;
        let refused = entry.refused?;
        if now >= refused.granted_at.min(refused.at + KNOWN_REFUSAL_LIFETIME) {
            return None;
        }
        let units = request_units(entry.unit, prompt);
        let own = gateway_limit(entry.admission.gateways, part);
        let is_covered = match mode {
            QuotaMode::Open => true,
            QuotaMode::Divided => entry.bucket.check(units, own, now).is_ok(),
            QuotaMode::Asked => false,
        };
        if is_covered || units < refused.units {
            return None;
        }
        entry.record_demand(units, now);
        Some(refused.granted_at - now)
    }

    /// Records units that the leader granted from its reserve.
    pub(super) fn record_grant(&self, account: &AccountName, units: f64, now: Duration) {
        if let Some(entry) = self.state().accounts.get_mut(account) {
            entry.admitted.add(units, now);
        }
    }

    /// Returns the accounts' use of their quotas on this gateway, and the fraction of the last window that this
    /// gateway has observed.
    pub(super) fn usage_report(&self, now: Duration) -> (Vec<QuotaUsage>, f64) {
        let mut state = self.state();
        let since = state.counting_since.unwrap_or(now);
        let gateways = state.gateways;
        let all = state.accounts.iter_mut();
        let uses = all.filter_map(|(account, entry)| {
            entry.record_demand(0.0, now);
            let admitted = entry.admitted.total(now);
            (admitted > 0.0 || entry.demand >= MIN_REPORTED_DEMAND_PER_S).then(|| QuotaUsage {
                account: account.to_string(),
                admitted,
                requested_per_second: entry.demand,
                allowed: entry.admission.allowed,
                divisible: entry.is_divisible(gateways),
            })
        });
        let seen = now.saturating_sub(since).as_secs_f64() / self.rule.usage_window().as_secs_f64();
        (uses.collect(), seen.min(1.0))
    }

    /// Returns the leased parts that this gateway uses, or none if the lease has expired.
    pub(super) fn parts(&self, now: Duration) -> Vec<QuotaValue> {
        let state = self.state();
        if !state.is_leased(now) {
            return Vec::new();
        }
        let parts = state.parts.iter();
        parts
            .map(|(account, part)| QuotaValue {
                account: account.to_string(),
                value: *part,
            })
            .collect()
    }

    /// Returns the demand for each quota, in units per second.
    pub(super) fn demands(&self, now: Duration) -> Vec<QuotaValue> {
        let mut state = self.state();
        let all = state.accounts.iter_mut();
        all.map(|(account, entry)| {
            entry.record_demand(0.0, now);
            QuotaValue {
                account: account.to_string(),
                value: entry.demand,
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
        let part = self.parts.get(account).filter(|_| self.is_leased(now));
        part.copied()
            .unwrap_or_else(|| floor_fraction(self.gateways))
    }

    fn is_leased(&self, now: Duration) -> bool {
        self.leased_until.is_some_and(|until| now < until)
    }

    fn mode(&self, account: &AccountName, now: Duration) -> QuotaMode {
        match self.modes.get(account).copied().unwrap_or_default() {
            QuotaMode::Open if self.open_until.is_none_or(|until| now >= until) => QuotaMode::Asked,
            mode => mode,
        }
    }
}

impl AccountQuota {
    fn record_demand(&mut self, units: f64, now: Duration) {
        let passed = now.saturating_sub(self.demand_updated).as_secs_f64();
        let span = DEMAND_AVERAGING_TIME.as_secs_f64();
        self.demand = self.demand * (-passed / span).exp() + units / span;
        self.demand_updated = now;
        if units > 0.0 {
            self.requests = self.requests.saturating_add(1);
            // The first requests are averaged with equal weights.
            let weight = MEAN_UNITS_WEIGHT.max(1.0 / f64::from(self.requests));
            self.per_request += (units - self.per_request) * weight;
        }
    }

    /// Returns whether a gateway's part of the quota is large enough for an average request.
    fn is_divisible(&self, gateways: usize) -> bool {
        is_divisible(&self.admission, gateways, self.per_request)
    }
}

fn request_units(unit: QuotaUnit, prompt: Option<&PromptSizes>) -> f64 {
    match (unit, prompt) {
        (QuotaUnit::Requests, _) => 1.0,
        (QuotaUnit::Tokens { .. }, Some(prompt)) => {
            prompt.prompt_tokens as f64 + prompt.max_output_tokens as f64
        }
        (QuotaUnit::Tokens { plain }, None) => plain,
    }
}
