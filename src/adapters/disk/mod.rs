//! Durable storage of a replica: a data folder that belongs to one member for its whole lifetime.
//!
//! The folder holds a lock file, one log segment `log-N` and at most one `snapshot`. The segment's first
//! record contains the format version and the member identifier. A folder without a segment is new and
//! gets a random member identifier. See docs/DESIGN.md, "Replication".

mod error;
mod folder;
mod memory;
mod record;
mod recover;
mod store;

pub use error::StoreError;
pub use memory::memory_limit;
pub use store::{LogFile, LogStore};
