//! Calls of plain services: idempotent ones are retried at other instances, the others are
//! dispatched at most once under a claim. A silent instance keeps a call until another one has answered.

use std::{sync::Arc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use tokio::{
    sync::oneshot,
    time::{Instant, sleep, sleep_until},
};

use super::{
    admission::Permit,
    claims::{ClaimResult, GrantedClaim},
    core::{Gateway, InFlight},
    explain::DecisionKind,
    refusals::{no_upstream, silence_error, upstream_failed},
    route::{self, Choice, RoutingPrompt},
    view::{AccountEntry, ServiceEntry},
};
use crate::{
    domain::{
        BodyDigest, IdempotencyKey, InstanceName, Refusal, RefusalKind, RequestId, ServiceName,
    },
    policy::retry::{Failure, Retry},
    ports::{Clock, Sent, ServiceCall, ServiceReply, UpstreamError, UpstreamErrorKind, Upstreams},
    wire::StoredOutcome,
};

/// An admitted call.
#[derive(Debug)]
pub(crate) struct PlainCall {
    /// Identifies the call in explanations.
    pub(crate) id: RequestId,
    /// The account.
    pub(crate) account: Arc<AccountEntry>,
    /// The service.
    pub(crate) service: ServiceName,
    /// The call for the upstream.
    pub(crate) call: ServiceCall,
    /// When the call arrived.
    pub(crate) arrived: Instant,
    /// Its slot, released when the call is dropped.
    pub(crate) _permit: Permit,
    /// Counts the call as in progress at this gateway.
    pub(crate) _in_flight: InFlight,
}

/// An answer for the caller.
#[derive(Debug)]
pub(crate) enum PlainAnswer {
    /// From the upstream.
    Fresh(ServiceReply),
    /// From the recorded outcome of an earlier call with the same key.
    Replayed(StoredOutcome),
}

impl<U: Upstreams, T: Clock> Gateway<U, T> {
    /// Makes an idempotent call. While the retry budget and the time allow it, the call is made at another
    /// instance after a failure, and beside an instance that is silent; the first answer counts.
    pub(crate) async fn call_idempotent(&self, call: &PlainCall) -> Result<PlainAnswer, Refusal> {
        let mut tried = Vec::new();
        let mut may_have_arrived = false;
        let mut running = FuturesUnordered::new();
        let mut newest = self.choose_plain(&call.service, &tried)?;
        let mut next = Some(newest.clone());
        let mut newest_is_silent = false;
        let mut next_check = Instant::now();
        loop {
            if let Some(choice) = next.take() {
                newest = choice.clone();
                newest_is_silent = false;
                tried.push(choice.member.instance.name.clone());
                running.push(async move {
                    let result = self.dispatch(&choice, call).await;
                    (choice, result)
                });
                next_check = Instant::now() + self.settings.timing.first_byte_timeout;
            }
            let e = tokio::select! {
                Some((choice, result)) = running.next() => {
                    let e = match result {
                        Ok(reply) => return Ok(PlainAnswer::Fresh(reply)),
                        Err(e) => e,
                    };
                    may_have_arrived |= e.sent == Sent::Maybe;
                    let was_newest = choice.member.instance.name == newest.member.instance.name;
                    if !was_newest && !newest_is_silent {
                        continue;
                    }
                    e
                }
                () = sleep_until(next_check) => {
                    next_check = Instant::now() + self.settings.timing.first_byte_timeout;
                    if !std::mem::replace(&mut newest_is_silent, true) {
                        self.record_plain_silence(call, &newest);
                    }
                    silence_error()
                }
            };
            if let Retry::After(delay) = self.decide_plain_retry(call, &e, &tried).await {
                sleep(delay).await;
                next = self.choose_plain(&call.service, &tried).ok();
            }
            if next.is_none() && running.is_empty() {
                return Err(upstream_failed(&e, may_have_arrived));
            }
        }
    }

    /// Makes a call at most once. The call continues when its caller disconnects, so that its
    /// outcome is recorded.
    pub(crate) async fn call_once(
        self: &Arc<Self>,
        call: PlainCall,
        key: IdempotencyKey,
    ) -> Result<PlainAnswer, Refusal> {
        let digest = BodyDigest::of(&call.call.method, &digest_path(&call), &call.call.body);
        let claim = match self.claim(&call.account.name, key, digest).await? {
            ClaimResult::Granted(claim) => claim,
            ClaimResult::Recorded(outcome) => return Ok(PlainAnswer::Replayed(outcome)),
        };
        let (tx, rx) = oneshot::channel();
        let gateway = Arc::clone(self);
        self.work.spawn(async move {
            let _ = tx.send(gateway.dispatch_claimed(claim, &call).await);
        });
        rx.await.unwrap_or_else(|_| Err(gateway_stopped()))
    }

    /// Dispatches a call under its claim. Nothing in here is ever retried.
    async fn dispatch_claimed(
        self: &Arc<Self>,
        claim: GrantedClaim,
        call: &PlainCall,
    ) -> Result<PlainAnswer, Refusal> {
        // This also checks the lease, after the claim and right before the dispatch.
        let choice = match self.choose_plain(&call.service, &[]) {
            Ok(choice) => choice,
            Err(refusal) => {
                self.release_claim(claim);
                return Err(refusal);
            }
        };
        match self.dispatch(&choice, call).await {
            Ok(reply) => {
                self.record_outcome(claim, Some(&reply)).await;
                Ok(PlainAnswer::Fresh(reply))
            }
            Err(e) if e.sent == Sent::No => {
                self.release_claim(claim);
                Err(upstream_failed(&e, false))
            }
            Err(e) => {
                self.record_outcome(claim, None).await;
                Err(outcome_unknown(&e))
            }
        }
    }

    fn choose_plain(
        &self,
        service: &ServiceName,
        tried: &[InstanceName],
    ) -> Result<Choice, Refusal> {
        self.check_lease()?;
        let snapshot = self.snapshot.load();
        let context = self.routing_context(&snapshot);
        snapshot
            .service(service)
            .and_then(|service| route::choose(service, &RoutingPrompt::empty(), tried, context))
            .ok_or_else(no_upstream)
    }

    async fn dispatch(
        &self,
        choice: &Choice,
        call: &PlainCall,
    ) -> Result<ServiceReply, UpstreamError> {
        let member = &choice.member;
        let name = &member.instance.name;
        self.record_plain_decision(call, DecisionKind::Routed(name.clone()));
        let _in_progress = member.state.begin_request();
        let _cost = AttemptCost::start(self, choice, call);
        let left = self.remaining_time(call);
        let attempt = ServiceCall {
            timeout: call.call.timeout.min(left),
            ..call.call.clone()
        };
        let result = tokio::select! {
            result = self.upstreams.call(&member.target, &attempt) => result,
            () = self.silent_at_shutdown() => Err(silence_error()),
        };
        match &result {
            Ok(_) => member.state.clear_suspicion(),
            Err(e) => {
                self.record_plain_decision(call, DecisionKind::Failed(name.clone(), e.kind));
                member.state.record_failure(e.kind, self.clock.monotonic());
            }
        }
        result
    }

    /// Waits until this gateway is about to stop and its upstream has had the time to the first byte, so that the
    /// caller still gets an answer.
    async fn silent_at_shutdown(&self) {
        let silent_at = Instant::now() + self.settings.timing.first_byte_timeout;
        self.hand_over.cancelled().await;
        sleep_until(silent_at).await;
    }

    fn record_plain_silence(&self, call: &PlainCall, choice: &Choice) {
        let member = &choice.member;
        let silent = DecisionKind::Silent(member.instance.name.clone());
        self.record_plain_decision(call, silent);
        let now = self.clock.monotonic();
        member.state.record_failure(UpstreamErrorKind::Silent, now);
    }

    async fn decide_plain_retry(
        &self,
        call: &PlainCall,
        e: &UpstreamError,
        tried: &[InstanceName],
    ) -> Retry {
        if self.choose_plain(&call.service, tried).is_err() {
            return Retry::GiveUp;
        }
        let Some(service) = self.plain_service(&call.service) else {
            return Retry::GiveUp;
        };
        let failure = Failure {
            kind: e.kind,
            sent: e.sent,
            idempotent: true,
            attempts: u32::try_from(tried.len()).unwrap_or(u32::MAX),
            remaining: self.remaining_time(call),
            random: rand::random(),
        };
        service.retry_budget.decide(failure).await
    }

    fn remaining_time(&self, call: &PlainCall) -> Duration {
        let limit = self.settings.timing.request_timeout;
        limit.saturating_sub(call.arrived.elapsed())
    }

    fn plain_service(&self, name: &ServiceName) -> Option<Arc<ServiceEntry>> {
        self.snapshot.load().service(name).cloned()
    }

    fn record_plain_cost(&self, choice: &Choice, call: &PlainCall, taken: Duration) {
        let snapshot = self.snapshot.load();
        if let Some(service) = snapshot.service(&call.service) {
            let amount = service.cost(&choice.member.instance, taken, &snapshot.view.intent);
            call.account.metrics.add_spending(amount);
        }
    }

    fn record_plain_decision(&self, call: &PlainCall, decision: DecisionKind) {
        self.decisions
            .record(call.id, self.clock.unix_ms(), decision);
    }
}

/// Records the cost of an attempt when it ends or is dropped.
struct AttemptCost<'a, U: Upstreams, T: Clock> {
    gateway: &'a Gateway<U, T>,
    choice: &'a Choice,
    call: &'a PlainCall,
    started: Instant,
}

