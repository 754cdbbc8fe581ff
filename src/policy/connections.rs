//! How many connections of callers a process keeps, and which one is closed for a new one.
//!
//! Load: many callers that connect and send nothing, or a head byte by byte. See docs/design/CALLER_MEMORY.md.

use std::time::Duration;

use super::memory_budget::STALLED_TIME;

/// Part of the descriptors for callers; the rest is for upstreams, other processes and the disk.
const DESCRIPTORS_PART: (u64, u64) = (3, 4);
/// Part of the machine's memory for connections; bodies get as much.
const MEMORY_DIVISOR: u64 = 4;
/// The part of these connections that an endpoint without requests for upstreams gets besides.
const ENDPOINT_DIVISOR: usize = 16;
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

/// Returns how many connections such a machine bears on each endpoint for address resolution or readiness checks, besides
/// those of [`max_connections`].
pub fn max_endpoint_connections(descriptors: Option<u64>, memory_mb: Option<u64>) -> usize {
    (max_connections(descriptors, memory_mb) / ENDPOINT_DIVISOR).max(1)
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Awaits {
    /// More of a request body.
    Body,
    /// The rest of a request head.
    Head,
    /// The first byte of a request.
    Request,
    /// The end of the connection, after a response to a request that was not read completely.
    Close,
}

/// How soon a waiting connection is closed for a new one; later variants go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// Its caller may not have read the response yet.
    Answered,
    /// Its caller may be about to send a request, such as one that was just accepted.
    JustIdle,
    StalledBody,
    Head,
    Idle,
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

impl WaitingConnection {
    /// Returns `None` if it is not closed for a new one.
    fn rank(&self) -> Option<Rank> {
        let is_stalled = self.waited >= STALLED_TIME;
        match (self.awaits, is_stalled) {
            (Awaits::Request | Awaits::Close, true) => Some(Rank::Idle),
            (Awaits::Head, _) => Some(Rank::Head),
            (Awaits::Body, true) => Some(Rank::StalledBody),
            (Awaits::Request, false) => Some(Rank::JustIdle),
            (Awaits::Close, false) => Some(Rank::Answered),
            (Awaits::Body, false) => None,
        }
    }
}

/// Chooses the connection that is closed for a new one: one that has been idle for a time, or else the slowest head, a
/// stalled body, one that just became idle, or one that was just answered and closes. Among equals, that which has waited
/// longest.
pub fn choose_closed(waiting: impl IntoIterator<Item = WaitingConnection>) -> Option<u64> {
    let ranked = waiting
        .into_iter()
        .filter_map(|connection| Some((connection.rank()?, connection.waited, connection.id)));
    let (_, _, id) = ranked.max_by_key(|(rank, waited, _)| (*rank, *waited))?;
    Some(id)
}
