//! Values that readers see late.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// A value with as much of its past as a lagging reader needs.
#[derive(Debug)]
pub(crate) struct Lagged<T> {
    past: VecDeque<(Instant, T)>,
}

impl<T: Clone> Lagged<T> {
    /// Starts with a value.
    pub(crate) fn new(value: T) -> Self {
        Self {
            past: VecDeque::from([(Instant::now(), value)]),
        }
    }

    /// Changes the value. States that are older than the lag and no longer shown are forgotten.
    pub(crate) fn set(&mut self, value: T, lag: Duration) {
        let now = Instant::now();
        self.past.push_back((now, value));
        while self.past.len() > 1 && self.past[1].0 + lag <= now {
            self.past.pop_front();
        }
    }

    /// Returns the value as it was a lag ago, or the oldest known one.
    pub(crate) fn get(&self, lag: Duration) -> T {
        let now = Instant::now();
        self.past
            .iter()
            .rev()
            .find(|(at, _)| *at + lag <= now)
            .unwrap_or(&self.past[0])
            .1
            .clone()
    }
}
