//! Drives one request: dispatches it, relays its tokens, and goes on at another instance when one
//! fails or leaves. The task owns the tokens, so that no lock is needed to feed several readers.

use std::{sync::Arc, time::Duration};

use tokio::{
    sync::mpsc,
    time::{Instant, sleep},
};

use super::{
    Answer, Attach, Piece,
    piece::send_from,
    relay::{Ended, Relay},
};
use crate::{
    domain::{
        Completion, FinishReason, GatewayEntry, InstanceName, Priority, Refusal, RefusalKind, Token,
    },
    gateway::{
        admission::{Applicant, Permit},
        core::{Gateway, ran},
        explain::DecisionKind,
        journal::Backup,
        route::{self, Choice, Place, Prompt},
        view::{AccountEntry, ServiceEntry},
    },
    policy::{
        prefix::count_tokens,
        retry::{Failure, Retry},
    },
    ports::{Clock, Sent, StreamEnd, UpstreamError, UpstreamErrorKind, Upstreams},
};

/// Pause before an accepted request is tried again when no instance can take it.
const RESUME_PAUSE: Duration = Duration::from_millis(50);

/// How long an instance whose exchange failed is avoided.
const SUSPECT_TIME: Duration = Duration::from_secs(2);

/// How long an accepted request goes on without a reader, so that its caller can ask again.
const ABANDON_AFTER: Duration = Duration::from_secs(10);

/// A request that was taken in.
#[derive(Clone, Debug)]
pub(crate) struct Accepted {
    /// The request; its prefix holds the tokens that exist already.
    pub(crate) completion: Completion,
    /// Whether the caller spoke the chat form.
    pub(crate) chat: bool,
    /// The account.
    pub(crate) account: Arc<AccountEntry>,
    /// When it arrived at this gateway.
    pub(crate) arrived: Instant,
    /// The gateway that accepted it before, if this one takes it over.
    pub(crate) taken_from: Option<String>,
}

/// How a request ended at this gateway.
enum Finish {
    Whole(StreamEnd),
    Failed(Refusal),
    Moved(Box<GatewayEntry>),
    Abandoned,
}

/// The task of one request.
pub(crate) struct Pump<U, T> {
    pub(super) gateway: Arc<Gateway<U, T>>,
    pub(super) request: Accepted,
    prompt: Prompt,
    pub(super) attach: mpsc::Receiver<Attach>,
    pub(super) readers: Vec<mpsc::UnboundedSender<Piece>>,
    /// Whether a reader may have got a token, or another gateway accepted the request before.
    pub(super) accepted: bool,
    first_token_at: Option<Instant>,
    last_token_at: Option<Instant>,
    unread_since: Option<Instant>,
    permit: Option<Permit>,
    backup: Backup,
    tried: Vec<InstanceName>,
    attempts: u32,
    may_have_arrived: bool,
    resumed: bool,
    /// Where the cached work of this request was moved to.
    prefer: Option<InstanceName>,
    /// Whether no other gateway would take the request, so that it ends here.
    stays: bool,
}

impl<U: Upstreams, T: Clock> Pump<U, T> {
    /// Starts the task. The gateway's exit waits for it.
    pub(crate) fn start(
        gateway: &Arc<Gateway<U, T>>,
        request: Accepted,
        permit: Option<Permit>,
        attach: mpsc::Receiver<Attach>,
    ) {
        let taken = request.taken_from.is_some();
        let pump = Self {
            gateway: Arc::clone(gateway),
            prompt: Prompt::new(&request.completion.prompt),
            request,
            attach,
            readers: Vec::new(),
            accepted: taken,
            first_token_at: None,
            last_token_at: None,
            unread_since: taken.then(Instant::now),
            permit,
            backup: Backup::none(),
            tried: Vec::new(),
            attempts: 0,
            may_have_arrived: taken,
            resumed: taken,
            prefer: None,
            stays: false,
        };
        let closed = gateway.closed.clone();
        gateway
            .work
            .spawn(closed.run_until_cancelled_owned(pump.run()));
    }

