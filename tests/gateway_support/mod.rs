//! Runs gateways with fakes at their ports: upstreams, a leader, the cloud and the clock.
#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod http;
pub mod leader;
pub mod upstreams;

use std::{
    future::Future,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU16, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use flamingocroft::{
    RunningRole,
    adapters::HttpUpstreams,
    domain::{FencingToken, Incarnation, InstanceName},
    gateway,
    link::{self, Handler, Identity, LinkSettings, PeerKey},
    ports::{Clock, CloudApi, CloudError, InstanceListing, Ports, ReclaimNotice, StartRequest},
    settings::{ControllerEntry, Limits, Role, Settings, Timing},
    telemetry::Metrics,
    wire::{InstanceRecord, ShareRecord},
};
use leader::{FakeLeader, Follower, SilentController};
use sha2::{Digest, Sha256};
use tempfile::TempDir;
use tokio::{net::TcpListener, time::sleep};
use tokio_util::sync::CancellationToken;
use upstreams::FakeUpstreams;

pub const PEER_KEY: &[u8] = b"a key of the tests' own, long enough";
pub const VIEW_LEASE: Duration = Duration::from_millis(2000);

/// A clock that a test can advance.
pub struct TestClock {
    start: Instant,
    ahead_ms: AtomicU64,
}

impl TestClock {
    fn new() -> Self {
        Self {
            start: Instant::now(),
            ahead_ms: AtomicU64::new(0),
        }
    }

    /// Advances the monotonic and the wall clock, as seen after a suspension of the process.
    pub fn advance(&self, time: Duration) {
        let ms = time.as_millis() as u64;
        self.ahead_ms.fetch_add(ms, Ordering::SeqCst);
    }
}

impl Clock for TestClock {
    fn monotonic(&self) -> Duration {
        self.start.elapsed() + Duration::from_millis(self.ahead_ms.load(Ordering::SeqCst))
    }

    fn unix_ms(&self) -> u64 {
        let now = std::time::UNIX_EPOCH.elapsed().unwrap();
        now.as_millis() as u64 + self.ahead_ms.load(Ordering::SeqCst)
    }
}

/// A cloud with reclaim notices set by the test.
#[derive(Default)]
pub struct FakeCloud {
    notices: Mutex<Vec<ReclaimNotice>>,
    polls: AtomicU64,
}

impl FakeCloud {
    pub fn reclaim(&self, instance: &str, remaining: Duration) {
        self.notices.lock().unwrap().push(ReclaimNotice {
            instance: instance.into(),
            incarnation: Incarnation(1),
            remaining,
        });
    }

    /// Waits until the current notices have been read and acted on: a second poll from now starts
    /// only after that.
    pub async fn wait_until_notices_handled(&self) {
        let before = self.polls.load(Ordering::SeqCst);
        eventually("the notices are handled", || async move {
            self.polls.load(Ordering::SeqCst) >= before + 2
        })
        .await;
    }
}

impl CloudApi for FakeCloud {
    async fn instances(&self) -> Result<Vec<InstanceListing>, CloudError> {
        Ok(Vec::new())
    }

    async fn notices(&self) -> Result<Vec<ReclaimNotice>, CloudError> {
        self.polls.fetch_add(1, Ordering::SeqCst);
        Ok(self.notices.lock().unwrap().clone())
    }

    async fn start(&self, _: &StartRequest) -> Result<InstanceName, CloudError> {
        Err(CloudError::Refused("not in this test".to_owned()))
    }

    async fn stop(&self, _: &InstanceName, _: FencingToken) -> Result<(), CloudError> {
        Ok(())
    }
}

/// A running gateway.
pub struct TestGateway {
    pub name: String,
    pub address: SocketAddr,
    pub peer_address: SocketAddr,
    pub clock: Arc<TestClock>,
    pub stop: CancellationToken,
    running: Option<RunningRole>,
}

impl TestGateway {
    /// Aborts the gateway's task, as a crash of its process would.
    pub async fn kill(&mut self) {
        if let Some(running) = self.running.take() {
            running.task.abort();
            let _ = running.task.await;
        }
    }

    /// Waits until the gateway has shut down gracefully.
    pub async fn wait_until_stopped(&mut self) -> anyhow::Result<()> {
        match self.running.take() {
            Some(running) => running.task.await?,
            None => Ok(()),
        }
    }
}

/// The gateways under test, their fakes and their folder.
pub struct Bench {
    pub leader: Arc<FakeLeader>,
    pub upstreams: Arc<FakeUpstreams>,
    pub cloud: Arc<FakeCloud>,
    pub gateways: Vec<TestGateway>,
    pub settings: Settings,
    leader_stop: CancellationToken,
    _folder: TempDir,
}

/// Options that a test sets before the start.
pub struct Options {
    pub gateways: usize,
    pub engines: usize,
    pub slots: u32,
    pub timing: Timing,
    pub limits: Limits,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            gateways: 1,
            engines: 2,
            slots: 64,
            timing: Timing {
                gateway_heartbeat: Duration::from_millis(50),
                load_poll: Duration::from_millis(50),
                cloud_poll: Duration::from_millis(50),
                view_lease: VIEW_LEASE,
                first_byte_timeout: Duration::from_millis(1500),
                token_timeout: Duration::from_millis(300),
                caller_timeout: Duration::from_millis(500),
                shutdown: Duration::from_millis(1500),
                ..Timing::default()
            },
            limits: Limits::default(),
        }
    }
}

