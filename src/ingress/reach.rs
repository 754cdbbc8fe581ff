//! How this gateway reaches upstreams: directly, or through another gateway while no upstream of a service can be reached
//! directly. This gateway decides, counts and answers the requests either way; the other one only carries the bytes of
//! a connection. See docs/DECISIONS.md, "Gateways that do not reach the upstreams".

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use futures_util::future::join_all;
use rand::seq::IndexedRandom;
use tokio::{
    net::TcpStream,
    time::{Instant, interval, timeout, timeout_at},
};
use tokio_util::sync::CancellationToken;

use super::{Core, upstream::Upstream};
use crate::{
    adapters::http::{Client, PooledConnection, Reuse, Way},
    domain::{InstanceName, ServiceName},
    link::{Identity, Peer, PeerKey, TunnelError, TunnelHandler, open_tunnel},
    policy::reachability::{DirectReach, Helper, rank_helpers},
    ports::{Clock, Dialer, Platform, Sent, Target, UpstreamError, UpstreamErrorKind},
    telemetry::{Counter, Metrics},
    wire::{IngressRecord, TunnelOpen, TunnelRefused},
};

/// Interval at which it is checked whether upstreams are to be probed.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of upstreams in one probe.
const PROBED_UPSTREAMS: usize = 3;
/// Maximum time to open a tunnel, over all gateways that are asked for it.
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(1200);
/// Maximum time for one gateway to open a tunnel.
const HELPER_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum number of gateways that are asked to open one tunnel.
const MAX_HELPERS: usize = 4;
/// Time for which a gateway that opened no tunnel is asked last.
const HELPER_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum number of tunnels that this gateway carries for others.
const MAX_CARRIED_TUNNELS: usize = 1024;

/// Another gateway that may open connections for this one.
#[derive(Clone, Debug)]
struct OtherGateway {
    name: Arc<str>,
    zone: String,
    address: SocketAddr,
}

/// The ways from this gateway to the upstreams.
#[derive(Debug)]
pub(super) struct Reach {
    key: PeerKey,
    own: Identity,
    dialer: Arc<dyn Dialer>,
    connect_timeout: Duration,
    services: Mutex<HashMap<ServiceName, DirectReach>>,
    others: ArcSwap<Vec<OtherGateway>>,
    /// Until when a gateway that opened no tunnel is asked last.
    failed_helpers: Mutex<HashMap<Arc<str>, Instant>>,
    /// Number of tunnels that this gateway carries for others.
    carried: AtomicUsize,
    started: Instant,
    opened: Counter,
    failed: Counter,
    accepted: Counter,
    refused: Counter,
}

impl Reach {
    pub(super) fn new(
        key: PeerKey,
        own: Identity,
        dialer: Arc<dyn Dialer>,
        connect_timeout: Duration,
        metrics: &Metrics,
    ) -> Self {
        let counter = |name, help| metrics.register_counter(name, help);
        Self {
            key,
            own,
            dialer,
            connect_timeout,
            services: Mutex::default(),
            others: ArcSwap::default(),
            failed_helpers: Mutex::default(),
            carried: AtomicUsize::new(0),
            started: Instant::now(),
            opened: counter(
                "ingress_tunnels_opened",
                "Connections to upstreams that other gateways opened for this one.",
            ),
            failed: counter(
                "ingress_tunnels_failed",
                "Connections to upstreams that no other gateway opened for this one.",
            ),
            accepted: counter(
                "ingress_tunnels_accepted",
                "Connections to upstreams that this gateway opened for others.",
            ),
            refused: counter(
                "ingress_tunnels_refused",
                "Connections to upstreams that this gateway did not open for others.",
            ),
        }
    }

