//! How quickly the tokens of an answer come.

use std::time::Duration;

use tokio::time::Instant;

use crate::telemetry::AccountMetrics;

/// Times of the first and the last token.
#[derive(Debug, Default)]
pub(super) struct Pace {
    first: Option<Instant>,
    last: Option<Instant>,
    gaps: u32,
}

impl Pace {
    /// Notes a token of a request that arrived at a time.
    pub(super) fn note(&mut self, arrived: Instant, metrics: &AccountMetrics) {
        let now = Instant::now();
        match self.last {
            Some(last) => {
                metrics.between_tokens(now - last);
                self.gaps += 1;
            }
            None => metrics.first_token(now - arrived),
        }
        self.first.get_or_insert(now);
        self.last = Some(now);
    }

    /// Returns the mean time between tokens, once there are two.
    pub(super) fn mean_gap(&self) -> Option<Duration> {
        let span = self.last?.duration_since(self.first?);
        span.checked_div(self.gaps)
    }
}
