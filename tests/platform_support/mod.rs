//! Controllers and a gateway on the users' platform, with a stand-in for the platform's API and scripted
//! servers, all on loopback.

#![allow(dead_code, reason = "each test file uses only a part")]

pub mod block_controller;
pub mod daemons;
pub mod partition;
pub mod raw;
mod servers;
pub mod slow_link;

use std::{
    collections::HashMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use flamingocroft::{
    RunningRole,
    adapters::{HttpUpstreams, SystemClock, TcpDialer},
    controller, ingress, platform,
    ports::{Dialer, Ports},
    settings::{Settings, SettingsWatch},
    telemetry::Metrics,
};
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use serde_json::{Value, json};
use servers::{serve_platform, serve_upstream};
use slow_link::SlowLink;
use tempfile::TempDir;
use tokio::{
    net::TcpListener,
    sync::watch,
    time::{Instant, sleep, timeout},
};
use tokio_util::sync::CancellationToken;

pub const API_KEY: &str = "key-of-the-depot";
/// Port of all links.
const PEER_PORT: u16 = 7200;
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
pub const PEER_KEY: &str = "a-shared-key-for-the-tests-only";

pub type Body = BoxBody<Bytes, std::io::Error>;

/// What a scripted server does with a request.
pub enum ServerAction {
    /// Sends a complete, signed response.
    Respond(StatusCode, Vec<u8>),
    /// Sends a complete, signed response after a delay.
    RespondAfter(Duration),
    /// Reports that it has not executed the request.
    NotExecuted,
    /// Like [`Self::NotExecuted`], after a delay.
    NotExecutedAfter(Duration),
    /// Like [`Self::NotExecuted`], with further headers.
    NotExecutedWith(Vec<(&'static str, &'static str)>),
    /// Sends a complete, signed response with further headers.
    RespondWith(Vec<(&'static str, &'static str)>),
    /// Sends a complete, signed response that limits the requests per second.
    RespondLimited(f64),
    /// Sends an unsigned response.
    Unsigned,
    /// Sends a signed response with the identifier of another request.
    WrongRequestId,
    /// Closes the connection without a response.
    Reset,
    /// Begins a response and crashes within it: all connections are reset, and new ones for a while.
    Crash,
    /// Never responds.
    Silent,
    /// Streams chunks, then ends properly if `complete`, or else breaks off.
    Stream { chunks: Vec<String>, complete: bool },
    /// Streams chunks and then stalls without an end.
    StallAfter(Vec<String>),
    /// Sends a head after a delay, and never a body.
    HeadAfter(Duration),
    /// Streams chunks with a pause before each, then ends properly.
    Paced(Vec<String>, Duration),
    /// Streams chunks after a delay without a response head, then ends properly.
    StreamAfter(Duration, Vec<String>),
    /// Like [`Self::Paced`], with a pause of its own before each chunk.
    Timed(Vec<(Duration, String)>),
}

/// A request as a server received it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub server: usize,
    pub method: Method,
    pub path: String,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub at: Instant,
}

type Script = dyn Fn(usize, &ReceivedRequest) -> ServerAction + Send + Sync;

/// The requests that all servers received, and the number of those in progress.
#[derive(Default)]
pub struct ServerLog {
    pub requests: Mutex<Vec<ReceivedRequest>>,
    pub in_progress: AtomicUsize,
}

impl ServerLog {
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.requests.lock().unwrap().clone()
    }
}

/// A running installation.
pub struct Installation {
    pub control_address: SocketAddr,
    pub caller_address: SocketAddr,
    pub directory_address: SocketAddr,
    pub ready_address: SocketAddr,
    /// Where a gateway that runs as a process serves its metrics.
    pub gateway_metrics: SocketAddr,
    pub log: Arc<ServerLog>,
    /// The entries of the platform's list of servers.
    pub listed: Arc<Mutex<Vec<Value>>>,
    /// The bytes of the list, in place of the entries.
    pub raw_list: Arc<Mutex<Option<Vec<u8>>>>,
    pub usage: Arc<Mutex<Vec<Value>>>,
    pub stop_gateway: CancellationToken,
    /// The metrics of the controller and of the gateway.
    pub metrics: [Metrics; 2],
    /// The gateway's task, until a test takes it.
    pub gateway: Mutex<Option<RunningRole>>,
    hosts: Vec<Ipv4Addr>,
    api_address: SocketAddr,
    stop: CancellationToken,
    folder: TempDir,
}

