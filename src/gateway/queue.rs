//! The queue of a service: requests that wait for a slot, paying ones before free ones, each until
//! its deadline. One task owns the queue and ends when the last handle is dropped.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, interval},
};

use super::admission::{AdmissionOutcome, AdmissionRequest, Permit, QueuePosition, ServiceUsage};
use crate::domain::{Priority, Refusal, RefusalKind};

/// Limit on the requests that wait for one service at one gateway.
const MAX_QUEUE_LENGTH: usize = 512;

/// Interval at which the waiting requests are reviewed even if no slot is freed, so that a request
/// that can no longer meet its deadline is refused soon.
const REVIEW_INTERVAL: Duration = Duration::from_millis(10);

/// Retry delay for callers when the queue is full.
const QUEUE_FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A handle to the queue of one service.
#[derive(Clone, Debug)]
pub(crate) struct Queue {
    tx: mpsc::Sender<Waiter>,
}

#[derive(Debug)]
struct Waiter {
    request: AdmissionRequest,
    reply: oneshot::Sender<Result<Permit, Refusal>>,
}

impl Queue {
    /// Starts the queue of a service.
    pub(crate) fn start(usage: &Arc<ServiceUsage>) -> Self {
        let (tx, rx) = mpsc::channel(MAX_QUEUE_LENGTH);
        let task = QueueTask {
            usage: Arc::clone(usage),
            paying: VecDeque::new(),
            free: VecDeque::new(),
        };
        tokio::spawn(task.run(rx));
        Self { tx }
    }

    /// Admits a request, immediately if none waits ahead of it; otherwise it waits in the queue.
    /// Returns the refusal if it is not admitted.
    pub(crate) async fn admit(&self, request: AdmissionRequest) -> Result<Permit, Refusal> {
        if request.service.waiting() == 0 {
            match request.decide(QueuePosition::default()) {
                AdmissionOutcome::Accepted(permit) => return Ok(permit),
                AdmissionOutcome::Refused(kind, after) => return Err(refusal(kind, after)),
                AdmissionOutcome::Wait => {}
            }
        }
        self.wait(request).await
    }

    async fn wait(&self, request: AdmissionRequest) -> Result<Permit, Refusal> {
        let (reply, rx) = oneshot::channel();
        let full = || refusal(RefusalKind::Overloaded, QUEUE_FULL_RETRY_AFTER);
        self.tx
            .try_send(Waiter { request, reply })
            .map_err(|_| full())?;
        rx.await.map_err(|_| full())?
    }
}

struct QueueTask {
    usage: Arc<ServiceUsage>,
    paying: VecDeque<Waiter>,
    free: VecDeque<Waiter>,
}

impl QueueTask {
    async fn run(mut self, mut rx: mpsc::Receiver<Waiter>) {
        let usage = Arc::clone(&self.usage);
        let mut review = interval(REVIEW_INTERVAL);
        loop {
            let empty = self.paying.is_empty() && self.free.is_empty();
            tokio::select! {
                waiter = rx.recv() => match waiter {
                    Some(waiter) => self.push(waiter),
                    None => return,
                },
                () = usage.capacity_changed.notified(), if !empty => {}
                _ = review.tick(), if !empty => {}
            }
            self.review();
        }
    }

    fn push(&mut self, waiter: Waiter) {
        if self.paying.len() + self.free.len() >= MAX_QUEUE_LENGTH {
            let full = refusal(RefusalKind::Overloaded, QUEUE_FULL_RETRY_AFTER);
            let _ = waiter.reply.send(Err(full));
            return;
        }
        waiter.request.begin_waiting();
        match waiter.request.priority {
            Priority::Paying => self.paying.push_back(waiter),
            Priority::Free => self.free.push_back(waiter),
        }
    }

    fn review(&mut self) {
        let mut ahead = 0;
        review_priority(&mut self.paying, &mut ahead);
        review_priority(&mut self.free, &mut ahead);
    }
}

fn review_priority(waiters: &mut VecDeque<Waiter>, ahead: &mut u32) {
    let under_share = waiters.iter().filter(|w| w.request.is_below_share());
    let mut under_share = under_share.count() as u32;
    for waiter in std::mem::take(waiters) {
        let below = u32::from(waiter.request.is_below_share());
        under_share = under_share.saturating_sub(below);
        let position = QueuePosition {
            ahead: *ahead,
            under_share,
        };
        if let Some(waiter) = review_waiter(waiter, position) {
            *ahead += 1;
            under_share += below;
            waiters.push_back(waiter);
        }
    }
}

/// Returns the waiter if it keeps waiting.
fn review_waiter(waiter: Waiter, position: QueuePosition) -> Option<Waiter> {
    // The decision must not count the request itself among those that wait.
    waiter.request.end_waiting();
    if waiter.reply.is_closed() {
        return None;
    }
    let decision = match waiter.request.due <= Instant::now() {
        true => AdmissionOutcome::Refused(RefusalKind::Overloaded, QUEUE_FULL_RETRY_AFTER),
        false => waiter.request.decide(position),
    };
    let answer = match decision {
        AdmissionOutcome::Wait => {
            waiter.request.begin_waiting();
            waiter.request.request_preemption(position);
            return Some(waiter);
        }
        AdmissionOutcome::Accepted(permit) => Ok(permit),
        AdmissionOutcome::Refused(kind, after) => Err(refusal(kind, after)),
    };
    // If the caller has disconnected, dropping the permit releases the slot.
    let _ = waiter.reply.send(answer);
    None
}

fn refusal(kind: RefusalKind, after: Duration) -> Refusal {
    let message = match kind {
        RefusalKind::OverShare => "the account's share of this service is in use; retry later",
        _ => "the service has no room within the latency target; retry later",
    };
    Refusal::not_run(kind, message).retry_after(after)
}
