//! How a request ends at this gateway, and what its readers are told.

use super::{Answer, Piece, pump::Pump};
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
pub(super) enum Finish {
    /// With the whole answer.
    Whole(StreamEnd),
    /// With a refusal.
    Failed(Refusal),
    /// It goes on at another gateway.
    Moved(Box<GatewayEntry>),
    /// Nobody waits for the answer.
    Abandoned,
}

impl<U: Upstreams, T: Clock> Pump<U, T> {
    /// Ends the request: in the journal, at its readers and at its backup.
    pub(super) async fn finish(mut self, finish: Finish) {
        let id = self.request.completion.id;
        let journal = self.gateway.journal.clone();
        match &finish {
            Finish::Whole(end) => journal.finish(id, Some(self.answer(*end))).await,
            Finish::Abandoned if self.accepted => {
                let held = RequestCopy::of_own(&self.gateway.identity.name, &self.request);
                journal.retain_abandoned(id, held).await;
            }
            _ => journal.finish(id, None).await,
        }
        // Readers that came in between are fed before the last piece.
        self.add_waiting_readers();
        let backup = std::mem::replace(&mut self.backup, Backup::none());
        match finish {
            Finish::Whole(end) => self.audience.send(&Piece::End(end)),
            Finish::Failed(refusal) => {
                self.record(DecisionKind::Refused(refusal.kind, refusal.ran));
                if self.accepted {
                    // A refusal before that is counted where it is answered.
                    self.gateway.metrics.refusal(refusal.kind);
                }
                self.audience.send(&Piece::Failed(refusal));
            }
            Finish::Moved(entry) => {
                self.gateway.counters.handed_over.add();
                self.record(DecisionKind::HandedOver(entry.name.to_string()));
                self.audience.send(&Piece::Moved(entry));
                return;
            }
            Finish::Abandoned if self.accepted => return,
            Finish::Abandoned => {}
        }
        backup.remove(&self.gateway, id).await;
    }

    pub(super) fn whole(&self, end: StreamEnd) -> Finish {
        let tokens = self.request.completion.prefix.len() as u32;
        self.record(DecisionKind::Finished(tokens));
        Finish::Whole(end)
    }

    fn answer(&self, end: StreamEnd) -> Answer {
        let request = &self.request;
        Answer {
            account: request.account.name.clone(),
            model: request.completion.model.clone(),
            chat: request.chat,
            tokens: request.completion.prefix.clone(),
            end,
        }
    }

    /// Refuses because there is nowhere left to try.
    pub(super) fn no_choice(&self) -> Refusal {
        match &self.last_error {
            Some(e) => self.failure(e),
            None => self.no_upstream(),
        }
    }

    pub(super) fn no_upstream(&self) -> Refusal {
        let refusal = match self.gateway.check_lease() {
            Ok(()) => no_upstream(),
            Err(refusal) => refusal,
        };
        Refusal {
            ran: self.ran(),
            ..refusal
        }
    }

    pub(super) fn late(&self) -> Refusal {
        let message = "the deadline passed; ask again with fewer tokens";
        Refusal {
            ran: self.ran(),
            ..Refusal::not_run(RefusalKind::DeadlineExceeded, message)
        }
    }

    pub(super) fn failure(&self, e: &UpstreamError) -> Refusal {
        upstream_failed(e, self.ran() == Ran::Unknown)
    }

    /// An accepted request has run, whatever became of the later attempts.
    fn ran(&self) -> Ran {
        ran(self.may_have_arrived || self.accepted)
    }
}
