//! One task owns the journal; the path of a request only sends to it. The task ends when the last
//! handle is dropped.

use std::time::Duration;

use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, interval},
};

use super::{
    entries::{Entry, Store},
    held::Held,
};
use crate::{
    domain::{AccountName, ModelName, RequestId},
    gateway::generate::{Answer, Attach},
    wire::{JournalAck, JournalAppend, JournalPut, JournalRemove},
};

/// Messages that may wait for the journal.
const PENDING_MESSAGES: usize = 1024;

/// Time between two looks for entries that are too old.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Bounds of what is kept for other gateways.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    /// Copies.
    pub(crate) entries: usize,
    /// Bytes of all copies.
    pub(crate) bytes: usize,
    /// Age of a copy.
    pub(crate) age: Duration,
}

/// A request in progress.
#[derive(Clone, Debug)]
pub(crate) struct Running {
    /// The account that asked.
    pub(crate) account: AccountName,
    /// The model.
    pub(crate) model: ModelName,
    /// Whether the caller spoke the chat form.
    pub(crate) chat: bool,
    /// Takes more readers.
    pub(crate) attach: mpsc::Sender<Attach>,
}

/// What the journal knows of a request.
#[derive(Debug)]
pub(crate) enum Found {
    /// It is in progress here.
    Running(Running),
    /// It was answered whole.
    Answered(Box<Answer>),
    /// It is a copy, which the asker must now go on with; others attach to it by the channel.
    Held(Box<Held>, mpsc::Sender<Attach>, mpsc::Receiver<Attach>),
}

/// What became of a message from a peer.
#[derive(Debug)]
pub(crate) enum Stored {
    /// The answer for the sender.
    Ack(JournalAck),
    /// The answer, and a request that this gateway must now go on with.
    TakeOver(JournalAck, RequestId, Box<Held>, mpsc::Receiver<Attach>),
    /// The message is dropped and counted.
    Dropped,
}

#[derive(Debug)]
enum Message {
    Register(RequestId, Running),
    Finish(RequestId, Option<Box<Answer>>),
    Park(RequestId, Box<Held>),
    Find(RequestId, AccountName, oneshot::Sender<Option<Found>>),
    Put(JournalPut, oneshot::Sender<Stored>),
    Append(JournalAppend, oneshot::Sender<Stored>),
    Remove(JournalRemove, oneshot::Sender<Stored>),
}

/// A handle to the journal.
#[derive(Clone, Debug)]
pub(crate) struct Journal {
    tx: mpsc::Sender<Message>,
}

impl Journal {
    /// Starts an empty journal.
    pub(crate) fn start(bounds: Bounds) -> Self {
        let (tx, rx) = mpsc::channel(PENDING_MESSAGES);
        tokio::spawn(Store::new(bounds).run(rx));
        Self { tx }
    }

    /// Makes a request in progress findable.
    pub(crate) async fn register(&self, id: RequestId, running: Running) {
        self.send(Message::Register(id, running)).await;
    }

    /// Ends a request, with its answer if it was whole.
    pub(crate) async fn finish(&self, id: RequestId, answer: Option<Answer>) {
        self.send(Message::Finish(id, answer.map(Box::new))).await;
    }

    /// Keeps a request that nobody reads, to be gone on with when its caller asks again.
    pub(crate) async fn park(&self, id: RequestId, held: Held) {
        self.send(Message::Park(id, Box::new(held))).await;
    }

    /// Looks a request of an account up.
    pub(crate) async fn find(&self, id: RequestId, account: AccountName) -> Option<Found> {
        let (reply, rx) = oneshot::channel();
        self.send(Message::Find(id, account, reply)).await;
        rx.await.ok()?
    }

    /// Stores a copy for a peer.
    pub(crate) async fn put(&self, put: JournalPut) -> Stored {
        let (reply, rx) = oneshot::channel();
        self.send(Message::Put(put, reply)).await;
        rx.await.unwrap_or(Stored::Dropped)
    }

    /// Stores more tokens of a copy.
    pub(crate) async fn append(&self, append: JournalAppend) -> Stored {
        let (reply, rx) = oneshot::channel();
        self.send(Message::Append(append, reply)).await;
        rx.await.unwrap_or(Stored::Dropped)
    }

    /// Drops a copy.
    pub(crate) async fn remove(&self, remove: JournalRemove) -> Stored {
        let (reply, rx) = oneshot::channel();
        self.send(Message::Remove(remove, reply)).await;
        rx.await.unwrap_or(Stored::Dropped)
    }

    async fn send(&self, message: Message) {
        // The journal lives as long as a handle does.
        let _ = self.tx.send(message).await;
    }
}

impl Store {
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
            Message::Park(id, held) => {
                self.discard(id);
                if self.has_room(id, &held) {
                    self.insert(id, Entry::Held(held, Instant::now()));
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
