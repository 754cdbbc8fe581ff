//! The state of the journal, without I/O.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use tokio::{sync::mpsc, time::Instant};

use super::{
    request_copy::{RequestCopy, append_id, request_id},
    store::{CopyLimits, FoundRequest, PeerMessageResult, RunningRequest},
};
use crate::{
    domain::{AccountName, FinishReason, RequestId},
    gateway::generate::{CompletedAnswer, Subscription, subscription_channel},
    policy::prefix::count_tokens,
    ports::StreamEnd,
    wire::{JournalAck, JournalAppend, JournalPut, JournalRemove},
};

/// How long callers can request a complete answer again.
const ANSWER_TTL: Duration = Duration::from_secs(60);

/// Limit on the answers kept.
const MAX_ANSWERS: usize = 1024;

/// The journal's entry for one request.
pub(super) enum Entry {
    /// A request in progress here.
    Running(RunningRequest),
    /// A complete answer, kept for a while.
    Answered(Box<CompletedAnswer>),
    /// A copy for another gateway, and when it was stored.
    Copy(Box<RequestCopy>, Instant),
}

/// The entries and their limits.
pub(super) struct JournalStore {
    limits: CopyLimits,
    entries: HashMap<RequestId, Entry>,
    answers: VecDeque<(Instant, RequestId)>,
    copy_count: usize,
    copy_bytes: usize,
    newest_incarnations: HashMap<String, u64>,
}

impl JournalStore {
    /// Creates an empty store.
    pub(super) fn new(limits: CopyLimits) -> Self {
        Self {
            limits,
            entries: HashMap::new(),
            answers: VecDeque::new(),
            copy_count: 0,
            copy_bytes: 0,
            newest_incarnations: HashMap::new(),
        }
    }

    /// Stores an entry and replaces an earlier one of the same request.
    pub(super) fn insert(&mut self, id: RequestId, entry: Entry) {
        if let Entry::Copy(copy, _) = &entry {
            self.copy_count += 1;
            self.copy_bytes += copy.size_bytes();
        }
        self.discard(id);
        self.entries.insert(id, entry);
    }

    /// Removes an entry.
    pub(super) fn discard(&mut self, id: RequestId) -> Option<Entry> {
        let entry = self.entries.remove(&id)?;
        if let Entry::Copy(copy, _) = &entry {
            self.copy_count -= 1;
            self.copy_bytes -= copy.size_bytes();
        }
        Some(entry)
    }

    /// Ends a request in progress, and keeps its answer if it is complete.
    pub(super) fn finish(&mut self, id: RequestId, answer: Option<Box<CompletedAnswer>>) {
        self.discard(id);
        let Some(answer) = answer else {
            return;
        };
        self.answers.push_back((Instant::now(), id));
        self.insert(id, Entry::Answered(answer));
        self.expire();
    }

    /// Looks up a request of an account. A copy becomes a request in progress, which the caller of
    /// this method must continue; a copy that holds the complete answer becomes an answer.
    pub(super) fn find(&mut self, id: RequestId, account: &AccountName) -> Option<FoundRequest> {
        match self.entries.get(&id)? {
            Entry::Running(running) if running.account == *account => {
                return Some(FoundRequest::Running(running.clone()));
            }
            Entry::Answered(answer) if answer.account == *account => {
                return Some(FoundRequest::Answered(answer.clone()));
            }
            Entry::Copy(copy, _) if copy.account() == *account => {}
            _ => return None,
        }
        let (copy, attach, rx) = self.start_copy(id)?;
        match complete_answer(&copy) {
            Some(answer) => {
                self.finish(id, Some(Box::new(answer.clone())));
                Some(FoundRequest::Answered(Box::new(answer)))
            }
            None => Some(FoundRequest::Copy(copy, attach, rx)),
        }
    }

    /// Turns a copy into a request in progress, so that only one task continues it.
    fn start_copy(
        &mut self,
        id: RequestId,
    ) -> Option<(
        Box<RequestCopy>,
        mpsc::Sender<Subscription>,
        mpsc::Receiver<Subscription>,
    )> {
        let Some(Entry::Copy(copy, _)) = self.discard(id) else {
            return None;
        };
        let (tx, rx) = subscription_channel();
        let running = RunningRequest {
            account: copy.account(),
            model: copy.request.model.as_str().into(),
            chat: copy.request.chat,
            attach: tx.clone(),
        };
        self.insert(id, Entry::Running(running));
        Some((copy, tx, rx))
    }

