//! Quotas over many gateways.
//!
//! A part of a quota that is smaller than one request refuses everything, so a quota is divided among gateways
//! only while each part holds a request. Beyond that the leader keeps the whole: it adds up what all gateways
//! admitted in the last window. While an account stays well below its quota, gateways admit its requests
//! without asking; near it they ask for each. See docs/DECISIONS.md, "Quotas of many gateways".

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use super::quota::{BucketLimit, QuotaRule, QuotaSplit, TokenBucket};

/// Parts of what an account may use in a window up to which gateways need not ask: until an account that turns
/// hot is seen, for about a second, it may use the rest. The lower one counts before they were told so.
const OPEN_BELOW_FRACTION: f64 = 0.6;
const STAY_OPEN_FRACTION: f64 = 0.7;
/// Time after an account was open in which some gateways still admit without asking, and have not yet told what
/// they admitted: about two questions of a gateway.
const CLOSING_TIME: Duration = Duration::from_millis(1500);
/// Part of what a window allows that may be granted at once.
const GRANT_BURST_FRACTION: f64 = 0.125;
/// Slots in which admitted units are kept, in a window; they leave a slot at a time.
const SLOTS_PER_WINDOW: u32 = 80;

/// Returns whether parts of a quota for so many gateways hold a request of some units.
pub fn is_divisible(split: &QuotaSplit, gateways: usize, units: f64) -> bool {
    units * gateways as f64 <= split.gateways.capacity
}

/// How gateways admit requests of an account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QuotaMode {
    /// By the part of its quota that each was given.
    #[default]
    Divided,
    /// After asking the leader for each request.
    Asked,
    /// Without asking.
    Open,
}

/// Units that one gateway admitted in the last window.
#[derive(Clone, Debug)]
pub struct AdmittedWindow {
    window: Duration,
    slots: VecDeque<(Duration, f64)>,
    sum: f64,
}

impl AdmittedWindow {
    /// Starts with nothing admitted in a window of some length.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            slots: VecDeque::new(),
            sum: 0.0,
        }
    }

    /// Adds units.
    pub fn add(&mut self, units: f64, now: Duration) {
        let slot = self.window / SLOTS_PER_WINDOW;
        self.sum += units;
        match self.slots.back_mut() {
            Some((begun, sum)) if now < *begun + slot => *sum += units,
            _ => self.slots.push_back((now, units)),
        }
    }

    /// Returns the units admitted in the window before now.
    pub fn total(&mut self, now: Duration) -> f64 {
        let end = self.window + self.window / SLOTS_PER_WINDOW;
        while let Some((begun, units)) = self.slots.front() {
            if now.saturating_sub(*begun) <= end {
                break;
            }
            self.sum -= units;
            self.slots.pop_front();
        }
        if self.slots.is_empty() {
            self.sum = 0.0;
        }
        self.sum
    }
}

/// What a gateway tells of an account.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AccountQuotaUse {
    /// Units that it admitted in the last window.
    pub admitted: f64,
    /// Units that callers ask it for in a second.
    pub requested_per_second: f64,
    /// Units that the account may use in a window, over all gateways.
    pub allowed: f64,
    /// Whether the quota can be divided among the gateways that it knows.
    pub divisible: bool,
}

/// A start of a gateway.
#[derive(Clone, Debug, Default)]
struct GatewayRun {
    reported_at: Duration,
    /// Part of the last window that it has seen.
    observed_fraction: f64,
    accounts: HashMap<String, AccountReport>,
}

/// What one start of a gateway told of an account.
#[derive(Clone, Copy, Debug, Default)]
struct AccountReport {
    usage: AccountQuotaUse,
    /// Units granted since the last report, and between the two before; the latter may not be in the report.
    granted: f64,
    previously_granted: f64,
}

impl AccountReport {
    fn admitted(&self) -> f64 {
        self.usage.admitted + self.granted + self.previously_granted
    }
}

/// How an account is admitted, and until when some gateways may still admit its requests without asking.
#[derive(Clone, Debug, Default)]
struct Account {
    mode: QuotaMode,
    closing_until: Duration,
    /// Spreads what is granted over the window: an account that asks for more than its quota would otherwise use
    /// it up early and be refused for the rest.
    pacing: Option<TokenBucket>,
}

/// What all gateways together used of each quota.
#[derive(Debug)]
pub struct QuotaLedger {
    window: Duration,
    /// When this controller began to hear gateways.
    started_at: Option<Duration>,
    runs: HashMap<(String, u64), GatewayRun>,
    accounts: HashMap<String, Account>,
}

impl Default for QuotaLedger {
    fn default() -> Self {
        Self::new(QuotaRule::default().usage_window())
    }
}

