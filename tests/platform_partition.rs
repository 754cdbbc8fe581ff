//! Gateways that are partitioned from all servers, while callers and the other gateways reach them.

mod metric_text;
mod platform_support;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use flamingocroft::telemetry::Metrics;
use hyper::{Method, StatusCode};
use metric_text::value;
use platform_support::{
    Installation, ReceivedRequest, ServerAction, document,
    partition::{Cut, PartitionDialer},
    raw::{RawBehavior, RawServer},
    wait_until,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

/// Time after which a gateway that is cut off serves its callers like the others.
const CONTACT: Duration = Duration::from_millis(3000);
/// Interval between the requests of the callers of one gateway.
const INTERVAL: Duration = Duration::from_millis(25);
/// Requests of which at most [`MAX_FAILED`] may fail at their first try.
const MEASURED: usize = 100;
const MAX_FAILED: usize = 2;
const PATHS: [&str; 3] = ["/safe/x", "/once/x", "/resumed/x"];

fn serve(_: usize, seen: &ReceivedRequest) -> ServerAction {
    match seen.path.as_str() {
        "/resumed/x" => ServerAction::Paced(
            (1..=3)
                .map(|id| format!("id: {id}\ndata: {id}\n\n"))
                .collect(),
            Duration::from_millis(10),
        ),
        _ => ServerAction::RespondAfter(Duration::from_millis(10)),
    }
}

/// A gateway that can be cut off from the servers.
struct Gateway {
    address: SocketAddr,
    dialer: Arc<PartitionDialer>,
    metrics: Metrics,
}

async fn add_gateways(installation: &Installation, count: usize) -> Vec<Gateway> {
    let mut gateways = Vec::new();
    for _ in 0..count {
        let (dialer, metrics) = (PartitionDialer::new(), Metrics::new().unwrap());
        let with = Arc::clone(&dialer);
        let address = installation.add_gateway_with(with, &metrics).await;
        gateways.push(Gateway {
            address,
            dialer,
            metrics,
        });
    }
    installation.publish(&document(1)).await;
    let addresses: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.address).collect();
    installation.wait_until_all_serve(&addresses).await;
    gateways
}

/// Sends requests to a gateway one interval apart and returns how many were served whole at the first try.
async fn send_steadily(gateway: SocketAddr, name: &str, count: usize) -> usize {
    let mut calls = JoinSet::new();
    for i in 0..count {
        let (path, id) = (PATHS[i % PATHS.len()], format!("{name}-{i}"));
        calls.spawn(async move {
            let res = Installation::send_to(gateway, Method::POST, path, &id, "body").await;
            res.status == StatusCode::OK && res.body.is_ok()
        });
        sleep(INTERVAL).await;
    }
    let served = calls.join_all().await;
    served.into_iter().filter(|served| *served).count()
}

