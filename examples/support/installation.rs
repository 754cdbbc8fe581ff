//! A whole installation on loopback in one process: stand-ins for the upstreams and the cloud,
//! controllers and gateways.

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::Path,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU16, Ordering},
    },
    time::Duration,
};

use anyhow::Context;
use flamingocroft::{
    Running,
    adapters::{HttpCloud, HttpUpstreams, SystemClock},
    controller,
    domain::{
        Account, AccountName, ChangeLimits, Fencing, Intent, MachineClass, Model, Money, Operation,
        Price, RoutingWeights, Service, ServiceKind, Tier, Zone, ZoneName,
    },
    gateway,
    operator::{ConfirmRequest, Confirmed, Plan, Status},
    ports::Ports,
    settings::{ControllerEntry, Limits, Role, Settings, Timing},
    telemetry::Metrics,
};
use futures_util::FutureExt;
use sha2::{Digest, Sha256};
use standin::{
    Faults,
    cloud::{Cloud, CloudParams, Listing},
    engine::{Engine, EngineParams},
    service::ServiceParams,
};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::http::{Call, send};

/// The operators' token of every installation made here.
pub const OPERATOR_TOKEN: &str = "operator-token-of-the-example";
/// The token of the paying account.
pub const PAYING_TOKEN: &str = "paying-token-of-the-example";
/// The token of the free account.
pub const FREE_TOKEN: &str = "free-token-of-the-example";
/// The model that the engines serve.
pub const MODEL: &str = "assistant";
/// The zones of every installation made here.
pub const ZONES: [&str; 3] = ["tozeur", "kebili", "tataouine"];

const PEER_KEY: &[u8] = b"the peer key of an installation on loopback";
const CLASS: &str = "standard";
const HTTP_PORT: u16 = 8000;
const PEER_PORT: u16 = 9000;
const PATIENCE: Duration = Duration::from_secs(30);

/// What to start.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Controllers.
    pub controllers: u8,
    /// Gateways.
    pub gateways: u8,
    /// Engines, spread over the zones.
    pub engines: u8,
    /// Plain servers, spread over the zones.
    pub services: u8,
    /// How the engines behave.
    pub engine: EngineParams,
    /// How the cloud behaves.
    pub cloud: CloudParams,
    /// The daemons' timing.
    pub timing: Timing,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            controllers: 3,
            gateways: 2,
            engines: 3,
            services: 1,
            engine: EngineParams {
                models: vec![MODEL.to_owned()],
                ..EngineParams::default()
            },
            cloud: CloudParams::default(),
            timing: Timing::default(),
        }
    }
}

/// A started daemon and the way to stop it.
pub struct Daemon {
    /// Its settings.
    pub settings: Arc<Settings>,
    /// Its addresses and task.
    pub running: Running,
    /// Stops it gracefully.
    pub stop: CancellationToken,
}

/// Everything that was started; dropping it stops the daemons.
pub struct Installation {
    /// The stand-ins. The cloud names them `engine-0`, `depot-0` and so on.
    pub upstreams: Upstreams,
    /// The controllers.
    pub controllers: Vec<Daemon>,
    /// The gateways.
    pub gateways: Vec<Daemon>,
    plans: Plans,
}

/// Settings files' contents, made before anything starts.
#[derive(Clone, Debug)]
pub struct Plans {
    /// For the controllers.
    pub controllers: Vec<Settings>,
    /// For the gateways.
    pub gateways: Vec<Settings>,
}

/// Returns a loopback address that no other installation of this machine uses at this time.
pub fn next_host() -> IpAddr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let process = std::process::id();
    let [_, _, high, low] = process.to_be_bytes();
    let host = NEXT.fetch_add(1, Ordering::Relaxed);
    let host = u8::try_from(host).expect("one process starts fewer than 256 installations");
    Ipv4Addr::new(127, high.max(1), low, host).into()
}

