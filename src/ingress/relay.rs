//! The body of an answer on its way from an upstream to a caller, piece by piece.

use std::{
    error::Error,
    fmt,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::{Instant, Sleep, sleep_until};

use super::{events::EventCutter, upstreams::Flight};
use crate::{
    adapters::http::Lease,
    policy::silence::{Awaited, OnTime},
    telemetry::AccountMetrics,
};

/// Why a body ends early. The connection to the caller is then closed without its proper end.
type Broken = Box<dyn Error + Send + Sync>;

/// Looks whether an engine is lost in the time of the silence at which it is taken to be, after the first.
const LOOKS: u32 = 3;

/// Returns the time between two looks whether an engine is lost, which is at a silence.
pub(super) fn look_every(silence: Duration) -> Duration {
    (silence / LOOKS).max(Duration::from_millis(1))
}

/// The body of an answer.
#[derive(Debug)]
pub(super) struct Relay(Option<Box<Passing>>);

/// An upstream's body. Dropping it before its end closes the connection, which stops the upstream's
/// work.
#[derive(Debug)]
pub(super) struct Source {
    pub(super) body: Incoming,
    pub(super) lease: Lease,
    pub(super) flight: Flight,
}

/// A stream that can be taken up again at another upstream.
pub(super) struct Resumable {
    /// Whole events; what comes of an event that breaks off is not passed on.
    pub(super) events: EventCutter,
    pub(super) resume: Box<dyn Resume>,
}

/// Takes a stream up again.
pub(super) trait Resume: Send {
    /// Sends the request to another upstream, to go on after an event. Returns nothing if there is no
    /// other, or no time or budget left for one.
    fn resume(self: Box<Self>, after: Option<u64>) -> BoxFuture<'static, Option<Resumed>>;
}

/// The rest of a stream, and what takes that up again.
pub(super) struct Resumed {
    pub(super) source: Source,
    pub(super) resume: Box<dyn Resume>,
}

/// What is measured of an answer.
#[derive(Debug)]
pub(super) struct Timing {
    pub(super) account: AccountMetrics,
    /// When the request arrived.
    pub(super) arrived: Instant,
    /// Whether the answer is a series of events, whose pauses count.
    pub(super) is_stream: bool,
    /// What its route allows.
    pub(super) on_time: OnTime,
}

struct Passing {
    id: String,
    timing: Timing,
    /// Whether a piece was passed on.
    has_begun: bool,
    source: Option<Source>,
    deadline: Pin<Box<Sleep>>,
    resumable: Option<Resumable>,
    /// When it is looked next whether the upstream of a stream is lost.
    silence: Option<Pin<Box<Sleep>>>,
    heard: Instant,
    /// Since when the upstream, and not the caller, is waited for.
    asked: Option<Instant>,
    resuming: Option<BoxFuture<'static, Option<Resumed>>>,
}

impl fmt::Debug for Passing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Passing")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

impl Relay {
    /// A body without bytes.
    pub(super) fn empty() -> Self {
        Self(None)
    }

    /// Passes an upstream's body on until the deadline.
    pub(super) fn new(
        source: Source,
        resumable: Option<Resumable>,
        deadline: Instant,
        id: String,
        timing: Timing,
    ) -> Self {
        let first_look = resumable.as_ref().map(|_| {
            let silence = source.flight.silence(Awaited::Next, &timing.on_time);
            Instant::now() + silence
        });
        Self(Some(Box::new(Passing {
            id,
            timing,
            has_begun: false,
            source: Some(source),
            deadline: Box::pin(sleep_until(deadline)),
            silence: first_look.map(|at| Box::pin(sleep_until(at))),
            resumable,
            heard: Instant::now(),
            asked: None,
            resuming: None,
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
        if let Poll::Ready(step) = passing.poll(cx) {
            return Poll::Ready(step);
        }
        ready!(passing.deadline.as_mut().poll(cx));
        Poll::Ready(Some(
            Err(passing.give_up("the time for the answer is over")),
        ))
    }

    fn is_end_stream(&self) -> bool {
        self.0.as_ref().is_none_or(|passing| passing.is_ended())
    }

    fn size_hint(&self) -> SizeHint {
        match &self.0 {
            // A stream that is taken up again may have another length.
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
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        loop {
            if let Some(resuming) = &mut self.resuming {
                let resumed = ready!(resuming.as_mut().poll(cx));
                self.resuming = None;
                let Some(resumed) = resumed else {
                    return Poll::Ready(Some(Err(self.give_up("no upstream takes it up again"))));
                };
                self.source = Some(resumed.source);
                if let Some(stream) = &mut self.resumable {
                    stream.resume = resumed.resume;
                }
                self.hear();
            }
            let Some(source) = &mut self.source else {
                return Poll::Ready(None);
            };
            match Pin::new(&mut source.body).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    if let Some(step) = self.pass(frame) {
                        return Poll::Ready(Some(step));
                    }
                }
                Poll::Ready(Some(Err(e))) => {
                    if !self.begin_resuming(&e.to_string()) {
                        return Poll::Ready(Some(Err(self.give_up(&e.to_string()))));
                    }
                }
                Poll::Ready(None) => return Poll::Ready(self.finish()),
                Poll::Pending => {
                    let asked = *self.asked.get_or_insert_with(Instant::now);
                    let Some(silence) = &mut self.silence else {
                        return Poll::Pending;
                    };
                    ready!(silence.as_mut().poll(cx));
                    let now = Instant::now();
                    let on_time = &self.timing.on_time;
                    let limit = source.flight.silence(Awaited::Next, on_time);
                    let waited = now - asked;
                    let is_lost = waited >= limit && source.flight.upstream.is_lost(limit, now);
                    if !is_lost && waited < on_time.longest() {
                        silence.as_mut().reset(now + look_every(limit));
                        continue;
                    }
                    source.flight.note_pause(Awaited::Next, waited);
                    if !self.begin_resuming("no event came for too long") {
                        self.silence = None;
                        return Poll::Pending;
                    }
                }
            }
        }
    }

    /// Returns the frame to pass on, if there is anything whole in it.
    fn pass(&mut self, frame: Frame<Bytes>) -> Option<Result<Frame<Bytes>, Broken>> {
        let Some(stream) = &mut self.resumable else {
            self.hear();
            return Some(Ok(frame));
        };
        let piece = match frame.into_data() {
            Ok(piece) => piece,
            Err(trailers) => return Some(Ok(trailers)),
        };
        match stream.events.push(&piece) {
            // Bytes that end no event are no progress: an upstream that dribbles is left like a silent one.
            Ok(whole) if whole.is_empty() => None,
            Ok(whole) => {
                self.hear();
                Some(Ok(Frame::data(whole)))
            }
            Err(e) => Some(Err(self.give_up(&e.to_string()))),
        }
    }

    /// Notes that the upstream is alive.
    fn hear(&mut self) {
        let now = Instant::now();
        if self.timing.is_stream && self.has_begun {
            self.timing.account.between_tokens(now - self.heard);
        }
        self.has_begun = true;
        self.heard = now;
        let asked = self.asked.take();
        let Some(source) = &self.source else {
            return;
        };
        source.flight.upstream.hear(now);
        if let Some(asked) = asked.filter(|_| self.timing.is_stream) {
            source.flight.note_pause(Awaited::Next, now - asked);
        }
        if let Some(silence) = &mut self.silence {
            let limit = source.flight.silence(Awaited::Next, &self.timing.on_time);
            silence.as_mut().reset(now + limit);
        }
    }

    /// Returns whether the stream is being taken up again.
    fn begin_resuming(&mut self, reason: &str) -> bool {
        let Some(stream) = &mut self.resumable else {
            return false;
        };
        stream.events.break_off();
        let after = stream.events.last_id();
        let spent: Box<dyn Resume> = Box::new(Spent);
        let resume = std::mem::replace(&mut stream.resume, spent);
        if let Some(source) = self.source.take() {
            source.flight.upstream.suspect(Instant::now());
            log::info!(
                event = "stream.broke_off", request = self.id.as_str(), after:? = after,
                upstream:% = source.flight.upstream.target.instance;
                "ingress: a stream broke off and is taken up again: {reason}"
            );
        }
        self.resuming = Some(resume.resume(after));
        true
    }

    /// Ends the answer properly; the connection is kept for the next request.
    fn finish(&mut self) -> Option<Result<Frame<Bytes>, Broken>> {
        self.end();
        let rest = self.resumable.as_mut()?.events.rest();
        (!rest.is_empty()).then(|| Ok(Frame::data(rest)))
    }

    fn end(&mut self) {
        if let Some(source) = self.source.take() {
            self.timing.account.answer(self.timing.arrived.elapsed());
            source.flight.upstream.trust();
            source.lease.give_back();
        }
    }

    fn give_up(&mut self, reason: &str) -> Broken {
        let source = self.source.take();
        let instance = source
            .as_ref()
            .map(|source| &source.flight.upstream.target.instance);
        log::warn!(
            event = "answer.cut", request = self.id.as_str(),
            upstream = instance.map(|name| name.as_str()).unwrap_or_default();
            "ingress: an answer is cut off: {reason}"
        );
        self.resuming = None;
        reason.to_owned().into()
    }

    fn is_ended(&self) -> bool {
        let ended = |source: &Source| source.body.is_end_stream();
        self.resuming.is_none()
            && self.resumable.is_none()
            && self.source.as_ref().is_none_or(ended)
    }
}

impl Drop for Passing {
    fn drop(&mut self) {
        // A body of known length is not asked for more after its last byte.
        if self
            .source
            .as_ref()
            .is_some_and(|source| source.body.is_end_stream())
        {
            self.end();
        }
    }
}

/// Stands in while a stream is being taken up again.
struct Spent;

impl Resume for Spent {
    fn resume(self: Box<Self>, _after: Option<u64>) -> BoxFuture<'static, Option<Resumed>> {
        Box::pin(std::future::ready(None))
    }
}
