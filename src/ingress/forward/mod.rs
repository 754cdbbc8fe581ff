//! Handles one request: route, account, body and quota, then attempts at upstreams until one responds.

mod attempt;
mod response;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use hyper::{
    HeaderMap, Method, Request, Response, Uri,
    header::{self, HeaderValue},
};
use tokio::time::{Instant, timeout_at};

use self::attempt::{AcceptedResponse, AttemptError, SilentAttempts};
use super::{
    Core,
    admit::{find_account, take_quota},
    body,
    crashes::RequestTraits,
    errors::{Failure, NotRun, RequestError, error_response},
    headers::{host, without_connection_headers},
    millis,
    relay::{Handover, Relay},
    rollout::{Outcome, Versions},
    room::check_before_body,
    upstream::{Eligible, Upstream},
    upstreams::InFlightGuard,
};
use crate::{
    adapters::http::CallerBody,
    domain::{AccountName, InstanceName, RequestClass, Route, RouteIndex, ServiceName},
    policy::{
        origins::{Origin, StreamId},
        route::RouteRequest,
        silence::{Awaited, ResponseTargets},
    },
    ports::{Clock, Platform, PromptSizes, RequestMetadata},
    telemetry::{AccountMetrics, RequestOutcome},
};

/// Maximum number of attempts of one request at upstreams that are full or unreachable. Such an attempt does
/// not run, so this only bounds the search for an upstream.
const MAX_UNEXECUTED_ATTEMPTS: usize = 3;

/// Handles one request and returns the response for the caller.
pub(super) async fn handle<P: Platform, T: Clock>(
    core: Arc<Core<P, T>>,
    req: Request<CallerBody>,
) -> Response<Relay> {
    let arrived = Instant::now();
    let facts = core.platform.read_request(req.headers());
    let id = facts.id.clone().unwrap_or_default();
    let mut admission = AdmissionContext::new(&req);
    let mut res =
        match ForwardedRequest::admit(Arc::clone(&core), req, facts, arrived, &mut admission).await
        {
            Ok(mut request) => match request.forward().await {
                Ok(accepted) => request.into_response(accepted),
                Err(error) => request.fail(error),
            },
            Err(error) => {
                let account = admission.account.as_ref();
                log::warn!(
                    event = "request.ended", request = id.as_str(), outcome:? = error, attempts = 0,
                    host = &*admission.host, path = admission.uri.path(),
                    version = admission.version,
                    route = admission.route.as_ref().map_or("", |(name, _)| &**name),
                    account = account.map_or("", |account| account.as_str()),
                    ms = millis(arrived.elapsed());
                    "ingress: a request is not taken"
                );
                let outcome = core.counters.count_error(error);
                let class = admission.route.map(|(_, class)| class);
                let account = core.counters.account_metrics(account);
                core.counters.count_outcome(class, &account, outcome);
                error_response(&*core.platform, &id, error)
            }
        };
    if core.shutdown.is_begun() {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(header::CONNECTION, close);
    }
    res
}

/// What is known of a request while it is being admitted, for logs and metrics of refusals.
struct AdmissionContext {
    host: String,
    uri: Uri,
    /// The version of the route table in which the request is looked up.
    version: u64,
    /// Name and class of the matching route.
    route: Option<(Arc<str>, RequestClass)>,
    account: Option<AccountName>,
}

impl AdmissionContext {
    fn new(req: &Request<CallerBody>) -> Self {
        Self {
            host: host(req).unwrap_or_default().to_owned(),
            uri: req.uri().clone(),
            version: 0,
            route: None,
            account: None,
        }
    }
}

/// A request that was admitted.
struct ForwardedRequest<P, T> {
    core: Arc<Core<P, T>>,
    table: Arc<RouteIndex>,
    route: Route,
    service: ServiceName,
    account: Option<AccountName>,
    /// The metrics of the account.
    metrics: AccountMetrics,
    facts: RequestMetadata,
    traits: Arc<RequestTraits>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    arrived: Instant,
    /// When the caller's deadline or the route's timeout expires.
    deadline: Instant,
    /// What began the stream that the request resumes.
    origin: Option<Origin>,
    /// The upstreams that were tried, in order.
    tried: Vec<InstanceName>,
    /// Number of upstreams in `tried` to which nothing was sent.
    unsent: usize,
    /// Number of attempts that may have run.
    attempts: u32,
    /// When the request was counted in the account's usage, in milliseconds since the Unix epoch.
    counted_at: Option<u64>,
    /// Whether an upstream has the request, for the relay of a stream that another upstream began.
    handover: Handover,
    /// Whether the caller has the beginning of the stream from an upstream that is silent and may go on.
    is_beside_stream: bool,
    /// The software versions that may get the next attempt.
    versions: Versions,
    /// Whether the next attempt was taken from the retry budget when its predecessor was given up.
    retry_paid: AtomicBool,
}

