//! The time to the first token of an answer, and between its tokens.

use std::time::Duration;

use tokio::time::Instant;

use crate::telemetry::AccountMetrics;

/// Arrival times of the first and the last token, and the number of intervals between them.
#[derive(Debug, Default)]
pub(super) struct TokenTiming {
    first_at: Option<Instant>,
    last_at: Option<Instant>,
    intervals: u32,
}

impl TokenTiming {
    /// Records that a token arrived now, in the metrics too. `arrived` is when the request came in.
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

    /// Returns the mean time between tokens, or `None` before the second token.
    pub(super) fn mean_interval(&self) -> Option<Duration> {
        let span = self.last_at?.duration_since(self.first_at?);
        span.checked_div(self.intervals)
    }
}
