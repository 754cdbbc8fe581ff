//! Refusals caused by failed or missing upstreams.

use std::time::Duration;

use crate::{
    domain::{Ran, Refusal, RefusalKind},
    ports::{Sent, UpstreamError, UpstreamErrorKind},
};

/// Retry delay for callers when no instance accepts work or the last attempt failed.
const UPSTREAM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns whether a request ran, given whether a byte of it may have reached an upstream.
pub(crate) fn ran(may_have_arrived: bool) -> Ran {
    match may_have_arrived {
        true => Ran::Unknown,
        false => Ran::No,
    }
}

/// Returns the refusal for a service without an instance that accepts work.
pub(crate) fn no_upstream() -> Refusal {
    Refusal::not_run(
        RefusalKind::NoUpstream,
        "no instance of the service takes work now; retry later",
    )
    .retry_after(UPSTREAM_RETRY_AFTER)
}

/// Returns the refusal after the last attempt has failed.
pub(crate) fn upstream_failed(e: &UpstreamError, may_have_arrived: bool) -> Refusal {
    let kind = match e.kind {
        UpstreamErrorKind::Busy | UpstreamErrorKind::Leaving => RefusalKind::Overloaded,
        _ => RefusalKind::UpstreamFailed,
    };
    let message = format!("the upstream failed ({}); ask again later", e.message);
    Refusal {
        ran: ran(may_have_arrived),
        ..Refusal::not_run(kind, message)
    }
    .retry_after(UPSTREAM_RETRY_AFTER)
}

/// Returns the error of an instance that is silent.
pub(crate) fn silence_error() -> UpstreamError {
    UpstreamError::new(
        UpstreamErrorKind::Silent,
        Sent::Maybe,
        "nothing came for too long",
    )
}