impl<P: Platform, T: Clock> ForwardedRequest<P, T> {
    /// Finds the route and the account, reads the body and takes the request's units from the quota.
    async fn admit(
        core: Arc<Core<P, T>>,
        req: Request<CallerBody>,
        facts: RequestMetadata,
        arrived: Instant,
        admission: &mut AdmissionContext,
    ) -> Result<Self, RequestError> {
        let table = core.routes.load_full();
        admission.version = table.table.version;
        if admission.version == 0 {
            return Err(NotRun::NoTable.into());
        }
        let route = table
            .route(&admission.host, admission.uri.path())
            .ok_or(Failure::NoRoute)?;
        let route = route.clone();
        admission.route = Some((Arc::clone(&route.name), route.class));
        let account = find_account(&table, &route, &facts)?;
        admission.account.clone_from(&account);
        let draw = rand::random();
        let mut service = route.pick_service(draw).ok_or(Failure::NoRoute)?.clone();
        let timeout = facts.timeout.unwrap_or(route.timeout).min(route.timeout);
        let deadline = arrived + timeout;
        let asked = check_before_body(
            &core,
            &table,
            &route,
            &service,
            account.as_ref(),
            &facts,
            deadline,
        )?;
        let (head, body) = req.into_parts();
        let limits = &table.table.limits;
        let body = body::read(&core, body, limits, account.as_ref(), deadline).await?;
        let traits = Arc::new(RequestTraits::new(&facts, &head, account.as_ref(), &body));
        check_quarantine(&core, &traits)?;
        core.check_shutdown(&route, deadline)?;
        let found = find_origin(&core, &route, &facts, account.as_ref(), &service);
        let origin = timeout_at(deadline, found)
            .await
            .map_err(|_| NotRun::TooLate)??;
        if let Some(origin) = &origin {
            service.clone_from(&origin.service);
        }
        // A stream that the caller resumes has been served in part already, so it is not refused.
        if route.class.is_stream() && facts.resume_after.is_none() && !core.room.is_enabled() {
            let rank = || table.urgency(&service, &route, account.as_ref());
            if let Some(after) = core
                .upstreams
                .check_overload(&service, rank, Instant::now())
            {
                return Err(NotRun::Overloaded(after).into());
            }
        }
        if let Some(account) = &account {
            timeout_at(deadline, take_quota(&core, account, &facts))
                .await
                .map_err(|_| NotRun::TooLate)??;
        }
        core.room.record_admitted(asked.as_ref());
        let metrics = core.counters.account_metrics(account.as_ref());
        Ok(Self {
            core,
            table,
            metrics,
            service,
            account,
            traits,
            facts,
            method: head.method,
            uri: head.uri,
            headers: without_connection_headers(head.headers),
            body,
            arrived,
            deadline,
            origin,
            tried: Vec::new(),
            unsent: 0,
            attempts: 0,
            counted_at: None,
            handover: Handover::default(),
            is_beside_stream: false,
            versions: Versions::default(),
            retry_paid: AtomicBool::new(false),
            route,
        })
    }

    /// Sends the request to upstreams until one responds.
    async fn forward(&mut self) -> Result<AcceptedResponse, RequestError> {
        self.core.rollouts.record_request(&self.service);
        self.core
            .budgets
            .record_request(&self.service, Instant::now());
        self.try_upstreams(None).await
    }