impl Drop for Installation {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Returns a loopback address derived from the process and a counter, so that installations do not share ports.
fn unique_host() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let (pid, count) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    Ipv4Addr::new(
        127,
        192 + (pid % 60) as u8,
        (pid / 60 % 256) as u8,
        1 + (count % 250) as u8,
    )
}

/// The stand-ins and settings files of an installation whose processes are not started yet.
pub struct PreparedInstallation {
    pub controller_files: Vec<PathBuf>,
    pub gateway_file: PathBuf,
    hosts: Vec<Ipv4Addr>,
    gateway_host: Ipv4Addr,
    api_address: SocketAddr,
    log: Arc<ServerLog>,
    listed: Arc<Mutex<Vec<Value>>>,
    raw_list: Arc<Mutex<Option<Vec<u8>>>>,
    usage: Arc<Mutex<Vec<Value>>>,
    folder: TempDir,
}

impl PreparedInstallation {
    /// Starts scripted servers of one service and the platform's API that lists them, and writes the settings
    /// of some controllers and one gateway.
    pub async fn prepare(
        controllers: usize,
        servers: usize,
        script: impl Fn(usize, &ReceivedRequest) -> ServerAction + Send + Sync + 'static,
    ) -> Self {
        // All controllers and gateways use the same ports, so each gets a loopback address of its own.
        let hosts: Vec<_> = (0..controllers).map(|_| unique_host()).collect();
        let gateway_host = unique_host();
        let at = |port| SocketAddr::new(IpAddr::V4(hosts[0]), port);
        let log = Arc::new(ServerLog::default());
        let script: Arc<Script> = Arc::new(script);
        let mut listed = Vec::new();
        for server in 0..servers {
            let address =
                serve_upstream(at(0), server, Arc::clone(&script), Arc::clone(&log)).await;
            listed.push(list_entry(&format!("i-{server}"), address));
        }
        // An entry in another format, which describes no server and is to be ignored.
        listed.push(json!({"Id": "i-odd", "Service": 7, "State": "ready"}));
        let listed = Arc::new(Mutex::new(listed));
        let usage = Arc::default();
        let raw_list = Arc::default();
        let lists = (Arc::clone(&listed), Arc::clone(&raw_list));
        let api = serve_platform(at(0), lists.0, lists.1, Arc::clone(&usage)).await;
        let folder = TempDir::new().unwrap();
        std::fs::write(folder.path().join("peer.key"), PEER_KEY).unwrap();
        let write = |host, role| write_settings(folder.path(), host, role, &hosts, api);
        let controller_files = hosts.iter().map(|host| write(*host, "controller"));
        Self {
            controller_files: controller_files.collect(),
            gateway_file: write(gateway_host, "gateway"),
            hosts,
            gateway_host,
            api_address: api,
            log,
            listed,
            raw_list,
            usage,
            folder,
        }
    }

    /// Lets the controllers and the gateway learn the speeds of servers.
    pub fn learn_paces(&self) {
        self.change_settings(|settings| settings["ingress"]["learn_paces"] = json!(true));
    }

    /// Changes the settings of the controllers and of the gateway, none of which runs yet.
    pub fn change_settings(&self, change: impl Fn(&mut Value)) {
        for file in self.controller_files.iter().chain([&self.gateway_file]) {
            edit_settings(file, &change);
        }
    }

    /// Returns the address of the platform's API.
    pub fn api_address(&self) -> SocketAddr {
        self.api_address
    }

    /// Returns the addresses of the controllers' operator interfaces.
    pub fn controls(&self) -> Vec<SocketAddr> {
        self.hosts.iter().copied().map(control_address).collect()
    }

    /// Returns the data folder of a controller.
    pub fn data_folder(&self, controller: usize) -> PathBuf {
        data_folder(self.folder.path(), self.hosts[controller])
    }

