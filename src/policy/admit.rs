//! Decides whether a request is taken, waits or is refused.

use std::time::Duration;

use crate::domain::{Priority, RefusalKind};

/// What admission looks at.
#[derive(Clone, Debug)]
pub struct AdmitRequest {
    /// Whether the account pays.
    pub priority: Priority,
    /// Requests of the account in progress at this gateway for this service.
    pub account_in_progress: u32,
    /// The account's share at this gateway, if shares were leased; nothing before the first lease.
    pub share: Option<u32>,
    /// Requests of all accounts in progress at this gateway for this service.
    pub service_in_progress: u32,
    /// This gateway's capacity for the service: the sum of its shares.
    pub service_capacity: u32,
    /// Requests of paying accounts waiting at this gateway for this service.
    pub paying_waiting: u32,
    /// Requests waiting before this one.
    pub waiting_ahead: u32,
    /// How long this request has waited.
    pub waited: Duration,
    /// Recent mean time for one request in progress to finish.
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
        /// When asking again may help.
        retry_after: Duration,
    },
}

/// Decides about one request.
pub fn decide(req: &AdmitRequest) -> Admission {
    match req.share {
        Some(share) if req.account_in_progress >= share => Admission::Refuse {
            kind: RefusalKind::OverShare,
            retry_after: req.service_time,
        },
        _ => Admission::Accept,
    }
}
