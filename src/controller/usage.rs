//! Reports the usage of each window to the platform while this controller leads. The counts are
//! committed to the log before they are sent, so that a new leader sends exactly the same counts.

use std::{sync::Arc, time::Duration};

use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::{core::Core, duty::Duty, metrics::DutyCounters, periodic::run_periodically};
use crate::{
    ports::{Clock, Platform, WindowUsage},
    settings::Ingress,
    state::{Action, UsageRecord},
};

/// Interval between checks for windows to commit or report.
const USAGE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the end of a window within which the gateways' last counts arrive.
const COUNT_ARRIVAL_DELAY: Duration = Duration::from_millis(2500);
/// Longest wait for the platform to accept a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Number of the newest committed windows that a new leader sends again, in case the previous leader
/// committed them without sending them.
const RESENT_WINDOWS: u64 = 2;

/// Reports usage until the token is cancelled.
pub(super) async fn run<T: Clock, P: Platform>(
    core: Arc<Core<T>>,
    platform: Arc<P>,
    ingress: Ingress,
    stop: CancellationToken,
) {
    let Some(window) = ingress.usage_window else {
        return;
    };
    let counters = DutyCounters::new(&core.metrics, "usage");
    let reporter = Reporter {
        core,
        counters,
        platform,
        window,
        duty: Duty::new("usage reports", ingress.duty_lease),
        last_sent: None,
    };
    run_periodically(
        USAGE_CHECK_INTERVAL,
        &stop,
        reporter,
        |mut reporter| async move {
            reporter.run_round().await;
            reporter
        },
    )
    .await;
}

struct Reporter<T, P> {
    core: Arc<Core<T>>,
    platform: Arc<P>,
    window: Duration,
    duty: Duty,
    counters: DutyCounters,
    /// The term, and the last window that was sent during it.
    last_sent: Option<(u64, u64)>,
}

impl<T: Clock, P: Platform> Reporter<T, P> {
    async fn run_round(&mut self) {
        let Some((term, _)) = self.duty.current_holder(&self.core).await else {
            return;
        };
        let newest = self.core.log.state().usage().newest_window();
        self.commit_closed_windows(newest).await;
        let sent = match self.last_sent {
            Some((held, sent)) if held == term => sent,
            _ => newest.unwrap_or_default().saturating_sub(RESENT_WINDOWS),
        };
        let sent = self.send_reports(term, sent).await;
        self.last_sent = Some((term, sent));
    }

    /// Commits the closed windows whose counts have arrived, and at most the last two of them.
    async fn commit_closed_windows(&self, newest: Option<u64>) {
        let published = self.core.log.state().published().version;
        let length = millis(self.window);
        let closed_before_ms = self
            .core
            .clock
            .unix_ms()
            .saturating_sub(millis(COUNT_ARRIVAL_DELAY));
        let Some(closed) = (closed_before_ms / length).checked_sub(1) else {
            return;
        };
        if published == 0 || newest.is_some_and(|newest| newest >= closed) {
            return;
        }
        let first = newest.map_or(closed, |newest| {
            closed.min(newest + 1).max(closed.saturating_sub(1))
        });
        for window in first..=closed {
            let record = UsageRecord {
                window,
                counts: self.core.followers().usage(window),
            };
            if let Err(e) = self.core.propose(Action::RecordUsage(record)).await {
                log::warn!("controller: cannot commit the usage of window {window} yet: {e}.");
                return;
            }
        }
    }

    /// Sends the committed windows after `sent`, and returns the last window that was sent.
    async fn send_reports(&mut self, term: u64, mut sent: u64) -> u64 {
        let due: Vec<UsageRecord> = {
            let state = self.core.log.state();
            state.usage().windows_after(sent).cloned().collect()
        };
        for record in due {
            let held = self.duty.current_holder(&self.core).await;
            let Some((_, holder)) = held.filter(|(held, _)| *held == term) else {
                break;
            };
            let fence = holder.fence.0;
            let usage = window_usage(&record);
            let answer = timeout(REPORT_TIMEOUT, self.platform.report_usage(holder, &usage)).await;
            let failure = match answer {
                Ok(Ok(())) => {
                    self.counters.done.increment();
                    sent = record.window;
                    continue;
                }
                Ok(Err(e)) => e.to_string(),
                Err(_) => "the platform did not answer in time".to_owned(),
            };
            self.counters.failed.increment();
            log::warn!(
                event = "usage.not_reported", window = record.window, fence = fence;
                "controller: cannot report the usage of a window yet: {failure}"
            );
            break;
        }
        sent
    }
}

fn window_usage(record: &UsageRecord) -> WindowUsage {
    WindowUsage {
        window: record.window,
        counts: record
            .counts
            .iter()
            .map(|count| (count.account.as_str().into(), count.count))
            .collect(),
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis())
        .unwrap_or(u64::MAX)
        .max(1)
}
