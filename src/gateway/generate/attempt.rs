//! One attempt to generate an answer: starts the generation at an instance and relays its tokens until
//! it ends, or until the request should continue elsewhere. A silent instance keeps the request until
//! another one has answered it.

use std::{future::poll_fn, sync::Arc, task::Poll, time::Duration};

use futures_util::{FutureExt, StreamExt, TryStreamExt, future::BoxFuture, stream};
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::sync::CancellationToken;

use super::{Subscription, task::GenerationTask};
use crate::{
    domain::{GatewayEntry, InstanceName, Token},
    gateway::{
        admission::ServiceUsage,
        explain::DecisionKind,
        refusals::silence_error,
        route::Choice,
        view::{InProgress, Member, ServiceEntry},
    },
    policy::retry::Retry,
    ports::{
        Clock, Sent, StreamEnd, StreamItem, TokenStream, UpstreamError, UpstreamErrorKind,
        Upstreams,
    },
};

/// Timeout for moving cached keys and values to another instance; beyond it, recomputing them is
/// faster.
const CACHE_MOVE_TIMEOUT: Duration = Duration::from_millis(300);

/// Most instances that have one request at a time. Only an accepted request, whose attempts are not
/// limited, may want more; it then leaves the one that has been silent for longest.
const MAX_GENERATIONS: usize = 3;

/// How an attempt ended.
pub(super) enum AttemptOutcome {
    /// The instance sent the regular end of the stream.
    Complete(StreamEnd),
    /// The instance is leaving, so the request continues elsewhere: preferably at the named instance,
    /// to which its cached keys and values were moved.
    InstanceLeaving(Option<InstanceName>),
    /// Paying work preempts this free request.
    Preempted,
    /// This gateway is leaving, and another one has taken the request over.
    HandedOver(Box<GatewayEntry>),
    /// No subscriber is left.
    Abandoned,
    /// The attempt failed.
    Failed(UpstreamError),
}

/// What an attempt waits for while it runs.
enum AttemptEvent {
    /// The next item of the generation at an index.
    Item(usize, Option<Result<StreamItem, UpstreamError>>),
    Timeout,
    Subscribe(Subscription),
    InstanceLeaving,
    CacheMoved(Option<InstanceName>),
    Preempted,
    HandOver,
    ReadersGone,
}

/// The request at one instance. Dropping it closes the connection, which stops the work there.
struct Generation {
    choice: Choice,
    stream: TokenStream,
    /// Cancelled when the head of the response has arrived.
    opened: CancellationToken,
    started: Instant,
    /// When the instance counts as silent.
    silent_at: Instant,
    /// Whether it was found to be silent.
    is_silent: bool,
    _in_progress: InProgress,
}

impl Generation {
    fn instance(&self) -> &InstanceName {
        &self.choice.member.instance.name
    }
}

/// One attempt of a task: the request at one instance, and beside it at others while that is silent.
pub(super) struct Attempt<'a, U, T> {
    task: &'a mut GenerationTask<U, T>,
    /// Never empty; more than one only while all but the newest are silent.
    generations: Vec<Generation>,
    /// When another instance is tried, unless a token arrives before.
    next_trial: Instant,
    service: Option<Arc<ServiceEntry>>,
    cache_move: Option<BoxFuture<'static, Option<InstanceName>>>,
    leaving_handled: bool,
    awaiting_first_token: bool,
}

impl<'a, U: Upstreams, T: Clock> Attempt<'a, U, T> {
    pub(super) fn new(task: &'a mut GenerationTask<U, T>, choice: Choice) -> Self {
        task.add_pending_subscribers();
        let mut attempt = Self {
            service: task.service(),
            task,
            generations: Vec::with_capacity(1),
            next_trial: Instant::now(),
            cache_move: None,
            leaving_handled: false,
            awaiting_first_token: true,
        };
        attempt.start_generation(choice);
        attempt
    }

    /// Runs the attempt and returns how it ended, and at which instance.
    pub(super) async fn run(mut self) -> (Choice, AttemptOutcome) {
        let outcome = loop {
            let event = self.next_event().await;
            if let Some(outcome) = self.handle_event(event).await {
                break outcome;
            }
        };
        for generation in &self.generations {
            self.record_spending(generation);
        }
        (self.generations.swap_remove(0).choice, outcome)
    }

