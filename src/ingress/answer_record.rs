//! Records how the answer to a request ended, once.

use std::sync::Arc;

use hyper::StatusCode;
use tokio::time::Instant;

use super::{counters::Counters, millis};
use crate::{
    adapters::http::{Framing, Way},
    domain::{InstanceName, RequestClass},
    telemetry::{AccountMetrics, RequestOutcome},
};

/// What is recorded of an answer when it ends.
#[derive(Debug)]
pub(super) struct AnswerRecord {
    pub(super) id: String,
    pub(super) route: Arc<str>,
    pub(super) class: RequestClass,
    pub(super) account: AccountMetrics,
    pub(super) counters: Arc<Counters>,
    pub(super) status: StatusCode,
    pub(super) framing: Framing,
    /// How the connection reached the upstream that began the answer.
    pub(super) way: Way,
    /// Number of attempts until the answer began.
    pub(super) attempts: usize,
    /// The upstream that began the answer.
    pub(super) upstream: InstanceName,
    /// Why it was chosen.
    pub(super) choice: &'static str,
    /// When the request arrived.
    pub(super) arrived: Instant,
    /// When the answer began.
    pub(super) begun: Instant,
}

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerEnd<'a> {
    /// It went to the caller's connection whole.
    Whole,
    /// It was cut off.
    Cut {
        reason: &'a str,
        /// The upstream that it came from last, unless that was left.
        upstream: Option<&'a InstanceName>,
    },
    /// The caller's connection ended first.
    CallerLeft,
}

impl AnswerRecord {
    /// Counts and logs the end of the answer.
    pub(super) fn end(self, end: AnswerEnd<'_>) {
        let first_ms = millis(self.begun.duration_since(self.arrived));
        let ms = millis(self.arrived.elapsed());
        let (id, route, status) = (self.id.as_str(), &*self.route, self.status.as_u16());
        let outcome = match end {
            AnswerEnd::Whole => {
                let (level, outcome, message) = match self.status.is_success() {
                    true => (
                        log::Level::Info,
                        RequestOutcome::Answered,
                        "a request is answered",
                    ),
                    false => (
                        log::Level::Warn,
                        RequestOutcome::UpstreamFailed,
                        "a request is answered with the upstream's failure",
                    ),
                };
                log::log!(
                    level,
                    event = "request.answered", request = id, route = route,
                    upstream:% = self.upstream, status = status, attempt = self.attempts,
                    choice = self.choice, framing:? = self.framing, way:? = self.way,
                    first_ms = first_ms, ms = ms;
                    "ingress: {message}"
                );
                outcome
            }
            AnswerEnd::Cut { reason, upstream } => {
                log::warn!(
                    event = "answer.cut", request = id, route = route,
                    upstream = upstream.map(InstanceName::as_str).unwrap_or_default(),
                    status = status, attempt = self.attempts, framing:? = self.framing,
                    first_ms = first_ms, ms = ms;
                    "ingress: an answer is cut off: {reason}"
                );
                RequestOutcome::Cut
            }
            AnswerEnd::CallerLeft => {
                log::info!(
                    event = "answer.left", request = id, route = route,
                    upstream:% = self.upstream, status = status, attempt = self.attempts,
                    first_ms = first_ms, ms = ms;
                    "ingress: a caller's connection ended before its answer"
                );
                RequestOutcome::CallerLeft
            }
        };
        let class = Some(self.class);
        self.counters.count_outcome(class, &self.account, outcome);
    }
}
