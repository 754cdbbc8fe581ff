//! Enforces quotas over many gateways.
//!
//! A part of a quota that is smaller than one request refuses everything, so a quota is divided
//! among gateways only while each part holds a request. Otherwise the leader keeps the quota whole
//! and adds up what all gateways admitted in the last window. While an account stays well below its
//! quota, gateways admit its requests without asking the leader; near the quota they ask for each
//! request. See docs/DECISIONS.md, "Quotas of many gateways".

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use super::quota::{BucketLimit, QuotaRule, QuotaSplit, TokenBucket};

/// Thresholds, with hysteresis, below which gateways need not ask the leader: fractions of what an
/// account may use in a window. The rest is what an account may use until a sudden rise of its load
/// is detected, which takes about a second. The lower threshold opens an account, the higher one
/// keeps it open.
const OPEN_BELOW_FRACTION: f64 = 0.6;
const STAY_OPEN_FRACTION: f64 = 0.7;
/// Time after an account leaves [`QuotaMode::Open`] in which some gateways still admit without
/// asking and have not yet reported what they admitted: about two polls of a gateway.
const CLOSING_TIME: Duration = Duration::from_millis(1500);
/// Fraction of a window's allowance that may be granted in one burst.
const GRANT_BURST_FRACTION: f64 = 0.125;
/// Slots per window in which admitted units are counted; they expire one slot at a time.
const SLOTS_PER_WINDOW: u32 = 80;

/// Returns whether each of `gateways` equal parts of a quota holds a request of some units.
pub fn is_divisible(split: &QuotaSplit, gateways: usize, units: f64) -> bool {
    units * gateways as f64 <= split.gateways.capacity
}

/// How gateways admit the requests of an account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QuotaMode {
    /// Each gateway uses its own part of the quota.
    #[default]
    Divided,
    /// Gateways ask the leader for each request.
    Asked,
    /// Gateways admit without asking.
    Open,
}

/// Sliding-window counter of the units that one gateway admitted.
#[derive(Clone, Debug)]
pub struct AdmittedWindow {
    window: Duration,
    slots: VecDeque<(Duration, f64)>,
    sum: f64,
}

impl AdmittedWindow {
    /// Makes an empty counter for windows of some length.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            slots: VecDeque::new(),
            sum: 0.0,
        }
    }

    /// Adds units admitted now.
    pub fn add(&mut self, units: f64, now: Duration) {
        let slot = self.window / SLOTS_PER_WINDOW;
        self.sum += units;
        match self.slots.back_mut() {
            Some((begun, sum)) if now < *begun + slot => *sum += units,
            _ => self.slots.push_back((now, units)),
        }
    }

    /// Returns the units admitted in the window that ends now.
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

/// A gateway's report on one account.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AccountQuotaUse {
    /// Units that it admitted in the last window.
    pub admitted: f64,
    /// Units per second that callers request at this gateway.
    pub requested_per_second: f64,
    /// Units that the account may use in a window, over all gateways.
    pub allowed: f64,
    /// Whether the quota can be divided among the gateways that it knows.
    pub divisible: bool,
}

/// One run of a gateway process, identified by its name and incarnation.
#[derive(Clone, Debug, Default)]
struct GatewayRun {
    reported_at: Duration,
    /// Fraction of the last window in which this run was up.
    observed_fraction: f64,
    accounts: HashMap<String, AccountReport>,
}

/// What one run of a gateway reported on an account, and what it was granted since.
#[derive(Clone, Copy, Debug, Default)]
struct AccountReport {
    usage: AccountQuotaUse,
    /// Units granted since the last report, and between the two reports before; the latter may not
    /// be included in the last report.
    granted: f64,
    previously_granted: f64,
}

impl AccountReport {
    fn admitted(&self) -> f64 {
        self.usage.admitted + self.granted + self.previously_granted
    }
}

/// How an account is admitted, and until when some gateways may still admit its requests without
/// asking.
#[derive(Clone, Debug, Default)]
struct Account {
    mode: QuotaMode,
    closing_until: Duration,
    /// Spreads grants over the window: an account that asks for more than its quota would otherwise
    /// use it up early and be refused for the rest of the window.
    pacing: Option<TokenBucket>,
}

/// The leader's account of what all gateways together used of each quota.
#[derive(Debug)]
pub struct QuotaLedger {
    window: Duration,
    /// When this controller got its first report.
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
    /// Makes an empty ledger for windows of some length.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            started_at: None,
            runs: HashMap::new(),
            accounts: HashMap::new(),
        }
    }

    /// Handles a report of one run of a gateway. `observed_fraction` is the fraction of the last
    /// window in which that run was up.
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

    /// Drops the runs of gateways whose units have left the window, and decides how each account is
    /// admitted. Returns the accounts for which that changed.
    ///
    /// A quota that stopped being divided is not divided again, since the gateways' parts and the
    /// reserve do not include what was admitted meanwhile.
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
            // While gateways switch to a new table the lower quota applies.
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

    /// Grants units of an account to a gateway, or returns the time until there may be enough.
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
        // A request larger than the whole quota passes if nothing else was used.
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

    /// Returns the fraction of a window whose admitted units are unknown: this controller got no
    /// reports then, and the gateways that report now were not up. All of the quota may have been
    /// used then.
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
