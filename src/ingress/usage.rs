//! Counts the requests of each account that began to execute, by accounting window.

use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use crate::{
    domain::AccountName,
    wire::{AccountCount, WindowCount},
};

/// Number of windows reported to the controllers: the current one and those that may not be committed yet.
const REPORTED_WINDOWS: usize = 3;

/// Request counts of the newest windows.
#[derive(Debug)]
pub(super) struct UsageCounter {
    window_ms: Option<u64>,
    windows: Mutex<BTreeMap<u64, BTreeMap<AccountName, u64>>>,
}

impl UsageCounter {
    pub(super) fn new(window: Option<Duration>) -> Self {
        Self {
            window_ms: window.map(|window| (window.as_millis() as u64).max(1)),
            windows: Mutex::default(),
        }
    }

    /// Counts a request that began to execute at a time.
    pub(super) fn record(&self, account: &AccountName, unix_ms: u64) {
        let Some(length) = self.window_ms else {
            return;
        };
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let window = windows.entry(unix_ms / length).or_default();
        *window.entry(account.clone()).or_default() += 1;
        while windows.len() > REPORTED_WINDOWS {
            windows.pop_first();
        }
    }

    /// Revokes the count of a request that was recorded at a time.
    pub(super) fn revoke(&self, account: &AccountName, unix_ms: u64) {
        let Some(length) = self.window_ms else {
            return;
        };
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let window = windows.get_mut(&(unix_ms / length));
        if let Some(count) = window.and_then(|window| window.get_mut(account)) {
            *count = count.saturating_sub(1);
        }
    }

    /// Returns the counts of the newest windows.
    pub(super) fn newest_windows(&self, unix_ms: u64) -> Vec<WindowCount> {
        let Some(length) = self.window_ms else {
            return Vec::new();
        };
        let oldest = (unix_ms / length).saturating_sub(REPORTED_WINDOWS as u64);
        let windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        windows
            .range(oldest..)
            .map(|(window, counts)| WindowCount {
                window: *window,
                counts: counts
                    .iter()
                    .map(|(account, count)| AccountCount {
                        account: account.to_string(),
                        count: *count,
                    })
                    .collect(),
            })
            .collect()
    }
}
