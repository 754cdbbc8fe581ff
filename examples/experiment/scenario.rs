//! What happens during a run.

use std::time::Duration;

use clap::ValueEnum;

use super::site::AccountLoad;

/// Length of a run.
pub const RUN: Duration = Duration::from_secs(240);

/// When a zone is reclaimed.
pub const RECLAIM_AT: Duration = Duration::from_secs(120);

/// Between the notice and the end of the instances.
const NOTICE: Duration = Duration::from_secs(2);

/// When one account starts to send more, and when it stops.
const BURST: (f64, f64) = (90.0, 150.0);

/// The morning: load rises from a part of its peak between two times, in seconds.
const MORNING: (f64, f64) = (30.0, 80.0);
const BEFORE_MORNING: f64 = 0.4;

/// A scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Scenario {
    /// The morning peak as planned.
    Steady,
    /// Twice the load.
    Double,
    /// One zone is reclaimed at the peak.
    ZoneReclaimed,
    /// One zone is lost without a notice at one and a half times the load.
    ZoneLost,
    /// Reports and cache events are seconds old, and events have gaps.
    StaleReports,
    /// The largest paying account sends six times its load for a minute.
    Burst,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Self; 6] = [
        Self::Steady,
        Self::Double,
        Self::ZoneReclaimed,
        Self::ZoneLost,
        Self::StaleReports,
        Self::Burst,
    ];

    /// Returns its name in tables and plots.
    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Double => "double load",
            Self::ZoneReclaimed => "zone reclaimed",
            Self::ZoneLost => "zone lost",
            Self::StaleReports => "stale reports",
            Self::Burst => "account burst",
        }
    }

    /// Returns whether a zone goes, and how long before that its notice comes. Without a notice, the
    /// gateways and controllers learn of it from the instance list.
    pub fn zone_notice(self) -> Option<Duration> {
        match self {
            Self::ZoneReclaimed => Some(NOTICE),
            Self::ZoneLost => Some(Duration::ZERO),
            _ => None,
        }
    }

    /// Returns how much later than a notice the end of a zone is learned.
    pub fn list_lag(self) -> Duration {
        match self {
            Self::ZoneLost => Duration::from_secs(5),
            _ => Duration::ZERO,
        }
    }

    /// Returns the load of an account at a time, as a part of the site's capacity.
    pub fn load(self, account: &AccountLoad, seconds: f64) -> f64 {
        let rise = ((seconds - MORNING.0) / (MORNING.1 - MORNING.0)).clamp(0.0, 1.0);
        let morning = BEFORE_MORNING + (1.0 - BEFORE_MORNING) * rise;
        let bursts = account.paying && account.weight == 3;
        let in_burst = (BURST.0..BURST.1).contains(&seconds);
        let factor = match self {
            Self::Double => 2.0,
            Self::ZoneLost => 1.5,
            Self::Burst if bursts && in_burst => 6.0,
            _ => 1.0,
        };
        account.load * morning * factor
    }

    /// Returns the time between two reports of an engine, and their age when they are read.
    pub fn report_timing(self) -> (Duration, Duration) {
        match self {
            Self::StaleReports => (Duration::from_millis(1500), Duration::from_millis(1500)),
            _ => (Duration::from_millis(250), Duration::from_millis(100)),
        }
    }

    /// Returns the age of cache events when they are read, and the probability of a gap.
    pub fn event_timing(self) -> (Duration, f64) {
        match self {
            Self::StaleReports => (Duration::from_secs(4), 0.2),
            _ => (Duration::from_millis(500), 0.01),
        }
    }
}