    /// Sets the gateways that can be asked for tunnels, without this one.
    pub(super) fn set_gateways(&self, gateways: &[IngressRecord]) {
        let others = gateways
            .iter()
            .filter(|gateway| gateway.open && gateway.name != *self.own.name);
        let others = others.filter_map(|gateway| {
            Some(OtherGateway {
                name: gateway.name.as_str().into(),
                zone: gateway.zone.clone(),
                address: gateway.peer_address.parse().ok()?,
            })
        });
        self.others.store(Arc::new(others.collect()));
    }

    /// Returns the number of services whose upstreams this gateway does not reach directly.
    pub(super) fn cut_off_count(&self) -> usize {
        let services = self.services();
        services.values().filter(|reach| reach.is_cut_off()).count()
    }

    /// Returns whether no upstream of a service is reached directly.
    pub(super) fn is_cut_off(&self, service: &ServiceName) -> bool {
        let services = self.services();
        services.get(service).is_some_and(DirectReach::is_cut_off)
    }

    /// Returns the number of tunnels that this gateway carries for others.
    pub(super) fn carried_count(&self) -> usize {
        self.carried.load(Ordering::Relaxed)
    }

    /// Records a sign of life of an upstream on a connection.
    pub(super) fn record_activity(&self, service: &ServiceName, way: Way) {
        if way == Way::Direct
            && let Some(reach) = self.services().get_mut(service)
        {
            reach.record_activity();
        }
    }

    /// Connects to an upstream, through another gateway if its service cannot be reached directly.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be opened in time. Nothing was sent then.
    pub(super) async fn connect(
        &self,
        client: &Client,
        upstream: &Upstream,
        request: &str,
        deadline: Instant,
    ) -> Result<PooledConnection, UpstreamError> {
        let (service, target) = (&upstream.service, &upstream.target);
        let is_cut_off = self.with_service(service, |reach| {
            reach.record_send(self.started.elapsed());
            reach.is_cut_off()
        });
        if !is_cut_off {
            let result = client.connect(target, Reuse::Allowed, deadline).await;
            match &result {
                Ok(connection) if connection.is_reused() => {}
                Ok(_) => self.record_connected(client, service),
                Err(_) => self.record_connect_failure(service, &target.instance),
            }
            return result;
        }
        if let Some(tunnel) = client.take_idle(target, Way::Tunnel) {
            return Ok(tunnel);
        }
        // The direct way is tried as well, so that its return is noticed with the next request.
        let mut direct = std::pin::pin!(client.connect(target, Reuse::Forbidden, deadline));
        let mut tunnel = std::pin::pin!(self.open_tunnel(client, upstream, request, deadline));
        tokio::select! {
            biased;
            result = &mut direct => match result {
                Ok(connection) => {
                    self.record_connected(client, service);
                    Ok(connection)
                }
                Err(_) => tunnel.await,
            },
            result = &mut tunnel => match result {
                Ok(connection) => Ok(connection),
                Err(_) => {
                    let connection = direct.await?;
                    self.record_connected(client, service);
                    Ok(connection)
                }
            },
        }
    }

    async fn open_tunnel(
        &self,
        client: &Client,
        upstream: &Upstream,
        request: &str,
        deadline: Instant,
    ) -> Result<PooledConnection, UpstreamError> {
        let opening = async {
            for other in self.helpers(upstream) {
                let opened = self.open_through(client, upstream, &other).await;
                match opened {
                    Ok(connection) => {
                        self.opened.increment();
                        log::info!(
                            event = "tunnel.opened", request = request, through = &*other.name,
                            upstream:% = upstream.target.instance;
                            "ingress: gateway {} connects this one to an upstream", other.name
                        );
                        return Some(connection);
                    }
                    Err(e) => {
                        let until = Instant::now() + HELPER_BACKOFF;
                        self.failed_helpers().insert(Arc::clone(&other.name), until);
                        log::info!(
                            event = "tunnel.failed", request = request, through = &*other.name,
                            upstream:% = upstream.target.instance;
                            "ingress: gateway {} does not connect this one to an upstream: {e}",
                            other.name
                        );
                    }
                }
            }
            None
        };
        let end = deadline.min(Instant::now() + TUNNEL_TIMEOUT);
        let opened = timeout_at(end, opening).await;
        opened.ok().flatten().ok_or_else(|| {
            self.failed.increment();
            UpstreamError::new(
                UpstreamErrorKind::Connect,
                Sent::No,
                "the upstream cannot be reached, also not through other gateways",
            )
        })
    }

