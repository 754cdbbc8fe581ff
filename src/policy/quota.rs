//! Divides an account's quota among gateways.
//!
//! Callers connect where they are sent, so gateways see unequal parts of an account's requests. Equal
//! parts of its quota would then refuse at one gateway what others leave unused. Each gateway has a
//! small floor that it may always use, also when no controller answers; the rest follows demand.
//! See docs/DECISIONS.md, "Quotas".

use std::time::Duration;

use crate::domain::Quota;

/// Part of the tolerances that is used; the rest covers the moment in which parts change at different
/// gateways at different times.
const USED_TOLERANCE_FRACTION: f64 = 0.5;

/// Part of that which is used where a quota is kept whole: what gateways admitted is told with some delay.
const LEDGER_TOLERANCE_FRACTION: f64 = 0.5;

/// How exactly quotas must be kept.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaRule {
    /// Over any such time an account may use what the time gains and its burst. Without it the burst
    /// is gained only once.
    pub window: Option<Duration>,
    /// Part of that by which it may be exceeded.
    pub overage: f64,
    /// Units by which it may be exceeded besides.
    pub slack: f64,
}

/// Window over which the use of a quota is told whose burst is gained only once.
const DEFAULT_USAGE_WINDOW: Duration = Duration::from_secs(1);

impl QuotaRule {
    /// Returns the window over which the use of quotas is told.
    pub fn usage_window(&self) -> Duration {
        self.window.unwrap_or(DEFAULT_USAGE_WINDOW)
    }
}

/// A rate of units and how many of them can be saved up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BucketLimit {
    /// Units gained in a second.
    pub per_second: f64,
    /// Units that can be saved up.
    pub capacity: f64,
}

impl BucketLimit {
    fn scaled(self, fraction: f64) -> Self {
        Self {
            per_second: self.per_second * fraction,
            capacity: self.capacity * fraction,
        }
    }
}

/// A quota as it is admitted: one part by the gateways by themselves, the other by the leader, whom a
/// gateway asks when its own part is used up. Many small parts alone would refuse requests that come
/// close together at one gateway while others have units left.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSplit {
    /// Units that the account may use in a window, tolerances that are used included.
    pub allowed: f64,
    /// What the gateways divide among them.
    pub gateways: BucketLimit,
    /// What the leader keeps.
    pub reserve: BucketLimit,
}

/// Units that are gained over time and taken out.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    /// Makes a bucket that holds some units.
    pub fn new(tokens: f64, now: Duration) -> Self {
        Self {
            tokens,
            refilled_at: now,
        }
    }

    /// Takes units out. A request larger than the bucket passes once the bucket is full, and leaves a
    /// debt. If there are too few, returns after which time there may be enough.
    pub fn take(&mut self, units: f64, limit: BucketLimit, now: Duration) -> Result<(), Duration> {
        self.check(units, limit, now)?;
        self.tokens -= units;
        Ok(())
    }

    /// Returns what [`Bucket::take`] would, and takes nothing out.
    pub fn check(&mut self, units: f64, limit: BucketLimit, now: Duration) -> Result<(), Duration> {
        let passed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + passed * limit.per_second).min(limit.capacity);
        self.refilled_at = now;
        let needed = units.min(limit.capacity);
        if self.tokens < needed {
            let wait = (needed - self.tokens) / limit.per_second.max(f64::MIN_POSITIVE);
            return Err(Duration::try_from_secs_f64(wait)
                .unwrap_or(MAX_WAIT)
                .min(MAX_WAIT));
        }
        Ok(())
    }
}

/// Part of a quota that gateways admit by themselves, also while no controller leads.
const GATEWAYS_FRACTION: f64 = 0.6;
/// Longest time that a caller is told to wait for its quota.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Returns how a quota is admitted, so that what is admitted in any window keeps to the rule.
pub fn split(quota: &Quota, rule: &QuotaRule) -> QuotaSplit {
    let slack = rule.slack * USED_TOLERANCE_FRACTION;
    let limit = match rule.window {
        None => BucketLimit {
            per_second: quota.per_second,
            capacity: quota.burst,
        },
        Some(window) => {
            let seconds = window.as_secs_f64().max(1e-3);
            let whole = quota.per_second * seconds + quota.burst;
            BucketLimit {
                per_second: whole / seconds,
                capacity: whole * rule.overage * USED_TOLERANCE_FRACTION,
            }
        }
    };
    let seconds = rule.usage_window().as_secs_f64();
    let mut reserve = limit.scaled(1.0 - GATEWAYS_FRACTION);
    reserve.capacity += slack;
    QuotaSplit {
        allowed: limit.per_second * seconds + (limit.capacity + slack) * LEDGER_TOLERANCE_FRACTION,
        gateways: limit.scaled(GATEWAYS_FRACTION),
        reserve,
    }
}

/// Returns the part of the gateways' limit that one of them may use.
pub fn gateway_limit(limit: BucketLimit, fraction: f64) -> BucketLimit {
    limit.scaled(fraction)
}

/// Part of a quota that is divided equally, so that a gateway without demand so far, or without
/// contact, can admit some requests.
const FLOOR_FRACTION: f64 = 0.2;

/// Returns the part of a quota that every one of some gateways may always use.
pub fn floor_fraction(gateways: usize) -> f64 {
    FLOOR_FRACTION / gateways.max(1) as f64
}

/// What is known of a gateway when a quota is divided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GatewayDemand {
    /// It was heard of lately; callers ask it for this many units in a second.
    Reporting(f64),
    /// It is silent, and may still use the part that it was given last.
    Silent(f64),
}

/// Returns each gateway's part of a quota. The parts add up to one at most, with those that silent
/// gateways keep; without any demand the others are equal.
pub fn divide(gateways_demand: &[GatewayDemand]) -> Vec<f64> {
    let kept_fraction: f64 = gateways_demand
        .iter()
        .map(|gateway| gateway.kept_fraction())
        .sum();
    let demands = || {
        gateways_demand
            .iter()
            .filter_map(|gateway| gateway.demand())
    };
    let (reporting, total) = (demands().count().max(1) as f64, demands().sum::<f64>());
    let left = (1.0 - kept_fraction).max(0.0);
    let floor = floor_fraction(gateways_demand.len()).min(left / reporting);
    let rest = left - floor * reporting;
    let fraction = |gateway: &GatewayDemand| match gateway {
        GatewayDemand::Silent(fraction) => *fraction,
        GatewayDemand::Reporting(_) if total <= 0.0 => left / reporting,
        GatewayDemand::Reporting(demand) => floor + rest * demand / total,
    };
    gateways_demand.iter().map(fraction).collect()
}

impl GatewayDemand {
    fn kept_fraction(self) -> f64 {
        match self {
            Self::Reporting(_) => 0.0,
            Self::Silent(fraction) => fraction,
        }
    }

    fn demand(self) -> Option<f64> {
        match self {
            Self::Reporting(demand) => Some(demand),
            Self::Silent(_) => None,
        }
    }
}
