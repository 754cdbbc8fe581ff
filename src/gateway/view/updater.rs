//! Sends heartbeats to the leader and long-polls it for newer views. One task owns the view and
//! publishes each newer one, so that an older one never replaces it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    sync::{mpsc, oneshot},
    time::{MissedTickBehavior, interval, sleep},
};

use super::{decode, snapshot::Snapshot};
use crate::{
    domain::{Incarnation, InstanceName, View, ViewVersion},
    gateway::core::Gateway,
    ports::{Clock, Upstreams},
    wire::{
        Body, Demand, GatewayHeartbeat, GatewayRecord, LeaseReply, LeavingNotice, ShareRecord,
        ViewReply, ViewRequest,
    },
};

/// How long the leader may hold a long poll before it answers without a newer view.
const VIEW_POLL_WAIT: Duration = Duration::from_millis(1000);

/// Time limit for a long poll, including the time that the leader may hold it.
const VIEW_POLL_TIMEOUT: Duration = Duration::from_millis(2500);

/// Delay after a failed call to the leader.
const FAILED_CALL_DELAY: Duration = Duration::from_millis(20);

/// Number of consecutive heartbeats that can time out within one lease.
const HEARTBEAT_ATTEMPTS_PER_LEASE: u32 = 4;

/// Capacity of the channel to the updater.
const MAX_PENDING_UPDATES: usize = 64;

/// An update for the task that owns the view.
#[derive(Debug)]
enum Update {
    View {
        reply: ViewReply,
        /// Receives the version held after the update, which the next poll starts from.
        held: oneshot::Sender<ViewVersion>,
    },
    Lease {
        sent_at: Duration,
        reply: LeaseReply,
    },
}

/// A lease that takes effect once the view includes its required index.
#[derive(Debug)]
struct PendingLease {
    until: Duration,
    required_index: u64,
}

/// The addresses at which the gateway can be reached.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Addresses {
    /// For callers.
    pub(crate) caller: SocketAddr,
    /// For other gateways.
    pub(crate) peer: SocketAddr,
}

/// The task that owns the view.
pub(crate) struct ViewUpdater<U, T> {
    gateway: Arc<Gateway<U, T>>,
    view: View,
    pending: Option<PendingLease>,
}

impl<U: Upstreams, T: Clock> ViewUpdater<U, T> {
    /// Starts the heartbeats, the long poll and the task that publishes views. All end when the
    /// gateway is closed.
    pub(crate) fn start(gateway: &Arc<Gateway<U, T>>, addresses: Addresses) {
        let (tx, rx) = mpsc::channel(MAX_PENDING_UPDATES);
        let closed = gateway.closed.clone();
        let heartbeats = send_heartbeats(Arc::clone(gateway), addresses, tx.clone());
        let poll = poll_views(Arc::clone(gateway), tx);
        let updater = Self {
            gateway: Arc::clone(gateway),
            view: View::default(),
            pending: None,
        };
        tokio::spawn(closed.clone().run_until_cancelled_owned(heartbeats));
        tokio::spawn(closed.clone().run_until_cancelled_owned(poll));
        tokio::spawn(closed.run_until_cancelled_owned(updater.run(rx)));
    }

    async fn run(mut self, mut rx: mpsc::Receiver<Update>) {
        while let Some(update) = rx.recv().await {
            match update {
                Update::View { reply, held } => {
                    self.apply_view(&reply);
                    let _ = held.send(self.view.version);
                }
                Update::Lease { sent_at, reply } => self.apply_lease(sent_at, &reply),
            }
        }
    }

    fn apply_view(&mut self, reply: &ViewReply) {
        let Some(view) = decode::apply_reply(&self.view, reply) else {
            return;
        };
        if view.revision != self.view.revision {
            log::info!("gateway: revision {} is in force.", view.revision);
        }
        self.publish(view);
        self.activate_lease();
    }

    fn apply_lease(&mut self, sent_at: Duration, reply: &LeaseReply) {
        if reply.shares_changed {
            self.apply_shares(&reply.shares, reply.shares_version);
        }
        self.pending = Some(PendingLease {
            until: sent_at + Duration::from_millis(reply.lease_ms),
            required_index: reply.required_index,
        });
        self.activate_lease();
    }

    fn apply_shares(&mut self, records: &[ShareRecord], shares_version: u64) {
        let shares = decode::decode_shares(records);
        if shares != self.view.shares || shares_version != self.view.shares_version {
            let view = View {
                shares,
                shares_version,
                ..self.view.clone()
            };
            self.publish(view);
        }
    }

