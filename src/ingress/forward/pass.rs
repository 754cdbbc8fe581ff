//! Passing an upstream's answer on to the caller, and taking a stream up again that broke off.

use std::time::Duration;

use futures_util::future::BoxFuture;
use hyper::{Response, StatusCode, header};
use tokio::time::{Instant, sleep};

use super::{Passage, attempt::Accepted, millis};
use crate::{
    domain::RequestClass,
    ingress::{
        events::EventCutter,
        heads::without_connection_headers,
        relay::{Relay, Resumable, Resume, Resumed, Timing},
        upstreams::Flight,
    },
    ports::{Clock, Platform},
    telemetry::Outcome,
};

/// Time between two looks whether a stream that broke off finds an upstream again; some looks fit into the
/// time after which callers leave.
const LOOK_FOR_UPSTREAM: Duration = Duration::from_millis(50);

impl<P: Platform, T: Clock> Resume for Passage<P, T> {
    fn resume(mut self: Box<Self>, after: Option<u64>) -> BoxFuture<'static, Option<Resumed>> {
        Box::pin(async move {
            self.attempts += 1;
            if self.is_exhausted() {
                return None;
            }
            self.wait_for_upstream().await;
            let found = self.search(after).await;
            match found {
                Ok(accepted) if accepted.head.status.is_success() => {
                    self.core.counters.resumed.add();
                    log::info!(
                        event = "stream.resumed", request = self.id(), after:? = after,
                        upstream:% = accepted.source.flight.upstream.target.instance,
                        attempt = self.tried.len();
                        "ingress: a stream is taken up again"
                    );
                    Some(Resumed {
                        source: accepted.source,
                        resume: self,
                    })
                }
                Ok(accepted) => {
                    let status = accepted.head.status;
                    log::warn!(
                        event = "stream.lost", request = self.id(), status = status.as_u16();
                        "ingress: a stream is not taken up again"
                    );
                    None
                }
                Err(ended) => {
                    log::warn!(
                        event = "stream.lost", request = self.id(), outcome:? = ended;
                        "ingress: a stream is not taken up again"
                    );
                    None
                }
            }
        })
    }
}

impl<P: Platform, T: Clock> Passage<P, T> {
    /// Makes the answer for the caller.
    pub(super) fn pass(self, accepted: Accepted) -> Response<Relay> {
        let Accepted { head, source } = accepted;
        self.note_answer(head.status, &source.flight);
        let (deadline, id) = (self.deadline, self.id().to_owned());
        let timing = Timing {
            account: self.metrics.clone(),
            arrived: self.arrived,
            is_stream: self.route.class.is_stream(),
            on_time: self.on_time(),
        };
        // A length would not be that of a stream that is taken up again.
        let can_resume = self.route.class == RequestClass::ResumableStream
            && head.status.is_success()
            && !head.headers.contains_key(header::CONTENT_LENGTH);
        let resumable = can_resume.then(|| Resumable {
            events: EventCutter::after(self.facts.resume_after),
            resume: Box::new(self),
        });
        let mut res = Response::new(Relay::new(source, resumable, deadline, id, timing));
        *res.status_mut() = head.status;
        *res.headers_mut() = without_connection_headers(head.headers);
        res
    }

    fn note_answer(&self, status: StatusCode, flight: &Flight) {
        let duration = self.arrived.elapsed();
        self.metrics.first_token(duration);
        let (level, outcome, message) = match status.is_success() {
            true => (log::Level::Info, Outcome::Answered, "a request is answered"),
            false => (
                log::Level::Warn,
                Outcome::UpstreamFailed,
                "a request is answered with the upstream's failure",
            ),
        };
        self.count(outcome);
        log::log!(
            level,
            event = "request.answered", request = self.id(), route = &*self.route.name,
            upstream:% = flight.upstream.target.instance, status = status.as_u16(),
            attempt = self.tried.len(), choice = flight.reason.name(), ms = millis(duration);
            "ingress: {message}"
        );
    }

    /// Waits, as long as the caller of a stream can still use the rest of it, until there is an upstream to
    /// take it up and a further attempt may be made.
    async fn wait_for_upstream(&self) {
        let until = self.deadline.min(Instant::now() + self.on_time().longest());
        loop {
            let now = Instant::now();
            let is_there = self
                .core
                .upstreams
                .has_other(&self.service, &self.tried, now);
            if now >= until || (is_there && self.core.budgets.has_left(&self.service, now)) {
                return;
            }
            sleep(LOOK_FOR_UPSTREAM).await;
        }
    }
}
