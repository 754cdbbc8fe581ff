//! The daemon.

use std::process::ExitCode;

use clap::Parser;
use flamingocroft::daemon::Daemon;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    match Daemon::parse().run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("flamingocroftd: {e:#}");
            ExitCode::FAILURE
        }
    }
}
