//! The queue model: a discrete-event simulation of gateways and engines in virtual time.

use std::{collections::HashSet, time::Duration};

use flamingocroft::{
    domain::{InstanceName, RoutingWeights},
    ports::{Sent, UpstreamErrorKind},
};
use rand::{SeedableRng, rngs::StdRng};

use super::{
    arrivals::Arrival,
    background::BackgroundTask,
    decision::{AdmissionPolicy, Policies},
    engine::{Engine, Job},
    events::EventQueue,
    gateway::Gateway,
    placement,
    results::{AccountResults, Results},
    scenario::{RUN_DURATION, Scenario},
    site::{BETWEEN_TOKENS, FIRST_TOKEN_TARGET, GATEWAYS, Site},
};

/// One-way network delay within a zone.
const SAME_ZONE_DELAY: Duration = Duration::from_micros(500);

/// Time until a connection attempt to a stopped instance fails.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// An event of the simulation.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    Arrive(usize),
    ReachEngine(usize, Job),
    FirstToken(usize, Job),
    Finish(usize, Job),
    Fail(usize, Job, UpstreamErrorKind, Sent),
    Retry(usize),
    BackgroundTask(BackgroundTask),
}

/// The state of a request.
#[derive(Debug)]
pub struct Request<'a> {
    pub arrival: &'a Arrival,
    pub paying: bool,
    pub attempts: u32,
    /// The engine and job of the attempt in progress.
    pub at: Option<(usize, Job)>,
    pub dispatched_at: Duration,
    pub first_token: Option<Duration>,
    pub tokens_left: u32,
    /// Whether it had to wait while a free request held a slot.
    pub behind_free: bool,
    pub done: bool,
}

/// The state of a run.
pub struct Simulation<'a> {
    pub site: &'a Site,
    pub scenario: Scenario,
    pub policies: Policies,
    pub weights: RoutingWeights,
    pub now: Duration,
    pub events: EventQueue<Event>,
    pub rng: StdRng,
    pub requests: Vec<Request<'a>>,
    pub engines: Vec<Engine>,
    /// Name, zone and slots of each engine.
    pub names: Vec<(InstanceName, usize, u32)>,
    pub gateways: Vec<Gateway>,
    pub allocations: Vec<flamingocroft::policy::allocate::Allocation>,
    pub computed_prefixes: HashSet<u64>,
    pub results: Results,
}

/// Simulates one variant on the given arrivals.
pub fn run(
    site: &Site,
    scenario: Scenario,
    policies: Policies,
    arrivals: &[Arrival],
    seed: u64,
) -> Results {
    let mut simulation = Simulation::new(site, scenario, policies, arrivals, seed);
    simulation.schedule_background_tasks();
    while let Some((at, event)) = simulation.events.pop() {
        // Requests in progress at the end of the run get time to finish.
        if at > RUN_DURATION + Duration::from_secs(20) {
            break;
        }
        simulation.now = at;
        simulation.handle_event(event);
    }
    simulation.finish()
}

