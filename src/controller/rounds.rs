//! Work that is done again and again.

use std::{future::Future, time::Duration};

use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

/// Does a round at once and then after each interval, until the token is cancelled, also in the middle of a
/// round. A round gets the worker and gives it back, so that its future is one that threads may share.
pub(super) async fn repeat<W, F: Future<Output = W>>(
    every: Duration,
    stop: &CancellationToken,
    mut worker: W,
    round: impl Fn(W) -> F,
) {
    let mut tick = interval(every);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let rounds = async {
        loop {
            tick.tick().await;
            worker = round(worker).await;
        }
    };
    // Cancelled is the only way out.
    let _: Option<()> = stop.run_until_cancelled(rounds).await;
}
