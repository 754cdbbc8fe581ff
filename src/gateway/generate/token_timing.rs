//! How quickly the tokens of an answer come.

use std::time::Duration;

use tokio::time::Instant;

use crate::telemetry::AccountMetrics;

/// Times of the first and the last token.
#[derive(Debug, Default)]
pub(super) struct TokenTiming {
    first_at: Option<Instant>,
    last_at: Option<Instant>,
    intervals: u32,
}

impl TokenTiming {
    /// Notes a token of a request that arrived at a time.
    pub(super) fn record_token(&mut self, arrived: Instant, metrics: &AccountMetrics) {
        let now = Instant::now();
        match self.last_at {
            Some(last) => {
                metrics.record_between_tokens(now - last);
                self.intervals += 1;
            }
            None => metrics.record_first_token(now - arrived),
        }
        self.first_at.get_or_insert(now);
        self.last_at = Some(now);
    }

    /// Returns the mean time between tokens, once there are two.
    pub(super) fn mean_interval(&self) -> Option<Duration> {
        let span = self.last_at?.duration_since(self.first_at?);
        span.checked_div(self.intervals)
    }
}
