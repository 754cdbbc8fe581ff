//! The task that owns the journal. Requests only send messages to it; it ends when the last handle
//! is dropped.

use std::time::Duration;

use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, interval},
};

use super::{
    entries::{Entry, JournalStore},
    request_copy::RequestCopy,
};
use crate::{
    domain::{AccountName, ModelName, RequestId},
    gateway::generate::{CompletedAnswer, Subscription},
    wire::{JournalAck, JournalAppend, JournalPut, JournalRemove},
};

/// Capacity of the channel to the journal's task.
const MAX_PENDING_MESSAGES: usize = 1024;

/// Interval between two removals of expired entries.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Limits on the copies that are kept for other gateways.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CopyLimits {
    /// Number of copies.
    pub(crate) copies: usize,
    /// Memory for all copies, in bytes.
    pub(crate) bytes: usize,
    /// Age at which a copy expires.
    pub(crate) max_age: Duration,
}

/// A request in progress.
#[derive(Clone, Debug)]
pub(crate) struct RunningRequest {
    /// The account that sent the request.
    pub(crate) account: AccountName,
    /// The model.
    pub(crate) model: ModelName,
    /// Whether the request came through the chat API.
    pub(crate) chat: bool,
    /// Attaches further readers.
    pub(crate) attach: mpsc::Sender<Subscription>,
}

/// The result of looking up a request.
#[derive(Debug)]
pub(crate) enum FoundRequest {
    /// The request is in progress here.
    Running(RunningRequest),
    /// The complete answer is kept here.
    Answered(Box<CompletedAnswer>),
    /// The request was a copy, which the task that looked it up must now continue; further readers
    /// attach through the channel.
    Copy(
        Box<RequestCopy>,
        mpsc::Sender<Subscription>,
        mpsc::Receiver<Subscription>,
    ),
}

/// The result of handling a message from a peer.
#[derive(Debug)]
pub(crate) enum PeerMessageResult {
    /// The acknowledgement for the sender.
    Ack(JournalAck),
    /// The acknowledgement, and a request that this gateway must now continue.
    TakeOver(
        JournalAck,
        RequestId,
        Box<RequestCopy>,
        mpsc::Receiver<Subscription>,
    ),
    /// The message is dropped and counted.
    Dropped,
}

#[derive(Debug)]
enum Message {
    Register(RequestId, RunningRequest),
    Finish(RequestId, Option<Box<CompletedAnswer>>),
    RetainAbandoned(RequestId, Box<RequestCopy>),
    Find(
        RequestId,
        AccountName,
        oneshot::Sender<Option<FoundRequest>>,
    ),
    Put(JournalPut, oneshot::Sender<PeerMessageResult>),
    Append(JournalAppend, oneshot::Sender<PeerMessageResult>),
    Remove(JournalRemove, oneshot::Sender<PeerMessageResult>),
}

/// A handle to the journal.
#[derive(Clone, Debug)]
pub(crate) struct Journal {
    tx: mpsc::Sender<Message>,
}

impl Journal {
    /// Starts an empty journal.
    pub(crate) fn start(limits: CopyLimits) -> Self {
        let (tx, rx) = mpsc::channel(MAX_PENDING_MESSAGES);
        tokio::spawn(JournalStore::new(limits).run(rx));
        Self { tx }
    }

    /// Registers a request in progress.
    pub(crate) async fn register(&self, id: RequestId, running: RunningRequest) {
        self.send(Message::Register(id, running)).await;
    }

    /// Ends a request, with its answer if it is complete.
    pub(crate) async fn finish(&self, id: RequestId, answer: Option<CompletedAnswer>) {
        self.send(Message::Finish(id, answer.map(Box::new))).await;
    }

    /// Keeps a request without readers as a copy, to be continued when its caller asks for it
    /// again.
    pub(crate) async fn retain_abandoned(&self, id: RequestId, copy: RequestCopy) {
        self.send(Message::RetainAbandoned(id, Box::new(copy)))
            .await;
    }

    /// Looks up a request of an account. A copy that is found must be continued by the caller.
    pub(crate) async fn find(&self, id: RequestId, account: AccountName) -> Option<FoundRequest> {
        let (reply, rx) = oneshot::channel();
        self.send(Message::Find(id, account, reply)).await;
        rx.await.ok()?
    }

    /// Stores a copy for a peer.
    pub(crate) async fn put(&self, put: JournalPut) -> PeerMessageResult {
        let (reply, rx) = oneshot::channel();
        self.send(Message::Put(put, reply)).await;
        rx.await.unwrap_or(PeerMessageResult::Dropped)
    }

    /// Appends tokens to a copy.
    pub(crate) async fn append(&self, append: JournalAppend) -> PeerMessageResult {
        let (reply, rx) = oneshot::channel();
        self.send(Message::Append(append, reply)).await;
        rx.await.unwrap_or(PeerMessageResult::Dropped)
    }

    /// Removes a copy.
    pub(crate) async fn remove(&self, remove: JournalRemove) -> PeerMessageResult {
        let (reply, rx) = oneshot::channel();
        self.send(Message::Remove(remove, reply)).await;
        rx.await.unwrap_or(PeerMessageResult::Dropped)
    }

    async fn send(&self, message: Message) {
        // The task runs as long as a handle exists, so that sending does not fail.
        let _ = self.tx.send(message).await;
    }
}

impl JournalStore {
    async fn run(mut self, mut rx: mpsc::Receiver<Message>) {
        let mut expiry = interval(EXPIRY_INTERVAL);
        loop {
            tokio::select! {
                message = rx.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                _ = expiry.tick() => self.expire(),
            }
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Register(id, running) => self.insert(id, Entry::Running(running)),
            Message::Finish(id, answer) => self.finish(id, answer),
            Message::RetainAbandoned(id, copy) => {
                self.discard(id);
                if self.has_room(id, &copy) {
                    self.insert(id, Entry::Copy(copy, Instant::now()));
                }
            }
            Message::Find(id, account, reply) => {
                let _ = reply.send(self.find(id, &account));
            }
            Message::Put(put, reply) => {
                let _ = reply.send(self.put(put));
            }
            Message::Append(append, reply) => {
                let _ = reply.send(self.append(append));
            }
            Message::Remove(remove, reply) => {
                let _ = reply.send(self.remove_copy(&remove));
            }
        }
    }
}
