//! Background tasks of the simulation: load reports, cache events, shares and the reclaim of a zone.

use std::time::Duration;

use flamingocroft::{
    policy::{
        admit,
        allocate::{self, Allocation, Capacity, DemandRow},
    },
    ports::{CacheEvents, Sent, UpstreamErrorKind},
};
use rand::Rng;

use super::{
    decision::AdmissionPolicy,
    scenario::{RECLAIM_AT, RUN_DURATION},
    simulation::{Event, Simulation},
    site::SERVICE,
};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
const CACHE_EVENT_INTERVAL: Duration = Duration::from_millis(500);
const ADMISSION_INTERVAL: Duration = Duration::from_millis(50);

/// Range of the delay until a gateway receives a reclaim notice, in milliseconds.
const NOTICE_LAG_MS: std::ops::Range<u64> = 300..1000;

/// Time after the notice for which the controllers still count a reclaimed zone's capacity.
const CONTROLLER_LAG: Duration = Duration::from_millis(500);

/// A recurring or one-off task.
#[derive(Clone, Copy, Debug)]
pub enum BackgroundTask {
    ReadReports(usize),
    ReadEvents(usize),
    AdmitWaiting(usize),
    AllocateShares,
    DeliverShares(usize),
    DeliverNotice(usize),
    StopZone,
}

