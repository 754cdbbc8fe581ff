//! Reports the usage of each window to the platform while this controller leads. The counts are
//! committed before they are sent, so that a new leader repeats them exactly.

use std::{sync::Arc, time::Duration};

use tokio::time::{MissedTickBehavior, interval, timeout};
use tokio_util::sync::CancellationToken;

use super::core::Core;
use crate::{
    domain::FencingNumber,
    ports::{Clock, DutyHolder, Platform, WindowUsage},
    settings::Ingress,
    state::{Action, AllocateFence, Reply, UsageRecord},
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
    let mut reporter = Reporter {
        core,
        platform,
        window,
        lease: ingress.duty_lease,
        office: None,
    };
    let mut tick = interval(LOOK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = tick.tick() => {}
            () = stop.cancelled() => return,
        }
        tokio::select! {
            () = reporter.look() => {}
            () = stop.cancelled() => return,
        }
    }
}

struct Reporter<T, P> {
    core: Arc<Core<T>>,
    platform: Arc<P>,
    window: Duration,
    lease: Duration,
    office: Option<Office>,
}

/// The duty in one term of leadership.
struct Office {
    term: u64,
    since: Duration,
    fence: Option<FencingNumber>,
    sent: u64,
}

impl<T: Clock, P: Platform> Reporter<T, P> {
    async fn look(&mut self) {
        if !self.core.leads() {
            self.office = None;
            return;
        }
        let term = self.core.fleet().term();
        let now = self.core.now();
        let newest = self.core.log.state().usage().newest();
        let office = match &mut self.office {
            Some(office) if office.term == term => office,
            _ => self.office.insert(Office {
                term,
                since: now,
                fence: None,
                sent: newest.unwrap_or_default().saturating_sub(SENT_AGAIN),
            }),
        };
        // The holder before this one may still act until its own lease ends.
        if now < office.since + self.lease {
            return;
        }
        self.commit(newest).await;
        self.send().await;
    }

    /// Commits the newest window whose counts have arrived.
    async fn commit(&mut self, newest: Option<u64>) {
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

    async fn send(&mut self) {
        let Some(fence) = self.fence().await else {
            return;
        };
        let Some(office) = &mut self.office else {
            return;
        };
        let holder = DutyHolder {
            name: Arc::clone(&self.core.settings.name),
            fence,
        };
        let due: Vec<UsageRecord> = {
            let state = self.core.log.state();
            state.usage().after(office.sent).cloned().collect()
        };
        for record in due {
            if !self.core.leads() {
                return;
            }
            let usage = usage(&record);
            let sent = timeout(SEND_TIMEOUT, self.platform.report_usage(&holder, &usage)).await;
            let failure = match sent {
                Ok(Ok(())) => {
                    office.sent = record.window;
                    continue;
                }
                Ok(Err(e)) => e.to_string(),
                Err(_) => "the platform did not answer in time".to_owned(),
            };
            log::warn!(
                "controller: the usage of window {} is not reported yet: {failure}.",
                record.window
            );
            return;
        }
    }

    async fn fence(&mut self) -> Option<FencingNumber> {
        if let Some(fence) = self.office.as_ref()?.fence {
            return Some(fence);
        }
        match self
            .core
            .propose(Action::AllocateFence(AllocateFence {}))
            .await
        {
            Ok(applied) => {
                let Reply::Fence(fence) = applied.reply else {
                    log::warn!("controller: the log gave no fencing number for the usage reports.");
                    return None;
                };
                log::info!("controller: reports usage with fencing number {fence}.");
                self.office.as_mut()?.fence = Some(fence);
                Some(fence)
            }
            Err(e) => {
                log::warn!("controller: no fencing number for the usage reports yet: {e}.");
                None
            }
        }
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
