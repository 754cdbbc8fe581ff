//! `flamingocroft history`.

use chrono::{DateTime, SecondsFormat};
use clap::Args;

use super::{CmdError, Options, Run};
use crate::operator::HistoryEntry;

/// Lists the confirmed revisions.
#[derive(Debug, Args)]
pub(super) struct History {}

impl Run for History {
    async fn run(&self, options: &Options) -> Result<(), CmdError> {
        let entries: Vec<HistoryEntry> = options.client()?.get("/v1/history").await?;
        options
            .output()
            .print(&entries, |entries| describe(entries))
    }
}

fn describe(entries: &[HistoryEntry]) -> String {
    if entries.is_empty() {
        return "No revision is confirmed yet.".to_owned();
    }
    entries.iter().map(describe_entry).collect()
}

fn describe_entry(entry: &HistoryEntry) -> String {
    let changes: String = entry
        .changes
        .iter()
        .map(|line| format!("  {line}\n"))
        .collect();
    let time = format_time(entry.at_unix_ms);
    format!(
        "Revision {}  {time}  operation {}\n{changes}",
        entry.revision, entry.operation
    )
}

/// Formats a Unix time in milliseconds as RFC 3339 in UTC.
pub(super) fn format_time(unix_ms: u64) -> String {
    let time = i64::try_from(unix_ms).ok();
    match time.and_then(DateTime::from_timestamp_millis) {
        Some(time) => time.to_rfc3339_opts(SecondsFormat::Millis, true),
        None => format!("{unix_ms} ms since 1970"),
    }
}