    /// Stores a copy, and starts it if the sender hands the request over.
    pub(super) fn put(&mut self, put: JournalPut) -> PeerMessageResult {
        if !self.is_current(&put.owner, put.incarnation) {
            return PeerMessageResult::Dropped;
        }
        let take_over = put.take_over;
        let Some((id, copy)) = RequestCopy::from_message(put) else {
            return PeerMessageResult::Dropped;
        };
        let tokens = copy.tokens.len() as u32;
        let accepted = JournalAck {
            accepted: true,
            tokens,
        };
        // Either the message was resent, or the caller has already resumed the request here.
        if matches!(
            self.entries.get(&id),
            Some(Entry::Running(_) | Entry::Answered(_))
        ) {
            return PeerMessageResult::Ack(accepted);
        }
        if !self.has_room(id, &copy) {
            return PeerMessageResult::Ack(JournalAck::default());
        }
        self.insert(id, Entry::Copy(Box::new(copy), Instant::now()));
        if !take_over {
            return PeerMessageResult::Ack(accepted);
        }
        match self.start_copy(id) {
            Some((copy, _, rx)) => PeerMessageResult::TakeOver(accepted, id, copy, rx),
            None => PeerMessageResult::Dropped,
        }
    }

    /// Appends tokens to a copy.
    pub(super) fn append(&mut self, append: JournalAppend) -> PeerMessageResult {
        if !self.is_current(&append.owner, append.incarnation) {
            return PeerMessageResult::Dropped;
        }
        let Some(id) = append_id(&append) else {
            return PeerMessageResult::Dropped;
        };
        let Some(Entry::Copy(copy, _)) = self.entries.get_mut(&id) else {
            return PeerMessageResult::Dropped;
        };
        if copy.owner != append.owner {
            return PeerMessageResult::Dropped;
        }
        self.copy_bytes -= copy.size_bytes();
        if let Some(tokens) = append.tokens {
            copy.append(tokens);
        }
        self.copy_bytes += copy.size_bytes();
        PeerMessageResult::Ack(JournalAck {
            accepted: true,
            tokens: copy.tokens.len() as u32,
        })
    }

    /// Removes a copy.
    pub(super) fn remove_copy(&mut self, remove: &JournalRemove) -> PeerMessageResult {
        if !self.is_current(&remove.owner, remove.incarnation) {
            return PeerMessageResult::Dropped;
        }
        let Some(id) = request_id(&remove.id) else {
            return PeerMessageResult::Dropped;
        };
        match self.entries.get(&id) {
            Some(Entry::Copy(copy, _)) if copy.owner == remove.owner => {
                self.discard(id);
                PeerMessageResult::Ack(JournalAck::default())
            }
            // The request was resumed here, or its copy has expired.
            _ => PeerMessageResult::Ack(JournalAck::default()),
        }
    }

    fn is_current(&mut self, owner: &str, incarnation: u64) -> bool {
        let newest = self
            .newest_incarnations
            .entry(owner.to_owned())
            .or_default();
        *newest = (*newest).max(incarnation);
        *newest == incarnation
    }

    /// Returns whether a copy fits within the limits.
    pub(super) fn has_room(&self, id: RequestId, copy: &RequestCopy) -> bool {
        let replaced = match self.entries.get(&id) {
            Some(Entry::Copy(old, _)) => (1, old.size_bytes()),
            _ => (0, 0),
        };
        self.copy_count - replaced.0 < self.limits.copies
            && self.copy_bytes - replaced.1 + copy.size_bytes() <= self.limits.bytes
    }

    /// Removes expired answers and copies, and the oldest answers beyond the limit.
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
        let age = self.limits.max_age;
        let old: Vec<RequestId> = self
            .entries
            .iter()
            .filter(|(_, entry)| matches!(entry, Entry::Copy(_, at) if now - *at >= age))
            .map(|(id, _)| *id)
            .collect();
        for id in old {
            self.discard(id);
        }
    }
}

/// Returns the answer of a copy that holds all tokens and the finish reason.
fn complete_answer(copy: &RequestCopy) -> Option<CompletedAnswer> {
    let reason: FinishReason = copy.finish?;
    Some(CompletedAnswer {
        account: copy.account(),
        model: copy.request.model.as_str().into(),
        chat: copy.request.chat,
        tokens: copy.tokens.clone(),
        end: StreamEnd {
            reason,
            prompt_tokens: count_tokens(&copy.request.prompt),
            cached_tokens: 0,
        },
    })
}
