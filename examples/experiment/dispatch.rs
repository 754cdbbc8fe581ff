//! The gateways' decisions in the simulation, by the product's policies or naive baselines.

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
    decision::{AdmissionPolicy, HomeKey, RetryPolicy, RoutingPolicy},
    engine::Job,
    gateway::WaitingRequest,
    naive,
    simulation::{Event, Simulation},
    site::ZONES,
};

/// Time without a first token after which callers disconnect.
const CALLER_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which an instance is suspect after a failed attempt.
const SUSPECT_TIME: Duration = Duration::from_secs(2);

impl Simulation<'_> {
    /// Queues a request, paying ones ahead of free ones, and runs admission.
    pub fn handle_arrival(&mut self, request: usize) {
        let gateway = self.requests[request].arrival.gateway;
        let paying = self.requests[request].paying;
        let prioritizes = self.policies.admission != AdmissionPolicy::AcceptAll;
        let queue = &self.gateways[gateway].queue;
        let goes_before = |&other: &usize| prioritizes && paying && !self.requests[other].paying;
        let position = queue.iter().position(goes_before).unwrap_or(queue.len());
        self.gateways[gateway].queue.insert(position, request);
        self.admit_waiting(gateway);
        if paying && self.gateways[gateway].queue.contains(&request) {
            self.requests[request].behind_free |= self.free_holds_slot();
        }
    }

    /// Runs admission for each waiting request in queue order.
    pub fn admit_waiting(&mut self, gateway: usize) {
        let mut position = 0;
        while let Some(&request) = self.gateways[gateway].queue.get(position) {
            match self.decide(gateway, position) {
                Admission::Accept => {
                    self.gateways[gateway].queue.remove(position);
                    self.gateways[gateway].budget.record_request();
                    self.dispatch(request);
                }
                Admission::Refuse { kind, .. } => {
                    self.gateways[gateway].queue.remove(position);
                    self.refuse(gateway, request, kind);
                }
                Admission::Wait => position += 1,
            }
        }
    }

    fn decide(&mut self, gateway: usize, position: usize) -> Admission {
        let request = self.gateways[gateway].queue[position];
        let started = self.requests[request].attempts > 0;
        let req = self.admit_request(gateway, position);
        if self.policies.admission == AdmissionPolicy::AcceptAll {
            return match naive::admit::decide(&req) {
                Admission::Wait if req.waited > CALLER_TIMEOUT && !started => Admission::Refuse {
                    kind: RefusalKind::DeadlineExceeded,
                    retry_after: Duration::ZERO,
                },
                decision => decision,
            };
        }
        match admit::decide(&req) {
            // A preempted stream is resumed regardless of how long it has waited.
            Admission::Refuse { .. } if started => Admission::Wait,
            Admission::Wait if self.preempts(&req) && self.cancel_free(gateway) => {
                admit::decide(&self.admit_request(gateway, position))
            }
            decision => decision,
        }
    }

    fn preempts(&self, req: &admit::AdmitRequest) -> bool {
        self.policies.admission == AdmissionPolicy::Preempting && admit::should_preempt(req)
    }

    fn admit_request(&self, gateway: usize, position: usize) -> admit::AdmitRequest {
        let queue = &self.gateways[gateway].queue;
        let waiting = |&request: &usize| {
            let req = &self.requests[request];
            WaitingRequest {
                account: req.arrival.account,
                paying: req.paying,
                arrived: req.arrival.at,
            }
        };
        let others = queue.iter().enumerate().filter(|(i, _)| *i != position);
        let others = others.map(|(_, request)| waiting(request));
        self.gateways[gateway].admit_request(self.now, waiting(&queue[position]), position, others)
    }

    /// Cancels the most recently dispatched free request and moves it to the end of the queue. Returns
    /// whether there was one.
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
        self.results.preempted += 1;
        true
    }

    fn refuse(&mut self, gateway: usize, request: usize, kind: RefusalKind) {
        let req = &self.requests[request];
        self.results.refused += 1;
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
        let (engine_indexes, candidates) = self.candidates(arrival);
        let Some(chosen) = self.choose(arrival, &candidates) else {
            return;
        };
        let engine = engine_indexes[chosen];
        let job = self.next_job(request);
        let gateway = &mut self.gateways[arrival.gateway];
        gateway.engines[engine].in_progress += 1;
        gateway.engines[engine].sent.push_back(self.now);
        gateway.in_progress[arrival.account] += 1;
        let req = &mut self.requests[request];
        gateway.free_in_progress += u32::from(!req.paying);
        req.at = Some((engine, job));
        req.dispatched_at = self.now;
        let delay = self.distance(arrival.gateway, engine);
        self.after(delay, Event::ReachEngine(engine, job));
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
            RoutingPolicy::RoundRobin => naive::route::choose(gateway.turn, candidates),
            RoutingPolicy::LeastReported => (0..candidates.len()).min_by_key(|&i| {
                let report = candidates[i].report;
                report.map(|r| r.running + r.queued)
            }),
            RoutingPolicy::Cost => {
                let req = RouteRequest {
                    zone: ZONES[gateway.zone].into(),
                    prompt_tokens: arrival.prompt_tokens,
                    home: home_hash(self.policies.home, arrival),
                };
                route::choose(&req, candidates, &self.weights)
            }
        }
    }

    /// Handles a failed attempt.
    pub fn handle_failure(&mut self, engine: usize, job: Job, kind: UpstreamErrorKind, sent: Sent) {
        let request = job.request;
        if self.requests[request].at != Some((engine, job)) {
            return;
        }
        let gateway = self.requests[request].arrival.gateway;
        if kind != UpstreamErrorKind::Busy {
            self.gateways[gateway].engines[engine].suspect_until = self.now + SUSPECT_TIME;
        }
        self.keep_tokens(request);
        self.leave_engine(request);
        // A started stream is resumed, since its caller has received part of the answer.
        if self.requests[request].first_token.is_some() {
            return self.dispatch(request);
        }
        let age = self.now - self.requests[request].arrival.at;
        let failure = Failure {
            kind,
            sent,
            idempotent: true,
            attempts: self.requests[request].attempts,
            remaining: CALLER_TIMEOUT.saturating_sub(age),
            random: self.rng.random(),
        };
        let retry = match self.policies.retry {
            RetryPolicy::AlwaysAtOnce => naive::retry::decide(&failure),
            RetryPolicy::Budget => self.gateways[gateway].budget.decide(&failure),
        };
        match retry {
            Retry::After(delay) => self.after(delay, Event::Retry(request)),
            Retry::GiveUp => self.admit_waiting(gateway),
        }
    }
}

fn home_hash(home: HomeKey, arrival: &Arrival) -> u64 {
    match home {
        HomeKey::Blocks(blocks) => arrival.prefixes[..arrival.prefixes.len().min(blocks)]
            .last()
            .map_or(0, |prefix| prefix.hash),
        HomeKey::Opening => arrival.conversation,
    }
}
