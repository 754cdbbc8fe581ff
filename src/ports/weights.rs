//! The rate-limited store that models are fetched from.

use std::{future::Future, time::Duration};

use crate::domain::ModelName;

/// Why the store gave no answer.
#[derive(Debug, thiserror::Error)]
pub enum WeightError {
    /// Its rate limit is reached.
    #[error("the weight store is at its rate limit; retry after {0:?}")]
    Limited(Duration),
    /// It failed or did not answer.
    #[error("the weight store did not answer: {0}; check its address in the settings")]
    Unanswered(String),
}

/// The weight store as placement uses it.
pub trait WeightStore: Send + Sync + 'static {
    /// Estimates how long a fetch that starts now would take.
    fn fetch_time(
        &self,
        model: &ModelName,
        version: &str,
    ) -> impl Future<Output = Result<Duration, WeightError>> + Send;
}
