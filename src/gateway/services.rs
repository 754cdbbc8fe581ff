//! Calls of plain services: idempotent ones are retried at other instances, the others are
//! dispatched at most once under a claim.

use std::{sync::Arc, time::Duration};

use tokio::{
    sync::oneshot,
    time::{Instant, sleep},
};

use super::{
    admission::Permit,
    claims::{ClaimResult, GrantedClaim},
    core::{Gateway, InFlight},
    explain::DecisionKind,
    refusals::{no_upstream, upstream_failed},
    route::{self, Choice, RoutingPrompt},
    view::{AccountEntry, ServiceEntry},
};
use crate::{
    domain::{
        BodyDigest, IdempotencyKey, InstanceName, Refusal, RefusalKind, RequestId, ServiceName,
    },
    policy::retry::{Failure, Retry},
    ports::{Clock, Sent, ServiceCall, ServiceReply, UpstreamError, Upstreams},
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
    /// Makes an idempotent call, and retries it at another instance after a failure while the retry
    /// budget and the time allow it.
    pub(crate) async fn call_idempotent(&self, call: &PlainCall) -> Result<PlainAnswer, Refusal> {
        let mut tried = Vec::new();
        let mut may_have_arrived = false;
        let mut choice = self.choose_plain(&call.service, &tried)?;
        loop {
            let e = match self.dispatch(&choice, call).await {
                Ok(reply) => return Ok(PlainAnswer::Fresh(reply)),
                Err(e) => e,
            };
            may_have_arrived |= e.sent == Sent::Maybe;
            tried.push(choice.member.instance.name.clone());
            let failed = || upstream_failed(&e, may_have_arrived);
            match self.decide_plain_retry(call, &e, tried.len() as u32).await {
                Retry::After(delay) => sleep(delay).await,
                Retry::GiveUp => return Err(failed()),
            }
            choice = self
                .choose_plain(&call.service, &tried)
                .map_err(|_| failed())?;
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
        let started = Instant::now();
        let left = self.remaining_time(call);
        let attempt = ServiceCall {
            timeout: call.call.timeout.min(left),
            ..call.call.clone()
        };
        let result = self.upstreams.call(&member.target, &attempt).await;
        self.record_plain_cost(choice, call, started.elapsed());
        match &result {
            Ok(_) => member.state.clear_suspicion(),
            Err(e) => {
                self.record_plain_decision(call, DecisionKind::Failed(name.clone(), e.kind));
                member.state.record_failure(e.kind, self.clock.monotonic());
            }
        }
        result
    }

    async fn decide_plain_retry(
        &self,
        call: &PlainCall,
        e: &UpstreamError,
        attempts: u32,
    ) -> Retry {
        let Some(service) = self.plain_service(&call.service) else {
            return Retry::GiveUp;
        };
        let failure = Failure {
            kind: e.kind,
            sent: e.sent,
            idempotent: true,
            attempts,
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
