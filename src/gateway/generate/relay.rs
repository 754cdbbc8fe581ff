//! One attempt at one instance: starts the generation there and relays its tokens until it ends, or
//! until something speaks for going on elsewhere.

use std::{sync::Arc, time::Duration};

use futures_util::{FutureExt, StreamExt, future::BoxFuture};
use tokio::time::{Instant, timeout, timeout_at};

use super::{Attach, pump::Pump};
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

/// Longest time for moving cached keys and values to another instance; later than that, computing
/// them again is quicker.
const CACHE_MOVE_TIMEOUT: Duration = Duration::from_millis(300);

/// How an attempt ended.
pub(super) enum Ended {
    /// With the proper end.
    Whole(StreamEnd),
    /// The instance leaves; the request goes on elsewhere, best where its cached work went.
    Leaving(Option<InstanceName>),
    /// Paying work needs the place.
    Preempted,
    /// This gateway leaves and has no time left.
    HandOver,
    /// Nobody waits for the answer.
    Abandoned,
    /// With an error.
    Failed(UpstreamError),
}

/// What the relay waits for.
enum Event {
    Item(Option<Result<StreamItem, UpstreamError>>),
    Silent,
    Attach(Attach),
    Leaving,
    CacheMoved(Option<InstanceName>),
    Preempted,
    HandOver,
    Unread,
}

/// One attempt.
pub(super) struct Relay<'a, U, T> {
    pump: &'a mut Pump<U, T>,
    member: Arc<Member>,
    service: Option<Arc<ServiceEntry>>,
    cache_move: Option<BoxFuture<'static, Option<InstanceName>>>,
    leaving_seen: bool,
    first: bool,
    _in_progress: InProgress,
}

impl<'a, U: Upstreams, T: Clock> Relay<'a, U, T> {
    pub(super) fn new(pump: &'a mut Pump<U, T>, choice: &Choice) -> Self {
        let member = Arc::clone(&choice.member);
        pump.record(DecisionKind::Routed(member.instance.name.clone()));
        Self {
            service: pump.service(),
            _in_progress: member.state.begin_request(),
            pump,
            member,
            cache_move: None,
            leaving_seen: false,
            first: true,
        }
    }

    pub(super) async fn run(mut self) -> Ended {
        let mut stream = match self.open().await {
            Ok(stream) => stream,
            Err(ended) => return ended,
        };
        loop {
            let event = self.next(&mut stream).await;
            if let Some(ended) = self.handle(event).await {
                return ended;
            }
        }
    }

    async fn open(&mut self) -> Result<TokenStream, Ended> {
        self.pump.add_waiting_readers();
        let gateway = Arc::clone(&self.pump.gateway);
        let limit = self.limit();
        let call = gateway
            .upstreams
            .generate(&self.member.target, &self.pump.request.completion);
        tokio::select! {
            result = timeout(limit, call) => match result {
                Ok(result) => result.map_err(Ended::Failed),
                Err(_) => Err(Ended::Failed(silent())),
            },
            () = gateway.hand_over.cancelled(), if self.pump.may_hand_over() => Err(Ended::HandOver),
            () = self.pump.audience.first_gone(), if !self.pump.accepted => Err(Ended::Abandoned),
        }
    }

    async fn next(&mut self, stream: &mut TokenStream) -> Event {
        let silent_at = Instant::now() + self.limit();
        let usage = self.service.as_ref().map(|service| &service.usage);
        let may_yield = self.pump.accepted && self.pump.is_free();
        let pump = &mut *self.pump;
        tokio::select! {
            item = timeout_at(silent_at, stream.next()) => match item {
                Ok(item) => Event::Item(item),
                Err(_) => Event::Silent,
            },
            Some(attach) = pump.attach.recv() => Event::Attach(attach),
            () = self.member.state.leaving().cancelled(), if !self.leaving_seen => Event::Leaving,
            to = moved(&mut self.cache_move), if self.cache_move.is_some() => Event::CacheMoved(to),
            () = preempted(usage), if may_yield => Event::Preempted,
            () = pump.gateway.hand_over.cancelled(), if pump.may_hand_over() => Event::HandOver,
            () = pump.audience.first_gone(), if !pump.accepted => Event::Unread,
        }
    }

