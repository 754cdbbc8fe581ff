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
use tokio::time::{Instant, timeout_at};

use super::events::has_event_end;

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

/// How much of a body is there when it begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Beginning {
    /// The first frame, or all of a short body of known length.
    Frame,
    /// The first frame that completes an event.
    Event,
}

/// Why a body did not begin.
#[derive(Debug, thiserror::Error)]
pub(super) enum BeginError {
    /// The upstream broke it off.
    #[error("the answer broke off before its body began: {0}")]
    BrokeOff(#[from] hyper::Error),
    /// The deadline passed; another upstream may have had more time.
    #[error("no body came before the deadline")]
    TooLate,
}

impl ResponseBody {
    /// Waits until a body begins. If no other upstream may answer, it waits a short time only, after which the head may go
    /// out alone. A body that breaks off meanwhile has not reached the caller, so another response can take its place.
    ///
    /// # Errors
    ///
    /// Fails if the body breaks off, or if the deadline passes first.
    pub(super) async fn begin(
        rest: Incoming,
        beginning: Beginning,
        is_only: bool,
        deadline: Instant,
    ) -> Result<Self, BeginError> {
        let is_short = rest
            .size_hint()
            .exact()
            .is_some_and(|bytes| bytes <= MAX_HELD_BYTES);
        let mut body = Self {
            held: VecDeque::new(),
            rest,
            is_read: false,
        };
        let short_wait = deadline.min(Instant::now() + MAX_HEAD_DELAY);
        match timeout_at(short_wait, body.hold(is_short, beginning)).await {
            Ok(result) => result?,
            Err(_) if short_wait < deadline && is_only => {}
            Err(_) => timeout_at(deadline, body.hold(is_short, beginning))
                .await
                .map_err(|_| BeginError::TooLate)??,
        }
        Ok(body)
    }

    /// Returns whether the upstream's body was read to its end.
    pub(super) fn is_read(&self) -> bool {
        self.is_read
    }

    /// Reads until the body begins; can be dropped and begun again.
    async fn hold(&mut self, is_short: bool, beginning: Beginning) -> hyper::Result<()> {
        while !self.rest.is_end_stream() {
            let Some(frame) = self.rest.frame().await else {
                break;
            };
            let frame = frame?;
            let ends_event = frame.data_ref().is_none_or(|data| has_event_end(data));
            self.held.push_back(frame);
            let is_begun = match beginning {
                Beginning::Frame => !is_short,
                Beginning::Event => ends_event,
            };
            if is_begun {
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
