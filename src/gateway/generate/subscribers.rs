//! Those who read an answer.

use std::time::Duration;

use tokio::{sync::mpsc, time::Instant};

use super::{AnswerEvent, Subscription, answer::send_tokens_from};

/// How long an accepted request goes on without a reader, so that its caller can ask again.
const ABANDONED_TIMEOUT: Duration = Duration::from_secs(10);

/// One reader. Tokens before its offset are not sent to it: it has them from another gateway, and
/// they are only generated again to go on from them.
#[derive(Debug)]
struct Subscriber {
    from: u32,
    tx: mpsc::UnboundedSender<AnswerEvent>,
}

impl Subscriber {
    fn wants(&self, piece: &AnswerEvent) -> bool {
        !matches!(piece, AnswerEvent::Token(token) if token.offset < self.from)
    }

    /// Says whether the reader is still there.
    fn send(&self, piece: &AnswerEvent) -> bool {
        match self.wants(piece) {
            true => self.tx.send(piece.clone()).is_ok(),
            false => !self.tx.is_closed(),
        }
    }
}

/// The readers of one answer.
#[derive(Debug, Default)]
pub(super) struct Subscribers {
    readers: Vec<Subscriber>,
    empty_since: Option<Instant>,
}

impl Subscribers {
    /// Makes an audience that nobody has joined yet.
    pub(super) fn awaiting_first() -> Self {
        Self {
            readers: Vec::new(),
            empty_since: Some(Instant::now()),
        }
    }

    /// Adds a reader and gives it the tokens that it lacks.
    pub(super) fn add(&mut self, attach: &Subscription, tokens: &[String]) {
        send_tokens_from(&attach.tx, tokens, attach.from);
        self.readers.push(Subscriber {
            from: attach.from,
            tx: attach.tx.clone(),
        });
        self.empty_since = None;
    }

    /// Gives a piece to all readers; those that have gone are forgotten.
    pub(super) fn send(&mut self, piece: &AnswerEvent) {
        self.readers.retain(|reader| reader.send(piece));
        if self.readers.is_empty() {
            self.empty_since.get_or_insert_with(Instant::now);
        }
    }

    /// Says whether nobody has read for so long that the work is in vain.
    pub(super) fn is_abandoned(&self) -> bool {
        self.empty_since
            .is_some_and(|since| since.elapsed() >= ABANDONED_TIMEOUT)
    }

    /// Waits until the first reader has gone.
    pub(super) async fn first_disconnected(&self) {
        match self.readers.first() {
            Some(reader) => reader.tx.closed().await,
            None => std::future::pending().await,
        }
    }
}
