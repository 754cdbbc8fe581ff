//! What is wrong with a file, all of it at once.

use std::{
    fmt, io,
    path::{Path, PathBuf},
};

use serde_json::Value;

/// Longest part of a value that a message shows, in characters.
const SHOWN_CHARS: usize = 60;

/// One thing that is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The field, as a path such as `timing.view_lease_ms` or `zones[1].name`.
    pub field: String,
    /// What stands there.
    pub value: String,
    /// What to do.
    pub remedy: String,
}

impl Problem {
    /// Makes a problem with a value that can be shown.
    pub(super) fn new(
        field: impl Into<String>,
        value: impl fmt::Display,
        remedy: impl Into<String>,
    ) -> Self {
        Self {
            field: field.into(),
            value: shorten(&value.to_string()),
            remedy: remedy.into(),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is {}: {}", self.field, self.value, self.remedy)
    }
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
pub fn read_value(file: &Path) -> Result<Value, FileError> {
    let text = std::fs::read_to_string(file).map_err(|cause| FileError::Unreadable {
        file: file.to_owned(),
        cause,
    })?;
    json5::from_str(&text).map_err(|e| FileError::Syntax {
        file: file.to_owned(),
        cause: e.to_string(),
    })
}
