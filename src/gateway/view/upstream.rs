//! What this gateway knows of one instance beyond the view, in atomics.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::{ArcSwap, ArcSwapOption};
use tokio_util::sync::CancellationToken;

use crate::{policy::prefix::PrefixIndex, ports::UpstreamErrorKind};

/// How long an instance whose exchange failed is avoided.
const SUSPECT_DURATION: Duration = Duration::from_secs(2);

/// A load report and when it was made, on the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadReport {
    /// Requests running.
    pub(crate) running: u32,
    /// Requests waiting.
    pub(crate) queued: u32,
    /// Requests served at once, by the instance's own account.
    pub(crate) slots: u32,
    /// When the report was made.
    pub(crate) made_at: Duration,
}

/// The prefixes that an instance is believed to hold, and when that was learned.
#[derive(Debug, Default)]
pub(crate) struct CachedPrefixes {
    /// The prefixes.
    pub(crate) index: PrefixIndex,
    /// The sequence number to ask from next time.
    pub(crate) next: u64,
    /// When events were read last, on the monotonic clock; nothing before the first time.
    pub(crate) read_at: Option<Duration>,
}

/// Counters, flags and reports of one incarnation of an instance.
#[derive(Debug, Default)]
pub(crate) struct UpstreamState {
    in_progress: AtomicU32,
    sent_since_report: AtomicU32,
    suspect_until_micros: AtomicU64,
    reclaimed_at_micros: AtomicU64,
    leaving: CancellationToken,
    announced: AtomicBool,
    polling: AtomicBool,
    /// The last load report.
    pub(crate) report: ArcSwapOption<LoadReport>,
    /// What its cache events told.
    pub(crate) cache: ArcSwap<CachedPrefixes>,
}

impl UpstreamState {
    /// Says whether the instance is known to leave.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.is_cancelled()
    }

    /// Marks the instance as leaving, for good.
    pub(crate) fn mark_leaving(&self) {
        self.leaving.cancel();
    }

    /// Returns a token that is cancelled once the instance is known to leave.
    pub(crate) fn leaving(&self) -> &CancellationToken {
        &self.leaving
    }

    /// Marks the instance as leaving, to be gone at a time on the monotonic clock.
    pub(crate) fn set_reclaimed_at(&self, at: Duration) {
        self.reclaimed_at_micros
            .store(at.as_micros() as u64, Ordering::Relaxed);
        self.mark_leaving();
    }

    /// Returns when the instance is gone, if a notice told.
    pub(crate) fn reclaimed_at(&self) -> Option<Duration> {
        let micros = self.reclaimed_at_micros.load(Ordering::Relaxed);
        (micros > 0).then(|| Duration::from_micros(micros))
    }

    /// Returns true the first time, so that a notice is logged once.
    pub(crate) fn mark_announced(&self) -> bool {
        !self.announced.swap(true, Ordering::Relaxed)
    }

    /// Returns true unless a poll is running.
    pub(crate) fn try_begin_poll(&self) -> bool {
        !self.polling.swap(true, Ordering::AcqRel)
    }

    /// Lets the next poll begin.
    pub(crate) fn end_poll(&self) {
        self.polling.store(false, Ordering::Release);
    }

    /// Says whether the last exchange failed a short while ago.
    pub(crate) fn is_suspect(&self, now: Duration) -> bool {
        now < Duration::from_micros(self.suspect_until_micros.load(Ordering::Relaxed))
    }

    /// Notes a failed exchange: what the instance itself says of its leaving is final, and other
    /// failures than a busy or choosy instance make it suspect for a while.
    pub(crate) fn record_failure(&self, kind: UpstreamErrorKind, now: Duration) {
        match kind {
            UpstreamErrorKind::Leaving => self.mark_leaving(),
            UpstreamErrorKind::Busy | UpstreamErrorKind::Rejected => {}
            _ => {
                let micros = (now + SUSPECT_DURATION).as_micros() as u64;
                self.suspect_until_micros
                    .fetch_max(micros, Ordering::Relaxed);
            }
        }
    }

    /// Takes the suspicion back.
    pub(crate) fn clear_suspicion(&self) {
        self.suspect_until_micros.store(0, Ordering::Relaxed);
    }

    /// Returns this gateway's requests in progress at the instance.
    pub(crate) fn in_progress(&self) -> u32 {
        self.in_progress.load(Ordering::Relaxed)
    }

    /// Returns this gateway's requests that were sent after the last report was made.
    pub(crate) fn sent_since_report(&self) -> u32 {
        self.sent_since_report.load(Ordering::Relaxed)
    }

    /// Stores a report; what was sent before it was asked for is part of it.
    pub(crate) fn set_report(&self, report: LoadReport, sent_before: u32) {
        self.report.store(Some(Arc::new(report)));
        self.sent_since_report
            .fetch_sub(sent_before, Ordering::Relaxed);
    }

    /// Counts a request until the guard is dropped.
    pub(crate) fn begin_request(self: &Arc<Self>) -> InProgress {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        self.sent_since_report.fetch_add(1, Ordering::Relaxed);
        InProgress(Arc::clone(self))
    }
}

/// Counts one request in progress while it lives.
#[derive(Debug)]
pub(crate) struct InProgress(Arc<UpstreamState>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}
