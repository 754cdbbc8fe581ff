//! The queue of a service: requests that wait for a place, paying ones before free ones, each until
//! its deadline. One task owns the queue and ends when the last handle is dropped.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, interval},
};

use super::admission::{Applicant, Decision, Line, Permit, ServiceUsage};
use crate::domain::{Priority, Refusal, RefusalKind};

/// Requests that may wait for one service at one gateway.
const QUEUE_LENGTH: usize = 512;

/// Longest time after which the waiting requests are looked at again, so that one whose deadline
/// cannot be met any more is refused soon.
const REVIEW_INTERVAL: Duration = Duration::from_millis(10);

/// Time to come back when the queue itself is full.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A handle to the queue of one service.
#[derive(Clone, Debug)]
pub(crate) struct Queue {
    tx: mpsc::Sender<Waiter>,
}

#[derive(Debug)]
struct Waiter {
    applicant: Applicant,
    reply: oneshot::Sender<Result<Permit, Refusal>>,
}

impl Queue {
    /// Starts the queue of a service.
    pub(crate) fn start(usage: &Arc<ServiceUsage>) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_LENGTH);
        let task = Task {
            usage: Arc::clone(usage),
            paying: VecDeque::new(),
            free: VecDeque::new(),
        };
        tokio::spawn(task.run(rx));
        Self { tx }
    }

    /// Takes a request in, at once if nothing waits before it.
    pub(crate) async fn admit(&self, applicant: Applicant) -> Result<Permit, Refusal> {
        if applicant.service.waiting() == 0 {
            match applicant.decide(Line::default()) {
                Decision::Accepted(permit) => return Ok(permit),
                Decision::Refused(kind, after) => return Err(refusal(kind, after)),
                Decision::Wait => {}
            }
        }
        self.wait(applicant).await
    }

    async fn wait(&self, applicant: Applicant) -> Result<Permit, Refusal> {
        let (reply, rx) = oneshot::channel();
        let full = || refusal(RefusalKind::Overloaded, FULL_RETRY_AFTER);
        self.tx
            .try_send(Waiter { applicant, reply })
            .map_err(|_| full())?;
        rx.await.map_err(|_| full())?
    }
}

struct Task {
    usage: Arc<ServiceUsage>,
    paying: VecDeque<Waiter>,
    free: VecDeque<Waiter>,
}

impl Task {
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
                () = usage.freed.notified(), if !empty => {}
                _ = review.tick(), if !empty => {}
            }
            self.review();
        }
    }

    fn push(&mut self, waiter: Waiter) {
        if self.paying.len() + self.free.len() >= QUEUE_LENGTH {
            let full = refusal(RefusalKind::Overloaded, FULL_RETRY_AFTER);
            let _ = waiter.reply.send(Err(full));
            return;
        }
        waiter.applicant.begin_waiting();
        match waiter.applicant.priority {
            Priority::Paying => self.paying.push_back(waiter),
            Priority::Free => self.free.push_back(waiter),
        }
    }

    fn review(&mut self) {
        let mut ahead = 0;
        review_part(&mut self.paying, &mut ahead);
        review_part(&mut self.free, &mut ahead);
    }
}

fn review_part(waiters: &mut VecDeque<Waiter>, ahead: &mut u32) {
    let under_share = waiters.iter().filter(|w| w.applicant.is_below_share());
    let mut under_share = under_share.count() as u32;
    for waiter in std::mem::take(waiters) {
        let below = u32::from(waiter.applicant.is_below_share());
        under_share = under_share.saturating_sub(below);
        let line = Line {
            ahead: *ahead,
            under_share,
        };
        if let Some(waiter) = review_one(waiter, line) {
            *ahead += 1;
            under_share += below;
            waiters.push_back(waiter);
        }
    }
}

/// Returns the waiter if it goes on waiting.
fn review_one(waiter: Waiter, line: Line) -> Option<Waiter> {
    // The decision counts the others that wait, not the request itself.
    waiter.applicant.end_waiting();
    if waiter.reply.is_closed() {
        return None;
    }
    let decision = match waiter.applicant.due <= Instant::now() {
        true => Decision::Refused(RefusalKind::Overloaded, FULL_RETRY_AFTER),
        false => waiter.applicant.decide(line),
    };
    let answer = match decision {
        Decision::Wait => {
            waiter.applicant.begin_waiting();
            waiter.applicant.preempt_free(line);
            return Some(waiter);
        }
        Decision::Accepted(permit) => Ok(permit),
        Decision::Refused(kind, after) => Err(refusal(kind, after)),
    };
    // A caller that went away gives its place back by the dropped permit.
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
