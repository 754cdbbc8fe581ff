//! Event loop of the replica with group commit: takes a batch of inputs, steps the replica, syncs
//! the log once, and only then sends the messages and replies that depend on the write. Inputs that
//! arrive during a sync share the next one.

use std::{
    collections::HashMap,
    mem,
    sync::{Arc, PoisonError, RwLockReadGuard, RwLockWriteGuard},
    time::{Duration, Instant},
};

use anyhow::Context;
use bytes::Bytes;
use prost::Message;
use tokio::{
    sync::oneshot,
    task::JoinHandle,
    time::{Interval, MissedTickBehavior, interval},
};
use tokio_util::sync::CancellationToken;

use super::{
    bootstrap::LocalMember,
    log::{Applied, DriverChannels, ReplicaRequest, ReplicaStatus},
    peers::Peers,
};
use crate::{
    adapters::disk::{LogStore, StoreError},
    domain::MemberId,
    policy::compact::SinceSnapshot,
    ports::Clock,
    replication::{
        Batch, Effect, FIRST_SNAPSHOT_INDEX, Input, LogWrite, Rejection, Replica, Role, Snapshot,
        Ticket,
    },
    state::{Command, DamagedState, Reply, State},
    telemetry::Metrics,
    wire::{Entry, EntryKind, ReplicaMessage},
};

/// Maximum number of inputs that share one sync.
const MAX_BATCHED_INPUTS: usize = 1024;
/// Interval at which a failed write is retried: short compared to an election timeout, so that the
/// controller resumes soon after space is freed.
const DISK_RETRY_INTERVAL: Duration = Duration::from_millis(100);

type ReplySender<R> = oneshot::Sender<Result<R, Rejection>>;

/// A request that awaits its reply.
enum Pending {
    Entry {
        reply: ReplySender<Applied>,
        since: Instant,
    },
    Read(ReplySender<()>),
}

/// Constructor arguments of a [`Driver`].
pub(super) struct DriverParts<T> {
    pub replica: Replica,
    /// `None` while a blocking thread writes to it.
    pub store: Option<LogStore>,
    pub clock: Arc<T>,
    pub metrics: Metrics,
    pub peers: Arc<Peers>,
    pub local_member: Arc<LocalMember>,
    pub channels: DriverChannels,
    pub tick: Duration,
}

/// Owns the replica and its log store.
pub(super) struct Driver<T> {
    parts: DriverParts<T>,
    pending: HashMap<Ticket, Pending>,
    next_ticket: u64,
    since_snapshot: SinceSnapshot,
    encoding: Option<JoinHandle<EncodedState>>,
    ticks: Interval,
    stop: CancellationToken,
}

/// A state that a blocking thread encoded for a snapshot.
struct EncodedState {
    index: u64,
    state: Bytes,
}

impl<T: Clock> Driver<T> {
    /// Creates a driver that runs until the token is cancelled.
    pub fn new(parts: DriverParts<T>, stop: CancellationToken) -> Self {
        let mut ticks = interval(parts.tick);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Self {
            since_snapshot: SinceSnapshot::default(),
            ticks,
            parts,
            pending: HashMap::new(),
            next_ticket: 1,
            encoding: None,
            stop,
        }
    }

    /// Runs until the token is cancelled or the log is damaged. A write that fails, for example
    /// because the disk is full, is retried; until it succeeds, nothing that depends on it is
    /// acknowledged.
    pub async fn run(mut self) -> anyhow::Result<()> {
        let stop = self.stop.clone();
        loop {
            let mut inputs = Vec::new();
            tokio::select! {
                request = self.parts.channels.rx.recv() => match request {
                    Some(request) => inputs.push(self.register(request)),
                    None => return Ok(()),
                },
                _ = self.ticks.tick() => {}
                encoded = encoding_finished(&mut self.encoding) => {
                    let EncodedState { index, state } = encoded?;
                    self.since_snapshot.snapshot_bytes = state.len() as u64;
                    inputs.push(Input::Compact { index, state });
                }
                () = stop.cancelled() => return Ok(()),
            }
            self.drain_requests(&mut inputs);
            let batch = self.step_all(inputs);
            self.complete(batch).await?;
            self.start_snapshot();
            self.publish_status();
        }
    }

    /// Adds the queued requests, then a tick, which sends the new entries of all proposals in one
    /// message.
    fn drain_requests(&mut self, inputs: &mut Vec<Input>) {
        while inputs.len() < MAX_BATCHED_INPUTS
            && let Ok(request) = self.parts.channels.rx.try_recv()
        {
            inputs.push(self.register(request));
        }
        inputs.push(Input::Tick);
    }

