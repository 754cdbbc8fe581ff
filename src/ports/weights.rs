//! The rate-limited store from which engines fetch model weights.

use std::{future::Future, time::Duration};

use crate::domain::ModelName;

/// Reason why the weight store gave no estimate.
#[derive(Debug, thiserror::Error)]
pub enum WeightError {
    /// The store's rate limit is reached; retry after this time.
    #[error("the weight store is at its rate limit; retry after {0:?}")]
    Limited(Duration),
    /// The store failed or did not respond.
    #[error("the weight store did not answer: {0}; check its address in the settings")]
    Unanswered(String),
}

/// The part of the weight store's interface that model placement uses.
pub trait WeightStore: Send + Sync + 'static {
    /// Returns an estimate of how long a fetch takes that starts now.
    ///
    /// # Errors
    ///
    /// Fails if the store is at its rate limit or does not respond.
    fn fetch_time(
        &self,
        model: &ModelName,
        version: &str,
    ) -> impl Future<Output = Result<Duration, WeightError>> + Send;
}
