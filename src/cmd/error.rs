//! Errors of the operator tool, by exit code.

use crate::settings::{FileError, Problem};

/// Why a sub-command failed.
#[derive(Debug, thiserror::Error)]
pub enum CmdError {
    /// The controllers refused the order or failed.
    #[error("{message}")]
    Refused {
        /// The machine-readable kind.
        kind: String,
        /// What happened and what to do.
        message: String,
    },
    /// An argument or a file is wrong.
    #[error("{0}")]
    Usage(String),
    /// A file is wrong.
    #[error(transparent)]
    File(#[from] FileError),
    /// Another change came first.
    #[error("{0}")]
    Conflict(String),
    /// No controller could answer in time.
    #[error("{0}")]
    Unreachable(String),
    /// The result could not be written.
    #[error("could not write {place}: {cause}; check the path and its permissions")]
    Write {
        /// Where to.
        place: String,
        /// The system's answer.
        cause: std::io::Error,
    },
}

impl CmdError {
    /// Returns the exit code of the process; see the module `crate::cmd`.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Refused { .. } | Self::Write { .. } => 1,
            Self::Usage(_) | Self::File(_) => 2,
            Self::Conflict(_) => 3,
            Self::Unreachable(_) => 4,
        }
    }

    /// Returns the machine-readable kind.
    pub fn kind(&self) -> &str {
        match self {
            Self::Refused { kind, .. } => kind,
            Self::Usage(_) => "usage",
            Self::File(_) => "file",
            Self::Conflict(_) => "conflict",
            Self::Unreachable(_) => "unreachable",
            Self::Write { .. } => "write",
        }
    }

    /// Returns what is wrong with the fields of a file, if that is the error.
    pub fn problems(&self) -> &[Problem] {
        match self {
            Self::File(FileError::Invalid { problems, .. }) => problems,
            _ => &[],
        }
    }
}