    /// Activates the pending lease once the view includes its required index. Until then the
    /// previous lease remains in force, so that a new revision does not interrupt the service.
    fn activate_lease(&mut self) {
        let version = self.view.version;
        let Some(pending) = &self.pending else {
            return;
        };
        if version != ViewVersion::default() && version.index >= pending.required_index {
            self.gateway.lease.extend(pending.until);
            self.pending = None;
        }
    }

    fn publish(&mut self, view: View) {
        self.view = view.clone();
        self.gateway.peers.update(&view);
        let before = self.gateway.snapshot.load();
        let next = Snapshot::build(view, &before, &self.gateway.metrics);
        for member in next.members() {
            member.propagate_leaving();
        }
        self.gateway.snapshot.store(Arc::new(next));
    }
}

async fn send_heartbeats<U: Upstreams, T: Clock>(
    gateway: Arc<Gateway<U, T>>,
    addresses: Addresses,
    tx: mpsc::Sender<Update>,
) {
    let timing = &gateway.settings.timing;
    let mut tick = interval(timing.gateway_heartbeat);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut leaving_sent = false;
    // An unresponsive controller must leave time to try another one within the lease.
    let attempt_timeout = timing.view_lease / HEARTBEAT_ATTEMPTS_PER_LEASE;
    loop {
        tokio::select! {
            _ = tick.tick() => {}
            () = gateway.leaving.cancelled(), if !leaving_sent => leaving_sent = true,
        }
        let body = Body::Heartbeat(heartbeat_message(&gateway, addresses));
        // The lease starts before the heartbeat is sent, so that no network delay can extend it.
        let sent_at = gateway.clock.monotonic();
        let reply = gateway.leader.call(body, attempt_timeout).await;
        match reply {
            Ok(Body::Lease(reply)) => {
                let _ = tx.send(Update::Lease { sent_at, reply }).await;
            }
            Ok(_) | Err(_) => {
                sleep(FAILED_CALL_DELAY).await;
                tick.reset_immediately();
            }
        }
    }
}

fn heartbeat_message<U: Upstreams, T: Clock>(
    gateway: &Gateway<U, T>,
    addresses: Addresses,
) -> GatewayHeartbeat {
    let snapshot = gateway.snapshot.load();
    let record = GatewayRecord {
        name: gateway.identity.name.to_string(),
        incarnation: gateway.identity.incarnation.0,
        zone: gateway.settings.zone.to_string(),
        caller_address: addresses.caller.to_string(),
        peer_address: addresses.peer.to_string(),
        leaving: gateway.leaving.is_cancelled(),
    };
    GatewayHeartbeat {
        gateway: Some(record),
        view_index: snapshot.view.version.index,
        demand: demand(&snapshot),
        leaving: leaving_notices(&snapshot),
        shares_version: snapshot.view.shares_version,
    }
}

fn demand(snapshot: &Snapshot) -> Vec<Demand> {
    snapshot
        .services()
        .flat_map(|entry| {
            entry.accounts().map(|(account, usage)| {
                let (running, waiting) = usage.take_demand();
                Demand {
                    service: entry.service.name.to_string(),
                    account: account.to_string(),
                    running,
                    waiting,
                }
            })
        })
        .filter(|demand| demand.running + demand.waiting > 0)
        .collect()
}

fn leaving_notices(snapshot: &Snapshot) -> Vec<LeavingNotice> {
    snapshot
        .members()
        .filter(|member| member.is_leaving_unreported())
        .map(|member| leaving_notice(&member.instance.name, member.instance.incarnation))
        .collect()
}

fn leaving_notice(instance: &InstanceName, incarnation: Incarnation) -> LeavingNotice {
    LeavingNotice {
        instance: instance.to_string(),
        incarnation: incarnation.0,
    }
}

async fn poll_views<U: Upstreams, T: Clock>(gateway: Arc<Gateway<U, T>>, tx: mpsc::Sender<Update>) {
    let mut held = ViewVersion::default();
    loop {
        let request = ViewRequest {
            gateway: gateway.identity.name.to_string(),
            held_index: held.index,
            held_term: held.term,
            held_sequence: held.sequence,
            wait_ms: VIEW_POLL_WAIT.as_millis() as u64,
        };
        let reply = gateway
            .leader
            .call(Body::ViewRequest(request), VIEW_POLL_TIMEOUT)
            .await;
        let Ok(Body::View(reply)) = reply else {
            sleep(FAILED_CALL_DELAY).await;
            continue;
        };
        let (done, version) = oneshot::channel();
        let update = Update::View { reply, held: done };
        if tx.send(update).await.is_err() {
            return;
        }
        held = version.await.unwrap_or(held);
    }
}
