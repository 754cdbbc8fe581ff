//! Problems of a settings or intent file, collected so that all are reported at once.

use std::{
    fmt, io, mem,
    path::{Path, PathBuf},
};

use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;

/// Longest part of an invalid value that a message shows, in characters.
const MAX_SHOWN_VALUE_CHARS: usize = 60;

/// An invalid field of a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// The field, as a path such as `timing.view_lease_ms` or `zones[1].name`.
    pub field: String,
    /// The invalid value, truncated if it is long, or `missing`.
    pub value: String,
    /// How to correct the field.
    pub remedy: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is {}: {}", self.field, self.value, self.remedy)
    }
}

/// The problems found so far. Checks ask which fields are already known to be invalid, so that no
/// problem is reported that only follows from another one.
#[derive(Debug, Default)]
pub(super) struct Problems {
    list: Vec<Problem>,
}

impl Problems {
    /// Reports a problem.
    pub(super) fn add(
        &mut self,
        field: impl Into<String>,
        value: impl fmt::Display,
        remedy: impl Into<String>,
    ) {
        self.list.push(Problem {
            field: field.into(),
            value: truncate(&value.to_string()),
            remedy: remedy.into(),
        });
    }

    /// Returns whether no problem was reported for a field, its parts or the fields that contain it.
    pub(super) fn is_valid(&self, field: &str) -> bool {
        !self.list.iter().any(|problem| {
            is_same_or_parent(&problem.field, field) || is_same_or_parent(field, &problem.field)
        })
    }

    /// Returns whether [`Self::is_valid`] holds for all fields.
    pub(super) fn are_valid(&self, fields: &[&str]) -> bool {
        fields.iter().all(|field| self.is_valid(field))
    }

    /// Deserializes a validated and repaired value. An error means that the schema is incomplete.
    pub(super) fn deserialize<T: DeserializeOwned>(
        &mut self,
        value: Value,
    ) -> Result<T, Vec<Problem>> {
        serde_json::from_value(value).map_err(|e| {
            self.add("the file", e, "correct the field that it names");
            mem::take(&mut self.list)
        })
    }

    /// Returns the value, or the problems if there are any.
    pub(super) fn into_result<T>(self, value: T) -> Result<T, Vec<Problem>> {
        if self.list.is_empty() {
            Ok(value)
        } else {
            Err(self.list)
        }
    }
}

/// Returns whether `inner` is the same field as `outer` or a part of it.
fn is_same_or_parent(outer: &str, inner: &str) -> bool {
    inner
        .strip_prefix(outer)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
}

fn truncate(text: &str) -> String {
    match text.char_indices().nth(MAX_SHOWN_VALUE_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text.to_owned(),
    }
}

/// Why a settings or intent file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The file cannot be read.
    #[error("could not read {}: {cause}; check the path and its permissions", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// The I/O error.
        cause: io::Error,
    },
    /// The file is not JSON with comments.
    #[error("{} is not JSON with comments: {cause}", file.display())]
    Syntax {
        /// The file.
        file: PathBuf,
        /// The parser's message, with the position.
        cause: String,
    },
    /// Some fields are missing, unknown or invalid.
    #[error("{}", format_problems(file, problems))]
    Invalid {
        /// The file.
        file: PathBuf,
        /// All problems found.
        problems: Vec<Problem>,
    },
}

fn format_problems(file: &Path, problems: &[Problem]) -> String {
    let count = match problems.len() {
        1 => "1 problem".to_owned(),
        n => format!("{n} problems"),
    };
    let lines: String = problems.iter().map(|p| format!("\n  {p}")).collect();
    format!("{} has {count}:{lines}", file.display())
}

/// Reads and parses a file of JSON with comments, without validating its fields.
///
/// # Errors
///
/// Fails if the file cannot be read or parsed.
pub fn read_json_file(file: &Path) -> Result<Value, FileError> {
    let text = std::fs::read_to_string(file).map_err(|cause| FileError::Unreadable {
        file: file.to_owned(),
        cause,
    })?;
    json5::from_str(&text).map_err(|e| FileError::Syntax {
        file: file.to_owned(),
        cause: e.to_string(),
    })
}
