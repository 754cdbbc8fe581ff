//! Loopback mode: real gateways and controllers with stand-in engines, for a limited time. It checks
//! the conclusions of the queue model and is not deterministic.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use anyhow::Context;
use hdrhistogram::Histogram;
use serde_json::json;
use standin::engine::EngineParams;
use tokio::time::{sleep, sleep_until};

use super::{
    arrivals::{self, Arrival},
    scenario::Scenario,
    site::{BETWEEN_TOKENS, FIRST_TOKEN_TARGET, GATEWAYS, PREFILL_PER_THOUSAND, SERVICE, Site},
    support::{
        http::{Call, EventReader, open},
        installation::Installation,
        intent::intent,
        shape::{FREE_TOKEN, MODEL, PAYING_TOKEN, Shape},
    },
};

/// Start of the replayed part of a run, after the morning ramp.
const REPLAY_START: Duration = Duration::from_secs(100);

/// Length of the replay.
const REPLAY_DURATION: Duration = Duration::from_secs(25);

/// Time into the replay at which the zone is reclaimed.
const RECLAIM_AFTER: Duration = Duration::from_secs(8);
/// Notice before the instances of the reclaimed zone end.
const RECLAIM_NOTICE: Duration = Duration::from_secs(2);

/// Hexadecimal digits of a block's hash, repeated to fill the block.
const DIGITS_PER_HASH: usize = 16;

/// The outcome of one request.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    paying: bool,
    first_token: Option<Duration>,
    accepted: bool,
    whole: bool,
}