    fn register(&mut self, request: ReplicaRequest) -> Input {
        match request {
            ReplicaRequest::Receive(message) => Input::Receive(message),
            ReplicaRequest::Propose { command, reply } => {
                let since = Instant::now();
                let ticket = self.issue_ticket(Pending::Entry { reply, since });
                Input::Propose { ticket, command }
            }
            ReplicaRequest::Read { reply } => {
                let ticket = self.issue_ticket(Pending::Read(reply));
                Input::Read { ticket }
            }
            ReplicaRequest::ChangeMembers { change, reply } => {
                let since = Instant::now();
                let ticket = self.issue_ticket(Pending::Entry { reply, since });
                Input::ChangeMembers { ticket, change }
            }
        }
    }

    fn issue_ticket(&mut self, pending: Pending) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.pending.insert(ticket, pending);
        ticket
    }

    fn step_all(&mut self, inputs: Vec<Input>) -> Batch {
        // Read the clock after the inputs were taken from the queue, so that no message gets a time
        // before its arrival.
        let now = self.parts.clock.monotonic();
        let mut batch = Batch::default();
        for input in inputs {
            batch.add(self.parts.replica.step(now, input));
        }
        // Update this before a vote is sent, so that a folder never reports itself blank after
        // voting.
        self.parts
            .local_member
            .set_blank(self.parts.replica.is_blank());
        batch
    }

    /// Writes and sends until the batch and everything that follows from it is done.
    async fn complete(&mut self, mut batch: Batch) -> anyhow::Result<()> {
        loop {
            self.send(batch.take_messages_before_sync());
            let writes = batch.take_writes();
            let mut next = match writes.is_empty() {
                true => None,
                false => self.write(writes).await?,
            };
            self.send(batch.take_messages_after_sync());
            for effect in batch.take_other_effects() {
                self.perform(effect)?;
            }
            let persisted = batch.take_persisted_inputs();
            if persisted.is_empty() && next.is_none() {
                return Ok(());
            }
            let now = self.parts.clock.monotonic();
            let next = next.get_or_insert_default();
            for input in persisted {
                next.add(self.parts.replica.step(now, input));
            }
            batch = mem::take(next);
        }
    }

    fn send(&self, messages: Vec<ReplicaMessage>) {
        for message in messages {
            self.parts.peers.send(message);
        }
    }

    /// Writes and syncs. The replica keeps stepping during a long write, such as that of a large
    /// snapshot, so that heartbeats are not delayed. Writes that it requests meanwhile are returned
    /// for the next round.
    async fn write(&mut self, writes: Vec<LogWrite>) -> anyhow::Result<Option<Batch>> {
        let store = self.parts.store.take();
        let mut store = store.context("another write to the log is in progress")?;
        let metrics = self.parts.metrics.clone();
        // Ends the writing thread as well if this task is dropped.
        let stop = self.stop.child_token();
        let _end_with_task = stop.clone().drop_guard();
        let mut written = tokio::task::spawn_blocking(move || {
            for write in writes {
                let started = Instant::now();
                persist(&mut store, &write, &stop)?;
                metrics.record_sync(started.elapsed());
            }
            Ok::<_, StoreError>(store)
        });
        let mut next: Option<Batch> = None;
        self.ticks.reset();
        loop {
            tokio::select! {
                written = &mut written => {
                    let store = written
                        .context("the thread that writes the log ended unexpectedly")?
                        .context("the log cannot be written")?;
                    self.parts.store = Some(store);
                    return Ok(next);
                }
                _ = self.ticks.tick() => {
                    let mut inputs = Vec::new();
                    self.drain_requests(&mut inputs);
                    let now = self.parts.clock.monotonic();
                    let batch = next.get_or_insert_default();
                    for input in inputs {
                        batch.add(self.parts.replica.step(now, input));
                    }
                    self.parts.local_member.set_blank(self.parts.replica.is_blank());
                    for message in batch.take_messages_before_sync() {
                        self.parts.peers.send(message);
                    }
                    self.publish_status();
                }
            }
        }
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
                    .ok()
                    .filter(|command| command.action.is_some())
                    .with_context(|| {
                        let index = entry.index;
                        format!(
                            "entry {index} of the log is no command of this version; start the newest version, and if \
                             this is it, move the data folder away and join as a new member"
                        )
                    })?;
                self.state_mut().apply(entry.index, &command)
            }
            EntryKind::Open | EntryKind::Membership => {
                self.state_mut().advance_index(entry.index);
                Reply::Nothing
            }
        };
        self.since_snapshot.entries += 1;
        self.since_snapshot.bytes += entry.encoded_len() as u64;
        self.publish_view_index();
        let pending = ticket.and_then(|ticket| self.pending.remove(&ticket));
        if let Some(Pending::Entry { reply: tx, since }) = pending {
            self.parts.metrics.record_commit(since.elapsed());
            let index = entry.index;
            let _ = tx.send(Ok(Applied { index, reply }));
        }
        Ok(())
    }

    fn restore(&mut self, snapshot: &Snapshot) -> anyhow::Result<()> {
        // Only the first snapshot, which forms a cluster, has no state; see `replication::Bootstrap`.
        let decoded = match snapshot.state.is_empty() && snapshot.index > FIRST_SNAPSHOT_INDEX {
            true => Err(DamagedState("it has no state")),
            false => State::decode(&snapshot.state),
        };
        let mut state = decoded.map_err(|e| match &self.parts.store {
            // It was written before it is restored.
            Some(store) => anyhow::Error::new(store.damaged_snapshot(e.0)),
            None => anyhow::Error::new(e),
        })?;
        state.advance_index(snapshot.index);
        *self.state_mut() = state;
        self.since_snapshot = SinceSnapshot {
            snapshot_bytes: snapshot.state.len() as u64,
            ..SinceSnapshot::default()
        };
        self.publish_view_index();
        Ok(())
    }

    fn reject(&mut self, ticket: Ticket, rejection: Rejection) {
        match self.pending.remove(&ticket) {
            Some(Pending::Entry { reply, .. }) => drop(reply.send(Err(rejection))),
            Some(Pending::Read(reply)) => drop(reply.send(Err(rejection))),
            None => {}
        }
    }

    /// Encodes the state on a blocking thread when a snapshot is due. The clone of the state shares
    /// the claims, so it is cheap.
    fn start_snapshot(&mut self) {
        if self.encoding.is_some() {
            return;
        }
        let state = {
            let state = self.state();
            let since = SinceSnapshot {
                claims: state.claims().len() as u64,
                ..self.since_snapshot
            };
            if !since.is_due() {
                return;
            }
            state.clone()
        };
        self.since_snapshot = SinceSnapshot {
            snapshot_bytes: self.since_snapshot.snapshot_bytes,
            ..SinceSnapshot::default()
        };
        self.encoding = Some(tokio::task::spawn_blocking(move || EncodedState {
            index: state.index(),
            state: state.encode(),
        }));
    }

    fn publish_status(&self) {
        let replica = &self.parts.replica;
        let leads = replica.role() == Role::Leader;
        let membership = replica.membership().clone();
        let members = membership.voters.iter().chain(&membership.learners);
        let progress = members.map(|id| replica.member_progress(MemberId(*id)));
        let status = ReplicaStatus {
            member: self.parts.local_member.id(),
            leads,
            term: replica.term(),
            leader: replica.leader(),
            commit: replica.commit(),
            applied: replica.applied(),
            lease_until: replica.lease_until(),
            led_since: replica.led_since(),
            progress: progress.collect(),
            is_membership_committed: replica.is_membership_committed(),
            membership,
        };
        let led = leads.then_some(status.term);
        self.parts.channels.status.send_replace(status);
        let replace = |last: &mut Option<u64>| mem::replace(last, led) != led;
        self.parts.channels.led_term.send_if_modified(replace);
    }

    fn publish_view_index(&self) {
        let view_index = self.state().view_index();
        let replace = |last: &mut u64| mem::replace(last, view_index) != view_index;
        self.parts.channels.view_index.send_if_modified(replace);
    }

    fn state(&self) -> RwLockReadGuard<'_, State> {
        let state = &self.parts.channels.state;
        state.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn state_mut(&self) -> RwLockWriteGuard<'_, State> {
        let state = &self.parts.channels.state;
        state.write().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes and syncs. Retries I/O errors until the write succeeds or the process is stopped.
