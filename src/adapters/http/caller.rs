//! A caller's connection with an idle timeout and timeouts for receiving a request head and for sending a response.
//!
//! hyper's own header timeout covers the idle wait and the receipt of the head together, and cannot change
//! during a connection.

use std::{
    error::Error,
    fmt, io,
    mem::MaybeUninit,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, Waker, ready},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{
    body::{Body, Frame, Incoming, SizeHint},
    header::HeaderValue,
};
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep, sleep, sleep_until, timeout},
};

use super::{
    ServerOptions,
    early_end::{EarlyEnd, EndCause, RequestStage},
    panics::BodyPanicked,
};
use crate::policy::connections::Awaits;

/// Longest rest of a request's body that is read when the service has responded without it, in bytes.
const MAX_DRAINED_BYTES: usize = 256 * 1024;
/// Time for which a response waits for that rest.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(50);
/// Time for which a closed connection is read while its caller may still be sending. Bytes that nobody reads would reset
/// the connection, and the caller could lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes that are read meanwhile.
const MAX_LINGER_BYTES: usize = 8 * 1024 * 1024;
/// Size of the buffer for bytes that are dropped.
const LINGER_BUFFER_BYTES: usize = 16 * 1024;

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

/// The phase of a connection, when it began and its current request, shared by the stream and the request handler.
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
    /// The request whose response is not yet sent completely.
    request: Option<CurrentRequest>,
    /// The body of the request, if the service did not read all of it.
    unread: Option<Incoming>,
    /// Whether the connection is closed although the caller may still be sending.
    lingers: bool,
    /// What ended the connection, and its text.
    end: Option<(EndCause, String)>,
}

#[derive(Debug)]
struct CurrentRequest {
    id: Option<HeaderValue>,
    /// When its head was complete.
    begun: Instant,
    /// When a byte of its body arrived last.
    read_at: Instant,
    stage: RequestStage,
    /// Bytes of the response sent so far.
    sent_bytes: u64,
    /// Whether the HTTP library has the whole response.
    is_produced: bool,
}

impl Progress {
    pub(super) fn new() -> Self {
        Self(Arc::new(Mutex::new(State {
            phase: Phase::Idle,
            since: Instant::now(),
            reader: None,
            ends_response: false,
            respond_by: None,
            request: None,
            unread: None,
            lingers: false,
            end: None,
        })))
    }

    /// Returns what the caller has to send next, and since when; `None` if it is not its turn.
    pub(super) fn waiting(&self) -> Option<(Awaits, Instant)> {
        let state = self.lock();
        match state.phase {
            Phase::Idle | Phase::Head if state.lingers => Some((Awaits::Close, state.since)),
            Phase::Idle => Some((Awaits::Request, state.since)),
            Phase::Head => Some((Awaits::Head, state.since)),
            Phase::Request => {
                let request = state.request.as_ref()?;
                let reads = request.stage == RequestStage::ReadingBody;
                reads.then_some((Awaits::Body, request.read_at))
            }
        }
    }

    /// Marks that a request head is complete. The request ends when its response is sent completely.
    pub(super) fn begin_request(&self, id: Option<HeaderValue>, has_body: bool) {
        let mut state = self.lock();
        state.enter(Phase::Request);
        state.respond_by = None;
        state.request = Some(CurrentRequest {
            id,
            begun: state.since,
            read_at: state.since,
            stage: match has_body {
                true => RequestStage::ReadingBody,
                false => RequestStage::Waiting,
            },
            sent_bytes: 0,
            is_produced: false,
        });
    }

    /// Marks that the response begins; it may have a deadline, and only the end of the connection may show its end.
    pub(super) fn begin_response(&self, respond_by: Option<Instant>, ends_connection: bool) {
        let mut state = self.lock();
        state.respond_by = respond_by;
        state.ends_response = ends_connection;
        if let Some(request) = &mut state.request {
            request.stage = RequestStage::Answering;
        }
    }

