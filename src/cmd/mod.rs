//! The sub-commands of the operator tool, one file each.
//!
//! | exit code | meaning |
//! |---|---|
//! | 0 | done |
//! | 1 | the controllers refused the request or failed |
//! | 2 | an argument or a file is invalid |
//! | 3 | the request conflicts with another change; plan again |
//! | 4 | no controller could respond in time, or there is no quorum |

mod check;
mod client;
mod completions;
mod confirm;
mod drain;
mod error;
mod explain;
mod history;
mod key;
mod logs;
mod members;
mod output;
mod plan;
mod status;
mod token;

pub use error::CmdError;

use std::{path::PathBuf, process::ExitCode, time::Duration};

use clap::{Args, Parser, Subcommand};

use client::OperatorClient;
use output::Output;

/// Operates a flamingocroft installation.
#[derive(Debug, Parser)]
#[command(name = "flamingocroft", version)]
pub struct Cli {
    #[command(flatten)]
    options: Options,
    #[command(subcommand)]
    command: Command,
}

/// Options of all sub-commands.
#[derive(Clone, Debug, Args)]
pub(crate) struct Options {
    /// Where a controller serves operators; may be repeated.
    #[arg(
        long = "controller",
        value_name = "ADDR",
        env = "FLAMINGOCROFT_CONTROLLERS",
        value_delimiter = ',',
        global = true
    )]
    controllers: Vec<String>,
    /// File with the operators' bearer token.
    #[arg(
        long,
        value_name = "FILE",
        env = "FLAMINGOCROFT_TOKEN_FILE",
        global = true
    )]
    token_file: Option<PathBuf>,
    /// Seconds for which calls to the leader are retried.
    #[arg(long, value_name = "SECONDS", default_value_t = 15, global = true)]
    timeout: u64,
    /// Prints JSON for scripts.
    #[arg(long, global = true)]
    json: bool,
}

impl Options {
    fn client(&self) -> Result<OperatorClient, CmdError> {
        OperatorClient::new(
            &self.controllers,
            self.token_file.as_deref(),
            Duration::from_secs(self.timeout),
        )
    }

    fn output(&self) -> Output {
        Output::new(self.json)
    }
}

/// A sub-command.
pub(crate) trait Run {
    /// Runs the sub-command and prints its result.
    async fn run(&self, options: &Options) -> Result<(), CmdError>;
}

#[derive(Debug, Subcommand)]
enum Command {
    Check(check::Check),
    Plan(plan::MakePlan),
    Confirm(confirm::Confirm),
    Status(status::ShowStatus),
    Explain(explain::Explain),
    History(history::History),
    Drain(drain::Drain),
    Members(members::Members),
    Token(token::MakeToken),
    Key(key::MakeKey),
    Completions(completions::Completions),
}

impl Run for Command {
    async fn run(&self, options: &Options) -> Result<(), CmdError> {
        match self {
            Self::Check(command) => command.run(options).await,
            Self::Plan(command) => command.run(options).await,
            Self::Confirm(command) => command.run(options).await,
            Self::Status(command) => command.run(options).await,
            Self::Explain(command) => command.run(options).await,
            Self::History(command) => command.run(options).await,
            Self::Drain(command) => command.run(options).await,
            Self::Members(command) => command.run(options).await,
            Self::Token(command) => command.run(options).await,
            Self::Key(command) => command.run(options).await,
            Self::Completions(command) => command.run(options).await,
        }
    }
}

impl Cli {
    /// Runs the sub-command, prints an error if there is one, and returns the exit code.
    pub async fn run(self) -> ExitCode {
        match self.command.run(&self.options).await {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                self.options.output().print_error(&e);
                e.exit_code().into()
            }
        }
    }
}
