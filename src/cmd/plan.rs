//! `flamingocroft plan`.

use std::{
    fs,
    path::{Path, PathBuf},
};

use clap::Args;

use super::{CmdError, Options, Run, output::format_table};
use crate::{
    operator::{PlacementRow, Plan},
    settings::intent::read_intent,
};

/// Shows what an intent would change and cost. Nothing changes before `confirm`.
#[derive(Debug, Args)]
pub(super) struct MakePlan {
    /// The intent file.
    file: PathBuf,
    /// Writes the plan to a file for `confirm`.
    #[arg(short, long, value_name = "PLAN")]
    output: Option<PathBuf>,
}

impl Run for MakePlan {
    async fn run(&self, options: &Options) -> Result<(), CmdError> {
        let intent = read_intent(&self.file)?;
        let plan: Plan = options.client()?.post("/v1/plan", &intent).await?;
        if let Some(file) = &self.output {
            write_plan(file, &plan)?;
        }
        options.output().print(&plan, |plan| self.describe(plan))
    }
}

impl MakePlan {
    fn describe(&self, plan: &Plan) -> String {
        let next = match &self.output {
            Some(file) => format!("To do it: flamingocroft confirm {}", file.display()),
            None => "To do it, plan again with -o PLAN and confirm that file.".to_owned(),
        };
        format!("{}{next}", describe(plan))
    }
}

/// Formats a plan as text.
pub(super) fn describe(plan: &Plan) -> String {
    let mut text = format!("Plan on revision {}\n", plan.base_revision);
    text += &section("Changes", &plan.changes, "none");
    let rows: Vec<Vec<String>> = plan.placement.iter().map(placement_row).collect();
    if !rows.is_empty() {
        text += "Instances\n";
        text += &format_table(&rows);
    }
    text += &section("Shortfalls", &plan.shortfalls, "none");
    let cost = format!(
        "Cost an hour: {} before, {} after\n",
        plan.cost_before, plan.cost_after
    );
    text + &cost
}

fn section(title: &str, lines: &[String], empty: &str) -> String {
    if lines.is_empty() {
        return format!("{title}: {empty}\n");
    }
    let lines: String = lines.iter().map(|line| format!("  {line}\n")).collect();
    format!("{title}\n{lines}")
}

fn placement_row(row: &PlacementRow) -> Vec<String> {
    let purchase = serde_json::to_value(row.purchase).unwrap_or_default();
    vec![
        row.service.to_string(),
        row.zone.to_string(),
        row.class.0.to_string(),
        purchase.as_str().unwrap_or_default().replace('_', "-"),
        format!("{} -> {}", row.before, row.after),
    ]
}

fn write_plan(file: &Path, plan: &Plan) -> Result<(), CmdError> {
    let text = serde_json::to_string_pretty(plan).map_err(std::io::Error::other);
    text.and_then(|text| fs::write(file, text + "\n"))
        .map_err(|cause| CmdError::Write {
            target: file.display().to_string(),
            cause,
        })
}
