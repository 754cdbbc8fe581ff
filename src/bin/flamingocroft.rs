//! The operator's command-line tool.

use std::process::ExitCode;

use clap::Parser;
use flamingocroft::cmd::Cli;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    Cli::parse().run().await
}
