//! Collects request bodies under a common budget of memory. See docs/design/CALLER_MEMORY.md.

use std::{
    collections::HashMap,
    pin::pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::{Buf, Bytes};
use futures_util::{Stream, StreamExt};
use tokio::{
    sync::Notify,
    time::{Instant, timeout},
};

use crate::{
    policy::memory_budget::{Growth, HeldBody, MemoryBudget, Room, SMALL_BODY_BYTES, make_room},
    settings::Machine,
    telemetry::{Counter, Metrics},
};

/// Least time between two log lines about a full budget.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The memory of a process for the bodies of requests; clones share it.
#[derive(Clone, Debug)]
pub struct RequestMemory(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    budget: MemoryBudget,
    ledger: Mutex<Ledger>,
    /// Notified when a body gives memory back.
    released: Notify,
    /// The time from which the silence of bodies is counted.
    epoch: Instant,
    refused: Counter,
    taken: Counter,
}

#[derive(Debug, Default)]
struct Ledger {
    /// Bytes that all bodies hold.
    used: u64,
    next_id: u64,
    bodies: HashMap<u64, Entry>,
    /// When a full budget was logged last.
    logged: Option<Instant>,
}

#[derive(Debug)]
struct Entry {
    account: Arc<str>,
    bytes: u64,
    is_whole: bool,
    is_leaving: bool,
    progress: Arc<BodyProgress>,
}

/// What the reader of a body and the ledger share without a lock.
#[derive(Debug, Default)]
struct BodyProgress {
    /// When the last byte arrived, in milliseconds since the epoch of the ledger.
    last_ms: AtomicU64,
    /// Notified when the body has to give its memory up.
    leaves: Notify,
}

/// The limits of one body.
#[derive(Clone, Debug)]
pub(crate) struct BodyLimits {
    /// Largest size, in bytes.
    pub(crate) bytes: u64,
    /// The length that the caller announced.
    pub(crate) announced: Option<u64>,
    /// The account of the request; empty without one.
    pub(crate) account: Arc<str>,
    /// Longest time without a byte.
    pub(crate) max_silence: Duration,
}

/// Why a body was not collected. Its request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum CollectError {
    /// It is over its limit.
    #[error("the body is over the limit")]
    TooLarge,
    /// It ended early.
    #[error("the body ended early")]
    Cut,
    /// No byte arrived for too long.
    #[error("the body made no progress")]
    Silent,
    /// The process has no memory left for it, or took it for another one.
    #[error("the bodies of other requests hold the memory")]
    NoMemory,
}

impl RequestMemory {
    /// Creates the budget of a process on a machine and registers its metrics, once in a process.
    pub(crate) fn new(machine: Option<&Machine>, metrics: &Metrics) -> Self {
        let budget = MemoryBudget::of_machine(machine.and_then(|machine| machine.memory_mb));
        let shared = Arc::new(Shared {
            budget,
            ledger: Mutex::default(),
            released: Notify::new(),
            epoch: Instant::now(),
            refused: metrics.register_counter(
                "flamingocroft.bodies.refused",
                "Request bodies that were refused for want of memory.",
            ),
            taken: metrics.register_counter(
                "flamingocroft.bodies.taken",
                "Unfinished request bodies whose memory went to other requests.",
            ),
        });
        let read = Arc::downgrade(&shared);
        metrics.register_gauge(
            "flamingocroft.bodies.bytes",
            "Memory that request bodies hold.",
            move || read.upgrade().map_or(0, |shared| shared.lock().used),
        );
        metrics.register_gauge(
            "flamingocroft.bodies.bytes_limit",
            "Memory that request bodies may hold.",
            move || budget.total,
        );
        Self(shared)
    }

