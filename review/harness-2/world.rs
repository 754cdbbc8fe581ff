//! The processes of a small deployment, their settings, and the operator.

use std::{
    cell::RefCell,
    collections::HashMap,
    fs::{self, File},
    io::{self, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread::sleep,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::http::{self, Message};

/// What was sent, answered and run, with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            started: Instant::now(),
        })
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.started.elapsed().as_secs_f64());
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// The ports of all machines.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub control: u16,
    pub front: u16,
    pub ready: u16,
    pub directory: u16,
    pub cloud: u16,
    pub range: u16,
}

/// A machine and its process.
pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: &'static str,
    pub role: &'static str,
    pub data: PathBuf,
    child: Option<Child>,
}

/// A small deployment: the figures are those of sabkha-ops.
pub struct World {
    pub record: Record,
    pub folder: PathBuf,
    pub ports: Ports,
    subnet: [u8; 2],
    pub machines: Vec<Machine>,
    /// The last answer of each node to the operator.
    last: RefCell<HashMap<usize, String>>,
}

impl World {
    /// Takes free loopback addresses and ports.
    pub fn new(record: &Record) -> Result<Self, String> {
        let nanos = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let draw = nanos.subsec_nanos() ^ std::process::id().wrapping_mul(2_654_435_761);
        let folder = std::env::temp_dir().join(format!("review2-{}-{draw}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|e| format!("no temporary folder: {e}"))?;
        let subnet = [(20 + draw % 200) as u8, (draw >> 9) as u8];
        let ip = Ipv4Addr::new(127, subnet[0], subnet[1], 1);
        let base = (0..50).find_map(|at| {
            let base = 21_000 + ((draw >> 3) % 9_000) as u16 + at * 20;
            let free = (0..12).all(|port| TcpListener::bind((ip, base + port)).is_ok());
            free.then_some(base)
        });
        let base = base.ok_or("no free ports")?;
        Ok(Self {
            record: record.clone(),
            folder,
            subnet,
            ports: Ports {
                control: base,
                front: base + 1,
                ready: base + 2,
                directory: base + 3,
                cloud: base + 4,
                range: base + 5,
            },
            machines: Vec::new(),
            last: RefCell::default(),
        })
    }

    pub fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.subnet[0], self.subnet[1], last)
    }

    pub fn cloud(&self) -> SocketAddr {
        SocketAddr::from((self.ip(200), self.ports.cloud))
    }

    /// Adds a machine, whose process is not started.
    pub fn add(&mut self, role: &'static str, zone: &'static str, last: u8) -> usize {
        let ip = self.ip(last);
        let name = format!("{role}-{zone}-{last}");
        let data = self.folder.join(format!("data-{name}"));
        self.machines.push(Machine {
            name,
            ip,
            zone,
            role,
            data,
            child: None,
        });
        self.machines.len() - 1
    }

    pub fn control(&self, machine: usize) -> SocketAddr {
        SocketAddr::from((self.machines[machine].ip, self.ports.control))
    }

    pub fn front(&self, machine: usize) -> SocketAddr {
        SocketAddr::from((self.machines[machine].ip, self.ports.front))
    }

