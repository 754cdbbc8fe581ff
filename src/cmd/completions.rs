//! `flamingocroft completions`.

use std::io;

use clap::{Args, CommandFactory};
use clap_complete::Shell;

use super::{Cli, CmdError, Options, Run};

/// Prints completions for a shell.
#[derive(Debug, Args)]
pub(super) struct Completions {
    /// The shell.
    shell: Shell,
}

impl Run for Completions {
    async fn run(&self, _: &Options) -> Result<(), CmdError> {
        let mut command = Cli::command();
        clap_complete::generate(self.shell, &mut command, "flamingocroft", &mut io::stdout());
        Ok(())
    }
}
