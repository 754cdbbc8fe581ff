//! The slots of the running batch and the queue for them.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::sync::oneshot;

/// A pool of batch slots; waiting paying requests get a slot before waiting free ones.
#[derive(Clone, Debug)]
pub(crate) struct Slots(Arc<Mutex<SlotPool>>);

#[derive(Debug)]
struct SlotPool {
    free_slots: u32,
    running: u32,
    paying_waiters: VecDeque<oneshot::Sender<Slot>>,
    free_waiters: VecDeque<oneshot::Sender<Slot>>,
}

/// A slot in the batch, released on drop.
#[derive(Debug)]
pub(crate) struct Slot(Slots);

impl Slots {
    pub(crate) fn new(count: u32) -> Self {
        Self(Arc::new(Mutex::new(SlotPool {
            free_slots: count,
            running: 0,
            paying_waiters: VecDeque::new(),
            free_waiters: VecDeque::new(),
        })))
    }

    /// Acquires a slot, or queues for one.
    pub(crate) fn acquire(&self, paying: bool) -> oneshot::Receiver<Slot> {
        let (tx, rx) = oneshot::channel();
        let mut inner = self.lock();
        if inner.free_slots > 0 {
            inner.free_slots -= 1;
            inner.running += 1;
            drop(inner);
            // Cannot fail, since the receiver is still in scope.
            let _ = tx.send(Slot(self.clone()));
        } else if paying {
            inner.paying_waiters.push_back(tx);
        } else {
            inner.free_waiters.push_back(tx);
        }
        rx
    }

    pub(crate) fn running(&self) -> u32 {
        self.lock().running
    }

    pub(crate) fn queued(&self) -> u32 {
        let mut inner = self.lock();
        inner.paying_waiters.retain(|waiter| !waiter.is_closed());
        inner.free_waiters.retain(|waiter| !waiter.is_closed());
        (inner.paying_waiters.len() + inner.free_waiters.len()) as u32
    }

    fn lock(&self) -> MutexGuard<'_, SlotPool> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn next_waiter(&self) -> Option<oneshot::Sender<Slot>> {
        let mut inner = self.lock();
        loop {
            let waiter = inner
                .paying_waiters
                .pop_front()
                .or_else(|| inner.free_waiters.pop_front());
            match waiter {
                Some(tx) if tx.is_closed() => {}
                Some(tx) => return Some(tx),
                None => {
                    inner.free_slots += 1;
                    inner.running -= 1;
                    return None;
                }
            }
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(tx) = self.0.next_waiter() {
            // If the waiter is gone by now, the returned slot is dropped and passed to the next one.
            let _ = tx.send(Slot(self.0.clone()));
        }
    }
}
