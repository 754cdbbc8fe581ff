//! All processes of an installation are replaced one by one, under load.
//!
//! Without more, the program is replaced by itself. By hand, `EARLIER_DAEMON` names the program of an earlier commit; see
//! docs/DEVELOPING.md.

mod platform_support;

use std::{
    collections::HashMap,
    fs::File,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use hyper::{Method, StatusCode};
use platform_support::{
    API_KEY, PreparedInstallation, ReceivedRequest, ServerAction, TEST_TIMEOUT, call,
    daemons::{
        Daemon, call_any, call_following_redirect, current_program, earlier_program, version_of,
    },
    document, wait_until,
};
use rand::seq::IndexedRandom;
use serde_json::{Value, json};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

const CONTROLLERS: usize = 3;
const GATEWAYS: usize = 2;
const CALLERS: u32 = 8;
const EVENTS: u64 = 8;
/// The `ConfigApplyMs` of the smallest deployments.
const CONFIG_APPLY: Duration = Duration::from_millis(2000);
/// The `ContactMs` and `CatchUpS` of the smallest deployments.
const CONTACT: Duration = Duration::from_millis(3000);
const CATCH_UP: Duration = Duration::from_secs(4);
const FREEZE: Duration = Duration::from_millis(1500);
/// Pause of a caller between two requests, which leaves the processor to the processes.
const THINK_TIME: Duration = Duration::from_millis(50);
/// How often callers ask for addresses.
const REFRESH: Duration = Duration::from_millis(500);
const LATER_KEY: &str = "key-that-is-taken-away";

fn events(after: u64) -> Vec<String> {
    let ids = after + 1..=EVENTS;
    ids.map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
        .collect()
}

fn serve(_: usize, seen: &ReceivedRequest) -> ServerAction {
    if !seen.path.starts_with("/resumed/") {
        return ServerAction::RespondAfter(Duration::from_millis(20));
    }
    let after = seen.headers.get("last-event-id");
    let after = after.map_or(0, |id| id.to_str().unwrap().parse().unwrap());
    ServerAction::Paced(events(after), Duration::from_millis(40))
}

/// Returns a document with a second key, if it is not taken away, and some further routes.
fn table(version: u64, has_later_key: bool, more_routes: usize) -> Value {
    let mut table = document(version);
    if has_later_key {
        let keys = &mut table["Tenants"][0]["ApiKeys"];
        keys.as_array_mut().unwrap().push(json!(LATER_KEY));
    }
    let routes = table["Routes"].as_array_mut().unwrap();
    for n in 0..more_routes {
        let mut route = routes[0].clone();
        route["Name"] = json!(format!("more-{n}"));
        route["PathPrefix"] = json!(format!("/more-{n}/"));
        routes.push(route);
    }
    table
}

/// A process and how to see that it works again.
struct Place {
    daemon: Daemon,
    program: PathBuf,
    settings: PathBuf,
    role: Role,
}

/// What befalls the controllers while two builds run.
#[derive(Clone, Copy)]
enum Trouble {
    None,
    /// Each is killed and starts again.
    Kills,
    /// One loses its disk.
    LostDisk,
    /// Each stands still for a while, so the leader does too.
    Freezes,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Role {
    Controller(SocketAddr),
    Gateway(IpAddr),
}

impl Place {
    fn start(program: &Path, settings: PathBuf, role: Role) -> Self {
        Self {
            daemon: start_logged(program, &settings),
            program: program.into(),
            settings,
            role,
        }
    }

    /// Starts the same program again after it was killed.
    async fn restart(&mut self) {
        self.daemon = start_logged(&self.program, &self.settings);
        self.wait_until_it_works().await;
    }

    /// Stops the process as an operator would, and starts another program in its place.
    async fn replace(&mut self, program: &Path) {
        self.daemon.terminate();
        let begun = Instant::now();
        while !self.daemon.has_ended_well() {
            assert!(begun.elapsed() < TEST_TIMEOUT, "a process does not end");
            sleep(Duration::from_millis(20)).await;
        }
        self.program = program.into();
        self.restart().await;
    }

    async fn wait_until_it_works(&self) {
        match self.role {
            Role::Controller(control) => {
                wait_until("a controller answers", || async {
                    let read = call_following_redirect(control, Method::GET, "/api/config/get", "");
                    read.await.is_some_and(|res| res.status.is_success())
                })
                .await;
            }
            Role::Gateway(host) => {
                wait_until("a gateway serves", || async {
                    let answer = send(SocketAddr::new(host, 7301), "/safe/x", "probe", API_KEY);
                    answer.await == Outcome::Whole
                })
                .await;
            }
        }
    }
}

/// Starts a process whose log is appended to a file beside its settings, or in the folder `UPGRADE_LOGS` if that is set.
fn start_logged(program: &Path, settings: &Path) -> Daemon {
    let folder = std::env::var_os("UPGRADE_LOGS");
    let folder = folder.map_or_else(|| settings.parent().unwrap().into(), PathBuf::from);
    let file = folder.join(settings.with_extension("log").file_name().unwrap());
    let log = File::options()
        .create(true)
        .append(true)
        .open(file)
        .unwrap();
    Daemon::start_program(program, settings, "info", log)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Outcome {
    Whole,
    /// Not run, and the caller is told so.
    Refused,
    /// A valid key or route was not known.
    Denied,
    /// Cut off, without an answer, or failed.
    Lost,
}

async fn send(gateway: SocketAddr, path: &str, id: &str, key: &str) -> Outcome {
    let key = format!("Bearer {key}");
    let headers = [
        ("host", "depot.example"),
        ("x-flamingocroft-request-id", id),
        ("x-flamingocroft-deadline-ms", "3000"),
        ("authorization", &key),
    ];
    let answer = call(gateway, Method::POST, path, &headers, "prompt").await;
    let Some(answer) = answer else {
        return Outcome::Lost;
    };
    match (answer.status, &answer.body) {
        (StatusCode::OK, Ok(body)) => {
            let is_whole =
                !path.starts_with("/resumed/") || **body == *events(0).concat().as_bytes();
            if is_whole {
                Outcome::Whole
            } else {
                Outcome::Lost
            }
        }
        (StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS, Ok(_)) => {
            Outcome::Refused
        }
        (StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN | StatusCode::NOT_FOUND, Ok(_)) => {
            Outcome::Denied
        }
        _ => Outcome::Lost,
    }
}

/// Asks the gateways' directories for addresses, one after the other.
async fn resolve(hosts: &[IpAddr]) -> Option<Vec<SocketAddr>> {
    for host in hosts {
        let directory = SocketAddr::new(*host, 7302);
        let path = "/api/resolve?Name=depot.example&Region=&Zone=a";
        let answer = call(directory, Method::GET, path, &[], "").await;
        let Some(body) = answer.and_then(|res| res.body.ok()) else {
            continue;
        };
        let found: Value = serde_json::from_slice(&body).unwrap_or_default();
        let all = found["Addresses"].as_array().into_iter().flatten();
        let all: Vec<SocketAddr> = all
            .map(|address| address.as_str().unwrap().parse().unwrap())
            .collect();
        if !all.is_empty() {
            return Some(all);
        }
    }
    None
}

/// What callers saw until now.
#[derive(Default)]
struct Load {
    ended: AtomicBool,
    next: AtomicU32,
    outcomes: Mutex<HashMap<(&'static str, Outcome), u32>>,
}

impl Load {
    async fn run(self: Arc<Self>, hosts: Vec<IpAddr>) {
        let (mut known, mut asked) = (Vec::new(), None::<Instant>);
        while !self.ended.load(Ordering::Relaxed) {
            sleep(THINK_TIME).await;
            if asked.is_none_or(|at| at.elapsed() >= REFRESH) {
                asked = Some(Instant::now());
                known = resolve(&hosts).await.unwrap_or(known);
            }
            let Some(gateway) = known.choose(&mut rand::rng()) else {
                continue;
            };
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            let path = ["/once/x", "/resumed/x", "/safe/x"][number as usize % 3];
            let outcome = send(*gateway, path, &format!("r{number}"), API_KEY).await;
            *self
                .outcomes
                .lock()
                .unwrap()
                .entry((path, outcome))
                .or_default() += 1;
        }
    }

    fn count(&self, outcome: Outcome) -> u32 {
        let outcomes = self.outcomes.lock().unwrap();
        let found = outcomes.iter().filter(|((_, seen), _)| *seen == outcome);
        found.map(|(_, count)| count).sum()
    }
}

impl Trouble {
    /// Brings the trouble about and waits until the controllers could bear the next one.
    async fn strike(self, controllers: &mut [Place], folders: &[PathBuf]) {
        match self {
            Self::None => {}
            Self::Kills => {
                for place in controllers {
                    place.daemon.kill();
                    place.restart().await;
                    sleep(CONTACT).await;
                }
            }
            Self::LostDisk => {
                let last = controllers.last_mut().unwrap();
                last.daemon.kill();
                std::fs::remove_dir_all(folders.last().unwrap()).unwrap();
                last.restart().await;
                sleep(CATCH_UP).await;
            }
            Self::Freezes => {
                for place in controllers {
                    place.daemon.suspend();
                    sleep(FREEZE).await;
                    place.daemon.resume();
                    sleep(CONTACT).await;
                }
            }
        }
    }
}

/// Replaces all processes in an order of their indices. While the first ones are replaced, a trouble strikes the controllers,
/// and later the table changes.
async fn roll(from: &Path, to: &Path, order: impl Fn(usize) -> usize, trouble: Trouble) {
    let prepared = PreparedInstallation::prepare(CONTROLLERS, 3, serve).await;
    let controls = prepared.controls();
    let folders: Vec<PathBuf> = (0..CONTROLLERS)
        .map(|one| prepared.data_folder(one))
        .collect();
    let mut places: Vec<Place> = prepared
        .controller_files
        .iter()
        .zip(&controls)
        .map(|(file, control)| Place::start(from, file.clone(), Role::Controller(*control)))
        .collect();
    let gateways: Vec<_> = (0..GATEWAYS).map(|_| prepared.add_gateway_file()).collect();
    let hosts: Vec<IpAddr> = gateways.iter().map(|(_, host)| *host).collect();
    for (file, host) in gateways {
        places.push(Place::start(from, file, Role::Gateway(host)));
    }
    let installation = prepared.into_installation();
    publish(&controls, &table(1, true, 0)).await;
    for place in &places {
        place.wait_until_it_works().await;
    }
    let load = Arc::new(Load::default());
    let mut callers = JoinSet::new();
    for _ in 0..CALLERS {
        callers.spawn(Arc::clone(&load).run(hosts.clone()));
    }
    let half = places.len() / 2;
    for step in 0..places.len() {
        places[order(step)].replace(to).await;
        if step == 0 {
            trouble.strike(&mut places[..CONTROLLERS], &folders).await;
        }
        if step == half {
            publish(&controls, &table(2, false, 1400)).await;
            sleep(CONFIG_APPLY).await;
            check_table(&hosts).await;
        }
    }
    publish(&controls, &table(3, true, 10)).await;
    sleep(CONFIG_APPLY).await;
    load.ended.store(true, Ordering::Relaxed);
    callers.join_all().await;
    let read = call_any(&controls, Method::GET, "/api/config/get", "").await;
    assert_eq!(version_of(&read), 3);
    println!("{:?}", load.outcomes.lock().unwrap());
    let mut runs: HashMap<String, u32> = HashMap::new();
    for seen in installation.log.requests() {
        if seen.path.starts_with("/once/") {
            let id = seen.headers["x-flamingocroft-request-id"].to_str().unwrap();
            *runs.entry(id.to_owned()).or_default() += 1;
        }
    }
    let twice = runs.iter().filter(|(_, count)| **count > 1).count();
    assert_eq!(twice, 0, "requests ran twice that may run once");
    assert_eq!(load.count(Outcome::Lost), 0, "requests were lost");
    assert_eq!(load.count(Outcome::Denied), 0, "valid requests were denied");
    assert!(load.count(Outcome::Whole) > 0);
}

/// Checks that the second table is in force at all gateways.
async fn check_table(hosts: &[IpAddr]) {
    for host in hosts {
        let gateway = SocketAddr::new(*host, 7301);
        let revoked = send(gateway, "/safe/x", "revoked", LATER_KEY).await;
        assert_eq!(revoked, Outcome::Denied, "a key runs that was taken away");
        let added = send(gateway, "/more-1399/x", "added", API_KEY).await;
        assert!(
            matches!(added, Outcome::Whole | Outcome::Refused),
            "a route that was added is {added:?}"
        );
    }
}

async fn publish(controls: &[SocketAddr], table: &Value) {
    let text = table.to_string();
    call_any(controls, Method::POST, "/api/config/put", &text).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn controllers_are_replaced_before_gateways_without_a_loss() {
    let (from, to) = (earlier_program(), current_program());
    roll(&from, to, |step| step, Trouble::None).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn gateways_are_replaced_before_controllers_without_a_loss() {
    let (from, to) = (earlier_program(), current_program());
    let last = CONTROLLERS + GATEWAYS - 1;
    roll(&from, to, |step| last - step, Trouble::None).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replacement_is_rolled_back_without_a_loss() {
    let (from, to) = (current_program(), earlier_program());
    roll(from, &to, |step| step, Trouble::None).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn controllers_that_are_killed_during_a_replacement_lose_nothing() {
    let (from, to) = (earlier_program(), current_program());
    roll(&from, to, |step| step, Trouble::Kills).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_disk_that_is_lost_during_a_replacement_loses_nothing() {
    let (from, to) = (earlier_program(), current_program());
    roll(&from, to, |step| step, Trouble::LostDisk).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn controllers_that_freeze_during_a_replacement_lose_nothing() {
    let (from, to) = (earlier_program(), current_program());
    roll(&from, to, |step| step, Trouble::Freezes).await;
}
