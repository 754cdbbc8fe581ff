//! How this gateway reaches upstreams: each directly, or through another gateway while it cannot be reached directly. This
//! gateway decides, counts and answers the requests either way; the other one only carries the bytes of a connection. See
//! docs/DECISIONS.md, "Gateways that do not reach the upstreams".

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
use futures_util::{StreamExt, stream::FuturesUnordered};
use tokio::{
    net::TcpStream,
    time::{Instant, interval, sleep, timeout, timeout_at},
};
use tokio_util::sync::CancellationToken;

use super::{Core, upstream::Upstream};
use crate::{
    adapters::http::{Client, PooledConnection, Reuse, Way},
    domain::{InstanceName, ServiceName},
    link::{Identity, Peer, PeerKey, TunnelError, TunnelHandler, open_tunnel},
    policy::reachability::{Helper, HelperReach, Plan, rank_helpers},
    ports::{Clock, Dialer, Platform, Sent, UpstreamError, UpstreamErrorKind},
    telemetry::{Counter, Metrics},
    wire::{IngressRecord, TunnelOpen, TunnelRefused},
};

/// Interval at which it is checked whether upstreams are to be probed.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of probes that begin in one [`CHECK_INTERVAL`], so that their number does not grow with the upstreams.
const MAX_PROBES_PER_CHECK: usize = 8;
/// Time that a direct connection may take before other gateways are asked as well. An upstream in reach takes a few
/// milliseconds, and a request whose time to its first answer is a few hundred can afford the rest.
const ASK_DELAY: Duration = Duration::from_millis(100);
/// Time after which a further gateway is asked while the ones before have not answered.
const NEXT_HELPER_DELAY: Duration = Duration::from_millis(75);
/// Maximum time to open a tunnel, over all gateways that are asked for it.
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of gateways that are asked to open one tunnel.
const MAX_HELPERS: usize = 4;
/// Time for which a gateway that opened no tunnel is asked last, or not at all for an upstream that it did not reach.
const HELPER_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum number of pairs of gateway and upstream that are known not to reach each other.
const MAX_UNREACHABLE_PAIRS: usize = 4096;
/// Maximum number of tunnels that this gateway carries for others.
const MAX_CARRIED_TUNNELS: usize = 1024;

/// Another gateway that may open connections for this one.
#[derive(Clone, Debug)]
struct OtherGateway {
    name: Arc<str>,
    zone: String,
    address: SocketAddr,
}

/// What other gateways showed of their ways and their load.
#[derive(Debug, Default)]
struct KnownHelpers {
    /// Until when a gateway that could not be asked, or refused for its own sake, is asked last.
    failed: HashMap<Arc<str>, Instant>,
    /// Until when a gateway is not asked for an upstream that it did not reach.
    unreachable: HashMap<(Arc<str>, InstanceName), Instant>,
    /// The gateway that opened the last tunnel to an upstream.
    reached: HashMap<InstanceName, Arc<str>>,
    /// Number of connections that each gateway carries for others, as it last said.
    carried: HashMap<Arc<str>, u32>,
}

impl KnownHelpers {
    fn record_opened(&mut self, other: &OtherGateway, instance: &InstanceName, carried: u32) {
        self.failed.remove(&other.name);
        self.carried.insert(Arc::clone(&other.name), carried);
        self.reached
            .insert(instance.clone(), Arc::clone(&other.name));
    }

    fn record_failure(&mut self, other: &OtherGateway, instance: &InstanceName, e: &TunnelError) {
        let until = Instant::now() + HELPER_BACKOFF;
        if self.reached.get(instance) == Some(&other.name) {
            self.reached.remove(instance);
        }
        match e {
            TunnelError::Unreachable(_) => {
                if self.unreachable.len() < MAX_UNREACHABLE_PAIRS {
                    let pair = (Arc::clone(&other.name), instance.clone());
                    self.unreachable.insert(pair, until);
                }
            }
            TunnelError::Refused { carried, .. } => {
                self.carried.insert(Arc::clone(&other.name), *carried);
                self.failed.insert(Arc::clone(&other.name), until);
            }
            TunnelError::NoPeer(_) => {
                self.failed.insert(Arc::clone(&other.name), until);
            }
        }
    }

    fn remove_expired(&mut self, now: Instant) {
        self.failed.retain(|_, until| *until > now);
        self.unreachable.retain(|_, until| *until > now);
    }

    /// Forgets gateways that are no longer listed.
    fn retain(&mut self, others: &[OtherGateway]) {
        let is_listed = |name: &Arc<str>| others.iter().any(|other| other.name == *name);
        self.reached.retain(|_, name| is_listed(name));
        self.carried.retain(|name, _| is_listed(name));
    }
}

