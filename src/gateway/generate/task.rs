//! Runs one request: dispatches it, relays its tokens, and continues at another instance when one
//! fails or leaves. The task owns the tokens, so that several subscribers need no lock.

use std::{sync::Arc, time::Duration};

use tokio::{
    sync::mpsc,
    time::{Instant, sleep},
};

use super::{
    AnswerEvent, Subscription,
    attempt::{Attempt, AttemptOutcome},
    outcome::RequestOutcome,
    subscribers::Subscribers,
    token_timing::TokenTiming,
};
use crate::{
    domain::{Completion, FinishReason, GatewayEntry, InstanceName, Priority, Refusal, Token},
    gateway::{
        admission::{AdmissionRequest, Permit},
        core::{Gateway, InFlight},
        explain::DecisionKind,
        journal::Backup,
        route::{self, Choice, RoutingPrompt},
        view::{AccountEntry, ServiceEntry},
    },
    policy::{
        prefix::count_tokens,
        retry::{Failure, Retry},
    },
    ports::{Clock, Sent, StreamEnd, UpstreamError, Upstreams},
};

/// Delay before an accepted request is retried when no instance can take it, and base of the
/// exponential backoff after failed attempts.
const RESUME_BACKOFF_BASE: Duration = Duration::from_millis(50);

/// Delay before an accepted free request asks for admission again; each refusal counts as demand.
const READMISSION_DELAY: Duration = Duration::from_millis(250);

/// Doublings of [`RESUME_BACKOFF_BASE`] after which the backoff grows no further.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// A request that was admitted here or taken over from another gateway.
#[derive(Clone, Debug)]
pub(crate) struct AdmittedRequest {
    /// The request; its prefix holds the tokens generated so far.
    pub(crate) completion: Completion,
    /// Length of the part of the prompt that is the same in all turns of its conversation.
    pub(crate) opening_bytes: usize,
    /// Whether the request came through the chat interface.
    pub(crate) chat: bool,
    /// The account.
    pub(crate) account: Arc<AccountEntry>,
    /// When it arrived at this gateway.
    pub(crate) arrived: Instant,
    /// The gateway that accepted it before, if this one takes it over.
    pub(crate) previous_owner: Option<String>,
}

impl AdmittedRequest {
    fn routed_prompt(&self) -> RoutingPrompt {
        let prompt = &self.completion.prompt;
        let opening = prompt.get(..self.opening_bytes).unwrap_or(prompt);
        RoutingPrompt::new(prompt, opening)
    }
}

/// The capacity that a new request holds until it ends.
#[derive(Debug)]
pub(crate) struct AdmissionGuard {
    /// Its slot in the service.
    pub(crate) permit: Permit,
    /// Counts it among the requests in progress at this gateway.
    pub(crate) _in_flight: InFlight,
}

/// The state of the task that runs one request.
pub(crate) struct GenerationTask<U, T> {
    pub(super) gateway: Arc<Gateway<U, T>>,
    pub(super) request: AdmittedRequest,
    prompt: RoutingPrompt,
    pub(super) subscriptions: mpsc::Receiver<Subscription>,
    pub(super) subscribers: Subscribers,
    pub(super) token_timing: TokenTiming,
    /// Whether a subscriber may have received a token, or another gateway accepted the request before.
    pub(super) accepted: bool,
    permit: Option<Permit>,
    _in_flight: Option<InFlight>,
    pub(super) backup: Backup,
    tried_instances: Vec<InstanceName>,
    /// Failed attempts since the last token.
    failed_attempts: u32,
    pub(super) may_have_arrived: bool,
    pub(super) last_error: Option<UpstreamError>,
    /// Whether the request continues without its cached work, so that its prompt is computed again.
    pub(super) resumed_without_cache: bool,
    /// The instance to which the cached keys and values of this request were moved.
    preferred_instance: Option<InstanceName>,
    /// Whether no other gateway took the request over, so that it stays here until it ends.
    hand_over_failed: bool,
    was_preempted: bool,
}