    /// Reads the rest of a request's body that the service did not read, if it is short and arrives soon. Otherwise the
    /// connection lingers when it is closed, and false is returned. A caller that waits for "100 Continue" gets none.
    pub(super) async fn drain_request(&self, expects_continue: bool) -> bool {
        let Some(unread) = self.lock().unread.take() else {
            return true;
        };
        let is_short = unread.size_hint().lower() <= MAX_DRAINED_BYTES as u64;
        let is_drained = is_short && !expects_continue && {
            let rest = Limited::new(unread, MAX_DRAINED_BYTES);
            let drained = timeout(DRAIN_TIMEOUT, drain(rest)).await;
            drained.unwrap_or(false)
        };
        self.lock().lingers = !is_drained;
        is_drained
    }

    /// Records what ends the connection; the first cause counts.
    pub(super) fn record_end(&self, cause: EndCause, reason: &dyn fmt::Display) {
        let end = &mut self.lock().end;
        end.get_or_insert_with(|| (cause, reason.to_string()));
    }

    /// Returns the request that the end of the connection left without a complete response, if there is one.
    pub(super) fn take_unanswered(&self) -> Option<EarlyEnd> {
        let mut state = self.lock();
        let request = state.request.take()?;
        let (cause, reason) = state.end.take().unwrap_or_default();
        Some(EarlyEnd {
            request: request.id,
            stage: request.stage,
            since_head: request.begun.elapsed(),
            sent_bytes: request.sent_bytes,
            cause,
            reason,
        })
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

    /// Marks that the service waits for no more of the request; it may have responded already.
    fn finish_body(&mut self) {
        if let Some(request) = &mut self.request
            && request.stage == RequestStage::ReadingBody
        {
            request.stage = RequestStage::Waiting;
        }
    }

    fn record_read(&mut self) {
        match (self.phase, &mut self.request) {
            (Phase::Idle, _) => self.enter(Phase::Head),
            (Phase::Request, Some(request)) if request.stage == RequestStage::ReadingBody => {
                request.read_at = Instant::now();
            }
            _ => {}
        }
    }

    fn record_sent(&mut self, bytes: usize) {
        if let Some(request) = &mut self.request
            && request.stage == RequestStage::Answering
        {
            request.sent_bytes += bytes as u64;
        }
    }

    /// Ends the request if the HTTP library has passed its whole response on. Returns the reader to wake.
    fn finish_flush(&mut self) -> Option<Waker> {
        self.request.take_if(|request| request.is_produced)?;
        self.enter(Phase::Idle);
        self.reader.take()
    }
}

/// The body of a caller's request.
#[derive(Debug)]
pub struct CallerBody {
    body: Option<Incoming>,
    /// The connection, until it knows that the body is read.
    progress: Option<Progress>,
}

impl CallerBody {
    pub(super) fn new(body: Incoming, progress: &Progress) -> Self {
        let progress = (!body.is_end_stream()).then(|| progress.clone());
        Self {
            body: Some(body),
            progress,
        }
    }
}

impl Drop for CallerBody {
    fn drop(&mut self) {
        if let Some(progress) = &self.progress {
            progress.lock().unread = self.body.take();
        }
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let Some(body) = &mut self.body else {
            return Poll::Ready(None);
        };
        let frame = ready!(Pin::new(&mut *body).poll_frame(cx));
        let is_read = frame.is_none() || body.is_end_stream();
        if let Some(progress) = self.progress.take_if(|_| is_read) {
            progress.lock().finish_body();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let hint = self.body.as_ref().map(Body::size_hint);
        hint.unwrap_or_else(|| SizeHint::with_exact(0))
    }
}

/// Reads a body to its end; returns whether it was complete.
async fn drain(mut body: impl Body + Unpin) -> bool {
    loop {
        match body.frame().await {
            Some(Ok(_)) => {}
            Some(Err(_)) => return false,
            None => return true,
        }
    }
}

/// A response body that records its errors and tells the connection when it is dropped.
pub(super) struct GuardedBody<B> {
    body: B,
    progress: Progress,
    has_failed: bool,
}

impl<B> GuardedBody<B> {
    pub(super) fn new(body: B, progress: Progress) -> Self {
        Self {
            body,
            progress,
            has_failed: false,
        }
    }
}

impl<B> Drop for GuardedBody<B> {
    fn drop(&mut self) {
        if let Some(request) = &mut self.progress.lock().request {
            request.is_produced = !self.has_failed;
        }
    }
}

impl<B> Body for GuardedBody<B>
where
    B: Body + Unpin,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    type Data = B::Data;
    type Error = Box<dyn Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, Self::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        Poll::Ready(frame.map(|frame| {
            frame.map_err(|e| {
                let e: Self::Error = e.into();
                self.has_failed = true;
                let cause = match e.is::<BodyPanicked>() {
                    true => EndCause::Panicked,
                    false => EndCause::BodyFailed,
                };
                self.progress.record_end(cause, &e);
                e
            })
        }))
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
    /// The end of a connection whose sending side is closed.
    linger: Option<Linger>,
}

/// The limits of the time in which a closed connection is still read.
struct Linger {
    timer: Pin<Box<Sleep>>,
    left_bytes: usize,
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
            linger: None,
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
        if let Poll::Ready(result) = &written {
            self.blocked = None;
            match result {
                Ok(bytes) => self.progress.lock().record_sent(*bytes),
                Err(e) => self.progress.record_end(EndCause::CallerReset, e),
            }
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
        self.progress
            .record_end(EndCause::ResponseTimeout, &message);
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
            let is_empty = buf.filled().len() == held;
            if !is_empty {
                state.record_read();
            }
            drop(state);
            match &result {
                Err(e) => self.progress.record_end(EndCause::CallerReset, e),
                Ok(()) if is_empty && buf.remaining() > 0 => {
                    let reason = "the caller closed the connection";
                    self.progress.record_end(EndCause::CallerClosed, &reason);
                }
                Ok(()) => {}
            }
            return Poll::Ready(result);
        }
        ready!(self.poll_deadline(cx));
        let message = "the caller sent no complete request head in time";
        self.progress.record_end(EndCause::RequestTimeout, &message);
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

