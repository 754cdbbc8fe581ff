//! Decides when the state is written as a snapshot, so that the log before it can be dropped. See docs/DESIGN.md,
//! "Replication".

/// Minimum number of entries applied between two snapshots.
const MIN_SNAPSHOT_ENTRIES: u64 = 16 * 1024;
/// Minimum size of the entries applied between two snapshots that their size makes due, in bytes: one entry of
/// the largest size.
const MIN_SNAPSHOT_BYTES: u64 = 4 * 1024 * 1024;
/// Size of the entries applied between two snapshots, as a multiple of the last snapshot's size.
const LOG_BYTES_PER_SNAPSHOT_BYTE: u64 = 2;

/// What was applied since the last snapshot, and what the next one costs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SinceSnapshot {
    /// Number of entries applied.
    pub entries: u64,
    /// Their size, in bytes.
    pub bytes: u64,
    /// Number of claims in the state.
    pub claims: u64,
    /// Size of the last snapshot's state, in bytes.
    pub snapshot_bytes: u64,
}

impl SinceSnapshot {
    /// Returns whether the next snapshot is due, by the number of the entries or by their size. A snapshot's cost
    /// grows with the number of claims and with its size, so both intervals grow with them: the amortized cost per
    /// entry and per byte stays constant.
    pub fn is_due(&self) -> bool {
        let bytes = self
            .snapshot_bytes
            .saturating_mul(LOG_BYTES_PER_SNAPSHOT_BYTE);
        self.entries >= MIN_SNAPSHOT_ENTRIES.max(self.claims)
            || self.bytes >= MIN_SNAPSHOT_BYTES.max(bytes)
    }
}
