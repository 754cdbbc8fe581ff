//! Periodic background work.

use std::{future::Future, time::Duration};

use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

/// Runs a round at once and then after each interval, until the token is cancelled; a running round is dropped.
/// A round takes the worker and returns it, so that its future can be sent between threads.
pub(super) async fn run_periodically<W, F: Future<Output = W>>(
    interval_length: Duration,
    stop: &CancellationToken,
    mut worker: W,
    round: impl Fn(W) -> F,
) {
    let mut tick = interval(interval_length);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let rounds = async {
        loop {
            tick.tick().await;
            worker = round(worker).await;
        }
    };
    // The loop ends only by cancellation.
    let _: Option<()> = stop.run_until_cancelled(rounds).await;
}
