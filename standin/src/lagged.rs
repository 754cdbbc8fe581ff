//! Values that readers see with a delay.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// A value with as much history as readers with a fixed lag need.
#[derive(Debug)]
pub(crate) struct Lagged<T> {
    history: VecDeque<(Instant, T)>,
}

impl<T: Clone> Lagged<T> {
    /// Creates the history with an initial value.
    pub(crate) fn new(value: T) -> Self {
        Self {
            history: VecDeque::from([(Instant::now(), value)]),
        }
    }

    /// Sets the value and drops the history that a reader with this lag no longer sees.
    pub(crate) fn set(&mut self, value: T, lag: Duration) {
        let now = Instant::now();
        self.history.push_back((now, value));
        while self.history.len() > 1 && self.history[1].0 + lag <= now {
            self.history.pop_front();
        }
    }

    /// Returns the value as it was `lag` ago, or the oldest one recorded.
    pub(crate) fn get(&self, lag: Duration) -> T {
        let now = Instant::now();
        self.history
            .iter()
            .rev()
            .find(|(at, _)| *at + lag <= now)
            .unwrap_or(&self.history[0])
            .1
            .clone()
    }
}
