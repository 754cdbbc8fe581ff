//! Measures what a gateway adds to a direct call of an engine and of a plain server: requests a
//! second, and the percentiles of the time to the last byte, at several concurrencies in one run.
//! Everything runs on loopback in this process, so that both sides share its processors.

mod support;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use anyhow::{Context, ensure};
use bytes::Bytes;
use flamingocroft::settings::Timing;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use serde_json::json;
use standin::engine::EngineParams;
use support::installation::{Installation, MODEL, PAYING_TOKEN, Shape, intent};
use tokio::{net::TcpStream, task::JoinSet, time::sleep};
use uuid::Uuid;

/// Callers at once, and the requests a second that all of them send; nothing for as many as they can.
const RUNS: [(usize, Option<u32>); 6] = [
    (1, None),
    (64, None),
    (512, None),
    (64, Some(500)),
    (64, Some(2000)),
    (512, Some(2000)),
];
const WARM_UP: Duration = Duration::from_millis(500);
const RUN: Duration = Duration::from_secs(3);
const TOKENS: u32 = 4;
/// Time between two runs, in which shares follow the demand.
const PAUSE: Duration = Duration::from_secs(1);

/// One kind of request, sent over and over.
#[derive(Clone, Debug)]
struct Load {
    name: &'static str,
    address: SocketAddr,
    method: &'static str,
    path: &'static str,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let folder = tempfile::tempdir().context("making a folder for the controllers' data")?;
    let base = Shape::default();
    let shape = Shape {
        engines: 1,
        engine: EngineParams {
            slots: 4096,
            queue: 4096,
            ..base.engine.clone()
        },
        timing: Timing {
            load_poll: Duration::from_millis(250),
            ..base.timing.clone()
        },
        ..base
    };
    let installation = Installation::start(&shape, folder.path()).await?;
    installation.confirm(&intent(&shape)).await?;
    let gateway = installation.gateway(0);
    let cores = std::thread::available_parallelism().context("counting the processors")?;
    println!("{cores} processors; {TOKENS} tokens a completion, 1 ms apart");
    println!("what                    at once  paced  requests/s  p50 ms  p99 ms  failed");
    let loads = [
        load(
            "engine, directly",
            installation.upstreams.engines[0].address(),
            "POST",
            "/v1/completions",
        ),
        load("engine, by gateway", gateway, "POST", "/v1/completions"),
        load(
            "server, directly",
            installation.upstreams.services[0].address(),
            "GET",
            "/piles/7",
        ),
        load(
            "server, by gateway",
            gateway,
            "GET",
            "/v1/services/depot/piles/7",
        ),
    ];
    for (concurrency, paced) in RUNS {
        for load in &loads {
            let pace = paced.map(|rate| Duration::from_secs(1) / rate * concurrency as u32);
            run(load, concurrency, pace, WARM_UP).await?;
            sleep(PAUSE).await;
            let start = Instant::now();
            let (times, failed) = run(load, concurrency, pace, RUN).await?;
            let rate = times.len() as f64 / start.elapsed().as_secs_f64();
            println!(
                "{:22}  {concurrency:7}  {:>5}  {rate:10.0}  {:6.2}  {:6.2}  {failed:6}",
                load.name,
                paced.map_or("no".to_owned(), |rate| rate.to_string()),
                times.value_at_quantile(0.50) as f64 / 1000.0,
                times.value_at_quantile(0.99) as f64 / 1000.0,
            );
        }
    }
    Ok(())
}

fn load(name: &'static str, address: SocketAddr, method: &'static str, path: &'static str) -> Load {
    Load {
        name,
        address,
        method,
        path,
    }
}

/// Returns the times of the answered requests, in microseconds, and the number of the others.
async fn run(
    load: &Load,
    concurrency: usize,
    pace: Option<Duration>,
    time: Duration,
) -> anyhow::Result<(Histogram<u64>, u64)> {
    let mut callers = JoinSet::new();
    for _ in 0..concurrency {
        callers.spawn(call_until(load.clone(), pace, Instant::now() + time));
    }
    let mut all = Histogram::new(3)?;
    let mut failed = 0;
    while let Some(result) = callers.join_next().await {
        let (times, others) = result??;
        all.add(times)?;
        failed += others;
    }
    ensure!(!all.is_empty(), "{} answered nothing", load.name);
    Ok((all, failed))
}

async fn call_until(
    load: Load,
    pace: Option<Duration>,
    end: Instant,
) -> anyhow::Result<(Histogram<u64>, u64)> {
    let stream = TcpStream::connect(load.address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let mut times = Histogram::new(3)?;
    let mut failed = 0;
    let mut next = Instant::now();
    // Callers that all send at the same moment would measure each other.
    next += pace.unwrap_or_default().mul_f64(rand::random());
    while Instant::now() < end {
        if let Some(pace) = pace {
            sleep(next.saturating_duration_since(Instant::now())).await;
            next += pace;
        }
        let start = Instant::now();
        match call(&load, &mut sender).await? {
            true => times.record(start.elapsed().as_micros() as u64)?,
            false => failed += 1,
        }
    }
    Ok((times, failed))
}

async fn call(load: &Load, sender: &mut SendRequest<Full<Bytes>>) -> anyhow::Result<bool> {
    let body = match load.method {
        "POST" => json!({
            "request_id": Uuid::now_v7(), "model": MODEL, "prompt": "Draft a manifest.",
            "max_tokens": TOKENS, "stream": true,
        })
        .to_string(),
        _ => String::new(),
    };
    let request = Request::builder()
        .method(load.method)
        .uri(load.path)
        .header("host", "upstream")
        .header("authorization", format!("Bearer {PAYING_TOKEN}"))
        .body(Full::new(Bytes::from(body)))?;
    sender.ready().await?;
    let response = sender.send_request(request).await?;
    let whole = response.status().is_success();
    let body = response.into_body().collect().await?.to_bytes();
    Ok(whole && !body.is_empty())
}
