//! Answers of the gateway's own.
//!
//! The statuses 408, 421, 429 and 503 promise a caller that its request has not run and never will. They
//! are made here only, from a [`NotRun`], which an attempt that may have run cannot be turned into.

use std::time::Duration;

use hyper::{Response, StatusCode};

use super::relay::Relay;
use crate::ports::Platform;

/// Why a request has not run, and never will under this attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NotRun {
    /// No table of routes has arrived yet.
    NoTable,
    /// The body did not arrive in time.
    BodySlow,
    /// The account has used its quota.
    OverQuota(Duration),
    /// The requests before it wait too long already.
    Overloaded(Duration),
    /// All upstreams of the service asked for a pause; the first one ends then.
    Paused(Duration),
    /// No upstream of the service is there.
    NoUpstream,
    /// The upstreams say that they are full or leaving.
    Busy,
    /// No upstream could be connected to.
    Unreachable,
    /// The time was over before it was sent.
    TooLate,
}

/// Time after which a caller may come back to other upstreams, or to the same ones with room.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Time after which the gateways know routes and upstreams again when all controllers were started
/// anew: an election and a reading of the list.
const RECOVERY_RETRY_AFTER: Duration = Duration::from_millis(1000);

impl NotRun {
    fn status(self) -> StatusCode {
        match self {
            Self::BodySlow => StatusCode::REQUEST_TIMEOUT,
            Self::OverQuota(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::NoTable
            | Self::Overloaded(_)
            | Self::Paused(_)
            | Self::NoUpstream
            | Self::Busy
            | Self::Unreachable
            | Self::TooLate => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Overloaded(after) | Self::Paused(after) => Some(after),
            Self::OverQuota(after) => Some(after.max(BUSY_RETRY_AFTER)),
            Self::NoTable | Self::NoUpstream => Some(RECOVERY_RETRY_AFTER),
            Self::Busy | Self::Unreachable => Some(BUSY_RETRY_AFTER),
            Self::BodySlow | Self::TooLate => None,
        }
    }
}

/// A final answer that promises nothing about whether the request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// No route matches.
    NoRoute,
    /// No account holds the key.
    UnknownKey,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The body broke off.
    BodyCut,
    /// The request was sent, and how it error is not known.
    Unclear,
    /// The request was sent, and the answer did not come in time.
    Unanswered,
}

impl Failure {
    fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyCut => StatusCode::BAD_REQUEST,
            Self::Unclear => StatusCode::BAD_GATEWAY,
            Self::Unanswered => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// How a request error without an upstream's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestError {
    /// It has not run.
    NotRun(NotRun),
    /// It may have run, or is not a request that could run.
    Failed(Failure),
}

impl From<NotRun> for RequestError {
    fn from(reason: NotRun) -> Self {
        Self::NotRun(reason)
    }
}

impl From<Failure> for RequestError {
    fn from(failure: Failure) -> Self {
        Self::Failed(failure)
    }
}

/// Makes the answer.
pub(super) fn error_response(
    platform: &impl Platform,
    id: &str,
    error: RequestError,
) -> Response<Relay> {
    let (status, retry_after) = match error {
        RequestError::NotRun(reason) => (reason.status(), reason.retry_after()),
        RequestError::Failed(failure) => (failure.status(), None),
    };
    let mut res = Response::new(Relay::empty());
    *res.status_mut() = status;
    platform.mark_refusal(res.headers_mut(), id, retry_after);
    res
}