    fn start_generation(&mut self, choice: Choice) {
        let task = &*self.task;
        let member = &choice.member;
        task.record(DecisionKind::Routed(member.instance.name.clone()));
        let opened = CancellationToken::new();
        let (gateway, target) = (Arc::clone(&task.gateway), member.target.clone());
        let (completion, has_opened) = (task.request.completion.clone(), opened.clone());
        let opening = async move {
            let stream = gateway.upstreams.generate(&target, &completion).await?;
            has_opened.cancel();
            Ok(stream)
        };
        let now = Instant::now();
        self.next_trial = now + self.silence_timeout();
        self.generations.push(Generation {
            _in_progress: member.state.begin_request(),
            choice,
            stream: stream::once(opening).try_flatten().boxed(),
            opened,
            started: now,
            silent_at: self.next_trial,
            is_silent: false,
        });
    }

    async fn next_event(&mut self) -> AttemptEvent {
        let deadline = Instant::now() + self.task.remaining_time();
        let usage = self.service.as_ref().map(|service| &service.usage);
        let preemptible = self.task.accepted && self.task.has_free_priority();
        let watches_leaving = !self.leaving_handled && self.generations.len() == 1;
        let first = self.generations.first();
        let first = first.map(|first| (first.opened.clone(), Arc::clone(&first.choice.member)));
        let task = &mut *self.task;
        tokio::select! {
            (at, item) = next_item(&mut self.generations) => AttemptEvent::Item(at, item),
            () = sleep_until(self.next_trial.min(deadline)) => {
                // An item may have arrived while the task did something else.
                match next_item(&mut self.generations).now_or_never() {
                    Some((at, item)) => AttemptEvent::Item(at, item),
                    None => AttemptEvent::Timeout,
                }
            }
            Some(subscription) = task.subscriptions.recv() => AttemptEvent::Subscribe(subscription),
            () = instance_leaving(first), if watches_leaving => AttemptEvent::InstanceLeaving,
            to = cache_moved(&mut self.cache_move), if self.cache_move.is_some() => AttemptEvent::CacheMoved(to),
            () = preemption_requested(usage), if preemptible => AttemptEvent::Preempted,
            () = task.gateway.hand_over.cancelled(), if task.may_hand_over() => AttemptEvent::HandOver,
            () = task.subscribers.first_disconnected(), if !task.accepted => AttemptEvent::ReadersGone,
        }
    }

    async fn handle_event(&mut self, event: AttemptEvent) -> Option<AttemptOutcome> {
        match event {
            AttemptEvent::Item(at, Some(Ok(StreamItem::Token(token)))) => {
                self.handle_token(at, token).await
            }
            AttemptEvent::Item(at, Some(Ok(StreamItem::End(end)))) => {
                self.keep_only(at);
                self.task.accept().await;
                self.clear_suspicion();
                Some(AttemptOutcome::Complete(end))
            }
            AttemptEvent::Item(at, Some(Err(e))) => self.handle_failure(at, e),
            AttemptEvent::Item(at, None) => {
                self.handle_failure(at, cut_error("the stream has no end mark"))
            }
            AttemptEvent::Timeout if self.task.remaining_time().is_zero() => {
                Some(AttemptOutcome::Failed(silence_error()))
            }
            AttemptEvent::Timeout if self.must_refuse_silence() => {
                Some(AttemptOutcome::Failed(silence_error()))
            }
            AttemptEvent::Timeout => {
                self.handle_silence().await;
                None
            }
            AttemptEvent::Subscribe(subscription) => {
                self.task.add_subscriber(&subscription);
                None
            }
            AttemptEvent::InstanceLeaving => self.handle_leaving(),
            AttemptEvent::CacheMoved(to) => {
                self.cache_move = None;
                Some(AttemptOutcome::InstanceLeaving(to))
            }
            AttemptEvent::Preempted => self.handle_preemption(),
            AttemptEvent::HandOver => self.hand_over().await,
            AttemptEvent::ReadersGone => Some(AttemptOutcome::Abandoned),
        }
    }

