//! The subscribers of an answer.

use std::time::Duration;

use tokio::{sync::mpsc, time::Instant};

use super::{AnswerEvent, Subscription, answer::send_tokens_from};

/// Time that an accepted request continues without a subscriber, so that its caller can reconnect.
const ABANDONED_TIMEOUT: Duration = Duration::from_secs(10);

/// One subscriber. It receives no tokens before its offset: it has them from another gateway, and
/// they are regenerated only to continue from them.
#[derive(Debug)]
struct Subscriber {
    from_offset: u32,
    tx: mpsc::UnboundedSender<AnswerEvent>,
}

impl Subscriber {
    fn wants(&self, event: &AnswerEvent) -> bool {
        !matches!(event, AnswerEvent::Token(token) if token.offset < self.from_offset)
    }

    /// Returns whether the subscriber is still connected.
    fn send(&self, event: &AnswerEvent) -> bool {
        match self.wants(event) {
            true => self.tx.send(event.clone()).is_ok(),
            false => !self.tx.is_closed(),
        }
    }
}

/// All subscribers of one answer.
#[derive(Debug, Default)]
pub(super) struct Subscribers {
    subscribers: Vec<Subscriber>,
    empty_since: Option<Instant>,
}

impl Subscribers {
    /// Creates an empty set whose abandonment timeout runs from now, until the first subscriber is added.
    pub(super) fn awaiting_first() -> Self {
        Self {
            subscribers: Vec::new(),
            empty_since: Some(Instant::now()),
        }
    }

    /// Adds a subscriber and sends it the tokens generated so far that it lacks.
    pub(super) fn add(&mut self, subscription: &Subscription, tokens: &[String]) {
        send_tokens_from(&subscription.tx, tokens, subscription.from);
        self.subscribers.push(Subscriber {
            from_offset: subscription.from,
            tx: subscription.tx.clone(),
        });
        self.empty_since = None;
    }

    /// Sends an event to all subscribers and removes those that have disconnected.
    pub(super) fn send(&mut self, event: &AnswerEvent) {
        self.subscribers.retain(|subscriber| subscriber.send(event));
        if self.subscribers.is_empty() {
            self.empty_since.get_or_insert_with(Instant::now);
        }
    }

    /// Returns whether there has been no subscriber for [`ABANDONED_TIMEOUT`], so that generating
    /// more tokens is wasted work.
    pub(super) fn is_abandoned(&self) -> bool {
        self.empty_since
            .is_some_and(|since| since.elapsed() >= ABANDONED_TIMEOUT)
    }

    /// Waits until the first subscriber disconnects.
    pub(super) async fn first_disconnected(&self) {
        match self.subscribers.first() {
            Some(subscriber) => subscriber.tx.closed().await,
            None => std::future::pending().await,
        }
    }
}