impl<U: Upstreams, T: Clock> GenerationTask<U, T> {
    /// Starts the task. A graceful shutdown of the gateway waits for it.
    pub(crate) fn start(
        gateway: &Arc<Gateway<U, T>>,
        request: AdmittedRequest,
        guard: Option<AdmissionGuard>,
        subscriptions: mpsc::Receiver<Subscription>,
    ) {
        let (permit, in_flight) = guard.map(|guard| (guard.permit, guard._in_flight)).unzip();
        let taken_over = request.previous_owner.is_some();
        let task = Self {
            gateway: Arc::clone(gateway),
            prompt: request.routed_prompt(),
            request,
            subscriptions,
            subscribers: match taken_over {
                true => Subscribers::awaiting_first(),
                false => Subscribers::default(),
            },
            token_timing: TokenTiming::default(),
            accepted: taken_over,
            permit,
            _in_flight: in_flight,
            backup: Backup::none(),
            tried_instances: Vec::new(),
            failed_attempts: 0,
            may_have_arrived: taken_over,
            last_error: None,
            resumed_without_cache: taken_over,
            preferred_instance: None,
            hand_over_failed: false,
            was_preempted: false,
        };
        let closed = gateway.closed.clone();
        gateway
            .work
            .spawn(closed.run_until_cancelled_owned(task.run()));
    }

    async fn run(mut self) {
        self.record(match &self.request.previous_owner {
            Some(owner) => DecisionKind::TakenOver(owner.clone()),
            None => DecisionKind::Admitted(self.request.account.name.clone()),
        });
        let pending_copy = self.gateway.peers.store_copy(&self.request, false);
        self.backup = Backup::pending_ack(pending_copy);
        let outcome = self.run_attempts().await;
        self.finish(outcome).await;
    }

    async fn run_attempts(&mut self) -> RequestOutcome {
        loop {
            if let Some(end) = self.completed_by_length() {
                return self.complete(end);
            }
            if self.remaining_time().is_zero() {
                return RequestOutcome::Failed(self.deadline_refusal());
            }
            if self.must_hand_over()
                && let Some(new_owner) = self.hand_over().await
            {
                return RequestOutcome::HandedOver(new_owner);
            }
            match self.ensure_permit().await {
                Ok(true) => {}
                Ok(false) => continue,
                Err(refusal) => return RequestOutcome::Failed(refusal),
            }
            let Some(choice) = self.choose_instance() else {
                if self.accepted {
                    self.include_failed_instances();
                    sleep(RESUME_BACKOFF_BASE).await;
                    continue;
                }
                return RequestOutcome::Failed(self.no_instance_refusal());
            };
            let (choice, attempt_outcome) = Attempt::new(self, choice).run().await;
            if let Some(outcome) = self.handle_attempt_outcome(&choice, attempt_outcome).await {
                return outcome;
            }
        }
    }

    /// Handles the end of an attempt. `None` means that another attempt follows.
    async fn handle_attempt_outcome(
        &mut self,
        choice: &Choice,
        outcome: AttemptOutcome,
    ) -> Option<RequestOutcome> {
        let instance = &choice.member.instance.name;
        if !matches!(outcome, AttemptOutcome::Failed(_)) {
            self.may_have_arrived = true;
        }
        match outcome {
            AttemptOutcome::Complete(end) => {
                let recomputed = match self.resumed_without_cache {
                    true => end.prompt_tokens.saturating_sub(end.cached_tokens),
                    false => choice.max_cached_tokens.saturating_sub(end.cached_tokens),
                };
                self.request
                    .account
                    .metrics
                    .add_recomputed_tokens(u64::from(recomputed));
                Some(self.complete(end))
            }
            AttemptOutcome::InstanceLeaving(to) => {
                self.resumed_without_cache = to.is_none();
                self.preferred_instance = to;
                self.record(DecisionKind::Moved(instance.clone()));
                None
            }
            AttemptOutcome::Preempted => {
                self.resumed_without_cache = true;
                self.permit = None;
                self.was_preempted = true;
                self.record(DecisionKind::Preempted);
                None
            }
            AttemptOutcome::HandedOver(new_owner) => Some(RequestOutcome::HandedOver(new_owner)),
            AttemptOutcome::Abandoned => Some(RequestOutcome::Abandoned),
            AttemptOutcome::Failed(e) => self.handle_failure(choice, &e).await,
        }
    }

    async fn handle_failure(
        &mut self,
        choice: &Choice,
        e: &UpstreamError,
    ) -> Option<RequestOutcome> {
        self.record_failure(choice, e);
        match (self.decide_retry(e, 0).await, self.accepted) {
            (Retry::After(delay), _) => sleep(delay).await,
            // An accepted request is retried until its deadline, regardless of the retry budget.
            (Retry::GiveUp, true) => sleep(self.resume_backoff()).await,
            (Retry::GiveUp, false) if self.remaining_time().is_zero() => {
                return Some(RequestOutcome::Failed(self.deadline_refusal()));
            }
            (Retry::GiveUp, false) => {
                return Some(RequestOutcome::Failed(self.upstream_refusal(e)));
            }
        }
        None
    }

