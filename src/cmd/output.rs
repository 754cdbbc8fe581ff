//! Output of the tool: text for people or JSON for scripts.

use std::io::{self, Write};

use serde::Serialize;
use serde_json::json;

use super::CmdError;

/// Prints results on standard output and errors on standard error.
#[derive(Clone, Copy, Debug)]
pub(super) struct Output {
    is_json: bool,
}

impl Output {
    pub(super) fn new(is_json: bool) -> Self {
        Self { is_json }
    }

    /// Prints a value as JSON or as the text that `describe` returns.
    ///
    /// # Errors
    ///
    /// Fails if standard output cannot be written.
    pub(super) fn print<T: Serialize>(
        self,
        value: &T,
        describe: impl Fn(&T) -> String,
    ) -> Result<(), CmdError> {
        let text = if self.is_json {
            serde_json::to_string_pretty(value).map_err(io::Error::other)
        } else {
            Ok(describe(value))
        };
        let printed = text.and_then(|text| writeln!(io::stdout(), "{}", text.trim_end()));
        printed.map_err(|cause| CmdError::Write {
            target: "the result".to_owned(),
            cause,
        })
    }

    /// Prints an error.
    pub(super) fn print_error(self, e: &CmdError) {
        let text = if self.is_json {
            error_as_json(e)
        } else {
            format!("error: {e}")
        };
        // If standard error is closed, there is nowhere to report the failure.
        let _ = writeln!(io::stderr(), "{text}");
    }
}

fn error_as_json(e: &CmdError) -> String {
    let mut error = json!({ "kind": e.kind(), "message": e.to_string() });
    if !e.problems().is_empty() {
        error["problems"] = json!(e.problems());
    }
    json!({ "error": error }).to_string()
}

/// Aligns rows in columns; each column is as wide as its widest cell.
pub(super) fn format_table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    rows.iter().map(|row| format_row(row, &widths)).collect()
}

fn format_row(row: &[String], widths: &[usize]) -> String {
    let cells: Vec<String> = row
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    format!("  {}\n", cells.join("  ").trim_end())
}
