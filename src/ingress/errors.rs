//! Error responses that the gateway generates itself.
//!
//! The statuses 408, 421, 429 and 503 promise the caller that its request has not run and never will. They
//! are generated only here, from a [`NotRun`], into which an attempt that may have run cannot be converted.

use std::time::Duration;

use hyper::{Response, StatusCode};

use super::relay::Relay;
use crate::{policy::memory_budget::STALLED_TIME, ports::Platform};

/// Why a request has not run, with the guarantee that it never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NotRun {
    /// No route table has arrived yet.
    NoTable,
    /// The request body did not arrive in time.
    BodySlow,
    /// The bodies of other requests hold the memory for them.
    NoMemory,
    /// The account has used up its quota; it may retry after the duration.
    OverQuota(Duration),
    /// The service is overloaded: queued requests already wait too long. The caller may retry after the
    /// duration.
    Overloaded(Duration),
    /// The service has too little room, and the account asks for more than its fair share. The caller may retry
    /// after the duration.
    OverShare(Duration),
    /// The service has so little room that the answer could not begin before the deadline. The caller may retry
    /// after the duration.
    Hopeless(Duration),
    /// All upstreams of the service asked for a pause; the first pause ends after the duration.
    Paused(Duration),
    /// All upstreams of the service limit their requests or asked for a pause; the first one accepts a request
    /// of this gateway after the duration.
    Limited(Duration),
    /// Upstreams crash under requests that have something in common with this one.
    Quarantined,
    /// The caller resumes a stream, and which software version began it is not known.
    UnknownOrigin,
    /// The service has no usable upstream.
    NoUpstream,
    /// The upstreams report that they are full or draining, or the retry budget is exhausted.
    Busy,
    /// No connection to an upstream could be opened.
    Unreachable,
    /// The deadline passed before the request was sent.
    TooLate,
    /// This gateway is shutting down and may end before the request; the caller may retry after the duration.
    Leaving(Duration),
}

/// Retry delay for callers when the upstreams are full or unreachable, or when the origin of a stream is not known; by
/// then others may be chosen, the same ones may have capacity again, or more controllers may have answered.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Retry delay while routes or upstreams are unknown: after a restart of all controllers it takes an
/// election and one read of the instance list until gateways know them again.
const RECOVERY_RETRY_AFTER: Duration = Duration::from_millis(1000);

/// Retry delay while bodies fill the memory for them; those that stall give it up by then.
const NO_MEMORY_RETRY_AFTER: Duration = STALLED_TIME;

/// Longest retry delay for callers when upstreams limit their requests; another gateway may send one to them
/// sooner, and the limits may end.
const MAX_LIMITED_RETRY_AFTER: Duration = Duration::from_secs(2);

impl NotRun {
    fn status(self) -> StatusCode {
        match self {
            Self::BodySlow => StatusCode::REQUEST_TIMEOUT,
            Self::OverQuota(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::NoTable
            | Self::NoMemory
            | Self::Overloaded(_)
            | Self::OverShare(_)
            | Self::Hopeless(_)
            | Self::Paused(_)
            | Self::Limited(_)
            | Self::Quarantined
            | Self::UnknownOrigin
            | Self::NoUpstream
            | Self::Busy
            | Self::Unreachable
            | Self::TooLate
            | Self::Leaving(_) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Overloaded(after)
            | Self::OverShare(after)
            | Self::Hopeless(after)
            | Self::Paused(after)
            | Self::Leaving(after) => Some(after),
            Self::OverQuota(after) => Some(after.max(BUSY_RETRY_AFTER)),
            Self::Limited(after) => Some(after.clamp(BUSY_RETRY_AFTER, MAX_LIMITED_RETRY_AFTER)),
            Self::NoTable | Self::NoUpstream => Some(RECOVERY_RETRY_AFTER),
            Self::NoMemory => Some(NO_MEMORY_RETRY_AFTER),
            Self::UnknownOrigin | Self::Busy | Self::Unreachable => Some(BUSY_RETRY_AFTER),
            Self::BodySlow | Self::TooLate | Self::Quarantined => None,
        }
    }
}

/// A final error that does not promise that the request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// No route matches.
    NoRoute,
    /// No account has the API key.
    UnknownKey,
    /// The request body exceeds the size limit.
    BodyTooLarge,
    /// The request body ended prematurely.
    BodyCut,
    /// The request was sent, and whether it ran is unknown.
    Unclear,
    /// The request was sent, and no response arrived in time.
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

/// Why a request ended without an upstream's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestError {
    /// The request has not run.
    NotRun(NotRun),
    /// The request may have run, or is one that could never run.
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

/// Builds the error response, with a `Retry-After` where one is known.
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
