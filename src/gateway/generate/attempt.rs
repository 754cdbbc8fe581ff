//! One attempt at one instance: starts the generation there and relays its tokens until it ends, or
//! until the request should continue elsewhere.

use std::{sync::Arc, time::Duration};

use futures_util::{FutureExt, StreamExt, future::BoxFuture};
use tokio::time::{Instant, timeout, timeout_at};

use super::{Subscription, task::GenerationTask};
use crate::{
    domain::{InstanceName, Token},
    gateway::{
        admission::ServiceUsage,
        explain::DecisionKind,
        route::Choice,
        view::{InProgress, Member, ServiceEntry},
    },
    ports::{
        Clock, Sent, StreamEnd, StreamItem, TokenStream, UpstreamError, UpstreamErrorKind,
        Upstreams,
    },
};

/// Timeout for moving cached keys and values to another instance; beyond it, recomputing them is
/// faster.
const CACHE_MOVE_TIMEOUT: Duration = Duration::from_millis(300);

/// How an attempt ended.
pub(super) enum AttemptOutcome {
    /// The instance sent the regular end of the stream.
    Complete(StreamEnd),
    /// The instance is leaving, so the request continues elsewhere: preferably at the named instance,
    /// to which its cached keys and values were moved.
    InstanceLeaving(Option<InstanceName>),
    /// Paying work preempts this free request.
    Preempted,
    /// This gateway is leaving and must hand the request over.
    HandOver,
    /// No subscriber is left.
    Abandoned,
    /// The attempt failed.
    Failed(UpstreamError),
}

/// What an attempt waits for while it runs.
enum AttemptEvent {
    Item(Option<Result<StreamItem, UpstreamError>>),
    Timeout,
    Subscribe(Subscription),
    InstanceLeaving,
    CacheMoved(Option<InstanceName>),
    Preempted,
    HandOver,
    ReadersGone,
}

/// One attempt of a task at one instance.
pub(super) struct Attempt<'a, U, T> {
    task: &'a mut GenerationTask<U, T>,
    member: Arc<Member>,
    service: Option<Arc<ServiceEntry>>,
    cache_move: Option<BoxFuture<'static, Option<InstanceName>>>,
    leaving_handled: bool,
    awaiting_first_token: bool,
    _in_progress: InProgress,
}

impl<'a, U: Upstreams, T: Clock> Attempt<'a, U, T> {
    pub(super) fn new(task: &'a mut GenerationTask<U, T>, choice: &Choice) -> Self {
        let member = Arc::clone(&choice.member);
        task.record(DecisionKind::Routed(member.instance.name.clone()));
        Self {
            service: task.service(),
            _in_progress: member.state.begin_request(),
            task,
            member,
            cache_move: None,
            leaving_handled: false,
            awaiting_first_token: true,
        }
    }

    pub(super) async fn run(mut self) -> AttemptOutcome {
        let mut stream = match self.open_stream().await {
            Ok(stream) => stream,
            Err(outcome) => return outcome,
        };
        loop {
            let event = self.next_event(&mut stream).await;
            if let Some(outcome) = self.handle_event(event).await {
                return outcome;
            }
        }
    }

    async fn open_stream(&mut self) -> Result<TokenStream, AttemptOutcome> {
        self.task.add_pending_subscribers();
        let gateway = Arc::clone(&self.task.gateway);
        let silence_timeout = self.silence_timeout();
        let call = gateway
            .upstreams
            .generate(&self.member.target, &self.task.request.completion);
        tokio::select! {
            result = timeout(silence_timeout, call) => match result {
                Ok(result) => result.map_err(AttemptOutcome::Failed),
                Err(_) => Err(AttemptOutcome::Failed(silence_error())),
            },
            () = gateway.hand_over.cancelled(), if self.task.may_hand_over() => Err(AttemptOutcome::HandOver),
            () = self.task.subscribers.first_disconnected(), if !self.task.accepted => Err(AttemptOutcome::Abandoned),
        }
    }

