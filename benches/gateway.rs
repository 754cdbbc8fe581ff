//! Overhead of a gateway: latency and throughput compared with direct calls to the stand-in engine, CPU
//! time per request and per token, and memory per open stream. The controllers and the gateway are
//! separate processes. docs/MEASUREMENTS.md holds the figures.

mod processor;
#[path = "../examples/support/mod.rs"]
mod support;

use std::{
    net::SocketAddr,
    path::Path,
    time::{Duration, Instant},
};

use anyhow::{Context, ensure};
use flamingocroft::domain::Intent;
use hdrhistogram::Histogram;
use processor::cpu_seconds;
use serde_json::json;
use standin::{Faults, engine::EngineParams};
use support::{
    http::{Call, Connection},
    intent::intent,
    processes::Processes,
    shape::{MODEL, PAYING_TOKEN, Shape},
};
use tokio::task::JoinSet;
use uuid::Uuid;

const ROUNDS: u32 = 3;
const ROUND_TIME: Duration = Duration::from_secs(2);
const CONCURRENCIES: [usize; 3] = [1, 64, 512];
/// Response delay of an engine, long enough that CPU time is not the bottleneck.
const ENGINE_DELAY: Duration = Duration::from_millis(20);
const STREAMS: usize = 1000;
const TOKENS_PER_STREAM: u32 = 300;
const ENGINE_SLOTS: u32 = 4096;

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    println!("cores: {}", std::thread::available_parallelism()?);
    if is_wanted("latency") {
        measure_latency(Duration::ZERO).await?;
        measure_latency(ENGINE_DELAY).await?;
    }
    if is_wanted("streams") {
        measure_streams().await?;
    }
    Ok(())
}

/// Returns whether a part was selected on the command line; without arguments, all parts run.
fn is_wanted(part: &str) -> bool {
    let mut named = std::env::args()
        .skip(1)
        .filter(|arg| !arg.starts_with("--"));
    let first = named.next();
    first.as_deref().is_none_or(|first| first == part) || named.any(|arg| arg == part)
}

fn shape(token_interval_us: u64) -> Shape {
    let base = Shape::default();
    Shape {
        gateways: 1,
        engines: 1,
        engine: EngineParams {
            slots: ENGINE_SLOTS,
            queue: ENGINE_SLOTS,
            token_interval_us,
            ..base.engine.clone()
        },
        ..base
    }
}

async fn start(shape: &Shape, folder: &Path) -> anyhow::Result<Processes> {
    let program = Path::new(env!("CARGO_BIN_EXE_flamingocroftd"));
    let processes = Processes::start(shape, program, folder).await?;
    processes.confirm(&one_engine(shape)).await?;
    processes.wait_ready().await?;
    Ok(processes)
}

/// Returns an intent that starts no further engines, so that direct and routed calls reach the same one.
fn one_engine(shape: &Shape) -> Intent {
    let mut intent = intent(shape);
    intent.limits.max_instances = 2;
    intent
}

async fn measure_latency(engine_delay: Duration) -> anyhow::Result<()> {
    let folder = tempfile::tempdir()?;
    let processes = start(&shape(0), folder.path()).await?;
    processes.upstreams.engines[0].set_faults(Faults {
        answer_delay_ms: engine_delay.as_millis().try_into()?,
        ..Faults::default()
    });
    let engine = processes.upstreams.engines[0].address();
    let gateway = processes.gateway(0);
    println!(
        "\nanswers of one token, whole, by an engine that takes {engine_delay:?}; {ROUNDS} rounds of {ROUND_TIME:?} each way, in turn"
    );
    println!(
        "concurrency | way     | requests/s |  p50 us |  p99 us | failed | gateway CPU us/request"
    );
    for concurrency in CONCURRENCIES {
        let mut direct = LoadResult::default();
        let mut routed = LoadResult::default();
        let mut cpu = 0.0;
        for _ in 0..ROUNDS {
            direct.add(run_load(engine, concurrency, direct_call).await?);
            let before = cpu_seconds(processes.gateways[0].pid())?;
            routed.add(run_load(gateway, concurrency, gateway_call).await?);
            cpu += cpu_seconds(processes.gateways[0].pid())? - before;
        }
        direct.print(concurrency, "direct", None);
        routed.print(concurrency, "gateway", Some(cpu));
        let added = |q| routed.quantile_us(q) as i64 - direct.quantile_us(q) as i64;
        println!(
            "{concurrency:>11} | added   |            | {:>7} | {:>7} |",
            added(0.5),
            added(0.99)
        );
    }
    Ok(())
}

struct LoadResult {
    latency: Histogram<u64>,
    failed: u64,
    /// The body of one failed response.
    failure: String,
    elapsed: Duration,
}

