//! What all parts of a controller share.

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
    fleet::Fleet,
    followers::Followers,
    log::{Applied, Log, LogError},
    peers::Peers,
};
use crate::{
    domain::FencingNumber,
    ports::Clock,
    settings::{ControllerEntry, Ingress, Settings},
    state::{Action, Command},
    telemetry::Metrics,
};

/// What all parts of a controller share.
#[derive(Debug)]
pub struct Core<T> {
    /// The settings.
    pub settings: Arc<Settings>,
    /// The time.
    pub clock: Arc<T>,
    /// The metrics of the process.
    pub metrics: Metrics,
    /// The replicated log.
    pub log: Log,
    /// Links to the other controllers.
    pub peers: Arc<Peers>,
    /// What this controller says of its data folder.
    pub local_member: Arc<LocalMember>,
    fleet: Mutex<Fleet>,
    followers: Mutex<Followers>,
    followers_changed: watch::Sender<u64>,
    fleet_changed: watch::Sender<u64>,
    heartbeats: watch::Sender<u64>,
    /// Fencing numbers of the duties that this controller holds.
    duties: Mutex<BTreeMap<&'static str, FencingNumber>>,
    listed_term: AtomicU64,
}

impl<T: Clock> Core<T> {
    /// Puts the parts together.
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
        let followers = Followers::new(quota_rule.told_window());
        Self {
            settings,
            clock,
            metrics,
            log,
            peers,
            local_member,
            fleet: Mutex::new(fleet),
            followers: Mutex::new(followers),
            followers_changed: watch::channel(0).0,
            fleet_changed: watch::channel(0).0,
            heartbeats: watch::channel(0).0,
            duties: Mutex::default(),
            listed_term: AtomicU64::new(0),
        }
    }

    /// Returns the registry of gateways for a short look or change.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes those that wait for a change of the gateways.
    pub fn notify_fleet_changed(&self) {
        self.fleet_changed.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that is woken when the gateways change.
    pub fn watch_fleet(&self) -> watch::Receiver<u64> {
        self.fleet_changed.subscribe()
    }

    /// Returns the ingress gateways that follow, for a short look or change.
    pub fn followers(&self) -> MutexGuard<'_, Followers> {
        self.followers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes those that wait for a change of what followers are told.
    pub fn notify_followers_changed(&self) {
        self.followers_changed.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that is woken when what followers are told changes.
    pub fn watch_followers(&self) -> watch::Receiver<u64> {
        self.followers_changed.subscribe()
    }

    /// Returns the fencing numbers of the duties that this controller holds, for a short look or change.
    pub fn duties(&self) -> MutexGuard<'_, BTreeMap<&'static str, FencingNumber>> {
        self.duties.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes those that wait for heartbeats.
    pub fn notify_heartbeat(&self) {
        self.heartbeats.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that is woken by heartbeats of gateways.
    pub fn watch_heartbeats(&self) -> watch::Receiver<u64> {
        self.heartbeats.subscribe()
    }

    /// Notes that the instance list was read and recorded in a term.
    pub fn set_listed_term(&self, term: u64) {
        self.listed_term.store(term, Ordering::Release);
    }

    /// Returns whether this controller leads and has recorded the instance list in its term.
    /// Placement waits for it, so that it does not order what runs already.
    pub fn leads_with_instance_list(&self) -> bool {
        self.leads() && self.listed_term.load(Ordering::Acquire) == self.fleet().term()
    }

    /// Returns the time by the monotonic clock.
    pub fn now(&self) -> Duration {
        self.clock.monotonic()
    }

    /// Returns whether this controller leads, holds its own lease and has applied all that earlier
    /// leaders committed.
    pub fn leads(&self) -> bool {
        self.log.led_term(self.now()) == Some(self.fleet().term())
    }

    /// Returns the leader's entry, if it is known.
    pub fn leader(&self) -> Option<ControllerEntry> {
        let leader = self.log.status().leader?;
        if leader == self.local_member.id() {
            return self.peers.entry(&self.settings.name);
        }
        self.peers.entry(&self.peers.controller_name(leader)?)
    }

    /// Commits a command with the present time.
    pub async fn propose(&self, action: Action) -> Result<Applied, LogError> {
        let command = Command {
            at_unix_ms: self.clock.unix_ms(),
            action: Some(action),
        };
        self.log.propose(&command).await
    }
}
