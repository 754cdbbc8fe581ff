//! One gateway process that polls many servers, with three controller processes.

use std::{
    net::IpAddr,
    path::Path,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use anyhow::ensure;
use flamingocroft::domain::Intent;
use standin::cloud::{CloudParams, Listing};
use tokio::time::sleep;

use crate::{
    servers::Servers,
    support::{
        intent::intent,
        processes::Processes,
        shape::{Shape, ZONES, next_host},
    },
    usage,
};

const SETTLE_TIME: Duration = Duration::from_secs(2);
const MEASURE_TIME: Duration = Duration::from_secs(5);
const FIRST_POLL_TIMEOUT: Duration = Duration::from_secs(60);

/// Prints a row for each combination of server count and new prefixes per poll.
pub async fn measure(program: &Path, counts: &[usize], events: &[u64]) -> anyhow::Result<()> {
    println!("\none gateway polls servers; HTTP bytes without TCP; CPU as a share of one core");
    println!(
        "servers | events/poll | requests/s |   bytes/s | gateway CPU % | gateway MiB | leader CPU % | leader MiB | follower CPU %"
    );
    for &count in counts {
        for &events in events {
            measure_row(program, count, events).await?;
        }
    }
    Ok(())
}

/// Returns a shape without stand-in engines and services.
pub fn shape(gateways: u8) -> Shape {
    Shape {
        gateways,
        engines: 0,
        services: 0,
        cloud: CloudParams {
            refuse_starts: true,
            ..CloudParams::default()
        },
        ..Shape::default()
    }
}

/// Returns an intent with only the engines' service.
pub fn engines_only(shape: &Shape) -> Intent {
    let mut intent = intent(shape);
    intent.services.truncate(1);
    intent.services[0].expected_concurrency = 1;
    intent
}

async fn measure_row(program: &Path, count: usize, events: u64) -> anyhow::Result<()> {
    let folder = tempfile::tempdir()?;
    let host: IpAddr = next_host();
    let servers = Servers::start(host, count, events).await?;
    let shape = shape(1);
    let processes = Processes::start(&shape, program, folder.path()).await?;
    for (i, address) in servers.addresses.iter().enumerate() {
        let listing = Listing {
            name: format!("engine-{i:04}"),
            incarnation: 1,
            service: "assistant".to_owned(),
            zone: ZONES[i % ZONES.len()].to_owned(),
            class: "standard".to_owned(),
            purchase: "reclaimable".to_owned(),
            address: *address,
            state: "live".to_owned(),
        };
        processes.upstreams.cloud.register(listing, || {});
    }
    processes.confirm(&engines_only(&shape)).await?;
    processes.wait_ready().await?;
    let start = Instant::now();
    while !servers.all_polled() {
        ensure!(
            start.elapsed() < FIRST_POLL_TIMEOUT,
            "some servers were not polled"
        );
        sleep(Duration::from_millis(50)).await;
    }
    sleep(SETTLE_TIME).await;
    let leader = processes.leader().await?;
    let follower = (leader + 1) % processes.controllers.len();
    let pids = [
        processes.gateways[0].pid(),
        processes.controllers[leader].pid(),
        processes.controllers[follower].pid(),
    ];
    let requests = servers.counts.requests.load(Ordering::Relaxed);
    let bytes = servers.counts.bytes.load(Ordering::Relaxed);
    let [gateway, leader, follower] = usage::measure(MEASURE_TIME, pids).await?;
    let seconds = MEASURE_TIME.as_secs_f64();
    let rate = |now: u64, then: u64| (now - then) as f64 / seconds;
    println!(
        "{count:>7} | {events:>11} | {:>10.0} | {:>9.0} | {:>13.1} | {:>11.1} | {:>12.1} | {:>10.1} | {:>14.1}",
        rate(servers.counts.requests.load(Ordering::Relaxed), requests),
        rate(servers.counts.bytes.load(Ordering::Relaxed), bytes),
        gateway.cpu_percent,
        gateway.rss_mib,
        leader.cpu_percent,
        leader.rss_mib,
        follower.cpu_percent,
    );
    Ok(())
}
