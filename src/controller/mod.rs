//! The role `controller`: runs a replica of the log, serves operators and gateways, and issues
//! orders. See docs/DESIGN.md, "Replication" and "Configuration".

mod api_error;
mod bootstrap;
mod convert;
mod core;
pub mod crashes;
mod documents;
mod driver;
mod duty;
pub mod fleet;
pub mod followers;
mod handler;
mod http;
pub mod instance_poller;
pub mod intent_diff;
mod leader;
mod leave;
pub mod list_history;
mod list_reader;
mod log;
mod member_reports;
mod membership;
mod metrics;
mod operator_api;
mod operator_token;
mod order_runner;
pub mod orders;
mod origins;
mod outstanding_shares;
pub mod paces;
mod peers;
mod periodic;
pub mod placement;
mod placement_runner;
pub mod publisher;
pub mod rollouts;
pub mod room;
mod scaler;
mod shares;
mod stated_limits;
mod usage;
pub mod view;

use std::{net::SocketAddr, path::Path, sync::Arc};

use anyhow::Context;
use rand::Rng;
use tokio::{net::TcpListener, task::JoinHandle, time::timeout};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use self::{
    bootstrap::LocalMember,
    core::Core,
    driver::{Driver, DriverParts},
    handler::PeerHandler,
    http::HttpServer,
    operator_api::OperatorApi,
    operator_token::TokenHash,
    peers::Peers,
    publisher::Publisher,
};
use crate::{
    RunningRole,
    adapters::disk::{LogStore, memory_limit},
    domain::Incarnation,
    link::{self, Identity, LinkSettings, PeerKey},
    ports::{Clock, CloudApi, Platform, Ports, Upstreams},
    replication::{Recovered, Replica, ReplicaSettings},
    settings::{Settings, SettingsWatch},
};

/// Starts a controller, which stops when the token is cancelled or its disk fails.
///
/// # Errors
///
/// Fails if a setting that a controller needs is missing, if the data folder cannot be opened or is
/// damaged, or if an address cannot be bound.
pub async fn start<U: Upstreams, C: CloudApi, T: Clock>(
    settings: Arc<Settings>,
    ports: Ports<U, C, T>,
    stop: CancellationToken,
) -> anyhow::Result<RunningRole> {
    start_with(settings, ports, stop, |_, _, _| {}).await
}

/// Starts a controller that also publishes routes, polls the platform's upstream list, sends it
/// scaling orders and reports usage.
///
/// # Errors
///
/// Fails like [`start`], and if the settings have no `ingress` section.
pub async fn start_publishing<U: Upstreams, C: CloudApi, T: Clock, P: Platform>(
    settings: Arc<Settings>,
    reloaded: SettingsWatch,
    ports: Ports<U, C, T>,
    platform: Arc<P>,
    stop: CancellationToken,
) -> anyhow::Result<(RunningRole, Publisher<T, P>)> {
    let ingress = settings.ingress.clone();
    let ingress = ingress.context("ingress is missing; a controller that publishes needs it")?;
    let mut publisher = None;
    // The tasks go on until another controller has taken the vote of this one.
    let running = start_with(
        settings,
        ports,
        CancellationToken::new(),
        |core, tasks, stop_tasks| {
            tasks.spawn(leave::run(Arc::clone(core), stop, stop_tasks.clone()));
            let stop = stop_tasks;
            metrics::register_gauges(core);
            tasks.spawn(list_reader::run(
                Arc::clone(core),
                Arc::clone(&platform),
                ingress.clone(),
                stop.clone(),
            ));
            tasks.spawn(scaler::run(
                Arc::clone(core),
                Arc::clone(&platform),
                ingress.clone(),
                stop.clone(),
            ));
            tasks.spawn(usage::run(
                Arc::clone(core),
                Arc::clone(&platform),
                ingress,
                stop.clone(),
            ));
            tasks.spawn(rollouts::run(Arc::clone(core), stop.clone()));
            tasks.spawn(membership::run(Arc::clone(core), stop.clone()));
            tasks.spawn(link_reloaded_controllers(
                Arc::clone(core),
                reloaded,
                stop.clone(),
            ));
            publisher = Some(Publisher {
                core: Arc::clone(core),
                platform,
                stop: stop.clone(),
            });
        },
    )
    .await?;
    let publisher = publisher.context("the controller started without a publisher")?;
    Ok((running, publisher))
}

