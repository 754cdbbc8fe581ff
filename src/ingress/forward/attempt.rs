//! One attempt of a request at an upstream, and whose answer it is that comes back.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Version, header, http::response::Parts};
use tokio::time::{Instant, interval_at};

use super::{ForwardedRequest, millis};
use crate::{
    adapters::http::{Answer, Reuse},
    domain::InstanceName,
    ingress::{
        answer::{Failure, NotRun},
        headers::means_not_run,
        relay::{UpstreamBody, liveness_check_interval},
        upstream::Upstream,
        upstreams::InFlightGuard,
    },
    policy::silence::Awaited,
    ports::{AnswerFacts, Clock, Forwarding, Platform, Sent, UpstreamError, UpstreamErrorKind},
};

/// An upstream's answer that is the caller's.
pub(super) struct AcceptedResponse {
    pub(super) head: Parts,
    pub(super) source: UpstreamBody,
}

/// How one attempt ended without an answer for the caller.
pub(super) enum AttemptError {
    /// It has not run there.
    NotRun(NotRun),
    /// It may have run there.
    MayHaveRun(Failure),
}

impl<P: Platform, T: Clock> ForwardedRequest<P, T> {
    /// Sends the request to one upstream and decides what its answer, or its silence, means.
    pub(super) async fn attempt(
        &self,
        in_flight: InFlightGuard,
        resume_after: Option<u64>,
    ) -> Result<AcceptedResponse, AttemptError> {
        let now = Instant::now();
        let left = self.time_left(now);
        let upstream = &in_flight.upstream;
        let req = self.build_request(upstream.target.instance.clone(), left, resume_after);
        let client = &self.core.client;
        let sent = client.exchange(
            &upstream.target,
            req,
            Reuse::Allowed,
            self.response_deadline(now),
        );
        let answer = tokio::select! {
            answer = sent => answer,
            e = self.wait_until_lost(&in_flight, now) => Err(e),
        };
        let answer = match answer {
            Ok(answer) => answer,
            Err(e) => return Err(self.record_failure(&in_flight, &e, now.elapsed())),
        };
        self.check_response(in_flight, answer)
    }

    /// Waits until an engine is taken to be lost, if the request may then go to another one.
    async fn wait_until_lost(&self, in_flight: &InFlightGuard, sent: Instant) -> UpstreamError {
        let class = self.route.class;
        if !class.is_stream() || !class.may_repeat() || self.attempts_exhausted() {
            return std::future::pending().await;
        }
        let limit = in_flight.silence_limit(Awaited::First, &self.on_time());
        let mut checks = interval_at(sent + limit, liveness_check_interval(limit));
        loop {
            checks.tick().await;
            if in_flight.upstream.is_lost(limit, Instant::now()) {
                let message = "the engine gives no sign of life";
                return UpstreamError::new(UpstreamErrorKind::Silent, Sent::Maybe, message);
            }
        }
    }

    /// Returns until when an upstream may be silent. If the request may be repeated, some time is kept
    /// for another one.
    fn response_deadline(&self, now: Instant) -> Instant {
        if !self.route.class.may_repeat() || self.attempts_exhausted() {
            return self.deadline;
        }
        let on_time = self.on_time();
        let patience = match self.route.class.is_stream() {
            true => on_time.longest(),
            false => {
                let upstreams = &self.core.upstreams;
                upstreams.silence_limit(&self.service, Awaited::First, &on_time)
            }
        };
        self.deadline.min(now + patience)
    }

