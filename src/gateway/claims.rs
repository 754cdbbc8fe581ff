//! At-most-once calls: claims at the leader before a dispatch, and the outcome after it. See
//! docs/DESIGN.md, "At most once".

use std::{sync::Arc, time::Duration};

use tokio::{
    sync::oneshot,
    time::{sleep, timeout},
};

use super::core::Gateway;
use crate::{
    domain::{AccountName, BodyDigest, IdempotencyKey, Refusal, RefusalKind},
    ports::{Clock, ServiceReply, Upstreams},
    wire::{
        Body, ClaimRequest, ClaimStatus, OutcomeReply, OutcomeRequest, ReleaseRequest,
        StoredOutcome,
    },
};

/// Time limit for a claim to be committed.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest time that an answer is delayed until its outcome is committed.
const OUTCOME_COMMIT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time limit for one round of sending an outcome or a release to the controllers.
const RECORD_ROUND_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay between rounds.
const RECORD_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Limit on the rounds of sending a release. It is sent more than a few times because an unanswered
/// claim may still be committed after the first rounds.
const MAX_RELEASE_ROUNDS: u32 = 20;

/// How far the timestamp of a key may lie in the future, since clocks differ. Keys outside the
/// accepted range are refused, since a record is kept for a time that is counted from the timestamp
/// of its key.
const MAX_KEY_CLOCK_SKEW: Duration = Duration::from_secs(60);

/// Retry delay for callers while the call of a key is in progress.
const IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry delay for callers when the controllers' quorum does not answer.
const NO_QUORUM_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A granted claim. It is consumed by one dispatch or released.
#[derive(Debug)]
pub(crate) struct GrantedClaim(ClaimRequest);

/// The result of a claim.
#[derive(Debug)]
pub(crate) enum ClaimResult {
    /// The call may be dispatched once.
    Granted(GrantedClaim),
    /// The call ran earlier; this is its recorded answer.
    Recorded(StoredOutcome),
}

impl<U: Upstreams, T: Clock> Gateway<U, T> {
    /// Claims the right to dispatch a call. Refused if the key's timestamp is out of range, if the
    /// leader does not answer in time, or if the call is in progress, ran without a known outcome,
    /// or had another body.
    pub(crate) async fn claim(
        self: &Arc<Self>,
        account: &AccountName,
        key: IdempotencyKey,
        digest: BodyDigest,
    ) -> Result<ClaimResult, Refusal> {
        self.check_key_age(key)?;
        let request = ClaimRequest {
            account: account.to_string(),
            key: key.as_bytes().to_vec(),
            digest: digest.0.to_vec(),
            gateway: self.identity.name.to_string(),
            incarnation: self.identity.incarnation.0,
            attempt: self.next_claim_attempt(),
        };
        let guard = PendingClaim::new(self, request.clone());
        let body = Body::Claim(request.clone());
        let reply = self.leader.call_with_retries(&body, CLAIM_TIMEOUT).await;
        let Ok(Body::ClaimReply(reply)) = reply else {
            drop(guard);
            return Err(no_quorum());
        };
        // A status of a later build must not be read as the default one, which is a grant.
        let Ok(status) = ClaimStatus::try_from(reply.status) else {
            log::warn!(
                "gateway: a claim got the unknown status {}; start the newest version here.",
                reply.status
            );
            drop(guard);
            return Err(no_quorum());
        };
        if status == ClaimStatus::Granted {
            return Ok(ClaimResult::Granted(guard.disarm()));
        }
        // The leader has no claim to release after any other answer.
        guard.disarm();
        claim_result(status, reply.outcome)
    }

    fn check_key_age(&self, key: IdempotencyKey) -> Result<(), Refusal> {
        let now = Duration::from_millis(self.clock.unix_ms());
        let made = Duration::from_millis(key.created_unix_ms());
        if made > now + MAX_KEY_CLOCK_SKEW {
            return Err(Refusal::not_run(
                RefusalKind::BadRequest,
                "the Idempotency-Key lies in the future; set the caller's clock and make a new key",
            ));
        }
        if now.saturating_sub(made) > self.settings.timing.claim_retention {
            return Err(key_expired());
        }
        Ok(())
    }

    /// Releases the claim of a call that was not dispatched, in the background.
    pub(crate) fn release_claim(self: &Arc<Self>, claim: GrantedClaim) {
        let gateway = Arc::clone(self);
        self.work.spawn(async move {
            let body = Body::Release(ReleaseRequest {
                claim: Some(claim.0),
            });
            for _ in 0..MAX_RELEASE_ROUNDS {
                let reply = gateway
                    .leader
                    .call_with_retries(&body, RECORD_ROUND_TIMEOUT)
                    .await;
                if matches!(
                    reply,
                    Ok(Body::OutcomeReply(OutcomeReply { accepted: true }))
                ) {
                    return;
                }
                if gateway.closed.is_cancelled() {
                    return;
                }
                sleep(RECORD_RETRY_DELAY).await;
            }
        });
    }

