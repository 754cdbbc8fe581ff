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
const TOLERANCE_USED: f64 = 0.5;

/// Part of that which is used where a quota is kept whole: what gateways admitted is told with some delay.
const WHOLE_TOLERANCE: f64 = 0.5;

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
const DEFAULT_WINDOW: Duration = Duration::from_secs(1);

impl QuotaRule {
    /// Returns the window over which the use of quotas is told.
    pub fn told_window(&self) -> Duration {
        self.window.unwrap_or(DEFAULT_WINDOW)
    }
}

/// A rate of units and how many of them can be saved up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Units gained in a second.
    pub per_second: f64,
    /// Units that can be saved up.
    pub saved: f64,
}

impl Limit {
    fn times(self, part: f64) -> Self {
        Self {
            per_second: self.per_second * part,
            saved: self.saved * part,
        }
    }
}

/// A quota as it is admitted: one part by the gateways by themselves, the other by the leader, whom a
/// gateway asks when its own part is used up. Many small parts alone would refuse requests that come
/// close together at one gateway while others have units left.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Admission {
    /// Units that the account may use in a window, tolerances that are used included.
    pub allowed: f64,
    /// What the gateways divide among them.
    pub gateways: Limit,
    /// What the leader keeps.
    pub reserve: Limit,
}

/// Units that are gained over time and taken out.
#[derive(Clone, Debug)]
pub struct Bucket {
    left: f64,
    filled: Duration,
}

impl Bucket {
    /// Makes a bucket that holds some units.
    pub fn new(left: f64, now: Duration) -> Self {
        Self { left, filled: now }
    }

    /// Takes units out. A request larger than the bucket passes once the bucket is full, and leaves a
    /// debt. If there are too few, returns after which time there may be enough.
    pub fn take(&mut self, units: f64, limit: Limit, now: Duration) -> Result<(), Duration> {
        self.check(units, limit, now)?;
        self.left -= units;
        Ok(())
    }

    /// Returns what [`Bucket::take`] would, and takes nothing out.
    pub fn check(&mut self, units: f64, limit: Limit, now: Duration) -> Result<(), Duration> {
        let passed = now.saturating_sub(self.filled).as_secs_f64();
        self.left = (self.left + passed * limit.per_second).min(limit.saved);
        self.filled = now;
        let needed = units.min(limit.saved);
        if self.left < needed {
            let wait = (needed - self.left) / limit.per_second.max(f64::MIN_POSITIVE);
            return Err(Duration::try_from_secs_f64(wait)
                .unwrap_or(LONGEST_WAIT)
                .min(LONGEST_WAIT));
        }
        Ok(())
    }
}

/// Part of a quota that gateways admit by themselves, also while no controller leads.
const BY_GATEWAYS: f64 = 0.6;
/// Longest time that a caller is told to wait for its quota.
const LONGEST_WAIT: Duration = Duration::from_secs(60);

/// Returns how a quota is admitted, so that what is admitted in any window keeps to the rule.
pub fn admission(quota: &Quota, rule: &QuotaRule) -> Admission {
    let slack = rule.slack * TOLERANCE_USED;
    let limit = match rule.window {
        None => Limit {
            per_second: quota.per_second,
            saved: quota.burst,
        },
        Some(window) => {
            let seconds = window.as_secs_f64().max(1e-3);
            let whole = quota.per_second * seconds + quota.burst;
            Limit {
                per_second: whole / seconds,
                saved: whole * rule.overage * TOLERANCE_USED,
            }
        }
    };
    let seconds = rule.told_window().as_secs_f64();
    let mut reserve = limit.times(1.0 - BY_GATEWAYS);
    reserve.saved += slack;
    Admission {
        allowed: limit.per_second * seconds + (limit.saved + slack) * WHOLE_TOLERANCE,
        gateways: limit.times(BY_GATEWAYS),
        reserve,
    }
}

/// Returns the part of the gateways' limit that one of them may use.
pub fn own(limit: Limit, part: f64) -> Limit {
    limit.times(part)
}

/// Part of a quota that is divided equally, so that a gateway without demand so far, or without
/// contact, can admit some requests.
const FLOOR: f64 = 0.2;

/// Returns the part of a quota that every one of some gateways may always use.
pub fn floor(gateways: usize) -> f64 {
    FLOOR / gateways.max(1) as f64
}

/// What is known of a gateway when a quota is divided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Claim {
    /// It was heard of lately; callers ask it for this many units in a second.
    Heard(f64),
    /// It is silent, and may still use the part that it was given last.
    Silent(f64),
}

/// Returns each gateway's part of a quota. The parts add up to one at most, with those that silent
/// gateways keep; without any demand the others are equal.
pub fn divide(claims: &[Claim]) -> Vec<f64> {
    let kept: f64 = claims.iter().map(|claim| claim.kept()).sum();
    let demands = || claims.iter().filter_map(|claim| claim.demand());
    let (heard, total) = (demands().count().max(1) as f64, demands().sum::<f64>());
    let left = (1.0 - kept).max(0.0);
    let least = floor(claims.len()).min(left / heard);
    let rest = left - least * heard;
    let part = |claim: &Claim| match claim {
        Claim::Silent(part) => *part,
        Claim::Heard(_) if total <= 0.0 => left / heard,
        Claim::Heard(demand) => least + rest * demand / total,
    };
    claims.iter().map(part).collect()
}

impl Claim {
    fn kept(self) -> f64 {
        match self {
            Self::Heard(_) => 0.0,
            Self::Silent(part) => part,
        }
    }

    fn demand(self) -> Option<f64> {
        match self {
            Self::Heard(demand) => Some(demand),
            Self::Silent(_) => None,
        }
    }
}
