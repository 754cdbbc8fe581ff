//! What goes on beside the requests: reports, cache events, shares and the reclaim of a zone.

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
    decision::Admitting,
    model::{Event, World},
    scenario::{RECLAIM_AT, RUN},
    site::SERVICE,
};

const HEARTBEAT: Duration = Duration::from_millis(400);
const READ_EVENTS: Duration = Duration::from_millis(500);
const ASK_QUEUE: Duration = Duration::from_millis(50);

/// A gateway learns of a reclaim after one of these times, in milliseconds.
const NOTICE_LAG_MS: std::ops::Range<u64> = 300..1000;

/// The controllers count on the instances of a reclaimed zone for this long after the notice.
const CONTROLLER_LAG: Duration = Duration::from_millis(500);

/// A recurring or single task.
#[derive(Clone, Copy, Debug)]
pub enum Upkeep {
    ReadReports(usize),
    ReadEvents(usize),
    AskQueue(usize),
    Divide,
    GiveShares(usize),
    Notice(usize),
    EndZone,
}

impl World<'_> {
    /// Schedules the first of each task; the gateways are out of step.
    pub fn start_upkeep(&mut self) {
        for gateway in 0..self.gateways.len() {
            let step = Duration::from_millis(17) * gateway as u32;
            for upkeep in [
                Upkeep::ReadReports(gateway),
                Upkeep::ReadEvents(gateway),
                Upkeep::AskQueue(gateway),
            ] {
                self.after(step, Event::Upkeep(upkeep));
            }
        }
        self.after(Duration::ZERO, Event::Upkeep(Upkeep::Divide));
        if let Some(notice) = self.scenario.zone_notice() {
            for gateway in 0..self.gateways.len() {
                let lag = Duration::from_millis(self.rng.random_range(NOTICE_LAG_MS));
                let at = RECLAIM_AT + lag + self.scenario.list_lag();
                self.after(at, Event::Upkeep(Upkeep::Notice(gateway)));
            }
            self.after(RECLAIM_AT + notice, Event::Upkeep(Upkeep::EndZone));
        }
    }

    /// Does one task.
    pub fn upkeep(&mut self, upkeep: Upkeep) {
        let again = |period| Some((period, upkeep));
        let next = match upkeep {
            Upkeep::ReadReports(gateway) => {
                self.read_reports(gateway);
                again(self.scenario.report_timing().0)
            }
            Upkeep::ReadEvents(gateway) => {
                self.read_events(gateway);
                again(READ_EVENTS)
            }
            Upkeep::AskQueue(gateway) => {
                self.ask_queue(gateway);
                again(ASK_QUEUE)
            }
            Upkeep::Divide => {
                self.divide();
                again(HEARTBEAT)
            }
            Upkeep::GiveShares(gateway) => {
                self.give_shares(gateway);
                None
            }
            Upkeep::Notice(gateway) => {
                self.notice(gateway);
                None
            }
            Upkeep::EndZone => {
                self.end_zone();
                None
            }
        };
        if let Some((period, upkeep)) = next
            && self.now < RUN + Duration::from_secs(20)
        {
            self.after(period, Event::Upkeep(upkeep));
        }
    }

    fn read_reports(&mut self, gateway: usize) {
        let (_, age) = self.scenario.report_timing();
        let Some(at) = self.now.checked_sub(age) else {
            return;
        };
        let knowns = &mut self.gateways[gateway].engines;
        for (known, engine) in knowns.iter_mut().zip(&self.engines) {
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
        let knowns = &mut self.gateways[gateway].engines;
        for (known, engine) in knowns.iter_mut().zip(&self.engines) {
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

    fn divide(&mut self) {
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
        self.held = allocate::limit_growth(targets, &self.held, &capacity);
        for gateway in 0..self.gateways.len() {
            let way = Duration::from_millis(5);
            self.after(way, Event::Upkeep(Upkeep::GiveShares(gateway)));
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

    fn give_shares(&mut self, gateway: usize) {
        let name = format!("gateway-{gateway}");
        let ours = |allocation: &&Allocation| allocation.gateway.as_str() == name;
        let shares = self.held.iter().filter(ours).map(|a| a.slots).collect();
        self.gateways[gateway].shares = shares;
        self.cancel_excess(gateway);
        self.ask_queue(gateway);
    }

    /// Cancels free work for which the shares that are left have no slot.
    fn cancel_excess(&mut self, gateway: usize) {
        if self.policies.admitting != Admitting::Preempting {
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

    fn notice(&mut self, gateway: usize) {
        for (i, engine) in self.engines.iter().enumerate() {
            if engine.zone == 0 && engine.reclaimable {
                self.gateways[gateway].engines[i].leaving = true;
            }
        }
    }

    fn end_zone(&mut self) {
        for engine in 0..self.engines.len() {
            if self.engines[engine].zone != 0 || !self.engines[engine].reclaimable {
                continue;
            }
            for job in self.engines[engine].stop() {
                let gateway = self.requests[job.request].arrival.gateway;
                let way = self.distance(gateway, engine);
                let cut = Event::Fail(engine, job, UpstreamErrorKind::Cut, Sent::Maybe);
                self.after(way, cut);
            }
        }
    }
}
