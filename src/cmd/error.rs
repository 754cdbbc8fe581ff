//! Errors of the operator tool and their exit codes.

use crate::settings::{FileError, Problem};

/// Why a sub-command failed.
#[derive(Debug, thiserror::Error)]
pub enum CmdError {
    /// The controllers refused the request or failed.
    #[error("{message}")]
    Refused {
        /// The machine-readable kind.
        kind: String,
        /// What happened and what to do.
        message: String,
    },
    /// An argument, or a file given by one, is invalid.
    #[error("{0}")]
    Usage(String),
    /// A settings or intent file cannot be used.
    #[error(transparent)]
    File(#[from] FileError),
    /// The request conflicts with another change, such as a newer revision.
    #[error("{0}")]
    Conflict(String),
    /// No server could respond in time.
    #[error("{0}")]
    Unreachable(String),
    /// The output could not be written.
    #[error("could not write {target}: {cause}; check the path and its permissions")]
    Write {
        /// Where the output goes.
        target: String,
        /// The I/O error.
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

    /// Returns the problems of an invalid file, or none for other errors.
    pub fn problems(&self) -> &[Problem] {
        match self {
            Self::File(FileError::Invalid { problems, .. }) => problems,
            _ => &[],
        }
    }
}
