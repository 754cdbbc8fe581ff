//! Log of the recent decisions about each request, for operators. One task owns a bounded ring of
//! them; recording never blocks a request.

use std::{
    collections::{HashMap, VecDeque},
    fmt,
};

use tokio::sync::{mpsc, oneshot};

use crate::{
    domain::{AccountName, InstanceName, Ran, RefusalKind, RequestId},
    operator::{ExplainedEvent, Explanation},
    ports::UpstreamErrorKind,
};

/// Limit on the requests whose decisions are kept.
const MAX_REQUESTS: usize = 4096;

/// Limit on the decisions kept of one request; later ones are dropped.
const MAX_DECISIONS_PER_REQUEST: usize = 64;

/// Capacity of the channel to the task; decisions beyond it are dropped.
const MAX_PENDING_DECISIONS: usize = 4096;

/// One decision about a request.
#[derive(Clone, Debug)]
pub(crate) enum DecisionKind {
    /// Admitted for an account.
    Admitted(AccountName),
    /// Sent to an instance.
    Routed(InstanceName),
    /// An attempt failed.
    Failed(InstanceName, UpstreamErrorKind),
    /// An instance is silent, and keeps the request until another one has answered.
    Silent(InstanceName),
    /// Moved away from an instance that is leaving.
    Moved(InstanceName),
    /// Preempted by a paying request and queued again.
    Preempted,
    /// Handed to another gateway.
    HandedOver(String),
    /// Taken over from another gateway.
    TakenOver(String),
    /// Answered completely, with this number of tokens.
    Finished(u32),
    /// Refused.
    Refused(RefusalKind, Ran),
}

impl fmt::Display for DecisionKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Admitted(account) => write!(f, "admitted for account {account}"),
            Self::Routed(instance) => write!(f, "sent to {instance}, the lowest routing cost"),
            Self::Failed(instance, kind) => write!(f, "the attempt at {instance} failed: {kind:?}"),
            Self::Silent(instance) => write!(f, "{instance} is silent, and another one is tried"),
            Self::Moved(instance) => write!(f, "moved away from {instance}, which is leaving"),
            Self::Preempted => f.write_str("put back into the queue in favour of paying work"),
            Self::HandedOver(gateway) => write!(f, "handed over to gateway {gateway}"),
            Self::TakenOver(gateway) => write!(f, "taken over from gateway {gateway}"),
            Self::Finished(tokens) => write!(f, "answered whole with {tokens} tokens"),
            Self::Refused(kind, ran) => write!(f, "refused as {kind:?}, ran: {ran:?}"),
        }
    }
}

#[derive(Debug)]
enum Message {
    Record(RequestId, u64, DecisionKind),
    Explain(RequestId, oneshot::Sender<Option<Explanation>>),
}

/// A handle to the log; its task ends when the last handle is dropped.
#[derive(Clone, Debug)]
pub(crate) struct DecisionLog {
    tx: mpsc::Sender<Message>,
}

impl DecisionLog {
    /// Starts the task with an empty ring.
    pub(crate) fn start() -> Self {
        let (tx, rx) = mpsc::channel(MAX_PENDING_DECISIONS);
        tokio::spawn(DecisionRing::default().run(rx));
        Self { tx }
    }

    /// Records a decision; it is dropped if the task is behind.
    pub(crate) fn record(&self, id: RequestId, at_unix_ms: u64, decision: DecisionKind) {
        let _ = self.tx.try_send(Message::Record(id, at_unix_ms, decision));
    }

    /// Returns the decisions about a request, or `None` if none are kept.
    pub(crate) async fn explain(&self, id: RequestId) -> Option<Explanation> {
        let (reply, rx) = oneshot::channel();
        self.tx.send(Message::Explain(id, reply)).await.ok()?;
        rx.await.ok()?
    }
}

#[derive(Default)]
struct DecisionRing {
    order: VecDeque<RequestId>,
    decisions: HashMap<RequestId, Vec<(u64, DecisionKind)>>,
}

impl DecisionRing {
    async fn run(mut self, mut rx: mpsc::Receiver<Message>) {
        while let Some(message) = rx.recv().await {
            match message {
                Message::Record(id, at, decision) => self.record(id, at, decision),
                Message::Explain(id, reply) => {
                    let _ = reply.send(self.explain(id));
                }
            }
        }
    }

    fn record(&mut self, id: RequestId, at: u64, decision: DecisionKind) {
        let decisions = self.decisions.entry(id).or_insert_with(|| {
            self.order.push_back(id);
            Vec::new()
        });
        if decisions.len() < MAX_DECISIONS_PER_REQUEST {
            decisions.push((at, decision));
        }
        while self.order.len() > MAX_REQUESTS {
            if let Some(oldest) = self.order.pop_front() {
                self.decisions.remove(&oldest);
            }
        }
    }

    fn explain(&self, id: RequestId) -> Option<Explanation> {
        let events = self.decisions.get(&id)?;
        Some(Explanation {
            subject: format!("request {id}"),
            events: events
                .iter()
                .map(|(at, decision)| ExplainedEvent {
                    at_unix_ms: *at,
                    what: decision.to_string(),
                })
                .collect(),
        })
    }
}
