//! `flamingocroft check`.

use std::path::PathBuf;

use clap::Args;
use serde::Serialize;
use serde_json::Value;

use super::{CmdError, Options, Run};
use crate::settings::{Settings, intent::read_intent, read_json_file};

/// Checks a settings file or an intent file and reports all its errors.
#[derive(Debug, Args)]
pub(super) struct Check {
    /// The file; its kind is detected from its content.
    file: PathBuf,
    /// Also checks the files and folders that settings name.
    #[arg(long)]
    files: bool,
}

#[derive(Debug, Serialize)]
struct Checked {
    file: PathBuf,
    kind: &'static str,
    summary: String,
}

impl Run for Check {
    async fn run(&self, options: &Options) -> Result<(), CmdError> {
        let value = read_json_file(&self.file)?;
        let (kind, summary) = if is_settings(&value) {
            ("settings", self.settings()?)
        } else {
            ("intent", self.intent()?)
        };
        let checked = Checked {
            file: self.file.clone(),
            kind,
            summary,
        };
        options.output().print(&checked, |checked| {
            let file = checked.file.display();
            format!(
                "{file}: {} without errors: {}",
                checked.kind, checked.summary
            )
        })
    }
}

impl Check {
    fn settings(&self) -> Result<String, CmdError> {
        let settings = if self.files {
            Settings::read(&self.file)?
        } else {
            Settings::read_without_file_checks(&self.file)?
        };
        Ok(format!(
            "{} {} in zone {}, {} controllers",
            settings.role,
            settings.name,
            settings.zone,
            settings.controllers.len()
        ))
    }

    fn intent(&self) -> Result<String, CmdError> {
        let intent = read_intent(&self.file)?;
        Ok(format!(
            "{} zones, {} services, {} accounts, {} models",
            intent.zones.len(),
            intent.services.len(),
            intent.accounts.len(),
            intent.models.len()
        ))
    }
}

/// Returns whether a file holds settings, which it does if it has a field that intents lack.
fn is_settings(value: &Value) -> bool {
    const SETTINGS_FIELDS: [&str; 4] = ["role", "controllers", "peer_address", "peer_key_file"];
    SETTINGS_FIELDS
        .iter()
        .any(|field| value.get(field).is_some())
}
