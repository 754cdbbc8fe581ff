//! How a request ends at this gateway, and what its subscribers receive then.

use super::{AnswerEvent, CompletedAnswer, task::GenerationTask};
use crate::{
    domain::{GatewayEntry, Ran, Refusal, RefusalKind},
    gateway::{
        explain::DecisionKind,
        journal::{Backup, RequestCopy},
        refusals::{no_upstream, ran, upstream_failed},
    },
    ports::{Clock, StreamEnd, UpstreamError, Upstreams},
};

/// How a request ended at this gateway.
pub(super) enum RequestOutcome {
    /// The answer is complete.
    Complete(StreamEnd),
    /// The request is refused.
    Failed(Refusal),
    /// Another gateway continues the request.
    HandedOver(Box<GatewayEntry>),
    /// No subscriber is left.
    Abandoned,
}

impl<U: Upstreams, T: Clock> GenerationTask<U, T> {
    /// Ends the request in the journal, for its subscribers and at its backup.
    pub(super) async fn finish(mut self, outcome: RequestOutcome) {
        let id = self.request.completion.id;
        let journal = self.gateway.journal.clone();
        match &outcome {
            RequestOutcome::Complete(end) => {
                journal.finish(id, Some(self.completed_answer(*end))).await
            }
            RequestOutcome::Abandoned if self.accepted => {
                let copy = RequestCopy::of_own(&self.gateway.identity.name, &self.request);
                journal.retain_abandoned(id, copy).await;
            }
            _ => journal.finish(id, None).await,
        }
        // Subscriptions that arrived meanwhile must be added before the last event is sent.
        self.add_pending_subscribers();
        let backup = std::mem::replace(&mut self.backup, Backup::none());
        match outcome {
            RequestOutcome::Complete(end) => self.subscribers.send(&AnswerEvent::End(end)),
            RequestOutcome::Failed(refusal) => {
                self.record(DecisionKind::Refused(refusal.kind, refusal.ran));
                if self.accepted {
                    // A refusal of a request that was not accepted is counted by the HTTP handler.
                    self.gateway.metrics.count_refusal(refusal.kind);
                }
                self.subscribers.send(&AnswerEvent::Failed(refusal));
            }
            RequestOutcome::HandedOver(entry) => {
                self.gateway.counters.handed_over.increment();
                self.record(DecisionKind::HandedOver(entry.name.to_string()));
                self.subscribers.send(&AnswerEvent::Moved(entry));
                return;
            }
            RequestOutcome::Abandoned if self.accepted => return,
            RequestOutcome::Abandoned => {}
        }
        backup.remove(&self.gateway, id).await;
    }

    pub(super) fn complete(&self, end: StreamEnd) -> RequestOutcome {
        let tokens = self.request.completion.prefix.len() as u32;
        self.record(DecisionKind::Finished(tokens));
        RequestOutcome::Complete(end)
    }

    fn completed_answer(&self, end: StreamEnd) -> CompletedAnswer {
        let request = &self.request;
        CompletedAnswer {
            account: request.account.name.clone(),
            model: request.completion.model.clone(),
            chat: request.chat,
            tokens: request.completion.prefix.clone(),
            end,
        }
    }

    /// Refuses because no instance is left to try: with the last error, if there was an attempt.
    pub(super) fn no_instance_refusal(&self) -> Refusal {
        match &self.last_error {
            Some(e) => self.upstream_refusal(e),
            None => self.no_upstream_refusal(),
        }
    }

    pub(super) fn no_upstream_refusal(&self) -> Refusal {
        let refusal = match self.gateway.check_lease() {
            Ok(()) => no_upstream(),
            Err(refusal) => refusal,
        };
        Refusal {
            ran: self.ran(),
            ..refusal
        }
    }

    pub(super) fn deadline_refusal(&self) -> Refusal {
        let message = "the deadline passed; ask again with fewer tokens";
        Refusal {
            ran: self.ran(),
            ..Refusal::not_run(RefusalKind::DeadlineExceeded, message)
        }
    }

    pub(super) fn upstream_refusal(&self, e: &UpstreamError) -> Refusal {
        upstream_failed(e, self.ran() == Ran::Unknown)
    }

    /// An accepted request counts as possibly run, whatever happened in later attempts.
    fn ran(&self) -> Ran {
        ran(self.may_have_arrived || self.accepted)
    }
}