    async fn handle(&mut self, event: Event) -> Option<Ended> {
        match event {
            Event::Item(Some(Ok(StreamItem::Token(token)))) => self.token(token).await,
            Event::Item(Some(Ok(StreamItem::End(end)))) => {
                self.pump.accept().await;
                self.member.state.clear_suspicion();
                Some(Ended::Whole(end))
            }
            Event::Item(Some(Err(e))) => Some(Ended::Failed(e)),
            Event::Item(None) => Some(Ended::Failed(cut("the stream has no end mark"))),
            Event::Silent => Some(Ended::Failed(silent())),
            Event::Attach(attach) => {
                self.pump.add_reader(&attach);
                None
            }
            Event::Leaving => self.leaving(),
            Event::CacheMoved(to) => {
                self.cache_move = None;
                Some(Ended::Leaving(to))
            }
            Event::Preempted => self.preempted(),
            Event::HandOver => Some(Ended::HandOver),
            Event::Unread => Some(Ended::Abandoned),
        }
    }

    async fn token(&mut self, token: Token) -> Option<Ended> {
        let expected = self.pump.request.completion.prefix.len();
        if token.offset as usize != expected {
            let message = format!("token {} came in place of {expected}", token.offset);
            return Some(Ended::Failed(UpstreamError::new(
                UpstreamErrorKind::Protocol,
                Sent::Maybe,
                message,
            )));
        }
        self.first = false;
        self.pump.accept().await;
        self.pump.relay(token);
        self.pump.audience.is_gone().then_some(Ended::Abandoned)
    }

    /// Goes on elsewhere unless the answer will be whole in time. Cached work is taken along where
    /// that is quick; the tokens that come meanwhile are relayed.
    fn leaving(&mut self) -> Option<Ended> {
        self.leaving_seen = true;
        if self.ends_in_time() {
            return None;
        }
        let Some(choice) = self.pump.choose() else {
            // Nothing else takes work; the instance may still finish.
            return None;
        };
        if self.first {
            return Some(Ended::Leaving(None));
        }
        self.cache_move = Some(self.move_cache(choice.member));
        None
    }

    fn ends_in_time(&self) -> bool {
        let now = self.pump.gateway.clock.monotonic();
        let (Some(end), Some(gap)) = (self.member.state.reclaimed_at(), self.pump.pace.mean_gap())
        else {
            return false;
        };
        now + gap * self.pump.tokens_left() < end
    }

    fn move_cache(&self, to: Arc<Member>) -> BoxFuture<'static, Option<InstanceName>> {
        let upstreams = Arc::clone(&self.pump.gateway.upstreams);
        let from = Arc::clone(&self.member);
        let id = self.pump.request.completion.id;
        let work = async move {
            let cache = upstreams.export_cache(&from.target, id).await?;
            upstreams.import_cache(&to.target, cache).await?;
            Ok::<_, UpstreamError>(to.instance.name.clone())
        };
        timeout(CACHE_MOVE_TIMEOUT, work)
            .map(|result| result.ok()?.ok())
            .boxed()
    }

    fn preempted(&self) -> Option<Ended> {
        let service = self.service.as_ref()?;
        service.usage.needs_preemption().then_some(Ended::Preempted)
    }

    fn limit(&self) -> Duration {
        let timing = &self.pump.gateway.settings.timing;
        let limit = match self.first {
            true => timing.first_byte_timeout,
            false => timing.token_timeout,
        };
        limit.min(self.pump.remaining())
    }
}

async fn moved(
    cache_move: &mut Option<BoxFuture<'static, Option<InstanceName>>>,
) -> Option<InstanceName> {
    match cache_move {
        Some(cache_move) => cache_move.await,
        None => std::future::pending().await,
    }
}

async fn preempted(usage: Option<&Arc<ServiceUsage>>) {
    match usage {
        Some(usage) => usage.preempt.notified().await,
        None => std::future::pending().await,
    }
}

fn silent() -> UpstreamError {
    UpstreamError::new(
        UpstreamErrorKind::Silent,
        Sent::Maybe,
        "nothing came for too long",
    )
}

fn cut(message: &str) -> UpstreamError {
    UpstreamError::new(UpstreamErrorKind::Cut, Sent::Maybe, message)
}
