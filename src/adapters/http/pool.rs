//! Idle connections, kept without a lock. A request that finds none makes a new connection.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use arc_swap::{ArcSwap, ArcSwapOption};

use super::connection::Connection;
use crate::ports::Target;

/// Idle connections kept for one target at most.
const IDLE_SLOTS: usize = u64::BITS as usize * 4;

/// Idle connections by target.
#[derive(Debug, Default)]
pub(super) struct Pool {
    targets: ArcSwap<HashMap<Target, Arc<Idle>>>,
}

impl Pool {
    /// Returns the idle connections of a target. A new incarnation replaces the older ones.
    pub(super) fn target(&self, target: &Target) -> Arc<Idle> {
        if let Some(idle) = self.targets.load().get(target) {
            return Arc::clone(idle);
        }
        let added = Arc::new(Idle::default());
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

    /// Forgets targets, which closes their idle connections.
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
    let same_place = known.instance == new.instance || known.address == new.address;
    same_place && known.incarnation < new.incarnation
}

/// Idle connections to one target, in slots. A bit of `taken` reserves a slot; a bit of `ready`
/// says that its connection may be taken out.
#[derive(Debug)]
pub(super) struct Idle {
    words: Box<[Word]>,
}

#[derive(Debug)]
struct Word {
    taken: AtomicU64,
    ready: AtomicU64,
    slots: Box<[ArcSwapOption<Connection>]>,
}

impl Default for Idle {
    fn default() -> Self {
        let words = IDLE_SLOTS / u64::BITS as usize;
        Self {
            words: (0..words).map(|_| Word::default()).collect(),
        }
    }
}

impl Default for Word {
    fn default() -> Self {
        Self {
            taken: AtomicU64::new(0),
            ready: AtomicU64::new(0),
            slots: (0..u64::BITS).map(|_| ArcSwapOption::empty()).collect(),
        }
    }
}

impl Idle {
    /// Takes a connection out.
    pub(super) fn take(&self) -> Option<Connection> {
        self.words.iter().find_map(Word::take)
    }

    /// Keeps a connection whose last exchange has ended, or closes it if there is no room.
    pub(super) fn put(&self, mut connection: Connection) {
        if connection.is_closed() {
            return;
        }
        connection.mark_used();
        let Some((word, slot)) = self
            .words
            .iter()
            .find_map(|word| Some((word, word.reserve()?)))
        else {
            return;
        };
        word.fill(slot, connection);
    }

    /// Closes all idle connections, because one of their kind has gone silent.
    pub(super) fn clear(&self) {
        while self.take().is_some() {}
    }
}

impl Word {
    fn take(&self) -> Option<Connection> {
        let slot = lowest_set(&self.ready)?;
        let taken = self.slots[slot].swap(None);
        self.taken.fetch_and(!(1 << slot), Ordering::AcqRel);
        taken.and_then(Arc::into_inner)
    }

    fn reserve(&self) -> Option<usize> {
        self.taken
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
