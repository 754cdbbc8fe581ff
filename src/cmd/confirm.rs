//! `flamingocroft confirm`.

use std::path::PathBuf;

use clap::Args;

use super::{CmdError, Options, Run};
use crate::operator::{ConfirmRequest, Confirmed, Plan};

/// Puts a plan in force. It may be run again after a lost answer: the plan takes effect once.
#[derive(Debug, Args)]
pub(super) struct Confirm {
    /// The file that `plan -o` wrote.
    plan: PathBuf,
}

impl Run for Confirm {
    async fn run(&self, options: &Options) -> Result<(), CmdError> {
        let plan = self.read_plan()?;
        let req = ConfirmRequest {
            operation: plan.operation,
            base_revision: plan.base_revision,
            intent: plan.intent,
        };
        let confirmed: Confirmed = options.client()?.post("/v1/confirm", &req).await?;
        options.output().print(&confirmed, describe)
    }
}

impl Confirm {
    fn read_plan(&self) -> Result<Plan, CmdError> {
        let file = self.plan.display();
        let text = std::fs::read_to_string(&self.plan)
            .map_err(|e| CmdError::Usage(format!("could not read the plan {file}: {e}")))?;
        serde_json::from_str(&text).map_err(|e| {
            CmdError::Usage(format!(
                "{file} is not a plan ({e}); make one with `flamingocroft plan FILE -o PLAN`"
            ))
        })
    }
}

fn describe(confirmed: &Confirmed) -> String {
    let reach = if confirmed.everywhere {
        "in force everywhere"
    } else {
        "on its way to the others"
    };
    format!(
        "Revision {} is confirmed: at {} of {} gateways, {reach}.",
        confirmed.revision, confirmed.in_force, confirmed.gateways
    )
}
