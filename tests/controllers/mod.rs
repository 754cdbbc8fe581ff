//! Runs controllers in the test process, with real links and disks and with fake ports.

#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

mod cloud;
mod gateway;
mod upstreams;

pub use cloud::{FakeCloud, listing};
pub use gateway::FakeGateway;
pub use upstreams::FakeUpstreams;

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use flamingocroft::{
    RunningRole, controller,
    domain::{
        ChangeLimits, Fencing, Incarnation, Intent, MachineClass, MemberId, Model, Money,
        OperationId, Price, Revision, Service, ServiceKind, Zone,
    },
    link::{Identity, Link, LinkSettings, PeerKey},
    operator::{ConfirmRequest, Confirmed, ErrorBody, HistoryEntry, Plan, Status},
    ports::{Clock, Ports},
    settings::{ControllerEntry, Limits, Role, Settings, Timing},
    telemetry::Metrics,
    wire::{Body, MemberQuery},
};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use serde::{Serialize, de::DeserializeOwned};
use sha2::{Digest, Sha256};
use tempfile::TempDir;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

pub const OPERATOR_TOKEN: &str = "operators-token-for-tests";
pub const PEER_KEY: &[u8] = b"a-shared-key-for-the-tests-only";
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause between two polls, which leaves the processor to what is waited for.
pub const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longer than a confirm waits for gateways after its commit.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);

/// The clocks of the machine.
#[derive(Debug)]
pub struct SystemClock(Instant);

impl Clock for SystemClock {
    fn monotonic(&self) -> Duration {
        self.0.elapsed()
    }

    fn unix_ms(&self) -> u64 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        now.as_millis() as u64
    }
}

/// Returns a loopback address for one cluster only, so that parallel tests do not share ports.
fn unique_loopback() -> IpAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let pid = std::process::id();
    let count = NEXT.fetch_add(1, Ordering::Relaxed);
    IpAddr::V4(Ipv4Addr::new(
        127,
        64 + (pid % 128) as u8,
        (pid / 128 % 256) as u8,
        1 + (count % 250) as u8,
    ))
}

/// A controller, which may be stopped and started again.
pub struct Controller {
    pub settings: Arc<Settings>,
    running: Option<(CancellationToken, RunningRole)>,
}

/// Several controllers with a common cloud API and common upstreams.
pub struct Cluster {
    pub controllers: Vec<Controller>,
    pub cloud: Arc<FakeCloud>,
    pub upstreams: Arc<FakeUpstreams>,
    folder: TempDir,
}

/// The status and body of an HTTP response.
pub struct Answer {
    pub status: StatusCode,
    pub body: Bytes,
}

impl Answer {
    pub fn read<R: DeserializeOwned>(&self) -> R {
        assert_eq!(self.status, StatusCode::OK, "{:?}", self.body);
        serde_json::from_slice(&self.body).unwrap()
    }

    pub fn error(&self) -> ErrorBody {
        assert_ne!(self.status, StatusCode::OK);
        serde_json::from_slice(&self.body).unwrap()
    }
}

impl Cluster {
    pub async fn start(count: usize) -> Self {
        let timing = Timing {
            shutdown: SHUTDOWN_TIMEOUT,
            ..Timing::default()
        };
        Self::start_with(count, timing, None).await
    }

    pub async fn start_with(count: usize, timing: Timing, cloud: Option<FakeCloud>) -> Self {
        let folder = TempDir::new().unwrap();
        let address = unique_loopback();
        let key = folder.path().join("key");
        std::fs::write(&key, PEER_KEY).unwrap();
        let entries: Vec<_> = (0..count).map(|i| controller_entry(address, i)).collect();
        let has_cloud = cloud.is_some();
        let controllers = entries.iter().map(|entry| Controller {
            settings: Arc::new(controller_settings(
                entry,
                &entries,
                &key,
                folder.path(),
                timing.clone(),
                has_cloud,
            )),
            running: None,
        });
        let mut cluster = Self {
            controllers: controllers.collect(),
            cloud: Arc::new(cloud.unwrap_or_default()),
            upstreams: Arc::default(),
            folder,
        };
        for index in 0..count {
            cluster.start_controller(index).await;
        }
        cluster
    }

    pub async fn start_controller(&mut self, index: usize) {
        let controller = &mut self.controllers[index];
        let settings = Arc::clone(&controller.settings);
        let ports = Ports {
            upstreams: Arc::clone(&self.upstreams),
            cloud: settings.cloud_address.map(|_| Arc::clone(&self.cloud)),
            clock: Arc::new(SystemClock(Instant::now())),
            metrics: Metrics::new().unwrap(),
        };
        let stop = CancellationToken::new();
        let running = controller::start(settings, ports, stop.clone())
            .await
            .unwrap();
        controller.running = Some((stop, running));
    }

