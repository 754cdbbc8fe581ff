//! The ingress gateway: a reverse proxy that forwards requests to the upstreams of the service behind
//! their published route, and relays the responses. Both bodies pass unchanged. See docs/PLATFORM.md.

mod admit;
mod announce;
mod answer_record;
mod body;
mod callers;
mod capacity;
mod controllers;
mod counters;
mod crashes;
mod directory;
mod documents;
mod errors;
mod events;
mod follow;
mod forward;
mod headers;
mod origins;
mod paces;
mod quota;
mod reach;
mod relay;
mod response_body;
mod retry_budgets;
mod rollout;
mod room;
mod shutdown;
mod upstream;
mod upstreams;
mod usage;

pub use directory::{Directory, select_addresses};
pub use events::{EventSplitter, SplitError};

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use anyhow::Context;
use arc_swap::{ArcSwap, ArcSwapOption};
use hyper::service::service_fn;
use tokio::{
    net::TcpListener,
    time::{Instant, sleep_until},
};
use tokio_util::sync::CancellationToken;

use self::{
    announce::Announcer, callers::CallerObserver, capacity::OwnCapacity,
    controllers::ControllerContacts, counters::Counters, crashes::CrashWatch, errors::NotRun,
    origins::Origins, quota::Quotas, reach::Reach, retry_budgets::RetryBudgets, rollout::Rollouts,
    room::Room, shutdown::Shutdown, upstreams::Upstreams, usage::UsageCounter,
};
use crate::{
    RunningRole,
    adapters::http::{Client, RequestMemory, ServerOptions, serve},
    domain::{Incarnation, Route, RouteIndex},
    link::{DatagramSocket, Identity, Link, PeerKey, serve_tunnels},
    policy::{connections::max_connections, shutdown::ShutdownPlan},
    ports::{Clock, Dialer, Platform},
    settings::{Ingress, Settings, SettingsWatch},
    telemetry::Metrics,
    wire::IngressRecord,
};

/// State shared by all parts of an ingress gateway.
#[derive(Debug)]
struct Core<P, T> {
    settings: Arc<Settings>,
    ingress: Ingress,
    platform: Arc<P>,
    clock: Arc<T>,
    /// The route table in force; its version is zero until the first table arrives.
    routes: ArcSwap<RouteIndex>,
    /// The gateways that the controllers list, merged from the rosters of all of them.
    roster: ArcSwap<Vec<IngressRecord>>,
    upstreams: Arc<Upstreams>,
    client: Client,
    reach: Arc<Reach>,
    /// The memory for the bodies of requests.
    memory: RequestMemory,
    quotas: Quotas,
    room: Room,
    budgets: RetryBudgets,
    rollouts: Arc<Rollouts>,
    usage: UsageCounter,
    counters: Arc<Counters>,
    crashes: Arc<CrashWatch>,
    origins: Arc<Origins>,
    controllers: ControllerContacts,
    announcer: Announcer,
    capacity: OwnCapacity,
    /// Address at which other gateways reach this one with datagrams.
    peer_address: SocketAddr,
    /// The link to the controller that last claimed leadership.
    leader: ArcSwapOption<Link>,
    /// Increases with each start of the gateway.
    incarnation: u64,
    shutdown: Shutdown,
}

impl<P, T> Core<P, T> {
    /// Returns whether callers should connect to this gateway.
    fn is_open(&self) -> bool {
        !self.shutdown.is_begun() && self.routes.load().table.version > 0
    }

    /// Returns the record under which this gateway announces itself to the controllers.
    fn record(&self) -> IngressRecord {
        IngressRecord {
            name: self.settings.name.to_string(),
            zone: self.settings.zone.to_string(),
            caller_address: self.ingress.address.to_string(),
            open: self.is_open(),
            leaving: self.shutdown.is_begun(),
            peer_address: self.peer_address.to_string(),
            capacity: self.capacity.announced(),
        }
    }

    /// Refuses a request that may not end before the gateway does.
    fn check_shutdown(&self, route: &Route, deadline: Instant) -> Result<(), NotRun> {
        let other_gateways = || {
            let gateways = self.roster.load();
            let others = gateways
                .iter()
                .filter(|gateway| gateway.name != *self.settings.name);
            others.filter(|gateway| gateway.open).count()
        };
        self.shutdown.check(&route.name, deadline, other_gateways)
    }
}

