//! `flamingocroft history`.

use clap::Args;

use super::{CmdError, Options, Run};
use crate::operator::HistoryEntry;

/// Lists the confirmed revisions.
#[derive(Debug, Args)]
pub(super) struct History {}

impl Run for History {
    async fn run(&self, options: &Options) -> Result<(), CmdError> {
        let entries: Vec<HistoryEntry> = options.client()?.get("/v1/history").await?;
        options.output().show(&entries, |entries| describe(entries))
    }
}

fn describe(entries: &[HistoryEntry]) -> String {
    if entries.is_empty() {
        return "No revision is confirmed yet.".to_owned();
    }
    entries.iter().map(entry).collect()
}

fn entry(entry: &HistoryEntry) -> String {
    let changes: String = entry
        .changes
        .iter()
        .map(|line| format!("  {line}\n"))
        .collect();
    let time = time(entry.at_unix_ms);
    format!(
        "Revision {}  {time}  operation {}\n{changes}",
        entry.revision, entry.operation
    )
}

/// Writes a time as a date and a time of day in UTC.
pub(super) fn time(unix_ms: u64) -> String {
    const DAY_MS: u64 = 24 * 3600 * 1000;
    let (year, month, day) = date(unix_ms / DAY_MS);
    let ms = unix_ms % DAY_MS;
    let (hour, minute) = (ms / 3_600_000, ms / 60_000 % 60);
    let (second, ms) = (ms / 1000 % 60, ms % 1000);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{ms:03}Z")
}

/// Turns days since 1970-01-01 into a date of the Gregorian calendar, in 400-year cycles that begin
/// on a first of March, so that a leap day ends its year.
fn date(days: u64) -> (u64, u64, u64) {
    const CYCLE_DAYS: u64 = 146_097;
    const DAYS_BEFORE_1970: u64 = 719_468;
    let days = days + DAYS_BEFORE_1970;
    let cycle = days / CYCLE_DAYS;
    let day = days % CYCLE_DAYS;
    let year = (day - day / 1460 + day / 36_524 - day / 146_096) / 365;
    let day_of_year = day - (365 * year + year / 4 - year / 100);
    let month = (5 * day_of_year + 2) / 153;
    let day_of_month = day_of_year - (153 * month + 2) / 5 + 1;
    let month = if month < 10 { month + 3 } else { month - 9 };
    let year = cycle * 400 + year + u64::from(month <= 2);
    (year, month, day_of_month)
}
