//! Reads the body of a caller's request under the gateway's budget of memory. See docs/design/CALLER_MEMORY.md.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyDataStream;
use hyper::body::Body;
use tokio::time::{Instant, timeout_at};

use super::{
    Core,
    errors::{Failure, NotRun, RequestError},
};
use crate::{
    adapters::http::{BodyLimits, CallerBody, CollectError},
    domain::{AccountName, CallerLimits},
};

/// Reads a whole body. No byte of it goes to an upstream before.
pub(super) async fn read<P, T>(
    core: &Core<P, T>,
    body: CallerBody,
    limits: &CallerLimits,
    account: Option<&AccountName>,
    deadline: Instant,
) -> Result<Bytes, RequestError> {
    let limits = BodyLimits {
        bytes: limits.body_bytes as u64,
        announced: body.size_hint().exact(),
        account: account.map_or_else(Arc::default, |account| Arc::from(account.as_str())),
        max_silence: limits.idle_timeout,
    };
    let body = core.memory.collect(BodyDataStream::new(body), limits);
    let body = timeout_at(deadline, body).await;
    body.map_err(|_| NotRun::BodySlow)?
        .map_err(|error| match error {
            CollectError::TooLarge => Failure::BodyTooLarge.into(),
            CollectError::Cut => Failure::BodyCut.into(),
            CollectError::Silent => NotRun::BodySlow.into(),
            CollectError::NoMemory => NotRun::NoMemory.into(),
        })
}