/// Makes the settings of all daemons. Keys and data go under `folder`.
pub fn plan_settings(shape: &Shape, folder: &Path, cloud: SocketAddr) -> anyhow::Result<Plans> {
    let host = next_host();
    let key_file = folder.join("peer.key");
    std::fs::write(&key_file, PEER_KEY).context("writing the peer key")?;
    let entries: Vec<ControllerEntry> = (0..shape.controllers)
        .map(|i| ControllerEntry {
            name: format!("controller-{i}").into(),
            zone: zone(i),
            peer_address: SocketAddr::new(host, PEER_PORT + u16::from(i)),
            http_address: SocketAddr::new(host, HTTP_PORT + u16::from(i)),
        })
        .collect();
    let base = Settings {
        name: "".into(),
        role: Role::Controller,
        zone: zone(0),
        http_address: SocketAddr::new(host, 0),
        peer_address: SocketAddr::new(host, 0),
        advertised_address: None,
        peer_key_file: key_file,
        controllers: entries.clone(),
        data_folder: None,
        operator_token_sha256: Some(hash(OPERATOR_TOKEN)),
        cloud_address: Some(cloud),
        limits: Limits::default(),
        timing: shape.timing.clone(),
    };
    let controllers = entries
        .iter()
        .map(|entry| Settings {
            name: Arc::clone(&entry.name),
            zone: entry.zone.clone(),
            http_address: entry.http_address,
            peer_address: entry.peer_address,
            data_folder: Some(folder.join(&*entry.name)),
            ..base.clone()
        })
        .collect();
    let gateways = (0..shape.gateways)
        .map(|i| Settings {
            name: format!("gateway-{i}").into(),
            role: Role::Gateway,
            zone: zone(i),
            http_address: SocketAddr::new(host, HTTP_PORT + 100 + u16::from(i)),
            peer_address: SocketAddr::new(host, PEER_PORT + 100 + u16::from(i)),
            ..base.clone()
        })
        .collect();
    Ok(Plans {
        controllers,
        gateways,
    })
}

