//! Retries every failure immediately.

use std::time::Duration;

use flamingocroft::policy::retry::{Failure, Retry};

/// Decides about a failure.
pub fn decide(failure: &Failure) -> Retry {
    if failure.remaining.is_zero() {
        Retry::GiveUp
    } else {
        Retry::After(Duration::ZERO)
    }
}
