//! One attempt of a request at an upstream, and the check that the response belongs to the request.

use std::{pin::pin, sync::atomic::Ordering, time::Duration};

use bytes::Bytes;
use futures_util::{
    future::BoxFuture,
    stream::{FuturesUnordered, StreamExt},
};
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode, Version, body::Incoming, header, http::response::Parts,
};
use tokio::time::{Instant, interval_at};

use super::{ForwardedRequest, millis};
use crate::{
    adapters::http::{
        Exchange, Framing, PooledConnection, UNREAD_REQUEST, Way, cut_error, is_final_status,
    },
    domain::{InstanceName, RequestClass},
    ingress::{
        errors::{Failure, NotRun, RequestError},
        headers::means_not_run,
        relay::{UpstreamBody, liveness_check_interval},
        response_body::{BeginError, Beginning, ResponseBody},
        upstream::Upstream,
        upstreams::InFlightGuard,
    },
    policy::{rate_limit::Statement, silence::Awaited},
    ports::{
        AcceptedRate, Clock, ForwardContext, Platform, ResponseMetadata, Sent, StatedBrittleness,
        UpstreamError, UpstreamErrorKind,
    },
};

/// An upstream's response that may be relayed to the caller.
pub(super) struct AcceptedResponse {
    pub(super) head: Parts,
    pub(super) source: UpstreamBody,
    /// When the request was sent to the upstream.
    pub(super) sent: Instant,
}

/// A request that was sent to an upstream.
pub(super) struct SentAttempt {
    in_flight: InFlightGuard,
    exchange: Exchange,
    sent: Instant,
    /// The same time on the clock of stated limits.
    sent_at: Duration,
}

/// How an attempt ended without a response for the caller.
pub(super) enum AttemptError {
    /// The request has not run at the upstream.
    NotRun(NotRun),
    /// The request may have run at the upstream.
    MayHaveRun(Failure),
    /// The upstream is silent and may still answer, and another one may get the request.
    Silent(Box<SentAttempt>),
}

/// An upstream's response whose body has begun.
struct BegunResponse {
    head: Parts,
    framing: Framing,
    body: ResponseBody,
}

impl BegunResponse {
    /// Waits until the body of a response begins; `is_only` says that no other upstream may answer.
    async fn begin(
        res: Response<Incoming>,
        beginning: Beginning,
        is_only: bool,
        deadline: Instant,
    ) -> Result<Self, UpstreamError> {
        let (head, body) = res.into_parts();
        let framing = Framing::of(&head, &body);
        let body = ResponseBody::begin(body, beginning, is_only, deadline).await;
        let body = body.map_err(|e| match e {
            BeginError::BrokeOff(_) => cut_error(&e.to_string()),
            BeginError::TooLate => {
                UpstreamError::new(UpstreamErrorKind::Silent, Sent::Maybe, e.to_string())
            }
        })?;
        Ok(Self {
            head,
            framing,
            body,
        })
    }
}

impl BegunResponse {
    /// Returns whether its connection has ended it, and its body has no bytes beyond those that are held.
    fn has_ended(&self) -> bool {
        self.framing == Framing::Connection && self.body.is_read()
    }
}

type Exchanged = (Box<SentAttempt>, Result<BegunResponse, UpstreamError>);

/// The attempts of a request whose upstreams are silent. Each may still answer, and is left only when another upstream has
/// answered.
#[derive(Default)]
pub(super) struct SilentAttempts {
    waiting: FuturesUnordered<BoxFuture<'static, Exchanged>>,
    /// The failure of the last of them that ended and may have run.
    failure: Option<Failure>,
}

impl SilentAttempts {
    /// Adds an attempt that goes on until its body begins or the deadline passes.
    fn add(&mut self, mut attempt: Box<SentAttempt>, beginning: Beginning, deadline: Instant) {
        self.waiting.push(Box::pin(async move {
            let result = match attempt.exchange.response().await {
                Ok(res) => BegunResponse::begin(res, beginning, false, deadline).await,
                Err(e) => Err(e),
            };
            (attempt, result)
        }));
    }

    /// Returns whether an upstream may have the request, or may have run it.
    pub(super) fn may_have_run(&self) -> bool {
        self.failure.is_some() || !self.waiting.is_empty()
    }

    fn record(&mut self, e: AttemptError) {
        if let AttemptError::MayHaveRun(failure) = e {
            self.failure = Some(failure);
        }
    }
}