    /// Starts the process of a machine with the command of the deploy file; `seeds` are machines that serve control.
    pub fn start(
        &mut self,
        machine: usize,
        seeds: &[usize],
        bootstrap: bool,
    ) -> Result<(), String> {
        let seeds: Vec<String> = seeds
            .iter()
            .map(|seed| self.control(*seed).to_string())
            .collect();
        let settings = self.render(machine, &seeds, bootstrap)?;
        let held = &self.machines[machine];
        fs::create_dir_all(&held.data).map_err(|e| e.to_string())?;
        let path = self.folder.join(format!("{}.jsonc", held.name));
        fs::write(&path, settings).map_err(|e| e.to_string())?;
        let log = self.folder.join(format!("{}.log", held.name));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        let child = Command::new("target/release/flamingocroftd")
            .env_clear()
            .env("FLAMINGOCROFT_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(errors))
            .spawn()
            .map_err(|e| format!("flamingocroftd does not start: {e}"))?;
        self.note_machine(
            machine,
            &format!("starts, bootstrap {bootstrap}, seeds {seeds:?}"),
        );
        self.machines[machine].child = Some(child);
        Ok(())
    }

    pub fn note_machine(&self, machine: usize, text: &str) {
        let held = &self.machines[machine];
        self.record
            .note(&format!("machine {} ({}) {text}", held.name, held.ip));
    }

    /// Fills the template of the deploy file with the fields of a small deployment.
    fn render(&self, machine: usize, seeds: &[String], bootstrap: bool) -> Result<String, String> {
        let held = &self.machines[machine];
        let path = format!("deploy/{}.jsonc", held.role);
        let mut text = fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
        let section = "{{#Seeds}}\"{{.}}\"{{,}}{{/Seeds}}";
        let list: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        text = text.replace(section, &list.join(","));
        if let (Some(begin), Some(end)) = (
            text.find("{{#Bounds.ExposureShare}}"),
            text.find("{{/Bounds.ExposureShare}}"),
        ) {
            text.replace_range(begin..end + "{{/Bounds.ExposureShare}}".len(), "");
        }
        let is_core = held.role == "controller";
        let (ip, ports) = (held.ip, self.ports);
        let fields: Vec<(&str, String)> = vec![
            ("Ip", ip.to_string()),
            ("Zone", held.zone.to_owned()),
            ("PortRange.0", ports.range.to_string()),
            ("PortRange.1", (ports.range + 1).to_string()),
            ("DataDir", held.data.display().to_string()),
            ("Bootstrap", bootstrap.to_string()),
            ("FaultTolerance.Machines", "1".to_owned()),
            ("Listen.Control", format!("{ip}:{}", ports.control)),
            ("Listen.Front", format!("{ip}:{}", ports.front)),
            ("Listen.Ready", format!("{ip}:{}", ports.ready)),
            ("Listen.Directory", format!("{ip}:{}", ports.directory)),
            ("CloudApi.Address", self.cloud().to_string()),
            ("CloudApi.RatePerS", "44.0".to_owned()),
            ("Bounds.UsageWindowS", "5".to_owned()),
            ("Bounds.QuotaWindowS", "8".to_owned()),
            ("Bounds.QuotaOverage", "0.1".to_owned()),
            ("Bounds.QuotaSlack", "110000".to_owned()),
            ("Bounds.RetryBudgetRatio", "0.2".to_owned()),
            ("Bounds.BudgetSlack", "56".to_owned()),
            ("Bounds.BudgetWindowS", "10".to_owned()),
            ("Bounds.LeaseMs", "3000".to_owned()),
            ("Bounds.GraceS", "8".to_owned()),
            (
                "Limits.MemoryMb",
                if is_core { "256" } else { "260" }.to_owned(),
            ),
            (
                "Limits.CpuShare",
                if is_core { "0.15" } else { "0.25" }.to_owned(),
            ),
            (
                "Limits.MaxFds",
                if is_core { "4096" } else { "4100" }.to_owned(),
            ),
            ("Limits.LinkMbps", "1000.0".to_owned()),
        ];
        for (name, value) in fields {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        match text.contains("{{") {
            true => Err(format!(
                "{path} has a field that this script does not know:\n{text}"
            )),
            false => Ok(text),
        }
    }

    fn pid(&self, machine: usize) -> Option<u32> {
        self.machines[machine].child.as_ref().map(Child::id)
    }

    /// Sends a signal to the process of a machine.
    pub fn signal(&self, machine: usize, signal: &str) {
        if let Some(pid) = self.pid(machine) {
            self.note_machine(machine, &format!("gets SIG{signal}"));
            let command = format!("kill -{signal} {pid}");
            let kill = Command::new("sh").arg("-c").arg(command).status();
            if kill.is_err() {
                self.record.note("kill cannot be run");
            }
        }
    }

    /// Ends the process of a machine at once.
    pub fn kill(&mut self, machine: usize) {
        if let Some(mut child) = self.machines[machine].child.take() {
            self.note_machine(machine, "gets SIGKILL");
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the process of a machine has ended by itself; after `grace` it gets SIGKILL.
    pub fn wait_end(&mut self, machine: usize, grace: Duration) {
        let until = Instant::now() + grace;
        while Instant::now() < until {
            let ended = match &mut self.machines[machine].child {
                Some(child) => child.try_wait().ok().flatten(),
                None => return,
            };
            if let Some(status) = ended {
                self.machines[machine].child = None;
                self.note_machine(machine, &format!("has ended: {status}"));
                return;
            }
            sleep(Duration::from_millis(5));
        }
        self.kill(machine);
    }

    /// Empties the disk of a machine whose process does not run.
    pub fn wipe(&self, machine: usize) {
        let _ = fs::remove_dir_all(&self.machines[machine].data);
        self.note_machine(machine, "has lost its disk");
    }

    /// Sends a configuration as the operator does: to one of the nodes, following redirects, and again to the next one
    /// after a failure, until `deadline`. Returns the node that acknowledged it.
    pub fn put(&self, nodes: &[usize], document: &str, deadline: Duration) -> Option<SocketAddr> {
        let until = Instant::now() + deadline;
        for turn in 0.. {
            let node = nodes[turn % nodes.len()];
            let (answer, from) = self.operator_call(node, "POST", "/api/config/put", document);
            self.note_answer(node, &format!("put at {from}: {}", describe(&answer)));
            if answer.as_ref().is_ok_and(|res| res.status() == 200) {
                return Some(from);
            }
            if Instant::now() >= until {
                return None;
            }
            sleep(Duration::from_millis(100));
        }
        None
    }

    /// Notes an answer to the operator, unless the node answered the same before.
    pub fn note_answer(&self, node: usize, text: &str) {
        let mut last = self.last.borrow_mut();
        if last.get(&node).is_none_or(|known| known != text) {
            self.record.note(&format!("operator: {text}"));
            last.insert(node, text.to_owned());
        }
    }

    /// Reads the configuration back at one node.
    pub fn get(&self, node: usize) -> (io::Result<Message>, SocketAddr) {
        self.operator_call(node, "GET", "/api/config/get", "")
    }

    fn operator_call(
        &self,
        node: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> (io::Result<Message>, SocketAddr) {
        let mut address = self.control(node);
        let mut path = path.to_owned();
        let mut answer = Err(io::ErrorKind::Other.into());
        for _ in 0..3 {
            let headers = [("Content-Type", "application/json".to_owned())];
            let timeout = Duration::from_secs(1);
            answer = http::call(address, method, &path, &headers, body.as_bytes(), timeout);
            let Ok(res) = &answer else { break };
            let place = res
                .header("location")
                .and_then(|place| place.strip_prefix("http://"));
            let Some((host, rest)) = place.and_then(|place| place.split_once('/')) else {
                break;
            };
            if res.status() != 307 {
                break;
            }
            let Ok(next) = host.parse() else { break };
            address = next;
            path = format!("/{rest}");
        }
        (answer, address)
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for machine in 0..self.machines.len() {
            if let Some(mut child) = self.machines[machine].child.take() {
                // A stopped process ends as well.
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Describes an answer to the operator.
pub fn describe(answer: &io::Result<Message>) -> String {
    match answer {
        Ok(res) => {
            let body = String::from_utf8_lossy(&res.body);
            let body: String = body.chars().take(120).collect();
            format!("{} {body}", res.status())
        }
        Err(e) => format!("no answer ({e})"),
    }
}
