//! Measures the costs that docs/CAPACITY.md is computed from: load and cache polls, heartbeats,
//! claims, and the sizes of messages and state. CPU figures are processor time rather than elapsed
//! time, since the machine may be shared. Run `cargo build --release && cargo run --release --example measure_scale`; a part alone
//! by its name: `polls`, `events`, `gateways`, `claims`, `state`, `prefixes` or `sizes`.

#[path = "measure_scale/claims.rs"]
mod claims;
#[path = "measure_scale/gateways.rs"]
mod gateways;
#[path = "measure_scale/polls.rs"]
mod polls;
#[path = "measure_scale/servers.rs"]
mod servers;
#[path = "measure_scale/sizes.rs"]
mod sizes;
#[path = "measure_scale/state.rs"]
mod state;
#[path = "support/mod.rs"]
mod support;
#[path = "measure_scale/usage.rs"]
mod usage;

use std::path::PathBuf;

use anyhow::Context;

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let wanted = std::env::args().nth(1);
    let runs = |part| wanted.as_deref().is_none_or(|name| name == part);
    let program = program()?;
    if runs("sizes") {
        sizes::print();
    }
    if runs("state") {
        state::measure_claims()?;
        state::measure_changes()?;
    }
    if runs("prefixes") {
        state::measure_prefixes()?;
    }
    if runs("polls") {
        polls::measure(&program, &[20, 100, 400, 950], &[0]).await?;
    }
    if runs("events") {
        polls::measure(&program, &[100], &[5, 20]).await?;
    }
    if runs("gateways") {
        gateways::measure(&program, &[4, 16, 64, 128]).await?;
    }
    if runs("claims") {
        claims::measure(&program, &[1, 16, 64]).await?;
    }
    Ok(())
}

/// Returns the path of the daemon built in the same target folder as this example.
fn program() -> anyhow::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folder = own.ancestors().nth(2).context("no target folder")?;
    Ok(folder.join("flamingocroftd"))
}
