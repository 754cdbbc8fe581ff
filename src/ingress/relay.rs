//! The body of an answer on its way from an upstream to a caller, piece by piece.

use std::{
    error::Error,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::Sleep;

use super::upstreams::Flight;
use crate::adapters::http::Lease;

/// Why a body ends early. The connection to the caller is then closed without its proper end.
type Broken = Box<dyn Error + Send + Sync>;

/// The body of an answer.
#[derive(Debug)]
pub(super) struct Relay(Option<Box<Passing>>);

/// An upstream's body. Dropping it before its end closes the connection, which stops the upstream's
/// work.
#[derive(Debug)]
struct Passing {
    body: Incoming,
    lease: Option<Lease>,
    flight: Flight,
    deadline: Pin<Box<Sleep>>,
    id: String,
}

impl Relay {
    /// A body without bytes.
    pub(super) fn empty() -> Self {
        Self(None)
    }

    /// Passes an upstream's body on until the deadline.
    pub(super) fn new(
        body: Incoming,
        lease: Lease,
        flight: Flight,
        deadline: Sleep,
        id: String,
    ) -> Self {
        Self(Some(Box::new(Passing {
            body,
            lease: Some(lease),
            flight,
            deadline: Box::pin(deadline),
            id,
        })))
    }
}

impl Body for Relay {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let Some(passing) = &mut self.0 else {
            return Poll::Ready(None);
        };
        match Pin::new(&mut passing.body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => Poll::Ready(Some(Ok(frame))),
            Poll::Ready(Some(Err(e))) => {
                let instance = &passing.flight.upstream.target.instance;
                log::info!(
                    "ingress: request {} broke off at {instance}: {e}.",
                    passing.id
                );
                passing.lease = None;
                Poll::Ready(Some(Err(e.into())))
            }
            Poll::Ready(None) => {
                passing.end();
                Poll::Ready(None)
            }
            Poll::Pending => {
                if passing.deadline.as_mut().poll(cx).is_pending() {
                    return Poll::Pending;
                }
                let instance = &passing.flight.upstream.target.instance;
                log::info!(
                    "ingress: request {} ran out of time at {instance}.",
                    passing.id
                );
                passing.lease = None;
                Poll::Ready(Some(Err("the time for the answer is over".into())))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.0
            .as_ref()
            .is_none_or(|passing| passing.body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        match &self.0 {
            Some(passing) => passing.body.size_hint(),
            None => SizeHint::with_exact(0),
        }
    }
}

impl Passing {
    /// Keeps the connection for the next request.
    fn end(&mut self) {
        if let Some(lease) = self.lease.take() {
            self.flight.upstream.trust();
            lease.give_back();
        }
    }
}

impl Drop for Passing {
    fn drop(&mut self) {
        // A body of known length is not asked for more after its last byte.
        if self.body.is_end_stream() {
            self.end();
        }
    }
}
