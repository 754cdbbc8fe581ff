//! The durable side of a replica: one data folder, which belongs to one member for its whole life.
//!
//! The folder holds a lock file, one log segment `log-N` and at most one `snapshot`. The segment's
//! first record names the format version and the member; a folder without a segment is new and gets
//! a new random member identifier. See docs/DESIGN.md, "Replication".

mod error;
mod folder;
mod record;
mod recover;
mod store;

pub use error::StoreError;
pub use store::{LogFile, LogStore};
