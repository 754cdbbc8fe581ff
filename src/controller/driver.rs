//! Drives the replica: gathers what happened, steps it, syncs once, and only then lets out what
//! depends on the disk. Whatever arrives during a sync shares the next one.

use std::{
    collections::HashMap,
    mem,
    sync::{Arc, PoisonError, RwLockReadGuard, RwLockWriteGuard},
    time::{Duration, Instant},
};

use anyhow::Context;
use prost::Message;
use tokio::{
    sync::oneshot,
    time::{MissedTickBehavior, interval},
};
use tokio_util::sync::CancellationToken;

use super::{
    form::Card,
    log::{Applied, Inbox, Request, Standing},
    peers::Peers,
};
use crate::{
    adapters::disk::{LogStore, StoreError},
    domain::MemberId,
    ports::Clock,
    replication::{Batch, Effect, Input, Rejection, Replica, Role, Snapshot, Ticket, Write},
    state::{Command, Reply, State},
    telemetry::Metrics,
    wire::{Entry, EntryKind},
};

/// Most inputs that share one sync.
const BATCH: usize = 1024;
/// Fewest entries applied between two snapshots.
const SNAPSHOT_ENTRIES: u64 = 16 * 1024;

type Answer<R> = oneshot::Sender<Result<R, Rejection>>;

enum Pending {
    Entry {
        reply: Answer<Applied>,
        since: Instant,
    },
    Read(Answer<()>),
}

/// What a driver is made of.
pub(super) struct Parts<T> {
    pub replica: Replica,
    /// Absent only while it is being written.
    pub store: Option<LogStore>,
    pub clock: Arc<T>,
    pub metrics: Metrics,
    pub peers: Arc<Peers>,
    pub card: Arc<Card>,
    pub inbox: Inbox,
    pub tick: Duration,
}

/// The owner of the replica and its disk.
pub(super) struct Driver<T> {
    parts: Parts<T>,
    pending: HashMap<Ticket, Pending>,
    next_ticket: u64,
    snapshot_index: u64,
}

impl<T: Clock> Driver<T> {
    /// Makes a driver.
    pub fn new(parts: Parts<T>) -> Self {
        Self {
            snapshot_index: parts.replica.applied(),
            parts,
            pending: HashMap::new(),
            next_ticket: 1,
        }
    }