/// Connects to controllers that a settings reload adds.
async fn link_reloaded_controllers<T: Clock>(
    core: Arc<Core<T>>,
    mut reloaded: SettingsWatch,
    stop: CancellationToken,
) {
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            Ok(()) = reloaded.changed() => {}
        }
        let settings = Arc::clone(&reloaded.borrow_and_update());
        for entry in &settings.controllers {
            if core.peers.add(entry) {
                ::log::info!(
                    "controller: the reloaded settings add controller {}.",
                    entry.name
                );
            }
        }
    }
}

async fn start_with<U: Upstreams, C: CloudApi, T: Clock>(
    settings: Arc<Settings>,
    ports: Ports<U, C, T>,
    stop: CancellationToken,
    spawn_more: impl FnOnce(&Arc<Core<T>>, &TaskTracker, &CancellationToken),
) -> anyhow::Result<RunningRole> {
    let token = operator_token(&settings)?;
    let key = PeerKey::read(&settings.peer_key_file).with_context(|| {
        let path = settings.peer_key_file.display();
        format!("the peer key file {path} cannot be read; make it or correct peer_key_file")
    })?;
    let folder = settings.data_folder.as_deref();
    let folder = folder.context("data_folder is missing; a controller needs one")?;
    let (store, recovered, member) = open_data_folder(folder).await?;
    ::log::info!("controller: the data folder is member {member}.");
    let identity = Identity {
        name: Arc::clone(&settings.name),
        incarnation: Incarnation(ports.clock.unix_ms()),
    };
    let peer_listener = bind(settings.peer_address, "peer_address").await?;
    let http_listener = bind(settings.http_address, "http_address").await?;
    let peer_address = peer_listener.local_addr()?;
    let http_address = http_listener.local_addr()?;
    let peers = Arc::new(Peers::connect(&settings, &key, &identity));
    let local_member = Arc::new(LocalMember::new(&settings, member, &recovered));
    let (log, channels) = log::channel();
    let core = Arc::new(Core::new(
        Arc::clone(&settings),
        Arc::clone(&ports.clock),
        ports.metrics.clone(),
        log,
        Arc::clone(&peers),
        Arc::clone(&local_member),
    ));
    // All tasks share one token: a controller whose disk failed must stop answering requests.
    let stop = stop.child_token();
    let tasks = TaskTracker::new();
    let force_close = CancellationToken::new();
    let handler = Arc::new(PeerHandler {
        core: Arc::clone(&core),
    });
    tasks.spawn(link::serve(
        peer_listener,
        key,
        identity,
        LinkSettings::default(),
        handler,
        stop.clone(),
    ));
    let http = Arc::new(HttpServer {
        api: OperatorApi {
            core: Arc::clone(&core),
        },
        token,
    });
    let served = http::serve(http, http_listener, stop.clone());
    tasks.spawn(force_close.clone().run_until_cancelled_owned(served));
    tasks.spawn(leader::run(Arc::clone(&core), stop.clone()));
    if let Some(cloud) = &ports.cloud {
        tasks.spawn(placement_runner::run(
            Arc::clone(&core),
            Arc::clone(cloud),
            Arc::clone(&ports.upstreams),
            stop.clone(),
        ));
        tasks.spawn(instance_poller::run(
            Arc::clone(&core),
            Arc::clone(cloud),
            stop.clone(),
        ));
    }
    tasks.spawn(order_runner::run(
        Arc::clone(&core),
        Arc::clone(&ports.upstreams),
        stop.clone(),
    ));
    spawn_more(&core, &tasks, &stop);
    let shutdown = settings.timing.shutdown;
    let replica_task = ReplicaTask {
        settings,
        store,
        recovered,
        local_member,
        peers,
        channels,
        core,
    };
    let task: JoinHandle<anyhow::Result<()>> = tokio::spawn(async move {
        let result = replica_task.run(stop.clone()).await;
        if let Err(e) = &result {
            ::log::error!("controller: stopping after an error: {e:#}.");
        }
        stop.cancel();
        tasks.close();
        // A client that never completes its request must not block the shutdown.
        if timeout(shutdown, tasks.wait()).await.is_err() {
            ::log::warn!("controller: closing connections that are still open after shutdown_ms.");
        }
        force_close.cancel();
        tasks.wait().await;
        result
    });
    Ok(RunningRole {
        http_address,
        peer_address,
        task,
    })
}

