// Shared parts of the review's scripts: it starts the project's daemons as separate processes on loopback, with
// settings rendered from the templates in deploy/, and small stand-ins for the platform, the servers and the clients.
// It uses the standard library only.

use std::{
    collections::HashMap,
    fs::{self, File},
    io::{self, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

pub const KEY: &str = "k-review-3f9a1c77e2";
pub const TENANT: &str = "review-tenant";
pub const HOST: &str = "review.example";

const CONTROL_PORT: u16 = 8229;
const FRONT_PORT: u16 = 8221;
const READY_PORT: u16 = 8224;
const DIRECTORY_PORT: u16 = 8226;
const PEER_PORT: u16 = 7600;
const HTTP_PORT: u16 = 7615;
const API_PORT: u16 = 8225;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The file `record.txt`, with the seconds since the start of the script before each line.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Self> {
        let file = File::create(path).expect("the record cannot be created");
        Arc::new(Self {
            file: Mutex::new(file),
            start: Instant::now(),
        })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {}", text.as_ref());
    }

    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }
}

/// A process of the system on an address of its own.
pub struct Node {
    pub ip: Ipv4Addr,
    pub role: &'static str,
    settings: PathBuf,
    output: PathBuf,
    child: Option<Child>,
}

impl Node {
    pub fn front(&self) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(self.ip, FRONT_PORT))
    }

    pub fn directory(&self) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(self.ip, DIRECTORY_PORT))
    }

    pub fn peer(&self) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(self.ip, PEER_PORT))
    }

    pub fn control(&self) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(self.ip, CONTROL_PORT))
    }

    /// Returns the id of the process, if it runs.
    pub fn process(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal by its name; only to the process that this node started.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill")
                .args([&format!("-{name}"), &child.id().to_string()])
                .status();
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|pid| *pid != child.id());
        }
    }

    pub fn has_ended(&mut self) -> bool {
        match &mut self.child {
            Some(child) => !matches!(child.try_wait(), Ok(None)),
            None => true,
        }
    }
}

/// The processes of a small deployment.
pub struct Cluster {
    root: PathBuf,
    folder: PathBuf,
    pub controllers: Vec<Node>,
    pub gateways: Vec<Node>,
    pub api: SocketAddr,
    commands: HashMap<String, String>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for node in self.controllers.iter_mut().chain(&mut self.gateways) {
            node.kill();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// The processes that this script started and that have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the script because the case could not run, and the processes that it started.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    let started = STARTED.lock().map(|s| s.clone()).unwrap_or_default();
    for pid in started {
        let _ = Command::new("kill")
            .args(["-KILL", &pid.to_string()])
            .status();
    }
    std::process::exit(2)
}

/// Sends a signal to a process that this script started.
pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("kill")
        .args([&format!("-{name}"), &pid.to_string()])
        .status();
}

/// Ends the script if it takes too long.
pub fn limit_time(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        cannot_run("it took too long")
    });
}

/// Returns a free loopback network for this run: 127.x.y.0.
fn free_network() -> [u8; 2] {
    let pid = std::process::id();
    for step in 0..200u32 {
        let n = pid.wrapping_mul(7).wrapping_add(step * 13);
        let net = [64 + (n % 120) as u8, (n / 120 % 250) as u8 + 1];
        let ip = Ipv4Addr::new(127, net[0], net[1], 1);
        if TcpListener::bind((ip, CONTROL_PORT)).is_ok()
            && TcpListener::bind((ip, API_PORT)).is_ok()
        {
            return net;
        }
    }
    cannot_run("no free loopback network was found")
}

impl Cluster {
    /// Prepares the settings; nothing is started yet.
    pub fn prepare(controllers: usize, gateways: usize) -> Self {
        Self::prepare_behind(controllers, gateways, PEER_PORT)
    }