impl QuotaLedger {
    /// Starts a book for windows of some length.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            started_at: None,
            runs: HashMap::new(),
            accounts: HashMap::new(),
        }
    }

    /// Takes what a start of a gateway tells. `seen` is the part of the last window that it has seen.
    pub fn handle_report<'a>(
        &mut self,
        gateway: &str,
        incarnation: u64,
        observed_fraction: f64,
        uses: impl Iterator<Item = (&'a str, AccountQuotaUse)>,
        now: Duration,
    ) {
        self.started_at.get_or_insert(now);
        let run = self.runs.entry((gateway.to_owned(), incarnation));
        let run = run.or_default();
        run.reported_at = now;
        run.observed_fraction = observed_fraction;
        for (account, usage) in uses {
            let known = match run.accounts.get_mut(account) {
                Some(known) => known,
                None => run.accounts.entry(account.to_owned()).or_default(),
            };
            known.usage = usage;
            known.previously_granted = std::mem::take(&mut known.granted);
        }
    }

    /// Forgets starts of gateways whose units have left the window, and decides how each account is admitted.
    /// Returns the accounts of which that changed. A quota that was not divided once is not divided again, since
    /// parts and the reserve know nothing of what was admitted meanwhile.
    pub fn refresh(&mut self, now: Duration) -> Vec<(String, QuotaMode)> {
        let window = self.window;
        self.runs
            .retain(|_, run| now.saturating_sub(run.reported_at) <= window);
        let mut sums: HashMap<&str, AccountQuotaUse> = HashMap::new();
        for (account, known) in self.runs.values().flat_map(|run| &run.accounts) {
            let sum = sums.entry(account).or_insert(AccountQuotaUse {
                allowed: known.usage.allowed,
                divisible: true,
                ..AccountQuotaUse::default()
            });
            sum.admitted += known.admitted();
            sum.requested_per_second += known.usage.requested_per_second;
            // While a new table arrives the lower quota counts.
            sum.allowed = sum.allowed.min(known.usage.allowed);
            sum.divisible &= known.usage.divisible;
        }
        let unobserved_fraction = self.unobserved_fraction(now);
        let mut changes = Vec::new();
        for (account, sum) in sums {
            let known = self.accounts.entry(account.to_owned()).or_default();
            let previous = known.mode;
            let expected = sum.requested_per_second * window.as_secs_f64();
            let used = sum.admitted.max(expected) + unobserved_fraction * sum.allowed;
            let threshold = match previous {
                QuotaMode::Open => STAY_OPEN_FRACTION,
                QuotaMode::Asked | QuotaMode::Divided => OPEN_BELOW_FRACTION,
            };
            known.mode = match previous {
                QuotaMode::Divided if sum.divisible => QuotaMode::Divided,
                _ if used <= threshold * sum.allowed => QuotaMode::Open,
                _ => QuotaMode::Asked,
            };
            if previous == QuotaMode::Open {
                known.closing_until = now + CLOSING_TIME;
            }
            if previous != known.mode {
                changes.push((account.to_owned(), known.mode));
            }
        }
        changes
    }

    /// Returns how each account is admitted.
    pub fn modes(&self) -> impl Iterator<Item = (&str, QuotaMode)> {
        let accounts = self.accounts.iter();
        accounts.map(|(account, known)| (&**account, known.mode))
    }

    /// Grants units of an account to a gateway, or returns after which time there may be enough.
    pub fn grant(
        &mut self,
        gateway: &str,
        incarnation: u64,
        account: &str,
        units: f64,
        allowed: f64,
        now: Duration,
    ) -> Result<(), Duration> {
        let limit = BucketLimit {
            per_second: allowed / self.window.as_secs_f64(),
            capacity: allowed * GRANT_BURST_FRACTION,
        };
        let unobserved_fraction = self.unobserved_fraction(now);
        let known = self.accounts.entry(account.to_owned()).or_default();
        let is_closing = now < known.closing_until;
        let pacing = known
            .pacing
            .get_or_insert_with(|| TokenBucket::new(limit.capacity, now));
        pacing.check(units, limit, now)?;
        let used = |run: &GatewayRun| {
            let known = run.accounts.get(account)?;
            let silence = now.saturating_sub(run.reported_at).as_secs_f64();
            let unreported = match is_closing {
                true => known.usage.requested_per_second * silence,
                false => 0.0,
            };
            Some(known.admitted() + unreported)
        };
        let used: f64 = self.runs.values().filter_map(used).sum();
        // A request larger than the whole quota passes when nothing else was used.
        let over = used + unobserved_fraction * allowed + units.min(allowed) - allowed;
        if over > 0.0 {
            let wait = over / limit.per_second.max(f64::MIN_POSITIVE);
            return Err(Duration::try_from_secs_f64(wait).unwrap_or(self.window));
        }
        pacing.take(units, limit, now)?;
        let run = self.runs.entry((gateway.to_owned(), incarnation));
        let run = run.or_insert_with(|| GatewayRun {
            reported_at: now,
            ..GatewayRun::default()
        });
        run.accounts.entry(account.to_owned()).or_default().granted += units;
        Ok(())
    }

    /// Returns the part of a window of which nobody knows what was admitted: this controller did not hear it,
    /// and the gateways that it hears were not there. All may have been used then.
    fn unobserved_fraction(&self, now: Duration) -> f64 {
        let observed_for = now.saturating_sub(self.started_at.unwrap_or(now));
        let unheard_fraction =
            1.0 - (observed_for.as_secs_f64() / self.window.as_secs_f64()).min(1.0);
        if unheard_fraction <= 0.0 || self.runs.is_empty() {
            return 0.0;
        }
        let unobserved = self.runs.values().map(|run| 1.0 - run.observed_fraction);
        let mean = unobserved.sum::<f64>() / self.runs.len() as f64;
        mean.min(unheard_fraction)
    }
}
