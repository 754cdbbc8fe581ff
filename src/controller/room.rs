//! Adds up what gateways report of the demand for services. See docs/design/ROOM.md.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use crate::{
    policy::room::MAX_ACCOUNTS,
    wire::{AccountWork, ServiceRoom},
};

/// Time for which a gateway's report counts; four long polls of a gateway.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);
/// Time for which sums are reused: they go to all gateways and depend on the reports of all.
const SUMS_MAX_AGE: Duration = Duration::from_millis(100);

/// The newest report of each gateway.
#[derive(Debug, Default)]
pub struct RoomReports {
    gateways: HashMap<String, (Duration, Vec<ServiceRoom>)>,
    sums: Vec<ServiceRoom>,
    summed_at: Option<Duration>,
}

#[derive(Debug, Default)]
struct Sum<'a> {
    /// Sum of the levels, each multiplied by the demand of its gateway.
    level: f64,
    demand: f64,
    admitted: f64,
    accounts: BTreeMap<&'a str, f64>,
}

impl RoomReports {
    /// Records a gateway's report.
    pub fn record(&mut self, now: Duration, gateway: &str, report: &[ServiceRoom]) {
        if !report.is_empty() {
            let newest = (now, report.to_vec());
            self.gateways.insert(gateway.to_owned(), newest);
        }
    }

    /// Returns the demand of all gateways for each service, with the accounts that ask most.
    pub fn sums(&mut self, now: Duration) -> Vec<ServiceRoom> {
        let is_fresh = |at: Duration, age| now.saturating_sub(at) < age;
        if !self.summed_at.is_some_and(|at| is_fresh(at, SUMS_MAX_AGE)) {
            self.summed_at = Some(now);
            self.gateways
                .retain(|_, (at, _)| is_fresh(*at, REPORT_LIFETIME));
            self.sums = sum(self.gateways.values().flat_map(|(_, report)| report));
        }
        self.sums.clone()
    }
}

fn sum<'a>(reports: impl Iterator<Item = &'a ServiceRoom>) -> Vec<ServiceRoom> {
    let mut services: BTreeMap<&str, Sum<'_>> = BTreeMap::new();
    for report in reports {
        let sum = services.entry(&report.service).or_default();
        if report.admitted > 0.0 {
            sum.admitted += f64::from(report.admitted);
        }
        for held in report.accounts.iter().filter(|held| held.work > 0.0) {
            let work = f64::from(held.work);
            sum.level += f64::from(report.level.clamp(0.0, 1.0)) * work;
            sum.demand += work;
            *sum.accounts.entry(&held.account).or_default() += work;
        }
    }
    let services = services.into_iter().filter(|(_, sum)| sum.demand > 0.0);
    services
        .map(|(service, sum)| {
            let accounts = sum.accounts.into_iter();
            let mut accounts: Vec<AccountWork> = accounts
                .map(|(account, work)| AccountWork {
                    account: account.to_owned(),
                    work: work as f32,
                })
                .collect();
            accounts.sort_unstable_by(|a, b| b.work.total_cmp(&a.work));
            accounts.truncate(MAX_ACCOUNTS);
            ServiceRoom {
                service: service.to_owned(),
                level: (sum.level / sum.demand) as f32,
                accounts,
                admitted: sum.admitted as f32,
            }
        })
        .collect()
}