    /// Like [`Self::prepare`], but the gateways reach the controllers at another port, where a proxy listens.
    pub fn prepare_behind(controllers: usize, gateways: usize, gateways_peer_port: u16) -> Self {
        let root = PathBuf::from(std::env::var("REVIEW_ROOT").unwrap_or_else(|_| ".".into()));
        let root = fs::canonicalize(root).unwrap();
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let net = free_network();
        let ip = |n: usize| Ipv4Addr::new(127, net[0], net[1], n as u8);
        let api = SocketAddr::V4(SocketAddrV4::new(ip(200), API_PORT));
        let seeds: Vec<Ipv4Addr> = (0..controllers.min(3)).map(|n| ip(10 + n)).collect();
        let node = |role: &'static str, ip: Ipv4Addr| {
            let settings = folder.join(format!("{role}-{ip}.jsonc"));
            let data = folder.join(format!("data-{ip}"));
            let peer_port = if role == "gateway" {
                gateways_peer_port
            } else {
                PEER_PORT
            };
            let text = render(&root, role, ip, &seeds, api, &data, peer_port);
            fs::write(&settings, text).unwrap();
            let output = folder.join(format!("{role}-{ip}.log"));
            Node {
                ip,
                role,
                settings,
                output,
                child: None,
            }
        };
        let controllers = (0..controllers)
            .map(|n| node("controller", ip(10 + n)))
            .collect();
        let gateways = (0..gateways).map(|n| node("gateway", ip(30 + n))).collect();
        let commands = deploy_commands(&root);
        Self {
            root,
            folder,
            controllers,
            gateways,
            api,
            commands,
        }
    }

    /// Starts a process with the command of the deploy file.
    fn start(root: &Path, commands: &HashMap<String, String>, node: &mut Node) {
        let Some(command) = commands.get(node.role) else {
            cannot_run("the deploy file has no such role")
        };
        let mut words = command.split_whitespace();
        let program = root.join(words.next().unwrap_or_default());
        let output = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&node.output)
            .unwrap();
        let child = Command::new(&program)
            .args(words)
            .current_dir(root)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("FLAMINGOCROFT_SETTINGS", &node.settings)
            .stdin(Stdio::null())
            .stdout(output.try_clone().unwrap())
            .stderr(output)
            .spawn();
        match child {
            Ok(child) => {
                STARTED.lock().unwrap().push(child.id());
                node.child = Some(child);
            }
            Err(e) => cannot_run(&format!(
                "{} did not start: {e}; build it first",
                program.display()
            )),
        }
    }

    pub fn start_all(&mut self) {
        for node in self.controllers.iter_mut().chain(&mut self.gateways) {
            Self::start(&self.root, &self.commands, node);
        }
    }

    pub fn start_gateway(&mut self, n: usize) {
        Self::start(&self.root, &self.commands, &mut self.gateways[n]);
    }

    pub fn kill_all(&mut self) {
        for node in self.controllers.iter_mut().chain(&mut self.gateways) {
            node.signal("KILL");
        }
        for node in self.controllers.iter_mut().chain(&mut self.gateways) {
            node.kill();
        }
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        self.controllers.iter().map(Node::control).collect()
    }

    /// Returns a further address of the deployment's network, for a stand-in.
    pub fn address(&self, n: u8, port: u16) -> SocketAddr {
        let SocketAddr::V4(api) = self.api else {
            unreachable!()
        };
        let mut octets = api.ip().octets();
        octets[3] = n;
        SocketAddr::V4(SocketAddrV4::new(octets.into(), port))
    }
}

fn deploy_commands(root: &Path) -> HashMap<String, String> {
    let text = fs::read_to_string(root.join("deploy/system.toml")).unwrap_or_default();
    let mut commands = HashMap::new();
    let mut role = String::new();
    for line in text.lines() {
        if let Some(name) = line.strip_prefix("[roles.") {
            role = name.trim_end_matches(']').to_owned();
        }
        if let Some(command) = line.strip_prefix("run = ") {
            commands.insert(role.clone(), command.trim_matches('"').to_owned());
        }
    }
    commands
}

