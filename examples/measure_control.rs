//! Measures the controllers: the time from a confirm until it is in force, claims, snapshots and the cost
//! of views.
//! Run `cargo run --release --example measure_control`; it takes about three minutes.

#[path = "../tests/controllers/mod.rs"]
mod controllers;

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use controllers::{Cluster, FakeCloud, FakeGateway, confirm_request, intent, listing};
use flamingocroft::{
    domain::InstanceState,
    settings::Timing,
    state::{Action, ClaimCommand, Command, State},
    wire::{ClaimRequest, ClaimStatus, OutcomeRequest, StoredOutcome},
};
use tokio::task::JoinSet;

const CONFIRMS: u32 = 60;
const LEADER_STOPS: u32 = 12;
const CLAIM_DURATION: Duration = Duration::from_secs(4);
/// Long enough for several snapshots with many claims.
const MANY_CLAIMS_DURATION: Duration = Duration::from_secs(20);
const VIEW_DURATION: Duration = Duration::from_secs(4);

#[tokio::main]
async fn main() {
    println!(
        "{} cores",
        std::thread::available_parallelism().map_or(0, usize::from)
    );
    println!("confirm sent to in force at every gateway, ms");
    println!(
        "{:>9} {:>12} {:>7} {:>7} {:>7} {:>7}",
        "gateways", "leader", "rounds", "p50", "p99", "worst"
    );
    for gateways in [8, 64] {
        measure_confirms(gateways, false, CONFIRMS).await;
        measure_confirms(gateways, true, LEADER_STOPS).await;
    }
    println!("claims with synced logs, three controllers; latency in ms");
    println!(
        "{:>9} {:>9} {:>7} {:>7} {:>7} {:>8} {:>9}",
        "at once", "a second", "p50", "p99", "worst", "claims", "elections"
    );
    for concurrency in [1, 16, 64, 256] {
        measure_claims(concurrency, CLAIM_DURATION).await;
    }
    measure_claims(256, MANY_CLAIMS_DURATION).await;
    println!("snapshots of claims with outcomes of 256 bytes");
    println!(
        "{:>9} {:>9} {:>10} {:>10}",
        "claims", "MiB", "encode ms", "decode ms"
    );
    for count in [1_000, 10_000, 100_000, 500_000] {
        measure_snapshot(count);
    }
    println!("views and leases, one instance replaced a second; CPU of all parts in one process");
    println!(
        "{:>9} {:>9} {:>14} {:>16} {:>16}",
        "gateways", "instances", "bytes/s each", "CPU ms/s in all", "CPU ms/s each"
    );
    for gateways in [4, 16, 64] {
        for instances in [20, 100, 400, 950] {
            measure_views(gateways, instances).await;
        }
    }
}

fn percentiles(mut times: Vec<Duration>) -> [f64; 3] {
    times.sort();
    let at = |part: f64| {
        let index = ((times.len() as f64 * part).ceil() as usize).clamp(1, times.len()) - 1;
        times[index].as_secs_f64() * 1000.0
    };
    [at(0.5), at(0.99), at(1.0)]
}

fn start_gateways(cluster: &Cluster, count: usize) -> Vec<FakeGateway> {
    (0..count)
        .map(|i| FakeGateway::start(cluster, &format!("g{i:03}"), &format!("z{}", i % 3), 1))
        .collect()
}

async fn wait_for_revision(gateways: &[FakeGateway], revision: u64) {
    for gateway in gateways {
        gateway
            .wait_for_state(|state| state.revision >= revision)
            .await;
    }
}

async fn measure_confirms(count: usize, stops_leader: bool, rounds: u32) {
    let mut cluster = Cluster::start(3).await;
    cluster.plan_and_confirm(&intent(1)).await;
    let gateways = start_gateways(&cluster, count);
    wait_for_revision(&gateways, 1).await;
    let mut times = Vec::new();
    for round in 0..rounds {
        let (leader, status) = cluster.leader().await;
        let plan = cluster.plan(leader, &intent(2 + round)).await;
        let order = confirm_request(&plan);
        let started_at = Instant::now();
        if stops_leader {
            let address = cluster.controllers[leader].settings.http_address;
            let lost = tokio::spawn(controllers::post_call(address, "confirm", order.clone()));
            tokio::task::yield_now().await;
            cluster.stop(leader).await;
            lost.abort();
        }
        let resent = async {
            loop {
                let (leader, _) = cluster.leader().await;
                let answer = cluster.post(leader, "confirm", &order).await;
                if answer.status.is_success() {
                    return;
                }
            }
        };
        let wanted = status.revision.0 + 1;
        let in_force = async {
            wait_for_revision(&gateways, wanted).await;
            started_at.elapsed()
        };
        let ((), time) = tokio::join!(resent, in_force);
        times.push(time);
        if stops_leader {
            cluster.start_controller(leader).await;
        }
    }
    let [p50, p99, worst] = percentiles(times);
    let leader = if stops_leader { "stopped" } else { "stays" };
    println!("{count:>9} {leader:>12} {rounds:>7} {p50:>7.1} {p99:>7.1} {worst:>7.1}");
    drop(gateways);
    cluster.stop_all().await;
}

