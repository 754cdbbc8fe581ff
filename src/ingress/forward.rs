//! The path of one request: route, account, body, quota, then attempts at upstreams until one answers.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Uri, Version,
    body::Incoming,
    header::{self, HeaderValue},
    http::response::Parts,
};
use tokio::time::{Instant, interval_at, sleep, timeout_at};

use super::{
    Core,
    admit::{account, take_quota},
    answer::{Ended, Failure, NotRun, respond},
    events::EventCutter,
    heads::{host, promises_not_run, without_connection_headers},
    relay::{Relay, Resumable, Resume, Resumed, Source, Timing, look_every},
    upstreams::Flight,
};
use crate::{
    adapters::http::{Answer, Reuse},
    domain::{AccountName, InstanceName, RequestClass, Route, RouteIndex, ServiceName},
    policy::{
        route::RouteRequest,
        silence::{Awaited, OnTime},
    },
    ports::{
        Clock, Forwarding, Platform, PromptFacts, RequestFacts, Sent, UpstreamError,
        UpstreamErrorKind,
    },
    telemetry::{AccountMetrics, Outcome},
};

/// Upstreams that have no room or no connection and are tried for one request. Such an attempt does
/// not run, so this bounds the search only.
const MOST_REFUSED: usize = 3;

/// Time between two looks whether a stream that broke off finds an upstream again; some looks fit into the
/// time after which callers leave.
const LOOK_FOR_UPSTREAM: Duration = Duration::from_millis(50);

/// Answers one request.
pub(super) async fn answer<P: Platform, T: Clock>(
    core: Arc<Core<P, T>>,
    req: Request<Incoming>,
) -> Response<Relay> {
    let arrived = Instant::now();
    let facts = core.platform.read_request(req.headers());
    let id = facts.id.clone().unwrap_or_default();
    let mut taking = Taking::new(&req);
    let mut res = match Passage::begin(Arc::clone(&core), req, facts, arrived, &mut taking).await {
        Ok(mut passage) => match passage.run().await {
            Ok(accepted) => passage.pass(accepted),
            Err(ended) => passage.give_up(ended),
        },
        Err(ended) => {
            let account = taking.account.as_ref();
            log::warn!(
                event = "request.ended", request = id.as_str(), outcome:? = ended, attempts = 0,
                host = &*taking.host, path = taking.uri.path(),
                version = taking.version,
                route = taking.route.as_ref().map_or("", |route| &*route.name),
                account = account.map_or("", |account| account.as_str()),
                ms = millis(arrived.elapsed());
                "ingress: a request is not taken"
            );
            let outcome = core.counters.ended(ended);
            let class = taking.route.map(|route| route.class);
            let account = core.counters.account(account);
            core.counters.outcome(class, &account, outcome);
            respond(&*core.platform, &id, ended)
        }
    };
    if core.leaving.load(std::sync::atomic::Ordering::Relaxed) {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(header::CONNECTION, close);
    }
    res
}

/// What is known of a request until it is taken.
struct Taking {
    host: String,
    uri: Uri,
    /// The version of the table that it is looked up in.
    version: u64,
    route: Option<Route>,
    account: Option<AccountName>,
}

impl Taking {
    fn new(req: &Request<Incoming>) -> Self {
        Self {
            host: host(req).unwrap_or_default().to_owned(),
            uri: req.uri().clone(),
            version: 0,
            route: None,
            account: None,
        }
    }
}

/// A request that was taken.
struct Passage<P, T> {
    core: Arc<Core<P, T>>,
    table: Arc<RouteIndex>,
    route: Route,
    service: ServiceName,
    account: Option<AccountName>,
    /// The metrics of the account.
    metrics: AccountMetrics,
    facts: RequestFacts,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    arrived: Instant,
    /// When the caller, or the route's time, gives up.
    deadline: Instant,
    tried: Vec<InstanceName>,
    /// Attempts that may have run.
    attempts: u32,
    /// Since when the account's usage includes it, in milliseconds since the Unix epoch.
    counted_at: Option<u64>,
}

/// An upstream's answer that is the caller's.
struct Accepted {
    head: Parts,
    source: Source,
}

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

/// How one attempt ended without an answer for the caller.
enum Attempt {
    /// It has not run there.
    NotRun(NotRun),
    /// It may have run there.
    MayHaveRun(Failure),
}