/// What the task that runs the replica starts from.
struct ReplicaTask<T> {
    settings: Arc<Settings>,
    store: LogStore,
    recovered: Recovered,
    local_member: Arc<LocalMember>,
    peers: Arc<Peers>,
    channels: log::DriverChannels,
    core: Arc<Core<T>>,
}

impl<T: Clock> ReplicaTask<T> {
    /// Bootstraps the cluster if this controller is the one to do it, then runs the replica.
    async fn run(mut self, stop: CancellationToken) -> anyhow::Result<()> {
        let member = self.local_member.id();
        let bootstrapped = tokio::select! {
            initial = bootstrap::form_cluster(
                &self.settings,
                member,
                &self.recovered,
                &self.peers,
            ) => initial,
            () = stop.cancelled() => return Ok(()),
        };
        if let Some(initial) = bootstrapped {
            ::log::info!("controller: bootstrapping a new cluster.");
            self.store
                .persist(
                    Some(initial.hard_state.clone()),
                    &[],
                    Some(&initial.snapshot),
                )
                .context("the initial membership cannot be written; free or replace the disk")?;
            self.recovered = initial;
        }
        let timing = &self.settings.timing;
        let replica_settings = ReplicaSettings {
            heartbeat_interval: timing.replica_heartbeat,
            election_timeout: timing.election_timeout,
            ..ReplicaSettings::default()
        };
        let tick = timing.replica_heartbeat / 2;
        let replica = Replica::new(
            member,
            self.recovered,
            replica_settings,
            rand::rng().random(),
            self.core.now(),
        );
        let parts = DriverParts {
            replica,
            store: Some(self.store),
            clock: Arc::clone(&self.core.clock),
            metrics: self.core.metrics.clone(),
            peers: self.peers,
            local_member: self.local_member,
            channels: self.channels,
            tick,
        };
        Driver::new(parts, stop).run().await
    }
}

fn operator_token(settings: &Settings) -> anyhow::Result<TokenHash> {
    let text = settings.operator_token_sha256.as_deref();
    let text = text.context("operator_token_sha256 is missing; a controller needs it")?;
    TokenHash::parse(text).context(
        "operator_token_sha256 is not 64 hexadecimal digits; write the SHA-256 of the token",
    )
}

async fn open_data_folder(
    folder: &Path,
) -> anyhow::Result<(LogStore, Recovered, crate::domain::MemberId)> {
    let path = folder.to_owned();
    let opened = tokio::task::spawn_blocking(move || LogStore::open_within(&path, memory_limit()));
    let opened = opened.await;
    opened
        .context("the thread that opens the data folder ended unexpectedly")?
        .with_context(|| format!("the data folder {} cannot be opened", folder.display()))
}

async fn bind(address: SocketAddr, field: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| {
        format!("{field} {address} cannot be bound; choose an address of this machine that is free")
    })
}