/// Renders the template of a role as the platform does, with the bounds of woolstead-relay.
fn render(
    root: &Path,
    role: &str,
    ip: Ipv4Addr,
    seeds: &[Ipv4Addr],
    api: SocketAddr,
    data: &Path,
    peer_port: u16,
) -> String {
    let path = root.join(format!("deploy/{role}.jsonc"));
    let text = fs::read_to_string(&path).unwrap_or_else(|_| cannot_run("a template is missing"));
    let seeds: Vec<String> = seeds
        .iter()
        .map(|ip| format!("\"{ip}:{CONTROL_PORT}\""))
        .collect();
    let mut text = text.replace("{{#Seeds}}\"{{.}}\"{{,}}{{/Seeds}}", &seeds.join(","));
    let values: &[(&str, String)] = &[
        ("Ip", ip.to_string()),
        ("Zone", "a".into()),
        ("PortRange.0", peer_port.to_string()),
        ("PortRange.1", HTTP_PORT.to_string()),
        ("DataDir", data.display().to_string()),
        ("Bootstrap", "true".into()),
        ("FaultTolerance.Machines", "1".into()),
        ("Listen.Front", format!("{ip}:{FRONT_PORT}")),
        ("Listen.Ready", format!("{ip}:{READY_PORT}")),
        ("Listen.Directory", format!("{ip}:{DIRECTORY_PORT}")),
        ("Listen.Control", format!("{ip}:{CONTROL_PORT}")),
        ("CloudApi.Address", api.to_string()),
        ("CloudApi.RatePerS", "44.0".into()),
        ("Bounds.UsageWindowS", "5".into()),
        ("Bounds.QuotaWindowS", "8".into()),
        ("Bounds.QuotaOverage", "0.1".into()),
        ("Bounds.QuotaSlack", "110000".into()),
        ("Bounds.RetryBudgetRatio", "0.2".into()),
        ("Bounds.BudgetSlack", "52".into()),
        ("Bounds.BudgetWindowS", "10".into()),
        ("Bounds.LeaseMs", "3000".into()),
        ("Bounds.GraceS", "8".into()),
    ];
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    if let Some(at) = text.find("{{") {
        cannot_run(&format!(
            "a placeholder is unknown: {}",
            &text[at..(at + 40).min(text.len())]
        ));
    }
    text
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The words of the first line.
    pub first: Vec<String>,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn length(&self) -> usize {
        self.header("content-length")
            .and_then(|v| v.trim().parse().ok())
            .unwrap_or(0)
    }

    pub fn status(&self) -> u16 {
        self.first.get(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.first().map_or("", String::as_str)
    }

    pub fn path(&self) -> &str {
        self.first.get(1).map_or("", String::as_str)
    }

    pub fn id(&self) -> &str {
        self.header("x-flamingocroft-request-id").unwrap_or("")
    }
}

/// A connection with a buffer for what was read ahead.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, limit).map(Self::new)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 65536];
        let n = self.stream.read(&mut part)?;
        self.buf.extend_from_slice(&part[..n]);
        Ok(n)
    }

    /// Reads a head; `None` at the end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines
                    .next()
                    .unwrap_or_default()
                    .split(' ')
                    .map(str::to_owned)
                    .collect();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
                    .collect();
                return Ok(Some(Head { first, headers }));
            }
            if self.fill()? == 0 {
                return match self.buf.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    pub fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..length).collect())
    }

    /// Reads a whole body, by its length or in chunks.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let chunked = head
            .header("transfer-encoding")
            .is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
        if !chunked {
            return self.read_exact(head.length());
        }
        let mut body = Vec::new();
        loop {
            let line = loop {
                if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                    let line = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                    self.buf.drain(..end + 2);
                    break line;
                }
                if self.fill()? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            };
            let size =
                usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let part = self.read_exact(size + 2)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&part[..size]);
        }
    }
}

pub struct Answer {
    pub head: Head,
    pub body: Vec<u8>,
}

/// Sends one request on a new connection and reads the whole answer.
pub fn exchange(
    address: SocketAddr,
    head: &str,
    body: &[u8],
    limit: Duration,
) -> io::Result<Answer> {
    let end = Instant::now() + limit;
    let mut conn = Conn::connect(address, limit.min(ms(1000)))?;
    conn.stream.set_read_timeout(Some(limit))?;
    conn.stream.set_write_timeout(Some(limit))?;
    conn.stream.write_all(head.as_bytes())?;
    conn.stream.write_all(body)?;
    let left = end.saturating_duration_since(Instant::now()).max(ms(1));
    conn.stream.set_read_timeout(Some(left))?;
    let Some(head) = conn.read_head()? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let body = conn.read_body(&head)?;
    Ok(Answer { head, body })
}