    /// Writes the settings of a further controller, which joins through the others. Returns the file, the address of its
    /// operator interface and its data folder.
    pub fn add_controller_file(&self) -> (PathBuf, SocketAddr, PathBuf) {
        let host = unique_host();
        let (folder, hosts) = (self.folder.path(), &self.hosts);
        let file = write_settings(folder, host, "controller", hosts, self.api_address);
        edit_settings(&file, |settings| settings["bootstrap"] = json!(false));
        (file, control_address(host), data_folder(folder, host))
    }

    /// Writes the settings of a further gateway. Returns the file and the address of its machine.
    pub fn add_gateway_file(&self) -> (PathBuf, IpAddr) {
        let host = unique_host();
        let (folder, hosts) = (self.folder.path(), &self.hosts);
        let file = write_settings(folder, host, "gateway", hosts, self.api_address);
        (file, host.into())
    }

    /// Gives the gateway a slow link to the first controller. Call it before the gateway starts.
    pub async fn slow_down_gateway(&self, link: SlowLink) {
        give_slow_link(&self.gateway_file, self.hosts[0], link).await;
    }

    /// Returns the address at which the first controller accepts links.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.hosts[0]), PEER_PORT)
    }

    /// Returns the installation, whose processes the caller starts with the settings files.
    pub fn into_installation(self) -> Installation {
        let gateway_at = |port| SocketAddr::new(IpAddr::V4(self.gateway_host), port);
        let stop = CancellationToken::new();
        Installation {
            control_address: control_address(self.hosts[0]),
            caller_address: gateway_at(7301),
            directory_address: gateway_at(7302),
            ready_address: gateway_at(7303),
            gateway_metrics: gateway_at(9464),
            log: self.log,
            listed: self.listed,
            raw_list: self.raw_list,
            usage: self.usage,
            stop_gateway: stop.child_token(),
            metrics: [(); 2].map(|()| Metrics::new().unwrap()),
            gateway: Mutex::new(None),
            hosts: self.hosts,
            api_address: self.api_address,
            stop,
            folder: self.folder,
        }
    }
}

impl Installation {
    /// Starts an installation of one controller, one gateway and some servers of one service.
    pub async fn start(
        servers: usize,
        script: impl Fn(usize, &ReceivedRequest) -> ServerAction + Send + Sync + 'static,
    ) -> Self {
        Self::start_with(servers, Arc::new(TcpDialer), script).await
    }

    /// Like [`Self::start`], with a gateway that opens its connections to servers with a dialer.
    pub async fn start_with(
        servers: usize,
        dialer: Arc<dyn Dialer>,
        script: impl Fn(usize, &ReceivedRequest) -> ServerAction + Send + Sync + 'static,
    ) -> Self {
        let prepared = PreparedInstallation::prepare(1, servers, script).await;
        Self::start_prepared_with(prepared, dialer).await
    }

    /// Starts the first controller and the gateway of a prepared installation.
    pub async fn start_prepared(prepared: PreparedInstallation) -> Self {
        Self::start_prepared_with(prepared, Arc::new(TcpDialer)).await
    }

    async fn start_prepared_with(prepared: PreparedInstallation, dialer: Arc<dyn Dialer>) -> Self {
        let controller = Arc::new(Settings::read(&prepared.controller_files[0]).unwrap());
        let installation = Self::start_gateway_with(prepared, dialer).await;
        let stop = installation.stop.clone();
        start_controller(controller, &installation.metrics[0], stop).await;
        installation
    }

    /// Starts the gateway of a prepared installation without a controller.
    pub async fn start_gateway_only(prepared: PreparedInstallation) -> Self {
        Self::start_gateway_with(prepared, Arc::new(TcpDialer)).await
    }

    async fn start_gateway_with(prepared: PreparedInstallation, dialer: Arc<dyn Dialer>) -> Self {
        let gateway = Arc::new(Settings::read(&prepared.gateway_file).unwrap());
        let installation = prepared.into_installation();
        let of_gateway = &installation.metrics[1];
        let stop = installation.stop_gateway.clone();
        let end = installation.stop.clone();
        let gateway = start_gateway(gateway, dialer, of_gateway, stop, end).await;
        *installation.gateway.lock().unwrap() = Some(gateway);
        installation
    }

    /// Starts a further gateway and returns its address for callers.
    pub async fn add_gateway(&self) -> SocketAddr {
        let metrics = Metrics::new().unwrap();
        self.add_gateway_with(Arc::new(TcpDialer), &metrics).await
    }

