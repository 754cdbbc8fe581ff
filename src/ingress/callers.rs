//! What the gateway's server tells about the connections of callers.

use std::sync::Arc;

use hyper::{HeaderMap, header::HeaderValue};

use crate::{
    adapters::http::{EndCause, Observer},
    ports::Platform,
    telemetry::{Counter, Metrics},
};

/// Reads the platform's identifiers of requests, and counts connections that end early.
pub(super) struct CallerObserver<P> {
    platform: Arc<P>,
    early_ends: [Counter; EndCause::ALL.len()],
    closed_for_room: Counter,
}

impl<P> CallerObserver<P> {
    pub(super) fn new(platform: Arc<P>, metrics: &Metrics) -> Self {
        let early_ends = EndCause::ALL.map(|cause| {
            let help = "Connections that ended before the response of a request was complete.";
            let labels = [("cause", cause.name())];
            metrics.register_labelled_counter("ingress_connections_ended_early", help, &labels)
        });
        Self {
            platform,
            early_ends,
            closed_for_room: metrics.register_counter(
                "ingress_connections_closed_for_room",
                "Connections of callers that were closed because there were too many.",
            ),
        }
    }
}

impl<P: Platform> Observer for CallerObserver<P> {
    fn request_id(&self, headers: &HeaderMap) -> Option<HeaderValue> {
        self.platform.request_id(headers)
    }

    fn mark_failure(&self, request: Option<&HeaderValue>, headers: &mut HeaderMap) {
        let id = request.and_then(|id| id.to_str().ok()).unwrap_or_default();
        self.platform.mark_refusal(headers, id, None);
    }

    fn count_closed_for_room(&self) {
        self.closed_for_room.increment();
    }

    fn count_early_end(&self, cause: EndCause) {
        let causes = EndCause::ALL.iter().zip(&self.early_ends);
        for (_, counter) in causes.filter(|(other, _)| **other == cause) {
            counter.increment();
        }
    }
}
