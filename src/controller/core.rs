//! State that all tasks of a controller share.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::sync::watch;

use super::{
    bootstrap::LocalMember,
    documents::DocumentCache,
    fleet::Fleet,
    followers::Followers,
    log::{Applied, Log, LogError},
    member_reports::MemberReports,
    peers::Peers,
    rollouts::RunningRollouts,
};
use crate::{
    domain::FencingToken,
    policy::origins::OriginLedger,
    ports::Clock,
    settings::{ControllerEntry, Ingress, Settings},
    state::{Action, Command},
    telemetry::Metrics,
};

/// Streams whose origins a controller knows; see docs/CAPACITY.md.
const MAX_ORIGINS: usize = 128 * 1024;

/// State that all tasks of a controller share.
#[derive(Debug)]
pub struct Core<T> {
    /// The settings that the controller started with.
    pub settings: Arc<Settings>,
    /// The monotonic and the wall clock.
    pub clock: Arc<T>,
    /// The metrics of the process.
    pub metrics: Metrics,
    /// The replicated log.
    pub log: Log,
    /// Links to the other controllers.
    pub peers: Arc<Peers>,
    /// This controller's member and whether its data folder is blank.
    pub local_member: Arc<LocalMember>,
    /// What the other controllers last said of their members.
    pub(super) member_reports: MemberReports,
    /// The published document as gateways fetch it.
    pub(super) documents: DocumentCache,
    fleet: Mutex<Fleet>,
    followers: Mutex<Followers>,
    origins: Mutex<OriginLedger>,
    rollouts: Mutex<RunningRollouts>,
    followers_changed: watch::Sender<u64>,
    gateway_leaves: watch::Sender<u64>,
    fleet_changed: watch::Sender<u64>,
    heartbeats: watch::Sender<u64>,
    /// Fencing tokens of the duties that this controller holds, by duty.
    duties: Mutex<BTreeMap<&'static str, FencingToken>>,
    /// Last term in which this controller recorded the instance list.
    listed_term: AtomicU64,
}

impl<T: Clock> Core<T> {
    /// Creates the shared state, with empty registries of gateways.
    pub fn new(
        settings: Arc<Settings>,
        clock: Arc<T>,
        metrics: Metrics,
        log: Log,
        peers: Arc<Peers>,
        local_member: Arc<LocalMember>,
    ) -> Self {
        let fleet = Fleet::new(settings.timing.view_lease);
        let ingress = settings.ingress.as_ref();
        let quota_rule = ingress.map(Ingress::quota_rule).unwrap_or_default();
        let followers = Followers::new(quota_rule.usage_window());
        Self {
            settings,
            clock,
            metrics,
            log,
            peers,
            local_member,
            member_reports: MemberReports::default(),
            documents: DocumentCache::default(),
            fleet: Mutex::new(fleet),
            followers: Mutex::new(followers),
            origins: Mutex::new(OriginLedger::new(MAX_ORIGINS)),
            rollouts: Mutex::default(),
            followers_changed: watch::channel(0).0,
            gateway_leaves: watch::channel(0).0,
            fleet_changed: watch::channel(0).0,
            heartbeats: watch::channel(0).0,
            duties: Mutex::default(),
            listed_term: AtomicU64::new(0),
        }
    }

    /// Locks the origins of streams; hold the lock only briefly.
    pub fn origins(&self) -> MutexGuard<'_, OriginLedger> {
        self.origins.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks what gateways reported of roll-outs; hold the lock only briefly.
    pub fn rollouts(&self) -> MutexGuard<'_, RunningRollouts> {
        self.rollouts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the registry of gateways; hold the lock only briefly.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes the tasks that watch the registry of gateways.
    pub fn notify_fleet_changed(&self) {
        self.fleet_changed.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that is notified when the registry of gateways changes.
    pub fn watch_fleet(&self) -> watch::Receiver<u64> {
        self.fleet_changed.subscribe()
    }

    /// Returns whether the speeds of upstreams are learned.
    pub(super) fn learns_paces(&self) -> bool {
        let ingress = self.settings.ingress.as_ref();
        ingress.is_some_and(|ingress| ingress.learn_paces)
    }

    /// Locks the registry of ingress gateways that follow; hold the lock only briefly.
    pub fn followers(&self) -> MutexGuard<'_, Followers> {
        self.followers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes the tasks that watch what is sent to followers.
    pub fn notify_followers_changed(&self) {
        self.followers_changed.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that is notified when what is sent to followers changes.
    pub fn watch_followers(&self) -> watch::Receiver<u64> {
        self.followers_changed.subscribe()
    }

    /// Wakes the tasks that delay changes of the roster.
    pub fn notify_gateway_leaves(&self) {
        self.gateway_leaves.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that is notified when an ingress gateway begins to leave.
    pub fn watch_leaving_gateways(&self) -> watch::Receiver<u64> {
        self.gateway_leaves.subscribe()
    }

    /// Locks the fencing tokens of the duties that this controller holds; hold the lock only
    /// briefly.
    pub fn duties(&self) -> MutexGuard<'_, BTreeMap<&'static str, FencingToken>> {
        self.duties.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes the tasks that wait for a heartbeat of a gateway.
    pub fn notify_heartbeat(&self) {
        self.heartbeats.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that is notified of every heartbeat of a gateway.
    pub fn watch_heartbeats(&self) -> watch::Receiver<u64> {
        self.heartbeats.subscribe()
    }

    /// Marks the instance list as read and committed in a term.
    pub fn set_listed_term(&self, term: u64) {
        self.listed_term.store(term, Ordering::Release);
    }

    /// Returns whether this controller leads and has committed the instance list in its term.
    /// Placement waits for this, so that it does not start instances that are running already.
    pub fn leads_with_instance_list(&self) -> bool {
        self.leads() && self.listed_term.load(Ordering::Acquire) == self.fleet().term()
    }

    /// Returns the time of the monotonic clock.
    pub fn now(&self) -> Duration {
        self.clock.monotonic()
    }

    /// Returns whether this controller leads, holds the leader lease and has applied every entry
    /// that earlier leaders committed.
    pub fn leads(&self) -> bool {
        self.log.led_term(self.now()) == Some(self.fleet().term())
    }

    /// Returns the name and addresses of the leader, if they are known.
    pub fn leader(&self) -> Option<ControllerEntry> {
        let leader = self.log.status().leader?;
        if leader == self.local_member.id() {
            return self.peers.entry(&self.settings.name);
        }
        self.peers.entry(&self.peers.controller_name(leader)?)
    }

    /// Proposes a command stamped with the current time and waits until it is committed and
    /// applied.
    pub async fn propose(&self, action: Action) -> Result<Applied, LogError> {
        let command = Command {
            at_unix_ms: self.clock.unix_ms(),
            action: Some(action),
        };
        self.log.propose(&command).await
    }
}
