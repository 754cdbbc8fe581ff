//! Usage by window. It is committed before it is reported, so that a new leader that reports a window again
//! reports the same counts.

use std::collections::VecDeque;

/// Maximum number of windows kept; older ones no longer have to be reported.
const MAX_WINDOWS: usize = 32;

/// The usage of one window.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct UsageRecord {
    /// The window's number, counted from the Unix epoch.
    #[prost(uint64, tag = "1")]
    pub window: u64,
    /// Number of requests that started in the window, by account.
    #[prost(message, repeated, tag = "2")]
    pub counts: Vec<crate::wire::AccountCount>,
}

/// The newest committed windows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Usage {
    windows: VecDeque<UsageRecord>,
}

impl Usage {
    /// Records the usage of a window unless that window or a later one is already recorded. Returns whether
    /// it was recorded.
    pub fn record(&mut self, record: &UsageRecord) -> bool {
        let newest = self.windows.back().map(|known| known.window);
        if newest.is_some_and(|newest| record.window <= newest) {
            return false;
        }
        self.windows.push_back(record.clone());
        if self.windows.len() > MAX_WINDOWS {
            self.windows.pop_front();
        }
        true
    }

    /// Returns the newest committed window.
    pub fn newest_window(&self) -> Option<u64> {
        self.windows.back().map(|record| record.window)
    }

    /// Returns the committed windows after the given one, oldest first.
    pub fn windows_after(&self, window: u64) -> impl Iterator<Item = &UsageRecord> {
        self.windows
            .iter()
            .filter(move |record| record.window > window)
    }

    pub(super) fn records(&self) -> Vec<UsageRecord> {
        self.windows.iter().cloned().collect()
    }

    pub(super) fn from_records(records: Vec<UsageRecord>) -> Self {
        Self {
            windows: records.into(),
        }
    }
}
