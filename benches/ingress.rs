//! CPU time of an ingress gateway: idle, per plain request, per event of a stream, and for the log lines of
//! a request. A controller and a gateway are separate processes; callers and servers share this one.
//! docs/MEASUREMENTS.md holds the figures.

#[path = "../tests/platform_support/mod.rs"]
mod platform_support;
mod processor;

use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use platform_support::{
    Installation, PreparedInstallation, ServerAction, daemons::Daemon, document,
};
use processor::cpu_seconds;
use tokio::task::JoinSet;

const IDLE_TIME: Duration = Duration::from_secs(10);
const CALLERS: usize = 8;
/// A gateway's usual load on either user's machines, in requests per second.
const USUAL_REQUESTS_PER_SECOND: f64 = 50.0;
const PLAIN_REQUESTS: usize = 1600;
const STREAMS: usize = 400;
const EVENTS_PER_STREAM: u64 = 100;
/// Interval between the events of a stream, long enough for a gateway to go idle.
const EVENT_INTERVAL: Duration = Duration::from_millis(10);

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    println!(
        "level | role       | idle, ms of a core each second | us each request | us each event"
    );
    for level in ["info", "off"] {
        measure(level).await?;
    }
    Ok(())
}

async fn measure(level: &str) -> anyhow::Result<()> {
    let prepared = PreparedInstallation::prepare(1, 2, |_, seen| match seen.path.as_str() {
        "/resumed/x" => {
            let event = |id| format!("id: {id}\ndata: seven tokens of an answer\n\n");
            ServerAction::Paced((1..=EVENTS_PER_STREAM).map(event).collect(), EVENT_INTERVAL)
        }
        _ => ServerAction::Respond(StatusCode::OK, vec![b'x'; 800]),
    })
    .await;
    let controller = Daemon::start_with_log_level(&prepared.controller_files[0], level);
    let gateway = Daemon::start_with_log_level(&prepared.gateway_file, level);
    let site = prepared.into_installation();
    site.publish(&document(1)).await;
    let site = std::sync::Arc::new(site);

    let before = (cpu_seconds(controller.id())?, cpu_seconds(gateway.id())?);
    tokio::time::sleep(IDLE_TIME).await;
    let per_second = 1e3 / IDLE_TIME.as_secs_f64();
    let idle_controller = (cpu_seconds(controller.id())? - before.0) * per_second;
    let idle_gateway = (cpu_seconds(gateway.id())? - before.1) * per_second;

    let pause = Duration::from_secs_f64(CALLERS as f64 / USUAL_REQUESTS_PER_SECOND);
    let plain = cpu_seconds_of(&gateway, &site, "/safe/x", PLAIN_REQUESTS, pause).await?
        / PLAIN_REQUESTS as f64;
    let none = Duration::ZERO;
    let streamed =
        cpu_seconds_of(&gateway, &site, "/resumed/x", STREAMS, none).await? / STREAMS as f64;
    let event = (streamed - plain) / EVENTS_PER_STREAM as f64;
    println!("{level:<5} | controller | {idle_controller:>30.1} |                 |");
    println!(
        "{level:<5} | gateway    | {idle_gateway:>30.1} | {:>15.0} | {:>13.1}",
        plain * 1e6,
        event * 1e6
    );
    Ok(())
}

/// Sends requests from concurrent callers, each pausing after a response, and returns the gateway's CPU
/// time in seconds.
async fn cpu_seconds_of(
    gateway: &Daemon,
    site: &std::sync::Arc<Installation>,
    path: &'static str,
    count: usize,
    pause: Duration,
) -> anyhow::Result<f64> {
    let before = cpu_seconds(gateway.id())?;
    let begun = Instant::now();
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let site = std::sync::Arc::clone(site);
        callers.spawn(async move {
            for i in 0..count / CALLERS {
                let id = format!("{caller}-{i}");
                let res = site.send(Method::POST, path, &id, "a prompt").await;
                anyhow::ensure!(res.status == StatusCode::OK, "status {}", res.status);
                anyhow::ensure!(res.body.is_ok(), "an answer broke off");
                tokio::time::sleep(pause).await;
            }
            Ok(())
        });
    }
    while let Some(result) = callers.join_next().await {
        result??;
    }
    let spent = cpu_seconds(gateway.id())? - before;
    eprintln!("{path}: {count} requests in {:?}", begun.elapsed());
    Ok(spent)
}