    async fn next_event(&mut self, stream: &mut TokenStream) -> AttemptEvent {
        let silence_deadline = Instant::now() + self.silence_timeout();
        let usage = self.service.as_ref().map(|service| &service.usage);
        let preemptible = self.task.accepted && self.task.has_free_priority();
        let task = &mut *self.task;
        tokio::select! {
            item = timeout_at(silence_deadline, stream.next()) => match item {
                Ok(item) => AttemptEvent::Item(item),
                Err(_) => AttemptEvent::Timeout,
            },
            Some(subscription) = task.subscriptions.recv() => AttemptEvent::Subscribe(subscription),
            () = self.member.state.leaving().cancelled(), if !self.leaving_handled => AttemptEvent::InstanceLeaving,
            to = cache_moved(&mut self.cache_move), if self.cache_move.is_some() => AttemptEvent::CacheMoved(to),
            () = preemption_requested(usage), if preemptible => AttemptEvent::Preempted,
            () = task.gateway.hand_over.cancelled(), if task.may_hand_over() => AttemptEvent::HandOver,
            () = task.subscribers.first_disconnected(), if !task.accepted => AttemptEvent::ReadersGone,
        }
    }

    async fn handle_event(&mut self, event: AttemptEvent) -> Option<AttemptOutcome> {
        match event {
            AttemptEvent::Item(Some(Ok(StreamItem::Token(token)))) => {
                self.handle_token(token).await
            }
            AttemptEvent::Item(Some(Ok(StreamItem::End(end)))) => {
                self.task.accept().await;
                self.member.state.clear_suspicion();
                Some(AttemptOutcome::Complete(end))
            }
            AttemptEvent::Item(Some(Err(e))) => Some(AttemptOutcome::Failed(e)),
            AttemptEvent::Item(None) => Some(AttemptOutcome::Failed(cut_error(
                "the stream has no end mark",
            ))),
            AttemptEvent::Timeout => Some(AttemptOutcome::Failed(silence_error())),
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
            AttemptEvent::HandOver => Some(AttemptOutcome::HandOver),
            AttemptEvent::ReadersGone => Some(AttemptOutcome::Abandoned),
        }
    }

    async fn handle_token(&mut self, token: Token) -> Option<AttemptOutcome> {
        let expected = self.task.request.completion.prefix.len();
        if token.offset as usize != expected {
            let message = format!("token {} came in place of {expected}", token.offset);
            return Some(AttemptOutcome::Failed(UpstreamError::new(
                UpstreamErrorKind::Protocol,
                Sent::Maybe,
                message,
            )));
        }
        self.awaiting_first_token = false;
        self.task.accept().await;
        self.task.deliver_token(token);
        self.task
            .subscribers
            .is_abandoned()
            .then_some(AttemptOutcome::Abandoned)
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
        self.cache_move = Some(self.move_cache(choice.member));
        None
    }

    fn completes_before_reclaim(&self) -> bool {
        let now = self.task.gateway.clock.monotonic();
        let (Some(reclaimed_at), Some(interval)) = (
            self.member.state.reclaimed_at(),
            self.task.token_timing.mean_interval(),
        ) else {
            return false;
        };
        now + interval * self.task.tokens_left() < reclaimed_at
    }

    fn move_cache(&self, to: Arc<Member>) -> BoxFuture<'static, Option<InstanceName>> {
        let upstreams = Arc::clone(&self.task.gateway.upstreams);
        let from = Arc::clone(&self.member);
        let id = self.task.request.completion.id;
        let work = async move {
            let cache = upstreams.export_cache(&from.target, id).await?;
            upstreams.import_cache(&to.target, cache).await?;
            Ok::<_, UpstreamError>(to.instance.name.clone())
        };
        timeout(CACHE_MOVE_TIMEOUT, work)
            .map(|result| result.ok()?.ok())
            .boxed()
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
        let limit = match self.awaiting_first_token {
            true => timing.first_byte_timeout,
            false => timing.token_timeout,
        };
        limit.min(self.task.remaining_time())
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

fn silence_error() -> UpstreamError {
    UpstreamError::new(
        UpstreamErrorKind::Silent,
        Sent::Maybe,
        "nothing came for too long",
    )
}

fn cut_error(message: &str) -> UpstreamError {
    UpstreamError::new(UpstreamErrorKind::Cut, Sent::Maybe, message)
}
