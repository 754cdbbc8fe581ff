//! The entries of the journal, without I/O.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use tokio::{sync::mpsc, time::Instant};

use super::{
    held::{Held, append_id, request_id},
    store::{Bounds, Found, Running, Stored},
};
use crate::{
    domain::{AccountName, FinishReason, RequestId},
    gateway::generate::{Answer, Attach, attach_channel},
    policy::prefix::count_tokens,
    ports::StreamEnd,
    wire::{JournalAck, JournalAppend, JournalPut, JournalRemove},
};

/// How long an answer that was given whole can be asked for again.
const ANSWER_TTL: Duration = Duration::from_secs(60);

/// Answers kept.
const MAX_ANSWERS: usize = 1024;

/// What is known of one request.
pub(super) enum Entry {
    /// A request in progress here.
    Running(Running),
    /// An answer given a short while ago.
    Answered(Box<Answer>),
    /// A copy, and when it came.
    Held(Box<Held>, Instant),
}

/// The entries, with what bounds them.
pub(super) struct Store {
    bounds: Bounds,
    entries: HashMap<RequestId, Entry>,
    answers: VecDeque<(Instant, RequestId)>,
    copies: usize,
    copied_bytes: usize,
    newest: HashMap<String, u64>,
}

impl Store {
    /// Makes an empty store.
    pub(super) fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            entries: HashMap::new(),
            answers: VecDeque::new(),
            copies: 0,
            copied_bytes: 0,
            newest: HashMap::new(),
        }
    }

    /// Stores an entry in place of another of the same request.
    pub(super) fn insert(&mut self, id: RequestId, entry: Entry) {
        if let Entry::Held(held, _) = &entry {
            self.copies += 1;
            self.copied_bytes += held.size();
        }
        self.discard(id);
        self.entries.insert(id, entry);
    }

    /// Removes an entry.
    pub(super) fn discard(&mut self, id: RequestId) -> Option<Entry> {
        let entry = self.entries.remove(&id)?;
        if let Entry::Held(held, _) = &entry {
            self.copies -= 1;
            self.copied_bytes -= held.size();
        }
        Some(entry)
    }

    /// Ends a request in progress.
    pub(super) fn finish(&mut self, id: RequestId, answer: Option<Box<Answer>>) {
        self.discard(id);
        let Some(answer) = answer else {
            return;
        };
        self.answers.push_back((Instant::now(), id));
        self.insert(id, Entry::Answered(answer));
        self.expire();
    }

    /// Looks a request of an account up; a copy becomes a request in progress.
    pub(super) fn find(&mut self, id: RequestId, account: &AccountName) -> Option<Found> {
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

    /// Stores a copy.
    pub(super) fn put(&mut self, put: JournalPut) -> Stored {
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

    /// Adds tokens to a copy.
    pub(super) fn append(&mut self, append: JournalAppend) -> Stored {
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

    /// Drops a copy.
    pub(super) fn remove_copy(&mut self, remove: &JournalRemove) -> Stored {
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

    /// Says whether a copy fits.
    pub(super) fn has_room(&self, id: RequestId, held: &Held) -> bool {
        let replaced = match self.entries.get(&id) {
            Some(Entry::Held(old, _)) => (1, old.size()),
            _ => (0, 0),
        };
        self.copies - replaced.0 < self.bounds.entries
            && self.copied_bytes - replaced.1 + held.size() <= self.bounds.bytes
    }

    /// Drops what is too old.
    pub(super) fn expire(&mut self) {
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
