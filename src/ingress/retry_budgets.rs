//! Retry budgets, one for each service.

use std::{
    collections::HashMap,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
};

use tokio::time::Instant;

use crate::{
    domain::ServiceName,
    policy::retry::{RetryBudgetRule, WindowRetryBudget},
    settings::Ingress,
};

/// Minimum number of gateways among which the slack is divided, so that a gateway that does not yet know
/// the others does not claim all of it.
const MIN_SHARING_GATEWAYS: usize = 8;

/// Retry budgets by service.
#[derive(Debug)]
pub(super) struct RetryBudgets {
    rule: RetryBudgetRule,
    started: Instant,
    gateways: AtomicUsize,
    services: Mutex<HashMap<ServiceName, WindowRetryBudget>>,
}

impl RetryBudgets {
    pub(super) fn new(ingress: &Ingress) -> Self {
        Self {
            rule: RetryBudgetRule {
                ratio: ingress.retry_ratio,
                slack: ingress.retry_slack,
                window: ingress.retry_window,
            },
            started: Instant::now(),
            gateways: AtomicUsize::new(MIN_SHARING_GATEWAYS),
            services: Mutex::default(),
        }
    }

    /// Sets the number of gateways that share the slack.
    pub(super) fn set_gateways(&self, count: usize) {
        self.gateways
            .store(count.max(MIN_SHARING_GATEWAYS), Ordering::Relaxed);
    }

    /// Counts a request for a service, which adds to its budget.
    pub(super) fn record_request(&self, service: &ServiceName, now: Instant) {
        self.with_budget(service, |budget| {
            budget.record_request(&self.rule, now.duration_since(self.started));
        });
    }

    /// Takes one retry from a service's budget. Returns whether the budget allowed it.
    pub(super) fn try_spend(&self, service: &ServiceName, now: Instant) -> bool {
        let gateways = self.gateways.load(Ordering::Relaxed);
        let now = now.duration_since(self.started);
        self.with_budget(service, |budget| {
            budget.try_spend(&self.rule, gateways, now)
        })
    }

    /// Returns whether a service's budget allows a retry.
    pub(super) fn has_retry_left(&self, service: &ServiceName, now: Instant) -> bool {
        let gateways = self.gateways.load(Ordering::Relaxed);
        let now = now.duration_since(self.started);
        self.with_budget(service, |budget| {
            budget.available(&self.rule, gateways, now)
        }) >= 1.0
    }

    /// Returns how many retries each service's budget still allows on this gateway.
    pub(super) fn remaining(&self, now: Instant) -> Vec<(String, f64)> {
        let gateways = self.gateways.load(Ordering::Relaxed);
        let now = now.duration_since(self.started);
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let remaining = |(service, budget): (&ServiceName, &mut WindowRetryBudget)| {
            (
                service.to_string(),
                budget.available(&self.rule, gateways, now),
            )
        };
        services.iter_mut().map(remaining).collect()
    }

    fn with_budget<R>(
        &self,
        service: &ServiceName,
        act: impl FnOnce(&mut WindowRetryBudget) -> R,
    ) -> R {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        act(services.entry(service.clone()).or_default())
    }
}