/// Returns the SHA-256 of a token, in hexadecimal.
pub fn hash(token: &str) -> String {
    Sha256::digest(token)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

fn zone(i: u8) -> ZoneName {
    ZONES[usize::from(i) % ZONES.len()].into()
}

/// Returns the intent of the installation.
pub fn intent(shape: &Shape) -> Intent {
    let zones: Vec<ZoneName> = ZONES.map(ZoneName::from).to_vec();
    let class = MachineClass(CLASS.into());
    let tier = |name: &str, paying| Tier {
        name: name.into(),
        paying,
        first_token: Duration::from_millis(640),
        between_tokens: Duration::from_millis(26),
    };
    let account = |name: &str, tier: &str, token: &str| Account {
        name: AccountName::from(name),
        tier: tier.into(),
        token_sha256: hash(token),
        weight: 1,
    };
    let operation = |method: &str, path: &str, idempotent| Operation {
        method: method.into(),
        path: path.into(),
        idempotent,
    };
    Intent {
        zones: zones
            .iter()
            .map(|name| Zone {
                name: name.clone(),
                region: "south".into(),
            })
            .collect(),
        tiers: vec![tier("paying", true), tier("free", false)],
        accounts: vec![
            account("sabkha", "paying", PAYING_TOKEN),
            account("trial", "free", FREE_TOKEN),
        ],
        models: vec![Model {
            name: MODEL.into(),
            version: "1".into(),
            weights_mib: 1024,
        }],
        services: vec![
            Service {
                name: "assistant".into(),
                kind: ServiceKind::Engines {
                    models: vec![MODEL.into()],
                    fencing: Fencing::Checked,
                },
                zones: zones.clone(),
                class: class.clone(),
                slots_per_instance: shape.engine.slots,
                expected_concurrency: shape.engine.slots * u32::from(shape.engines) / 2,
            },
            Service {
                name: "depot".into(),
                kind: ServiceKind::Plain {
                    operations: vec![
                        operation("GET", "/piles", true),
                        operation("POST", "/releases", false),
                    ],
                },
                zones: zones.clone(),
                class: class.clone(),
                slots_per_instance: 64,
                expected_concurrency: 32,
            },
        ],
        prices: zones
            .iter()
            .map(|zone| Price {
                zone: zone.clone(),
                class: class.clone(),
                on_demand_micros_per_hour: Money(900_000),
                reclaimable_micros_per_hour: Money(300_000),
                reclaims_per_day: 0.5,
            })
            .collect(),
        routing: RoutingWeights::default(),
        limits: ChangeLimits::default(),
    }
}

/// The upstreams and the cloud, without any daemon.
pub struct Upstreams {
    /// The cloud API.
    pub cloud: Cloud,
    /// The engines that were there from the start.
    pub engines: Vec<Arc<Engine>>,
    /// The plain servers that were there from the start.
    pub services: Vec<Arc<standin::service::Service>>,
    launched: Arc<Launched>,
}

/// What the cloud started by order.
#[derive(Default)]
struct Launched {
    engines: Mutex<Vec<Arc<Engine>>>,
    services: Mutex<Vec<Arc<standin::service::Service>>>,
}

impl Upstreams {
    /// Returns how often each key was executed by any plain server.
    pub fn executions(&self) -> BTreeMap<String, u32> {
        let launched = lock(&self.launched.services);
        let mut by_key = BTreeMap::new();
        for service in self.services.iter().chain(launched.iter()) {
            for (key, count) in service.counts().by_key {
                *by_key.entry(key).or_insert(0) += count;
            }
        }
        by_key
    }

    /// Returns how many generations any engine began.
    pub fn generations(&self) -> u64 {
        let launched = lock(&self.launched.engines);
        let engines = self.engines.iter().chain(launched.iter());
        engines.map(|engine| engine.counts().started).sum()
    }

    /// Sets the faults of all plain servers.
    pub fn set_service_faults(&self, faults: &Faults) {
        let launched = lock(&self.launched.services);
        for service in self.services.iter().chain(launched.iter()) {
            service.set_faults(*faults);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts the stand-ins. The cloud starts further engines and servers by order.
pub async fn start_upstreams(shape: &Shape) -> anyhow::Result<Upstreams> {
    let launched = Arc::new(Launched::default());
    let launch = {
        let params = shape.engine.clone();
        let launched = Arc::clone(&launched);
        Arc::new(move |order| launch(order, params.clone(), Arc::clone(&launched)).boxed())
    };
    let cloud = standin::cloud::start(shape.cloud.clone(), launch).await?;
    let mut engines = Vec::new();
    for i in 0..shape.engines {
        let engine = Arc::new(standin::engine::start(shape.engine.clone()).await?);
        let stop = Arc::clone(&engine);
        cloud.register(
            listing("engine", "assistant", i, engine.address()),
            move || stop.stop(),
        );
        engines.push(engine);
    }
    let mut services = Vec::new();
    for i in 0..shape.services {
        let service = Arc::new(standin::service::start(ServiceParams::default()).await?);
        let stop = Arc::clone(&service);
        cloud.register(listing("depot", "depot", i, service.address()), move || {
            stop.stop();
        });
        services.push(service);
    }
    Ok(Upstreams {
        cloud,
        engines,
        services,
        launched,
    })
}

async fn launch(
    order: standin::cloud::StartOrder,
    params: EngineParams,
    launched: Arc<Launched>,
) -> anyhow::Result<standin::cloud::Started> {
    if order.service == "assistant" {
        let engine = Arc::new(standin::engine::start(params).await?);
        lock(&launched.engines).push(Arc::clone(&engine));
        return Ok(standin::cloud::Started {
            address: engine.address(),
            stop: Box::new(move || engine.stop()),
        });
    }
    let service = Arc::new(standin::service::start(ServiceParams::default()).await?);
    lock(&launched.services).push(Arc::clone(&service));
    Ok(standin::cloud::Started {
        address: service.address(),
        stop: Box::new(move || service.stop()),
    })
}

fn listing(prefix: &str, service: &str, i: u8, address: SocketAddr) -> Listing {
    Listing {
        name: format!("{prefix}-{i}"),
        incarnation: 1,
        service: service.to_owned(),
        zone: zone(i).to_string(),
        class: CLASS.to_owned(),
        purchase: "reclaimable".to_owned(),
        address,
        state: "live".to_owned(),
    }
}

impl Installation {
    /// Starts everything and waits until a leader answers. No intent is in force yet.
    pub async fn start(shape: &Shape, folder: &Path) -> anyhow::Result<Self> {
        let upstreams = start_upstreams(shape).await?;
        let plans = plan_settings(shape, folder, upstreams.cloud.address())?;
        let mut installation = Self {
            upstreams,
            controllers: Vec::new(),
            gateways: Vec::new(),
            plans,
        };
        for i in 0..installation.plans.controllers.len() {
            installation.start_controller(i).await?;
        }
        for i in 0..installation.plans.gateways.len() {
            installation.start_gateway(i).await?;
        }
        installation.status().await?;
        Ok(installation)
    }

    /// Starts a controller, again or for the first time.
    pub async fn start_controller(&mut self, i: usize) -> anyhow::Result<()> {
        let settings = Arc::new(self.plans.controllers[i].clone());
        let stop = CancellationToken::new();
        let ports = ports(&settings)?;
        let running = controller::start(Arc::clone(&settings), ports, stop.clone()).await?;
        put(
            &mut self.controllers,
            i,
            Daemon {
                settings,
                running,
                stop,
            },
        );
        Ok(())
    }

    /// Starts a gateway, again or for the first time.
    pub async fn start_gateway(&mut self, i: usize) -> anyhow::Result<()> {
        let settings = Arc::new(self.plans.gateways[i].clone());
        let stop = CancellationToken::new();
        let ports = ports(&settings)?;
        let running = gateway::start(Arc::clone(&settings), ports, stop.clone()).await?;
        put(
            &mut self.gateways,
            i,
            Daemon {
                settings,
                running,
                stop,
            },
        );
        Ok(())
    }

    /// Returns a gateway's address for callers.
    pub fn gateway(&self, i: usize) -> SocketAddr {
        self.gateways[i].running.http_address
    }

    /// Plans and confirms an intent, and waits until every gateway serves under it.
    pub async fn confirm(&self, intent: &Intent) -> anyhow::Result<(Plan, Confirmed)> {
        let plan: Plan = self
            .operate(&Call::post("/v1/plan", OPERATOR_TOKEN, intent))
            .await?;
        let req = ConfirmRequest {
            operation: plan.operation,
            base_revision: plan.base_revision,
            intent: plan.intent.clone(),
        };
        let confirmed: Confirmed = self
            .operate(&Call::post("/v1/confirm", OPERATOR_TOKEN, &req))
            .await?;
        self.wait_ready().await?;
        Ok((plan, confirmed))
    }

    /// Returns the leader's status.
    pub async fn status(&self) -> anyhow::Result<Status> {
        self.operate(&Call::get("/v1/status", OPERATOR_TOKEN)).await
    }

    /// Sends an operator's call to whichever controller leads.
    pub async fn operate<T: serde::de::DeserializeOwned>(&self, call: &Call) -> anyhow::Result<T> {
        let start = tokio::time::Instant::now();
        loop {
            let mut last = String::from("no controller runs");
            for daemon in &self.controllers {
                match send(daemon.running.http_address, call).await {
                    Ok(answer) if answer.status.is_success() => return answer.json(),
                    Ok(answer) => last = format!("status {}: {}", answer.status, answer.text()),
                    Err(e) => last = format!("{e:#}"),
                }
            }
            anyhow::ensure!(start.elapsed() < PATIENCE, "no leader answered: {last}");
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until every gateway is ready and knows every instance.
    pub async fn wait_ready(&self) -> anyhow::Result<()> {
        for daemon in &self.gateways {
            wait_ready(daemon.running.http_address).await?;
        }
        Ok(())
    }
}

/// Waits until a gateway serves.
pub async fn wait_ready(gateway: SocketAddr) -> anyhow::Result<()> {
    let start = tokio::time::Instant::now();
    loop {
        let last = match send(gateway, &Call::get("/readyz", "")).await {
            Ok(answer) if answer.status.is_success() => return Ok(()),
            Ok(answer) => answer.text(),
            Err(e) => format!("{e:#}"),
        };
        anyhow::ensure!(start.elapsed() < PATIENCE, "{gateway} is not ready: {last}");
        sleep(Duration::from_millis(20)).await;
    }
}

fn ports(settings: &Settings) -> anyhow::Result<Ports<HttpUpstreams, HttpCloud, SystemClock>> {
    Ok(Ports {
        upstreams: Arc::new(HttpUpstreams::new(&settings.timing)),
        cloud: settings
            .cloud_address
            .map(|address| Arc::new(HttpCloud::new(address, &settings.timing))),
        clock: Arc::new(SystemClock::new()),
        metrics: Metrics::new()?,
    })
}

fn put(daemons: &mut Vec<Daemon>, i: usize, daemon: Daemon) {
    if i < daemons.len() {
        daemons[i] = daemon;
    } else {
        daemons.push(daemon);
    }
}

impl Drop for Installation {
    fn drop(&mut self) {
        for daemon in self.controllers.iter().chain(&self.gateways) {
            daemon.stop.cancel();
        }
    }
}
