//! Admission control: decides whether a request is dispatched, queued or refused.
//!
//! A request that cannot get its first token in time is refused at once, so that the caller can
//! turn elsewhere. An account above its share borrows what the others leave unused, but yields to
//! waiting requests of accounts in its tier that are below their shares. Free work borrows too, but
//! leaves a reserve, never goes before waiting paying work, and is preempted, to be resumed later,
//! when paying work lacks a slot. See docs/DECISIONS.md, "Admission".

use std::time::Duration;

use crate::domain::{Priority, RefusalKind};

/// Concurrent requests that a gateway admits for a service before capacity has been leased to it.
pub const UNLEASED_SLOTS: u32 = 4;

/// One slot in this many is kept free of free work, for the next paying request.
const SLOTS_PER_RESERVED_SLOT: u32 = 8;

/// One slot in this many is not lent to free accounts above their shares.
const SLOTS_PER_UNLENT_SLOT: u32 = 4;

/// Shortest retry delay given to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Time that a cancelled free request takes at most to release its slot.
const PREEMPTION_TIME: Duration = Duration::from_millis(50);

/// Input of an admission decision.
#[derive(Clone, Debug)]
pub struct AdmitRequest {
    /// Whether the account pays.
    pub priority: Priority,
    /// Requests of the account in progress at this gateway for this service.
    pub account_in_progress: u32,
    /// The account's share of slots at this gateway; `None` before the first lease.
    pub share: Option<u32>,
    /// Requests of all accounts in progress at this gateway for this service.
    pub service_in_progress: u32,
    /// Requests among them that belong to free accounts and may be preempted, to be resumed later.
    pub free_in_progress: u32,
    /// This gateway's capacity for the service: the sum of its shares.
    pub service_capacity: u32,
    /// Requests of paying accounts waiting at this gateway for this service.
    pub paying_waiting: u32,
    /// Requests waiting before this one.
    pub waiting_ahead: u32,
    /// Other waiting requests of the same priority, at this gateway and for this service, whose
    /// accounts are below their shares.
    pub under_share_waiting: u32,
    /// Time that this request has waited.
    pub waited: Duration,
    /// Recent mean time that a request stays in progress.
    pub service_time: Duration,
    /// Time left until the first token is due.
    pub until_due: Duration,
}

/// The decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Dispatch now.
    Accept,
    /// Wait in the queue and ask again when a request ends.
    Wait,
    /// Refuse now.
    Refuse {
        /// The kind.
        kind: RefusalKind,
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
}

/// Decides whether to admit one request.
pub fn decide(req: &AdmitRequest) -> Admission {
    match req.priority {
        Priority::Paying => decide_paying(req),
        Priority::Free => decide_free(req),
    }
}

/// Returns whether a free request in progress should be preempted for this paying request, which
/// waits only for lack of a slot.
pub fn should_preempt(req: &AdmitRequest) -> bool {
    let is_next = is_below_share(req) || req.under_share_waiting == 0;
    req.priority == Priority::Paying && is_full(req) && is_next && req.free_in_progress > 0
}

/// Returns how many free requests to preempt after a gateway's capacity shrank in favour of paying
/// work at another gateway.
pub fn excess_free(capacity: u32, in_progress: u32, free_in_progress: u32) -> u32 {
    in_progress.saturating_sub(capacity).min(free_in_progress)
}

fn decide_paying(req: &AdmitRequest) -> Admission {
    let below_share = is_below_share(req);
    if !is_full(req) && (below_share || req.under_share_waiting == 0) {
        return Admission::Accept;
    }
    let (ahead, kind) = if below_share {
        let ahead = req.waiting_ahead.min(req.under_share_waiting);
        (ahead, RefusalKind::Overloaded)
    } else {
        let ahead = req.waiting_ahead.max(req.under_share_waiting);
        (ahead, RefusalKind::OverShare)
    };
    let can_preempt = ahead < req.free_in_progress;
    if can_preempt && PREEMPTION_TIME < req.until_due {
        return Admission::Wait;
    }
    // A request above its share would wait behind every request below its share, however many
    // arrive.
    if !below_share && req.under_share_waiting > 0 {
        return refuse(req, ahead, kind);
    }
    wait_or_refuse(req, ahead, kind)
}

fn decide_free(req: &AdmitRequest) -> Admission {
    if req.paying_waiting > 0 {
        return refuse(req, req.waiting_ahead, RefusalKind::Overloaded);
    }
    let below_share = is_below_share(req);
    let slots_per_reserved_slot = if below_share {
        SLOTS_PER_RESERVED_SLOT
    } else {
        SLOTS_PER_UNLENT_SLOT
    };
    let reserve = capacity(req) / slots_per_reserved_slot;
    let has_spare_slot = req.service_in_progress + reserve < capacity(req);
    // An account with a share of zero may not borrow: paying work needs the whole capacity, here or
    // at other gateways.
    let may_borrow = req.share != Some(0) && req.under_share_waiting == 0;
    if has_spare_slot && (below_share || may_borrow) {
        return Admission::Accept;
    }
    if below_share {
        return wait_or_refuse(req, req.waiting_ahead, RefusalKind::Overloaded);
    }
    refuse(req, req.waiting_ahead, RefusalKind::OverShare)
}

/// Returns the gateway's capacity, or a small constant before the first lease.
fn capacity(req: &AdmitRequest) -> u32 {
    match (req.share, req.service_capacity) {
        (None, 0) => UNLEASED_SLOTS,
        (_, capacity) => capacity,
    }
}

fn is_full(req: &AdmitRequest) -> bool {
    req.service_in_progress >= capacity(req)
}

fn is_below_share(req: &AdmitRequest) -> bool {
    let share = match (req.share, req.service_capacity) {
        (Some(share), _) => share,
        (None, 0) => UNLEASED_SLOTS,
        (None, _) => 0,
    };
    req.account_in_progress < share
}

fn wait_or_refuse(req: &AdmitRequest, ahead: u32, kind: RefusalKind) -> Admission {
    if expected_wait(req, ahead) < req.until_due {
        Admission::Wait
    } else {
        refuse(req, ahead, kind)
    }
}

fn refuse(req: &AdmitRequest, ahead: u32, kind: RefusalKind) -> Admission {
    Admission::Refuse {
        kind,
        retry_after: expected_wait(req, ahead).max(MIN_RETRY_AFTER),
    }
}

/// Estimates the wait for a slot: with all slots in use, one is released every `service_time /
/// capacity`.
fn expected_wait(req: &AdmitRequest, ahead: u32) -> Duration {
    req.service_time / capacity(req).max(1) * (ahead + 1)
}
