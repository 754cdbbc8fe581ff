//! Refusals of requests, each of which tells the caller whether the request may have run.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a refused or failed request ran on an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// No byte of the request can have reached an upstream.
    No,
    /// An upstream executed it.
    Yes,
    /// It may have reached an upstream, but no answer arrived.
    Unknown,
}

/// The machine-readable kind of a refusal; the HTTP status follows from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalKind {
    /// The request is malformed.
    BadRequest,
    /// No account has this bearer token.
    Unauthorized,
    /// The path, model, service or request does not exist.
    NotFound,
    /// The method does not fit the path.
    MethodNotAllowed,
    /// The head, body or prompt exceeds its limit.
    TooLarge,
    /// The request arrived too slowly.
    TooSlow,
    /// A non-idempotent call has no `Idempotency-Key`.
    KeyRequired,
    /// The key is older than the retention window.
    KeyExpired,
    /// The key was already used for another body.
    KeyConflict,
    /// The call of this key is still running.
    InProgress,
    /// The account's whole share of capacity is in use.
    OverShare,
    /// The request cannot meet its deadline.
    Overloaded,
    /// The gateway is shutting down or being reclaimed.
    Leaving,
    /// The gateway's view lease has expired.
    NoLease,
    /// No instance of the service is live.
    NoUpstream,
    /// The quorum did not answer in time.
    NoQuorum,
    /// The upstream failed or stopped answering.
    UpstreamFailed,
    /// The deadline passed.
    DeadlineExceeded,
}

impl RefusalKind {
    /// All kinds, in the order of their declaration.
    pub const ALL: [Self; 18] = [
        Self::BadRequest,
        Self::Unauthorized,
        Self::NotFound,
        Self::MethodNotAllowed,
        Self::TooLarge,
        Self::TooSlow,
        Self::KeyRequired,
        Self::KeyExpired,
        Self::KeyConflict,
        Self::InProgress,
        Self::OverShare,
        Self::Overloaded,
        Self::Leaving,
        Self::NoLease,
        Self::NoUpstream,
        Self::NoQuorum,
        Self::UpstreamFailed,
        Self::DeadlineExceeded,
    ];

    /// Returns the name of the kind in answers and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::Unauthorized => "unauthorized",
            Self::NotFound => "not_found",
            Self::MethodNotAllowed => "method_not_allowed",
            Self::TooLarge => "too_large",
            Self::TooSlow => "too_slow",
            Self::KeyRequired => "key_required",
            Self::KeyExpired => "key_expired",
            Self::KeyConflict => "key_conflict",
            Self::InProgress => "in_progress",
            Self::OverShare => "over_share",
            Self::Overloaded => "overloaded",
            Self::Leaving => "leaving",
            Self::NoLease => "no_lease",
            Self::NoUpstream => "no_upstream",
            Self::NoQuorum => "no_quorum",
            Self::UpstreamFailed => "upstream_failed",
            Self::DeadlineExceeded => "deadline_exceeded",
        }
    }

    /// Returns the HTTP status code.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::KeyRequired => 400,
            Self::Unauthorized => 401,
            Self::NotFound => 404,
            Self::MethodNotAllowed => 405,
            Self::TooSlow => 408,
            Self::KeyConflict | Self::InProgress => 409,
            Self::KeyExpired => 410,
            Self::TooLarge => 413,
            Self::OverShare => 429,
            Self::UpstreamFailed => 502,
            Self::Overloaded
            | Self::Leaving
            | Self::NoLease
            | Self::NoUpstream
            | Self::NoQuorum => 503,
            Self::DeadlineExceeded => 504,
        }
    }
}

/// A final answer to a request that was not served. It is sent immediately.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct Refusal {
    /// The machine-readable kind.
    pub kind: RefusalKind,
    /// Whether the request ran.
    pub ran: Ran,
    /// What happened and what the caller can do.
    pub message: String,
    /// Time after which a retry may succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Makes a refusal of a request that did not run.
    pub fn not_run(kind: RefusalKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            ran: Ran::No,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Makes a refusal of a request that may have run.
    pub fn unknown(kind: RefusalKind, message: impl Into<String>) -> Self {
        Self {
            ran: Ran::Unknown,
            ..Self::not_run(kind, message)
        }
    }

    /// Sets the time after which a retry may succeed.
    pub fn retry_after(self, delay: Duration) -> Self {
        Self {
            retry_after: Some(delay),
            ..self
        }
    }
}