impl<P: Platform, T: Clock> ForwardedRequest<P, T> {
    /// Makes an attempt while the upstreams of silent ones may still answer. The first answer ends the others.
    pub(super) async fn attempt_beside(
        &self,
        silent: &mut SilentAttempts,
        in_flight: InFlightGuard,
        resume_after: Option<u64>,
    ) -> Result<AcceptedResponse, AttemptError> {
        let is_only = silent.waiting.is_empty() && !self.is_beside_stream;
        let mut attempt = pin!(self.attempt(in_flight, resume_after, is_only));
        loop {
            tokio::select! {
                result = &mut attempt => return result,
                Some((earlier, result)) = silent.waiting.next() => {
                    match self.finish(*earlier, result) {
                        Ok(accepted) => return Ok(accepted),
                        Err(e) => silent.record(e),
                    }
                }
            }
        }
    }

    /// Waits for the upstreams of silent attempts when no other one can be tried.
    ///
    /// # Errors
    ///
    /// Returns the reason why no other one can be tried if none of them may have run the request.
    pub(super) async fn await_silent(
        &self,
        mut silent: SilentAttempts,
        reason: RequestError,
    ) -> Result<AcceptedResponse, RequestError> {
        while let Some((attempt, result)) = silent.waiting.next().await {
            match self.finish(*attempt, result) {
                Ok(accepted) => return Ok(accepted),
                Err(e) => silent.record(e),
            }
        }
        Err(silent.failure.map_or(reason, RequestError::from))
    }

    /// Sends the request to one upstream and classifies its response, its failure or its silence.
    async fn attempt(
        &self,
        in_flight: InFlightGuard,
        resume_after: Option<u64>,
        is_only: bool,
    ) -> Result<AcceptedResponse, AttemptError> {
        let sent = Instant::now();
        let sent_at = self.core.clock.monotonic();
        let left = self.time_left(sent);
        let upstream = &in_flight.upstream;
        let req = self.build_request(upstream.target.instance.clone(), left, resume_after);
        let (reach, client) = (&self.core.reach, &self.core.client);
        let connection = reach.connect(client, upstream, self.id(), self.deadline);
        let exchange = match connection.await {
            Ok(connection) => connection.start(req, self.deadline),
            Err(e) => return Err(self.record_failure(&in_flight, &e, None, sent.elapsed())),
        };
        self.handover.set_sent(true);
        let mut attempt = SentAttempt {
            in_flight,
            exchange,
            sent,
            sent_at,
        };
        let result = tokio::select! {
            result = attempt.exchange.response() => result,
            () = self.wait_until_given_up(&attempt.in_flight, sent) => {
                self.record_silence(&attempt);
                return Err(AttemptError::Silent(Box::new(attempt)));
            }
        };
        let result = match result {
            Ok(res) => BegunResponse::begin(res, self.beginning(), is_only, self.deadline).await,
            Err(e) => Err(e),
        };
        self.finish(attempt, result)
    }

    /// Keeps an attempt whose upstream is silent.
    pub(super) fn keep_silent(&self, silent: &mut SilentAttempts, attempt: Box<SentAttempt>) {
        silent.add(attempt, self.beginning(), self.deadline);
    }

    /// Returns how much of a body is there when it begins: the relay of a resumable stream holds partial events back.
    fn beginning(&self) -> Beginning {
        match self.route.class {
            RequestClass::ResumableStream => Beginning::Event,
            RequestClass::Idempotent | RequestClass::NonIdempotent | RequestClass::Stream => {
                Beginning::Frame
            }
        }
    }

    /// Classifies the end of an exchange.
    fn finish(
        &self,
        attempt: SentAttempt,
        result: Result<BegunResponse, UpstreamError>,
    ) -> Result<AcceptedResponse, AttemptError> {
        let SentAttempt {
            in_flight,
            exchange,
            sent,
            sent_at,
        } = attempt;
        let result = result.and_then(|response| {
            let status = response.head.status;
            match response.has_ended() && !exchange.connection().may_end_response(status) {
                true => Err(cut_error(UNREAD_REQUEST)),
                false => Ok(response),
            }
        });
        match result {
            Ok(response) => {
                let connection = exchange.into_connection();
                self.check_response(in_flight, connection, response, sent, sent_at)
            }
            Err(e) => {
                let way = Some(exchange.connection().way());
                Err(self.record_failure(&in_flight, &e, way, sent.elapsed()))
            }
        }
    }

