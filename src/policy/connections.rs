//! How many connections of callers a process keeps, and which one is closed for a new one.
//!
//! Load: many callers that connect and send nothing, or a head byte by byte. See docs/design/CALLER_MEMORY.md.

use std::time::Duration;

use super::memory_budget::STALLED_TIME;

/// Part of the descriptors for callers; the rest is for upstreams, other processes and the disk.
const DESCRIPTORS_PART: (u64, u64) = (3, 4);
/// Part of the machine's memory for connections; bodies get as much.
const MEMORY_DIVISOR: u64 = 4;
/// Memory for one connection, in bytes: its buffers and the state of its request without the body.
const CONNECTION_BYTES: u64 = 64 * 1024;
const MIB: u64 = 1024 * 1024;

/// Returns how many connections of callers a machine with these descriptors and this memory bears. What it does not
/// state bounds nothing.
pub fn max_connections(descriptors: Option<u64>, memory_mb: Option<u64>) -> usize {
    let (part, whole) = DESCRIPTORS_PART;
    let by_descriptors = descriptors.map(|count| count / whole * part);
    let by_memory =
        memory_mb.map(|mib| mib.saturating_mul(MIB) / MEMORY_DIVISOR / CONNECTION_BYTES);
    let bounds = by_descriptors.into_iter().chain(by_memory);
    bounds
        .min()
        .map_or(usize::MAX, |bound| bound.max(1) as usize)
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Awaits {
    /// More of a request body.
    Body,
    /// The rest of a request head.
    Head,
    /// The first byte of a request.
    Request,
}

/// An open connection whose caller has to send next.
#[derive(Clone, Copy, Debug)]
pub struct WaitingConnection {
    /// Its number.
    pub id: u64,
    /// What it waits for.
    pub awaits: Awaits,
    /// For how long.
    pub waited: Duration,
}

/// Chooses the connection that is closed for a new one: the one that has waited longest for a request, or else for a head, or
/// else for a stalled body.
pub fn choose_closed(waiting: impl IntoIterator<Item = WaitingConnection>) -> Option<u64> {
    let longest = waiting
        .into_iter()
        .filter(|connection| connection.awaits != Awaits::Body || connection.waited >= STALLED_TIME)
        .max_by_key(|connection| (connection.awaits, connection.waited));
    longest.map(|connection| connection.id)
}