impl<'a, U: Upstreams, T: Clock> AttemptCost<'a, U, T> {
    fn start(gateway: &'a Gateway<U, T>, choice: &'a Choice, call: &'a PlainCall) -> Self {
        Self {
            gateway,
            choice,
            call,
            started: Instant::now(),
        }
    }
}

impl<U: Upstreams, T: Clock> Drop for AttemptCost<'_, U, T> {
    fn drop(&mut self) {
        let taken = self.started.elapsed();
        self.gateway
            .record_plain_cost(self.choice, self.call, taken);
    }
}

/// Returns the path for the claim's digest, which covers the name of the service too.
fn digest_path(call: &PlainCall) -> String {
    format!("{}{}", call.service, call.call.path)
}

/// Returns the refusal of a call whose answer was lost. It names no retry delay, since the call
/// must not be repeated.
fn outcome_unknown(e: &UpstreamError) -> Refusal {
    Refusal {
        retry_after: None,
        message: format!(
            "the upstream's answer was lost ({}); the call may have run, look at its effect",
            e.message
        ),
        ..upstream_failed(e, true)
    }
}

fn gateway_stopped() -> Refusal {
    Refusal::unknown(
        RefusalKind::UpstreamFailed,
        "the gateway stopped before the answer came; ask again with the same Idempotency-Key",
    )
}
