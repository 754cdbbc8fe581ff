//! Measures how long a document takes to gateways on slow networks, each gateway with a network of its own, and how
//! long polls take on the same link meanwhile.
//! Run `cargo run --release --example measure_documents`; it takes about two minutes.

#[path = "../tests/platform_support/mod.rs"]
mod platform_support;

use std::{sync::atomic::Ordering, time::Duration};

use flamingocroft::telemetry::Metrics;
use hyper::StatusCode;
use platform_support::{
    Installation, PreparedInstallation, ServerAction, block_controller::BlockController, document,
    post, slow_link::SlowLink,
};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

/// Bytes of the document.
const DOCUMENT_BYTES: usize = 4_000_000;
/// Longest time of a run.
const RUN_TIMEOUT: Duration = Duration::from_secs(120);

#[tokio::main]
async fn main() {
    println!(
        "{:>8} {:>6} {:>9} {:>9} {:>9} {:>9} {:>9} {:>7}",
        "gateways", "Mbit/s", "bytes", "needed s", "first s", "last s", "change s", "links"
    );
    for mbit_per_s in [1.0, 10.0, 100.0] {
        measure(1, mbit_per_s).await;
    }
    measure(74, 10.0).await;
    println!("polls on the link of the fetch");
    println!(
        "{:>6} {:>6} {:>9} {:>9} {:>9}",
        "Mbit/s", "polls", "p50 ms", "p99 ms", "worst ms"
    );
    for mbit_per_s in [1.0, 10.0, 100.0] {
        measure_polls(mbit_per_s).await;
    }
}

async fn measure(gateways: usize, mbit_per_s: f64) {
    let prepared = PreparedInstallation::prepare(1, 1, |_, _| {
        ServerAction::Respond(StatusCode::OK, b"ok".to_vec())
    })
    .await;
    let networks: Vec<_> = (0..gateways).map(|_| SlowLink::new(mbit_per_s)).collect();
    prepared.slow_down_gateway(networks[0].clone()).await;
    let installation = Installation::start_prepared(prepared).await;
    let mut metrics = vec![installation.metrics[1].clone()];
    for network in &networks[1..] {
        metrics.push(installation.add_slow_gateway(network.clone()).await);
    }
    installation.publish(&document(1)).await;
    wait_for_version(&metrics, 1).await;
    let connections = || -> u32 {
        let counts = networks
            .iter()
            .map(|n| n.connections.load(Ordering::SeqCst));
        counts.sum()
    };

    let before = connections();
    let mut large = large_document(2);
    let bytes = large.to_string().len();
    put(&installation, &large).await;
    let (first, last) = wait_for_version(&metrics, 2).await;
    let connected = connections() - before;

    large["Version"] = json!(3);
    large["Routes"][4000]["TimeoutMs"] = json!(2500);
    put(&installation, &large).await;
    let (_, change) = wait_for_version(&metrics, 3).await;
    println!(
        "{gateways:>8} {mbit_per_s:>6} {bytes:>9} {:>9.2} {:>9.2} {:>9.2} {:>9.2} {connected:>7}",
        bytes as f64 * 8.0 / (mbit_per_s * 1e6),
        first.as_secs_f64(),
        last.as_secs_f64(),
        change.as_secs_f64(),
    );
}

/// Measures how long polls take on the link over which the document is fetched.
async fn measure_polls(mbit_per_s: f64) {
    let prepared = PreparedInstallation::prepare(1, 1, |_, _| {
        ServerAction::Respond(StatusCode::OK, b"ok".to_vec())
    })
    .await;
    let network = SlowLink::new(mbit_per_s);
    prepared.slow_down_gateway(network.clone()).await;
    let stop = CancellationToken::new();
    let _stop = stop.clone().drop_guard();
    let controller = BlockController::start(&prepared, &large_document(7), stop).await;
    let installation = Installation::start_gateway_only(prepared).await;
    wait_for_version(&installation.metrics[1..], 7).await;
    let delays = controller.take_delays();
    let ms = |quantile: f64| {
        let at = (delays.len() - 1) as f64 * quantile;
        delays[at as usize].as_secs_f64() * 1e3
    };
    println!(
        "{mbit_per_s:>6} {:>6} {:>9.1} {:>9.1} {:>9.1}",
        delays.len(),
        ms(0.5),
        ms(0.99),
        ms(1.0)
    );
}

fn large_document(version: u64) -> Value {
    let mut large = document(version);
    let routes = large["Routes"].as_array_mut().unwrap();
    let first = routes[0].clone();
    let count = DOCUMENT_BYTES / (first.to_string().len() + 16);
    for number in 0..count {
        let mut route = first.clone();
        route["Name"] = json!(format!("more-{number}"));
        route["PathPrefix"] = json!(format!("/more-{number}/"));
        routes.push(route);
    }
    large
}

/// Publishes a document and returns when it is acknowledged.
async fn put(installation: &Installation, document: &Value) {
    let address = installation.control_address;
    let res = post(address, "/api/config/put", document.to_string()).await;
    assert_eq!(res.unwrap().status, StatusCode::OK);
}

/// Waits until a version is in force at all gateways. Returns the times until it was at the first and at the last.
async fn wait_for_version(metrics: &[Metrics], version: u64) -> (Duration, Duration) {
    let begun = Instant::now();
    let line = format!("ingress_table_version {version}");
    let wait = async {
        let mut first = None;
        let mut waiting: Vec<_> = metrics.iter().collect();
        while !waiting.is_empty() {
            waiting.retain(|m| !m.render().lines().any(|l| l == line));
            if waiting.len() < metrics.len() {
                first.get_or_insert_with(|| begun.elapsed());
            }
            sleep(Duration::from_millis(5)).await;
        }
        (first.unwrap_or_default(), begun.elapsed())
    };
    timeout(RUN_TIMEOUT, wait).await.expect("not in time")
}
