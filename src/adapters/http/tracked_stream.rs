//! A stream to an upstream that records whether a request was written before its response began.
//!
//! hyper calls a request written once it is in a buffer, and may never report that a connection is ready again if the
//! response ended before that buffer was empty.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    sync::watch,
};

use crate::adapters::revocable::Sending;

/// What is known of the request on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RequestProgress {
    /// Whether the kernel has taken all bytes of the request.
    pub(super) written: bool,
    /// Whether bytes of the response arrived before that. The upstream may then leave the rest of the request unread.
    pub(super) answered_early: bool,
}

/// A stream that publishes the progress of the requests written to it.
#[derive(Debug)]
pub(super) struct TrackedStream<S> {
    io: S,
    progress: watch::Sender<RequestProgress>,
    sending: Sending,
}

impl<S> TrackedStream<S> {
    /// Wraps a stream; the receiver shows the progress until the stream is dropped.
    pub(super) fn new(io: S, sending: Sending) -> (Self, watch::Receiver<RequestProgress>) {
        let (progress, rx) = watch::channel(RequestProgress {
            written: true,
            answered_early: false,
        });
        let stream = Self {
            io,
            progress,
            sending,
        };
        (stream, rx)
    }

    fn set_written(&self, written: bool) {
        self.progress.send_if_modified(|progress| {
            std::mem::replace(&mut progress.written, written) != written
        });
    }

    fn record_read(&self) {
        self.progress.send_if_modified(|progress| {
            let is_new = !progress.written && !progress.answered_early;
            progress.answered_early |= is_new;
            is_new
        });
        if self.progress.borrow().answered_early {
            self.sending.lift_limit();
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for TrackedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let held = buf.filled().len();
        let result = Pin::new(&mut self.io).poll_read(cx, buf);
        if buf.filled().len() > held {
            self.record_read();
        }
        result
    }
}

/// hyper flushes a stream only once its own buffer is empty.
impl<S: AsyncWrite + Unpin> AsyncWrite for TrackedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.set_written(false);
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.io).poll_flush(cx);
        if matches!(result, Poll::Ready(Ok(()))) {
            self.set_written(true);
        }
        result
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.set_written(false);
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }
}