/// Callers of gateways that are cut off as given are served like those of the others, and each request runs once.
async fn callers_are_served(cut_off: usize, cut: Cut) {
    let installation = Installation::start(3, serve).await;
    let gateways = add_gateways(&installation, cut_off).await;
    let warm_up = (CONTACT.as_millis() / INTERVAL.as_millis()) as usize;
    let mut runs = JoinSet::new();
    for (i, gateway) in gateways.iter().enumerate() {
        gateway.dialer.set(cut);
        let address = gateway.address;
        runs.spawn(async move {
            send_steadily(address, &format!("early-{i}"), warm_up).await;
            send_steadily(address, &format!("late-{i}"), MEASURED).await
        });
    }
    for served in runs.join_all().await {
        assert!(
            served + MAX_FAILED >= MEASURED,
            "{served} of {MEASURED} are served"
        );
    }
    let mut once: HashMap<String, usize> = HashMap::new();
    for seen in installation.log.requests() {
        if seen.path == "/once/x" {
            let id = seen.headers["x-flamingocroft-request-id"].to_str().unwrap();
            *once.entry(id.to_owned()).or_default() += 1;
        }
    }
    assert!(once.values().all(|runs| *runs == 1), "a request ran twice");
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_of_a_gateway_whose_connections_to_servers_hang_are_served() {
    callers_are_served(1, Cut::Hang).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_of_a_gateway_whose_connections_to_servers_are_reset_are_served() {
    callers_are_served(1, Cut::Reset).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_of_a_gateway_that_cannot_open_connections_to_servers_are_served() {
    callers_are_served(1, Cut::LiveOn).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_when_all_gateways_but_one_are_cut_off_from_the_servers() {
    callers_are_served(4, Cut::Hang).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_uses_its_own_connections_again_after_the_partition() {
    let installation = Installation::start(3, serve).await;
    let gateways = add_gateways(&installation, 1).await;
    let gateway = &gateways[0];
    gateway.dialer.set(Cut::Hang);
    send_steadily(gateway.address, "cut", 60).await;
    let cut_off = || value(&gateway.metrics.render(), "ingress_services_cut_off");
    assert_eq!(cut_off(), 1.0);
    gateway.dialer.set(Cut::None);
    wait_until("the servers are reached directly", || async {
        cut_off() == 0.0
    })
    .await;
    let opened = gateway.dialer.opened();
    assert_eq!(send_steadily(gateway.address, "healed", 20).await, 20);
    assert!(gateway.dialer.opened() > opened || opened > 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_rejected_soon_when_no_gateway_reaches_the_servers() {
    let first = PartitionDialer::new();
    let with = Arc::clone(&first);
    let installation = Installation::start_with(3, with, serve).await;
    let gateways = add_gateways(&installation, 2).await;
    for dialer in gateways
        .iter()
        .map(|gateway| &gateway.dialer)
        .chain([&first])
    {
        dialer.set(Cut::Hang);
    }
    let mut runs = JoinSet::new();
    for (i, gateway) in gateways.iter().enumerate() {
        let address = gateway.address;
        runs.spawn(async move {
            send_steadily(address, &format!("early-{i}"), 60).await;
            sleep(CONTACT).await;
            let begun = Instant::now();
            let id = format!("late-{i}");
            let res = Installation::send_to(address, Method::POST, "/once/x", &id, "").await;
            assert_eq!(res.status, StatusCode::SERVICE_UNAVAILABLE);
            assert!(res.headers.contains_key("retry-after"));
            assert!(begun.elapsed() < CONTACT / 2, "{:?}", begun.elapsed());
        });
    }
    runs.join_all().await;
}

/// An answer whose end only its connection shows looks broken if a server resets it, also behind another gateway.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_breaks_off_behind_another_gateway_does_not_look_complete() {
    let installation = Installation::start(1, serve).await;
    let host = installation.control_address.ip().to_string();
    let whole = RawServer::start(&host, RawBehavior::NoLength).await;
    let broken = RawServer::start(&host, RawBehavior::NoLengthReset).await;
    let gateways = add_gateways(&installation, 1).await;
    let gateway = &gateways[0];
    gateway.dialer.set(Cut::Hang);
    send_steadily(gateway.address, "cut", 60).await;
    for (server, is_whole) in [(whole, true), (broken, false)] {
        let entry = platform_support::list_entry("i-raw", server.address);
        *installation.listed.lock().unwrap() = vec![entry];
        wait_until("the server is used", || async {
            let path = "/once/x";
            Installation::send_to(gateway.address, Method::POST, path, "first", "").await;
            !server.received.lock().unwrap().is_empty()
        })
        .await;
        let res = Installation::send_to(gateway.address, Method::POST, "/once/x", "r", "").await;
        assert_eq!(res.status, StatusCode::OK);
        assert_eq!(res.body.is_ok(), is_whole, "{res:?}");
    }
}

const PARTLY_CUT_GATEWAYS: usize = 4;
const PARTLY_CUT_SERVERS: usize = 6;
/// Shares of the pairs of gateway and server that are cut, one after the other.
const CUT_SHARES: [f64; 4] = [0.25, 0.5, 0.75, 1.0];
/// Time for which a server works on a request.
const WORK: Duration = Duration::from_millis(100);
/// Requests that a server works on at a time, with which the callers use less than half and two thirds of all servers.
const LOW_LOAD_SLOTS: usize = 6;
const HIGH_LOAD_SLOTS: usize = 4;
/// Requests to each gateway in one measurement.
const PARTLY_CUT_MEASURED: usize = 120;

/// How often each request that may run once has run.
type Runs = Arc<Mutex<HashMap<String, usize>>>;

/// Servers that reject what exceeds their slots.
fn serve_within(
    slots: usize,
    runs: &Runs,
) -> impl Fn(usize, &ReceivedRequest) -> ServerAction + use<> {
    let running: Mutex<Vec<Vec<Instant>>> = Mutex::new(vec![Vec::new(); PARTLY_CUT_SERVERS]);
    let runs = Arc::clone(runs);
    move |server, seen| {
        let now = Instant::now();
        let running = &mut running.lock().unwrap()[server];
        running.retain(|begun| now.duration_since(*begun) < WORK);
        if running.len() >= slots {
            return ServerAction::NotExecuted;
        }
        running.push(now);
        match seen.path.as_str() {
            "/resumed/x" => ServerAction::Paced(vec!["id: 1\ndata: 1\n\n".to_owned()], WORK),
            "/once/x" => {
                let id = seen.headers["x-flamingocroft-request-id"].to_str().unwrap();
                *runs.lock().unwrap().entry(id.to_owned()).or_default() += 1;
                ServerAction::RespondAfter(WORK)
            }
            _ => ServerAction::RespondAfter(WORK),
        }
    }
}

async fn send_to_all(gateways: &[SocketAddr], name: &str, count: usize) -> Vec<usize> {
    let mut runs = JoinSet::new();
    for (i, gateway) in gateways.iter().copied().enumerate() {
        let name = format!("{name}-{i}");
        runs.spawn(async move { (i, send_steadily(gateway, &name, count).await) });
    }
    let mut served = runs.join_all().await;
    served.sort_unstable();
    served.into_iter().map(|(_, served)| served).collect()
}

/// Each gateway serves its callers within a tenth of what it does without a cut while each server is reached by some gateway.
async fn callers_are_served_while_pairs_are_cut(cut: Cut, slots: usize, seed: u64) {
    let (first, runs) = (PartitionDialer::new(), Runs::default());
    let (with, script) = (Arc::clone(&first), serve_within(slots, &runs));
    let installation = Installation::start_with(PARTLY_CUT_SERVERS, with, script).await;
    let added = add_gateways(&installation, PARTLY_CUT_GATEWAYS - 1).await;
    let dialers: Vec<_> = [first]
        .into_iter()
        .chain(added.iter().map(|gateway| Arc::clone(&gateway.dialer)))
        .collect();
    let addresses: Vec<_> = [installation.caller_address]
        .into_iter()
        .chain(added.iter().map(|gateway| gateway.address))
        .collect();
    let servers: Vec<SocketAddr> = installation
        .listed
        .lock()
        .unwrap()
        .iter()
        .filter_map(|entry| entry["Address"].as_str()?.parse().ok())
        .collect();
    assert_eq!(servers.len(), PARTLY_CUT_SERVERS);
    let uncut = send_to_all(&addresses, "uncut", PARTLY_CUT_MEASURED).await;
    let mut rng = StdRng::seed_from_u64(seed);
    let warm_up = (CONTACT.as_millis() / INTERVAL.as_millis()) as usize;
    // First all gateways but one reach the same server only, which cannot serve the callers of three.
    for share in [None].into_iter().chain(CUT_SHARES.map(Some)) {
        for server in &servers {
            let reached_by = rng.random_range(0..dialers.len());
            for (i, dialer) in dialers.iter().enumerate() {
                let is_cut = match share {
                    Some(share) => rng.random_bool(share) && i != reached_by,
                    None => i + 1 < dialers.len() && *server != servers[0],
                };
                dialer.set_for(*server, if is_cut { cut } else { Cut::None });
            }
        }
        send_to_all(&addresses, &format!("early-{share:?}"), warm_up).await;
        let served = send_to_all(&addresses, &format!("late-{share:?}"), PARTLY_CUT_MEASURED).await;
        println!("{cut:?}, {slots} slots, seed {seed}, {share:?} cut: {served:?}, uncut {uncut:?}");
        for (served, uncut) in served.iter().zip(&uncut) {
            assert!(
                served * 10 >= uncut * 9,
                "{share:?} cut: {served} served, {uncut} uncut"
            );
        }
    }
    let runs = runs.lock().unwrap();
    assert!(!runs.is_empty());
    assert!(runs.values().all(|runs| *runs == 1), "a request ran twice");
}

#[tokio::test(flavor = "multi_thread")]
async fn gateways_that_reach_a_part_of_the_servers_serve_low_load() {
    callers_are_served_while_pairs_are_cut(Cut::Hang, LOW_LOAD_SLOTS, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn gateways_that_reach_a_part_of_the_servers_serve_high_load() {
    callers_are_served_while_pairs_are_cut(Cut::Hang, HIGH_LOAD_SLOTS, 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn gateways_whose_connections_to_a_part_of_the_servers_are_reset_serve_high_load() {
    callers_are_served_while_pairs_are_cut(Cut::Reset, HIGH_LOAD_SLOTS, 3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn gateways_that_cannot_open_connections_to_a_part_of_the_servers_serve_high_load() {
    callers_are_served_while_pairs_are_cut(Cut::LiveOn, HIGH_LOAD_SLOTS, 4).await;
}
