//! Reads request bodies, limited in size, time and memory. See docs/design/CALLER_MEMORY.md.

use std::{sync::Arc, time::Duration};

use bytes::{Buf, Bytes};
use futures_util::Stream;
use tokio::time::timeout;
use warp::http::header;

use super::routes::RequestHead;
use crate::{
    adapters::http::{BodyLimits, CollectError},
    domain::{AccountName, Refusal, RefusalKind},
    gateway::core::Gateway,
    policy::memory_budget::STALLED_TIME,
    ports::{Clock, Upstreams},
};

/// Retry delay while bodies fill the memory for them; those that stall give it up by then.
const NO_MEMORY_RETRY_AFTER: Duration = STALLED_TIME;

/// Reads a complete body of an account's request. Refuses one that is too large, too slow or cut off, or for which there is
/// no memory.
pub(super) async fn read_body<U: Upstreams, T: Clock, B: Buf>(
    gateway: &Gateway<U, T>,
    head: &RequestHead,
    account: &AccountName,
    body: impl Stream<Item = Result<B, warp::Error>>,
) -> Result<Bytes, Refusal> {
    let limit = gateway.settings.limits.body_bytes;
    let body_timeout = gateway.settings.timing.caller_timeout;
    let content_length = head.header(header::CONTENT_LENGTH.as_str());
    let limits = BodyLimits {
        bytes: limit,
        announced: content_length.and_then(|text| text.parse().ok()),
        account: Arc::from(account.as_str()),
        max_silence: body_timeout,
    };
    let body = timeout(body_timeout, gateway.memory.collect(body, limits)).await;
    body.map_err(|_| body_too_slow())?
        .map_err(|error| match error {
            CollectError::TooLarge => body_too_large(limit),
            CollectError::Cut => Refusal::not_run(
                RefusalKind::BadRequest,
                "the body ended early; send it whole",
            ),
            CollectError::Silent => body_too_slow(),
            CollectError::NoMemory => no_memory(),
        })
}

fn body_too_large(limit: u64) -> Refusal {
    Refusal::not_run(
        RefusalKind::TooLarge,
        format!("the body is over {limit} bytes; send a smaller one"),
    )
}

fn body_too_slow() -> Refusal {
    Refusal::not_run(
        RefusalKind::TooSlow,
        "the body came too slowly; send it again without pauses",
    )
}

fn no_memory() -> Refusal {
    let message = "the bodies of other requests hold the memory; retry later or at another address";
    Refusal::not_run(RefusalKind::Overloaded, message).retry_after(NO_MEMORY_RETRY_AFTER)
}
