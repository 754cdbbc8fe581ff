//! The role `gateway`: routes callers' requests to upstreams and relays the answers.

mod admission;
mod claims;
mod core;
mod counters;
mod explain;
mod generate;
mod http;
mod journal;
mod polls;
mod queue;
mod refusals;
mod retry_budget;
mod route;
mod services;
mod view;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use anyhow::Context;
use arc_swap::ArcSwap;
use tokio::{
    net::TcpListener,
    sync::watch,
    time::{Instant, timeout_at},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use self::{
    core::Gateway,
    counters::Counters,
    explain::DecisionLog,
    journal::{CopyLimits, Journal, PeerHandler, Peers},
    view::{Addresses, LeaderClient, Lease, Snapshot, ViewUpdater},
};
use crate::{
    RunningRole,
    adapters::http::RequestMemory,
    domain::Incarnation,
    link::{self, Identity, LinkSettings, PeerKey},
    ports::{Clock, CloudApi, Ports, Upstreams},
    settings::Settings,
};

/// Part of the shutdown time, at most, that is reserved for handing requests over.
const MAX_HAND_OVER_TIME: Duration = Duration::from_secs(2);

/// Memory for the copies of other gateways' requests, in bytes.
const MAX_COPY_BYTES: usize = 64 * 1024 * 1024;

/// Starts a gateway. When the token is cancelled, the gateway leaves the address list, finishes or
/// hands over its requests and stops. Returns an error if the peer key cannot be read or an address
/// is in use.
pub async fn start<U: Upstreams, C: CloudApi, T: Clock>(
    settings: Arc<Settings>,
    ports: Ports<U, C, T>,
    stop: CancellationToken,
) -> anyhow::Result<RunningRole> {
    let key = PeerKey::read(&settings.peer_key_file)
        .with_context(|| format!("cannot read {}", settings.peer_key_file.display()))?;
    let (http_listener, http_address) = bind_listener(settings.http_address).await?;
    let (peer_listener, peer_address) = bind_listener(settings.peer_address).await?;
    let gateway = build_gateway(settings, &ports, &key, &stop);
    let addresses = Addresses {
        caller: gateway.settings.advertised_address.unwrap_or(http_address),
        peer: peer_address,
    };
    ViewUpdater::start(&gateway, addresses);
    let closed = &gateway.closed;
    tokio::spawn(link::serve(
        peer_listener,
        key,
        gateway.identity.clone(),
        LinkSettings::default(),
        Arc::new(PeerHandler::new(&gateway)),
        closed.clone(),
    ));
    let polls = polls::poll_instances(Arc::clone(&gateway));
    tokio::spawn(closed.clone().run_until_cancelled_owned(polls));
    if let Some(cloud) = ports.cloud {
        let notices = polls::poll_notices(Arc::clone(&gateway), cloud);
        tokio::spawn(closed.clone().run_until_cancelled_owned(notices));
    }
    log::info!("gateway: listening for callers on {http_address}.");
    let task = tokio::spawn(run(gateway, http_listener));
    Ok(RunningRole {
        http_address,
        peer_address,
        task,
    })
}

async fn bind_listener(address: SocketAddr) -> anyhow::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(address)
        .await
        .with_context(|| format!("cannot listen on {address}; choose a free address"))?;
    let address = listener
        .local_addr()
        .context("the listener has no address")?;
    Ok((listener, address))
}

fn build_gateway<U: Upstreams, C: CloudApi, T: Clock>(
    settings: Arc<Settings>,
    ports: &Ports<U, C, T>,
    key: &PeerKey,
    stop: &CancellationToken,
) -> Arc<Gateway<U, T>> {
    let identity = Identity {
        name: Arc::clone(&settings.name),
        incarnation: Incarnation(ports.clock.unix_ms()),
    };
    let links = LinkSettings::default();
    let timing = &settings.timing;
    let limits = CopyLimits {
        copies: settings.limits.requests as usize,
        bytes: MAX_COPY_BYTES,
        max_age: timing.request_timeout + timing.shutdown,
    };
    Arc::new(Gateway {
        leader: LeaderClient::connect(&settings.controllers, key, &identity, &links),
        peers: Peers::new(identity.clone(), settings.zone.clone(), key.clone(), links),
        journal: Journal::start(limits),
        decisions: DecisionLog::start(),
        upstreams: Arc::clone(&ports.upstreams),
        clock: Arc::clone(&ports.clock),
        metrics: ports.metrics.clone(),
        snapshot: ArcSwap::from_pointee(Snapshot::default()),
        lease: Lease::default(),
        // The stop token covers the whole process, which a reclaim of this gateway must not cancel.
        leaving: stop.child_token(),
        hand_over: CancellationToken::new(),
        closed: CancellationToken::new(),
        work: TaskTracker::new(),
        reclaim_remaining: watch::Sender::new(None),
        counters: Counters::new(&ports.metrics),
        claim_attempts: Default::default(),
        requests_in_progress: Arc::default(),
        memory: RequestMemory::new(settings.machine.as_ref(), &ports.metrics),
        identity,
        settings,
    })
}

async fn run<U: Upstreams, T: Clock>(
    gateway: Arc<Gateway<U, T>>,
    listener: TcpListener,
) -> anyhow::Result<()> {
    // An aborted task drops this guard, which ends all background tasks of the gateway.
    let _closing = gateway.closed.clone().drop_guard();
    let stop_http = CancellationToken::new();
    let mut http = tokio::spawn(http::serve(
        listener,
        Arc::clone(&gateway),
        stop_http.clone(),
    ));
    let _stopping = stop_http.clone().drop_guard();
    gateway.leaving.cancelled().await;
    log::info!("gateway: draining; new work is refused.");
    let limit = shutdown_limit(&gateway);
    let end = Instant::now() + limit;
    gateway.work.close();
    let reserve = MAX_HAND_OVER_TIME.min(limit / 2);
    let drained = async {
        gateway.work.wait().await;
        stop_http.cancel();
        let _ = (&mut http).await;
    };
    if timeout_at(end - reserve, drained).await.is_err() {
        log::info!("gateway: handing over {} requests.", gateway.work.len());
        gateway.hand_over.cancel();
        let _ = timeout_at(end, gateway.work.wait()).await;
        stop_http.cancel();
        let _ = timeout_at(end, http).await;
    }
    log::info!("gateway: stopped.");
    Ok(())
}

fn shutdown_limit<U, T>(gateway: &Gateway<U, T>) -> Duration {
    let shutdown = gateway.settings.timing.shutdown;
    let reclaim_remaining = *gateway.reclaim_remaining.borrow();
    reclaim_remaining.map_or(shutdown, |remaining| remaining.min(shutdown))
}