async fn measure_claims(concurrency: u64, time: Duration) {
    let mut cluster = Cluster::start(3).await;
    let gateway = FakeGateway::start(&cluster, "g0", "z0", 1);
    gateway.wait_for_state(|state| state.lease.is_some()).await;
    let until = Instant::now() + time;
    let term = cluster.leader().await.1.term;
    let attempts = Arc::new(AtomicU64::new(1));
    let mut workers = JoinSet::new();
    for _ in 0..concurrency {
        let shared = Arc::clone(&gateway.shared);
        let attempts = Arc::clone(&attempts);
        let template = gateway.claim_request(uuid::Uuid::nil(), 1, 0);
        workers.spawn(async move {
            let mut times = Vec::new();
            while Instant::now() < until {
                let mut claim = template.clone();
                claim.key = uuid::Uuid::now_v7().as_bytes().to_vec();
                claim.attempt = attempts.fetch_add(1, Ordering::Relaxed);
                let started_at = Instant::now();
                let reply = shared.claim(&claim).await;
                assert_eq!(reply.status(), ClaimStatus::Granted);
                times.push(started_at.elapsed());
            }
            times
        });
    }
    let times: Vec<Duration> = workers.join_all().await.into_iter().flatten().collect();
    let elections = cluster.leader().await.1.term - term;
    let count = times.len();
    let rate = times.len() as f64 / time.as_secs_f64();
    let [p50, p99, worst] = percentiles(times);
    println!(
        "{concurrency:>9} {rate:>9.0} {p50:>7.2} {p99:>7.2} {worst:>7.2} {count:>8} {elections:>9}"
    );
    drop(gateway);
    cluster.stop_all().await;
}

fn measure_snapshot(count: u64) {
    let mut state = State::default();
    for index in 1..=count {
        let request = ClaimRequest {
            account: "office".into(),
            key: uuid::Uuid::now_v7().as_bytes().to_vec(),
            digest: vec![1; 32],
            gateway: "g000".into(),
            incarnation: 1,
            attempt: index,
        };
        let claim = Action::Claim(ClaimCommand {
            request: Some(request.clone()),
            retention_ms: u64::MAX,
            skew_ms: u64::MAX,
        });
        let outcome = Action::RecordOutcome(OutcomeRequest {
            claim: Some(request),
            outcome: Some(StoredOutcome {
                status: 200,
                content_type: "application/json".into(),
                body: vec![1; 256].into(),
                ..StoredOutcome::default()
            }),
        });
        for action in [claim, outcome] {
            let command = Command {
                at_unix_ms: 1,
                action: Some(action),
            };
            state.apply(index, &command);
        }
    }
    assert_eq!(state.claims().len() as u64, count);
    let started_at = Instant::now();
    let bytes = state.encode();
    let encode = started_at.elapsed().as_secs_f64() * 1000.0;
    let started_at = Instant::now();
    assert!(State::decode(&bytes).is_ok());
    let decode = started_at.elapsed().as_secs_f64() * 1000.0;
    let mib = bytes.len() as f64 / 1024.0 / 1024.0;
    println!("{count:>9} {mib:>9.1} {encode:>10.1} {decode:>10.1}");
}

async fn measure_views(count: usize, instances: usize) {
    let list = (0..instances).map(|i| listing(&format!("i-{i:04}"), "manifest", "z0"));
    let cloud = FakeCloud::with_instances(list.collect());
    let mut cluster = Cluster::start_with(3, Timing::default(), Some(cloud)).await;
    let gateways = start_gateways(&cluster, count);
    for gateway in &gateways {
        let whole = gateway.wait_for_state(|state| {
            state.instances.len() == instances && state.gateways.len() == count
        });
        whole.await;
    }
    let bytes = || -> u64 {
        gateways
            .iter()
            .map(|g| g.shared.bytes.load(Ordering::Relaxed))
            .sum()
    };
    let (bytes_before, cpu_before, started_at) = (bytes(), cpu_ms(), Instant::now());
    let mut tick = tokio::time::interval(Duration::from_secs(1));
    let mut replaced = 0;
    while started_at.elapsed() < VIEW_DURATION {
        tick.tick().await;
        cluster.cloud.update(|cloud| {
            let row = &mut cloud.list[replaced % instances];
            row.incarnation.0 += 1;
            row.state = InstanceState::Live;
        });
        replaced += 1;
    }
    let seconds = started_at.elapsed().as_secs_f64();
    let each = (bytes() - bytes_before) as f64 / seconds / count as f64;
    let cpu = (cpu_ms() - cpu_before) / seconds;
    println!(
        "{count:>9} {instances:>9} {each:>14.0} {cpu:>16.1} {:>16.2}",
        cpu / count as f64
    );
    drop(gateways);
    cluster.stop_all().await;
}

/// Returns the CPU time of this process in milliseconds; the kernel's resolution is 10 ms.
fn cpu_ms() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace();
    let ticks: u64 = fields
        .skip(11)
        .take(2)
        .filter_map(|f| f.parse::<u64>().ok())
        .sum();
    ticks as f64 * 10.0
}
