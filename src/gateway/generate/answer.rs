//! The events of an answer, and the subscriptions to them.

use tokio::sync::mpsc;

use crate::{
    domain::{AccountName, GatewayEntry, ModelName, Refusal, Token},
    ports::StreamEnd,
};

/// One event of an answer, as its subscribers receive it.
#[derive(Clone, Debug)]
pub(crate) enum AnswerEvent {
    /// The request is accepted. Names the gateway that holds a backup copy of it, if there is one.
    Accepted(Option<Box<GatewayEntry>>),
    /// The next token.
    Token(Token),
    /// The regular end of a complete answer.
    End(StreamEnd),
    /// The answer cannot be completed.
    Failed(Refusal),
    /// The request continues at another gateway.
    Moved(Box<GatewayEntry>),
}

/// Receives the events of an answer. The channel is unbounded, so that a slow caller cannot block the
/// other subscribers; `max_tokens` bounds its length.
pub(crate) type AnswerReceiver = mpsc::UnboundedReceiver<AnswerEvent>;

/// Subscribes to the answer of a running request.
#[derive(Debug)]
pub(crate) struct Subscription {
    /// Offset of the first token to send.
    pub(crate) from: u32,
    /// Receives the events.
    pub(crate) tx: mpsc::UnboundedSender<AnswerEvent>,
}

/// A complete answer, retained for a while after it was sent.
#[derive(Clone, Debug)]
pub(crate) struct CompletedAnswer {
    /// The account of the request.
    pub(crate) account: AccountName,
    /// The model.
    pub(crate) model: ModelName,
    /// Whether the request came through the chat interface.
    pub(crate) chat: bool,
    /// The texts of all tokens.
    pub(crate) tokens: Vec<String>,
    /// The finish reason and the token counts.
    pub(crate) end: StreamEnd,
}

impl CompletedAnswer {
    /// Returns a receiver that yields the answer's tokens from an offset on.
    pub(crate) fn subscribe_from(&self, from: u32) -> AnswerReceiver {
        let (tx, rx) = mpsc::unbounded_channel();
        send_tokens_from(&tx, &self.tokens, from);
        let _ = tx.send(AnswerEvent::End(self.end));
        rx
    }
}

/// Sends the tokens from an offset on to a subscriber.
pub(crate) fn send_tokens_from(
    tx: &mpsc::UnboundedSender<AnswerEvent>,
    tokens: &[String],
    from: u32,
) {
    for (offset, text) in (0..).zip(tokens).skip(from as usize) {
        let token = Token {
            offset,
            text: text.clone(),
        };
        let _ = tx.send(AnswerEvent::Token(token));
    }
}
