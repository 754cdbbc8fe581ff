//! Errors of the data folder.

use std::{
    io,
    path::{Path, PathBuf},
};

/// Why a data folder can't be opened or written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// An operating system call failed.
    #[error("cannot {action} {}: {source}; check the disk, its free space and its permissions", path.display())]
    Io {
        /// The operation, as a verb.
        action: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// Another process holds the lock of the folder.
    #[error("{} is in use by another process; stop that one or use another data folder", .0.display())]
    Locked(PathBuf),
    /// The folder was written in another format version.
    #[error("{} has format version {found}, not {expected}; start the version that wrote it", path.display())]
    Version {
        /// The file.
        path: PathBuf,
        /// The format version found.
        found: u32,
        /// The only supported format version.
        expected: u32,
    },
    /// Stored data is corrupt or missing.
    #[error(
        "{} is damaged at byte {offset}: {reason}; move the data folder away, start with an empty \
         one, and add it with `flamingocroft` as a new member in place of the old one", path.display()
    )]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Byte offset in the file.
        offset: u64,
        /// What is wrong, for the error message.
        reason: &'static str,
    },
    /// Reading the folder would take more memory than the process may use, so that it would be killed.
    #[error(
        "{} needs about {needed_mib} MiB of memory to start (log {log_mib} MiB, snapshot {snapshot_mib} MiB) and the \
         limit is {limit_mib} MiB; raise the memory of this machine or container above that, or, while a majority \
         of the other controllers runs, start with an empty data folder, which joins as a new member", path.display()
    )]
    TooLarge {
        /// The folder.
        path: PathBuf,
        /// Size of the log.
        log_mib: u64,
        /// Size of the snapshot.
        snapshot_mib: u64,
        /// Estimated memory of a start.
        needed_mib: u64,
        /// Memory that the process may use.
        limit_mib: u64,
    },
    /// An earlier write or sync failed, so that nothing more may be acknowledged.
    #[error("an earlier write to {} failed; restart the process once the disk works", .0.display())]
    Poisoned(PathBuf),
}

impl StoreError {
    pub(super) fn io(action: &'static str, path: &Path) -> impl FnOnce(io::Error) -> Self {
        let path = path.to_owned();
        move |source| Self::Io {
            action,
            path,
            source,
        }
    }

    pub(super) fn damaged(path: &Path, offset: u64, reason: &'static str) -> Self {
        Self::Damaged {
            path: path.to_owned(),
            offset,
            reason,
        }
    }
}