    /// Records that the request failed at an instance.
    pub(super) fn record_failure(&mut self, choice: &Choice, e: &UpstreamError) {
        let member = &choice.member;
        let name = &member.instance.name;
        self.record(DecisionKind::Failed(name.clone(), e.kind));
        log::debug!("gateway: an attempt at {name} failed: {e}.");
        let now = self.gateway.clock.monotonic();
        member.state.record_failure(e.kind, now);
        self.may_have_arrived |= e.sent == Sent::Maybe;
        self.resumed_without_cache |= self.accepted;
        self.failed_attempts += 1;
        self.exclude_instance(name);
        self.last_error = Some(e.clone());
    }

    /// Excludes an instance from the choice until the next token.
    pub(super) fn exclude_instance(&mut self, name: &InstanceName) {
        if !self.tried_instances.contains(name) {
            self.tried_instances.push(name.clone());
        }
    }

    /// Lets the instances at which the request failed be chosen again.
    pub(super) fn include_failed_instances(&mut self) {
        self.tried_instances.clear();
    }

    /// Decides whether the request is tried again, while `silent` instances that have it are silent.
    pub(super) async fn decide_retry(&self, e: &UpstreamError, silent: usize) -> Retry {
        let failure = Failure {
            kind: e.kind,
            sent: e.sent,
            idempotent: true,
            attempts: self.failed_attempts.saturating_add(silent as u32),
            remaining: self.remaining_time(),
            random: rand::random(),
        };
        match self.service() {
            Some(service) => service.retry_budget.decide(failure).await,
            None => Retry::GiveUp,
        }
    }

    /// Returns the exponential backoff after consecutive failures without a token in between.
    pub(super) fn resume_backoff(&self) -> Duration {
        RESUME_BACKOFF_BASE * 2_u32.pow(self.failed_attempts.min(MAX_BACKOFF_DOUBLINGS))
    }

    /// Hands the request over to another gateway. `None` means that none took it and that it
    /// continues here.
    pub(super) async fn hand_over(&mut self) -> Option<Box<GatewayEntry>> {
        let new_owner = self.gateway.peers.hand_over(&self.request).await;
        self.hand_over_failed = new_owner.is_none();
        new_owner.map(Box::new)
    }

    fn must_hand_over(&self) -> bool {
        self.may_hand_over() && self.gateway.hand_over.is_cancelled()
    }

    /// Returns whether the request is handed over when this gateway must stop. That includes requests
    /// without a token yet, so that their callers are not cut off either.
    pub(super) fn may_hand_over(&self) -> bool {
        !self.hand_over_failed
    }

    /// Acquires a permit if the request holds none, as after a preemption or a takeover. Returns
    /// whether it holds one now.
    async fn ensure_permit(&mut self) -> Result<bool, Refusal> {
        if self.permit.is_some() {
            return Ok(true);
        }
        let Some((service, request)) = self.admission_request() else {
            return Err(self.no_upstream_refusal());
        };
        if self.request.previous_owner.is_some() && !self.was_preempted {
            self.permit = Some(request.admit_taken_over());
            return Ok(true);
        }
        let gateway = Arc::clone(&self.gateway);
        let admitted = tokio::select! {
            admitted = service.queue.admit(request) => admitted,
            () = gateway.hand_over.cancelled(), if self.may_hand_over() => return Ok(false),
        };
        match admitted {
            Ok(permit) => self.permit = Some(permit),
            Err(refusal) if !self.accepted => return Err(refusal),
            Err(_) => sleep(READMISSION_DELAY).await,
        }
        Ok(self.permit.is_some())
    }

    fn admission_request(&self) -> Option<(Arc<ServiceEntry>, AdmissionRequest)> {
        let service = self.service()?;
        let account = service.account(&self.request.account.name)?;
        let request = AdmissionRequest {
            service: Arc::clone(&service.usage),
            account: Arc::clone(account),
            priority: self.request.completion.priority,
            arrived: Instant::now(),
            due: Instant::now() + self.remaining_time(),
        };
        Some((service, request))
    }

