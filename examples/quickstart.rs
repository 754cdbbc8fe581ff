//! The whole path in one process on loopback: a manifest draft is streamed, a truck release runs once
//! although it is sent twice, and a change is planned and confirmed.

mod support;

use std::time::Instant;

use anyhow::{Context, ensure};
use flamingocroft::domain::Money;
use serde_json::{Value, json};
use support::{
    http::{Call, EventReader, open, send},
    installation::Installation,
    intent::intent,
    shape::{FREE_TOKEN, MODEL, PAYING_TOKEN, Shape},
};
use uuid::Uuid;

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let start = Instant::now();
    let folder = tempfile::tempdir().context("making a folder for the controllers' data")?;
    let shape = Shape::default();
    let installation = Installation::start(&shape, folder.path()).await?;
    let status = installation.status().await?;
    println!(
        "started: {} controllers (leader {}), {} gateways, {} engines, {} plain server",
        installation.controllers.len(),
        status.controller,
        installation.gateways.len(),
        installation.upstreams.engines.len(),
        installation.upstreams.services.len(),
    );

    confirm_first_intent(&installation, &shape).await?;
    show_addresses(&installation).await?;
    stream_manifest(&installation).await?;
    release_truck_once(&installation).await?;
    change_limit(&installation, &shape).await?;
    println!("done in {:.1} s", start.elapsed().as_secs_f64());
    Ok(())
}

async fn confirm_first_intent(installation: &Installation, shape: &Shape) -> anyhow::Result<()> {
    let (plan, confirmed) = installation.confirm(&intent(shape)).await?;
    println!("\nplan on revision {}:", plan.base_revision);
    for change in &plan.changes {
        println!("  {change}");
    }
    println!(
        "  cost an hour: {} before, {} after",
        plan.cost_before, plan.cost_after
    );
    println!(
        "confirmed as revision {}; in force everywhere: {}",
        confirmed.revision, confirmed.everywhere
    );
    Ok(())
}

async fn show_addresses(installation: &Installation) -> anyhow::Result<()> {
    let call = Call::get("/v1/addresses", PAYING_TOKEN);
    let answer = send(installation.gateway(0), &call).await?;
    ensure!(
        answer.status.is_success(),
        "no addresses: {}",
        answer.text()
    );
    println!("\naddresses for callers: {}", answer.text());
    Ok(())
}

async fn stream_manifest(installation: &Installation) -> anyhow::Result<()> {
    let body = json!({
        "model": MODEL,
        "prompt": "Draft the shipment manifest for truck TN-204, pile 7, rock salt, 24 t.",
        "max_tokens": 12,
        "stream": true,
    });
    let call = Call::post("/v1/completions", PAYING_TOKEN, &body);
    let response = open(installation.gateway(0), &call).await?;
    ensure!(
        response.status().is_success(),
        "status {}",
        response.status()
    );
    let mut events = EventReader::new(response);
    print!("\nmanifest draft, streamed:");
    while let Some(event) = events.next().await? {
        if event.data == "[DONE]" {
            println!(" [whole]");
            return Ok(());
        }
        let chunk: Value = serde_json::from_str(&event.data)?;
        print!("{}", chunk["choices"][0]["text"].as_str().unwrap_or(""));
    }
    anyhow::bail!("the stream ended without its end mark")
}

async fn release_truck_once(installation: &Installation) -> anyhow::Result<()> {
    let key = Uuid::now_v7();
    let body = json!({"truck": "TN-204", "pile": 7});
    let call = Call::post("/v1/services/depot/releases", PAYING_TOKEN, &body)
        .header("Idempotency-Key", key);
    let first = send(installation.gateway(0), &call).await?;
    let second = send(installation.gateway(1), &call).await?;
    println!(
        "\ntruck release sent through gateway 0: {} {}",
        first.status,
        first.text()
    );
    println!(
        "the same one through gateway 1: {} {}",
        second.status,
        second.text()
    );
    let executed: u32 = installation.upstreams.executions().values().sum();
    println!("the depot executed it {executed} time(s)");
    ensure!(executed == 1, "a release must run once");
    ensure!(first.body == second.body, "both must get the same answer");
    Ok(())
}

async fn change_limit(installation: &Installation, shape: &Shape) -> anyhow::Result<()> {
    let mut intent = intent(shape);
    intent
        .accounts
        .retain(|account| account.name.as_str() != "trial");
    intent.limits.max_micros_per_hour = Money(50_000_000);
    let (plan, confirmed) = installation.confirm(&intent).await?;
    println!("\nplan on revision {}:", plan.base_revision);
    for change in &plan.changes {
        println!("  {change}");
    }
    println!("confirmed as revision {}", confirmed.revision);
    let body = json!({"model": MODEL, "prompt": "hello", "max_tokens": 4});
    let call = Call::post("/v1/completions", FREE_TOKEN, &body);
    let answer = send(installation.gateway(1), &call).await?;
    println!(
        "the removed account is told: {} {}",
        answer.status,
        answer.text()
    );
    ensure!(answer.status == 401, "a removed account must be refused");
    Ok(())
}
