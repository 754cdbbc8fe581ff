//! Builds the caller's response from an upstream's response, and resumes streams that broke off.

use std::{sync::Arc, time::Duration};

use futures_util::future::BoxFuture;
use hyper::{Response, StatusCode};
use tokio::time::{Instant, sleep};

use super::{ForwardedRequest, attempt::AcceptedResponse};
use crate::{
    adapters::http::{EndsWithConnection, Framing, RespondBy},
    domain::RequestClass,
    ingress::{
        answer_record::AnswerRecord,
        events::EventSplitter,
        headers::without_connection_headers,
        origins::StreamOrigin,
        relay::{
            Handover, Previous, Relay, RelayContext, Resume, ResumeState, Resumed, UpstreamBody,
        },
        upstream::Eligible,
    },
    policy::origins::{Origin, StreamId},
    ports::{Clock, Platform},
};

/// Poll interval for an upstream that can resume a broken stream; several polls fit into the time after
/// which callers give up.
const RESUME_POLL_INTERVAL: Duration = Duration::from_millis(50);

impl<P: Platform, T: Clock> Resume for ForwardedRequest<P, T> {
    fn can_resume(&self, after: Option<u64>, origin: Option<&Origin>) -> bool {
        let eligible = Eligible {
            tried: &self.tried,
            origin,
            versions: &self.versions,
        };
        (after.is_none() || origin.is_some()) && self.can_retry(&eligible, Instant::now())
    }

    fn resume(
        mut self: Box<Self>,
        after: Option<u64>,
        origin: Option<Origin>,
        previous: Previous,
        handover: Handover,
    ) -> BoxFuture<'static, Result<Resumed, Box<dyn Resume>>> {
        Box::pin(async move {
            self.attempts += 1;
            if self.attempts_exhausted() || (after.is_some() && origin.is_none()) {
                return Err(self as Box<dyn Resume>);
            }
            self.origin = origin;
            self.handover = handover.clone();
            self.is_beside_stream = previous == Previous::Silent;
            let attempt = async {
                if previous == Previous::Gone {
                    self.wait_for_upstream().await;
                }
                self.try_upstreams(after).await
            };
            let found = tokio::select! {
                biased;
                () = handover.cancelled() => None,
                found = attempt => Some(found),
            };
            let Some(found) = found else {
                log::info!(
                    event = "stream.not_resumed", request = self.id(), previous:? = previous;
                    "ingress: the previous upstream of a stream is at work"
                );
                return Err(self as Box<dyn Resume>);
            };
            match found {
                Ok(accepted) if accepted.head.status.is_success() => {
                    self.core.counters.resumed.increment();
                    log::info!(
                        event = "stream.resumed", request = self.id(), after:? = after,
                        upstream:% = accepted.source.in_flight.upstream.target.instance,
                        attempt = self.tried.len(),
                        software = self.origin.as_ref().map_or("", |origin| origin.software.as_str());
                        "ingress: resumed a stream"
                    );
                    Ok(Resumed {
                        source: accepted.source,
                        resume: self,
                    })
                }
                Ok(accepted) => {
                    let status = accepted.head.status;
                    log::warn!(
                        event = "stream.not_resumed", request = self.id(), status = status.as_u16(),
                        previous:? = previous;
                        "ingress: another upstream did not take a stream over"
                    );
                    Err(self)
                }
                Err(error) => {
                    log::warn!(
                        event = "stream.not_resumed", request = self.id(), outcome:? = error,
                        previous:? = previous;
                        "ingress: another upstream did not take a stream over"
                    );
                    Err(self)
                }
            }
        })
    }
}

impl<P: Platform, T: Clock> ForwardedRequest<P, T> {
    /// Builds the response for the caller, whose body resumes itself if the route allows it.
    pub(super) fn into_response(self, accepted: AcceptedResponse) -> Response<Relay> {
        let AcceptedResponse { head, source, .. } = accepted;
        let framing = source.framing;
        let record = self.record_response(head.status, &source);
        let (deadline, id) = (self.deadline, self.id().to_owned());
        let context = RelayContext {
            account: self.metrics.clone(),
            arrived: self.arrived,
            record: Some(record),
            status: head.status,
            is_stream: self.route.class.is_stream() && head.status.is_success(),
            response_targets: self.response_targets(),
            traits: Arc::clone(&self.traits),
            crashes: Arc::clone(&self.core.crashes),
            rollouts: Arc::clone(&self.core.rollouts),
            route: Arc::clone(&self.route.name),
            _timer: self.core.shutdown.measure(&self.route.name, self.arrived),
        };
        // A resumed stream could not keep to a length that was announced.
        let can_resume = self.route.class == RequestClass::ResumableStream
            && head.status.is_success()
            && framing != Framing::Length;
        let resumable = can_resume.then(|| ResumeState {
            events: EventSplitter::resume_after(self.facts.resume_after),
            origin: self.stream_origin(),
            resume: Box::new(self),
        });
        let mut res = Response::new(Relay::new(source, resumable, deadline, id, context));
        *res.status_mut() = head.status;
        *res.headers_mut() = without_connection_headers(head.headers);
        res.extensions_mut().insert(RespondBy(deadline));
        if framing == Framing::Connection {
            res.extensions_mut().insert(EndsWithConnection);
        }
        res
    }

    fn stream_origin(&self) -> StreamOrigin {
        let origins = Arc::clone(&self.core.origins);
        let id = self.facts.id.as_deref();
        let stream = id.map(|id| StreamId::new(self.account.as_ref(), id));
        StreamOrigin::new(origins, stream, self.origin.clone())
    }

    /// Records that a response begins, and returns what is recorded when it ends.
    fn record_response(&self, status: StatusCode, source: &UpstreamBody) -> AnswerRecord {
        let in_flight = &source.in_flight;
        let begun = Instant::now();
        self.metrics
            .record_first_token(begun.duration_since(self.arrived));
        AnswerRecord {
            id: self.id().to_owned(),
            route: Arc::clone(&self.route.name),
            class: self.route.class,
            account: self.metrics.clone(),
            counters: Arc::clone(&self.core.counters),
            status,
            framing: source.framing,
            way: source.lease.way(),
            attempts: self.tried.len(),
            upstream: in_flight.upstream.target.instance.clone(),
            choice: in_flight.reason.name(),
            arrived: self.arrived,
            begun,
        }
    }

    /// Waits until an untried upstream is available and the retry budget allows an attempt, but no longer than
    /// the caller of a stream can still use the rest of it.
    async fn wait_for_upstream(&self) {
        let until = self
            .deadline
            .min(Instant::now() + self.response_targets().max_silence());
        loop {
            let now = Instant::now();
            if now >= until || self.can_retry(&self.eligible(), now) {
                return;
            }
            sleep(RESUME_POLL_INTERVAL).await;
        }
    }
}