impl<P: Platform, T: Clock> Passage<P, T> {
    /// Finds the route and the account, reads the body and takes the quota.
    async fn begin(
        core: Arc<Core<P, T>>,
        req: Request<Incoming>,
        facts: RequestFacts,
        arrived: Instant,
        taking: &mut Taking,
    ) -> Result<Self, Ended> {
        let table = core.routes.load_full();
        taking.version = table.table.version;
        if taking.version == 0 {
            return Err(NotRun::NoTable.into());
        }
        let route = table
            .route(&taking.host, taking.uri.path())
            .ok_or(Failure::NoRoute)?;
        let route = route.clone();
        taking.route = Some(route.clone());
        let account = account(&table, &route, &facts)?;
        taking.account.clone_from(&account);
        let draw = rand::random();
        let service = route.pick_service(draw).ok_or(Failure::NoRoute)?.clone();
        let patience = facts.patience.unwrap_or(route.timeout).min(route.timeout);
        let deadline = arrived + patience;
        let (head, body) = req.into_parts();
        let limit = table.table.limits.body_bytes;
        let body = timeout_at(deadline, Limited::new(body, limit).collect())
            .await
            .map_err(|_| NotRun::BodySlow)?
            .map_err(|e| match e.is::<LengthLimitError>() {
                true => Failure::BodyTooLarge,
                false => Failure::BodyCut,
            })?;
        // A stream that its caller takes up again has been served in part already.
        if route.class.is_stream() && facts.resume_after.is_none() {
            let rank = || table.urgency(&service, &route, account.as_ref());
            if let Some(after) = core.upstreams.refuse(&service, rank, Instant::now()) {
                return Err(NotRun::Overloaded(after).into());
            }
        }
        if let Some(account) = &account {
            take_quota(&core, account, &facts).await?;
        }
        let metrics = core.counters.account(account.as_ref());
        Ok(Self {
            core,
            table,
            metrics,
            service,
            account,
            facts,
            method: head.method,
            uri: head.uri,
            headers: without_connection_headers(head.headers),
            body: body.to_bytes(),
            arrived,
            deadline,
            tried: Vec::new(),
            attempts: 0,
            counted_at: None,
            route,
        })
    }

    /// Sends the request to upstreams until one answers for the caller.
    async fn run(&mut self) -> Result<Accepted, Ended> {
        self.core.budgets.earn(&self.service, Instant::now());
        self.search(None).await
    }

    /// Tries upstreams; a stream that is taken up again goes on after an event.
    async fn search(&mut self, resume_after: Option<u64>) -> Result<Accepted, Ended> {
        let mut refused = 0;
        loop {
            // Lets the connection notice that the caller has left, above all after the process stood
            // still: this request is then dropped here.
            tokio::task::yield_now().await;
            let now = Instant::now();
            if now >= self.deadline {
                return Err(self.unless_run(NotRun::TooLate));
            }
            let Some(flight) = self.choose(now) else {
                return Err(self.unless_run(NotRun::NoUpstream));
            };
            let repeats = !self.tried.is_empty();
            if repeats && !self.core.budgets.spend(&self.service, now) {
                return Err(self.unless_run(NotRun::Busy));
            }
            self.core.counters.attempts.add();
            self.core.counters.choice(flight.reason);
            if repeats {
                self.core.counters.repeated.add();
            }
            self.tried.push(flight.upstream.target.instance.clone());
            // A plain service begins at once, also if its answer never comes; an engine begins with its
            // first event.
            if !self.route.class.is_stream() {
                self.count_run();
            }
            match self.attempt(flight, resume_after).await {
                Ok(accepted) => {
                    self.count_run();
                    let flight = &accepted.source.flight;
                    flight.note_pause(Awaited::First, now.elapsed());
                    // Only requests for engines are refused by what others waited.
                    if self.route.class.is_stream() && resume_after.is_none() {
                        let (upstreams, target) = (&self.core.upstreams, self.route.target);
                        upstreams.note_wait(
                            &self.service,
                            now.elapsed(),
                            target,
                            self.new_tokens(),
                        );
                    }
                    return Ok(accepted);
                }
                Err(Attempt::NotRun(reason)) => {
                    self.uncount_run();
                    refused += 1;
                    if refused >= MOST_REFUSED || self.is_exhausted() {
                        return Err(self.unless_run(reason));
                    }
                }
                Err(Attempt::MayHaveRun(failure)) => {
                    self.attempts += 1;
                    if !self.route.class.may_repeat() || self.is_exhausted() {
                        return Err(failure.into());
                    }
                }
            }
        }
    }