    /// Like [`Self::add_gateway`], for a gateway that opens its connections to servers with a dialer.
    pub async fn add_gateway_with(&self, dialer: Arc<dyn Dialer>, metrics: &Metrics) -> SocketAddr {
        let host = unique_host();
        let (folder, hosts) = (self.folder.path(), &self.hosts);
        let file = write_settings(folder, host, "gateway", hosts, self.api_address);
        let settings = Arc::new(Settings::read(&file).unwrap());
        let (stop, end) = (self.stop_gateway.clone(), self.stop.clone());
        start_gateway(settings, dialer, metrics, stop, end).await;
        SocketAddr::new(IpAddr::V4(host), 7301)
    }

    /// Starts a further gateway behind a slow link to the first controller and returns its metrics.
    pub async fn add_slow_gateway(&self, link: SlowLink) -> Metrics {
        let (folder, hosts, host) = (self.folder.path(), &self.hosts, unique_host());
        let file = write_settings(folder, host, "gateway", hosts, self.api_address);
        give_slow_link(&file, hosts[0], link).await;
        let settings = Arc::new(Settings::read(&file).unwrap());
        let (stop, end) = (self.stop_gateway.clone(), self.stop.clone());
        let metrics = Metrics::new().unwrap();
        start_gateway(settings, Arc::new(TcpDialer), &metrics, stop, end).await;
        metrics
    }

    /// Starts further gateways up to a number, publishes a document and waits until all of them serve requests. Returns
    /// their addresses.
    pub async fn serve_with(&self, gateways: usize) -> Vec<SocketAddr> {
        let mut addresses = vec![self.caller_address];
        for _ in 1..gateways {
            addresses.push(self.add_gateway().await);
        }
        self.publish(&document(1)).await;
        self.wait_until_all_serve(&addresses).await;
        addresses
    }

    /// Waits until all gateways serve requests, after a document was published.
    pub async fn wait_until_all_serve(&self, gateways: &[SocketAddr]) {
        for gateway in gateways {
            wait_until("all gateways serve requests", || async {
                let probe = Self::send_to(*gateway, Method::GET, "/safe/probe", "probe", "");
                probe.await.status == StatusCode::OK
            })
            .await;
        }
        self.log.requests.lock().unwrap().clear();
    }

    /// Publishes a document and waits until the gateway serves requests.
    pub async fn publish(&self, document: &Value) {
        let put = || {
            post(
                self.control_address,
                "/api/config/put",
                document.to_string(),
            )
        };
        wait_until("the document is published", || async {
            put().await.is_some_and(|res| res.status == StatusCode::OK)
        })
        .await;
        self.wait_until_served(document).await;
    }

    /// Waits until the gateway serves requests under the first document that was published.
    pub async fn wait_until_served(&self, document: &Value) {
        wait_until("the gateway is ready", || async {
            let ready = call(self.ready_address, Method::GET, "/api/readiness", &[], "").await;
            ready.is_some_and(|res| res.status == StatusCode::OK)
        })
        .await;
        let probe = document["Routes"][0]["PathPrefix"].as_str().unwrap_or("/");
        wait_until("the gateway knows the servers", || async {
            let res = self.send(Method::GET, probe, "probe", "").await;
            res.status != StatusCode::SERVICE_UNAVAILABLE
        })
        .await;
        self.log.requests.lock().unwrap().clear();
    }

    /// Returns the version of the table in force at a gateway that runs as a process.
    pub async fn table_version(&self) -> u64 {
        let text = call(self.gateway_metrics, Method::GET, "/metrics", &[], "")
            .await
            .unwrap()
            .text();
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix("ingress_table_version "));
        line.unwrap().parse().unwrap()
    }

    /// Sends a request with the API key through the gateway.
    pub async fn send(&self, method: Method, path: &str, id: &str, body: &str) -> Answer {
        Self::send_to(self.caller_address, method, path, id, body).await
    }

    /// Sends a `GET` request with the given headers only through the gateway.
    pub async fn get(&self, path: &str, headers: &[(&str, &str)]) -> Answer {
        call(self.caller_address, Method::GET, path, headers, "")
            .await
            .expect("no response")
    }

    /// Sends a request with the API key through the gateway at an address.
    pub async fn send_to(
        gateway: SocketAddr,
        method: Method,
        path: &str,
        id: &str,
        body: &str,
    ) -> Answer {
        let key = format!("Bearer {API_KEY}");
        let headers = [
            ("host", "depot.example"),
            ("x-flamingocroft-request-id", id),
            ("x-flamingocroft-deadline-ms", "3000"),
            ("authorization", &key),
        ];
        call(gateway, method, path, &headers, body)
            .await
            .expect("no response")
    }
}

