//! Relays the body of a response from an upstream to a caller, frame by frame.

use std::{
    error::Error,
    fmt,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use hyper::{
    StatusCode,
    body::{Body, Frame, SizeHint},
};
use tokio::time::{Instant, Sleep, sleep, sleep_until};
use tokio_util::sync::CancellationToken;

use super::{
    answer_record::{AnswerEnd, AnswerRecord},
    crashes::{CrashWatch, RequestTraits},
    events::{EventBoundary, EventSplitter},
    origins::StreamOrigin,
    response_body::ResponseBody,
    rollout::{Outcome, Rollouts},
    shutdown::RequestTimer,
    upstreams::InFlightGuard,
};
use crate::{
    adapters::http::{Framing, PooledConnection, UNREAD_REQUEST, Way},
    policy::{
        origins::Origin,
        silence::{Awaited, ResponseTargets},
    },
    telemetry::AccountMetrics,
};

/// Why a body ended prematurely. The connection to the caller is then closed without a proper end of body.
type RelayError = Box<dyn Error + Send + Sync>;

/// Frames of a response after which its request does not crash the upstream; a frame of a resumable stream holds at least
/// one event. A long stream shows it long before its end.
const SURVIVED_FRAMES: u32 = 2;

/// Time after which the request at another upstream, which has neither answered nor rejected it, is dropped if the stream's own
/// upstream is at work. Both may work on a stream for 400 ms, and a request in a queue is no work.
const MAX_HANDOVER_OVERLAP: Duration = Duration::from_millis(300);

/// Number of further liveness checks per silence timeout, after the first check at the timeout itself.
const LIVENESS_CHECKS_PER_TIMEOUT: u32 = 3;

/// Returns the interval of the liveness checks of an engine that is lost after a silence of `timeout`.
pub(super) fn liveness_check_interval(timeout: Duration) -> Duration {
    (timeout / LIVENESS_CHECKS_PER_TIMEOUT).max(Duration::from_millis(1))
}

/// The body of a response to a caller; empty for responses of the gateway itself.
#[derive(Debug)]
pub(super) struct Relay(Option<Box<Passing>>);

/// The body of an upstream's response. Dropping it before its end closes the connection, which stops the
/// upstream's work.
#[derive(Debug)]
pub(super) struct UpstreamBody {
    pub(super) body: ResponseBody,
    /// What shows the end of the body.
    pub(super) framing: Framing,
    pub(super) lease: PooledConnection,
    pub(super) in_flight: InFlightGuard,
}

impl UpstreamBody {
    /// Returns whether the end of the body, if it comes now, shows that a response with a status is complete.
    fn may_end(&self, status: StatusCode) -> bool {
        self.framing != Framing::Connection || self.lease.may_end_response(status)
    }

    /// Returns whether the body of a response with a status is complete.
    fn has_ended(&self, status: StatusCode) -> bool {
        self.body.is_end_stream() && self.may_end(status)
    }
}

/// What a stream needs to be resumed at another upstream.
pub(super) struct ResumeState {
    /// Buffers the stream up to complete events; partial events are not relayed.
    pub(super) events: EventSplitter,
    /// What began the stream.
    pub(super) origin: StreamOrigin,
    pub(super) resume: Box<dyn Resume>,
}

/// What became of the upstream that a stream leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Previous {
    /// Its response broke off.
    Gone,
    /// It is silent, and its response goes on unless another upstream takes the stream over.
    Silent,
}

/// The state of a stream's change from one upstream to another, shared by its relay and its request.
#[derive(Clone, Debug, Default)]
pub(super) struct Handover {
    /// Whether the request is at another upstream, which has not rejected it.
    is_sent: Arc<AtomicBool>,
    cancelled: CancellationToken,
}

impl Handover {
    pub(super) fn set_sent(&self, sent: bool) {
        self.is_sent.store(sent, Ordering::Relaxed);
    }

    fn is_sent(&self) -> bool {
        self.is_sent.load(Ordering::Relaxed)
    }

    /// Completes when the stream stays at its upstream; the request at the other one is then dropped.
    pub(super) async fn cancelled(&self) {
        self.cancelled.cancelled().await;
    }
}

/// Resumes a stream at another upstream.
pub(super) trait Resume: Send {
    /// Returns whether another upstream of the origin can take the stream over now.
    fn can_resume(&self, after: Option<u64>, origin: Option<&Origin>) -> bool;

    /// Sends the request to another upstream of the origin, to continue after an event; before the first event there is
    /// no origin. If no upstream takes it, the means to try again are returned.
    fn resume(
        self: Box<Self>,
        after: Option<u64>,
        origin: Option<Origin>,
        previous: Previous,
        handover: Handover,
    ) -> BoxFuture<'static, Result<Resumed, Box<dyn Resume>>>;
}

