//! The retry budget of a service. One task owns it and ends when the last handle is dropped. Only
//! failed attempts send messages to it; successful requests just increment an atomic counter.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use tokio::sync::{mpsc, oneshot};

use crate::policy::retry::{Failure, Retry, RetryBudget};

/// Limit on the failures that wait for a decision; further ones are not retried.
const MAX_PENDING_FAILURES: usize = 256;

/// Limit on the requests credited at once; the budget is full long before.
const MAX_EARNING_REQUESTS: u64 = 1000;

/// A handle to the budget.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudgetHandle {
    requests: Arc<AtomicU64>,
    tx: mpsc::Sender<RetryQuery>,
}

#[derive(Debug)]
struct RetryQuery {
    failure: Failure,
    reply: oneshot::Sender<Retry>,
}

impl RetryBudgetHandle {
    /// Starts the budget of a service.
    pub(crate) fn start() -> Self {
        let (tx, rx) = mpsc::channel(MAX_PENDING_FAILURES);
        let requests = Arc::new(AtomicU64::new(0));
        tokio::spawn(run(Arc::clone(&requests), rx));
        Self { requests, tx }
    }

    /// Counts a request, which earns a fraction of a retry.
    pub(crate) fn record_request(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
    }

    /// Decides whether a failed attempt is retried, and after which delay.
    pub(crate) async fn decide(&self, failure: Failure) -> Retry {
        let (reply, rx) = oneshot::channel();
        if self.tx.try_send(RetryQuery { failure, reply }).is_err() {
            return Retry::GiveUp;
        }
        rx.await.unwrap_or(Retry::GiveUp)
    }
}

async fn run(requests: Arc<AtomicU64>, mut rx: mpsc::Receiver<RetryQuery>) {
    let mut budget = RetryBudget::default();
    while let Some(query) = rx.recv().await {
        let requests = requests
            .swap(0, Ordering::Relaxed)
            .min(MAX_EARNING_REQUESTS);
        (0..requests).for_each(|_| budget.record_request());
        let _ = query.reply.send(budget.decide(&query.failure));
    }
}
