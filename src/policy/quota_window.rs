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

use super::quota::{Admission, Bucket, Limit, QuotaRule};

/// Parts of what an account may use in a window up to which gateways need not ask: until an account that turns
/// hot is seen, for about a second, it may use the rest. The lower one counts before they were told so.
const OPEN_BELOW: f64 = 0.6;
const OPEN_UP_TO: f64 = 0.7;
/// Time after an account was open in which some gateways still admit without asking, and have not yet told what
/// they admitted: about two questions of a gateway.
const CLOSING: Duration = Duration::from_millis(1500);
/// Part of what a window allows that may be granted at once.
const SAVED: f64 = 0.125;
/// Slots in which admitted units are kept, in a window; they leave a slot at a time.
const SLOTS: u32 = 80;

/// Returns whether parts of a quota for so many gateways hold a request of some units.
pub fn is_divisible(admission: &Admission, gateways: usize, units: f64) -> bool {
    units * gateways as f64 <= admission.gateways.saved
}

/// How gateways admit requests of an account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
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
pub struct Admitted {
    window: Duration,
    slots: VecDeque<(Duration, f64)>,
    sum: f64,
}

impl Admitted {
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
        let slot = self.window / SLOTS;
        self.sum += units;
        match self.slots.back_mut() {
            Some((begun, sum)) if now < *begun + slot => *sum += units,
            _ => self.slots.push_back((now, units)),
        }
    }

    /// Returns the units admitted in the window before now.
    pub fn content(&mut self, now: Duration) -> f64 {
        let end = self.window + self.window / SLOTS;
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
pub struct AccountUse {
    /// Units that it admitted in the last window.
    pub admitted: f64,
    /// Units that callers ask it for in a second.
    pub asked: f64,
    /// Units that the account may use in a window, over all gateways.
    pub allowed: f64,
    /// Whether the quota can be divided among the gateways that it knows.
    pub divisible: bool,
}

/// A start of a gateway.
#[derive(Clone, Debug, Default)]
struct Source {
    heard: Duration,
    /// Part of the last window that it has seen.
    seen: f64,
    accounts: HashMap<String, Reported>,
}

/// What one start of a gateway told of an account.
#[derive(Clone, Copy, Debug, Default)]
struct Reported {
    told: AccountUse,
    /// Units granted since the last report, and between the two before; the latter may not be in the report.
    granted: f64,
    granted_before: f64,
}

impl Reported {
    fn admitted(&self) -> f64 {
        self.told.admitted + self.granted + self.granted_before
    }
}

/// How an account is admitted, and until when some gateways may still admit its requests without asking.
#[derive(Clone, Debug, Default)]
struct Account {
    mode: Mode,
    closing_until: Duration,
    /// Spreads what is granted over the window: an account that asks for more than its quota would otherwise use
    /// it up early and be refused for the rest.
    evenly: Option<Bucket>,
}

/// What all gateways together used of each quota.
#[derive(Debug)]
pub struct QuotaBook {
    window: Duration,
    /// When this controller began to hear gateways.
    since: Option<Duration>,
    sources: HashMap<(String, u64), Source>,
    accounts: HashMap<String, Account>,
}

impl Default for QuotaBook {
    fn default() -> Self {
        Self::new(QuotaRule::default().told_window())
    }
}

impl QuotaBook {
    /// Starts a book for windows of some length.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            since: None,
            sources: HashMap::new(),
            accounts: HashMap::new(),
        }
    }

    /// Takes what a start of a gateway tells. `seen` is the part of the last window that it has seen.
    pub fn hear<'a>(
        &mut self,
        gateway: &str,
        incarnation: u64,
        seen: f64,
        uses: impl Iterator<Item = (&'a str, AccountUse)>,
        now: Duration,
    ) {
        self.since.get_or_insert(now);
        let source = self.sources.entry((gateway.to_owned(), incarnation));
        let source = source.or_default();
        source.heard = now;
        source.seen = seen;
        for (account, told) in uses {
            let known = match source.accounts.get_mut(account) {
                Some(known) => known,
                None => source.accounts.entry(account.to_owned()).or_default(),
            };
            known.told = told;
            known.granted_before = std::mem::take(&mut known.granted);
        }
    }

    /// Forgets starts of gateways whose units have left the window, and decides how each account is admitted.
    /// Returns the accounts of which that changed. A quota that was not divided once is not divided again, since
    /// parts and the reserve know nothing of what was admitted meanwhile.
    pub fn refresh(&mut self, now: Duration) -> Vec<(String, Mode)> {
        let window = self.window;
        self.sources
            .retain(|_, source| now.saturating_sub(source.heard) <= window);
        let mut sums: HashMap<&str, AccountUse> = HashMap::new();
        for (account, known) in self.sources.values().flat_map(|source| &source.accounts) {
            let sum = sums.entry(account).or_insert(AccountUse {
                allowed: known.told.allowed,
                divisible: true,
                ..AccountUse::default()
            });
            sum.admitted += known.admitted();
            sum.asked += known.told.asked;
            // While a new table arrives the lower quota counts.
            sum.allowed = sum.allowed.min(known.told.allowed);
            sum.divisible &= known.told.divisible;
        }
        let unknown = self.unknown(now);
        let mut changes = Vec::new();
        for (account, sum) in sums {
            let known = self.accounts.entry(account.to_owned()).or_default();
            let before = known.mode;
            let soon = sum.asked * window.as_secs_f64();
            let used = sum.admitted.max(soon) + unknown * sum.allowed;
            let below = match before {
                Mode::Open => OPEN_UP_TO,
                Mode::Asked | Mode::Divided => OPEN_BELOW,
            };
            known.mode = match before {
                Mode::Divided if sum.divisible => Mode::Divided,
                _ if used <= below * sum.allowed => Mode::Open,
                _ => Mode::Asked,
            };
            if before == Mode::Open {
                known.closing_until = now + CLOSING;
            }
            if before != known.mode {
                changes.push((account.to_owned(), known.mode));
            }
        }
        changes
    }

    /// Returns how each account is admitted.
    pub fn modes(&self) -> impl Iterator<Item = (&str, Mode)> {
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
        let limit = Limit {
            per_second: allowed / self.window.as_secs_f64(),
            saved: allowed * SAVED,
        };
        let unknown = self.unknown(now);
        let known = self.accounts.entry(account.to_owned()).or_default();
        let is_closing = now < known.closing_until;
        let evenly = known
            .evenly
            .get_or_insert_with(|| Bucket::new(limit.saved, now));
        evenly.check(units, limit, now)?;
        let used = |source: &Source| {
            let known = source.accounts.get(account)?;
            let silence = now.saturating_sub(source.heard).as_secs_f64();
            let untold = match is_closing {
                true => known.told.asked * silence,
                false => 0.0,
            };
            Some(known.admitted() + untold)
        };
        let used: f64 = self.sources.values().filter_map(used).sum();
        // A request larger than the whole quota passes when nothing else was used.
        let over = used + unknown * allowed + units.min(allowed) - allowed;
        if over > 0.0 {
            let wait = over / limit.per_second.max(f64::MIN_POSITIVE);
            return Err(Duration::try_from_secs_f64(wait).unwrap_or(self.window));
        }
        evenly.take(units, limit, now)?;
        let source = self.sources.entry((gateway.to_owned(), incarnation));
        let source = source.or_insert_with(|| Source {
            heard: now,
            ..Source::default()
        });
        source
            .accounts
            .entry(account.to_owned())
            .or_default()
            .granted += units;
        Ok(())
    }

    /// Returns the part of a window of which nobody knows what was admitted: this controller did not hear it,
    /// and the gateways that it hears were not there. All may have been used then.
    fn unknown(&self, now: Duration) -> f64 {
        let heard_for = now.saturating_sub(self.since.unwrap_or(now));
        let unheard = 1.0 - (heard_for.as_secs_f64() / self.window.as_secs_f64()).min(1.0);
        if unheard <= 0.0 || self.sources.is_empty() {
            return 0.0;
        }
        let unseen = self.sources.values().map(|source| 1.0 - source.seen);
        let mean = unseen.sum::<f64>() / self.sources.len() as f64;
        mean.min(unheard)
    }
}
