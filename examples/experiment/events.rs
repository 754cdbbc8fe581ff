//! The event queue of the simulation, in virtual time. Ties are broken by insertion order.

use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
    time::Duration,
};

/// Events ordered by time.
#[derive(Debug)]
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<Entry<E>>>,
    inserted: u64,
}

#[derive(Debug)]
struct Entry<E> {
    at: Duration,
    order: u64,
    event: E,
}

impl<E> EventQueue<E> {
    /// Makes an empty queue.
    pub fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            inserted: 0,
        }
    }

    /// Adds an event.
    pub fn push(&mut self, at: Duration, event: E) {
        self.inserted += 1;
        let order = self.inserted;
        self.heap.push(Reverse(Entry { at, order, event }));
    }

    /// Removes and returns the earliest event.
    pub fn pop(&mut self) -> Option<(Duration, E)> {
        self.heap
            .pop()
            .map(|Reverse(entry)| (entry.at, entry.event))
    }
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}
