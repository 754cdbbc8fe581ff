//! The experiment: arrivals, a queue model of the engines in virtual time, tables and plots.

mod arrivals;
mod background;
mod decision;
mod dispatch;
mod engine;
mod events;
mod gateway;
mod loopback;
mod naive;
mod placement;
mod plot;
mod results;
mod scenario;
mod simulation;
mod site;
#[path = "../support/mod.rs"]
mod support;
mod table;

use std::{path::PathBuf, thread};

use clap::Parser;

use decision::Decision;
use results::Results;
use scenario::Scenario;
use site::Site;

/// Compares each decision with a naive baseline on the same arrivals.
#[derive(Debug, Parser)]
pub struct Args {
    /// Folder for the plots, created if missing.
    folder: PathBuf,
    /// Run only this decision.
    #[arg(long)]
    decision: Option<Decision>,
    /// Number of seeds, from 1, whose runs are added up.
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// Run only this scenario.
    #[arg(long)]
    scenario: Option<Scenario>,
    /// Number of runs in parallel.
    #[arg(long, default_value_t = 3)]
    threads: usize,
    /// Drives real gateways and stand-in engines over loopback instead of the queue model.
    #[arg(long)]
    loopback: bool,
}

/// Results of one variant under one scenario at one site.
struct Row {
    site: &'static str,
    scenario: Scenario,
    variant: &'static str,
    results: Results,
}

/// Runs the experiment, prints the tables and writes the plots.
pub fn run(args: &Args) -> anyhow::Result<()> {
    if args.loopback {
        return loopback::run();
    }
    println!("Mode: queue model of the engines in virtual time; the decisions are the product's.");
    for decision in Decision::ALL {
        if args.decision.is_some_and(|only| only != decision) {
            continue;
        }
        if decision == Decision::Place {
            placement::print_table();
        }
        let rows = measure_all(decision, args);
        table::print(decision, &rows);
        plot::write(&args.folder, decision, &rows)?;
    }
    Ok(())
}

/// Measures all variants in parallel. The order and the results do not depend on the number of
/// threads.
fn measure_all(decision: Decision, args: &Args) -> Vec<Row> {
    let runs: Vec<_> = Site::all()
        .into_iter()
        .flat_map(|site| Scenario::ALL.map(|scenario| (site.clone(), scenario)))
        .filter(|(_, scenario)| args.scenario.is_none_or(|only| only == *scenario))
        .collect();
    let each = runs.len().div_ceil(args.threads.max(1));
    thread::scope(|scope| {
        let parts: Vec<_> = runs
            .chunks(each)
            .map(|part| scope.spawn(move || measure(decision, args.seeds, part)))
            .collect();
        parts
            .into_iter()
            .flat_map(|part| part.join().expect("a run ends"))
            .collect()
    })
}

fn measure(decision: Decision, seeds: u64, runs: &[(Site, Scenario)]) -> Vec<Row> {
    let mut rows = Vec::new();
    for (site, scenario) in runs {
        for (variant, policies) in decision.variants() {
            let mut results = Results::default();
            for seed in 1..=seeds {
                let arrivals = arrivals::generate(site, *scenario, seed);
                results.add(simulation::run(site, *scenario, policies, &arrivals, seed));
            }
            rows.push(Row {
                site: site.name,
                scenario: *scenario,
                variant,
                results,
            });
        }
    }
    rows
}