    fn record_failure(
        &self,
        in_flight: &InFlightGuard,
        e: &UpstreamError,
        waited: Duration,
    ) -> AttemptError {
        let upstream = &in_flight.upstream;
        if e.kind == UpstreamErrorKind::Silent {
            in_flight.record_wait(Awaited::First, waited);
        }
        upstream.record_failure(Instant::now());
        log::warn!(
            event = "attempt.failed", request = self.id(), upstream:% = upstream.target.instance,
            attempt = self.tried.len(), sent:? = e.sent, kind:? = e.kind,
            ms = millis(self.arrived.elapsed());
            "ingress: an attempt failed: {e}"
        );
        match (e.sent, e.kind) {
            (Sent::No, _) => AttemptError::NotRun(NotRun::Unreachable),
            (Sent::Maybe, UpstreamErrorKind::Silent) => {
                AttemptError::MayHaveRun(Failure::Unanswered)
            }
            (Sent::Maybe, _) => AttemptError::MayHaveRun(Failure::Unclear),
        }
    }

    /// Decides whether an answer is the caller's.
    fn check_response(
        &self,
        in_flight: InFlightGuard,
        answer: Answer,
    ) -> Result<AcceptedResponse, AttemptError> {
        let status = answer.res.status();
        let facts = self.core.platform.read_answer(status, answer.res.headers());
        let upstream = &in_flight.upstream;
        let now = Instant::now();
        self.apply_signals(upstream, &facts, now);
        let is_foreign = facts.id.as_deref().is_some_and(|id| id != self.id());
        if is_foreign || (status.is_success() && !facts.signed) {
            upstream.record_failure(now);
            log::warn!(
                event = "answer.foreign", request = self.id(),
                upstream:% = upstream.target.instance, status = status.as_u16(),
                answers = facts.id.as_deref().unwrap_or_default(), signed = facts.signed;
                "ingress: an answer is not the request's own"
            );
            return Err(AttemptError::MayHaveRun(Failure::Unclear));
        }
        if let Some(load) = facts.load {
            upstream.record_load(load, now);
        }
        if facts.not_executed {
            self.core.counters.not_executed.add();
            log::info!(
                event = "attempt.not_executed", request = self.id(),
                upstream:% = upstream.target.instance, status = status.as_u16(),
                attempt = self.tried.len();
                "ingress: the upstream has not run the request"
            );
            return Err(AttemptError::NotRun(NotRun::Busy));
        }
        if means_not_run(status) {
            // Without the upstream's own word, such a status would promise too much.
            return Err(AttemptError::MayHaveRun(Failure::Unclear));
        }
        if status.is_server_error() && self.route.class.may_repeat() && !self.attempts_exhausted() {
            return Err(AttemptError::MayHaveRun(Failure::Unclear));
        }
        upstream.record_activity(now);
        let (head, body) = answer.res.into_parts();
        Ok(AcceptedResponse {
            head,
            source: UpstreamBody {
                body,
                lease: answer.connection,
                in_flight,
            },
        })
    }

    /// Takes an upstream's word that it leaves or wants a pause, whatever else its answer says. Neither is a
    /// failure of the upstream.
    fn apply_signals(&self, upstream: &Upstream, facts: &AnswerFacts, now: Instant) {
        if facts.leaving && upstream.record_leaving(now) {
            self.core.counters.said_leaving.add();
            log::info!(
                event = "upstream.says_leaving", request = self.id(),
                upstream:% = upstream.target.instance, service:% = self.service;
                "ingress: an upstream says in an answer that it leaves"
            );
            // Requests in progress end there; idle connections are of no use any more.
            self.core.client.retain(|target| *target != upstream.target);
        }
        if let Some(pause) = facts.pause {
            self.core.counters.pauses.add();
            upstream.record_pause(pause, now);
            log::info!(
                event = "upstream.asks_pause", request = self.id(),
                upstream:% = upstream.target.instance, service:% = self.service,
                pause_ms = millis(pause);
                "ingress: an upstream asks for a pause"
            );
        }
    }

    fn build_request(
        &self,
        instance: InstanceName,
        left: Duration,
        resume_after: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let mut headers = self.headers.clone();
        let forwarding = Forwarding {
            left: Some(left),
            instance: &instance,
            account: self.account.as_ref(),
            resume_after,
        };
        self.core
            .platform
            .forward_request(&mut headers, &forwarding);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.version_mut() = Version::HTTP_11;
        *req.headers_mut() = headers;
        req
    }
}
