//! A simulated gateway: its view of the engines, its queue and its shares.

use std::{collections::VecDeque, time::Duration};

use flamingocroft::{
    domain::Priority,
    policy::{
        admit::AdmitRequest,
        pace::Pace,
        prefix::{Prefix, PrefixIndex},
        retry::RetryBudget,
        route::{Candidate, Report},
    },
};

use super::{
    engine::Load,
    site::{FIRST_TOKEN_TARGET, ZONES},
};

/// Maximum age of cache events; a prefix index built from older ones is ignored.
const MAX_EVENT_AGE: Duration = Duration::from_secs(2);

/// Time after a gap in the cache events for which the prefix index is ignored.
const GAP_DISTRUST_TIME: Duration = Duration::from_secs(5);

/// Weight of the newest sample in the exponential moving average of the service time.
const SERVICE_TIME_EMA_WEIGHT: f64 = 0.05;

/// A gateway's view of one engine.
#[derive(Debug, Default)]
pub struct EngineView {
    pub report: Option<Load>,
    pub sent: VecDeque<Duration>,
    pub in_progress: u32,
    pub index: PrefixIndex,
    pub read_events: usize,
    pub gap_at: Option<Duration>,
    pub suspect_until: Duration,
    pub leaving: bool,
}

/// A gateway.
#[derive(Debug)]
pub struct Gateway {
    pub zone: usize,
    pub engines: Vec<EngineView>,
    /// Waiting requests, in the order of admission.
    pub queue: Vec<usize>,
    pub in_progress: Vec<u32>,
    pub free_in_progress: u32,
    pub refused: Vec<u32>,
    pub shares: Vec<u32>,
    pub service_time: Duration,
    pub budget: RetryBudget,
    pub turn: u64,
}

/// The properties of a waiting request that admission needs.
#[derive(Clone, Copy, Debug)]
pub struct WaitingRequest {
    pub account: usize,
    pub paying: bool,
    pub arrived: Duration,
}

impl Gateway {
    /// Creates an idle gateway.
    pub fn new(zone: usize, engines: usize, accounts: usize) -> Self {
        Self {
            zone,
            engines: (0..engines).map(|_| EngineView::default()).collect(),
            queue: Vec::new(),
            in_progress: vec![0; accounts],
            free_in_progress: 0,
            refused: vec![0; accounts],
            shares: vec![0; accounts],
            service_time: Duration::from_secs(3),
            budget: RetryBudget::default(),
            turn: 0,
        }
    }

    /// Returns the indexes of the engines that may serve a request, and the candidates for routing.
    pub fn candidates(
        &self,
        now: Duration,
        names: &[(flamingocroft::domain::InstanceName, usize, u32)],
        prompt: &[Prefix],
        event_age: Duration,
    ) -> (Vec<usize>, Vec<Candidate>) {
        self.engines
            .iter()
            .zip(names)
            .enumerate()
            .filter(|(_, (known, _))| !known.leaving)
            .map(|(i, (known, (name, zone, slots)))| {
                let candidate = Candidate {
                    instance: name.clone(),
                    zone: ZONES[*zone].into(),
                    slots: *slots,
                    report: known.report.map(|load| Report {
                        running: load.running,
                        queued: load.queued,
                        age: now.saturating_sub(load.at),
                    }),
                    sent_since_report: known.sent_since_report(),
                    in_progress: known.in_progress,
                    cached_tokens: known.cached_tokens(now, prompt, event_age),
                    prefill_wait: Duration::ZERO,
                    pace: Pace::default(),
                    is_behind_gateway: false,
                    suspect: known.suspect_until > now,
                };
                (i, candidate)
            })
            .unzip()
    }

    /// Builds the admission input for a request with `ahead` requests before it in the queue.
    pub fn admit_request(
        &self,
        now: Duration,
        req: WaitingRequest,
        ahead: usize,
        others: impl Iterator<Item = WaitingRequest> + Clone,
    ) -> AdmitRequest {
        let below = |w: &WaitingRequest| self.in_progress[w.account] < self.shares[w.account];
        let waited = now - req.arrived;
        AdmitRequest {
            priority: if req.paying {
                Priority::Paying
            } else {
                Priority::Free
            },
            account_in_progress: self.in_progress[req.account],
            share: Some(self.shares[req.account]),
            service_in_progress: self.in_progress.iter().sum(),
            free_in_progress: self.free_in_progress,
            service_capacity: self.shares.iter().sum(),
            paying_waiting: others.clone().filter(|w| w.paying).count() as u32,
            waiting_ahead: ahead as u32,
            under_share_waiting: others
                .filter(|w| w.paying == req.paying && below(w))
                .count() as u32,
            waited,
            service_time: self.service_time,
            until_due: FIRST_TOKEN_TARGET.saturating_sub(waited),
        }
    }

    /// Adds the time that a request was in progress to the moving average.
    pub fn record_service_time(&mut self, time: Duration) {
        self.service_time = self.service_time.mul_f64(1.0 - SERVICE_TIME_EMA_WEIGHT)
            + time.mul_f64(SERVICE_TIME_EMA_WEIGHT);
    }
}

impl EngineView {
    /// Stores a load report and drops the requests sent before it.
    pub fn read_report(&mut self, report: Option<Load>) {
        self.report = report;
        if let Some(load) = report {
            self.sent.retain(|&at| at > load.at);
        }
    }

    fn sent_since_report(&self) -> u32 {
        self.sent.len() as u32
    }

    fn cached_tokens(&self, now: Duration, prompt: &[Prefix], event_age: Duration) -> Option<u32> {
        let after_gap = self.gap_at.is_some_and(|at| now < at + GAP_DISTRUST_TIME);
        if event_age > MAX_EVENT_AGE || after_gap {
            return None;
        }
        Some(self.index.cached_tokens(prompt))
    }
}