    async fn run(mut self) {
        self.record(match &self.request.taken_from {
            Some(owner) => DecisionKind::TakenOver(owner.clone()),
            None => DecisionKind::Admitted(self.request.account.name.clone()),
        });
        let put = self.gateway.peers.put(&self.request, false);
        self.backup = Backup::awaiting(put);
        let finish = self.drive().await;
        self.finish(finish).await;
    }

    async fn finish(mut self, finish: Finish) {
        let id = self.request.completion.id;
        let answer = match &finish {
            Finish::Whole(end) => Some(self.answer(*end)),
            _ => None,
        };
        let last = match finish {
            Finish::Whole(end) => Some(Piece::End(end)),
            Finish::Failed(refusal) => {
                self.record(DecisionKind::Refused(refusal.kind, refusal.ran));
                self.gateway.metrics.refusal(refusal.kind);
                Some(Piece::Failed(refusal))
            }
            Finish::Moved(entry) => {
                self.backup.keep();
                self.record(DecisionKind::HandedOver(entry.name.to_string()));
                Some(Piece::Moved(entry))
            }
            Finish::Abandoned => None,
        };
        self.gateway.journal.finish(id, answer).await;
        // Readers that came in between are fed before the last piece.
        self.add_waiting_readers();
        if let Some(last) = last {
            self.broadcast(&last);
        }
        let backup = std::mem::replace(&mut self.backup, Backup::none());
        backup.remove(&self.gateway, id).await;
    }

    async fn drive(&mut self) -> Finish {
        loop {
            if let Some(end) = self.completed() {
                return self.whole(end);
            }
            if self.remaining().is_zero() {
                return Finish::Failed(self.refusal(
                    RefusalKind::DeadlineExceeded,
                    "the deadline passed; ask again with fewer tokens",
                ));
            }
            if let Err(refusal) = self.check_permit().await {
                return Finish::Failed(refusal);
            }
            let Some(choice) = self.choose() else {
                if self.accepted {
                    self.tried.clear();
                    sleep(RESUME_PAUSE).await;
                    continue;
                }
                return Finish::Failed(self.no_upstream());
            };
            let started = Instant::now();
            let ended = Relay::new(self, &choice).run().await;
            self.spend(&choice, started.elapsed());
            if let Some(finish) = self.after(&choice, ended).await {
                return finish;
            }
        }
    }

    /// Decides what follows an attempt: nothing means another attempt.
    async fn after(&mut self, choice: &Choice, ended: Ended) -> Option<Finish> {
        let instance = &choice.member.instance.name;
        match ended {
            Ended::Whole(end) => {
                let recomputed = match self.resumed {
                    true => end.prompt_tokens.saturating_sub(end.cached_tokens),
                    false => choice.best_cached.saturating_sub(end.cached_tokens),
                };
                self.request
                    .account
                    .metrics
                    .recomputed_tokens(u64::from(recomputed));
                Some(self.whole(end))
            }
            Ended::Leaving(to) => {
                self.resumed = to.is_none();
                self.prefer = to;
                self.record(DecisionKind::Moved(instance.clone()));
                None
            }
            Ended::Preempted => {
                self.resumed = true;
                self.permit = None;
                self.record(DecisionKind::Preempted);
                None
            }
            Ended::HandOver => self.hand_over().await,
            Ended::Abandoned => Some(Finish::Abandoned),
            Ended::Failed(e) => self.failed(choice, &e).await,
        }
    }

    async fn failed(&mut self, choice: &Choice, e: &UpstreamError) -> Option<Finish> {
        let member = &choice.member;
        let name = &member.instance.name;
        self.record(DecisionKind::Failed(name.clone(), e.kind));
        log::debug!("gateway: an attempt at {name} failed: {e}.");
        match e.kind {
            UpstreamErrorKind::Leaving => member.state.mark_leaving(),
            UpstreamErrorKind::Busy | UpstreamErrorKind::Rejected => {}
            _ => {
                let now = self.gateway.clock.monotonic();
                member.state.suspect_until(now + SUSPECT_TIME);
            }
        }
        self.may_have_arrived |= e.sent == Sent::Maybe;
        self.resumed |= self.accepted;
        self.attempts += 1;
        self.tried.push(name.clone());
        match (self.retry(e).await, self.accepted) {
            (Retry::After(delay), _) => sleep(delay).await,
            // An accepted request is answered as long as there is time, whatever the budget says.
            (Retry::GiveUp, true) => sleep(RESUME_PAUSE).await,
            (Retry::GiveUp, false) => return Some(Finish::Failed(self.upstream_failed(e))),
        }
        None
    }

