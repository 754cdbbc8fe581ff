//! Chooses the upstream instance for a request.

use std::time::Duration;

use crate::domain::{InstanceName, RoutingWeights, ZoneName};

/// An instance that may take the request. Leaving instances are not candidates.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The instance.
    pub instance: InstanceName,
    /// Where it runs.
    pub zone: ZoneName,
    /// Requests that it serves at once.
    pub slots: u32,
    /// Its last report, if there was one.
    pub report: Option<Report>,
    /// This gateway's requests at it that were sent after that report was made.
    pub sent_since_report: u32,
    /// This gateway's requests in progress at it.
    pub in_progress: u32,
    /// Prompt tokens of this request that it is believed to have cached; nothing if its cache
    /// events are missing or old.
    pub cached_tokens: Option<u32>,
    /// Whether its last exchange failed or went silent.
    pub suspect: bool,
}

/// An instance's load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub queued: u32,
    /// Age of the report now.
    pub age: Duration,
}

/// What routing needs to know of a request.
#[derive(Clone, Debug)]
pub struct RouteRequest {
    /// The gateway's availability zone.
    pub zone: ZoneName,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// Hash that is the same for all requests of a conversation: of its first prefix.
    pub home: u64,
}

/// Returns the position of the best candidate, or nothing if there is none.
pub fn choose(
    req: &RouteRequest,
    candidates: &[Candidate],
    weights: &RoutingWeights,
) -> Option<usize> {
    let _ = (req, weights);
    (0..candidates.len()).min_by_key(|&i| (candidates[i].suspect, candidates[i].in_progress))
}