    /// Reads and drops what the caller still sends until it closes the connection or a limit is reached.
    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(linger) = &mut self.linger else {
            return Poll::Ready(Ok(()));
        };
        let mut bytes = [MaybeUninit::uninit(); LINGER_BUFFER_BYTES];
        while linger.left_bytes > 0 && linger.timer.as_mut().poll(cx).is_pending() {
            let mut buf = ReadBuf::uninit(&mut bytes);
            ready!(Pin::new(&mut self.io).poll_read(cx, &mut buf))?;
            match buf.filled().len() {
                0 => break,
                read => linger.left_bytes = linger.left_bytes.saturating_sub(read),
            }
        }
        Poll::Ready(Ok(()))
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
        ready!(Pin::new(&mut self.io).poll_flush(cx))?;
        let reader = self.progress.lock().finish_flush();
        if let Some(reader) = reader {
            reader.wake();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_some() {
            return self.poll_linger(cx);
        }
        // hyper shuts the connection down only after a complete response.
        if std::mem::take(&mut self.resets) {
            self.progress.lock().ends_response = false;
            self.set_linger(None)?;
        }
        ready!(Pin::new(&mut self.io).poll_shutdown(cx))?;
        let mut state = self.progress.lock();
        if state.phase == Phase::Head {
            // The HTTP library has refused the head.
            state.lingers = true;
            state.enter(Phase::Idle);
        }
        let lingers = state.lingers;
        drop(state);
        if !lingers {
            return Poll::Ready(Ok(()));
        }
        self.linger = Some(Linger {
            timer: Box::pin(sleep(LINGER_TIMEOUT)),
            left_bytes: MAX_LINGER_BYTES,
        });
        self.poll_linger(cx)
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
