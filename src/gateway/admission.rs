//! Admission control: counts requests by service and account and decides about each with
//! `policy::admit`. The counters are atomics; a request that must wait goes to the service's queue.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{sync::Notify, time::Instant};

use crate::{
    domain::Priority,
    policy::admit::{self, Admission, AdmitRequest},
};

/// Marks an account without a leased share.
const NO_SHARE: u32 = u32::MAX;

/// Divisor that weights the newest request in the exponential moving average of the service time.
const SERVICE_TIME_EMA_DIVISOR: u64 = 8;

/// Assumed service time before the first request has ended.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(500);

/// The requests of one account for one service.
#[derive(Debug)]
pub(crate) struct AccountUsage {
    in_progress: AtomicU32,
    waiting: AtomicU32,
    refused: AtomicU32,
    share: AtomicU32,
}

impl Default for AccountUsage {
    fn default() -> Self {
        Self {
            in_progress: AtomicU32::default(),
            waiting: AtomicU32::default(),
            refused: AtomicU32::default(),
            share: AtomicU32::new(NO_SHARE),
        }
    }
}

impl AccountUsage {
    /// Sets the account's share in slots, or `None` before shares are leased.
    pub(crate) fn set_share(&self, share: Option<u32>) {
        self.share
            .store(share.unwrap_or(NO_SHARE), Ordering::Relaxed);
    }

    fn share(&self) -> Option<u32> {
        let share = self.share.load(Ordering::Relaxed);
        (share != NO_SHARE).then_some(share)
    }

    /// Returns the number of requests in progress, and of those that wait or were refused since the
    /// last call.
    pub(crate) fn take_demand(&self) -> (u32, u32) {
        let refused = self.refused.swap(0, Ordering::Relaxed);
        let waiting = self.waiting.load(Ordering::Relaxed);
        let running = self.in_progress.load(Ordering::Relaxed);
        (running, waiting + refused)
    }
}

/// The requests of all accounts for one service.
#[derive(Debug)]
pub(crate) struct ServiceUsage {
    in_progress: AtomicU32,
    free_in_progress: AtomicU32,
    waiting: AtomicU32,
    paying_waiting: AtomicU32,
    capacity: AtomicU32,
    service_time_micros: AtomicU64,
    /// Wakes the queue when a request ends or the capacity changes.
    pub(super) capacity_changed: Notify,
    /// Asks one free stream to give its slot to a paying request.
    pub(super) preempt: Notify,
}

impl Default for ServiceUsage {
    fn default() -> Self {
        let micros = INITIAL_SERVICE_TIME.as_micros() as u64;
        Self {
            in_progress: AtomicU32::default(),
            free_in_progress: AtomicU32::default(),
            waiting: AtomicU32::default(),
            paying_waiting: AtomicU32::default(),
            capacity: AtomicU32::default(),
            service_time_micros: AtomicU64::new(micros),
            capacity_changed: Notify::new(),
            preempt: Notify::new(),
        }
    }
}

impl ServiceUsage {
    /// Sets this gateway's capacity for the service, in slots, and wakes the queue. If the capacity
    /// shrank below the requests in progress, free streams beyond it are asked to yield.
    pub(crate) fn set_capacity(&self, slots: u32) {
        self.capacity.store(slots, Ordering::Relaxed);
        self.capacity_changed.notify_one();
        let in_progress = self.in_progress.load(Ordering::Relaxed);
        let free = self.free_in_progress.load(Ordering::Relaxed);
        for _ in 0..admit::excess_free(slots, in_progress, free) {
            self.preempt.notify_one();
        }
    }

    /// Returns the number of waiting requests.
    pub(crate) fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Returns whether a free stream should give up its slot now.
    pub(crate) fn needs_preemption(&self) -> bool {
        let in_progress = self.in_progress.load(Ordering::Relaxed);
        let capacity = self.capacity.load(Ordering::Relaxed);
        let paying_waits = self.paying_waiting.load(Ordering::Relaxed) > 0;
        in_progress > capacity || (in_progress == capacity && paying_waits)
    }

    fn service_time(&self) -> Duration {
        Duration::from_micros(self.service_time_micros.load(Ordering::Relaxed))
    }

    fn update_service_time(&self, taken: Duration) {
        let mean = self.service_time_micros.load(Ordering::Relaxed);
        let taken = taken.as_micros() as u64;
        let next = mean - mean / SERVICE_TIME_EMA_DIVISOR + taken / SERVICE_TIME_EMA_DIVISOR;
        // A concurrent update may be lost, which does no harm to an average.
        self.service_time_micros.store(next, Ordering::Relaxed);
    }
}

/// The position of a request in the queue.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct QueuePosition {
    /// Waiting requests ahead of it.
    pub(crate) ahead: u32,
    /// Other waiting requests of its priority whose accounts are below their shares.
    pub(crate) under_share: u32,
}

/// A request that asks for admission.
#[derive(Clone, Debug)]
pub(crate) struct AdmissionRequest {
    /// Counters of the service.
    pub(crate) service: Arc<ServiceUsage>,
    /// Counters of the account for this service.
    pub(crate) account: Arc<AccountUsage>,
    /// Priority of the account.
    pub(crate) priority: Priority,
    /// When the request arrived.
    pub(crate) arrived: Instant,
    /// When its first token is due; a request that still waits then is refused.
    pub(crate) due: Instant,
}