    pub async fn stop(&mut self, index: usize) {
        let Some((stop, running)) = self.controllers[index].running.take() else {
            return;
        };
        stop.cancel();
        let stopped = timeout(TEST_TIMEOUT, running.task).await;
        let result = stopped.expect("the controller stops in time");
        result.unwrap().unwrap();
    }

    pub async fn stop_all(&mut self) {
        for index in 0..self.controllers.len() {
            self.stop(index).await;
        }
    }

    pub fn data_folder(&self, index: usize) -> &Path {
        self.controllers[index]
            .settings
            .data_folder
            .as_deref()
            .unwrap()
    }

    /// Polls the running controllers until one answers as the leader; returns its index and status.
    pub async fn leader(&self) -> (usize, Status) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            for (index, controller) in self.controllers.iter().enumerate() {
                if controller.running.is_none() {
                    continue;
                }
                let answer = self.get(index, "status").await;
                if answer.status == StatusCode::OK {
                    return (index, answer.read());
                }
            }
            assert!(Instant::now() < deadline, "no leader was elected in time");
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Polls the leader's status until it has a property.
    pub async fn wait_for_status(&self, property: impl Fn(&Status) -> bool) -> Status {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            let (_, status) = self.leader().await;
            if property(&status) {
                return status;
            }
            assert!(
                Instant::now() < deadline,
                "the status never had the property; last status: {status:?}"
            );
            sleep(POLL_INTERVAL).await;
        }
    }

    pub async fn get(&self, index: usize, call: &str) -> Answer {
        self.send(index, Method::GET, call, OPERATOR_TOKEN, Bytes::new())
            .await
    }

    pub async fn post(&self, index: usize, call: &str, body: &impl Serialize) -> Answer {
        let body = serde_json::to_vec(body).unwrap();
        self.send(index, Method::POST, call, OPERATOR_TOKEN, body.into())
            .await
    }

    pub async fn send(
        &self,
        index: usize,
        method: Method,
        call: &str,
        token: &str,
        body: Bytes,
    ) -> Answer {
        let address = self.controllers[index].settings.http_address;
        send_to(address, method, call, token, body).await
    }

    /// Queries a controller for the member id of its data folder.
    pub async fn member(&self, index: usize) -> MemberId {
        let own = Identity {
            name: "test-client".into(),
            incarnation: Incarnation(1),
        };
        let address = self.controllers[index].settings.peer_address;
        let key = PeerKey::new(PEER_KEY).unwrap();
        let link = Link::connect(address, key, own, LinkSettings::default());
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            let query = Body::MemberQuery(MemberQuery::default());
            if let Ok(Body::MemberReport(report)) = link.call(query, TEST_TIMEOUT).await {
                return MemberId(report.member);
            }
            assert!(Instant::now() < deadline, "no member report in time");
            sleep(POLL_INTERVAL).await;
        }
    }

    pub async fn plan(&self, index: usize, intent: &Intent) -> Plan {
        self.ask(index, Method::POST, "plan", intent).await.read()
    }

    pub async fn confirm(&self, index: usize, plan: &Plan) -> Answer {
        let request = confirm_request(plan);
        self.ask(index, Method::POST, "confirm", &request).await
    }

    /// Returns the history of the configuration, from a controller or from the leader that it names.
    pub async fn history(&self, index: usize) -> Vec<HistoryEntry> {
        self.ask(index, Method::GET, "history", &()).await.read()
    }

    /// Calls a controller and, as the operator's tool does, the leader again while no leader or quorum answers in time; an
    /// order takes effect once, however often it is sent.
    async fn ask(&self, index: usize, method: Method, call: &str, body: &impl Serialize) -> Answer {
        let body = Bytes::from(serde_json::to_vec(body).unwrap());
        let running = self.controllers.iter().filter(|one| one.running.is_some());
        let mut others = running.map(|one| one.settings.http_address).cycle();
        let deadline = Instant::now() + TEST_TIMEOUT;
        let mut next = self.controllers[index].settings.http_address;
        loop {
            let sent = send_to(next, method.clone(), call, OPERATOR_TOKEN, body.clone());
            let answer = sent.await;
            let leader = match answer.status {
                StatusCode::MISDIRECTED_REQUEST => answer.error().error.leader,
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::BAD_GATEWAY => None,
                _ => return answer,
            };
            assert!(Instant::now() < deadline, "{call}: {:?}", answer.body);
            next = leader.or_else(|| others.next()).unwrap();
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Plans and confirms an intent at the leader.
    pub async fn plan_and_confirm(&self, intent: &Intent) -> Confirmed {
        let (leader, _) = self.leader().await;
        let plan = self.plan(leader, intent).await;
        self.confirm(leader, &plan).await.read()
    }
}

async fn send_to(
    address: SocketAddr,
    method: Method,
    call: &str,
    token: &str,
    body: Bytes,
) -> Answer {
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}/v1/{call}"))
        .header("authorization", format!("Bearer {token}"))
        .body(Full::new(body))
        .unwrap();
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let lost_connection = Answer {
        status: StatusCode::BAD_GATEWAY,
        body: Bytes::new(),
    };
    let exchange = async {
        let response = client.request(request).await.ok()?;
        let status = response.status();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some(Answer { status, body })
    };
    let answer = timeout(TEST_TIMEOUT, exchange).await;
    answer
        .unwrap_or_else(|_| panic!("{call} is not answered in time"))
        .unwrap_or(lost_connection)
}

