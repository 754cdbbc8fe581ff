//! State that all parts of a gateway share.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use tokio::sync::watch;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use super::{
    counters::Counters,
    explain::DecisionLog,
    journal::{Journal, Peers},
    route::RoutingContext,
    view::{AccountEntry, LeaderClient, Lease, Snapshot},
};
use crate::{
    adapters::http::RequestMemory,
    domain::{GatewayEntry, Refusal, RefusalKind, ViewVersion},
    link::Identity,
    ports::{Clock, Upstreams},
    settings::Settings,
    telemetry::Metrics,
};

/// Retry delay for callers while this gateway has no lease.
const NO_LEASE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry delay for callers while this gateway has its maximum of requests in progress.
const REQUEST_LIMIT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The shared state, which is read without locks.
#[derive(Debug)]
pub(crate) struct Gateway<U, T> {
    pub(crate) settings: Arc<Settings>,
    pub(crate) identity: Identity,
    pub(crate) upstreams: Arc<U>,
    pub(crate) clock: Arc<T>,
    pub(crate) metrics: Metrics,
    pub(crate) snapshot: ArcSwap<Snapshot>,
    pub(crate) lease: Lease,
    pub(crate) leader: LeaderClient,
    /// Cancelled when the gateway starts to drain, by its stop token or a reclaim notice for its
    /// own instance.
    pub(crate) leaving: CancellationToken,
    /// Cancelled when the requests that remain must be handed over.
    pub(crate) hand_over: CancellationToken,
    /// Cancelled when the gateway's task ends; stops all background tasks.
    pub(crate) closed: CancellationToken,
    /// Requests and background work that a graceful shutdown waits for.
    pub(crate) work: TaskTracker,
    /// Time until the cloud reclaims this gateway's own instance, as of the notice; `None` without
    /// a notice.
    pub(crate) reclaim_remaining: watch::Sender<Option<Duration>>,
    pub(crate) decisions: DecisionLog,
    pub(crate) journal: Journal,
    pub(crate) peers: Peers,
    pub(crate) counters: Counters,
    pub(crate) claim_attempts: AtomicU64,
    pub(crate) requests_in_progress: Arc<AtomicU32>,
    /// The memory for the bodies of requests.
    pub(crate) memory: RequestMemory,
}

/// Counts one request in progress at this gateway until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlight(Arc<AtomicU32>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl<U: Upstreams, T: Clock> Gateway<U, T> {
    /// Refuses new work while the gateway is draining or has no valid lease.
    pub(crate) fn check_accepting(&self) -> Result<(), Refusal> {
        if self.leaving.is_cancelled() {
            return Err(Refusal::not_run(
                RefusalKind::Leaving,
                "this gateway is leaving; use one of the other addresses",
            ));
        }
        self.check_lease()
    }

    /// Refuses new work, also for an account that was revoked or whose token was replaced while its
    /// request arrived or waited: a revocation that is confirmed as in force everywhere must hold
    /// for these requests too.
    pub(crate) fn check_accepting_account(&self, account: &AccountEntry) -> Result<(), Refusal> {
        self.check_accepting()?;
        let snapshot = self.snapshot.load();
        let now = snapshot.account_named(&account.name);
        if now.is_some_and(|now| now.has_same_token(account)) {
            return Ok(());
        }
        Err(Refusal::not_run(
            RefusalKind::Unauthorized,
            "the account or its token was revoked meanwhile; ask the operator for a new token",
        ))
    }

    /// Counts a request before its body is read, or refuses it if too many are in progress.
    pub(crate) fn begin_request(&self) -> Result<InFlight, Refusal> {
        let before = self.requests_in_progress.fetch_add(1, Ordering::AcqRel);
        let in_flight = InFlight(Arc::clone(&self.requests_in_progress));
        if before < self.settings.limits.requests {
            return Ok(in_flight);
        }
        let refusal = Refusal::not_run(
            RefusalKind::Overloaded,
            "this gateway has too many requests in progress; retry later or at another address",
        );
        Err(refusal.retry_after(REQUEST_LIMIT_RETRY_AFTER))
    }

    /// Refuses work after the lease has expired. Called at admission and again right before a
    /// dispatch, since the process may have been suspended in between.
    pub(crate) fn check_lease(&self) -> Result<(), Refusal> {
        if self.lease.is_valid(self.clock.monotonic()) {
            return Ok(());
        }
        let refusal = Refusal::not_run(
            RefusalKind::NoLease,
            "this gateway has lost touch with the controllers; use one of the other addresses",
        );
        Err(refusal.retry_after(NO_LEASE_RETRY_AFTER))
    }

    /// Returns whether no view has been received from the leader yet.
    pub(crate) fn has_no_view(&self) -> bool {
        self.snapshot.load().view.version == ViewVersion::default()
    }

    /// Returns the other gateways that callers may use.
    pub(crate) fn other_gateways(&self) -> Vec<GatewayEntry> {
        self.snapshot
            .load()
            .view
            .gateways
            .iter()
            .filter(|entry| !entry.leaving && entry.name.as_str() != &*self.identity.name)
            .cloned()
            .collect()
    }

    /// Starts to drain because the cloud reclaims this gateway's instance after the remaining time.
    /// Later notices do not change the time.
    pub(crate) fn handle_reclaim(&self, remaining: Duration) {
        self.reclaim_remaining.send_if_modified(|known| {
            let is_first = known.is_none();
            known.get_or_insert(remaining);
            is_first
        });
        self.leaving.cancel();
    }

    /// Returns the inputs of a routing decision that do not depend on the request.
    pub(crate) fn routing_context<'a>(&'a self, snapshot: &'a Snapshot) -> RoutingContext<'a> {
        RoutingContext {
            zone: &self.settings.zone,
            weights: &snapshot.view.intent.routing,
            now: self.clock.monotonic(),
        }
    }

    /// Returns the number of a claim's next attempt; no number repeats within an incarnation.
    pub(crate) fn next_claim_attempt(&self) -> u64 {
        self.claim_attempts.fetch_add(1, Ordering::Relaxed) + 1
    }
}