impl Bench {
    pub async fn start(options: Options) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let key_file = folder.path().join("key");
        std::fs::write(&key_file, PEER_KEY).unwrap();
        let host = unique_loopback_host();
        let leader = FakeLeader::new(VIEW_LEASE);
        leader.set_instances(instances(options.engines));
        leader.set_intent(&intent(), shares(options.slots));
        let leader_stop = CancellationToken::new();
        let leader_address = serve(&leader, host, leader_stop.clone()).await;
        let settings = Settings {
            name: "".into(),
            role: Role::Gateway,
            zone: "a".into(),
            http_address: SocketAddr::new(host, 0),
            peer_address: SocketAddr::new(host, 0),
            advertised_address: None,
            peer_key_file: key_file,
            controllers: vec![ControllerEntry {
                name: "leader".into(),
                zone: "a".into(),
                peer_address: leader_address,
                http_address: leader_address,
            }],
            seeds: Vec::new(),
            bootstrap: true,
            tolerated_losses: 1,
            ingress: None,
            data_folder: None,
            operator_token_sha256: Some(hash("operator-token")),
            cloud_address: None,
            machine: None,
            limits: options.limits,
            timing: options.timing,
        };
        let mut bench = Self {
            leader,
            upstreams: upstreams::shared(),
            cloud: Arc::default(),
            gateways: Vec::new(),
            settings,
            leader_stop,
            _folder: folder,
        };
        for at in 0..options.gateways {
            bench.add_gateway(at).await;
        }
        bench.wait_until_ready().await;
        bench
    }

    /// Lists an unresponsive controller and a follower before the leader in the settings.
    pub async fn add_other_controllers(&mut self) {
        let host = unique_loopback_host();
        let mute = serve(&Arc::new(SilentController), host, self.leader_stop.clone()).await;
        let follower = serve(&Arc::new(Follower), host, self.leader_stop.clone()).await;
        let leader = self.settings.controllers[0].clone();
        let other = |name: &str, address| ControllerEntry {
            name: name.into(),
            peer_address: address,
            ..leader.clone()
        };
        self.settings.controllers = vec![
            other("mute", mute),
            other("follower", follower),
            leader.clone(),
        ];
    }

    /// Starts the gateway `g<at>` in the availability zone for its number.
    pub async fn add_gateway(&mut self, at: usize) {
        let name = format!("g{at}");
        let settings = Settings {
            name: name.as_str().into(),
            zone: ["a", "b", "c"][at % 3].into(),
            ..self.settings.clone()
        };
        let clock = Arc::new(TestClock::new());
        let ports = Ports {
            upstreams: Arc::new(self.upstreams.seen_by(at)),
            cloud: Some(Arc::clone(&self.cloud)),
            clock: Arc::clone(&clock),
            metrics: Metrics::new().unwrap(),
        };
        let stop = CancellationToken::new();
        let running = gateway::start(Arc::new(settings), ports, stop.clone())
            .await
            .unwrap();
        self.gateways.push(TestGateway {
            name,
            address: running.http_address,
            peer_address: running.peer_address,
            clock,
            stop,
            running: Some(running),
        });
    }

    /// Waits until every gateway accepts work and lists all others.
    pub async fn wait_until_ready(&self) {
        let count = self.gateways.len();
        for gateway in &self.gateways {
            let address = gateway.address;
            eventually("the gateway is ready", || async move {
                let ready = http::Call::get("/readyz").send(address).await;
                let addresses = http::Call::get("/v1/addresses").send(address).await;
                ready.status == 200
                    && addresses.status == 200
                    && addresses.json()["addresses"].as_array().unwrap().len() >= count
            })
            .await;
        }
    }

    /// Starts a gateway that uses instances over HTTP, and returns its address.
    pub async fn start_http_gateway(&self, instances: Vec<InstanceRecord>) -> SocketAddr {
        self.leader.set_instances(instances);
        let settings = Settings {
            name: "http".into(),
            ..self.settings.clone()
        };
        let ports = Ports {
            upstreams: Arc::new(HttpUpstreams::new(&settings.timing)),
            cloud: None::<Arc<FakeCloud>>,
            clock: Arc::new(TestClock::new()),
            metrics: Metrics::new().unwrap(),
        };
        let running = gateway::start(Arc::new(settings), ports, CancellationToken::new())
            .await
            .unwrap();
        let address = running.http_address;
        eventually("the gateway is ready", || async move {
            http::Call::get("/readyz").send(address).await.status == 200
        })
        .await;
        address
    }

    pub fn address(&self, at: usize) -> SocketAddr {
        self.gateways[at].address
    }

    /// Returns the index of the gateway at an address.
    pub fn gateway_index(&self, address: &str) -> usize {
        let address: SocketAddr = address.parse().unwrap();
        let at = self.gateways.iter().position(|g| g.address == address);
        at.expect("the address belongs to a gateway")
    }
}

