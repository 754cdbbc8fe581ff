//! How a request ends at this gateway, and what its readers are told.

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
    /// With the whole answer.
    Complete(StreamEnd),
    /// With a refusal.
    Failed(Refusal),
    /// It goes on at another gateway.
    HandedOver(Box<GatewayEntry>),
    /// Nobody waits for the answer.
    Abandoned,
}

impl<U: Upstreams, T: Clock> GenerationTask<U, T> {
    /// Ends the request: in the journal, at its readers and at its backup.
    pub(super) async fn finish(mut self, finish: RequestOutcome) {
        let id = self.request.completion.id;
        let journal = self.gateway.journal.clone();
        match &finish {
            RequestOutcome::Complete(end) => {
                journal.finish(id, Some(self.completed_answer(*end))).await
            }
            RequestOutcome::Abandoned if self.accepted => {
                let held = RequestCopy::of_own(&self.gateway.identity.name, &self.request);
                journal.retain_abandoned(id, held).await;
            }
            _ => journal.finish(id, None).await,
        }
        // Readers that came in between are fed before the last piece.
        self.add_pending_subscribers();
        let backup = std::mem::replace(&mut self.backup, Backup::none());
        match finish {
            RequestOutcome::Complete(end) => self.subscribers.send(&AnswerEvent::End(end)),
            RequestOutcome::Failed(refusal) => {
                self.record(DecisionKind::Refused(refusal.kind, refusal.ran));
                if self.accepted {
                    // A refusal before that is counted where it is answered.
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

    /// Refuses because there is nowhere left to try.
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

    /// An accepted request has run, whatever became of the later attempts.
    fn ran(&self) -> Ran {
        ran(self.may_have_arrived || self.accepted)
    }
}