/// Returns the head of a client's request with an id of its own.
pub fn request_head(method: &str, path: &str, id: &str, deadline_ms: u64, length: usize) -> String {
    request_head_with_key(KEY, method, path, id, deadline_ms, length)
}

pub fn request_head_with_key(
    key: &str,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    length: usize,
) -> String {
    let length = match method {
        "GET" => String::new(),
        _ => format!("Content-Length: {length}\r\n"),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Flamingocroft-Request-Id: {id}\r\n\
         X-Flamingocroft-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\n{length}\r\n"
    )
}

pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!(
        "{:08x}{:08x}",
        std::process::id(),
        NEXT.fetch_add(1, Ordering::Relaxed)
    )
}

// ---------------------------------------------------------------- operator and directory

/// Sends a configuration until it is acknowledged, to any controller, and follows redirects.
pub fn put_config(controls: &[SocketAddr], document: &str, limit: Duration) -> bool {
    let end = Instant::now() + limit;
    let mut n = 0;
    while Instant::now() < end {
        let mut address = controls[n % controls.len()];
        n += 1;
        for _ in 0..3 {
            let head = format!(
                "POST /api/config/put HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\nConnection: close\r\n\r\n",
                document.len()
            );
            let Ok(answer) = exchange(address, &head, document.as_bytes(), ms(1500)) else {
                break;
            };
            match answer.head.status() {
                200 => return true,
                307 => match redirect(&answer.head) {
                    Some(next) => address = next,
                    None => break,
                },
                400 => cannot_run("the configuration was refused as invalid"),
                _ => break,
            }
        }
        thread::sleep(ms(50));
    }
    false
}

fn redirect(head: &Head) -> Option<SocketAddr> {
    let place = head.header("location")?.strip_prefix("http://")?;
    place.split('/').next()?.parse().ok()
}

/// Asks a directory for addresses, as clients do; returns them and how long they may be kept.
pub fn resolve(directory: SocketAddr) -> Option<(Vec<SocketAddr>, Duration)> {
    let head = format!(
        "GET /api/resolve?Name={HOST}&Region=r&Zone=a HTTP/1.1\r\nHost: {directory}\r\nConnection: close\r\n\r\n"
    );
    let answer = exchange(directory, &head, b"", ms(1000)).ok()?;
    if answer.head.status() != 200 {
        return None;
    }
    let text = String::from_utf8(answer.body).ok()?;
    let list = text.split("\"Addresses\":[").nth(1)?.split(']').next()?;
    let addresses = list
        .split(',')
        .filter_map(|a| a.trim_matches('"').parse().ok())
        .collect();
    let ttl = text.split("\"TtlS\":").nth(1)?;
    let ttl: f64 = ttl.trim_end_matches('}').parse().ok()?;
    Some((addresses, Duration::from_secs_f64(ttl.min(5.0))))
}

/// One route of a configuration document.
pub struct RouteSpec {
    pub name: &'static str,
    pub kind: &'static str,
    pub timeout_ms: u64,
    pub attempts: u32,
    pub resume: bool,
    pub service: &'static str,
}

pub fn document(version: u64, routes: &[RouteSpec], services: &[&str]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|r| {
            format!(
                "{{\"Name\":\"r-{0}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"/{0}/\",\"Kind\":\"{1}\",\"TimeoutMs\":{2},\
                 \"TargetLatencyMs\":300,\"Priority\":1,\"Service\":\"{3}\",\"MaxAttempts\":{4},\"Public\":false,\
                 \"StickySession\":false,\"StreamResume\":{5},\"TargetGapMs\":300}}",
                r.name, r.kind, r.timeout_ms, r.service, r.attempts, r.resume
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|s| format!("{{\"Name\":\"{s}\",\"HealthPath\":\"/health\",\"MaxConns\":96,\"Protocol\":\"h1\",\"Tls\":false}}"))
        .collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"{TENANT}\",\
         \"ApiKeys\":[\"{KEY}\"],\"Priority\":1,\"Unit\":\"tokens\",\"PlainTokens\":200,\"RatePerS\":0,\"Burst\":0}}]}}",
        routes.join(","),
        services.join(",")
    )
}