    /// Records that an upstream is silent, and that another one is tried.
    fn record_silence(&self, attempt: &SentAttempt) {
        let in_flight = &attempt.in_flight;
        let waited = attempt.sent.elapsed();
        // Engines are silent while they read a prompt, whatever the connection.
        if !self.route.class.is_stream() {
            attempt.exchange.connection().record_silence();
        }
        let longest = self.response_targets().max_silence();
        in_flight.record_wait(Awaited::First, waited.min(longest));
        in_flight.upstream.record_failure(Instant::now());
        log::info!(
            event = "attempt.silent", request = self.id(),
            upstream:% = in_flight.upstream.target.instance, attempt = self.tried.len(),
            waited_ms = millis(waited);
            "ingress: an upstream is silent, and another one is tried"
        );
    }

    /// Waits until an upstream counts as lost and another one may get the request; otherwise waits forever.
    async fn wait_until_given_up(&self, in_flight: &InFlightGuard, sent: Instant) {
        let class = self.route.class;
        if !class.may_repeat() || self.attempts_exhausted() {
            return std::future::pending().await;
        }
        let response_targets = self.response_targets();
        let timeout = in_flight.silence_timeout(Awaited::First, &response_targets);
        let mut checks = interval_at(sent + timeout, liveness_check_interval(timeout));
        loop {
            checks.tick().await;
            let now = Instant::now();
            let is_silent = !class.is_stream()
                || in_flight.upstream.is_lost(timeout, now)
                || now - sent >= response_targets.max_silence();
            // The retry is paid at once, as others that are given up at the same time would need the same budget.
            if is_silent
                && self.can_retry(&self.eligible(), now)
                && self.core.budgets.try_spend(&self.service, now)
            {
                self.retry_paid.store(true, Ordering::Relaxed);
                return;
            }
        }
    }

