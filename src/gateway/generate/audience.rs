//! Those who read an answer.

use std::time::Duration;

use tokio::{sync::mpsc, time::Instant};

use super::{Attach, Piece, piece::send_from};

/// How long an accepted request goes on without a reader, so that its caller can ask again.
const ABANDON_AFTER: Duration = Duration::from_secs(10);

/// One reader. Tokens before its offset are not sent to it: it has them from another gateway, and
/// they are only generated again to go on from them.
#[derive(Debug)]
struct Listener {
    from: u32,
    tx: mpsc::UnboundedSender<Piece>,
}

impl Listener {
    fn wants(&self, piece: &Piece) -> bool {
        !matches!(piece, Piece::Token(token) if token.offset < self.from)
    }

    /// Says whether the reader is still there.
    fn send(&self, piece: &Piece) -> bool {
        match self.wants(piece) {
            true => self.tx.send(piece.clone()).is_ok(),
            false => !self.tx.is_closed(),
        }
    }
}

/// The readers of one answer.
#[derive(Debug, Default)]
pub(super) struct Audience {
    readers: Vec<Listener>,
    unread_since: Option<Instant>,
}

impl Audience {
    /// Makes an audience that nobody has joined yet.
    pub(super) fn empty() -> Self {
        Self {
            readers: Vec::new(),
            unread_since: Some(Instant::now()),
        }
    }

    /// Adds a reader and gives it the tokens that it lacks.
    pub(super) fn add(&mut self, attach: &Attach, tokens: &[String]) {
        send_from(&attach.tx, tokens, attach.from);
        self.readers.push(Listener {
            from: attach.from,
            tx: attach.tx.clone(),
        });
        self.unread_since = None;
    }

    /// Gives a piece to all readers; those that have gone are forgotten.
    pub(super) fn send(&mut self, piece: &Piece) {
        self.readers.retain(|reader| reader.send(piece));
        if self.readers.is_empty() {
            self.unread_since.get_or_insert_with(Instant::now);
        }
    }

    /// Says whether nobody has read for so long that the work is in vain.
    pub(super) fn is_gone(&self) -> bool {
        self.unread_since
            .is_some_and(|since| since.elapsed() >= ABANDON_AFTER)
    }

    /// Waits until the first reader has gone.
    pub(super) async fn first_gone(&self) {
        match self.readers.first() {
            Some(reader) => reader.tx.closed().await,
            None => std::future::pending().await,
        }
    }
}