    /// Tries upstreams until one responds; a resumed stream continues after the event `resume_after`.
    async fn try_upstreams(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<AcceptedResponse, RequestError> {
        let mut silent = SilentAttempts::default();
        let result = match self.try_each(resume_after, &mut silent).await {
            Err(reason) if silent.may_have_run() => self.await_silent(silent, reason).await,
            result => result,
        };
        let mut accepted = match result {
            Ok(accepted) => accepted,
            Err(error) => {
                if let RequestError::NotRun(_) = error {
                    self.revoke_usage();
                }
                return Err(error);
            }
        };
        self.count_usage();
        let waited = accepted.sent.elapsed();
        let in_flight = &mut accepted.source.in_flight;
        in_flight.record_first_byte();
        let longest = self.response_targets().max_silence();
        in_flight.record_wait(Awaited::First, waited.min(longest));
        // A failure is often faster than any work.
        if !self.route.class.is_stream() && accepted.head.status.is_success() {
            in_flight.record_service_time(waited);
        }
        // Only requests for engines are refused because of the waits of others.
        if self.route.class.is_stream() && resume_after.is_none() {
            let (upstreams, target) = (&self.core.upstreams, self.route.target);
            upstreams.record_first_wait(&self.service, waited, target, self.new_tokens());
            let room = &self.core.room;
            room.record_first_wait(&self.service, waited, target);
        }
        Ok(accepted)
    }

    /// Tries one upstream after the other, beside the attempts whose upstreams are silent.
    async fn try_each(
        &mut self,
        resume_after: Option<u64>,
        silent: &mut SilentAttempts,
    ) -> Result<AcceptedResponse, RequestError> {
        let mut unexecuted = 0;
        loop {
            // Lets the connection notice that the caller has disconnected, above all after the process was
            // suspended: this request is then dropped here.
            tokio::task::yield_now().await;
            let now = Instant::now();
            if now >= self.deadline {
                return Err(self.error_unless_run(NotRun::TooLate));
            }
            if self.attempts == 0 {
                self.core.check_shutdown(&self.route, self.deadline)?;
            }
            // Also before a further attempt, since the first one may have been a crash.
            check_quarantine(&self.core, &self.traits)
                .map_err(|reason| self.error_unless_run(reason))?;
            let Some(in_flight) = self.choose_version(now) else {
                return Err(self.error_or_pause(NotRun::NoUpstream, now));
            };
            let is_retry = self.attempts_sent() > 0;
            let is_paid = self.retry_paid.swap(false, Ordering::Relaxed);
            if is_retry && !is_paid && !self.core.budgets.try_spend(&self.service, now) {
                return Err(self.error_unless_run(NotRun::Busy));
            }
            self.core.counters.attempts.increment();
            self.core.counters.count_choice(in_flight.reason);
            let (upstream, speed) = (&in_flight.upstream, in_flight.speed);
            self.core
                .announcer
                .announce(upstream, self.new_tokens(), speed);
            if is_retry {
                self.core.counters.retries.increment();
            }
            self.tried.push(in_flight.upstream.target.instance.clone());
            let attempted = Arc::clone(&in_flight.upstream);
            // A plain service is counted as running at once, even if its response never arrives; an engine is
            // counted with its first event.
            if !self.route.class.is_stream() {
                self.count_usage();
            }
            let result = self.attempt_beside(silent, in_flight, resume_after).await;
            self.handover
                .set_sent(result.is_ok() || silent.may_have_run());
            self.record_for_rollout(&attempted, &result);
            match result {
                Ok(accepted) => return Ok(accepted),
                Err(AttemptError::Silent(attempt)) => {
                    self.keep_silent(silent, attempt);
                    self.handover.set_sent(true);
                }
                Err(AttemptError::NotRun(reason)) => {
                    if !silent.may_have_run() {
                        self.revoke_usage();
                    }
                    unexecuted += 1;
                    self.unsent += usize::from(reason == NotRun::Unreachable);
                    if unexecuted >= MAX_UNEXECUTED_ATTEMPTS || self.attempts_exhausted() {
                        return Err(self.error_or_pause(reason, Instant::now()));
                    }
                }
                Err(AttemptError::MayHaveRun(failure)) => {
                    self.attempts += 1;
                    let is_late = Instant::now() >= self.deadline;
                    if is_late || !self.route.class.may_repeat() || self.attempts_exhausted() {
                        return Err(failure.into());
                    }
                }
            }
        }
    }

    /// Counts the request in its account's usage, once.
    fn count_usage(&mut self) {
        if let Some(account) = self.account.as_ref().filter(|_| self.counted_at.is_none()) {
            let now = self.core.clock.unix_ms();
            self.core.usage.record(account, now);
            self.counted_at = Some(now);
        }
    }

    /// Revokes the count in the account's usage if no attempt may have run.
    fn revoke_usage(&mut self) {
        if let (Some(account), Some(at), 0) = (&self.account, self.counted_at, self.attempts) {
            self.core.usage.revoke(account, at);
            self.counted_at = None;
        }
    }

    /// Returns whether another upstream may get the request now.
    fn can_retry(&self, eligible: &Eligible<'_>, now: Instant) -> bool {
        !self.attempts_exhausted()
            && self
                .core
                .upstreams
                .has_eligible(&self.service, eligible, now)
            && self.core.budgets.has_retry_left(&self.service, now)
    }

    fn attempts_exhausted(&self) -> bool {
        self.attempts_sent() >= self.route.max_attempts as usize
    }

    /// Returns the number of upstreams to which the request was sent.
    fn attempts_sent(&self) -> usize {
        self.tried.len() - self.unsent
    }

    /// Returns the reason why the request has not run, or [`Failure::Unclear`] if an earlier attempt may have
    /// run.
    fn error_unless_run(&self, reason: NotRun) -> RequestError {
        match self.attempts {
            0 => reason.into(),
            _ => Failure::Unclear.into(),
        }
    }

    /// Like [`Self::error_unless_run`], but reports when an upstream accepts requests again if all of them asked
    /// for a pause or limit their requests.
    fn error_or_pause(&self, reason: NotRun, now: Instant) -> RequestError {
        let closed = self.core.upstreams.why_closed(&self.service, now);
        self.error_unless_run(closed.unwrap_or(reason))
    }

    fn response_targets(&self) -> ResponseTargets {
        ResponseTargets {
            first: self.route.target,
            gap: self.route.gap,
        }
    }

    fn choose_upstream(&self, now: Instant) -> Option<InFlightGuard> {
        let prompt = self.facts.prompt.as_ref();
        let req = RouteRequest {
            zone: self.core.settings.zone.clone(),
            prompt_tokens: prompt.map_or(0, |prompt| {
                (prompt.prompt_tokens as u32).saturating_sub(self.new_tokens())
            }),
            home: prompt.map_or_else(rand::random, home_hash),
        };
        let upstreams = &self.core.upstreams;
        let silence_timeout =
            upstreams.silence_timeout(&self.service, Awaited::First, &self.response_targets());
        upstreams.choose(
            &self.service,
            &req,
            silence_timeout,
            self.new_tokens(),
            &self.eligible(),
            now,
        )
    }

    fn eligible(&self) -> Eligible<'_> {
        Eligible {
            tried: &self.tried,
            origin: self.origin.as_ref(),
            versions: &self.versions,
        }
    }