    /// Runs until the token is cancelled or the disk fails.
    pub async fn run(mut self, stop: CancellationToken) -> anyhow::Result<()> {
        let mut tick = interval(self.parts.tick);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let mut inputs = Vec::new();
            tokio::select! {
                request = self.parts.inbox.rx.recv() => match request {
                    Some(request) => inputs.push(self.input(request)),
                    None => return Ok(()),
                },
                _ = tick.tick() => {}
                () = stop.cancelled() => return Ok(()),
            }
            while inputs.len() < BATCH
                && let Ok(request) = self.parts.inbox.rx.try_recv()
            {
                inputs.push(self.input(request));
            }
            // The tick sends new entries of all proposals in one message.
            inputs.push(Input::Tick);
            self.step(inputs).await?;
            self.compact().await?;
            self.publish();
        }
    }

    fn input(&mut self, request: Request) -> Input {
        match request {
            Request::Receive(message) => Input::Receive(message),
            Request::Propose { command, reply } => {
                let since = Instant::now();
                let ticket = self.ticket(Pending::Entry { reply, since });
                Input::Propose { ticket, command }
            }
            Request::Read { reply } => {
                let ticket = self.ticket(Pending::Read(reply));
                Input::Read { ticket }
            }
            Request::ChangeMembers { change, reply } => {
                let since = Instant::now();
                let ticket = self.ticket(Pending::Entry { reply, since });
                Input::ChangeMembers { ticket, change }
            }
        }
    }

    fn ticket(&mut self, pending: Pending) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.pending.insert(ticket, pending);
        ticket
    }

    async fn step(&mut self, inputs: Vec<Input>) -> anyhow::Result<()> {
        // The time is read after the inputs were gathered: what is heard must not be dated earlier.
        let now = self.parts.clock.monotonic();
        let mut batch = Batch::default();
        for input in inputs {
            batch.add(self.parts.replica.step(now, input));
        }
        loop {
            // Before a vote leaves, so that a folder never reports itself blank after one.
            self.parts.card.set_blank(self.parts.replica.is_blank());
            let peers = &self.parts.peers;
            batch.take_ready().into_iter().for_each(|m| peers.send(m));
            self.write(batch.take_writes()).await?;
            let peers = &self.parts.peers;
            batch.take_held().into_iter().for_each(|m| peers.send(m));
            for effect in batch.take_rest() {
                self.perform(effect)?;
            }
            let persisted = batch.take_persisted();
            if persisted.is_empty() {
                return Ok(());
            }
            let now = self.parts.clock.monotonic();
            for input in persisted {
                batch.add(self.parts.replica.step(now, input));
            }
        }
    }

    async fn write(&mut self, writes: Vec<Write>) -> anyhow::Result<()> {
        if writes.is_empty() {
            return Ok(());
        }
        let store = self.parts.store.take();
        let mut store = store.context("the log is being written already")?;
        let written = tokio::task::spawn_blocking(move || {
            for write in writes {
                store.persist(write.hard_state, &write.entries, write.snapshot.as_ref())?;
            }
            Ok::<_, StoreError>(store)
        });
        let store = written
            .await
            .context("the thread that writes the log ended")?
            .context("the log cannot be synced; free or replace the disk, then restart")?;
        self.parts.store = Some(store);
        Ok(())
    }

    fn perform(&mut self, effect: Effect) -> anyhow::Result<()> {
        match effect {
            Effect::Apply { entry, ticket } => self.apply(&entry, ticket)?,
            Effect::Restore(snapshot) => self.restore(&snapshot)?,
            Effect::ReadReady(ticket) => {
                if let Some(Pending::Read(reply)) = self.pending.remove(&ticket) {
                    let _ = reply.send(Ok(()));
                }
            }
            Effect::Rejected { ticket, rejection } => self.reject(ticket, rejection),
            Effect::Send(message) => self.parts.peers.send(message),
            Effect::Persist { .. } => {}
        }
        Ok(())
    }

    fn apply(&mut self, entry: &Entry, ticket: Option<Ticket>) -> anyhow::Result<()> {
        let reply = match entry.kind() {
            EntryKind::Command => {
                let command = Command::decode(entry.data.clone())
                    .with_context(|| format!("entry {} is not a command", entry.index))?;
                self.state_mut().apply(entry.index, &command)
            }
            EntryKind::Open | EntryKind::Membership => {
                self.state_mut().skip(entry.index);
                Reply::Nothing
            }
        };
        self.note_view();
        let pending = ticket.and_then(|ticket| self.pending.remove(&ticket));
        if let Some(Pending::Entry { reply: tx, since }) = pending {
            self.parts.metrics.commit(since.elapsed());
            let index = entry.index;
            let _ = tx.send(Ok(Applied { index, reply }));
        }
        Ok(())
    }

    fn restore(&mut self, snapshot: &Snapshot) -> anyhow::Result<()> {
        let mut state = State::decode(&snapshot.state)?;
        state.skip(snapshot.index);
        *self.state_mut() = state;
        self.snapshot_index = snapshot.index;
        self.note_view();
        Ok(())
    }

    fn reject(&mut self, ticket: Ticket, rejection: Rejection) {
        match self.pending.remove(&ticket) {
            Some(Pending::Entry { reply, .. }) => drop(reply.send(Err(rejection))),
            Some(Pending::Read(reply)) => drop(reply.send(Err(rejection))),
            None => {}
        }
    }

    async fn compact(&mut self) -> anyhow::Result<()> {
        let (index, state) = {
            let state = self.state();
            // A snapshot costs as much as there are claims, so its cost for each entry stays level.
            let between = SNAPSHOT_ENTRIES.max(state.claims().len() as u64);
            if state.index() < self.snapshot_index + between {
                return Ok(());
            }
            (state.index(), state.encode())
        };
        self.snapshot_index = index;
        self.step(vec![Input::Compact { index, state }]).await
    }

    fn publish(&self) {
        let replica = &self.parts.replica;
        let leads = replica.role() == Role::Leader;
        let membership = replica.membership().clone();
        let members = membership.voters.iter().chain(&membership.learners);
        let matched = members.map(|id| {
            let member = MemberId(*id);
            (member, replica.matched(member).unwrap_or_default())
        });
        let standing = Standing {
            own: self.parts.card.member(),
            leads,
            term: replica.term(),
            leader: replica.leader(),
            commit: replica.commit(),
            applied: replica.applied(),
            lease_until: replica.lease_until(),
            matched: matched.collect(),
            membership,
        };
        let led = leads.then_some(standing.term);
        self.parts.inbox.standing.send_replace(standing);
        let replace = |last: &mut Option<u64>| mem::replace(last, led) != led;
        self.parts.inbox.leads.send_if_modified(replace);
    }

    fn note_view(&self) {
        let viewed = self.state().view_index();
        let replace = |last: &mut u64| mem::replace(last, viewed) != viewed;
        self.parts.inbox.viewed.send_if_modified(replace);
    }

    fn state(&self) -> RwLockReadGuard<'_, State> {
        let state = &self.parts.inbox.state;
        state.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn state_mut(&self) -> RwLockWriteGuard<'_, State> {
        let state = &self.parts.inbox.state;
        state.write().unwrap_or_else(PoisonError::into_inner)
    }
}
