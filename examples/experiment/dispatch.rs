//! What the gateways decide in the model, by the product's policies or by naive ones.

use std::time::Duration;

use flamingocroft::{
    domain::RefusalKind,
    policy::{
        admit::{self, Admission},
        retry::{Failure, Retry},
        route::{self, Candidate, RouteRequest},
    },
    ports::{Sent, UpstreamErrorKind},
};
use rand::Rng;

use super::{
    arrivals::Arrival,
    decision::{Admitting, Home, Retrying, Routing},
    engine::Job,
    gateway::Waiting,
    model::{Event, World},
    naive,
    site::ZONES,
};

/// Callers hang up after this time without a first token.
const PATIENCE: Duration = Duration::from_secs(10);

/// An instance whose exchange failed is avoided for this long.
const SUSPICION: Duration = Duration::from_secs(2);

impl World<'_> {
    /// Takes a request in.
    pub fn arrive(&mut self, request: usize) {
        let gateway = self.requests[request].arrival.gateway;
        let paying = self.requests[request].paying;
        let sorts = self.policies.admitting != Admitting::AcceptAll;
        let queue = &self.gateways[gateway].queue;
        let goes_before = |&other: &usize| sorts && paying && !self.requests[other].paying;
        let place = queue.iter().position(goes_before).unwrap_or(queue.len());
        self.gateways[gateway].queue.insert(place, request);
        self.ask_queue(gateway);
        if paying && self.gateways[gateway].queue.contains(&request) {
            self.requests[request].behind_free |= self.free_holds_slot();
        }
    }

    /// Asks admission about each waiting request, in their order.
    pub fn ask_queue(&mut self, gateway: usize) {
        let mut place = 0;
        while let Some(&request) = self.gateways[gateway].queue.get(place) {
            match self.decide(gateway, place) {
                Admission::Accept => {
                    self.gateways[gateway].queue.remove(place);
                    self.gateways[gateway].budget.record_request();
                    self.dispatch(request);
                }
                Admission::Refuse { kind, .. } => {
                    self.gateways[gateway].queue.remove(place);
                    self.refuse(gateway, request, kind);
                }
                Admission::Wait => place += 1,
            }
        }
    }

    fn decide(&mut self, gateway: usize, place: usize) -> Admission {
        let request = self.gateways[gateway].queue[place];
        let started = self.requests[request].attempts > 0;
        let req = self.admit_request(gateway, place);
        if self.policies.admitting == Admitting::AcceptAll {
            return match naive::admit::decide(&req) {
                Admission::Wait if req.waited > PATIENCE && !started => Admission::Refuse {
                    kind: RefusalKind::DeadlineExceeded,
                    retry_after: Duration::ZERO,
                },
                decision => decision,
            };
        }
        match admit::decide(&req) {
            // A stream that was cancelled for paying work is resumed, however long it waits.
            Admission::Refuse { .. } if started => Admission::Wait,
            Admission::Wait if self.preempts(&req) && self.cancel_free(gateway) => {
                admit::decide(&self.admit_request(gateway, place))
            }
            decision => decision,
        }
    }

    fn preempts(&self, req: &admit::AdmitRequest) -> bool {
        self.policies.admitting == Admitting::Preempting && admit::should_preempt(req)
    }

    fn admit_request(&self, gateway: usize, place: usize) -> admit::AdmitRequest {
        let queue = &self.gateways[gateway].queue;
        let waiting = |&request: &usize| {
            let req = &self.requests[request];
            Waiting {
                account: req.arrival.account,
                paying: req.paying,
                arrived: req.arrival.at,
            }
        };
        let others = queue.iter().enumerate().filter(|(i, _)| *i != place);
        let others = others.map(|(_, request)| waiting(request));
        self.gateways[gateway].admit_request(self.now, waiting(&queue[place]), place, others)
    }

    /// Cancels the free request that was dispatched last; it goes to the end of the queue.
    pub fn cancel_free(&mut self, gateway: usize) -> bool {
        let ours = |&i: &usize| {
            let req = &self.requests[i];
            !req.paying && req.arrival.gateway == gateway && req.at.is_some()
        };
        let latest = (0..self.requests.len())
            .filter(ours)
            .max_by_key(|&i| self.requests[i].dispatched_at);
        let Some(request) = latest else {
            return false;
        };
        self.cancel(request);
        self.gateways[gateway].queue.push(request);
        self.figures.preempted += 1;
        true
    }

    fn refuse(&mut self, gateway: usize, request: usize, kind: RefusalKind) {
        let req = &self.requests[request];
        self.figures.refused += 1;
        if kind != RefusalKind::DeadlineExceeded {
            self.gateways[gateway].refused[req.arrival.account] += 1;
        }
        if req.paying {
            self.requests[request].behind_free |= self.free_holds_slot();
        }
    }

    /// Sends a request to an engine.
    pub fn dispatch(&mut self, request: usize) {
        let arrival = self.requests[request].arrival;
        let (numbers, candidates) = self.candidates(arrival);
        let Some(chosen) = self.choose(arrival, &candidates) else {
            return;
        };
        let engine = numbers[chosen];
        let job = self.next_job(request);
        let gateway = &mut self.gateways[arrival.gateway];
        gateway.engines[engine].in_progress += 1;
        gateway.engines[engine].sent.push_back(self.now);
        gateway.in_progress[arrival.account] += 1;
        let req = &mut self.requests[request];
        gateway.free_in_progress += u32::from(!req.paying);
        req.at = Some((engine, job));
        req.dispatched_at = self.now;
        let way = self.distance(arrival.gateway, engine);
        self.after(way, Event::ReachEngine(engine, job));
    }

    fn candidates(&self, arrival: &Arrival) -> (Vec<usize>, Vec<Candidate>) {
        let (event_age, _) = self.scenario.event_timing();
        let gateway = &self.gateways[arrival.gateway];
        gateway.candidates(self.now, &self.names, &arrival.prefixes, event_age)
    }

    fn choose(&mut self, arrival: &Arrival, candidates: &[Candidate]) -> Option<usize> {
        let gateway = &mut self.gateways[arrival.gateway];
        gateway.turn += 1;
        match self.policies.routing {
            Routing::RoundRobin => naive::route::choose(gateway.turn, candidates),
            Routing::LeastReported => (0..candidates.len()).min_by_key(|&i| {
                let report = candidates[i].report;
                report.map(|r| r.running + r.queued)
            }),
            Routing::Cost => {
                let req = RouteRequest {
                    zone: ZONES[gateway.zone].into(),
                    prompt_tokens: arrival.prompt_tokens,
                    home: home(self.policies.home, arrival),
                };
                route::choose(&req, candidates, &self.weights)
            }
        }
    }

    /// Handles a failed attempt.
    pub fn fail(&mut self, engine: usize, job: Job, kind: UpstreamErrorKind, sent: Sent) {
        let request = job.request;
        if self.requests[request].at != Some((engine, job)) {
            return;
        }
        let gateway = self.requests[request].arrival.gateway;
        if kind != UpstreamErrorKind::Busy {
            self.gateways[gateway].engines[engine].suspect_until = self.now + SUSPICION;
        }
        self.keep_tokens(request);
        self.leave_engine(request);
        // A stream that had begun is resumed; its caller holds a part of the answer.
        if self.requests[request].first_token.is_some() {
            return self.dispatch(request);
        }
        let age = self.now - self.requests[request].arrival.at;
        let failure = Failure {
            kind,
            sent,
            idempotent: true,
            attempts: self.requests[request].attempts,
            remaining: PATIENCE.saturating_sub(age),
            random: self.rng.random(),
        };
        let retry = match self.policies.retrying {
            Retrying::AlwaysAtOnce => naive::retry::decide(&failure),
            Retrying::Budget => self.gateways[gateway].budget.decide(&failure),
        };
        match retry {
            Retry::After(delay) => self.after(delay, Event::Repeat(request)),
            Retry::GiveUp => self.ask_queue(gateway),
        }
    }
}

fn home(home: Home, arrival: &Arrival) -> u64 {
    match home {
        Home::Blocks(blocks) => arrival.prefixes[..arrival.prefixes.len().min(blocks)]
            .last()
            .map_or(0, |prefix| prefix.hash),
        Home::Opening => arrival.conversation,
    }
}