    /// Chooses an upstream of a version that may get the request.
    fn choose_version(&mut self, now: Instant) -> Option<InFlightGuard> {
        let rollouts = Arc::clone(&self.core.rollouts);
        let origin = self.origin.as_ref();
        // Only a request that was not sent yet tries a new version.
        let draw = match self.attempts_sent() {
            0 => rand::random(),
            _ => 1.0,
        };
        let (versions, counted) = rollouts.versions(&self.service, origin, draw, now);
        self.versions = versions;
        let core = Arc::clone(&self.core);
        let service = self.service.clone();
        let has_others = |target: &_| core.upstreams.has_beside(&service, target);
        let mut chosen = self.choose_upstream(now);
        if chosen.is_none()
            && let Some(versions) = rollouts.otherwise(&self.versions, counted, has_others)
        {
            self.versions = versions;
            chosen = self.choose_upstream(now);
            if chosen.is_some() && self.versions == Versions::Any {
                rollouts.record_alone(&service);
            }
        }
        let origin = self.origin.as_ref();
        self.versions = rollouts.usual_versions(&service, origin, has_others, now);
        chosen
    }

    /// Records what an attempt at an upstream was worth, for the verdict on its version.
    fn record_for_rollout(
        &self,
        attempted: &Upstream,
        result: &Result<AcceptedResponse, AttemptError>,
    ) {
        let (upstream, outcome) = match result {
            Ok(accepted) => {
                let outcome = match accepted.head.status.is_server_error() {
                    true => Outcome::Failed,
                    false => Outcome::Begun {
                        wait: accepted.sent.elapsed(),
                        target: self.route.target,
                    },
                };
                (&*accepted.source.in_flight.upstream, outcome)
            }
            Err(AttemptError::MayHaveRun(_) | AttemptError::Silent(_)) => {
                (attempted, Outcome::Failed)
            }
            Err(AttemptError::NotRun(_)) => return,
        };
        let rollouts = &self.core.rollouts;
        rollouts.record(
            &self.service,
            &self.route.name,
            upstream.software(),
            outcome,
        );
    }