    /// Counts the request as run, once.
    fn count_run(&mut self) {
        if let Some(account) = self.account.as_ref().filter(|_| self.counted_at.is_none()) {
            let now = self.core.clock.unix_ms();
            self.core.usage.count(account, now);
            self.counted_at = Some(now);
        }
    }

    /// Takes the count back if no attempt may have run.
    fn uncount_run(&mut self) {
        if let (Some(account), Some(at), 0) = (&self.account, self.counted_at, self.attempts) {
            self.core.usage.uncount(account, at);
            self.counted_at = None;
        }
    }

    fn is_exhausted(&self) -> bool {
        self.tried.len() >= self.route.max_attempts as usize
    }

    /// "Not run" holds for the whole request only if no attempt may have run.
    fn unless_run(&self, reason: NotRun) -> Ended {
        match self.attempts {
            0 => reason.into(),
            _ => Failure::Unclear.into(),
        }
    }

    /// Waits, as long as the caller of a stream can still use the rest of it, until there is an upstream to
    /// take it up and a further attempt may be made.
    async fn wait_for_upstream(&self) {
        let until = self.deadline.min(Instant::now() + self.on_time().longest());
        loop {
            let now = Instant::now();
            let is_there = self.core.upstreams.has_other(&self.service, &self.tried);
            if now >= until || (is_there && self.core.budgets.has_left(&self.service, now)) {
                return;
            }
            sleep(LOOK_FOR_UPSTREAM).await;
        }
    }

    fn on_time(&self) -> OnTime {
        OnTime {
            first: self.route.target,
            gap: self.route.gap,
        }
    }

    fn choose(&self, now: Instant) -> Option<Flight> {
        let prompt = self.facts.prompt.as_ref();
        let req = RouteRequest {
            zone: self.core.settings.zone.clone(),
            prompt_tokens: prompt.map_or(0, |prompt| prompt.tokens_in as u32),
            home: prompt.map_or_else(rand::random, home),
        };
        let upstreams = &self.core.upstreams;
        let silence = upstreams.silence(&self.service, Awaited::First, &self.on_time());
        upstreams.choose(
            &self.service,
            &req,
            silence,
            self.new_tokens(),
            &self.tried,
            now,
        )
    }

    /// Returns the prompt tokens that belong to this request alone, so that no upstream holds them.
    fn new_tokens(&self) -> u32 {
        let Some(prompt) = &self.facts.prompt else {
            return 0;
        };
        let own = prompt.parts.last();
        own.map_or(prompt.tokens_in as u32, |part| part.tokens as u32)
    }

    async fn attempt(
        &self,
        flight: Flight,
        resume_after: Option<u64>,
    ) -> Result<Accepted, Attempt> {
        let now = Instant::now();
        let left = self.left(now);
        let upstream = &flight.upstream;
        let req = self.request(upstream.target.instance.clone(), left, resume_after);
        let client = &self.core.client;
        let sent = client.exchange(&upstream.target, req, Reuse::Allowed, self.patience(now));
        let answer = tokio::select! {
            answer = sent => answer,
            e = self.lost(&flight, now) => Err(e),
        };
        let answer = match answer {
            Ok(answer) => answer,
            Err(e) => return Err(self.failed(&flight, &e, now.elapsed())),
        };
        self.judge(flight, answer)
    }

    /// Waits until an engine is taken to be lost, if the request may then go to another one.
    async fn lost(&self, flight: &Flight, sent: Instant) -> UpstreamError {
        let class = self.route.class;
        if !class.is_stream() || !class.may_repeat() || self.is_exhausted() {
            return std::future::pending().await;
        }
        let limit = flight.silence(Awaited::First, &self.on_time());
        let mut looks = interval_at(sent + limit, look_every(limit));
        loop {
            looks.tick().await;
            if flight.upstream.is_lost(limit, Instant::now()) {
                let message = "the engine gives no sign of life";
                return UpstreamError::new(UpstreamErrorKind::Silent, Sent::Maybe, message);
            }
        }
    }