/// A response, with its complete body or the error that cut it off.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Result<Bytes, String>,
}

impl Answer {
    pub fn text(&self) -> String {
        let body = self.body.as_ref().expect("incomplete body");
        String::from_utf8(body.to_vec()).unwrap()
    }
}

/// Makes a call; returns `None` if the connection ends before a response.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Answer> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let mut req = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let req = req.body(Full::new(Bytes::from(body.to_owned()))).unwrap();
    let res = timeout(TEST_TIMEOUT, client.request(req))
        .await
        .expect("no response in time")
        .ok()?;
    let (head, body) = res.into_parts();
    let body = timeout(TEST_TIMEOUT, body.collect())
        .await
        .expect("the body did not end");
    Some(Answer {
        status: head.status,
        headers: head.headers,
        body: body.map(|body| body.to_bytes()).map_err(|e| e.to_string()),
    })
}

pub async fn post(address: SocketAddr, path: &str, body: String) -> Option<Answer> {
    call(address, Method::POST, path, &[], &body).await
}

/// Waits until a condition holds; panics with `what` after [`TEST_TIMEOUT`].
pub async fn wait_until<F: Future<Output = bool>>(what: &str, holds: impl Fn() -> F) {
    let waited = timeout(TEST_TIMEOUT, async {
        while !holds().await {
            sleep(Duration::from_millis(20)).await;
        }
    });
    assert!(waited.await.is_ok(), "not in time: {what}");
}

/// Returns a configuration document with one route of each class on one service.
pub fn document(version: u64) -> Value {
    let route = |name: &str, kind: &str, resume: bool| {
        json!({
            "Name": name, "Host": "depot.example", "PathPrefix": format!("/{name}/"), "Kind": kind,
            "TimeoutMs": 3000, "TargetLatencyMs": 300, "Priority": 0, "Service": "app",
            "MaxAttempts": 2, "Public": false, "StreamResume": resume,
        })
    };
    json!({
        "Version": version,
        "Routes": [
            route("safe", "idempotent", false),
            route("once", "non_idempotent", false),
            route("stream", "stream", false),
            route("resumed", "stream", true),
        ],
        "Services": [{"Name": "app", "HealthPath": "/health", "MaxConns": 100}],
        "Limits": {
            "MaxHeaderBytes": 16384, "MaxBodyBytes": 65536,
            "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "depot", "ApiKeys": [API_KEY]}],
    })
}

/// Returns an entry of the platform's list for a server that is ready.
pub fn list_entry(id: &str, address: SocketAddr) -> Value {
    json!({
        "Id": id, "Service": "app", "Address": address.to_string(),
        "Zone": "a", "Version": "v1", "Slots": 4, "State": "ready", "ColdLeftMs": 0,
    })
}

fn control_address(host: Ipv4Addr) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(host), 7201)
}

fn data_folder(folder: &Path, host: Ipv4Addr) -> PathBuf {
    folder.join(format!("data-{host}"))
}