    async fn handle_token(&mut self, at: usize, token: Token) -> Option<AttemptOutcome> {
        let expected = self.task.request.completion.prefix.len();
        if token.offset as usize != expected {
            let message = format!("token {} came in place of {expected}", token.offset);
            let e = UpstreamError::new(UpstreamErrorKind::Protocol, Sent::Maybe, message);
            return self.handle_failure(at, e);
        }
        self.keep_only(at);
        self.awaiting_first_token = false;
        self.task.accept().await;
        self.task.deliver_token(token);
        self.restart_silence_timeout();
        self.task
            .subscribers
            .is_abandoned()
            .then_some(AttemptOutcome::Abandoned)
    }

    /// Leaves all instances but the one that has answered.
    fn keep_only(&mut self, at: usize) {
        if self.generations.len() == 1 {
            return;
        }
        let kept = self.generations.swap_remove(at);
        for left in std::mem::replace(&mut self.generations, vec![kept]) {
            self.record_spending(&left);
        }
        if at > 0 {
            self.task.resumed_without_cache |= self.task.accepted;
            self.leaving_handled = false;
        }
    }

    fn restart_silence_timeout(&mut self) {
        self.next_trial = Instant::now() + self.silence_timeout();
        for generation in &mut self.generations {
            generation.silent_at = self.next_trial;
            generation.is_silent = false;
        }
    }

    /// Ends the attempt if no instance has the request any more.
    fn handle_failure(&mut self, at: usize, e: UpstreamError) -> Option<AttemptOutcome> {
        if self.generations.len() == 1 {
            return Some(AttemptOutcome::Failed(e));
        }
        let failed = self.generations.remove(at);
        self.record_spending(&failed);
        self.task.record_failure(&failed.choice, &e);
        self.leaving_handled &= at > 0;
        let answering = self.generations.iter().filter(|other| !other.is_silent);
        let backoff = self.task.resume_backoff();
        self.next_trial = answering
            .map(|other| other.silent_at)
            .max()
            .unwrap_or_else(|| Instant::now() + backoff);
        None
    }

    /// Returns whether this gateway is about to stop and no other one has taken the request, so that a caller without a
    /// token gets a refusal in place of a closed connection.
    fn must_refuse_silence(&self) -> bool {
        let task = &self.task;
        !task.accepted && task.gateway.hand_over.is_cancelled() && !task.may_hand_over()
    }

    /// Tries another instance beside the silent ones, if one may have the request.
    async fn handle_silence(&mut self) {
        let now = Instant::now();
        let clock_now = self.task.gateway.clock.monotonic();
        self.next_trial = now + self.silence_timeout();
        for generation in &mut self.generations {
            if !generation.is_silent && generation.silent_at <= now {
                generation.is_silent = true;
                let member = &generation.choice.member;
                let kind = UpstreamErrorKind::Silent;
                member.state.record_failure(kind, clock_now);
                self.task
                    .record(DecisionKind::Silent(member.instance.name.clone()));
            }
            self.task.exclude_instance(generation.instance());
        }
        let Some(choice) = self.task.choose_instance() else {
            if self.task.accepted {
                // Those that failed may take the request later.
                self.task.include_failed_instances();
                self.next_trial = now + self.task.resume_backoff();
            }
            return;
        };
        let retry = self
            .task
            .decide_retry(&silence_error(), self.generations.len())
            .await;
        // An accepted request is retried until its deadline, regardless of the retry budget.
        if retry == Retry::GiveUp && !self.task.accepted {
            return;
        }
        if self.generations.len() >= MAX_GENERATIONS {
            let left = self.generations.remove(0);
            self.record_spending(&left);
            self.task.record_failure(&left.choice, &silence_error());
        }
        self.start_generation(choice);
    }

    /// Hands the request over. It stays at its instance until another gateway has taken it; tokens that
    /// arrive meanwhile wait, so that the other gateway has all that were relayed.
    async fn hand_over(&mut self) -> Option<AttemptOutcome> {
        let new_owner = self.task.hand_over().await;
        if new_owner.is_none() && self.generations.iter().all(|other| other.is_silent) {
            self.next_trial = Instant::now();
        }
        new_owner.map(AttemptOutcome::HandedOver)
    }

