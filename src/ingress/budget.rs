//! The budget of further attempts for each service. Every gateway keeps to its own part, which adds up
//! to the whole without a message.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Mutex, PoisonError},
    time::Duration,
};

use tokio::time::Instant;

use crate::{domain::ServiceName, settings::Ingress};

/// Part of the allowed ratio that is used, since requests and attempts of one window are counted at
/// slightly different times by upstreams and gateways.
const USED_RATIO: f64 = 0.75;
/// Gateways among which the allowed slack is divided at least, so that a gateway that knows no others
/// does not take all of it.
const FEWEST_GATEWAYS: f64 = 8.0;

/// Budgets by service.
#[derive(Debug)]
pub(super) struct Budgets {
    ratio: f64,
    slack: f64,
    window: Duration,
    services: Mutex<HashMap<ServiceName, Budget>>,
}

#[derive(Debug, Default)]
struct Budget {
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl Budgets {
    pub(super) fn new(ingress: &Ingress) -> Self {
        Self {
            ratio: ingress.retry_ratio * USED_RATIO,
            slack: ingress.retry_slack / FEWEST_GATEWAYS / 2.0,
            window: ingress.retry_window,
            services: Mutex::default(),
        }
    }

    /// Counts a request for a service.
    pub(super) fn earn(&self, service: &ServiceName, now: Instant) {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let budget = services.entry(service.clone()).or_default();
        budget.forget(now, self.window);
        budget.requests.push_back(now);
    }

    /// Takes one further attempt out of a service's budget. Returns whether there was one.
    pub(super) fn spend(&self, service: &ServiceName, now: Instant) -> bool {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let budget = services.entry(service.clone()).or_default();
        budget.forget(now, self.window);
        let allowed = self.ratio * budget.requests.len() as f64 + self.slack;
        if budget.repeats.len() as f64 + 1.0 > allowed {
            return false;
        }
        budget.repeats.push_back(now);
        true
    }
}

impl Budget {
    fn forget(&mut self, now: Instant, window: Duration) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times
                .front()
                .is_some_and(|at| now.duration_since(*at) > window)
            {
                times.pop_front();
            }
        }
    }
}