fn write_settings(
    folder: &Path,
    host: Ipv4Addr,
    role: &str,
    controllers: &[Ipv4Addr],
    api: SocketAddr,
) -> PathBuf {
    // As on the users' machines: three controllers are seeds, through which the others join.
    let seeds: Vec<_> = controllers
        .iter()
        .take(3)
        .map(|host| control_address(*host).to_string())
        .collect();
    let first = if role == "controller" { 7200 } else { 7300 };
    let text = json!({
        "name": host.to_string(),
        "role": role,
        "zone": "a",
        "http_address": format!("{host}:{}", first + 9),
        "peer_address": format!("{host}:{PEER_PORT}"),
        "peer_key_file": folder.join("peer.key"),
        "data_folder": data_folder(folder, host),
        "operator_token_sha256": "0".repeat(64),
        "seeds": seeds,
        "tolerated_losses": ((controllers.len() - 1) / 2).max(1),
        "ingress": {
            "address": format!("{host}:{}", first + 1),
            "directory_address": format!("{host}:{}", first + 2),
            "ready_address": format!("{host}:{}", first + 3),
            "platform_address": api.to_string(),
            "metrics_address": format!("{host}:9464"),
            "list_interval_ms": 50,
            "usage_window_ms": 1000,
            "duty_lease_ms": 100,
            "retry_ratio": 1.0,
            "retry_slack": 1000.0,
        },
        "timing": { "shutdown_ms": 3000 },
    });
    let file = folder.join(format!("{role}-{host}.jsonc"));
    std::fs::write(&file, text.to_string()).unwrap();
    file
}

/// Lets a gateway reach the controllers at another port, at which a slow link leads to one of them.
async fn give_slow_link(file: &Path, controller: Ipv4Addr, link: SlowLink) {
    let near = link
        .start(SocketAddr::new(IpAddr::V4(controller), PEER_PORT))
        .await;
    edit_settings(file, |settings| {
        let own = settings["peer_address"].as_str().unwrap();
        let own = SocketAddr::new(own.parse::<SocketAddr>().unwrap().ip(), near.port());
        settings["peer_address"] = json!(own.to_string());
    });
}

/// Changes a settings file.
fn edit_settings(file: &Path, change: impl FnOnce(&mut Value)) {
    let text = std::fs::read_to_string(file).unwrap();
    let mut settings: Value = serde_json::from_str(&text).unwrap();
    change(&mut settings);
    std::fs::write(file, settings.to_string()).unwrap();
}

fn reloaded(settings: &Arc<Settings>) -> SettingsWatch {
    let (tx, rx) = watch::channel(Arc::clone(settings));
    // The settings of a test never change, so the sender only has to stay alive.
    std::mem::forget(tx);
    rx
}

async fn start_controller(settings: Arc<Settings>, metrics: &Metrics, stop: CancellationToken) {
    let ingress = settings.ingress.clone().unwrap();
    let ports = Ports {
        upstreams: Arc::new(HttpUpstreams::new(&settings.timing)),
        cloud: None::<Arc<flamingocroft::adapters::HttpCloud>>,
        clock: Arc::new(SystemClock::new()),
        metrics: metrics.clone(),
    };
    let api = Arc::new(platform::Api::new(
        ingress.platform_address,
        &settings.timing,
    ));
    let reloaded = reloaded(&settings);
    let started = controller::start_publishing(settings, reloaded, ports, api, stop.clone());
    let (_, publisher) = started.await.unwrap();
    let listener = TcpListener::bind(ingress.address).await.unwrap();
    tokio::spawn(platform::serve_control(Arc::new(publisher), listener, stop));
}

async fn start_gateway(
    settings: Arc<Settings>,
    dialer: Arc<dyn Dialer>,
    metrics: &Metrics,
    stop: CancellationToken,
    end: CancellationToken,
) -> RunningRole {
    let ingress = settings.ingress.clone().unwrap();
    let api = Arc::new(platform::Api::new(
        ingress.platform_address,
        &settings.timing,
    ));
    let reloaded = reloaded(&settings);
    let clock = Arc::new(SystemClock::new());
    let started = ingress::start(settings, reloaded, api, clock, dialer, metrics, stop).await;
    let (running, directory) = started.unwrap();
    let ready = TcpListener::bind(ingress.ready_address.unwrap())
        .await
        .unwrap();
    tokio::spawn(platform::serve_ready(directory.clone(), ready, end.clone()));
    let listener = TcpListener::bind(ingress.directory_address.unwrap())
        .await
        .unwrap();
    tokio::spawn(platform::serve_directory(directory, listener, end));
    running
}

/// Returns the number of requests that each server received.
pub fn requests_per_server(requests: &[ReceivedRequest]) -> HashMap<usize, usize> {
    let mut counts = HashMap::new();
    for request in requests {
        *counts.entry(request.server).or_default() += 1;
    }
    counts
}