    /// Records a failed exchange and decides whether the request may have run.
    fn record_failure(
        &self,
        in_flight: &InFlightGuard,
        e: &UpstreamError,
        way: Option<Way>,
        waited: Duration,
    ) -> AttemptError {
        let upstream = &in_flight.upstream;
        if e.kind == UpstreamErrorKind::Silent {
            let longest = self.response_targets().max_silence();
            in_flight.record_wait(Awaited::First, waited.min(longest));
        }
        // A partition or a tunnel may have ended the connection while the upstream is out of direct reach.
        if e.kind == UpstreamErrorKind::Cut && e.sent == Sent::Maybe && !upstream.is_cut_off() {
            self.core
                .crashes
                .record_cut_off(&self.traits, upstream, false);
        }
        upstream.record_failure(Instant::now());
        log::warn!(
            event = "attempt.failed", request = self.id(), upstream:% = upstream.target.instance,
            service:% = self.service, attempt = self.tried.len(), sent:? = e.sent, kind:? = e.kind,
            way:? = way, choice = in_flight.reason.name(), waited_ms = millis(waited),
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

    /// Decides whether a response is genuine and final, and may be relayed to the caller. Its
    /// request was sent at `sent`, which is `sent_at` on the clock of stated limits.
    fn check_response(
        &self,
        in_flight: InFlightGuard,
        connection: PooledConnection,
        response: BegunResponse,
        sent: Instant,
        sent_at: Duration,
    ) -> Result<AcceptedResponse, AttemptError> {
        let status = response.head.status;
        let facts = self
            .core
            .platform
            .read_answer(status, &response.head.headers);
        let upstream = &in_flight.upstream;
        let now = Instant::now();
        if connection.way() == Way::Direct {
            upstream.reach().record_activity();
        }
        self.apply_signals(upstream, &facts, now);
        let is_foreign = facts.id.as_deref().is_some_and(|id| id != self.id());
        if is_foreign || (status.is_success() && !facts.signed) {
            upstream.record_failure(now);
            log::warn!(
                event = "answer.foreign", request = self.id(),
                upstream:% = upstream.target.instance, status = status.as_u16(),
                answers = facts.id.as_deref().unwrap_or_default(), signed = facts.signed;
                "ingress: rejected a response that is unsigned or belongs to another request"
            );
            return Err(AttemptError::MayHaveRun(Failure::Unclear));
        }
        if !is_final_status(status) {
            upstream.record_failure(now);
            log::warn!(
                event = "answer.no_status", request = self.id(),
                upstream:% = upstream.target.instance, status = status.as_u16(),
                attempt = self.tried.len();
                "ingress: rejected a response whose status is none of a final response"
            );
            return Err(AttemptError::MayHaveRun(Failure::Unclear));
        }
        // A misdirected request was received by another upstream.
        if status != StatusCode::MISDIRECTED_REQUEST {
            self.apply_limit(upstream, facts.rate, sent_at);
            self.apply_brittleness(upstream, facts.brittle);
        }
        if let Some(load) = facts.load {
            upstream.record_load(load, now);
        }
        if facts.not_executed {
            self.core.counters.not_executed.increment();
            if status == StatusCode::SERVICE_UNAVAILABLE {
                self.core.upstreams.record_rejection(upstream, now);
            }
            log::info!(
                event = "attempt.not_executed", request = self.id(),
                upstream:% = upstream.target.instance, status = status.as_u16(),
                attempt = self.tried.len();
                "ingress: the upstream has not run the request"
            );
            return Err(AttemptError::NotRun(NotRun::Busy));
        }
        if means_not_run(status) {
            // Without the upstream's explicit confirmation, relaying such a status would promise too much.
            return Err(AttemptError::MayHaveRun(Failure::Unclear));
        }
        if status.is_server_error() && self.route.class.may_repeat() && !self.attempts_exhausted() {
            return Err(AttemptError::MayHaveRun(Failure::Unclear));
        }
        upstream.record_activity(now);
        let BegunResponse {
            head,
            framing,
            body,
        } = response;
        Ok(AcceptedResponse {
            source: UpstreamBody {
                framing,
                body,
                lease: connection,
                in_flight,
            },
            head,
            sent,
        })
    }

    /// Applies an upstream's signals that it is leaving or wants a pause, whatever the response is otherwise.
    /// Neither counts as a failure of the upstream.
    fn apply_signals(&self, upstream: &Upstream, facts: &ResponseMetadata, now: Instant) {
        if facts.leaving && upstream.record_leaving(now) {
            self.core.counters.said_leaving.increment();
            log::info!(
                event = "upstream.says_leaving", request = self.id(),
                upstream:% = upstream.target.instance, service:% = self.service;
                "ingress: an upstream announced in a response that it is leaving"
            );
            // Requests in progress still end there; idle connections are no longer needed.
            self.core.client.retain(|target| *target != upstream.target);
        }
        if let Some(pause) = facts.pause {
            self.core.counters.pauses.increment();
            upstream.record_pause(pause, now);
            log::info!(
                event = "upstream.asks_pause", request = self.id(),
                upstream:% = upstream.target.instance, service:% = self.service,
                pause_ms = millis(pause);
                "ingress: an upstream asked for a pause"
            );
        }
    }

    /// Applies what a response to a request that was sent at `sent_at` states about the upstream's limit.
    fn apply_limit(&self, upstream: &Upstream, rate: AcceptedRate, sent_at: Duration) {
        if rate != AcceptedRate::Unlimited {
            self.core.counters.rates_stated.increment();
        }
        let limit = match rate {
            AcceptedRate::Unlimited => None,
            AcceptedRate::PerSecond(limit) => Some(limit),
            AcceptedRate::Unreadable => {
                log::warn!(
                    event = "upstream.limit_unreadable", request = self.id(),
                    upstream:% = upstream.target.instance, limit:? = upstream.limit();
                    "ingress: an upstream states a limit that is not a rate; the limit in force stays"
                );
                return;
            }
        };
        let statement = Statement {
            limit,
            sent: sent_at,
            received: self.core.clock.monotonic(),
        };
        let before = upstream.limit();
        if upstream.record_limit(statement) {
            log::info!(
                event = "upstream.limits", request = self.id(),
                upstream:% = upstream.target.instance, service:% = self.service,
                limit:? = upstream.limit(), before:? = before;
                "ingress: an upstream changed the requests per second that it accepts"
            );
        }
    }

    /// Applies what a response states about the rejections that the upstream bears.
    fn apply_brittleness(&self, upstream: &Upstream, stated: StatedBrittleness) {
        let bears = match stated {
            StatedBrittleness::No => None,
            StatedBrittleness::Bears(bears) => Some(bears),
            StatedBrittleness::Unreadable => {
                log::warn!(
                    event = "upstream.brittleness_unreadable", request = self.id(),
                    upstream:% = upstream.target.instance;
                    "ingress: an upstream states how brittle it is in another form; what is known stays"
                );
                return;
            }
        };
        if upstream.record_brittleness(bears) {
            log::info!(
                event = "upstream.brittle", request = self.id(),
                upstream:% = upstream.target.instance, service:% = self.service, bears:? = bears;
                "ingress: an upstream changed how many rejections per second it bears"
            );
        }
    }

    /// Builds the request for one upstream, with its own deadline and headers.
    fn build_request(
        &self,
        instance: InstanceName,
        left: Duration,
        resume_after: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let mut headers = self.headers.clone();
        let forwarding = ForwardContext {
            time_left: Some(left),
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
