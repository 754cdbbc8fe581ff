//! Reads request bodies, limited in size and time.

use bytes::{Buf, Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use tokio::time::timeout;
use warp::http::header;

use super::routes::RequestHead;
use crate::{
    domain::{Refusal, RefusalKind},
    gateway::core::Gateway,
    ports::{Clock, Upstreams},
};

/// Reads a complete body. Refuses one that is too large, too slow or cut off.
pub(super) async fn read_body<U: Upstreams, T: Clock, B: Buf>(
    gateway: &Gateway<U, T>,
    head: &RequestHead,
    body: impl Stream<Item = Result<B, warp::Error>>,
) -> Result<Bytes, Refusal> {
    let limit = gateway.settings.limits.body_bytes;
    let content_length = head.header(header::CONTENT_LENGTH.as_str());
    let content_length: u64 = content_length
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    if content_length > limit {
        return Err(body_too_large(limit));
    }
    let body_timeout = gateway.settings.timing.caller_timeout;
    timeout(body_timeout, collect_body(body, limit))
        .await
        .map_err(|_| body_too_slow())?
}

async fn collect_body<B: Buf>(
    body: impl Stream<Item = Result<B, warp::Error>>,
    limit: u64,
) -> Result<Bytes, Refusal> {
    let mut collected = BytesMut::new();
    let mut body = std::pin::pin!(body);
    while let Some(chunk) = body.next().await {
        let mut chunk = chunk.map_err(|_| {
            Refusal::not_run(
                RefusalKind::BadRequest,
                "the body ended early; send it whole",
            )
        })?;
        if (collected.len() + chunk.remaining()) as u64 > limit {
            return Err(body_too_large(limit));
        }
        while chunk.has_remaining() {
            let part = chunk.chunk();
            collected.extend_from_slice(part);
            let length = part.len();
            chunk.advance(length);
        }
    }
    Ok(collected.freeze())
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
