//! Drives one request: dispatches it, relays its tokens, and goes on at another instance when one
//! fails or leaves. The task owns the tokens, so that no lock is needed to feed several readers.

use std::{sync::Arc, time::Duration};

use tokio::{
    sync::mpsc,
    time::{Instant, sleep},
};

use super::{
    Attach, Piece,
    audience::Audience,
    finish::Finish,
    pace::Pace,
    relay::{Ended, Relay},
};
use crate::{
    domain::{Completion, FinishReason, InstanceName, Priority, Refusal, Token},
    gateway::{
        admission::{AdmissionRequest, Permit},
        core::{Gateway, InFlight},
        explain::DecisionKind,
        journal::Backup,
        route::{self, Choice, RoutingPrompt},
        view::{AccountEntry, ServiceEntry},
    },
    policy::{
        prefix::count_tokens,
        retry::{Failure, Retry},
    },
    ports::{Clock, Sent, StreamEnd, UpstreamError, Upstreams},
};

/// Pause before an accepted request is tried again when no instance can take it.
const RESUME_PAUSE: Duration = Duration::from_millis(50);

/// Pause before an accepted free request asks for a place again; each refusal counts as demand.
const REQUEUE_PAUSE: Duration = Duration::from_millis(250);

/// The pause grows to this power of two times [`RESUME_PAUSE`].
const MAX_PAUSE_DOUBLINGS: u32 = 4;

/// A request that was taken in.
#[derive(Clone, Debug)]
pub(crate) struct Accepted {
    /// The request; its prefix holds the tokens that exist already.
    pub(crate) completion: Completion,
    /// Bytes of the prompt that stay the same over the turns of its conversation.
    pub(crate) opening_bytes: usize,
    /// Whether the caller spoke the chat form.
    pub(crate) chat: bool,
    /// The account.
    pub(crate) account: Arc<AccountEntry>,
    /// When it arrived at this gateway.
    pub(crate) arrived: Instant,
    /// The gateway that accepted it before, if this one takes it over.
    pub(crate) taken_from: Option<String>,
}

impl Accepted {
    fn routed_prompt(&self) -> RoutingPrompt {
        let prompt = &self.completion.prompt;
        let opening = prompt.get(..self.opening_bytes).unwrap_or(prompt);
        RoutingPrompt::new(prompt, opening)
    }
}

/// What a new request holds until it is done.
#[derive(Debug)]
pub(crate) struct Place {
    /// Its place in the service.
    pub(crate) permit: Permit,
    /// Counts it at this gateway.
    pub(crate) _in_flight: InFlight,
}

/// The task of one request.
pub(crate) struct Pump<U, T> {
    pub(super) gateway: Arc<Gateway<U, T>>,
    pub(super) request: Accepted,
    prompt: RoutingPrompt,
    pub(super) attach: mpsc::Receiver<Attach>,
    pub(super) audience: Audience,
    pub(super) pace: Pace,
    /// Whether a reader may have got a token, or another gateway accepted the request before.
    pub(super) accepted: bool,
    permit: Option<Permit>,
    _in_flight: Option<InFlight>,
    pub(super) backup: Backup,
    tried: Vec<InstanceName>,
    attempts: u32,
    pub(super) may_have_arrived: bool,
    pub(super) last_error: Option<UpstreamError>,
    resumed: bool,
    /// Where the cached work of this request was moved to.
    prefer: Option<InstanceName>,
    /// Whether no other gateway would take the request, so that it ends here.
    stays: bool,
    was_preempted: bool,
}

