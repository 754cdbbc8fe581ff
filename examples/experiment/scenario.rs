//! Scenarios: load and failures during a run.

use std::time::Duration;

use clap::ValueEnum;

use super::site::AccountLoad;

/// Length of a run.
pub const RUN_DURATION: Duration = Duration::from_secs(240);

/// Time into the run at which a zone is reclaimed.
pub const RECLAIM_AT: Duration = Duration::from_secs(120);

/// Time between the notice and the end of the instances.
const RECLAIM_NOTICE: Duration = Duration::from_secs(2);

/// Start and end of one account's burst, in seconds.
const BURST_SECONDS: (f64, f64) = (90.0, 150.0);

/// Start and end of the morning ramp to peak load, in seconds.
const RAMP_SECONDS: (f64, f64) = (30.0, 80.0);
/// Load before the ramp, as a fraction of the peak.
const LOAD_BEFORE_RAMP: f64 = 0.4;

/// A scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Scenario {
    /// The morning peak as planned.
    Steady,
    /// Twice the load.
    Double,
    /// One zone is reclaimed at the peak.
    ZoneReclaimed,
    /// One zone is lost without notice at 1.5 times the load.
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

    /// Returns the notice before a zone is lost, or `None` if no zone is lost. With zero notice, the
    /// gateways and controllers only detect the loss through the instance list.
    pub fn zone_notice(self) -> Option<Duration> {
        match self {
            Self::ZoneReclaimed => Some(RECLAIM_NOTICE),
            Self::ZoneLost => Some(Duration::ZERO),
            _ => None,
        }
    }

    /// Returns the extra delay until the loss of a zone is detected, compared with a notice.
    pub fn list_lag(self) -> Duration {
        match self {
            Self::ZoneLost => Duration::from_secs(5),
            _ => Duration::ZERO,
        }
    }

    /// Returns an account's load at a time, as a fraction of the site's capacity.
    pub fn load(self, account: &AccountLoad, seconds: f64) -> f64 {
        let rise = ((seconds - RAMP_SECONDS.0) / (RAMP_SECONDS.1 - RAMP_SECONDS.0)).clamp(0.0, 1.0);
        let morning = LOAD_BEFORE_RAMP + (1.0 - LOAD_BEFORE_RAMP) * rise;
        let bursts = account.paying && account.weight == 3;
        let in_burst = (BURST_SECONDS.0..BURST_SECONDS.1).contains(&seconds);
        let factor = match self {
            Self::Double => 2.0,
            Self::ZoneLost => 1.5,
            Self::Burst if bursts && in_burst => 6.0,
            _ => 1.0,
        };
        account.load * morning * factor
    }

    /// Returns the interval of an engine's load reports and their age when read.
    pub fn report_timing(self) -> (Duration, Duration) {
        match self {
            Self::StaleReports => (Duration::from_millis(1500), Duration::from_millis(1500)),
            _ => (Duration::from_millis(250), Duration::from_millis(100)),
        }
    }

    /// Returns the age of cache events when read and the probability of a gap.
    pub fn event_timing(self) -> (Duration, f64) {
        match self {
            Self::StaleReports => (Duration::from_secs(4), 0.2),
            _ => (Duration::from_millis(500), 0.01),
        }
    }
}