    /// Records the outcome of a dispatched call, and waits a bounded time for the commit. In the
    /// background it is resent until it is committed.
    pub(crate) async fn record_outcome(
        self: &Arc<Self>,
        claim: GrantedClaim,
        reply: Option<&ServiceReply>,
    ) {
        let outcome = reply.map(|reply| self.stored_outcome(reply));
        let body = Body::Outcome(OutcomeRequest {
            claim: Some(claim.0),
            outcome,
        });
        let (done, committed) = oneshot::channel();
        let gateway = Arc::clone(self);
        self.work.spawn(async move {
            while !gateway.closed.is_cancelled() {
                let reply = gateway
                    .leader
                    .call_with_retries(&body, RECORD_ROUND_TIMEOUT)
                    .await;
                if let Ok(Body::OutcomeReply(reply)) = reply {
                    log_unknown_claim(&reply);
                    let _ = done.send(());
                    return;
                }
                sleep(RECORD_RETRY_DELAY).await;
            }
        });
        if timeout(OUTCOME_COMMIT_TIMEOUT, committed).await.is_err() {
            self.counters.late_outcomes.increment();
        }
    }

    fn stored_outcome(&self, reply: &ServiceReply) -> StoredOutcome {
        if reply.body.len() as u64 <= self.settings.limits.outcome_bytes {
            return StoredOutcome {
                status: u32::from(reply.status),
                content_type: reply.content_type.clone(),
                body: reply.body.clone(),
                ends_with_connection: reply.ends_with_connection,
            };
        }
        let message = format!(
            "the call ran with status {}; its answer of {} bytes was too large to be kept",
            reply.status,
            reply.body.len()
        );
        let body = serde_json::json!({
            "error": {"kind": "upstream_failed", "message": message, "ran": "yes"}
        });
        StoredOutcome {
            status: u32::from(RefusalKind::UpstreamFailed.status()),
            content_type: "application/json".to_owned(),
            body: body.to_string().into(),
            ends_with_connection: false,
        }
    }
}

fn log_unknown_claim(reply: &OutcomeReply) {
    if !reply.accepted {
        log::warn!("gateway: the leader no longer holds the claim of a dispatched call.");
    }
}

/// A claim that was sent and is not answered yet. On drop it is released, also when the caller
/// disconnects meanwhile; its attempt number is never used for a dispatch afterwards.
struct PendingClaim<U: Upstreams, T: Clock> {
    gateway: Arc<Gateway<U, T>>,
    request: Option<ClaimRequest>,
}

impl<U: Upstreams, T: Clock> PendingClaim<U, T> {
    fn new(gateway: &Arc<Gateway<U, T>>, request: ClaimRequest) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            request: Some(request),
        }
    }

    fn disarm(mut self) -> GrantedClaim {
        GrantedClaim(self.request.take().unwrap_or_default())
    }
}

impl<U: Upstreams, T: Clock> Drop for PendingClaim<U, T> {
    fn drop(&mut self) {
        if let Some(request) = self.request.take() {
            self.gateway.release_claim(GrantedClaim(request));
        }
    }
}

fn claim_result(
    status: ClaimStatus,
    outcome: Option<StoredOutcome>,
) -> Result<ClaimResult, Refusal> {
    match status {
        ClaimStatus::Done => outcome.map(ClaimResult::Recorded).ok_or_else(answer_lost),
        ClaimStatus::Granted | ClaimStatus::Unknown => Err(answer_lost()),
        ClaimStatus::InProgress => Err(Refusal::unknown(
            RefusalKind::InProgress,
            "the call of this Idempotency-Key is in progress; ask again with the same key",
        )
        .retry_after(IN_PROGRESS_RETRY_AFTER)),
        ClaimStatus::Conflict => Err(Refusal::not_run(
            RefusalKind::KeyConflict,
            "this Idempotency-Key was used for another call; make a new key for this one",
        )),
        ClaimStatus::Expired => Err(key_expired()),
    }
}

fn answer_lost() -> Refusal {
    Refusal::unknown(
        RefusalKind::UpstreamFailed,
        "the call of this Idempotency-Key may have run and its answer is lost; look at its effect",
    )
}

/// Whether a call ran under an expired key is no longer known, so the refusal must not say that it
/// did not run.
fn key_expired() -> Refusal {
    Refusal::unknown(
        RefusalKind::KeyExpired,
        "the Idempotency-Key is older than its record is kept; this request was not sent on, but an \
         earlier one with the key may have run",
    )
}

fn no_quorum() -> Refusal {
    Refusal::unknown(
        RefusalKind::NoQuorum,
        "the controllers did not confirm the claim in time, so that this request was not sent on, but \
         an earlier one with the key may have run; ask again with the same key",
    )
    .retry_after(NO_QUORUM_RETRY_AFTER)
}
