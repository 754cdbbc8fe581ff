//! Counters of infrequent events at a gateway, for `GET /metrics`.

use crate::telemetry::{Counter, Metrics};

#[derive(Debug)]
pub(crate) struct Counters {
    /// Frames dropped because they came from an older incarnation or named another gateway as their
    /// owner.
    pub(crate) dropped_frames: Counter,
    /// Requests accepted without a backup.
    pub(crate) accepted_alone: Counter,
    /// Requests handed to another gateway.
    pub(crate) handed_over: Counter,
    /// Requests taken over from another gateway.
    pub(crate) taken_over: Counter,
    /// Outcomes that were not committed within the time for which an answer is delayed.
    pub(crate) late_outcomes: Counter,
}

impl Counters {
    /// Registers the counters.
    pub(crate) fn new(metrics: &Metrics) -> Self {
        Self {
            dropped_frames: metrics.register_counter(
                "flamingocroft.gateway.dropped_frames",
                "Frames dropped as those of an older incarnation or in another's name.",
            ),
            accepted_alone: metrics.register_counter(
                "flamingocroft.gateway.accepted_alone",
                "Requests accepted without a backup.",
            ),
            handed_over: metrics.register_counter(
                "flamingocroft.gateway.handed_over",
                "Requests handed to another gateway.",
            ),
            taken_over: metrics.register_counter(
                "flamingocroft.gateway.taken_over",
                "Requests taken over from another gateway.",
            ),
            late_outcomes: metrics.register_counter(
                "flamingocroft.gateway.late_outcomes",
                "Outcomes of claims not committed within the caller's wait.",
            ),
        }
    }
}
