//! The places in the running batch and the queue before them.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::sync::oneshot;

/// Gives out places; paying requests wait before free ones.
#[derive(Clone, Debug)]
pub(crate) struct Slots(Arc<Mutex<Inner>>);

#[derive(Debug)]
struct Inner {
    free: u32,
    running: u32,
    paying: VecDeque<oneshot::Sender<Slot>>,
    unpaid: VecDeque<oneshot::Sender<Slot>>,
}

/// A place in the batch, given back when it is dropped.
#[derive(Debug)]
pub(crate) struct Slot(Slots);

impl Slots {
    pub(crate) fn new(count: u32) -> Self {
        Self(Arc::new(Mutex::new(Inner {
            free: count,
            running: 0,
            paying: VecDeque::new(),
            unpaid: VecDeque::new(),
        })))
    }

    /// Takes a place or queues for one.
    pub(crate) fn request(&self, paying: bool) -> oneshot::Receiver<Slot> {
        let (tx, rx) = oneshot::channel();
        let mut inner = self.lock();
        if inner.free > 0 {
            inner.free -= 1;
            inner.running += 1;
            drop(inner);
            // The receiver is still here, so this cannot fail.
            let _ = tx.send(Slot(self.clone()));
        } else if paying {
            inner.paying.push_back(tx);
        } else {
            inner.unpaid.push_back(tx);
        }
        rx
    }

    pub(crate) fn running(&self) -> u32 {
        self.lock().running
    }

    pub(crate) fn queued(&self) -> u32 {
        let mut inner = self.lock();
        inner.paying.retain(|waiter| !waiter.is_closed());
        inner.unpaid.retain(|waiter| !waiter.is_closed());
        (inner.paying.len() + inner.unpaid.len()) as u32
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn next_waiter(&self) -> Option<oneshot::Sender<Slot>> {
        let mut inner = self.lock();
        loop {
            let waiter = inner
                .paying
                .pop_front()
                .or_else(|| inner.unpaid.pop_front());
            match waiter {
                Some(tx) if tx.is_closed() => {}
                Some(tx) => return Some(tx),
                None => {
                    inner.free += 1;
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
            // If the waiter has just gone, the returned slot is dropped and goes to the next one.
            let _ = tx.send(Slot(self.0.clone()));
        }
    }
}
