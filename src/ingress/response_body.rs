//! The body of an upstream's response, which begins before its head goes to the caller.

use std::{
    collections::VecDeque,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::timeout;

/// Longest body that is read whole before its head goes to the caller, in bytes.
const MAX_HELD_BYTES: u64 = 64 * 1024;
/// Time that the head of a response waits for its body.
const MAX_HEAD_DELAY: Duration = Duration::from_millis(100);

/// A body whose first frames may have been read already.
#[derive(Debug)]
pub(super) struct ResponseBody {
    held: VecDeque<Frame<Bytes>>,
    rest: Incoming,
    is_read: bool,
}

impl ResponseBody {
    /// Waits a short time for the first frame of a body, or for all of a short one of known length. A body that breaks off
    /// meanwhile has not reached the caller, so another response can take its place.
    ///
    /// # Errors
    ///
    /// Fails if the body breaks off.
    pub(super) async fn begin(rest: Incoming) -> hyper::Result<Self> {
        let is_short = rest
            .size_hint()
            .exact()
            .is_some_and(|bytes| bytes <= MAX_HELD_BYTES);
        let mut body = Self {
            held: VecDeque::new(),
            rest,
            is_read: false,
        };
        match timeout(MAX_HEAD_DELAY, body.hold(is_short)).await {
            Ok(result) => result.map(|()| body),
            Err(_) => Ok(body),
        }
    }

    async fn hold(&mut self, is_short: bool) -> hyper::Result<()> {
        while !self.rest.is_end_stream() {
            let Some(frame) = self.rest.frame().await else {
                self.is_read = true;
                return Ok(());
            };
            self.held.push_back(frame?);
            if !is_short {
                return Ok(());
            }
        }
        self.is_read = true;
        Ok(())
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<hyper::Result<Frame<Bytes>>>> {
        if let Some(frame) = self.held.pop_front() {
            return Poll::Ready(Some(Ok(frame)));
        }
        if self.is_read {
            return Poll::Ready(None);
        }
        Pin::new(&mut self.rest).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.held.is_empty() && (self.is_read || self.rest.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        let held = self.held.iter().filter_map(Frame::data_ref);
        let held = held.map(|data| data.len() as u64).sum::<u64>();
        let rest = self.rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(held + rest.lower());
        if let Some(upper) = rest.upper() {
            hint.set_upper(held + upper);
        }
        hint
    }
}
