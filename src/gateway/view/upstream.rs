//! This gateway's own state of one instance beyond the view, in atomics.

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

/// How long an instance is suspect after a failed exchange.
const SUSPECT_DURATION: Duration = Duration::from_secs(2);

/// A load report and the time it was made, on the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadReport {
    /// Requests running.
    pub(crate) running: u32,
    /// Requests waiting.
    pub(crate) queued: u32,
    /// Requests that the instance can serve concurrently, as reported by it.
    pub(crate) slots: u32,
    /// When the report was made, on the monotonic clock.
    pub(crate) made_at: Duration,
}

/// The prefixes that an instance has cached according to its events.
#[derive(Debug, Default)]
pub(crate) struct CachedPrefixes {
    /// The prefixes.
    pub(crate) index: PrefixIndex,
    /// The sequence number from which events are read next.
    pub(crate) next: u64,
    /// When events were last read, on the monotonic clock; `None` before the first time.
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
    /// The latest load report.
    pub(crate) report: ArcSwapOption<LoadReport>,
    /// The prefixes known from its cache events.
    pub(crate) cache: ArcSwap<CachedPrefixes>,
}

impl UpstreamState {
    /// Returns whether the instance is known to be leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.is_cancelled()
    }

    /// Marks the instance as leaving, which is final.
    pub(crate) fn mark_leaving(&self) {
        self.leaving.cancel();
    }

    /// Returns a token that is cancelled once the instance is known to be leaving.
    pub(crate) fn leaving(&self) -> &CancellationToken {
        &self.leaving
    }

    /// Marks the instance as leaving and sets when it is reclaimed, on the monotonic clock.
    pub(crate) fn set_reclaimed_at(&self, at: Duration) {
        self.reclaimed_at_micros
            .store(at.as_micros() as u64, Ordering::Relaxed);
        self.mark_leaving();
    }

    /// Returns when the instance is reclaimed, on the monotonic clock, if there was a notice.
    pub(crate) fn reclaimed_at(&self) -> Option<Duration> {
        let micros = self.reclaimed_at_micros.load(Ordering::Relaxed);
        (micros > 0).then(|| Duration::from_micros(micros))
    }

    /// Returns true on the first call only, so that leaving is logged and announced once.
    pub(crate) fn mark_announced(&self) -> bool {
        !self.announced.swap(true, Ordering::Relaxed)
    }

    /// Marks a poll as running; returns false if one is running already.
    pub(crate) fn try_begin_poll(&self) -> bool {
        !self.polling.swap(true, Ordering::AcqRel)
    }

    /// Ends the running poll.
    pub(crate) fn end_poll(&self) {
        self.polling.store(false, Ordering::Release);
    }

    /// Returns whether an exchange with the instance failed recently.
    pub(crate) fn is_suspect(&self, now: Duration) -> bool {
        now < Duration::from_micros(self.suspect_until_micros.load(Ordering::Relaxed))
    }

    /// Records a failed exchange. An instance that reports its own leaving is marked as leaving,
    /// which is final. Other failures make it suspect for a while, except when it was busy or
    /// rejected the request.
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

    /// Clears the suspicion after a successful exchange.
    pub(crate) fn clear_suspicion(&self) {
        self.suspect_until_micros.store(0, Ordering::Relaxed);
    }

    /// Returns the number of this gateway's requests in progress at the instance.
    pub(crate) fn in_progress(&self) -> u32 {
        self.in_progress.load(Ordering::Relaxed)
    }

    /// Returns the number of this gateway's requests sent since the latest report.
    pub(crate) fn sent_since_report(&self) -> u32 {
        self.sent_since_report.load(Ordering::Relaxed)
    }

    /// Stores a report. Requests sent before the report was requested are included in it and no
    /// longer counted separately.
    pub(crate) fn set_report(&self, report: LoadReport, sent_before: u32) {
        self.report.store(Some(Arc::new(report)));
        self.sent_since_report
            .fetch_sub(sent_before, Ordering::Relaxed);
    }

    /// Counts a request as in progress until the guard is dropped.
    pub(crate) fn begin_request(self: &Arc<Self>) -> InProgress {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        self.sent_since_report.fetch_add(1, Ordering::Relaxed);
        InProgress(Arc::clone(self))
    }
}

/// Counts one request in progress at an instance until it is dropped.
#[derive(Debug)]
pub(crate) struct InProgress(Arc<UpstreamState>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}