    /// Returns until when an upstream may be silent. If the request may be repeated, some time is kept
    /// for another one.
    fn patience(&self, now: Instant) -> Instant {
        if !self.route.class.may_repeat() || self.is_exhausted() {
            return self.deadline;
        }
        let on_time = self.on_time();
        let patience = match self.route.class.is_stream() {
            true => on_time.longest(),
            false => {
                let upstreams = &self.core.upstreams;
                upstreams.silence(&self.service, Awaited::First, &on_time)
            }
        };
        self.deadline.min(now + patience)
    }

    fn failed(&self, flight: &Flight, e: &UpstreamError, waited: Duration) -> Attempt {
        let upstream = &flight.upstream;
        if e.kind == UpstreamErrorKind::Silent {
            flight.note_pause(Awaited::First, waited);
        }
        upstream.suspect(Instant::now());
        log::warn!(
            event = "attempt.failed", request = self.id(), upstream:% = upstream.target.instance,
            attempt = self.tried.len(), sent:? = e.sent, kind:? = e.kind,
            ms = millis(self.arrived.elapsed());
            "ingress: an attempt failed: {e}"
        );
        match (e.sent, e.kind) {
            (Sent::No, _) => Attempt::NotRun(NotRun::Unreachable),
            (Sent::Maybe, UpstreamErrorKind::Silent) => Attempt::MayHaveRun(Failure::Unanswered),
            (Sent::Maybe, _) => Attempt::MayHaveRun(Failure::Unclear),
        }
    }

    /// Decides whether an answer is the caller's.
    fn judge(&self, flight: Flight, answer: Answer) -> Result<Accepted, Attempt> {
        let status = answer.res.status();
        let facts = self.core.platform.read_answer(status, answer.res.headers());
        let upstream = &flight.upstream;
        let now = Instant::now();
        let is_foreign = facts.id.as_deref().is_some_and(|id| id != self.id());
        if is_foreign || (status.is_success() && !facts.signed) {
            upstream.suspect(now);
            log::warn!(
                event = "answer.foreign", request = self.id(),
                upstream:% = upstream.target.instance, status = status.as_u16(),
                answers = facts.id.as_deref().unwrap_or_default(), signed = facts.signed;
                "ingress: an answer is not the request's own"
            );
            return Err(Attempt::MayHaveRun(Failure::Unclear));
        }
        if let Some(load) = facts.load {
            upstream.report(load, now);
        }
        if facts.not_executed {
            self.core.counters.not_executed.add();
            log::info!(
                event = "attempt.not_executed", request = self.id(),
                upstream:% = upstream.target.instance, status = status.as_u16(),
                attempt = self.tried.len();
                "ingress: the upstream has not run the request"
            );
            return Err(Attempt::NotRun(NotRun::Busy));
        }
        if promises_not_run(status) {
            // Without the upstream's own word, such a status would promise too much.
            return Err(Attempt::MayHaveRun(Failure::Unclear));
        }
        if status.is_server_error() && self.route.class.may_repeat() && !self.is_exhausted() {
            return Err(Attempt::MayHaveRun(Failure::Unclear));
        }
        upstream.hear(now);
        let (head, body) = answer.res.into_parts();
        Ok(Accepted {
            head,
            source: Source {
                body,
                lease: answer.connection,
                flight,
            },
        })
    }

    /// Makes the answer for the caller.
    fn pass(self, accepted: Accepted) -> Response<Relay> {
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

    fn request(
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

    fn give_up(&self, ended: Ended) -> Response<Relay> {
        log::warn!(
            event = "request.ended", request = self.id(), route = &*self.route.name,
            version = self.table.table.version, service:% = self.service, outcome:? = ended,
            attempts = self.tried.len(), left_ms = millis(self.left(Instant::now())),
            ms = millis(self.arrived.elapsed());
            "ingress: a request ends without an upstream's answer"
        );
        self.count(self.core.counters.ended(ended));
        respond(&*self.core.platform, self.id(), ended)
    }

    fn count(&self, outcome: Outcome) {
        let class = Some(self.route.class);
        self.core.counters.outcome(class, &self.metrics, outcome);
    }

    fn left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    fn id(&self) -> &str {
        self.facts.id.as_deref().unwrap_or_default()
    }
}

/// Requests that share all but the last part of their prompts have one home.
fn home(prompt: &PromptFacts) -> u64 {
    let shared = prompt.parts.len().saturating_sub(2);
    prompt.parts.get(shared).map_or(0, |part| part.hash)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