    /// Returns the number of prompt tokens that are unique to this request, so that no upstream has them
    /// cached.
    fn new_tokens(&self) -> u32 {
        let prompt = self.facts.prompt.as_ref();
        prompt.map_or(0, PromptSizes::new_tokens)
    }

    /// Logs and counts the error and builds the response for the caller.
    fn fail(&self, error: RequestError) -> Response<Relay> {
        if !matches!(error, RequestError::NotRun(_)) {
            drop(self.core.shutdown.measure(&self.route.name, self.arrived));
        }
        let now = Instant::now();
        let has_retry_left = self.core.budgets.has_retry_left(&self.service, now);
        let has_untried = self
            .core
            .upstreams
            .has_eligible(&self.service, &self.eligible(), now);
        log::warn!(
            event = "request.ended", request = self.id(), route = &*self.route.name,
            version = self.table.table.version, service:% = self.service, outcome:? = error,
            attempts = self.tried.len(), max_attempts = self.route.max_attempts,
            has_retry_left = has_retry_left, has_untried = has_untried,
            left_ms = millis(self.time_left(now)),
            ms = millis(self.arrived.elapsed());
            "ingress: a request ended without an upstream's response"
        );
        self.count_outcome(self.core.counters.count_error(error));
        error_response(&*self.core.platform, self.id(), error)
    }

    fn count_outcome(&self, outcome: RequestOutcome) {
        let class = Some(self.route.class);
        self.core
            .counters
            .count_outcome(class, &self.metrics, outcome);
    }

    fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    fn id(&self) -> &str {
        self.facts.id.as_deref().unwrap_or_default()
    }
}

/// Refuses a request under which upstreams crash.
fn check_quarantine<P, T>(core: &Core<P, T>, traits: &RequestTraits) -> Result<(), NotRun> {
    let Some(cause) = core.crashes.quarantined_cause(traits, Instant::now()) else {
        return Ok(());
    };
    log::info!(
        event = "request.quarantined", request = traits.id(), cause:% = cause;
        "ingress: a request has a cause of crashes"
    );
    Err(NotRun::Quarantined)
}

/// Finds what began the stream that a request resumes; returns `None` for a request that resumes none.
async fn find_origin<P, T>(
    core: &Core<P, T>,
    route: &Route,
    facts: &RequestMetadata,
    account: Option<&AccountName>,
    service: &ServiceName,
) -> Result<Option<Origin>, NotRun> {
    if route.class != RequestClass::ResumableStream || facts.resume_after.is_none() {
        return Ok(None);
    }
    let request = facts.id.as_deref().unwrap_or_default();
    let first = facts.resumes.as_deref();
    let stream = first.map(|first| StreamId::new(account, first));
    let found = core.origins.find(stream, service).await;
    let routed = found.filter(|(origin, _)| {
        let mut services = route.services.iter();
        services.any(|(service, _)| *service == origin.service)
    });
    let Some((origin, source)) = routed else {
        log::warn!(
            event = "stream.origin_unknown", request = request, after:? = facts.resume_after,
            begun_by = first.unwrap_or_default(), service:% = service;
            "ingress: a caller resumes a stream, and what began it is not known"
        );
        return Err(NotRun::UnknownOrigin);
    };
    log::info!(
        event = "stream.taken_up", request = request, after:? = facts.resume_after,
        begun_by = first.unwrap_or_default(), service:% = origin.service,
        software:% = origin.software, source:? = source;
        "ingress: a caller resumes a stream"
    );
    Ok(Some(origin))
}

/// Returns the hash that selects the home of a prompt; it is the same for all requests that share all but
/// the last part of their prompts.
fn home_hash(prompt: &PromptSizes) -> u64 {
    let shared = prompt.parts.len().saturating_sub(2);
    prompt.parts.get(shared).map_or(0, |part| part.hash)
}
