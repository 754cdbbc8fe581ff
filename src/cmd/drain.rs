//! `flamingocroft drain`.

use clap::Args;
use uuid::Uuid;

use super::{CmdError, Options, Run};
use crate::{
    domain::OperationId,
    operator::{DrainRequest, Drained},
};

/// Drains an instance: it finishes its requests in progress and gets no new ones.
#[derive(Debug, Args)]
pub(super) struct Drain {
    /// The instance.
    instance: String,
}

impl Run for Drain {
    async fn run(&self, options: &Options) -> Result<(), CmdError> {
        let req = DrainRequest {
            operation: OperationId(Uuid::now_v7()),
        };
        let path = format!("/v1/drain/{}", self.instance);
        let drained: Drained = options.client()?.post(&path, &req).await?;
        options.output().print(&drained, |drained| {
            format!(
                "{} is leaving as of log index {}.",
                self.instance, drained.index
            )
        })
    }
}