/// Starts an ingress gateway. When the token is cancelled it drains gracefully: it withdraws from the
/// addresses given to callers, serves requests that still arrive, and ends within `timing.shutdown`.
///
/// # Errors
///
/// Fails if the settings have no `ingress` section, if the peer key cannot be read, or if an address
/// cannot be bound.
pub async fn start<P: Platform, T: Clock>(
    settings: Arc<Settings>,
    reloaded: SettingsWatch,
    platform: Arc<P>,
    clock: Arc<T>,
    dialer: Arc<dyn Dialer>,
    metrics: &Metrics,
    stop: CancellationToken,
) -> anyhow::Result<(RunningRole, Directory)> {
    let ingress = settings.ingress.clone();
    let ingress = ingress.context("ingress is missing; a gateway that serves routes needs it")?;
    let key = PeerKey::read(&settings.peer_key_file).with_context(|| {
        let path = settings.peer_key_file.display();
        format!("the peer key file {path} cannot be read; make it or correct peer_key_file")
    })?;
    let identity = Identity {
        name: Arc::clone(&settings.name),
        incarnation: Incarnation(clock.unix_ms()),
    };
    let listener = TcpListener::bind(ingress.address).await.with_context(|| {
        let address = ingress.address;
        format!("ingress.address {address} cannot be bound; choose a free one of this machine")
    })?;
    let http_address = listener.local_addr()?;
    let datagrams = DatagramSocket::bind(settings.peer_address, key.clone()).await;
    let datagrams = datagrams.with_context(|| {
        let address = settings.peer_address;
        format!("peer_address {address} cannot be bound; choose a free one of this machine")
    })?;
    let peer_address = datagrams.address()?;
    let tunnels = TcpListener::bind(peer_address).await.with_context(|| {
        format!(
            "peer_address {peer_address} cannot be bound for TCP; choose a free one of this machine"
        )
    })?;
    let connect_timeout = settings.timing.connect_timeout;
    let reach = Reach::new(
        key.clone(),
        identity.clone(),
        Arc::clone(&dialer),
        connect_timeout,
        metrics,
    );
    let core = Arc::new(Core {
        routes: ArcSwap::default(),
        roster: ArcSwap::default(),
        upstreams: Arc::new(Upstreams::new(ingress.learn_paces)),
        client: Client::with_dialer(connect_timeout, dialer),
        reach: Arc::new(reach),
        memory: RequestMemory::new(settings.machine.as_ref(), metrics),
        quotas: Quotas::new(ingress.quota_rule()),
        room: Room::new(ingress.share_room, metrics),
        budgets: RetryBudgets::new(&ingress),
        rollouts: Arc::new(Rollouts::new(ingress.rollout.is_some(), metrics)),
        usage: UsageCounter::new(ingress.usage_window),
        counters: Arc::new(Counters::new(metrics)),
        crashes: Arc::new(CrashWatch::new(metrics)),
        origins: Arc::new(Origins::new(metrics)),
        controllers: ControllerContacts::default(),
        announcer: Announcer::new(datagrams, metrics),
        capacity: OwnCapacity::new(settings.machine.as_ref().filter(|_| ingress.share_callers)),
        peer_address,
        leader: ArcSwapOption::empty(),
        incarnation: identity.incarnation.0,
        shutdown: Shutdown::new(),
        ingress,
        platform,
        clock,
        settings: Arc::clone(&settings),
    });
    counters::register_gauges(metrics, &core);
    let ended = CancellationToken::new();
    tokio::spawn(serve_tunnels(
        tunnels,
        key.clone(),
        identity.clone(),
        Arc::new(reach::Helping(Arc::clone(&core))),
        ended.clone(),
    ));
    tokio::spawn(reach::run(Arc::clone(&core), ended.clone()));
    tokio::spawn(follow::run(
        Arc::clone(&core),
        key,
        identity,
        reloaded,
        ended.clone(),
    ));
    tokio::spawn(announce::run(Arc::clone(&core), ended.clone()));
    tokio::spawn(capacity::run(Arc::clone(&core), ended.clone()));
    let closing = CancellationToken::new();
    let service = {
        let core = Arc::clone(&core);
        service_fn(move |req| {
            let core = Arc::clone(&core);
            async move { Ok::<_, Infallible>(forward::handle(core, req).await) }
        })
    };
    let options = {
        let core = Arc::clone(&core);
        let machine = settings.machine.clone().unwrap_or_default();
        let max_connections = max_connections(machine.descriptors, machine.memory_mb);
        move || {
            let limits = core.routes.load().table.limits;
            ServerOptions {
                idle_timeout: limits.idle_timeout,
                head_timeout: limits.head_timeout,
                max_head_bytes: limits.head_bytes,
                max_connections,
                drain_timeout: core.shutdown.time_until_cut(Instant::now()),
                ..ServerOptions::default()
            }
        }
    };
    let observer = Arc::new(CallerObserver::new(Arc::clone(&core.platform), metrics));
    let served = serve(listener, options, observer, service, closing.clone());
    let mut served = tokio::spawn(served);
    let directory = Directory::new(&core);
    let task = tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            _ = &mut served => anyhow::bail!("the server for callers ended unexpectedly"),
        }
        let plan = ShutdownPlan::new(
            core.settings.timing.shutdown,
            core.settings.timing.address_ttl,
        );
        let begun = core.shutdown.begin(plan);
        log::info!(
            event = "gateway.leaves", stay_ms = millis(plan.stay()), cut_ms = millis(plan.cut()),
            in_progress = core.upstreams.in_progress();
            "ingress: the shutdown begins"
        );
        let close = begun + plan.close();
        sleep_until(begun + plan.stay()).await;
        core.upstreams.wait_until_idle(close).await;
        // Leaves one more long poll, if time allows, for the controllers to collect the last usage counts.
        sleep_until(close.min(Instant::now() + follow::FOLLOW_WAIT)).await;
        closing.cancel();
        let served = served.await.context("serving callers failed");
        ended.cancel();
        served
    });
    let running = RunningRole {
        http_address,
        peer_address,
        task,
    };
    Ok((running, directory))
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