impl<'a> Simulation<'a> {
    fn new(
        site: &'a Site,
        scenario: Scenario,
        policies: Policies,
        arrivals: &'a [Arrival],
        seed: u64,
    ) -> Self {
        let engines = placement::engines(site, policies.placement);
        let accounts = site.accounts.len();
        let mut events = EventQueue::new();
        for (i, arrival) in arrivals.iter().enumerate() {
            events.push(arrival.at + SAME_ZONE_DELAY * 2, Event::Arrive(i));
        }
        let request = |arrival: &'a Arrival| Request {
            arrival,
            paying: site.accounts[arrival.account].paying,
            attempts: 0,
            at: None,
            dispatched_at: Duration::ZERO,
            first_token: None,
            tokens_left: arrival.answer_tokens,
            behind_free: false,
            done: false,
        };
        Self {
            names: engines
                .iter()
                .map(|e| (e.name.clone(), e.zone, e.slots))
                .collect(),
            gateways: (0..GATEWAYS)
                .map(|i| Gateway::new(Site::zone(i), engines.len(), accounts))
                .collect(),
            results: Results {
                hours: RUN_DURATION.as_secs_f64() / 3600.0,
                cost_micros: placement::cost_micros(site, policies.placement),
                ..Results::default()
            },
            requests: arrivals.iter().map(request).collect(),
            rng: StdRng::seed_from_u64(seed ^ 0xfeed),
            weights: RoutingWeights {
                ms_per_queued_request: policies
                    .queued_ms
                    .unwrap_or(site.weights.ms_per_queued_request),
                ..site.weights.clone()
            },
            now: Duration::ZERO,
            allocations: Vec::new(),
            computed_prefixes: HashSet::new(),
            site,
            scenario,
            policies,
            events,
            engines,
        }
    }

    /// Schedules an event after a delay.
    pub fn after(&mut self, delay: Duration, event: Event) {
        self.events.push(self.now + delay, event);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.handle_arrival(request),
            Event::ReachEngine(engine, job) => self.reach_engine(engine, job),
            Event::FirstToken(engine, job) => self.first_token(engine, job),
            Event::Finish(engine, job) => self.finish_job(engine, job),
            Event::Fail(engine, job, kind, sent) => self.handle_failure(engine, job, kind, sent),
            Event::Retry(request) => self.dispatch(request),
            Event::BackgroundTask(task) => self.run_background_task(task),
        }
    }

    /// Returns the one-way network delay between a gateway and an engine.
    pub fn distance(&self, gateway: usize, engine: usize) -> Duration {
        if self.gateways[gateway].zone == self.engines[engine].zone {
            SAME_ZONE_DELAY
        } else {
            self.site.zone_crossing
        }
    }

    /// Returns whether a free request holds a slot on any engine.
    pub fn free_holds_slot(&self) -> bool {
        let free = |job: &Job| !self.requests[job.request].paying;
        self.engines.iter().any(|e| e.running.iter().any(free))
    }

    /// Starts a request's next attempt and returns its job.
    pub fn next_job(&mut self, request: usize) -> Job {
        let req = &mut self.requests[request];
        req.attempts += 1;
        Job {
            request,
            attempt: req.attempts,
            prioritized: req.paying && self.policies.admission != AdmissionPolicy::AcceptAll,
        }
    }

    fn is_current(&self, engine: usize, job: Job) -> bool {
        self.requests[job.request].at == Some((engine, job))
    }

    fn reach_engine(&mut self, engine: usize, job: Job) {
        if !self.is_current(engine, job) {
            return;
        }
        let back = self.distance(self.requests[job.request].arrival.gateway, engine);
        if !self.engines[engine].alive {
            let failed = Event::Fail(engine, job, UpstreamErrorKind::Connect, Sent::No);
            return self.after(CONNECT_TIMEOUT, failed);
        }
        if self.engines[engine].busy() {
            let failed = Event::Fail(engine, job, UpstreamErrorKind::Busy, Sent::Maybe);
            return self.after(back, failed);
        }
        self.engines[engine].enqueue(job);
        self.start_jobs(engine);
        let waits = self.engines[engine].queue.contains(&job);
        if waits && self.requests[job.request].paying {
            self.requests[job.request].behind_free |= self.free_holds_slot();
        }
    }

    /// Starts queued jobs while the engine has free slots.
    pub fn start_jobs(&mut self, engine: usize) {
        while let Some(job) = self.engines[engine].next() {
            let req = &self.requests[job.request];
            let (arrival, tokens) = (req.arrival, req.tokens_left);
            let (prefilled, recomputed) = self.engines[engine].prefill(
                self.now,
                &arrival.prefixes,
                arrival.prompt_tokens,
                &mut self.computed_prefixes,
            );
            self.results.recomputed_tokens += u64::from(recomputed);
            let back = self.distance(arrival.gateway, engine);
            let end = prefilled + BETWEEN_TOKENS * tokens;
            self.events
                .push(prefilled + back, Event::FirstToken(engine, job));
            self.events.push(end + back, Event::Finish(engine, job));
        }
        let now = self.now;
        self.engines[engine].record_load(now);
    }

    fn first_token(&mut self, engine: usize, job: Job) {
        let req = &mut self.requests[job.request];
        if req.at != Some((engine, job)) || req.first_token.is_some() {
            return;
        }
        req.first_token = Some(self.now + SAME_ZONE_DELAY * 2);
    }

    fn finish_job(&mut self, engine: usize, job: Job) {
        if !self.is_current(engine, job) {
            return;
        }
        self.engines[engine].remove(job);
        self.start_jobs(engine);
        self.requests[job.request].done = true;
        let time = self.now - self.requests[job.request].dispatched_at;
        let gateway = self.requests[job.request].arrival.gateway;
        self.gateways[gateway].record_service_time(time);
        self.leave_engine(job.request);
        self.admit_waiting(gateway);
    }

    /// Cancels a request in progress; it keeps its relayed tokens, so that it can be resumed.
    pub fn cancel(&mut self, request: usize) {
        let Some((engine, job)) = self.requests[request].at else {
            return;
        };
        self.engines[engine].remove(job);
        self.keep_tokens(request);
        self.leave_engine(request);
        self.start_jobs(engine);
    }

    /// Subtracts the tokens relayed so far from those left to generate.
    pub fn keep_tokens(&mut self, request: usize) {
        let now = self.now;
        let req = &mut self.requests[request];
        let since = req
            .first_token
            .map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let relayed = (since.as_millis() / BETWEEN_TOKENS.as_millis()) as u32;
        let left = req.arrival.answer_tokens.saturating_sub(relayed).max(1);
        req.tokens_left = req.tokens_left.min(left);
    }

    /// Removes a request's current attempt from its gateway's counts of requests in progress.
    pub fn leave_engine(&mut self, request: usize) {
        let req = &mut self.requests[request];
        let gateway = &mut self.gateways[req.arrival.gateway];
        if let Some((engine, _)) = req.at.take() {
            gateway.engines[engine].in_progress -= 1;
            gateway.in_progress[req.arrival.account] -= 1;
            gateway.free_in_progress -= u32::from(!req.paying);
        }
    }

    fn finish(mut self) -> Results {
        for req in &self.requests {
            let account = &self.site.accounts[req.arrival.account];
            let latency = req.first_token.map(|at| at - req.arrival.at);
            let in_target = req.done && latency.is_some_and(|l| l <= FIRST_TOKEN_TARGET);
            let sums = self
                .results
                .accounts
                .entry(account.name)
                .or_insert_with(|| AccountResults {
                    paying: account.paying,
                    ..AccountResults::default()
                });
            sums.arrived += 1;
            sums.in_target += u64::from(in_target);
            if let Some(latency) = latency.filter(|_| req.paying) {
                self.results.record_first_token(latency);
            }
            let missed = req.paying && !in_target;
            self.results.displaced += u64::from(missed && req.behind_free);
            self.results.dispatched += u64::from(req.attempts > 0);
            self.results.attempts += u64::from(req.attempts);
            self.results.lost += u64::from(req.attempts > 0 && !req.done);
        }
        self.results
    }
}