pub async fn post_call(address: SocketAddr, call: &'static str, body: impl Serialize) -> Answer {
    let body = serde_json::to_vec(&body).unwrap();
    send_to(address, Method::POST, call, OPERATOR_TOKEN, body.into()).await
}

/// Returns a valid intent without services; `max_instances` makes it differ from others.
pub fn intent(max_instances: u32) -> Intent {
    Intent {
        zones: vec![Zone {
            name: "z0".into(),
            region: "north".into(),
        }],
        limits: ChangeLimits {
            max_instances,
            ..ChangeLimits::default()
        },
        ..Intent::default()
    }
}

/// Returns a valid intent with one service of engines.
pub fn engines_intent(version: &str, expected_concurrency: u32) -> Intent {
    let class = MachineClass("gpu-1".into());
    Intent {
        models: vec![Model {
            name: "gull".into(),
            version: version.into(),
            weights_mib: 1,
        }],
        services: vec![Service {
            name: "manifest".into(),
            kind: ServiceKind::Engines {
                models: vec!["gull".into()],
                fencing: Fencing::Checked,
            },
            zones: vec!["z0".into()],
            class: class.clone(),
            slots_per_instance: 4,
            expected_concurrency,
        }],
        prices: vec![Price {
            zone: "z0".into(),
            class,
            on_demand_micros_per_hour: Money(3_000_000),
            reclaimable_micros_per_hour: Money(1_000_000),
            reclaims_per_day: 2.0,
        }],
        ..intent(8)
    }
}

pub fn confirm_request(plan: &Plan) -> ConfirmRequest {
    ConfirmRequest {
        operation: plan.operation,
        base_revision: plan.base_revision,
        intent: plan.intent.clone(),
    }
}

pub fn new_confirm_request(base: u64, intent: Intent) -> ConfirmRequest {
    ConfirmRequest {
        operation: OperationId(uuid::Uuid::new_v4()),
        base_revision: Revision(base),
        intent,
    }
}

fn controller_entry(address: IpAddr, index: usize) -> ControllerEntry {
    let port = 20_000 + 10 * index as u16;
    ControllerEntry {
        name: format!("c{index}").as_str().into(),
        zone: format!("z{index}").as_str().into(),
        peer_address: SocketAddr::new(address, port),
        http_address: SocketAddr::new(address, port + 1),
    }
}

fn controller_settings(
    entry: &ControllerEntry,
    entries: &[ControllerEntry],
    key: &Path,
    folder: &Path,
    timing: Timing,
    has_cloud: bool,
) -> Settings {
    let hash = Sha256::digest(OPERATOR_TOKEN.as_bytes());
    let hash: String = hash.iter().map(|byte| format!("{byte:02x}")).collect();
    Settings {
        name: Arc::clone(&entry.name),
        role: Role::Controller,
        zone: entry.zone.clone(),
        http_address: entry.http_address,
        peer_address: entry.peer_address,
        advertised_address: None,
        peer_key_file: key.to_owned(),
        controllers: entries.to_vec(),
        seeds: Vec::new(),
        bootstrap: true,
        tolerated_losses: 1,
        ingress: None,
        data_folder: Some(folder.join(&*entry.name)),
        operator_token_sha256: Some(hash),
        cloud_address: has_cloud.then_some(entry.http_address),
        machine: None,
        limits: Limits::default(),
        timing,
    }
}