impl Simulation<'_> {
    /// Schedules the first run of each task, staggered over the gateways.
    pub fn schedule_background_tasks(&mut self) {
        for gateway in 0..self.gateways.len() {
            let step = Duration::from_millis(17) * gateway as u32;
            for task in [
                BackgroundTask::ReadReports(gateway),
                BackgroundTask::ReadEvents(gateway),
                BackgroundTask::AdmitWaiting(gateway),
            ] {
                self.after(step, Event::BackgroundTask(task));
            }
        }
        self.after(
            Duration::ZERO,
            Event::BackgroundTask(BackgroundTask::AllocateShares),
        );
        if let Some(notice) = self.scenario.zone_notice() {
            for gateway in 0..self.gateways.len() {
                let lag = Duration::from_millis(self.rng.random_range(NOTICE_LAG_MS));
                let at = RECLAIM_AT + lag + self.scenario.list_lag();
                self.after(
                    at,
                    Event::BackgroundTask(BackgroundTask::DeliverNotice(gateway)),
                );
            }
            self.after(
                RECLAIM_AT + notice,
                Event::BackgroundTask(BackgroundTask::StopZone),
            );
        }
    }

    /// Runs a task and schedules its next run if it recurs.
    pub fn run_background_task(&mut self, task: BackgroundTask) {
        let again = |period| Some((period, task));
        let next = match task {
            BackgroundTask::ReadReports(gateway) => {
                self.read_reports(gateway);
                again(self.scenario.report_timing().0)
            }
            BackgroundTask::ReadEvents(gateway) => {
                self.read_events(gateway);
                again(CACHE_EVENT_INTERVAL)
            }
            BackgroundTask::AdmitWaiting(gateway) => {
                self.admit_waiting(gateway);
                again(ADMISSION_INTERVAL)
            }
            BackgroundTask::AllocateShares => {
                self.allocate_shares();
                again(HEARTBEAT_INTERVAL)
            }
            BackgroundTask::DeliverShares(gateway) => {
                self.deliver_shares(gateway);
                None
            }
            BackgroundTask::DeliverNotice(gateway) => {
                self.deliver_notice(gateway);
                None
            }
            BackgroundTask::StopZone => {
                self.stop_zone();
                None
            }
        };
        if let Some((period, task)) = next
            && self.now < RUN_DURATION + Duration::from_secs(20)
        {
            self.after(period, Event::BackgroundTask(task));
        }
    }

    fn read_reports(&mut self, gateway: usize) {
        let (_, age) = self.scenario.report_timing();
        let Some(at) = self.now.checked_sub(age) else {
            return;
        };
        let views = &mut self.gateways[gateway].engines;
        for (known, engine) in views.iter_mut().zip(&self.engines) {
            if engine.alive {
                known.read_report(engine.load_at(at));
            }
        }
    }

    fn read_events(&mut self, gateway: usize) {
        let (age, gap_probability) = self.scenario.event_timing();
        let Some(until) = self.now.checked_sub(age) else {
            return;
        };
        let views = &mut self.gateways[gateway].engines;
        for (known, engine) in views.iter_mut().zip(&self.engines) {
            let next = engine.events.partition_point(|(at, _)| *at <= until);
            let new = &engine.events[known.read_events..next];
            let gap = self.rng.random_bool(gap_probability);
            known.index.apply(&CacheEvents {
                events: new.iter().map(|(_, event)| *event).collect(),
                next: next as u64,
                gap,
            });
            known.read_events = next;
            if gap {
                known.gap_at = Some(self.now);
            }
        }
    }

    fn allocate_shares(&mut self) {
        let learned = RECLAIM_AT + CONTROLLER_LAG + self.scenario.list_lag();
        let lost = self.scenario.zone_notice().is_some() && self.now > learned;
        let live = self
            .engines
            .iter()
            .filter(|e| !(lost && e.zone == 0 && e.reclaimable));
        let capacity = [Capacity {
            service: SERVICE.into(),
            slots: live.map(|e| e.slots).sum(),
        }];
        let rows = self.demand();
        let targets = allocate::shares_by(self.policies.method, &rows, &capacity);
        self.allocations = allocate::limit_growth(targets, &self.allocations, &capacity);
        for gateway in 0..self.gateways.len() {
            let delay = Duration::from_millis(5);
            self.after(
                delay,
                Event::BackgroundTask(BackgroundTask::DeliverShares(gateway)),
            );
        }
    }

    fn demand(&mut self) -> Vec<DemandRow> {
        let mut rows = Vec::new();
        for (g, gateway) in self.gateways.iter_mut().enumerate() {
            for (a, account) in self.site.accounts.iter().enumerate() {
                let requests = &self.requests;
                let waits = |&&request: &&usize| requests[request].arrival.account == a;
                let waiting = gateway.queue.iter().filter(waits).count() as u32;
                rows.push(DemandRow {
                    gateway: format!("gateway-{g}").into(),
                    service: SERVICE.into(),
                    account: account.name.into(),
                    paying: account.paying,
                    weight: account.weight,
                    running: gateway.in_progress[a],
                    waiting: waiting + std::mem::take(&mut gateway.refused[a]),
                });
            }
        }
        rows
    }

    fn deliver_shares(&mut self, gateway: usize) {
        let name = format!("gateway-{gateway}");
        let ours = |allocation: &&Allocation| allocation.gateway.as_str() == name;
        let shares = self
            .allocations
            .iter()
            .filter(ours)
            .map(|a| a.slots)
            .collect();
        self.gateways[gateway].shares = shares;
        self.cancel_excess(gateway);
        self.admit_waiting(gateway);
    }

    /// Cancels free requests in excess of the gateway's current shares.
    fn cancel_excess(&mut self, gateway: usize) {
        if self.policies.admission != AdmissionPolicy::Preempting {
            return;
        }
        let state = &self.gateways[gateway];
        let capacity = state.shares.iter().sum();
        let in_progress = state.in_progress.iter().sum();
        let excess = admit::excess_free(capacity, in_progress, state.free_in_progress);
        for _ in 0..excess {
            self.cancel_free(gateway);
        }
    }

    fn deliver_notice(&mut self, gateway: usize) {
        for (i, engine) in self.engines.iter().enumerate() {
            if engine.zone == 0 && engine.reclaimable {
                self.gateways[gateway].engines[i].leaving = true;
            }
        }
    }

    fn stop_zone(&mut self) {
        for engine in 0..self.engines.len() {
            if self.engines[engine].zone != 0 || !self.engines[engine].reclaimable {
                continue;
            }
            for job in self.engines[engine].stop() {
                let gateway = self.requests[job.request].arrival.gateway;
                let delay = self.distance(gateway, engine);
                let cut = Event::Fail(engine, job, UpstreamErrorKind::Cut, Sent::Maybe);
                self.after(delay, cut);
            }
        }
    }
}
