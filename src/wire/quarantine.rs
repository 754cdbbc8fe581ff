//! What gateways report to controllers about crashes of upstreams, and what follows from it.

use std::time::Duration;

use crate::policy::quarantine::{Cause, CutOff};

/// The kind of a cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum CauseKind {
    /// Not set.
    Unknown = 0,
    /// A part of a prompt.
    Part = 1,
    /// A request that comes again.
    Request = 2,
}

/// What requests have in common that may crash upstreams.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct CauseRecord {
    /// Its kind.
    #[prost(enumeration = "CauseKind", tag = "1")]
    pub kind: i32,
    /// Hash that identifies it among those of its kind.
    #[prost(fixed64, tag = "2")]
    pub hash: u64,
}

impl From<Cause> for CauseRecord {
    fn from(cause: Cause) -> Self {
        match cause {
            Cause::Part(hash) => Self {
                kind: CauseKind::Part.into(),
                hash,
            },
            Cause::Request(hash) => Self {
                kind: CauseKind::Request.into(),
                hash,
            },
        }
    }
}

impl CauseRecord {
    /// Returns the cause, or `None` if its kind is one of a later version.
    pub fn cause(self) -> Option<Cause> {
        match self.kind() {
            CauseKind::Part => Some(Cause::Part(self.hash)),
            CauseKind::Request => Some(Cause::Request(self.hash)),
            CauseKind::Unknown => None,
        }
    }
}

/// A request that its upstream cut off.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CutOffReport {
    /// The upstream's address.
    #[prost(string, tag = "1")]
    pub upstream: String,
    /// Time since it happened, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub ago_ms: u64,
    /// Differs between any two requests, and is the same when one is sent again.
    #[prost(fixed64, tag = "3")]
    pub request: u64,
    /// What the request shares with others, the most general first.
    #[prost(message, repeated, tag = "4")]
    pub causes: Vec<CauseRecord>,
}

impl CutOffReport {
    /// Returns the cut-off request with times of the clock that shows `now`.
    pub fn cut_off(&self, now: Duration) -> CutOff {
        CutOff {
            upstream: self.upstream.as_str().into(),
            at: now.saturating_sub(Duration::from_millis(self.ago_ms)),
            request: self.request,
            causes: self.causes.iter().filter_map(|c| c.cause()).collect(),
        }
    }
}

/// A request with a suspected cause was answered.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct AnsweredCause {
    /// The cause.
    #[prost(message, optional, tag = "1")]
    pub cause: Option<CauseRecord>,
    /// Time since the last such answer, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub ago_ms: u64,
}

/// A cause whose requests are refused.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct QuarantinedCause {
    /// The cause.
    #[prost(message, optional, tag = "1")]
    pub cause: Option<CauseRecord>,
    /// Time left, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub left_ms: u64,
}

impl QuarantinedCause {
    /// Describes a cause that is in quarantine for a time.
    pub fn new(cause: Cause, left: Duration) -> Self {
        Self {
            cause: Some(cause.into()),
            left_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

/// The causes of which a controller wants to know whether requests with them are answered.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SuspectList {
    /// Changes with every change to the list. Versions can be compared for equality only.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The causes.
    #[prost(message, repeated, tag = "2")]
    pub causes: Vec<CauseRecord>,
}