    /// Collects a body into one buffer, which counts towards the budget until its last copy is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the body exceeds a limit or ends early, or if it gets or keeps no memory. The body is dropped then.
    pub(crate) async fn collect<B: Buf, E>(
        &self,
        body: impl Stream<Item = Result<B, E>>,
        limits: BodyLimits,
    ) -> Result<Bytes, CollectError> {
        let announced = limits.announced.unwrap_or_default();
        if announced > limits.bytes {
            return Err(CollectError::TooLarge);
        }
        self.0.check_announced(announced, &limits.account)?;
        let mut body = pin!(body);
        let mut collected = Collected::new(Arc::clone(&self.0), &limits);
        loop {
            let next = tokio::select! {
                biased;
                () = collected.lease.progress.leaves.notified() => return Err(CollectError::NoMemory),
                next = timeout(limits.max_silence, body.next()) => next,
            };
            let Some(chunk) = next.map_err(|_| CollectError::Silent)? else {
                return collected.finish();
            };
            let chunk = chunk.map_err(|_| CollectError::Cut)?;
            collected.append(chunk).await?;
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.epoch.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Refuses an announced length that cannot fit now, before a byte is read. A small body finds room when it arrives.
    fn check_announced(&self, length: u64, account: &str) -> Result<(), CollectError> {
        if length <= SMALL_BODY_BYTES {
            return Ok(());
        }
        let mut ledger = self.lock();
        let growth = Growth {
            id: None,
            account,
            size: length,
            added: length,
        };
        if self.budget.has_room(length, ledger.used + length) {
            return Ok(());
        }
        match self.make_room(&ledger, &growth) {
            Room::From(_) => Ok(()),
            Room::Full => Err(self.refuse(&mut ledger, length)),
        }
    }

    fn make_room(&self, ledger: &Ledger, growth: &Growth<'_>) -> Room {
        let now_ms = self.now_ms();
        let held = ledger.bodies.iter().map(|(id, entry)| HeldBody {
            id: *id,
            account: &entry.account,
            bytes: entry.bytes,
            silence: entry.progress.silence(now_ms),
            is_whole: entry.is_whole,
            is_leaving: entry.is_leaving,
        });
        make_room(&self.budget, growth, &held.collect::<Vec<_>>())
    }

    /// Grows a body's share of the memory if that is free, or makes others give theirs up. Returns whether it has grown;
    /// otherwise the body has to wait for them.
    fn try_grow(&self, id: u64, account: &str, size: u64) -> Result<bool, CollectError> {
        let mut ledger = self.lock();
        let held = ledger.bodies.get(&id);
        if held.is_some_and(|entry| entry.is_leaving) {
            return Err(CollectError::NoMemory);
        }
        let added = size - held.map_or(0, |entry| entry.bytes);
        if self.budget.has_room(size, ledger.used + added) {
            ledger.used += added;
            if let Some(entry) = ledger.bodies.get_mut(&id) {
                entry.bytes = size;
            }
            return Ok(true);
        }
        let growth = Growth {
            id: Some(id),
            account,
            size,
            added,
        };
        match self.make_room(&ledger, &growth) {
            Room::From(bodies) => {
                self.take(&mut ledger, &bodies);
                Ok(false)
            }
            Room::Full => Err(self.refuse(&mut ledger, size)),
        }
    }

    fn take(&self, ledger: &mut Ledger, bodies: &[u64]) {
        for id in bodies {
            if let Some(entry) = ledger.bodies.get_mut(id) {
                entry.is_leaving = true;
                entry.progress.leaves.notify_one();
                self.taken.increment();
            }
        }
        if !bodies.is_empty() {
            self.log_full(ledger, bodies.len(), 0);
        }
    }

    fn refuse(&self, ledger: &mut Ledger, size: u64) -> CollectError {
        self.refused.increment();
        self.log_full(ledger, 0, size);
        CollectError::NoMemory
    }

    fn log_full(&self, ledger: &mut Ledger, taken: usize, refused_bytes: u64) {
        let now = Instant::now();
        if ledger.logged.is_some_and(|at| now < at + LOG_INTERVAL) {
            return;
        }
        ledger.logged = Some(now);
        log::warn!(
            event = "memory.full", used_bytes = ledger.used, limit_bytes = self.budget.total,
            bodies = ledger.bodies.len(), taken = taken, refused_bytes = refused_bytes;
            "http: the memory for request bodies is full"
        );
    }
}

impl BodyProgress {
    fn silence(&self, now_ms: u64) -> Duration {
        Duration::from_millis(now_ms.saturating_sub(self.last_ms.load(Ordering::Relaxed)))
    }
}

/// A body's entry in the ledger, which ends with it.
#[derive(Debug)]
struct Lease {
    shared: Arc<Shared>,
    /// The entry, once the body has a byte.
    id: Option<u64>,
    account: Arc<str>,
    progress: Arc<BodyProgress>,
}

impl Lease {
    /// Waits until the body may hold `size` bytes.
    async fn grow(&mut self, size: u64) -> Result<(), CollectError> {
        let id = *self.id.get_or_insert_with(|| {
            let mut ledger = self.shared.lock();
            let id = ledger.next_id;
            ledger.next_id += 1;
            let entry = Entry {
                account: Arc::clone(&self.account),
                bytes: 0,
                is_whole: false,
                is_leaving: false,
                progress: Arc::clone(&self.progress),
            };
            ledger.bodies.insert(id, entry);
            id
        });
        loop {
            let mut released = pin!(self.shared.released.notified());
            // Counts a release between the decision and the wait.
            released.as_mut().enable();
            if self.shared.try_grow(id, &self.account, size)? {
                return Ok(());
            }
            tokio::select! {
                () = released => {}
                () = self.progress.leaves.notified() => return Err(CollectError::NoMemory),
            }
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let Some(id) = self.id else {
            return;
        };
        let mut ledger = self.shared.lock();
        if let Some(entry) = ledger.bodies.remove(&id) {
            ledger.used -= entry.bytes;
        }
        drop(ledger);
        self.shared.released.notify_waiters();
    }
}

/// The part of a body that has arrived.
#[derive(Debug)]
struct Collected {
    // Freed before the lease, which counts it.
    buf: Vec<u8>,
    lease: Lease,
    /// Bytes that the lease covers.
    capacity: usize,
    limit: usize,
    /// The largest capacity that the body can need.
    max_capacity: usize,
}

impl Collected {
    fn new(shared: Arc<Shared>, limits: &BodyLimits) -> Self {
        let limit = usize::try_from(limits.bytes).unwrap_or(usize::MAX);
        let announced = limits
            .announced
            .and_then(|bytes| usize::try_from(bytes).ok());
        Self {
            buf: Vec::new(),
            lease: Lease {
                shared,
                id: None,
                account: Arc::clone(&limits.account),
                progress: Arc::default(),
            },
            capacity: 0,
            limit,
            max_capacity: announced.unwrap_or(limit),
        }
    }

    /// Copies a chunk, so that none keeps a larger buffer of the connection alive.
    async fn append(&mut self, mut chunk: impl Buf) -> Result<(), CollectError> {
        let needed = self.buf.len() + chunk.remaining();
        if needed > self.limit {
            return Err(CollectError::TooLarge);
        }
        if needed > self.capacity {
            let capacity = (self.capacity * 2).min(self.max_capacity).max(needed);
            self.lease.grow(capacity as u64).await?;
            self.buf.reserve_exact(capacity - self.buf.len());
            self.capacity = capacity;
        }
        while chunk.has_remaining() {
            let part = chunk.chunk();
            self.buf.extend_from_slice(part);
            let length = part.len();
            chunk.advance(length);
        }
        let now_ms = self.lease.shared.now_ms();
        self.lease.progress.last_ms.store(now_ms, Ordering::Relaxed);
        Ok(())
    }

    /// Returns the whole body. From then on its memory can't be taken.
    fn finish(self) -> Result<Bytes, CollectError> {
        let Some(id) = self.lease.id else {
            return Ok(Bytes::new());
        };
        let mut ledger = self.lease.shared.lock();
        let entry = ledger.bodies.get_mut(&id);
        let is_leaving = entry.is_none_or(|entry| {
            entry.is_whole = true;
            entry.is_leaving
        });
        drop(ledger);
        match is_leaving {
            true => Err(CollectError::NoMemory),
            false => Ok(Bytes::from_owner(self)),
        }
    }
}

impl AsRef<[u8]> for Collected {
    fn as_ref(&self) -> &[u8] {
        &self.buf
    }
}