impl Default for LoadResult {
    fn default() -> Self {
        Self {
            latency: Histogram::new(3).expect("three digits are supported"),
            failed: 0,
            failure: String::new(),
            elapsed: Duration::ZERO,
        }
    }
}

impl LoadResult {
    fn add(&mut self, other: Self) {
        self.latency += other.latency;
        self.failed += other.failed;
        if !other.failure.is_empty() {
            self.failure = other.failure;
        }
        self.elapsed += other.elapsed;
    }

    fn quantile_us(&self, quantile: f64) -> u64 {
        self.latency.value_at_quantile(quantile)
    }

    fn print(&self, concurrency: usize, way: &str, cpu: Option<f64>) {
        let requests = self.latency.len() as f64;
        let cpu = cpu.map_or(String::new(), |s| format!("{:.0}", s * 1e6 / requests));
        println!(
            "{concurrency:>11} | {way:<7} | {:>10.0} | {:>7} | {:>7} | {:>6} | {cpu}",
            requests / self.elapsed.as_secs_f64(),
            self.quantile_us(0.5),
            self.quantile_us(0.99),
            self.failed,
        );
        if !self.failure.is_empty() {
            println!("            | one failure: {}", self.failure);
        }
    }
}

fn direct_call() -> Call {
    let body = json!({
        "request_id": Uuid::now_v7(), "model": MODEL, "prompt": "hello", "max_tokens": 1,
        "priority": "paying", "stream": true,
    });
    Call::post("/v1/completions", "", &body)
}

fn gateway_call() -> Call {
    let body = json!({"model": MODEL, "prompt": "hello", "max_tokens": 1});
    Call::post("/v1/completions", PAYING_TOKEN, &body)
}

/// Keeps `concurrency` requests in progress for one round.
async fn run_load(
    address: SocketAddr,
    concurrency: usize,
    call: fn() -> Call,
) -> anyhow::Result<LoadResult> {
    let start = Instant::now();
    let mut workers = JoinSet::new();
    for _ in 0..concurrency {
        workers.spawn(async move {
            let mut result = LoadResult::default();
            let mut connection = Connection::open(address).await?;
            while start.elapsed() < ROUND_TIME {
                let call = call();
                let sent = Instant::now();
                let answer = connection.send(&call).await?;
                let micros = sent.elapsed().as_micros().try_into()?;
                match answer.status.is_success() {
                    true => result.latency.record(micros)?,
                    false => {
                        result.failed += 1;
                        result.failure = answer.text();
                    }
                }
            }
            anyhow::Ok(result)
        });
    }
    let mut all = LoadResult::default();
    while let Some(result) = workers.join_next().await {
        all.add(result??);
    }
    all.elapsed = start.elapsed();
    Ok(all)
}

async fn measure_streams() -> anyhow::Result<()> {
    let folder = tempfile::tempdir()?;
    let processes = start(&shape(20_000), folder.path()).await?;
    let pid = processes.gateways[0].pid();
    let rss_before = rss_bytes(pid)?;
    let cpu_before = cpu_seconds(pid)?;
    let body = json!({
        "model": MODEL, "prompt": "hello", "max_tokens": TOKENS_PER_STREAM, "stream": true,
    });
    let mut streams = Vec::new();
    for _ in 0..STREAMS {
        let mut connection = Connection::open(processes.gateway(0)).await?;
        let call = Call::post("/v1/completions", PAYING_TOKEN, &body);
        let response = connection.start(&call).await?;
        ensure!(
            response.status().is_success(),
            "status {}",
            response.status()
        );
        streams.push((connection, response));
    }
    let rss = rss_bytes(pid)?.saturating_sub(rss_before);
    let mut readers = JoinSet::new();
    for (connection, response) in streams {
        readers.spawn(async move {
            let mut events = support::http::EventReader::new(response);
            let mut last = String::new();
            while let Some(event) = events.next().await? {
                last = event.data;
            }
            drop(connection);
            ensure!(last == "[DONE]", "a stream ended without its end mark");
            Ok(())
        });
    }
    while let Some(result) = readers.join_next().await {
        result??;
    }
    let cpu = cpu_seconds(pid)? - cpu_before;
    let tokens = STREAMS as f64 * f64::from(TOKENS_PER_STREAM);
    println!(
        "\n{STREAMS} streams open at once through one gateway, {TOKENS_PER_STREAM} tokens each"
    );
    println!(
        "memory for each open stream: {:.1} KiB",
        rss as f64 / STREAMS as f64 / 1024.0
    );
    println!("gateway CPU for each token:  {:.1} us", cpu * 1e6 / tokens);
    Ok(())
}

fn rss_bytes(pid: u32) -> anyhow::Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .context("no VmRSS in the status")?;
    let kib: u64 = line.trim().trim_end_matches("kB").trim().parse()?;
    Ok(kib * 1024)
}