impl<U: Upstreams, T: Clock> Pump<U, T> {
    /// Starts the task. The gateway's exit waits for it.
    pub(crate) fn start(
        gateway: &Arc<Gateway<U, T>>,
        request: Accepted,
        place: Option<Place>,
        attach: mpsc::Receiver<Attach>,
    ) {
        let (permit, in_flight) = place.map(|p| (p.permit, p._in_flight)).unzip();
        let taken = request.taken_from.is_some();
        let pump = Self {
            gateway: Arc::clone(gateway),
            prompt: request.routed_prompt(),
            request,
            attach,
            audience: match taken {
                true => Audience::empty(),
                false => Audience::default(),
            },
            pace: Pace::default(),
            accepted: taken,
            permit,
            _in_flight: in_flight,
            backup: Backup::none(),
            tried: Vec::new(),
            attempts: 0,
            may_have_arrived: taken,
            last_error: None,
            resumed: taken,
            prefer: None,
            stays: false,
            was_preempted: false,
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
        let put = self.gateway.peers.store_copy(&self.request, false);
        self.backup = Backup::awaiting(put);
        let finish = self.drive().await;
        self.finish(finish).await;
    }

    async fn drive(&mut self) -> Finish {
        loop {
            if let Some(end) = self.completed() {
                return self.whole(end);
            }
            if self.remaining().is_zero() {
                return Finish::Failed(self.late());
            }
            if self.must_hand_over()
                && let Some(finish) = self.hand_over().await
            {
                return finish;
            }
            match self.check_permit().await {
                Ok(true) => {}
                Ok(false) => continue,
                Err(refusal) => return Finish::Failed(refusal),
            }
            let Some(choice) = self.choose() else {
                if self.accepted {
                    self.tried.clear();
                    sleep(RESUME_PAUSE).await;
                    continue;
                }
                return Finish::Failed(self.no_choice());
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
        if !matches!(ended, Ended::Failed(_)) {
            self.may_have_arrived = true;
        }
        match ended {
            Ended::Whole(end) => {
                let recomputed = match self.resumed {
                    true => end.prompt_tokens.saturating_sub(end.cached_tokens),
                    false => choice.max_cached_tokens.saturating_sub(end.cached_tokens),
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
                self.was_preempted = true;
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
        let now = self.gateway.clock.monotonic();
        member.state.record_failure(e.kind, now);
        self.may_have_arrived |= e.sent == Sent::Maybe;
        self.resumed |= self.accepted;
        self.attempts += 1;
        self.tried.push(name.clone());
        self.last_error = Some(e.clone());
        match (self.retry(e).await, self.accepted) {
            (Retry::After(delay), _) => sleep(delay).await,
            // An accepted request is answered as long as there is time, whatever the budget says.
            (Retry::GiveUp, true) => sleep(self.resume_pause()).await,
            (Retry::GiveUp, false) if self.remaining().is_zero() => {
                return Some(Finish::Failed(self.late()));
            }
            (Retry::GiveUp, false) => {
                return Some(Finish::Failed(self.failure(e)));
            }
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
            Some(service) => service.retry_budget.decide(failure).await,
            None => Retry::GiveUp,
        }
    }

    /// Pauses longer after each failure that follows another without a token in between.
    fn resume_pause(&self) -> Duration {
        RESUME_PAUSE * 2_u32.pow(self.attempts.min(MAX_PAUSE_DOUBLINGS))
    }

    /// Hands the request to another gateway. Nothing means that none took it, and that it goes on
    /// here.
    async fn hand_over(&mut self) -> Option<Finish> {
        let others = self.gateway.peers.hand_over(&self.request).await;
        self.resumed = true;
        match others {
            Some(entry) => Some(Finish::Moved(Box::new(entry))),
            None => {
                self.stays = true;
                None
            }
        }
    }

    fn must_hand_over(&self) -> bool {
        self.may_hand_over() && self.gateway.hand_over.is_cancelled()
    }

    /// Says whether the request goes to another gateway when this one's time is up. One without a
    /// token yet does so too, since its caller is not to be cut off either.
    pub(super) fn may_hand_over(&self) -> bool {
        !self.stays
    }

    /// Takes a place again after it was given to paying work. Returns whether there is one now.
    async fn check_permit(&mut self) -> Result<bool, Refusal> {
        if self.permit.is_some() {
            return Ok(true);
        }
        let Some((service, applicant)) = self.application() else {
            return Err(self.no_upstream());
        };
        if self.request.taken_from.is_some() && !self.was_preempted {
            self.permit = Some(applicant.admit_taken_over());
            return Ok(true);
        }
        let gateway = Arc::clone(&self.gateway);
        let admitted = tokio::select! {
            admitted = service.queue.admit(applicant) => admitted,
            () = gateway.hand_over.cancelled(), if self.may_hand_over() => return Ok(false),
        };
        match admitted {
            Ok(permit) => self.permit = Some(permit),
            Err(refusal) if !self.accepted => return Err(refusal),
            Err(_) => sleep(REQUEUE_PAUSE).await,
        }
        Ok(self.permit.is_some())
    }

    fn application(&self) -> Option<(Arc<ServiceEntry>, AdmissionRequest)> {
        let service = self.service()?;
        let account = service.account(&self.request.account.name)?;
        let applicant = AdmissionRequest {
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
        let service = snapshot.service_for_model(&self.request.completion.model)?;
        let context = self.gateway.routing_context(&snapshot);
        if let Some(choice) = self.preferred(service) {
            return Some(choice);
        }
        route::choose(service, &self.prompt, &self.tried, context)
    }

    fn preferred(&self, service: &ServiceEntry) -> Option<Choice> {
        let name = self.prefer.as_ref()?;
        let member = service.members.iter().find(|m| m.instance.name == *name)?;
        let usable = member.takes_work() && !self.tried.contains(name);
        usable.then(|| Choice {
            member: Arc::clone(member),
            max_cached_tokens: 0,
        })
    }

    pub(super) fn service(&self) -> Option<Arc<ServiceEntry>> {
        let snapshot = self.gateway.snapshot.load();
        snapshot
            .service_for_model(&self.request.completion.model)
            .cloned()
    }

    pub(super) fn remaining(&self) -> Duration {
        let limit = self.gateway.settings.timing.request_timeout;
        limit.saturating_sub(self.request.arrived.elapsed())
    }

    /// Waits until a backup holds the request, or until it is known that none will.
    pub(super) async fn accept(&mut self) {
        if !self.accepted {
            let holder = self.backup.wait_for_holder(&self.gateway).await;
            self.accepted = true;
            let holder = holder.map(|peer| Box::new(peer.entry.clone()));
            self.audience.send(&Piece::Accepted(holder));
        }
        self.backup.renew(&self.gateway.peers, &self.request);
    }

    /// Keeps a token and feeds it to the readers.
    pub(super) fn relay(&mut self, token: Token) {
        self.request.completion.prefix.push(token.text.clone());
        self.attempts = 0;
        self.tried.clear();
        self.pace
            .note(self.request.arrived, &self.request.account.metrics);
        self.audience.send(&Piece::Token(token));
    }

    pub(super) fn tokens_left(&self) -> u32 {
        let completion = &self.request.completion;
        completion
            .max_tokens
            .saturating_sub(completion.prefix.len() as u32)
    }

    pub(super) fn add_waiting_readers(&mut self) {
        while let Ok(attach) = self.attach.try_recv() {
            self.add_reader(&attach);
        }
    }

    pub(super) fn add_reader(&mut self, attach: &Attach) {
        self.audience.add(attach, &self.request.completion.prefix);
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

    fn spend(&self, choice: &Choice, taken: Duration) {
        let snapshot = self.gateway.snapshot.load();
        let Some(service) = snapshot.service_for_model(&self.request.completion.model) else {
            return;
        };
        let amount = service.cost(&choice.member.instance, taken, &snapshot.view.intent);
        self.request.account.metrics.spending(amount);
    }
}

/// Opens the channel by which readers are attached to a request.
pub(crate) fn attach_channel() -> (mpsc::Sender<Attach>, mpsc::Receiver<Attach>) {
    /// Readers that may wait to be attached.
    const PENDING_READERS: usize = 16;
    mpsc::channel(PENDING_READERS)
}
