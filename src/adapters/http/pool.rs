//! A lock-free pool of idle connections. A request that finds none opens a new connection.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use arc_swap::{ArcSwap, ArcSwapOption};
use tokio::sync::Semaphore;

use super::connection::Connection;
use crate::ports::Target;

/// Maximum number of idle connections per target.
const MAX_IDLE_PER_TARGET: usize = u64::BITS as usize * 4;
/// Maximum number of connections per client on which the rest of an answered request is still being written. Each holds
/// the body of its request.
const MAX_FINISHING: usize = 64;

/// Idle connections by target.
#[derive(Debug)]
pub(super) struct Pool {
    targets: ArcSwap<HashMap<Target, Arc<IdleConnections>>>,
    finishing: Arc<Semaphore>,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            targets: ArcSwap::default(),
            finishing: Arc::new(Semaphore::new(MAX_FINISHING)),
        }
    }
}

impl Pool {
    /// Returns the idle connections of a target. A new incarnation evicts the older ones.
    pub(super) fn idle_connections(&self, target: &Target) -> Arc<IdleConnections> {
        if let Some(idle) = self.targets.load().get(target) {
            return Arc::clone(idle);
        }
        let added = Arc::new(IdleConnections::new(Arc::clone(&self.finishing)));
        self.targets.rcu(|targets| {
            let mut targets = HashMap::clone(targets);
            targets.retain(|known, _| !is_replaced(known, target));
            targets
                .entry(target.clone())
                .or_insert_with(|| Arc::clone(&added));
            targets
        });
        let targets = self.targets.load();
        targets.get(target).map_or(added, Arc::clone)
    }

    /// Removes all targets for which `is_kept` is false and closes their idle connections.
    pub(super) fn retain(&self, is_kept: impl Fn(&Target) -> bool) {
        if self.targets.load().keys().all(&is_kept) {
            return;
        }
        self.targets.rcu(|targets| {
            let mut targets = HashMap::clone(targets);
            targets.retain(|target, _| is_kept(target));
            targets
        });
    }
}

fn is_replaced(known: &Target, new: &Target) -> bool {
    let same_endpoint = known.instance == new.instance || known.address == new.address;
    same_endpoint && known.incarnation < new.incarnation
}

/// Idle connections to one target, in groups of 64 slots. A bit in `reserved` claims a slot; a bit in
/// `ready` marks that the slot's connection can be taken.
#[derive(Debug)]
pub(super) struct IdleConnections {
    groups: Box<[SlotGroup]>,
    finishing: Arc<Semaphore>,
}

#[derive(Debug)]
struct SlotGroup {
    reserved: AtomicU64,
    ready: AtomicU64,
    slots: Box<[ArcSwapOption<Connection>]>,
}

impl Default for SlotGroup {
    fn default() -> Self {
        Self {
            reserved: AtomicU64::new(0),
            ready: AtomicU64::new(0),
            slots: (0..u64::BITS).map(|_| ArcSwapOption::empty()).collect(),
        }
    }
}

impl IdleConnections {
    fn new(finishing: Arc<Semaphore>) -> Self {
        let groups = MAX_IDLE_PER_TARGET / u64::BITS as usize;
        Self {
            groups: (0..groups).map(|_| SlotGroup::default()).collect(),
            finishing,
        }
    }

    /// Takes an idle connection, if there is one.
    pub(super) fn take(&self) -> Option<Connection> {
        self.groups.iter().find_map(SlotGroup::take)
    }

    /// Keeps a connection whose response was read to its end, once its request is complete too. One whose request was
    /// not wholly written before the response finishes outside the pool and is closed.
    pub(super) fn put(self: Arc<Self>, mut connection: Connection) {
        connection.settle();
        if connection.is_closed() {
            return;
        }
        connection.mark_used();
        if connection.answered_early() {
            let Ok(permit) = Arc::clone(&self.finishing).try_acquire_owned() else {
                log::debug!(
                    "http: closing a connection before its request is written, since too many others are like it."
                );
                return;
            };
            tokio::spawn(async move {
                connection.finish_request().await;
                drop(permit);
            });
        } else if connection.is_usable() {
            self.store(connection);
        } else {
            tokio::spawn(async move {
                if connection.wait_until_ready().await {
                    self.store(connection);
                }
            });
        }
    }

    /// Stores a connection, or closes it if all slots are in use.
    fn store(&self, connection: Connection) {
        let Some((group, slot)) = self
            .groups
            .iter()
            .find_map(|group| Some((group, group.reserve()?)))
        else {
            return;
        };
        group.fill(slot, connection);
    }

    /// Closes all idle connections.
    pub(super) fn clear(&self) {
        while self.take().is_some() {}
    }
}

impl SlotGroup {
    fn take(&self) -> Option<Connection> {
        let slot = lowest_set(&self.ready)?;
        let taken = self.slots[slot].swap(None);
        self.reserved.fetch_and(!(1 << slot), Ordering::AcqRel);
        taken.and_then(Arc::into_inner)
    }

    fn reserve(&self) -> Option<usize> {
        self.reserved
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |bits| {
                let free = bits.trailing_ones();
                (free < u64::BITS).then(|| bits | 1 << free)
            })
            .ok()
            .map(|bits| bits.trailing_ones() as usize)
    }

    fn fill(&self, slot: usize, connection: Connection) {
        self.slots[slot].store(Some(Arc::new(connection)));
        self.ready.fetch_or(1 << slot, Ordering::AcqRel);
    }
}

/// Clears the lowest set bit and returns its index.
fn lowest_set(bits: &AtomicU64) -> Option<usize> {
    bits.fetch_update(Ordering::AcqRel, Ordering::Acquire, |bits| {
        (bits != 0).then(|| bits & (bits - 1))
    })
    .ok()
    .map(|bits| bits.trailing_zeros() as usize)
}
