//! Compares each decision with a naive baseline on the same arrivals. See docs/DECISIONS.md.
//!
//! `cargo run --release --example experiment -- target/experiment`

#[path = "experiment/mod.rs"]
mod experiment;

use clap::Parser;

fn main() -> anyhow::Result<()> {
    experiment::run(&experiment::Args::parse())
}
