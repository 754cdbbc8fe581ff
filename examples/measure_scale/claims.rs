//! Calls with an idempotency key through one gateway process. Each costs two commits: the claim and its
//! outcome.

use std::{path::Path, time::Duration};

use serde_json::json;
use tokio::{task::JoinSet, time::Instant};
use uuid::Uuid;

use crate::{
    support::{
        http::{Call, Connection},
        intent::intent,
        processes::Processes,
        shape::{PAYING_TOKEN, Shape},
    },
    usage,
};

const MEASURE_TIME: Duration = Duration::from_secs(4);

/// Prints a row for each number of concurrent calls.
pub async fn measure(program: &Path, concurrencies: &[usize]) -> anyhow::Result<()> {
    println!("\nclaimed calls through one gateway; processor time for each call, in microseconds");
    println!("at once | calls/s | failed | leader us | follower us | gateway us | leader MiB");
    for &concurrency in concurrencies {
        measure_row(program, concurrency).await?;
    }
    Ok(())
}

async fn measure_row(program: &Path, concurrency: usize) -> anyhow::Result<()> {
    let folder = tempfile::tempdir()?;
    let shape = Shape {
        gateways: 1,
        engines: 1,
        ..Shape::default()
    };
    let processes = Processes::start(&shape, program, folder.path()).await?;
    let mut intent = intent(&shape);
    intent.services[1].slots_per_instance = 4096;
    processes.confirm(&intent).await?;
    processes.wait_ready().await?;
    let leader = processes.leader().await?;
    let follower = (leader + 1) % processes.controllers.len();
    let pids = [
        processes.controllers[leader].pid(),
        processes.controllers[follower].pid(),
        processes.gateways[0].pid(),
    ];
    let gateway = processes.gateway(0);
    let until = Instant::now() + MEASURE_TIME;
    let mut workers = JoinSet::new();
    for _ in 0..concurrency {
        workers.spawn(async move {
            let (mut done, mut failed) = (0u64, 0u64);
            let mut connection = Connection::open(gateway).await?;
            while Instant::now() < until {
                let call = Call::post(
                    "/v1/services/depot/releases",
                    PAYING_TOKEN,
                    &json!({"truck": "a truck at the gate"}),
                )
                .header("Idempotency-Key", Uuid::now_v7());
                match connection.send(&call).await?.status.is_success() {
                    true => done += 1,
                    false => failed += 1,
                }
            }
            anyhow::Ok((done, failed))
        });
    }
    let rates = usage::measure(MEASURE_TIME, pids).await?;
    let (mut done, mut failed) = (0, 0);
    while let Some(counts) = workers.join_next().await {
        let counts = counts??;
        done += counts.0;
        failed += counts.1;
    }
    let seconds = MEASURE_TIME.as_secs_f64();
    let [leader_us, follower_us, gateway_us] =
        rates.map(|rate| rate.cpu_percent / 100.0 * seconds * 1e6 / done.max(1) as f64);
    println!(
        "{concurrency:>7} | {:>7.0} | {failed:>6} | {leader_us:>9.0} | {follower_us:>11.0} | {gateway_us:>10.0} | {:>10.1}",
        done as f64 / seconds,
        rates[0].rss_mib,
    );
    Ok(())
}