/// The ways from this gateway to the upstreams.
#[derive(Debug)]
pub(super) struct Reach {
    key: PeerKey,
    own: Identity,
    dialer: Arc<dyn Dialer>,
    connect_timeout: Duration,
    others: ArcSwap<Vec<OtherGateway>>,
    known: Mutex<KnownHelpers>,
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
            others: ArcSwap::default(),
            known: Mutex::default(),
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
        let others: Vec<OtherGateway> = others.collect();
        self.known().retain(&others);
        self.others.store(Arc::new(others));
    }

    /// Returns the number of tunnels that this gateway carries for others.
    pub(super) fn carried_count(&self) -> usize {
        self.carried.load(Ordering::Relaxed)
    }

    /// Connects to an upstream, through another gateway if it cannot be reached directly.
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
        let plan = upstream.reach().plan();
        let idle = match plan {
            Plan::Direct => client.take_idle(&upstream.target, Way::Direct),
            Plan::Both | Plan::Tunnel => client.take_idle(&upstream.target, Way::Tunnel),
        };
        let connection = match idle {
            Some(connection) => connection,
            None => self.open(client, upstream, plan, request, deadline).await?,
        };
        if connection.way() == Way::Direct {
            upstream.reach().record_send(self.started.elapsed());
        }
        Ok(connection)
    }

    /// Opens a connection on the way that works first.
    async fn open(
        &self,
        client: &Client,
        upstream: &Upstream,
        plan: Plan,
        request: &str,
        deadline: Instant,
    ) -> Result<PooledConnection, UpstreamError> {
        let mut direct =
            std::pin::pin!(client.connect(&upstream.target, Reuse::Forbidden, deadline));
        let soon = match plan {
            Plan::Direct => timeout(ASK_DELAY, &mut direct).await.ok(),
            Plan::Both | Plan::Tunnel => None,
        };
        match soon {
            Some(Ok(connection)) => {
                self.record_connected(client, upstream);
                return Ok(connection);
            }
            Some(Err(_)) => {
                upstream.reach().record_connect_failure();
                return self.open_tunnel(client, upstream, request, deadline).await;
            }
            None if plan == Plan::Direct => upstream.reach().record_connect_failure(),
            None => {}
        }
        let mut tunnel = std::pin::pin!(self.open_tunnel(client, upstream, request, deadline));
        tokio::select! {
            biased;
            result = &mut direct => match result {
                Ok(connection) => {
                    self.record_connected(client, upstream);
                    Ok(connection)
                }
                Err(_) => tunnel.await,
            },
            result = &mut tunnel => match result {
                Ok(connection) => Ok(connection),
                Err(_) => {
                    let connection = direct.await?;
                    self.record_connected(client, upstream);
                    Ok(connection)
                }
            },
        }
    }

    /// Opens a connection through another gateway. If one does not answer soon, a further one is asked as well.
    async fn open_tunnel(
        &self,
        client: &Client,
        upstream: &Upstream,
        request: &str,
        deadline: Instant,
    ) -> Result<PooledConnection, UpstreamError> {
        let opening = async {
            let mut helpers = self.helpers(upstream).into_iter();
            let mut asked = FuturesUnordered::new();
            loop {
                let next = helpers.next();
                let is_last = next.is_none();
                asked.extend(next.map(|other| async move {
                    let opened = self.open_through(client, upstream, &other).await;
                    (other, opened)
                }));
                let answer = tokio::select! {
                    answer = asked.next() => answer?,
                    () = sleep(NEXT_HELPER_DELAY), if !is_last => continue,
                };
                match answer {
                    (other, Ok(connection)) => {
                        self.record_tunnel(client, upstream, &other, request);
                        return Some(connection);
                    }
                    (other, Err(e)) => {
                        self.known()
                            .record_failure(&other, &upstream.target.instance, &e);
                        log::info!(
                            event = "tunnel.failed", request = request, through = &*other.name,
                            upstream:% = upstream.target.instance;
                            "ingress: gateway {} does not connect this one to an upstream: {e}",
                            other.name
                        );
                    }
                }
            }
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
        let tunnel = opening.await?;
        let opened = tunnel.opened;
        let connection = client
            .connect_over(&upstream.target, tunnel.io, tunnel.sending)
            .await;
        let connection = connection.map_err(|e| io::Error::other(e.to_string()))?;
        let instance = &upstream.target.instance;
        self.known().record_opened(other, instance, opened.carried);
        Ok(connection)
    }

    /// Returns the gateways to ask for a tunnel, in order.
    fn helpers(&self, upstream: &Upstream) -> Vec<OtherGateway> {
        let others = self.others.load();
        let mut known = self.known();
        known.remove_expired(Instant::now());
        let instance = &upstream.target.instance;
        let helper = |other: &OtherGateway| {
            let pair = (Arc::clone(&other.name), instance.clone());
            let reach = match known.reached.get(instance) {
                Some(name) if *name == other.name => HelperReach::Reached,
                _ if known.unreachable.contains_key(&pair) => HelperReach::Unreachable,
                _ => HelperReach::Unknown,
            };
            Helper {
                reach,
                is_near_upstream: other.zone == upstream.zone.as_str(),
                has_failed: known.failed.contains_key(&other.name),
                carried: known.carried.get(&other.name).copied().unwrap_or(0),
                random: rand::random(),
            }
        };
        let helpers: Vec<Helper> = others.iter().map(helper).collect();
        let order = rank_helpers(&helpers).into_iter().take(MAX_HELPERS);
        order.map(|at| others[at].clone()).collect()
    }

    fn record_connected(&self, client: &Client, upstream: &Upstream) {
        if upstream.reach().record_connected() {
            client.close_idle(Way::Tunnel, |target| *target == upstream.target);
            log::info!(
                event = "upstream.reached", upstream:% = upstream.target.instance,
                service:% = upstream.service;
                "ingress: an upstream is reached directly again"
            );
        }
    }

    fn record_tunnel(
        &self,
        client: &Client,
        upstream: &Upstream,
        other: &OtherGateway,
        request: &str,
    ) {
        self.opened.increment();
        log::info!(
            event = "tunnel.opened", request = request, through = &*other.name,
            upstream:% = upstream.target.instance;
            "ingress: gateway {} connects this one to an upstream", other.name
        );
        if upstream.reach().record_tunnel() {
            upstream.record_new_way(Instant::now());
            client.close_idle(Way::Direct, |target| *target == upstream.target);
            log::warn!(
                event = "upstream.cut_off", upstream:% = upstream.target.instance,
                service:% = upstream.service, through = &*other.name;
                "ingress: an upstream is not reached directly; requests go through other gateways"
            );
        }
    }

    /// Probes an upstream on the direct way, and on others if none is known. What opens is kept for requests.
    async fn probe(&self, client: &Client, upstream: &Upstream) {
        let now = Instant::now();
        let opened = if upstream.is_cut_off() {
            let end = now + self.connect_timeout;
            let opened = client.connect(&upstream.target, Reuse::Forbidden, end);
            let opened = opened.await;
            if opened.is_ok() {
                self.record_connected(client, upstream);
            }
            opened
        } else {
            let end = now + self.connect_timeout + TUNNEL_TIMEOUT;
            let opened = self.open(client, upstream, Plan::Direct, "", end).await;
            if opened.is_err() {
                upstream.reach().record_failed_probe();
            }
            opened
        };
        if let Ok(connection) = opened {
            connection.return_to_pool();
        }
    }

    fn known(&self) -> MutexGuard<'_, KnownHelpers> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Probes the upstreams that seem to be out of reach until the token is cancelled.
pub(super) async fn run<P: Platform, T: Clock>(core: Arc<Core<P, T>>, stop: CancellationToken) {
    let mut checks = interval(CHECK_INTERVAL);
    let probing = async {
        loop {
            checks.tick().await;
            let now = core.reach.started.elapsed();
            let mut due = core.upstreams.all();
            due.retain(|upstream| upstream.reach().needs_probe(now));
            // Those that were probed longest ago come first, so that each has its turn.
            due.sort_by_key(|upstream| upstream.reach().probed_at());
            for upstream in due.into_iter().take(MAX_PROBES_PER_CHECK) {
                upstream.reach().begin_probe(now);
                let core = Arc::clone(&core);
                tokio::spawn(async move { core.reach.probe(&core.client, &upstream).await });
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

    fn carried(&self) -> u32 {
        u32::try_from(self.0.reach.carried_count()).unwrap_or(u32::MAX)
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
            carried: self.carried(),
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
        if upstream.is_cut_off() {
            return Err(refused(true, "it does not reach the upstream either"));
        }
        match timeout(
            reach.connect_timeout,
            reach.dialer.dial(upstream.target.address),
        )
        .await
        {
            Ok(Ok(stream)) => {
                reach.record_connected(&core.client, &upstream);
                Ok(stream)
            }
            Ok(Err(e)) => Err(refused(true, &e.to_string())),
            Err(_) => Err(refused(true, "the connect timeout passed")),
        }
    }
}