fn persist(
    store: &mut LogStore,
    write: &LogWrite,
    stop: &CancellationToken,
) -> Result<(), StoreError> {
    let (hard_state, snapshot) = (&write.hard_state, write.snapshot.as_ref());
    let mut error = match store.persist(hard_state.clone(), &write.entries, snapshot) {
        Err(e @ StoreError::Io { .. }) => e,
        written => return written,
    };
    log::error!(
        event = "disk.refuses", entries = write.entries.len(), snapshot = snapshot.is_some();
        "controller: a write to the log failed and is retried: {error}"
    );
    let since = Instant::now();
    while !stop.is_cancelled() {
        std::thread::sleep(DISK_RETRY_INTERVAL);
        match store.retry_persist(hard_state.clone(), snapshot) {
            Err(e @ StoreError::Io { .. }) => error = e,
            Err(e) => return Err(e),
            Ok(()) => {
                log::info!(
                    event = "disk.writes", ms = since.elapsed().as_millis() as u64;
                    "controller: writes to the log succeed again"
                );
                return Ok(());
            }
        }
    }
    Err(error)
}

/// Waits for the encoded state; stays pending while no encoding is under way.
async fn encoding_finished(
    encoding: &mut Option<JoinHandle<EncodedState>>,
) -> anyhow::Result<EncodedState> {
    let Some(handle) = encoding else {
        return std::future::pending().await;
    };
    let encoded = handle.await;
    *encoding = None;
    encoded.context("the thread that encodes the state ended unexpectedly")
}
