//! Divides an account's quota among gateways.
//!
//! Callers connect where they are sent, so gateways see unequal parts of an account's requests.
//! With equal parts of the quota one gateway would refuse requests while another leaves units
//! unused. Each gateway therefore has a small floor that it may always use, also while no
//! controller is reachable, and the rest is divided by demand. See docs/DECISIONS.md, "Quotas".

use std::time::Duration;

use crate::domain::Quota;

/// Fraction of the tolerances that is used; the rest covers the time in which gateways apply new
/// parts at different moments.
const USED_TOLERANCE_FRACTION: f64 = 0.5;

/// Fraction of the used tolerance that applies where the leader keeps the quota undivided: gateways
/// report what they admitted with some delay.
const LEDGER_TOLERANCE_FRACTION: f64 = 0.5;

/// How exactly quotas are enforced.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaRule {
    /// Length of the sliding window in which an account may use its rate times the window plus its
    /// burst. Without a window the burst is gained only once.
    pub window: Option<Duration>,
    /// Fraction of the allowance by which it may be exceeded.
    pub overage: f64,
    /// Units by which it may be exceeded in addition.
    pub slack: f64,
}

/// Window of usage reports for quotas without a window, whose burst is gained only once.
const DEFAULT_USAGE_WINDOW: Duration = Duration::from_secs(1);

impl QuotaRule {
    /// Returns the window over which the use of quotas is reported.
    pub fn usage_window(&self) -> Duration {
        self.window.unwrap_or(DEFAULT_USAGE_WINDOW)
    }
}

/// Refill rate and capacity of a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BucketLimit {
    /// Units gained per second.
    pub per_second: f64,
    /// Most units that the bucket holds.
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

/// How a quota is enforced: one part by the gateways on their own, the other by the leader, which a
/// gateway asks when its own part is used up. Many small parts alone would refuse requests that
/// arrive close together at one gateway while others have units left.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSplit {
    /// Units that the account may use in a window, including the used tolerances.
    pub allowed: f64,
    /// The part divided among the gateways.
    pub gateways: BucketLimit,
    /// The part that the leader grants on request.
    pub reserve: BucketLimit,
}

/// A token bucket whose rate and capacity are given with each call.
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

    /// Takes units out. A request larger than the capacity passes once the bucket is full, and
    /// leaves a debt. If there are too few units, returns the time until there may be enough.
    pub fn take(&mut self, units: f64, limit: BucketLimit, now: Duration) -> Result<(), Duration> {
        self.check(units, limit, now)?;
        self.spend(units);
        Ok(())
    }

    /// Takes units out even if there are too few, which leaves a debt.
    pub fn spend(&mut self, units: f64) {
        self.tokens -= units;
    }

    /// Returns what [`TokenBucket::take`] would return, without taking anything out.
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

/// Fraction of a quota that gateways admit on their own, also while there is no leader.
const GATEWAYS_FRACTION: f64 = 0.6;
/// Longest retry delay given to a caller for its quota.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Returns how a quota is split between the gateways and the leader, so that what is admitted in
/// any window satisfies the rule.
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

/// Returns one gateway's fraction of the gateways' limit.
pub fn gateway_limit(limit: BucketLimit, fraction: f64) -> BucketLimit {
    limit.scaled(fraction)
}

/// Fraction of a quota that is divided equally, so that a gateway without demand so far, or without
/// contact to a controller, can admit some requests.
const FLOOR_FRACTION: f64 = 0.2;

/// Returns the fraction of a quota that each of `gateways` gateways may always use.
pub fn floor_fraction(gateways: usize) -> f64 {
    FLOOR_FRACTION / gateways.max(1) as f64
}

/// Demand of one gateway when a quota is divided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GatewayDemand {
    /// It reports; callers ask it for this many units per second.
    Reporting(f64),
    /// It is silent, and may still use this fraction, the one that it was given last.
    Silent(f64),
}

/// Returns each gateway's fraction of a quota. The fractions add up to one at most, including those
/// that silent gateways keep. Without any demand the reporting gateways get equal fractions.
pub fn divide(gateways: &[GatewayDemand]) -> Vec<f64> {
    let kept_fraction: f64 = gateways.iter().map(|gateway| gateway.kept_fraction()).sum();
    let demands = || gateways.iter().filter_map(|gateway| gateway.demand());
    let (reporting, total) = (demands().count().max(1) as f64, demands().sum::<f64>());
    let left = (1.0 - kept_fraction).max(0.0);
    let floor = floor_fraction(gateways.len()).min(left / reporting);
    let rest = left - floor * reporting;
    let fraction = |gateway: &GatewayDemand| match gateway {
        GatewayDemand::Silent(fraction) => *fraction,
        GatewayDemand::Reporting(_) if total <= 0.0 => left / reporting,
        GatewayDemand::Reporting(demand) => floor + rest * demand / total,
    };
    gateways.iter().map(fraction).collect()
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
