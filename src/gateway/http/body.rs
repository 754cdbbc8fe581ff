//! Reads bodies within their limits of size and time.

use bytes::{Buf, Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use tokio::time::timeout;
use warp::http::header;

use super::routes::Head;
use crate::{
    domain::{Refusal, RefusalKind},
    gateway::core::Gateway,
    ports::{Clock, Upstreams},
};

/// Reads a body whole.
pub(super) async fn read<U: Upstreams, T: Clock, B: Buf>(
    gateway: &Gateway<U, T>,
    head: &Head,
    body: impl Stream<Item = Result<B, warp::Error>>,
) -> Result<Bytes, Refusal> {
    let limit = gateway.settings.limits.body_bytes;
    let announced = head.header(header::CONTENT_LENGTH.as_str());
    let announced: u64 = announced.and_then(|text| text.parse().ok()).unwrap_or(0);
    if announced > limit {
        return Err(too_large(limit));
    }
    let patience = gateway.settings.timing.caller_timeout;
    timeout(patience, collect(body, limit))
        .await
        .map_err(|_| too_slow())?
}

async fn collect<B: Buf>(
    body: impl Stream<Item = Result<B, warp::Error>>,
    limit: u64,
) -> Result<Bytes, Refusal> {
    let mut whole = BytesMut::new();
    let mut body = std::pin::pin!(body);
    while let Some(chunk) = body.next().await {
        let mut chunk = chunk.map_err(|_| {
            Refusal::not_run(
                RefusalKind::BadRequest,
                "the body ended early; send it whole",
            )
        })?;
        if (whole.len() + chunk.remaining()) as u64 > limit {
            return Err(too_large(limit));
        }
        while chunk.has_remaining() {
            let part = chunk.chunk();
            whole.extend_from_slice(part);
            let length = part.len();
            chunk.advance(length);
        }
    }
    Ok(whole.freeze())
}

fn too_large(limit: u64) -> Refusal {
    Refusal::not_run(
        RefusalKind::TooLarge,
        format!("the body is over {limit} bytes; send a smaller one"),
    )
}

fn too_slow() -> Refusal {
    Refusal::not_run(
        RefusalKind::TooSlow,
        "the body came too slowly; send it again without pauses",
    )
}