    fn clear_suspicion(&self) {
        if let Some(generation) = self.generations.first() {
            generation.choice.member.state.clear_suspicion();
        }
    }

    fn record_spending(&self, generation: &Generation) {
        self.task
            .record_spending(&generation.choice, generation.started.elapsed());
    }

    /// Moves the request elsewhere unless the answer will be complete in time. Cached keys and values
    /// are moved along if that is fast enough; tokens that arrive meanwhile are relayed.
    fn handle_leaving(&mut self) -> Option<AttemptOutcome> {
        self.leaving_handled = true;
        if self.completes_before_reclaim() {
            return None;
        }
        let Some(choice) = self.task.choose_instance() else {
            // No other instance accepts work; this one may still finish.
            return None;
        };
        if self.awaiting_first_token {
            return Some(AttemptOutcome::InstanceLeaving(None));
        }
        self.cache_move = self.move_cache(choice.member);
        None
    }

    fn completes_before_reclaim(&self) -> bool {
        let now = self.task.gateway.clock.monotonic();
        let (Some(reclaimed_at), Some(interval)) = (
            self.generations
                .first()
                .and_then(|generation| generation.choice.member.state.reclaimed_at()),
            self.task.token_timing.mean_interval(),
        ) else {
            return false;
        };
        now + interval * self.task.tokens_left() < reclaimed_at
    }

    fn move_cache(&self, to: Arc<Member>) -> Option<BoxFuture<'static, Option<InstanceName>>> {
        let upstreams = Arc::clone(&self.task.gateway.upstreams);
        let from = Arc::clone(&self.generations.first()?.choice.member);
        let id = self.task.request.completion.id;
        let work = async move {
            let cache = upstreams.export_cache(&from.target, id).await?;
            upstreams.import_cache(&to.target, cache).await?;
            Ok::<_, UpstreamError>(to.instance.name.clone())
        };
        Some(
            timeout(CACHE_MOVE_TIMEOUT, work)
                .map(|result| result.ok()?.ok())
                .boxed(),
        )
    }

    fn handle_preemption(&self) -> Option<AttemptOutcome> {
        let service = self.service.as_ref()?;
        service
            .usage
            .needs_preemption()
            .then_some(AttemptOutcome::Preempted)
    }

    fn silence_timeout(&self) -> Duration {
        let timing = &self.task.gateway.settings.timing;
        match self.awaiting_first_token {
            true => timing.first_byte_timeout,
            false => timing.token_timeout,
        }
    }
}

/// Returns the next item of any generation, with the index of that.
async fn next_item(
    generations: &mut [Generation],
) -> (usize, Option<Result<StreamItem, UpstreamError>>) {
    poll_fn(|cx| {
        for (at, generation) in generations.iter_mut().enumerate() {
            if let Poll::Ready(item) = generation.stream.poll_next_unpin(cx) {
                return Poll::Ready((at, item));
            }
        }
        Poll::Pending
    })
    .await
}

/// Waits until an instance that has begun its response is known to be leaving. Before that, it may refuse
/// the request by itself.
async fn instance_leaving(generation: Option<(CancellationToken, Arc<Member>)>) {
    match generation {
        Some((opened, member)) => {
            opened.cancelled().await;
            member.state.leaving().cancelled().await;
        }
        None => std::future::pending().await,
    }
}

async fn cache_moved(
    cache_move: &mut Option<BoxFuture<'static, Option<InstanceName>>>,
) -> Option<InstanceName> {
    match cache_move {
        Some(cache_move) => cache_move.await,
        None => std::future::pending().await,
    }
}

async fn preemption_requested(usage: Option<&Arc<ServiceUsage>>) {
    match usage {
        Some(usage) => usage.preempt.notified().await,
        None => std::future::pending().await,
    }
}

fn cut_error(message: &str) -> UpstreamError {
    UpstreamError::new(UpstreamErrorKind::Cut, Sent::Maybe, message)
}
