//! A gateway that serves published routes: it passes requests to the upstreams of their route's service
//! and the answers back, both unchanged. See docs/PLATFORM.md.

mod admit;
mod announce;
mod answer;
mod controllers;
mod counters;
mod directory;
mod events;
mod follow;
mod forward;
mod headers;
mod quota;
mod relay;
mod retry_budgets;
mod upstream;
mod upstreams;
mod usage;

pub use directory::Directory;
pub use events::{EventSplitter, SplitError};

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use anyhow::Context;
use arc_swap::{ArcSwap, ArcSwapOption};
use hyper::service::service_fn;
use tokio::{
    net::TcpListener,
    time::{Instant, sleep_until},
};
use tokio_util::sync::CancellationToken;

use self::{
    announce::Announcer, controllers::ControllerContacts, counters::Counters, quota::Quotas,
    retry_budgets::RetryBudgets, upstreams::Upstreams, usage::UsageCounter,
};
use crate::{
    Running,
    adapters::http::{Client, ServerOptions, serve},
    domain::{Incarnation, RouteIndex},
    link::{Datagrams, Identity, Link, PeerKey},
    ports::{Clock, Platform},
    settings::{Ingress, Reloaded, Settings},
    telemetry::Metrics,
    wire::IngressRecord,
};

/// Time before the end of a stop at which connections are closed, so that the process ends in time.
const SHUTDOWN_CLOSE_MARGIN: Duration = Duration::from_millis(1200);

/// What all parts of an ingress gateway share.
#[derive(Debug)]
struct Core<P, T> {
    settings: Arc<Settings>,
    ingress: Ingress,
    platform: Arc<P>,
    clock: Arc<T>,
    /// The routes in force; version zero before the first ones arrived.
    routes: ArcSwap<RouteIndex>,
    /// The gateways, as the controllers name them to callers.
    roster: ArcSwap<Vec<IngressRecord>>,
    upstreams: Arc<Upstreams>,
    client: Client,
    quotas: Quotas,
    budgets: RetryBudgets,
    usage: UsageCounter,
    counters: Counters,
    contacts: ControllerContacts,
    announcer: Announcer,
    /// Where other gateways send datagrams.
    peer_address: SocketAddr,
    /// The link to the controller that led last.
    leader: ArcSwapOption<Link>,
    /// Grows with each start of the gateway.
    incarnation: u64,
    /// Whether the process is being stopped.
    leaving: AtomicBool,
}

impl<P, T> Core<P, T> {
    /// Returns whether callers should connect here.
    fn is_open(&self) -> bool {
        !self.leaving.load(Ordering::Relaxed) && self.routes.load().table.version > 0
    }

    /// Returns what this gateway tells of itself.
    fn record(&self) -> IngressRecord {
        IngressRecord {
            name: self.settings.name.to_string(),
            zone: self.settings.zone.to_string(),
            caller_address: self.ingress.address.to_string(),
            open: self.is_open(),
            peer_address: self.peer_address.to_string(),
        }
    }
}

/// Starts an ingress gateway. When the token is cancelled it leaves the addresses that callers get,
/// answers those that still come, and ends within `timing.shutdown`.
///
/// # Errors
///
/// Fails if the settings say nothing of published routes, if the peer key cannot be read, or if the
/// address cannot be bound.
pub async fn start<P: Platform, T: Clock>(
    settings: Arc<Settings>,
    reloaded: Reloaded,
    platform: Arc<P>,
    clock: Arc<T>,
    metrics: &Metrics,
    stop: CancellationToken,
) -> anyhow::Result<(Running, Directory)> {
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
    let datagrams = Datagrams::bind(settings.peer_address, key.clone()).await;
    let datagrams = datagrams.with_context(|| {
        let address = settings.peer_address;
        format!("peer_address {address} cannot be bound; choose a free one of this machine")
    })?;
    let peer_address = datagrams.address()?;
    let core = Arc::new(Core {
        routes: ArcSwap::default(),
        roster: ArcSwap::default(),
        upstreams: Arc::default(),
        client: Client::new(settings.timing.connect_timeout),
        quotas: Quotas::new(ingress.quota_rule()),
        budgets: RetryBudgets::new(&ingress),
        usage: UsageCounter::new(ingress.usage_window),
        counters: Counters::new(metrics),
        contacts: ControllerContacts::default(),
        announcer: Announcer::new(datagrams, metrics),
        peer_address,
        leader: ArcSwapOption::empty(),
        incarnation: identity.incarnation.0,
        leaving: AtomicBool::new(false),
        ingress,
        platform,
        clock,
        settings: Arc::clone(&settings),
    });
    counters::register_gauges(metrics, &core);
    let closing = CancellationToken::new();
    tokio::spawn(follow::run(
        Arc::clone(&core),
        key,
        identity,
        reloaded,
        closing.clone(),
    ));
    tokio::spawn(announce::run(Arc::clone(&core), closing.clone()));
    let service = {
        let core = Arc::clone(&core);
        service_fn(move |req| {
            let core = Arc::clone(&core);
            async move { Ok::<_, Infallible>(forward::handle(core, req).await) }
        })
    };
    let options = {
        let core = Arc::clone(&core);
        move || {
            let limits = core.routes.load().table.limits;
            ServerOptions {
                idle_timeout: limits.idle_timeout,
                head_timeout: limits.head_timeout,
                head_bytes: limits.head_bytes,
                close_timeout: SHUTDOWN_CLOSE_MARGIN / 2,
            }
        }
    };
    let mut served = tokio::spawn(serve(listener, options, service, closing.clone()));
    let directory = Directory::new(&core);
    let task = tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            _ = &mut served => anyhow::bail!("callers are not served any more"),
        }
        core.leaving.store(true, Ordering::Relaxed);
        // Callers keep an old answer for a while and use open connections until the end.
        let patience = core
            .settings
            .timing
            .shutdown
            .saturating_sub(SHUTDOWN_CLOSE_MARGIN);
        let end = Instant::now() + patience;
        core.upstreams.wait_until_idle(patience).await;
        // The controllers still ask for the last counts of usage, if there is time left.
        sleep_until(end.min(Instant::now() + follow::FOLLOW_WAIT)).await;
        closing.cancel();
        served.await.context("serving callers failed")
    });
    let running = Running {
        http_address,
        peer_address,
        task,
    };
    Ok((running, directory))
}
