//! What is wrong with a file, all of it at once.

use std::{
    fmt, io, mem,
    path::{Path, PathBuf},
};

use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;

/// Longest part of a value that a message shows, in characters.
const SHOWN_CHARS: usize = 60;

/// One thing that is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// The field, as a path such as `timing.view_lease_ms` or `zones[1].name`.
    pub field: String,
    /// What stands there.
    pub value: String,
    /// What to do.
    pub remedy: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is {}: {}", self.field, self.value, self.remedy)
    }
}

/// The problems found so far. It knows which fields are broken, so that nothing is reported that
/// only follows from another problem.
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
            value: shorten(&value.to_string()),
            remedy: remedy.into(),
        });
    }

    /// Returns whether no problem is known of a field, of its parts and of what holds it.
    pub(super) fn is_intact(&self, field: &str) -> bool {
        !self
            .list
            .iter()
            .any(|problem| holds(&problem.field, field) || holds(field, &problem.field))
    }

    /// Returns whether no problem is known of any of some fields.
    pub(super) fn are_intact(&self, fields: &[&str]) -> bool {
        fields.iter().all(|field| self.is_intact(field))
    }

    /// Reads a checked and repaired value. An error says that its table of fields is incomplete.
    pub(super) fn deserialize<T: DeserializeOwned>(
        &mut self,
        value: Value,
    ) -> Result<T, Vec<Problem>> {
        serde_json::from_value(value).map_err(|e| {
            self.add("the file", e, "correct the field that it names");
            mem::take(&mut self.list)
        })
    }

    /// Returns the value if there are no problems.
    pub(super) fn finish<T>(self, value: T) -> Result<T, Vec<Problem>> {
        if self.list.is_empty() {
            Ok(value)
        } else {
            Err(self.list)
        }
    }
}

/// Returns whether a field is another one or a part of it.
fn holds(outer: &str, inner: &str) -> bool {
    inner
        .strip_prefix(outer)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
}

fn shorten(text: &str) -> String {
    match text.char_indices().nth(SHOWN_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text.to_owned(),
    }
}

/// Why a file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// It cannot be read.
    #[error("could not read {}: {cause}; check the path and its permissions", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// The system's answer.
        cause: io::Error,
    },
    /// It is not JSON with comments.
    #[error("{} is not JSON with comments: {cause}", file.display())]
    Syntax {
        /// The file.
        file: PathBuf,
        /// What was found, and where.
        cause: String,
    },
    /// Its fields do not make sense.
    #[error("{}", list(file, problems))]
    Invalid {
        /// The file.
        file: PathBuf,
        /// All that is wrong.
        problems: Vec<Problem>,
    },
}

fn list(file: &Path, problems: &[Problem]) -> String {
    let count = match problems.len() {
        1 => "1 problem".to_owned(),
        n => format!("{n} problems"),
    };
    let lines: String = problems.iter().map(|p| format!("\n  {p}")).collect();
    format!("{} has {count}:{lines}", file.display())
}

/// Reads a file of JSON with comments, without looking at its fields.
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