    async fn retry(&self, e: &UpstreamError) -> Retry {
        let failure = Failure {
            kind: e.kind,
            sent: e.sent,
            idempotent: true,
            attempts: self.attempts,
            remaining: self.remaining(),
            random: rand::random(),
        };
        match self.service() {
            Some(service) => service.retries.decide(failure).await,
            None => Retry::GiveUp,
        }
    }

    /// Hands the request to another gateway. Nothing means that none took it, and that it goes on
    /// here.
    async fn hand_over(&mut self) -> Option<Finish> {
        let others = self.gateway.peers.take_over(&self.request).await;
        self.resumed = true;
        match others {
            Some(entry) => Some(Finish::Moved(Box::new(entry))),
            None => {
                self.stays = true;
                None
            }
        }
    }

    pub(super) fn may_hand_over(&self) -> bool {
        self.accepted && !self.stays
    }

    /// Takes a place again after it was given to paying work.
    async fn check_permit(&mut self) -> Result<(), Refusal> {
        while self.permit.is_none() {
            let Some((service, applicant)) = self.application() else {
                return Err(self.no_upstream());
            };
            match service.queue.admit(applicant).await {
                Ok(permit) => self.permit = Some(permit),
                Err(refusal) if !self.accepted || self.remaining().is_zero() => {
                    return Err(refusal);
                }
                Err(_) => sleep(RESUME_PAUSE).await,
            }
        }
        Ok(())
    }

    fn application(&self) -> Option<(Arc<ServiceEntry>, Applicant)> {
        let service = self.service()?;
        let account = service.account(&self.request.account.name)?;
        let applicant = Applicant {
            service: Arc::clone(&service.usage),
            account: Arc::clone(account),
            priority: self.request.completion.priority,
            arrived: Instant::now(),
            due: Instant::now() + self.remaining(),
        };
        Some((service, applicant))
    }

    pub(super) fn choose(&self) -> Option<Choice> {
        if !self.accepted && self.gateway.check_lease().is_err() {
            return None;
        }
        let snapshot = self.gateway.snapshot.load();
        let service = snapshot.model(&self.request.completion.model)?;
        let place = Place {
            zone: &self.gateway.settings.zone,
            weights: &snapshot.view.intent.routing,
            now: self.gateway.clock.monotonic(),
        };
        if let Some(choice) = self.preferred(service) {
            return Some(choice);
        }
        route::choose(service, &self.prompt, &self.tried, place)
    }

    fn preferred(&self, service: &ServiceEntry) -> Option<Choice> {
        let name = self.prefer.as_ref()?;
        let member = service.members.iter().find(|m| m.instance.name == *name)?;
        let usable = member.takes_work() && !self.tried.contains(name);
        usable.then(|| Choice {
            member: Arc::clone(member),
            best_cached: 0,
        })
    }

    pub(super) fn service(&self) -> Option<Arc<ServiceEntry>> {
        let snapshot = self.gateway.snapshot.load();
        snapshot.model(&self.request.completion.model).cloned()
    }

    pub(super) fn remaining(&self) -> Duration {
        let limit = self.gateway.settings.timing.request_timeout;
        limit.saturating_sub(self.request.arrived.elapsed())
    }

    /// Waits until a backup holds the request, or until it is known that none will.
    pub(super) async fn accept(&mut self) {
        if !self.accepted {
            self.backup.settle(&self.gateway).await;
            self.accepted = true;
        }
    }

    /// Keeps a token and feeds it to the readers.
    pub(super) fn relay(&mut self, token: Token) {
        self.request.completion.prefix.push(token.text.clone());
        self.attempts = 0;
        self.tried.clear();
        self.measure();
        self.broadcast(&Piece::Token(token));
    }