// ---------------------------------------------------------------- links

/// The time at which the next byte of one direction of a machine's link may pass.
pub struct Link {
    bytes_per_second: f64,
    free_at: Mutex<Instant>,
}

impl Link {
    pub fn new(mbit_per_second: f64) -> Arc<Self> {
        Arc::new(Self {
            bytes_per_second: mbit_per_second * 1e6 / 8.0,
            free_at: Mutex::new(Instant::now()),
        })
    }

    fn pass(&self, bytes: usize) {
        let until = {
            let mut free_at = self.free_at.lock().unwrap();
            let begin = (*free_at).max(Instant::now());
            *free_at = begin + Duration::from_secs_f64(bytes as f64 / self.bytes_per_second);
            *free_at
        };
        thread::sleep(until.saturating_duration_since(Instant::now()));
    }
}

/// Passes connections on to an address, over a link of limited bandwidth in each direction.
pub fn serve_link(listen: SocketAddr, to: SocketAddr, up: Arc<Link>, down: Arc<Link>) {
    let listener =
        TcpListener::bind(listen).unwrap_or_else(|e| cannot_run(&format!("{listen}: {e}")));
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect_timeout(&to, ms(500)) else {
                continue;
            };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else {
                continue;
            };
            let (up, down) = (Arc::clone(&up), Arc::clone(&down));
            thread::spawn(move || pass_on(near, far, &up));
            thread::spawn(move || pass_on(far_copy, near_copy, &down));
        }
    });
}