    async fn open_through(
        &self,
        client: &Client,
        upstream: &Upstream,
        other: &OtherGateway,
    ) -> Result<PooledConnection, TunnelError> {
        let open = TunnelOpen {
            service: upstream.service.to_string(),
            instance: upstream.target.instance.to_string(),
            address: upstream.target.address.to_string(),
        };
        let opening = open_tunnel(other.address, &self.key, &self.own, open);
        let tunnel = timeout(HELPER_TIMEOUT, opening)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        let connection = client.connect_over(&upstream.target, tunnel).await;
        connection.map_err(|e| io::Error::other(e.to_string()).into())
    }

    /// Returns the gateways to ask for a tunnel, in order.
    fn helpers(&self, upstream: &Upstream) -> Vec<OtherGateway> {
        let others = self.others.load();
        let now = Instant::now();
        let mut failed = self.failed_helpers();
        failed.retain(|_, until| *until > now);
        let helper = |other: &OtherGateway| Helper {
            is_near_upstream: other.zone == upstream.zone.as_str(),
            has_failed: failed.contains_key(&other.name),
            random: rand::random(),
        };
        let helpers: Vec<Helper> = others.iter().map(helper).collect();
        let order = rank_helpers(&helpers).into_iter().take(MAX_HELPERS);
        order.map(|at| others[at].clone()).collect()
    }

    fn record_connected(&self, client: &Client, service: &ServiceName) {
        if self.with_service(service, DirectReach::record_connected) {
            client.close_idle(Way::Tunnel, |_| true);
            log::info!(
                event = "upstreams.reached", service:% = service;
                "ingress: the upstreams of service {service} are reached directly again"
            );
        }
    }

    fn record_connect_failure(&self, service: &ServiceName, instance: &InstanceName) {
        self.with_service(service, |reach| reach.record_connect_failure(instance));
    }

    /// Probes some upstreams of a service by opening connections, which are kept for requests.
    async fn probe(&self, client: &Client, service: &ServiceName, upstreams: &[Arc<Upstream>]) {
        let picked: Vec<_> = upstreams
            .choose_multiple(&mut rand::rng(), PROBED_UPSTREAMS)
            .collect();
        let end = Instant::now() + self.connect_timeout;
        let probes = picked
            .iter()
            .map(|upstream| client.connect(&upstream.target, Reuse::Forbidden, end));
        let opened: Vec<_> = join_all(probes).await.into_iter().flatten().collect();
        if !opened.is_empty() {
            for connection in opened {
                connection.return_to_pool();
            }
            return self.record_connected(client, service);
        }
        let now = self.started.elapsed();
        if !picked.is_empty() && self.with_service(service, |reach| reach.record_failed_probe(now))
        {
            log::warn!(
                event = "upstreams.cut_off", service:% = service, probed = picked.len(),
                gateways = self.others.load().len();
                "ingress: no upstream of service {service} is reached directly; requests go through other gateways"
            );
            let targets: Vec<Target> = upstreams
                .iter()
                .map(|upstream| upstream.target.clone())
                .collect();
            client.close_idle(Way::Direct, |target| targets.contains(target));
        }
    }

    fn with_service<R>(&self, service: &ServiceName, act: impl FnOnce(&mut DirectReach) -> R) -> R {
        let mut services = self.services();
        // Only the first request of a service needs to clone its name.
        match services.get_mut(service) {
            Some(reach) => act(reach),
            None => act(services.entry(service.clone()).or_default()),
        }
    }