/// The rest of a resumed stream, with the means to resume it again.
pub(super) struct Resumed {
    pub(super) source: UpstreamBody,
    pub(super) resume: Box<dyn Resume>,
}

/// The request's context that the relay needs for metrics and liveness checks.
#[derive(Debug)]
pub(super) struct RelayContext {
    pub(super) account: AccountMetrics,
    /// When the request arrived.
    pub(super) arrived: Instant,
    /// What is recorded when the response ends.
    pub(super) record: Option<AnswerRecord>,
    pub(super) status: StatusCode,
    /// Whether the response is an event stream, whose pauses between events are measured.
    pub(super) is_stream: bool,
    /// The latency targets of the request's route.
    pub(super) response_targets: ResponseTargets,
    pub(super) traits: Arc<RequestTraits>,
    pub(super) crashes: Arc<CrashWatch>,
    /// Where it is recorded that an answer broke off.
    pub(super) rollouts: Arc<Rollouts>,
    /// The name of the request's route.
    pub(super) route: Arc<str>,
    /// Measures the request until its response has ended.
    pub(super) _timer: RequestTimer,
}

/// The state of a relayed body.
struct Passing {
    id: String,
    context: RelayContext,
    /// The framing that the head announced to the caller.
    announced: Framing,
    /// Whether a frame was relayed.
    has_begun: bool,
    /// Frames that the current upstream has sent.
    frames: u32,
    source: Option<UpstreamBody>,
    deadline: Pin<Box<Sleep>>,
    resumable: Option<ResumeState>,
    /// Where a stream without a length is that cannot be resumed.
    boundary: Option<EventBoundary>,
    /// When to check next whether the upstream of a resumable stream is lost.
    next_liveness_check: Option<Pin<Box<Sleep>>>,
    /// When the last frame was relayed.
    last_progress: Instant,
    /// Since when the relay waits for the upstream, as opposed to the caller.
    waiting_since: Option<Instant>,
    /// Whether the current silence was recorded.
    silence_recorded: bool,
    resuming: Option<Resuming>,
}

/// An attempt to resume a stream.
struct Resuming {
    result: BoxFuture<'static, Result<Resumed, Box<dyn Resume>>>,
    handover: Handover,
    previous: Previous,
    /// When to check whether the previous upstream is at work, once the request is at another one.
    overlap_check: Option<Pin<Box<Sleep>>>,
}

impl Resuming {
    /// Completes whenever both upstreams have had the stream for a further [`MAX_HANDOVER_OVERLAP`].
    fn poll_overlap(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if !self.handover.is_sent() || self.handover.cancelled.is_cancelled() {
            self.overlap_check = None;
            return Poll::Pending;
        }
        let check = self
            .overlap_check
            .get_or_insert_with(|| Box::pin(sleep(MAX_HANDOVER_OVERLAP)));
        ready!(check.as_mut().poll(cx));
        self.overlap_check = None;
        Poll::Ready(())
    }
}

impl fmt::Debug for Passing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Passing")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

impl Relay {
    /// Creates an empty body.
    pub(super) fn empty() -> Self {
        Self(None)
    }

    /// Relays an upstream's body until the deadline.
    pub(super) fn new(
        source: UpstreamBody,
        resumable: Option<ResumeState>,
        deadline: Instant,
        id: String,
        context: RelayContext,
    ) -> Self {
        let first_check = resumable.as_ref().map(|_| {
            let timeout = source
                .in_flight
                .silence_timeout(Awaited::Next, &context.response_targets);
            Instant::now() + timeout
        });
        let is_bounded =
            context.is_stream && source.framing != Framing::Length && resumable.is_none();
        Self(Some(Box::new(Passing {
            boundary: is_bounded.then(EventBoundary::new),
            id,
            context,
            has_begun: false,
            frames: 0,
            announced: source.framing,
            source: Some(source),
            deadline: Box::pin(sleep_until(deadline)),
            next_liveness_check: first_check.map(|at| Box::pin(sleep_until(at))),
            resumable,
            last_progress: Instant::now(),
            waiting_since: None,
            silence_recorded: false,
            resuming: None,
        })))
    }
}

