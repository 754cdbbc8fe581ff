//! A caller's connection with an idle timeout and timeouts for receiving a request head and for sending a response.
//!
//! hyper's own header timeout covers the idle wait and the receipt of the head together, and cannot change
//! during a connection.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, Waker, ready},
    time::Duration,
};

use hyper::body::{Body, Frame, SizeHint};
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep, sleep_until},
};

use super::ServerOptions;

/// The phase of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No byte of the next request head has arrived.
    Idle,
    /// Part of a request head has arrived.
    Head,
    /// A request is being processed.
    Request,
}

/// The phase of a connection and when it began, shared by the stream and the request handler.
#[derive(Clone, Debug)]
pub(super) struct Progress(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    phase: Phase,
    since: Instant,
    /// Waker of the reading task, which has no timeout during a request.
    reader: Option<Waker>,
    /// Whether only the end of the connection shows the end of the response.
    ends_response: bool,
    /// The deadline of the response, if it has one.
    respond_by: Option<Instant>,
}

impl Progress {
    pub(super) fn new() -> Self {
        Self(Arc::new(Mutex::new(State {
            phase: Phase::Idle,
            since: Instant::now(),
            reader: None,
            ends_response: false,
            respond_by: None,
        })))
    }

    /// Sets the deadline of the next response.
    pub(super) fn set_response_deadline(&self, respond_by: Option<Instant>) {
        self.lock().respond_by = respond_by;
    }

    /// Marks that only the end of the connection shows the end of the response.
    pub(super) fn end_response_with_connection(&self) {
        self.lock().ends_response = true;
    }

    /// Marks that a request head is complete. The request ends when the returned guard is dropped.
    pub(super) fn begin_request(&self) -> RequestGuard {
        self.lock().enter(Phase::Request);
        RequestGuard(self.clone())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        self.since = Instant::now();
    }
}

/// Marks the connection as idle and wakes its reader when the request ends.
pub(super) struct RequestGuard(Progress);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        state.enter(Phase::Idle);
        let reader = state.reader.take();
        drop(state);
        if let Some(reader) = reader {
            reader.wake();
        }
    }
}

/// A response body that ends its request when it is dropped.
pub(super) struct GuardedBody<B> {
    body: B,
    _request: RequestGuard,
}

impl<B> GuardedBody<B> {
    pub(super) fn new(body: B, request: RequestGuard) -> Self {
        Self {
            body,
            _request: request,
        }
    }
}

impl<B: Body + Unpin> Body for GuardedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A caller's TCP stream that applies the timeouts of its phase to reads.
pub(super) struct CallerStream<O> {
    io: TcpStream,
    progress: Progress,
    /// Returns the current timeouts.
    options: Arc<O>,
    timer: Option<Pin<Box<Sleep>>>,
    /// Since when the caller takes no byte, and the timer that ends the wait for it.
    blocked: Option<(Instant, Pin<Box<Sleep>>)>,
    /// Whether the connection is reset when it ends before the response is complete.
    resets: bool,
}

impl<O: Fn() -> ServerOptions> CallerStream<O> {
    pub(super) fn new(stream: TcpStream, progress: Progress, options: Arc<O>) -> Self {
        Self {
            io: stream,
            progress,
            options,
            timer: None,
            blocked: None,
            resets: false,
        }
    }

    /// Returns the deadline for the next byte. During a request there is none, and the reader is woken when
    /// the request ends.
    fn deadline(&self, cx: &Context<'_>) -> Option<Instant> {
        let mut state = self.progress.lock();
        match state.phase {
            Phase::Idle => Some(state.since + (self.options)().idle_timeout),
            Phase::Head => Some(state.since + (self.options)().head_timeout),
            Phase::Request => {
                state.reader = Some(cx.waker().clone());
                None
            }
        }
    }

    /// Completes when the deadline for the next byte has passed.
    fn poll_deadline(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            let Some(deadline) = self.deadline(cx) else {
                return Poll::Pending;
            };
            let timer = self
                .timer
                .get_or_insert_with(|| Box::pin(sleep_until(deadline)));
            if timer.deadline() != deadline {
                timer.as_mut().reset(deadline);
            }
            ready!(timer.as_mut().poll(cx));
            // The phase or the timeouts may have changed meanwhile.
            if self.deadline(cx).is_some_and(|at| at <= Instant::now()) {
                return Poll::Ready(());
            }
        }
    }
}

impl<O: Fn() -> ServerOptions> CallerStream<O> {
    /// Passes the result of a write on; fails one that the caller does not accept in time. hyper polls no body while it
    /// waits for a caller, so the deadline of the body does not cover this.
    fn limit_write(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.blocked = None;
            return written;
        }
        let (since, timer) = self.blocked.get_or_insert_with(|| {
            let now = Instant::now();
            (now, Box::pin(sleep_until(now)))
        });
        let begin = self.progress.lock().respond_by.unwrap_or(*since);
        let deadline = begin + (self.options)().idle_timeout;
        if timer.deadline() != deadline {
            timer.as_mut().reset(deadline);
        }
        ready!(timer.as_mut().poll(cx));
        let message = "the caller did not take the response in time";
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, message)))
    }
}

impl<O: Fn() -> ServerOptions> AsyncRead for CallerStream<O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let held = buf.filled().len();
        if let Poll::Ready(result) = Pin::new(&mut self.io).poll_read(cx, buf) {
            let mut state = self.progress.lock();
            if buf.filled().len() > held && state.phase == Phase::Idle {
                state.enter(Phase::Head);
            }
            drop(state);
            return Poll::Ready(result);
        }
        ready!(self.poll_deadline(cx));
        let message = "the caller sent no complete request head in time";
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, message)))
    }
}

impl<O> CallerStream<O> {
    /// Sets that the end of the connection resets it before the first byte of a response that ends with it. A caller
    /// then sees that the response is incomplete, also if the process is killed.
    fn prepare_write(&mut self) -> io::Result<()> {
        if self.resets || !self.progress.lock().ends_response {
            return Ok(());
        }
        self.resets = true;
        self.set_linger(Some(Duration::ZERO))
    }

    fn set_linger(&self, linger: Option<Duration>) -> io::Result<()> {
        SockRef::from(&self.io).set_linger(linger)
    }
}

impl<O: Fn() -> ServerOptions> AsyncWrite for CallerStream<O> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        let written = Pin::new(&mut self.io).poll_write(cx, buf);
        self.limit_write(cx, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper shuts the connection down only after a complete response.
        if std::mem::take(&mut self.resets) {
            self.progress.lock().ends_response = false;
            self.set_linger(None)?;
        }
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
        self.prepare_write()?;
        let written = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.limit_write(cx, written)
    }
}