    fn services(&self) -> MutexGuard<'_, HashMap<ServiceName, DirectReach>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn failed_helpers(&self) -> MutexGuard<'_, HashMap<Arc<str>, Instant>> {
        self.failed_helpers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Probes the upstreams of services that seem to be out of reach until the token is cancelled.
pub(super) async fn run<P: Platform, T: Clock>(core: Arc<Core<P, T>>, stop: CancellationToken) {
    let mut checks = interval(CHECK_INTERVAL);
    let probing = async {
        loop {
            checks.tick().await;
            let now = core.reach.started.elapsed();
            let due: Vec<ServiceName> = core
                .reach
                .services()
                .iter_mut()
                .filter_map(|(service, reach)| reach.begin_probe(now).then(|| service.clone()))
                .collect();
            for service in due {
                let core = Arc::clone(&core);
                tokio::spawn(async move {
                    let upstreams = core.upstreams.staying(&service);
                    core.reach.probe(&core.client, &service, &upstreams).await;
                });
            }
        }
    };
    stop.run_until_cancelled(probing).await;
}

/// Opens connections to upstreams for other gateways.
pub(super) struct Helping<P, T>(pub(super) Arc<Core<P, T>>);

impl<P: Platform, T: Clock> TunnelHandler for Helping<P, T> {
    async fn connect(&self, peer: &Peer, open: TunnelOpen) -> Result<TcpStream, TunnelRefused> {
        let reach = &self.0.reach;
        let opened = self.open(&open).await;
        match &opened {
            Ok(_) => {
                reach.accepted.increment();
                reach.carried.fetch_add(1, Ordering::Relaxed);
                log::info!(
                    event = "tunnel.accepted", gateway = &*peer.name, upstream = open.instance.as_str(),
                    carried = reach.carried_count();
                    "ingress: this gateway connects gateway {} to an upstream", peer.name
                );
            }
            Err(refused) => {
                reach.refused.increment();
                log::info!(
                    event = "tunnel.refused", gateway = &*peer.name, upstream = open.instance.as_str(),
                    unreachable = refused.unreachable, carried = reach.carried_count();
                    "ingress: this gateway does not connect gateway {} to an upstream: {}",
                    peer.name, refused.reason
                );
            }
        }
        opened
    }

    fn ended(&self, peer: &Peer, result: io::Result<()>) {
        self.0.reach.carried.fetch_sub(1, Ordering::Relaxed);
        log::debug!(
            "ingress: a tunnel of gateway {} ended: {result:?}.",
            peer.name
        );
    }
}

impl<P: Platform, T: Clock> Helping<P, T> {
    async fn open(&self, open: &TunnelOpen) -> Result<TcpStream, TunnelRefused> {
        let (core, reach) = (&self.0, &self.0.reach);
        let refused = |unreachable, reason: &str| TunnelRefused {
            unreachable,
            reason: reason.to_owned(),
        };
        if core.shutdown.is_begun() {
            return Err(refused(false, "it is shutting down"));
        }
        if reach.carried_count() >= MAX_CARRIED_TUNNELS {
            return Err(refused(false, "it carries too many tunnels"));
        }
        let service = ServiceName::from(open.service.as_str());
        // Only listed upstreams may be reached, so that a gateway is no open proxy.
        let upstream = core.upstreams.find(&service, &open.instance);
        let Some(upstream) =
            upstream.filter(|upstream| upstream.target.address.to_string() == open.address)
        else {
            return Err(refused(false, "it does not know the upstream"));
        };
        if reach.is_cut_off(&service) {
            return Err(refused(false, "it does not reach the service either"));
        }
        match timeout(
            reach.connect_timeout,
            reach.dialer.dial(upstream.target.address),
        )
        .await
        {
            Ok(Ok(stream)) => {
                reach.record_connected(&core.client, &service);
                Ok(stream)
            }
            Ok(Err(e)) => Err(refused(true, &e.to_string())),
            Err(_) => Err(refused(true, "the connect timeout passed")),
        }
    }
}
