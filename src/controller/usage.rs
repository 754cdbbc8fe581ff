//! Reports the usage of each window to the platform while this controller leads. The counts are
//! committed before they are sent, so that a new leader repeats them exactly.

use std::{sync::Arc, time::Duration};

use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::{core::Core, duty::Duty, metrics::DutyCounters, rounds::repeat};
use crate::{
    ports::{Clock, DutyHolder, Platform, WindowUsage},
    settings::Ingress,
    state::{Action, UsageRecord},
};

/// Time between two looks at the windows.
const LOOK: Duration = Duration::from_millis(500);
/// Time after a window's end in which the gateways' last counts arrive.
const GATHER: Duration = Duration::from_millis(2500);
/// Longest time for the platform to take a report.
const SEND_TIMEOUT: Duration = Duration::from_millis(1500);
/// Windows before the newest committed one that a new leader sends again, in case the last leader
/// committed but did not send them.
const SENT_AGAIN: u64 = 2;

/// Reports until the token is cancelled.
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
        sent: None,
    };
    repeat(LOOK, &stop, reporter, |mut reporter| async move {
        reporter.look().await;
        reporter
    })
    .await;
}

struct Reporter<T, P> {
    core: Arc<Core<T>>,
    platform: Arc<P>,
    window: Duration,
    duty: Duty,
    counters: DutyCounters,
    /// The term, and the last window that was sent in it.
    sent: Option<(u64, u64)>,
}

impl<T: Clock, P: Platform> Reporter<T, P> {
    async fn look(&mut self) {
        let Some((term, holder)) = self.duty.hold(&self.core).await else {
            return;
        };
        let newest = self.core.log.state().usage().newest_window();
        self.commit(newest).await;
        let sent = match self.sent {
            Some((held, sent)) if held == term => sent,
            _ => newest.unwrap_or_default().saturating_sub(SENT_AGAIN),
        };
        let sent = self.send(&holder, sent).await;
        self.sent = Some((term, sent));
    }

    /// Commits the newest window whose counts have arrived.
    async fn commit(&self, newest: Option<u64>) {
        let published = self.core.log.state().published().version;
        let length = millis(self.window);
        let past = self.core.clock.unix_ms().saturating_sub(millis(GATHER));
        let Some(closed) = (past / length).checked_sub(1) else {
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
                log::warn!("controller: the usage of window {window} is not committed yet: {e}.");
                return;
            }
        }
    }

    /// Sends the committed windows after one, and returns the last that was sent.
    async fn send(&self, holder: &DutyHolder, mut sent: u64) -> u64 {
        let due: Vec<UsageRecord> = {
            let state = self.core.log.state();
            state.usage().windows_after(sent).cloned().collect()
        };
        for record in due {
            if !self.core.leads() {
                break;
            }
            let usage = usage(&record);
            let answer = timeout(SEND_TIMEOUT, self.platform.report_usage(holder, &usage)).await;
            let failure = match answer {
                Ok(Ok(())) => {
                    self.counters.done.add();
                    sent = record.window;
                    continue;
                }
                Ok(Err(e)) => e.to_string(),
                Err(_) => "the platform did not answer in time".to_owned(),
            };
            self.counters.failed.add();
            log::warn!(
                event = "usage.not_reported", window = record.window, fence = holder.fence.0;
                "controller: the usage of a window is not reported yet: {failure}"
            );
            break;
        }
        sent
    }
}

fn usage(record: &UsageRecord) -> WindowUsage {
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
