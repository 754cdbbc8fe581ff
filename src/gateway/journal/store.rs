//! One task owns the journal; the path of a request only sends to it. The task ends when the last
//! handle is dropped.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, interval},
};

use super::held::{Held, append_id, request_id};
use crate::{
    domain::{AccountName, FinishReason, ModelName, RequestId},
    gateway::generate::{Answer, Attach, attach_channel},
    policy::prefix::count_tokens,
    ports::StreamEnd,
    wire::{JournalAck, JournalAppend, JournalPut, JournalRemove},
};

/// Messages that may wait for the journal.
const PENDING_MESSAGES: usize = 1024;

/// Time between two looks for entries that are too old.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// How long an answer that was given whole can be asked for again.
const ANSWER_TTL: Duration = Duration::from_secs(60);

/// Answers kept.
const MAX_ANSWERS: usize = 1024;

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

enum Entry {
    Running(Running),
    Answered(Box<Answer>),
    Held(Box<Held>, Instant),
}

struct Store {
    bounds: Bounds,
    entries: HashMap<RequestId, Entry>,
    answers: VecDeque<(Instant, RequestId)>,
    copies: usize,
    copied_bytes: usize,
    newest: HashMap<String, u64>,
}

impl Store {
    fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            entries: HashMap::new(),
            answers: VecDeque::new(),
            copies: 0,
            copied_bytes: 0,
            newest: HashMap::new(),
        }
    }

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

    fn insert(&mut self, id: RequestId, entry: Entry) {
        if let Entry::Held(held, _) = &entry {
            self.copies += 1;
            self.copied_bytes += held.size();
        }
        self.discard(id);
        self.entries.insert(id, entry);
    }

    fn discard(&mut self, id: RequestId) -> Option<Entry> {
        let entry = self.entries.remove(&id)?;
        if let Entry::Held(held, _) = &entry {
            self.copies -= 1;
            self.copied_bytes -= held.size();
        }
        Some(entry)
    }

    fn finish(&mut self, id: RequestId, answer: Option<Box<Answer>>) {
        self.discard(id);
        let Some(answer) = answer else {
            return;
        };
        self.answers.push_back((Instant::now(), id));
        self.insert(id, Entry::Answered(answer));
        self.expire();
    }

    fn find(&mut self, id: RequestId, account: &AccountName) -> Option<Found> {
        match self.entries.get(&id)? {
            Entry::Running(running) if running.account == *account => {
                return Some(Found::Running(running.clone()));
            }
            Entry::Answered(answer) if answer.account == *account => {
                return Some(Found::Answered(answer.clone()));
            }
            Entry::Held(held, _) if held.account() == *account => {}
            _ => return None,
        }
        let (held, attach, rx) = self.start(id)?;
        match whole(&held) {
            Some(answer) => {
                self.finish(id, Some(Box::new(answer.clone())));
                Some(Found::Answered(Box::new(answer)))
            }
            None => Some(Found::Held(held, attach, rx)),
        }
    }

    /// Turns a copy into a request in progress, so that it is gone on with once.
    fn start(
        &mut self,
        id: RequestId,
    ) -> Option<(Box<Held>, mpsc::Sender<Attach>, mpsc::Receiver<Attach>)> {
        let Some(Entry::Held(held, _)) = self.discard(id) else {
            return None;
        };
        let (tx, rx) = attach_channel();
        let running = Running {
            account: held.account(),
            model: held.request.model.as_str().into(),
            chat: held.request.chat,
            attach: tx.clone(),
        };
        self.insert(id, Entry::Running(running));
        Some((held, tx, rx))
    }

    fn put(&mut self, put: JournalPut) -> Stored {
        if !self.is_current(&put.owner, put.incarnation) {
            return Stored::Dropped;
        }
        let take_over = put.take_over;
        let Some((id, held)) = Held::read(put) else {
            return Stored::Dropped;
        };
        let tokens = held.tokens.len() as u32;
        let accepted = JournalAck {
            accepted: true,
            tokens,
        };
        // A resent message, or a request that its caller has already resumed here.
        if matches!(
            self.entries.get(&id),
            Some(Entry::Running(_) | Entry::Answered(_))
        ) {
            return Stored::Ack(accepted);
        }
        if !self.has_room(id, &held) {
            return Stored::Ack(JournalAck::default());
        }
        self.insert(id, Entry::Held(Box::new(held), Instant::now()));
        if !take_over {
            return Stored::Ack(accepted);
        }
        match self.start(id) {
            Some((held, _, rx)) => Stored::TakeOver(accepted, id, held, rx),
            None => Stored::Dropped,
        }
    }

    fn append(&mut self, append: JournalAppend) -> Stored {
        if !self.is_current(&append.owner, append.incarnation) {
            return Stored::Dropped;
        }
        let Some(id) = append_id(&append) else {
            return Stored::Dropped;
        };
        let Some(Entry::Held(held, _)) = self.entries.get_mut(&id) else {
            return Stored::Dropped;
        };
        if held.owner != append.owner {
            return Stored::Dropped;
        }
        self.copied_bytes -= held.size();
        if let Some(tokens) = append.tokens {
            held.append(tokens);
        }
        self.copied_bytes += held.size();
        Stored::Ack(JournalAck {
            accepted: true,
            tokens: held.tokens.len() as u32,
        })
    }

    fn remove_copy(&mut self, remove: &JournalRemove) -> Stored {
        if !self.is_current(&remove.owner, remove.incarnation) {
            return Stored::Dropped;
        }
        let Some(id) = request_id(&remove.id) else {
            return Stored::Dropped;
        };
        match self.entries.get(&id) {
            Some(Entry::Held(held, _)) if held.owner == remove.owner => {
                self.discard(id);
                Stored::Ack(JournalAck::default())
            }
            // The request was resumed here, or its copy is too old and gone.
            _ => Stored::Ack(JournalAck::default()),
        }
    }

    fn is_current(&mut self, owner: &str, incarnation: u64) -> bool {
        let newest = self.newest.entry(owner.to_owned()).or_default();
        *newest = (*newest).max(incarnation);
        *newest == incarnation
    }

    fn has_room(&self, id: RequestId, held: &Held) -> bool {
        let replaced = match self.entries.get(&id) {
            Some(Entry::Held(old, _)) => (1, old.size()),
            _ => (0, 0),
        };
        self.copies - replaced.0 < self.bounds.entries
            && self.copied_bytes - replaced.1 + held.size() <= self.bounds.bytes
    }

    fn expire(&mut self) {
        let now = Instant::now();
        while let Some(&(at, id)) = self.answers.front() {
            if self.answers.len() <= MAX_ANSWERS && now - at < ANSWER_TTL {
                break;
            }
            self.answers.pop_front();
            if matches!(self.entries.get(&id), Some(Entry::Answered(_))) {
                self.discard(id);
            }
        }
        let age = self.bounds.age;
        let old: Vec<RequestId> = self
            .entries
            .iter()
            .filter(|(_, entry)| matches!(entry, Entry::Held(_, at) if now - *at >= age))
            .map(|(id, _)| *id)
            .collect();
        for id in old {
            self.discard(id);
        }
    }
}

/// Returns the answer of a copy that holds it whole.
fn whole(held: &Held) -> Option<Answer> {
    let reason: FinishReason = held.finish?;
    Some(Answer {
        account: held.account(),
        model: held.request.model.as_str().into(),
        chat: held.request.chat,
        tokens: held.tokens.clone(),
        end: StreamEnd {
            reason,
            prompt_tokens: count_tokens(&held.request.prompt),
            cached_tokens: 0,
        },
    })
}