    pub(super) fn choose_instance(&self) -> Option<Choice> {
        if !self.accepted && self.gateway.check_lease().is_err() {
            return None;
        }
        let snapshot = self.gateway.snapshot.load();
        let service = snapshot.service_for_model(&self.request.completion.model)?;
        let context = self.gateway.routing_context(&snapshot);
        if let Some(choice) = self.preferred_choice(service) {
            return Some(choice);
        }
        route::choose(service, &self.prompt, &self.tried_instances, context)
    }

    fn preferred_choice(&self, service: &ServiceEntry) -> Option<Choice> {
        let name = self.preferred_instance.as_ref()?;
        let member = service.members.iter().find(|m| m.instance.name == *name)?;
        let usable = member.accepts_work() && !self.tried_instances.contains(name);
        usable.then(|| Choice {
            member: Arc::clone(member),
            max_cached_tokens: 0,
        })
    }

    pub(super) fn service(&self) -> Option<Arc<ServiceEntry>> {
        let snapshot = self.gateway.snapshot.load();
        snapshot
            .service_for_model(&self.request.completion.model)
            .cloned()
    }

    pub(super) fn remaining_time(&self) -> Duration {
        let limit = self.gateway.settings.timing.request_timeout;
        limit.saturating_sub(self.request.arrived.elapsed())
    }

    /// Accepts the request before its first token or its end is sent: waits until a backup holds a
    /// copy, or until it is known that none will. Later calls only renew the backup.
    pub(super) async fn accept(&mut self) {
        if !self.accepted {
            let holder = self.backup.wait_for_holder(&self.gateway).await;
            self.accepted = true;
            let holder = holder.map(|peer| Box::new(peer.entry.clone()));
            self.subscribers.send(&AnswerEvent::Accepted(holder));
        }
        self.backup.renew(&self.gateway.peers, &self.request);
    }

    /// Appends a token to the answer and sends it to the subscribers.
    pub(super) fn deliver_token(&mut self, token: Token) {
        self.request.completion.prefix.push(token.text.clone());
        self.failed_attempts = 0;
        self.tried_instances.clear();
        self.token_timing
            .record_token(self.request.arrived, &self.request.account.metrics);
        self.subscribers.send(&AnswerEvent::Token(token));
    }

    pub(super) fn tokens_left(&self) -> u32 {
        let completion = &self.request.completion;
        completion
            .max_tokens
            .saturating_sub(completion.prefix.len() as u32)
    }

    pub(super) fn add_pending_subscribers(&mut self) {
        while let Ok(subscription) = self.subscriptions.try_recv() {
            self.add_subscriber(&subscription);
        }
    }

    pub(super) fn add_subscriber(&mut self, subscription: &Subscription) {
        self.subscribers
            .add(subscription, &self.request.completion.prefix);
    }

    pub(super) fn record(&self, decision: DecisionKind) {
        let at = self.gateway.clock.unix_ms();
        let id = self.request.completion.id;
        self.gateway.decisions.record(id, at, decision);
    }

    pub(super) fn has_free_priority(&self) -> bool {
        self.request.completion.priority == Priority::Free
    }

    /// Returns the end of an answer that has all its tokens: a stream that was cut after its last
    /// token needs no further attempt.
    fn completed_by_length(&self) -> Option<StreamEnd> {
        let completion = &self.request.completion;
        let full = completion.prefix.len() >= completion.max_tokens as usize;
        (full && self.accepted).then(|| StreamEnd {
            reason: FinishReason::Length,
            prompt_tokens: count_tokens(&completion.prompt),
            cached_tokens: 0,
        })
    }

    pub(super) fn record_spending(&self, choice: &Choice, taken: Duration) {
        let snapshot = self.gateway.snapshot.load();
        let Some(service) = snapshot.service_for_model(&self.request.completion.model) else {
            return;
        };
        let amount = service.cost(&choice.member.instance, taken, &snapshot.view.intent);
        self.request.account.metrics.add_spending(amount);
    }
}

/// Creates the channel that passes subscriptions to a request's task.
pub(crate) fn subscription_channel() -> (mpsc::Sender<Subscription>, mpsc::Receiver<Subscription>) {
    /// Subscriptions that may wait until the task adds them.
    const MAX_PENDING_SUBSCRIPTIONS: usize = 16;
    mpsc::channel(MAX_PENDING_SUBSCRIPTIONS)
}
