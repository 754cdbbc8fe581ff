//! Group commit: the order of writes and sends for a driver that handles many inputs with one sync.

use super::{Effect, HardState, Input, Snapshot};
use crate::wire::{Entry, ReplicaMessage};

/// One write to the log store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LogWrite {
    /// The vote and term, if they changed.
    pub hard_state: Option<HardState>,
    /// Entries to append; they replace stored ones from the first one's index on.
    pub entries: Vec<Entry>,
    /// A snapshot, written after the entries.
    pub snapshot: Option<Snapshot>,
}

/// Collects the effects of several steps so that they share one sync (group commit).
///
/// ```no_run
/// # use std::time::Duration;
/// # use flamingocroft::{adapters::disk::LogStore, replication::*};
/// # fn run(mut replica: Replica, mut store: LogStore, clock: impl Fn() -> Duration,
/// #     mut gather: impl FnMut() -> Vec<Input>, send: impl Fn(flamingocroft::wire::ReplicaMessage),
/// #     mut handle: impl FnMut(Effect)) -> anyhow::Result<()> {
/// loop {
///     let inputs = gather(); // waits for at least one, at most half a heartbeat
///     let now = clock(); // read after receiving: a message must not be dated before its arrival
///     let mut batch = Batch::default();
///     for input in inputs {
///         batch.add(replica.step(now, input));
///     }
///     batch.add(replica.step(now, Input::Tick)); // sends the new entries in one message
///     loop {
///         batch.take_messages_before_sync().into_iter().for_each(&send); // concurrently with the sync
///         for write in batch.take_writes() {
///             // After an error the process must stop: nothing may be acknowledged any more.
///             store.persist(write.hard_state, &write.entries, write.snapshot.as_ref())?;
///         }
///         batch.take_messages_after_sync().into_iter().for_each(&send); // only after the sync
///         // Apply, Restore, ReadReady, Rejected
///         batch.take_other_effects().into_iter().for_each(&mut handle);
///         let persisted = batch.take_persisted_inputs();
///         if persisted.is_empty() {
///             break;
///         }
///         for input in persisted {
///             batch.add(replica.step(clock(), input));
///         }
///     }
/// }
/// # }
/// ```
#[derive(Debug, Default)]
pub struct Batch {
    writes: Vec<LogWrite>,
    before_sync: Vec<ReplicaMessage>,
    after_sync: Vec<ReplicaMessage>,
    other: Vec<Effect>,
    last_entry: Option<(u64, u64)>,
    last_snapshot: Option<(u64, u64)>,
}

impl Batch {
    /// Adds the effects of one step.
    pub fn add(&mut self, effects: Vec<Effect>) {
        let mut writing = false;
        for effect in effects {
            match effect {
                Effect::Persist {
                    hard_state,
                    entries,
                    snapshot,
                } => {
                    writing = true;
                    self.write(hard_state, entries, snapshot);
                }
                Effect::Send(message) if writing => self.after_sync.push(message),
                Effect::Send(message) => self.before_sync.push(message),
                effect => self.other.push(effect),
            }
        }
    }

    /// Returns the messages that may be sent before the sync.
    pub fn take_messages_before_sync(&mut self) -> Vec<ReplicaMessage> {
        std::mem::take(&mut self.before_sync)
    }

    /// Returns the writes, in order. There is usually one.
    pub fn take_writes(&mut self) -> Vec<LogWrite> {
        std::mem::take(&mut self.writes)
    }

    /// Returns the messages that may be sent only after the writes are synced.
    pub fn take_messages_after_sync(&mut self) -> Vec<ReplicaMessage> {
        std::mem::take(&mut self.after_sync)
    }

    /// Returns the other effects, in order: `Apply`, `Restore`, `ReadReady` and `Rejected`.
    pub fn take_other_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.other)
    }

    /// Returns the inputs to step once the writes are synced.
    pub fn take_persisted_inputs(&mut self) -> Vec<Input> {
        let points = [self.last_snapshot.take(), self.last_entry.take()];
        points
            .into_iter()
            .flatten()
            .map(|(index, term)| Input::Persisted { index, term })
            .collect()
    }

    fn write(
        &mut self,
        hard_state: Option<HardState>,
        entries: Vec<Entry>,
        snapshot: Option<Snapshot>,
    ) {
        if let Some(last) = entries.last() {
            self.last_entry = Some((last.index, last.term));
        }
        if let Some(snapshot) = &snapshot {
            self.last_snapshot = Some((snapshot.index, snapshot.term));
        }
        match self.writes.last_mut() {
            Some(write) if write.snapshot.is_none() => write.merge(hard_state, entries, snapshot),
            _ => self.writes.push(LogWrite {
                hard_state,
                entries,
                snapshot,
            }),
        }
    }
}

impl LogWrite {
    fn merge(
        &mut self,
        hard_state: Option<HardState>,
        entries: Vec<Entry>,
        snapshot: Option<Snapshot>,
    ) {
        self.hard_state = hard_state.or(self.hard_state.take());
        if let Some(first) = entries.first() {
            self.entries.retain(|entry| entry.index < first.index);
        }
        self.entries.extend(entries);
        self.snapshot = snapshot;
    }
}