impl Drop for Bench {
    fn drop(&mut self) {
        self.leader_stop.cancel();
        for gateway in &mut self.gateways {
            if let Some(running) = gateway.running.take() {
                running.task.abort();
            }
        }
    }
}

async fn serve(handler: &Arc<impl Handler>, host: IpAddr, stop: CancellationToken) -> SocketAddr {
    let listener = TcpListener::bind(SocketAddr::new(host, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let own = Identity {
        name: "leader".into(),
        incarnation: Incarnation(1),
    };
    let key = PeerKey::new(PEER_KEY).unwrap();
    let handler = Arc::clone(handler);
    tokio::spawn(link::serve(
        listener,
        key,
        own,
        LinkSettings::default(),
        handler,
        stop,
    ));
    address
}

/// Returns a loopback address that no other test uses.
pub fn unique_loopback_host() -> IpAddr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let [high, low] = NEXT.fetch_add(1, Ordering::SeqCst).to_be_bytes();
    let process = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(
        127,
        process[2] | 64,
        process[3],
        low ^ high.rotate_left(4),
    ))
}

/// Waits until a condition holds, and fails the test if it does not within about 10 s.
pub async fn eventually<F: Future<Output = bool>>(what: &str, condition: impl Fn() -> F) {
    const MAX_CHECKS: u32 = 1000;
    for _ in 0..MAX_CHECKS {
        if condition().await {
            return;
        }
        sleep(Duration::from_millis(10)).await;
    }
    panic!("the condition was not met in time: {what}");
}

pub fn hash(token: &str) -> String {
    let digest = Sha256::digest(token.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn instances(engines: usize) -> Vec<InstanceRecord> {
    let engine = |at: usize| instance(&format!("e{at}"), "chat", ["a", "b", "c"][at % 3], at);
    let depots = [
        instance("d0", "depot", "a", 100),
        instance("d1", "depot", "b", 101),
    ];
    (0..engines).map(engine).chain(depots).collect()
}

pub fn instance(name: &str, service: &str, zone: &str, port: usize) -> InstanceRecord {
    InstanceRecord {
        name: name.to_owned(),
        incarnation: 1,
        service: service.to_owned(),
        zone: zone.to_owned(),
        class: "gpu".to_owned(),
        reclaimable: true,
        address: format!("127.0.0.1:{}", 1000 + port),
        state: 0,
    }
}

/// Returns an instance that is reached over HTTP.
pub fn instance_at(name: &str, service: &str, zone: &str, address: SocketAddr) -> InstanceRecord {
    InstanceRecord {
        address: address.to_string(),
        ..instance(name, service, zone, 0)
    }
}

/// Returns shares of `slots` for each account and service.
pub fn shares(slots: u32) -> Vec<ShareRecord> {
    let share = |service: &str, account: &str| ShareRecord {
        service: service.to_owned(),
        account: account.to_owned(),
        slots,
    };
    ["chat", "depot"]
        .iter()
        .flat_map(|service| ["paying", "other", "free"].map(|account| share(service, account)))
        .collect()
}

pub fn intent() -> String {
    let account = |name: &str, tier: &str| {
        serde_json::json!({
            "name": name, "tier": tier, "token_sha256": hash(&format!("{name}-token")),
        })
    };
    let tier = |name: &str, paying: bool| {
        serde_json::json!({
            "name": name, "paying": paying, "first_token_ms": 2000, "between_tokens_ms": 500,
        })
    };
    let service = |name: &str, kind: serde_json::Value| {
        serde_json::json!({
            "name": name, "kind": kind, "zones": ["a", "b", "c"], "class": "gpu",
            "slots_per_instance": 64, "expected_concurrency": 8,
        })
    };
    let operation = |method: &str, path: &str, idempotent: bool| serde_json::json!({"method": method, "path": path, "idempotent": idempotent});
    let operations = [
        operation("GET", "/piles", true),
        operation("POST", "/releases", false),
    ];
    let zone = |name: &str| serde_json::json!({"name": name, "region": "south"});
    serde_json::json!({
        "zones": [zone("a"), zone("b"), zone("c")],
        "tiers": [tier("gold", true), tier("spare", false)],
        "accounts": [
            account("paying", "gold"), account("other", "gold"), account("free", "spare"),
        ],
        "models": [{"name": "m", "version": "1", "weights_mib": 1}],
        "services": [
            service("chat", serde_json::json!({"engines": {"models": ["m"], "fencing": "checked"}})),
            service("depot", serde_json::json!({"plain": {"operations": operations}})),
        ],
        "prices": [],
    })
    .to_string()
}