impl Body for Relay {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        let Some(passing) = &mut self.0 else {
            return Poll::Ready(None);
        };
        if let Poll::Ready(step) = passing.poll(cx) {
            return Poll::Ready(step);
        }
        ready!(passing.deadline.as_mut().poll(cx));
        passing.record_broken();
        Poll::Ready(Some(Err(
            passing.abort("the deadline of the response passed")
        )))
    }

    fn is_end_stream(&self) -> bool {
        self.0.as_ref().is_none_or(|passing| passing.is_ended())
    }

    fn size_hint(&self) -> SizeHint {
        match &self.0 {
            // A resumed stream may have another length.
            Some(passing) if passing.resumable.is_some() => SizeHint::default(),
            Some(passing) => passing
                .source
                .as_ref()
                .map_or_else(SizeHint::default, |source| source.body.size_hint()),
            None => SizeHint::with_exact(0),
        }
    }
}

impl Passing {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        loop {
            if let Some(resuming) = &mut self.resuming {
                if let Poll::Ready(result) = resuming.result.as_mut().poll(cx) {
                    if let Some(e) = self.finish_resume(result) {
                        return Poll::Ready(Some(Err(e)));
                    }
                } else if resuming.poll_overlap(cx).is_ready() {
                    self.end_overlap();
                    continue;
                }
            }
            let Some(source) = &mut self.source else {
                return match self.resuming {
                    Some(_) => Poll::Pending,
                    None => Poll::Ready(None),
                };
            };
            match Pin::new(&mut source.body).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    if let Some(step) = self.forward_frame(frame) {
                        return Poll::Ready(Some(step));
                    }
                }
                Poll::Ready(Some(Err(e))) => {
                    if let Some(e) = self.handle_cut_off(&e.to_string()) {
                        return Poll::Ready(Some(Err(e)));
                    }
                }
                Poll::Ready(None) => {
                    let framing = source.framing;
                    let may_end = source.may_end(self.context.status);
                    if self.is_inside_event() {
                        if let Some(e) = self.handle_cut_off("the stream ended inside an event") {
                            return Poll::Ready(Some(Err(e)));
                        }
                        continue;
                    }
                    if framing == Framing::Connection && self.announced != Framing::Connection {
                        let reason = "only the upstream's connection ended the rest of the stream";
                        return Poll::Ready(Some(Err(self.abort(reason))));
                    }
                    if !may_end {
                        if let Some(e) = self.handle_cut_off(UNREAD_REQUEST) {
                            return Poll::Ready(Some(Err(e)));
                        }
                        continue;
                    }
                    self.complete();
                    return Poll::Ready(None);
                }
                Poll::Pending => {
                    let waiting_since = *self.waiting_since.get_or_insert_with(Instant::now);
                    if self.resuming.is_some() {
                        return Poll::Pending;
                    }
                    let Some(check) = &mut self.next_liveness_check else {
                        return Poll::Pending;
                    };
                    ready!(check.as_mut().poll(cx));
                    let now = Instant::now();
                    let response_targets = &self.context.response_targets;
                    let timeout = source
                        .in_flight
                        .silence_timeout(Awaited::Next, response_targets);
                    let waited = now - waiting_since;
                    let is_lost =
                        waited >= timeout && source.in_flight.upstream.is_lost(timeout, now);
                    check.as_mut().reset(now + liveness_check_interval(timeout));
                    let is_silent = is_lost || waited >= response_targets.max_silence();
                    if is_silent && self.can_resume() {
                        self.start_resume(
                            Previous::Silent,
                            "no event arrived within the silence timeout",
                        );
                    }
                }
            }
        }
    }

    /// Returns the frame to relay, or `None` if it completes no event of a resumable stream.
    fn forward_frame(&mut self, frame: Frame<Bytes>) -> Option<Result<Frame<Bytes>, RelayError>> {
        let Some(stream) = &mut self.resumable else {
            if let (Some(boundary), Some(chunk)) = (&mut self.boundary, frame.data_ref()) {
                boundary.push(chunk);
            }
            self.record_progress();
            return Some(Ok(frame));
        };
        let chunk = match frame.into_data() {
            Ok(chunk) => chunk,
            Err(trailers) => return Some(Ok(trailers)),
        };
        match stream.events.push(&chunk) {
            // Bytes that complete no event are no progress: an upstream that trickles bytes is treated like a
            // silent one.
            Ok(events) if events.is_empty() => None,
            Ok(events) => {
                let upstream = self
                    .source
                    .as_ref()
                    .map(|source| &source.in_flight.upstream);
                stream
                    .origin
                    .record_event(|| upstream.and_then(|upstream| upstream.origin()));
                self.record_progress();
                Some(Ok(Frame::data(events)))
            }
            Err(e) => Some(Err(self.abort(&e.to_string()))),
        }
    }

    /// Records progress of the upstream and postpones the next liveness check.
    fn record_progress(&mut self) {
        let now = Instant::now();
        if self.context.is_stream && self.has_begun {
            self.context
                .account
                .record_between_tokens(now - self.last_progress);
        }
        self.has_begun = true;
        self.frames = self.frames.saturating_add(1);
        if self.frames == SURVIVED_FRAMES {
            self.context.crashes.record_answer(&self.context.traits);
        }
        self.last_progress = now;
        let waiting_since = self.waiting_since.take();
        let was_recorded = std::mem::take(&mut self.silence_recorded);
        self.cancel_resume();
        let Some(source) = &self.source else {
            return;
        };
        source.in_flight.upstream.record_activity(now);
        if source.lease.way() == Way::Direct {
            source.in_flight.upstream.reach().record_activity();
        }
        if let Some(waiting_since) =
            waiting_since.filter(|_| self.context.is_stream && !was_recorded)
        {
            let longest = self.context.response_targets.max_silence();
            let waited = (now - waiting_since).min(longest);
            source.in_flight.record_wait(Awaited::Next, waited);
        }
        if let Some(check) = &mut self.next_liveness_check {
            let timeout = source
                .in_flight
                .silence_timeout(Awaited::Next, &self.context.response_targets);
            check.as_mut().reset(now + timeout);
        }
    }

    /// Drops the request at another upstream if the current one shows a sign of life. Otherwise both keep it until one of them
    /// answers: the other one may still reject it, and the stream would be lost.
    fn end_overlap(&mut self) {
        let Some(source) = &self.source else {
            return;
        };
        let response_targets = &self.context.response_targets;
        let timeout = source
            .in_flight
            .silence_timeout(Awaited::Next, response_targets);
        if !source.in_flight.upstream.is_lost(timeout, Instant::now()) {
            self.cancel_resume();
        }
    }

    /// Stays at the current upstream, which is at work, and drops the request at another one.
    fn cancel_resume(&self) {
        if let (Some(resuming), Some(_)) = (&self.resuming, &self.source) {
            resuming.handover.cancelled.cancel();
        }
    }

    /// Returns whether another upstream can take the stream over now.
    fn can_resume(&self) -> bool {
        self.resumable.as_ref().is_some_and(|stream| {
            let after = stream.events.last_id();
            stream.resume.can_resume(after, stream.origin.get())
        })
    }

    /// Starts to resume the stream after the last complete event; returns false if it is not resumable.
    fn start_resume(&mut self, previous: Previous, reason: &str) -> bool {
        let Some(stream) = &mut self.resumable else {
            return false;
        };
        let after = stream.events.last_id();
        let origin = stream.origin.get().cloned();
        let placeholder: Box<dyn Resume> = Box::new(NoResume);
        let resume = std::mem::replace(&mut stream.resume, placeholder);
        let is_new = !std::mem::replace(&mut self.silence_recorded, true);
        if let Some(source) = self.source.as_ref().filter(|_| is_new) {
            source.in_flight.upstream.record_failure(Instant::now());
        }
        match (previous, &self.source) {
            (Previous::Silent, Some(source)) => {
                let waited = self.waiting_since.map_or(Duration::ZERO, |at| at.elapsed());
                if is_new {
                    source.in_flight.record_wait(Awaited::Next, waited);
                }
                log::info!(
                    event = "stream.silent", request = self.id.as_str(), after:? = after,
                    upstream:% = source.in_flight.upstream.target.instance,
                    waited_ms = u64::try_from(waited.as_millis()).unwrap_or(u64::MAX);
                    "ingress: a stream is silent, and another upstream is tried: {reason}"
                );
            }
            _ => self.leave_source(reason),
        }
        let handover = Handover::default();
        self.resuming = Some(Resuming {
            result: resume.resume(after, origin, previous, handover.clone()),
            handover,
            previous,
            overlap_check: None,
        });
        true
    }

    /// Goes on with the upstream that has taken the stream over. Without one it stays with the previous upstream;
    /// an error is returned if that is gone too.
    fn finish_resume(&mut self, result: Result<Resumed, Box<dyn Resume>>) -> Option<RelayError> {
        let previous = self.resuming.take().map(|resuming| resuming.previous);
        let (source, resume) = match result {
            Ok(resumed) => (Some(resumed.source), resumed.resume),
            Err(resume) => (None, resume),
        };
        if let Some(stream) = &mut self.resumable {
            stream.resume = resume;
        }
        match (source, &self.source) {
            (Some(source), _) => {
                if self.source.is_some() {
                    self.leave_source("another upstream has taken the stream over");
                }
                self.source = Some(source);
                self.record_progress();
                self.frames = 0;
                None
            }
            (None, Some(_)) => {
                log::info!(
                    event = "stream.stays", request = self.id.as_str();
                    "ingress: no other upstream takes a silent stream over"
                );
                None
            }
            // The previous upstream broke off meanwhile, and there may be time for another one.
            (None, None) if previous == Some(Previous::Silent) => {
                self.start_resume(
                    Previous::Gone,
                    "it broke off while another upstream was tried",
                );
                None
            }
            (None, None) => Some(self.abort("no upstream can resume the stream")),
        }
    }

    /// Leaves the current upstream, whose partial event is discarded.
    fn leave_source(&mut self, reason: &str) {
        let Some(stream) = &mut self.resumable else {
            return;
        };
        stream.events.discard_partial();
        if let Some(source) = self.source.take() {
            log::info!(
                event = "stream.broke_off", request = self.id.as_str(),
                after:? = stream.events.last_id(),
                upstream:% = source.in_flight.upstream.target.instance;
                "ingress: a stream broke off and is being resumed: {reason}"
            );
        }
    }

    /// Records that the upstream broke its response off and starts to resume it. Returns an error if that is not
    /// possible.
    fn handle_cut_off(&mut self, reason: &str) -> Option<RelayError> {
        self.record_broken();
        if let (Some(source), ..SURVIVED_FRAMES) = (&self.source, self.frames) {
            let upstream = &source.in_flight.upstream;
            if !upstream.is_cut_off() {
                let (traits, crashes) = (&self.context.traits, &self.context.crashes);
                crashes.record_cut_off(traits, upstream, true);
            }
        }
        if self.resuming.is_some() {
            self.leave_source(reason);
            return None;
        }
        (!self.start_resume(Previous::Gone, reason)).then(|| self.abort(reason))
    }

    /// Records that the upstream's answer broke off or did not end in time, for the verdict on its version.
    fn record_broken(&self) {
        if let Some(source) = &self.source {
            let upstream = &source.in_flight.upstream;
            let (rollouts, route) = (&self.context.rollouts, &self.context.route);
            rollouts.record(
                &upstream.service,
                route,
                upstream.software(),
                Outcome::BrokeOff,
            );
        }
    }

    fn is_inside_event(&self) -> bool {
        match (&self.resumable, self.boundary) {
            (Some(stream), _) => stream.events.is_inside_event(),
            (None, Some(boundary)) => boundary.is_inside_event(),
            (None, None) => false,
        }
    }

    /// Records the success and returns the connection to the pool.
    fn complete(&mut self) {
        if let Some(source) = self.source.take() {
            self.context
                .account
                .record_answer(self.context.arrived.elapsed());
            source.in_flight.upstream.record_success();
            self.context.crashes.record_answer(&self.context.traits);
            self.record_end(AnswerEnd::Whole);
            source.lease.return_to_pool();
        }
    }

    /// Logs why the response is cut off and drops the upstream's body, which closes its connection.
    fn abort(&mut self, reason: &str) -> RelayError {
        let source = self.source.take();
        let upstream = source
            .as_ref()
            .map(|source| &source.in_flight.upstream.target.instance);
        self.record_end(AnswerEnd::Cut { reason, upstream });
        self.resuming = None;
        reason.to_owned().into()
    }

    fn record_end(&mut self, end: AnswerEnd<'_>) {
        if let Some(record) = self.context.record.take() {
            record.end(end);
        }
    }

    fn is_ended(&self) -> bool {
        let ended = |source: &UpstreamBody| source.has_ended(self.context.status);
        self.resuming.is_none()
            && self.resumable.is_none()
            && self.boundary.is_none()
            && self.source.as_ref().is_none_or(ended)
    }
}

impl Drop for Passing {
    fn drop(&mut self) {
        // A body of known length is not polled again after its last byte.
        let is_ended = |source: &UpstreamBody| source.has_ended(self.context.status);
        if self.source.as_ref().is_some_and(is_ended) && !self.is_inside_event() {
            self.complete();
        }
        self.record_end(AnswerEnd::CallerLeft);
    }
}

/// Placeholder while a stream is being resumed.
struct NoResume;

impl Resume for NoResume {
    fn can_resume(&self, _after: Option<u64>, _origin: Option<&Origin>) -> bool {
        false
    }

    fn resume(
        self: Box<Self>,
        _after: Option<u64>,
        _origin: Option<Origin>,
        _previous: Previous,
        _handover: Handover,
    ) -> BoxFuture<'static, Result<Resumed, Box<dyn Resume>>> {
        Box::pin(std::future::ready(Err(self as Box<dyn Resume>)))
    }
}