/// Runs the supported scenarios with two costs of a queued request.
pub fn run() -> anyhow::Result<()> {
    println!(
        "Mode: real gateways, controllers and stand-in engines over loopback; 1 seed, 25 s.\n"
    );
    println!(
        "| site | scenario | queued request | arrivals | paying in target % | free in target % \
         | paying first token p50/p95 ms | prompt tokens computed k | of k | generations/accepted | cut |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    let site = &Site::all()[0];
    for scenario in [Scenario::Steady, Scenario::Double, Scenario::ZoneReclaimed] {
        for queued_ms in [30.0, 300.0] {
            let runtime = tokio::runtime::Builder::new_multi_thread()
                .worker_threads(4)
                .enable_all()
                .build()?;
            runtime.block_on(replay(site, scenario, queued_ms))?;
            runtime.shutdown_timeout(Duration::from_secs(2));
        }
    }
    Ok(())
}

async fn replay(site: &Site, scenario: Scenario, queued_ms: f64) -> anyhow::Result<()> {
    let folder = tempfile::tempdir().context("making a folder for the controllers' data")?;
    let shape = shape(site);
    let installation = Installation::start(&shape, folder.path()).await?;
    let mut wanted = intent(&shape);
    wanted.routing.ms_per_queued_request = queued_ms;
    for service in &mut wanted.services {
        if service.name.as_str() == SERVICE {
            service.expected_concurrency = site.intent().services[0].expected_concurrency;
        }
    }
    installation.confirm(&wanted).await?;
    sleep(Duration::from_secs(1)).await;

    let mut outcomes = Vec::new();
    let start = tokio::time::Instant::now();
    let arrivals = arrivals::generate(site, scenario, 1);
    let window = arrivals
        .into_iter()
        .filter(|arrival| (REPLAY_START..REPLAY_START + REPLAY_DURATION).contains(&arrival.at));
    let mut reclaimed = scenario != Scenario::ZoneReclaimed;
    for arrival in window {
        sleep_until(start + (arrival.at - REPLAY_START)).await;
        if !reclaimed && arrival.at - REPLAY_START > RECLAIM_AFTER {
            reclaimed = true;
            reclaim_zone(&installation, site);
        }
        let address = installation.gateway(arrival.gateway);
        let paying = site.accounts[arrival.account].paying;
        outcomes.push(tokio::spawn(request(address, arrival, paying)));
    }
    let outcomes = futures_util::future::try_join_all(outcomes).await?;
    print(site, scenario, queued_ms, &outcomes, &installation);
    Ok(())
}

fn shape(site: &Site) -> Shape {
    Shape {
        gateways: GATEWAYS as u8,
        engines: site.servers as u8,
        engine: EngineParams {
            slots: site.slots,
            queue: site.slots * 2,
            token_interval_us: BETWEEN_TOKENS.as_micros() as u64,
            prefill_us_per_token: PREFILL_PER_THOUSAND.as_micros() as u64 / 1000,
            cache_capacity_tokens: site.cache_tokens as u64,
            answer_tokens: 0,
            ..Shape::default().engine
        },
        ..Shape::default()
    }
}

fn reclaim_zone(installation: &Installation, site: &Site) {
    for i in (0..site.servers).filter(|&i| Site::zone(i) == 0) {
        installation
            .upstreams
            .cloud
            .reclaim(&format!("engine-{i}"), RECLAIM_NOTICE);
    }
}

/// Builds a prompt whose blocks are equal exactly where the arrivals' prefixes are.
fn prompt(arrival: &Arrival) -> String {
    let blocks = arrival
        .prefixes
        .iter()
        .map(|prefix| format!("{:016x}", prefix.hash))
        .map(|digits| digits.repeat(flamingocroft::policy::prefix::BLOCK_BYTES / DIGITS_PER_HASH));
    blocks.collect()
}

async fn request(address: SocketAddr, arrival: Arrival, paying: bool) -> Outcome {
    let mut outcome = Outcome {
        paying,
        ..Outcome::default()
    };
    let body = json!({
        "model": MODEL,
        "prompt": prompt(&arrival),
        "max_tokens": arrival.answer_tokens,
        "stream": true,
    });
    let token = if paying { PAYING_TOKEN } else { FREE_TOKEN };
    let start = Instant::now();
    // Errors need no handling: a refused or broken stream leaves fields of the outcome unset.
    let _ = stream(
        address,
        &Call::post("/v1/completions", token, &body),
        start,
        &mut outcome,
    )
    .await;
    outcome
}

async fn stream(
    address: SocketAddr,
    call: &Call,
    start: Instant,
    outcome: &mut Outcome,
) -> anyhow::Result<()> {
    let response = open(address, call).await?;
    anyhow::ensure!(response.status().is_success(), "refused");
    outcome.accepted = true;
    let mut events = EventReader::new(response);
    while let Some(event) = events.next().await? {
        if event.data == "[DONE]" {
            outcome.whole = true;
            return Ok(());
        }
        if !event.data.is_empty() {
            outcome.first_token.get_or_insert(start.elapsed());
        }
    }
    Ok(())
}

fn print(
    site: &Site,
    scenario: Scenario,
    queued_ms: f64,
    outcomes: &[Outcome],
    installation: &Installation,
) {
    let mut latencies = Histogram::<u64>::new_with_bounds(1, 600_000, 3).expect("bounds in order");
    for latency in outcomes
        .iter()
        .filter(|o| o.paying)
        .filter_map(|o| o.first_token)
    {
        latencies.saturating_record(latency.as_millis() as u64);
    }
    let engines = &installation.upstreams.engines;
    let counts: Vec<_> = engines
        .iter()
        .map(|engine| Arc::clone(engine).counts())
        .collect();
    let computed: u64 = counts.iter().map(|c| c.prefilled_tokens).sum();
    let cached: u64 = counts.iter().map(|c| c.cached_tokens).sum();
    let accepted = outcomes.iter().filter(|o| o.accepted).count();
    let cut = outcomes.iter().filter(|o| o.accepted && !o.whole).count();
    println!(
        "| {} | {} | {queued_ms} ms | {} | {:.1} | {:.1} | {}/{} | {} | {} | {:.3} | {cut} |",
        site.name,
        scenario.name(),
        outcomes.len(),
        in_target(outcomes, true),
        in_target(outcomes, false),
        latencies.value_at_quantile(0.5),
        latencies.value_at_quantile(0.95),
        computed / 1000,
        (computed + cached) / 1000,
        installation.upstreams.generations() as f64 / accepted.max(1) as f64,
    );
}

fn in_target(outcomes: &[Outcome], paying: bool) -> f64 {
    let tier: Vec<_> = outcomes.iter().filter(|o| o.paying == paying).collect();
    let met = |o: &&&Outcome| o.whole && o.first_token.is_some_and(|l| l <= FIRST_TOKEN_TARGET);
    tier.iter().filter(met).count() as f64 * 100.0 / tier.len().max(1) as f64
}