fn pass_on(mut from: TcpStream, mut to: TcpStream, link: &Link) {
    let mut part = [0; 8192];
    while let Ok(n) = from.read(&mut part) {
        if n == 0 {
            break;
        }
        link.pass(n);
        if to.write_all(&part[..n]).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}

// ---------------------------------------------------------------- platform

#[derive(Clone)]
pub struct Listed {
    pub zone: &'static str,
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub state: &'static str,
}

#[derive(Default)]
pub struct ListState {
    pub entries: Vec<Listed>,
    /// Raw bytes of an entry of another writer, if there is one.
    pub foreign: Option<Vec<u8>>,
    /// When an answer first showed a server as draining, by its id.
    pub shown_draining: HashMap<String, Instant>,
    pub reads: u64,
    pub calls: Vec<DutyCall>,
}

/// Serves the platform's API.
pub fn serve_platform(address: SocketAddr, state: Arc<Mutex<ListState>>) {
    serve_platform_with(address, state, |_| {});
}

/// A call that only the holder of a duty may make.
#[derive(Clone)]
pub struct DutyCall {
    pub at: Instant,
    pub path: String,
    pub holder: String,
    pub token: u64,
    pub body: String,
}

/// Like [`serve_platform`]; `on_call` gets each call of a duty before it is answered.
pub fn serve_platform_with(
    address: SocketAddr,
    state: Arc<Mutex<ListState>>,
    on_call: impl Fn(&DutyCall) + Send + Sync + 'static,
) {
    let on_call = Arc::new(on_call);
    let listener =
        TcpListener::bind(address).unwrap_or_else(|e| cannot_run(&format!("{address}: {e}")));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (state, on_call) = (Arc::clone(&state), Arc::clone(&on_call));
            thread::spawn(move || {
                let mut conn = Conn::new(stream);
                while let Ok(Some(head)) = conn.read_head() {
                    let Ok(body) = conn.read_body(&head) else {
                        return;
                    };
                    let answer = match head.path().starts_with("/instances") {
                        true => list_body(&mut state.lock().unwrap()),
                        false => {
                            let text = |name| head.header(name).unwrap_or("").to_owned();
                            let call = DutyCall {
                                at: Instant::now(),
                                path: head.path().to_owned(),
                                holder: text("x-flamingocroft-duty-holder"),
                                token: text("x-flamingocroft-fencing-token").parse().unwrap_or(0),
                                body: String::from_utf8_lossy(&body).into_owned(),
                            };
                            state.lock().unwrap().calls.push(call.clone());
                            on_call(&call);
                            b"{}".to_vec()
                        }
                    };
                    let head = format!(
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                        answer.len()
                    );
                    let sent = conn.stream.write_all(head.as_bytes());
                    if sent.and_then(|()| conn.stream.write_all(&answer)).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

fn list_body(state: &mut ListState) -> Vec<u8> {
    state.reads += 1;
    let mut parts: Vec<Vec<u8>> = Vec::new();
    for entry in &state.entries {
        if entry.state == "draining" {
            state
                .shown_draining
                .entry(entry.id.clone())
                .or_insert_with(Instant::now);
        }
        parts.push(
            format!(
                "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":32,\"State\":\"{}\",\
                 \"ColdLeftMs\":0,\"Id\":\"{}\"}}",
                entry.service, entry.address, entry.zone, entry.state, entry.id
            )
            .into_bytes(),
        );
    }
    parts.extend(state.foreign.clone());
    let mut body = b"{\"Instances\":[".to_vec();
    body.extend(parts.join(&b','));
    body.extend(b"],\"Next\":null}");
    body
}

// ---------------------------------------------------------------- servers

/// A server of a service. Each request that it runs is passed to a function that answers it.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub ended: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

impl Server {
    /// Starts a server. `run` gets each request whose `X-Flamingocroft-Expect-Instance` is this server's id, with its
    /// body unread, and returns whether the connection stays open.
    pub fn start(
        id: &str,
        address: SocketAddr,
        run: impl Fn(&Server, &mut Conn, &Head) -> bool + Send + Sync + 'static,
    ) -> Arc<Self> {
        let listener =
            TcpListener::bind(address).unwrap_or_else(|e| cannot_run(&format!("{address}: {e}")));
        let server = Arc::new(Self {
            id: id.to_owned(),
            address,
            ended: AtomicBool::new(false),
            streams: Mutex::default(),
        });
        let (shared, run) = (Arc::clone(&server), Arc::new(run));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared.ended.load(Ordering::SeqCst) {
                    return;
                }
                shared.streams.lock().unwrap().extend(stream.try_clone());
                let (server, run) = (Arc::clone(&shared), Arc::clone(&run));
                thread::spawn(move || server.serve(Conn::new(stream), &*run));
            }
        });
        server
    }

    fn serve(&self, mut conn: Conn, run: &(impl Fn(&Server, &mut Conn, &Head) -> bool + ?Sized)) {
        while let Ok(Some(head)) = conn.read_head() {
            let expected = head
                .header("x-flamingocroft-expect-instance")
                .unwrap_or(&self.id);
            if expected != self.id {
                let answer = b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
                if conn.read_body(&head).is_err() || conn.stream.write_all(answer).is_err() {
                    return;
                }
                continue;
            }
            if !run(self, &mut conn, &head) {
                return;
            }
        }
    }

    /// Ends the server: it takes no connection more, and the open ones are closed.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect_timeout(&self.address, ms(200));
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Returns the head of a complete answer with the server's signature.
    pub fn answer_head(&self, request: &Head, status: &str, length: usize) -> String {
        format!(
            "HTTP/1.1 {status}\r\nX-Flamingocroft-Request-Id: {}\r\nX-Flamingocroft-Response-Seal: {}.{}\r\n\
             X-Flamingocroft-Server-Load: 1,0,32\r\nContent-Type: text/plain\r\nContent-Length: {length}\r\n\r\n",
            request.id(),
            self.id,
            request.id()
        )
    }
}

/// Sends a request until one is answered with 200 by every gateway; the deployment is then ready.
pub fn wait_until_served(fronts: &[SocketAddr], path: &str, limit: Duration) -> bool {
    let end = Instant::now() + limit;
    let mut left: Vec<SocketAddr> = fronts.to_vec();
    while !left.is_empty() {
        if Instant::now() >= end {
            return false;
        }
        left.retain(|front| {
            let head = request_head("GET", path, &new_id(), 800, 0);
            !exchange(*front, &head, b"", ms(1000)).is_ok_and(|a| a.head.status() == 200)
        });
        thread::sleep(ms(50));
    }
    true
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}