/// A slot of the service, released on drop.
#[derive(Debug)]
pub(crate) struct Permit {
    request: AdmissionRequest,
    admitted_at: Instant,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let service = &self.request.service;
        service.update_service_time(self.admitted_at.elapsed());
        self.request
            .account
            .in_progress
            .fetch_sub(1, Ordering::AcqRel);
        if self.request.priority == Priority::Free {
            service.free_in_progress.fetch_sub(1, Ordering::AcqRel);
        }
        service.in_progress.fetch_sub(1, Ordering::AcqRel);
        service.capacity_changed.notify_one();
    }
}

/// The result of an admission decision.
#[derive(Debug)]
pub(crate) enum AdmissionOutcome {
    /// The request is admitted.
    Accepted(Permit),
    /// The request must wait.
    Wait,
    /// The request is refused, with the time after which the caller may retry.
    Refused(crate::domain::RefusalKind, Duration),
}

impl AdmissionRequest {
    /// Decides on the current counters. They are incremented by compare-and-set from the values
    /// that the decision was made on; if another request has changed them meanwhile, the decision
    /// is repeated.
    pub(crate) fn decide(&self, position: QueuePosition) -> AdmissionOutcome {
        loop {
            let service_before = self.service.in_progress.load(Ordering::Acquire);
            let account_before = self.account.in_progress.load(Ordering::Acquire);
            match admit::decide(&self.policy_request(service_before, account_before, position)) {
                Admission::Accept => {
                    if let Some(permit) = self.try_acquire(service_before, account_before) {
                        return AdmissionOutcome::Accepted(permit);
                    }
                }
                Admission::Wait => return AdmissionOutcome::Wait,
                Admission::Refuse { kind, retry_after } => {
                    self.account.refused.fetch_add(1, Ordering::Relaxed);
                    return AdmissionOutcome::Refused(kind, retry_after);
                }
            }
        }
    }

    fn policy_request(&self, service: u32, account: u32, position: QueuePosition) -> AdmitRequest {
        AdmitRequest {
            priority: self.priority,
            account_in_progress: account,
            share: self.account.share(),
            service_in_progress: service,
            free_in_progress: self.service.free_in_progress.load(Ordering::Relaxed),
            service_capacity: self.service.capacity.load(Ordering::Relaxed),
            paying_waiting: self.service.paying_waiting.load(Ordering::Relaxed),
            waiting_ahead: position.ahead,
            under_share_waiting: position.under_share,
            waited: self.arrived.elapsed(),
            service_time: self.service.service_time(),
            until_due: self.due.saturating_duration_since(Instant::now()),
        }
    }

    /// Admits a request that another gateway has accepted, without a check: its capacity was leased
    /// there, and it can no longer be refused.
    pub(crate) fn admit_taken_over(&self) -> Permit {
        self.service.in_progress.fetch_add(1, Ordering::AcqRel);
        self.account.in_progress.fetch_add(1, Ordering::AcqRel);
        self.new_permit()
    }

    fn try_acquire(&self, service: u32, account: u32) -> Option<Permit> {
        try_increment(&self.service.in_progress, service)?;
        if try_increment(&self.account.in_progress, account).is_none() {
            self.service.in_progress.fetch_sub(1, Ordering::AcqRel);
            return None;
        }
        Some(self.new_permit())
    }

    fn new_permit(&self) -> Permit {
        if self.priority == Priority::Free {
            self.service.free_in_progress.fetch_add(1, Ordering::AcqRel);
        }
        Permit {
            request: self.clone(),
            admitted_at: Instant::now(),
        }
    }

    /// Counts the request as waiting.
    pub(super) fn begin_waiting(&self) {
        self.service.waiting.fetch_add(1, Ordering::Relaxed);
        self.account.waiting.fetch_add(1, Ordering::Relaxed);
        if self.priority == Priority::Paying {
            self.service.paying_waiting.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Stops counting the request as waiting.
    pub(super) fn end_waiting(&self) {
        self.service.waiting.fetch_sub(1, Ordering::Relaxed);
        self.account.waiting.fetch_sub(1, Ordering::Relaxed);
        if self.priority == Priority::Paying {
            self.service.paying_waiting.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Returns whether the account is below its share.
    pub(super) fn is_below_share(&self) -> bool {
        let in_progress = self.account.in_progress.load(Ordering::Relaxed);
        self.account
            .share()
            .is_some_and(|share| in_progress < share)
    }

    /// Asks a free stream to yield its slot, if that would admit this request.
    pub(super) fn request_preemption(&self, position: QueuePosition) {
        let service = self.service.in_progress.load(Ordering::Relaxed);
        let account = self.account.in_progress.load(Ordering::Relaxed);
        let free = self.service.free_in_progress.load(Ordering::Relaxed);
        if free > 0 && admit::should_preempt(&self.policy_request(service, account, position)) {
            self.service.preempt.notify_one();
        }
    }
}

fn try_increment(counter: &AtomicU32, from: u32) -> Option<u32> {
    counter
        .compare_exchange(from, from + 1, Ordering::AcqRel, Ordering::Acquire)
        .ok()
}