    fn measure(&mut self) {
        let metrics = &self.request.account.metrics;
        match self.last_token_at {
            Some(at) => metrics.between_tokens(at.elapsed()),
            None => metrics.first_token(self.request.arrived.elapsed()),
        }
        let now = Instant::now();
        self.first_token_at.get_or_insert(now);
        self.last_token_at = Some(now);
    }

    /// Returns the mean time between tokens, once there are two.
    pub(super) fn mean_gap(&self) -> Option<Duration> {
        let gaps = self.request.completion.prefix.len().checked_sub(1)? as u32;
        let span = self.last_token_at?.duration_since(self.first_token_at?);
        span.checked_div(gaps)
    }

    pub(super) fn tokens_left(&self) -> u32 {
        let completion = &self.request.completion;
        completion
            .max_tokens
            .saturating_sub(completion.prefix.len() as u32)
    }

    fn broadcast(&mut self, piece: &Piece) {
        self.readers.retain(|tx| tx.send(piece.clone()).is_ok());
        if self.readers.is_empty() {
            self.unread_since.get_or_insert_with(Instant::now);
        }
    }

    pub(super) fn add_waiting_readers(&mut self) {
        while let Ok(attach) = self.attach.try_recv() {
            self.add_reader(&attach);
        }
    }

    pub(super) fn add_reader(&mut self, attach: &Attach) {
        send_from(&attach.tx, &self.request.completion.prefix, attach.from);
        self.readers.push(attach.tx.clone());
        self.unread_since = None;
    }

    pub(super) fn is_abandoned(&self) -> bool {
        self.unread_since
            .is_some_and(|since| since.elapsed() >= ABANDON_AFTER)
    }

    pub(super) fn record(&self, decision: DecisionKind) {
        let at = self.gateway.clock.unix_ms();
        let id = self.request.completion.id;
        self.gateway.decisions.record(id, at, decision);
    }

    pub(super) fn is_free(&self) -> bool {
        self.request.completion.priority == Priority::Free
    }

    /// A stream that was cut after its last token needs no further attempt.
    fn completed(&self) -> Option<StreamEnd> {
        let completion = &self.request.completion;
        let full = completion.prefix.len() >= completion.max_tokens as usize;
        (full && self.accepted).then(|| StreamEnd {
            reason: FinishReason::Length,
            prompt_tokens: count_tokens(&completion.prompt),
            cached_tokens: 0,
        })
    }

    fn whole(&self, end: StreamEnd) -> Finish {
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

    fn spend(&self, choice: &Choice, taken: Duration) {
        let snapshot = self.gateway.snapshot.load();
        let Some(service) = snapshot.model(&self.request.completion.model) else {
            return;
        };
        let amount = service.cost(&choice.member.instance, taken, &snapshot.view.intent);
        self.request.account.metrics.spending(amount);
    }

    fn no_upstream(&self) -> Refusal {
        if let Err(refusal) = self.gateway.check_lease() {
            return Refusal {
                ran: ran(self.may_have_arrived),
                ..refusal
            };
        }
        self.refusal(
            RefusalKind::NoUpstream,
            "no instance of the service takes work now; retry later",
        )
        .retry_after(Duration::from_secs(1))
    }

    fn upstream_failed(&self, e: &UpstreamError) -> Refusal {
        let kind = match e.kind {
            UpstreamErrorKind::Busy | UpstreamErrorKind::Leaving => RefusalKind::Overloaded,
            UpstreamErrorKind::Rejected => RefusalKind::BadRequest,
            _ => RefusalKind::UpstreamFailed,
        };
        let message = format!("the upstream failed ({}); ask again", e.message);
        self.refusal(kind, message)
            .retry_after(Duration::from_secs(1))
    }

    fn refusal(&self, kind: RefusalKind, message: impl Into<String>) -> Refusal {
        Refusal {
            ran: ran(self.may_have_arrived),
            ..Refusal::not_run(kind, message)
        }
    }
}

/// Opens the channel by which readers are attached to a request.
pub(crate) fn attach_channel() -> (mpsc::Sender<Attach>, mpsc::Receiver<Attach>) {
    /// Readers that may wait to be attached.
    const PENDING_READERS: usize = 16;
    mpsc::channel(PENDING_READERS)
}
