//! What the readers of an answer get.

use tokio::sync::mpsc;

use crate::{
    domain::{AccountName, GatewayEntry, ModelName, Refusal, Token},
    ports::StreamEnd,
};

/// One piece of an answer.
#[derive(Clone, Debug)]
pub(crate) enum AnswerEvent {
    /// The request is accepted; the gateway that holds a copy of it, if there is one.
    Accepted(Option<Box<GatewayEntry>>),
    /// The next token.
    Token(Token),
    /// The proper end.
    End(StreamEnd),
    /// The end of an answer that cannot be completed.
    Failed(Refusal),
    /// The request goes on at another gateway.
    Moved(Box<GatewayEntry>),
}

/// Where a reader gets its pieces. It is unbounded, so that a slow caller cannot hold the others up;
/// `max_tokens` bounds what can wait in it.
pub(crate) type AnswerReceiver = mpsc::UnboundedReceiver<AnswerEvent>;

/// Asks a running request to feed one more reader.
#[derive(Debug)]
pub(crate) struct Subscription {
    /// Offset of the first token that the reader lacks.
    pub(crate) from: u32,
    /// Where to send the pieces.
    pub(crate) tx: mpsc::UnboundedSender<AnswerEvent>,
}

/// A whole answer, kept for a while after it was given.
#[derive(Clone, Debug)]
pub(crate) struct CompletedAnswer {
    /// The account that asked.
    pub(crate) account: AccountName,
    /// The model.
    pub(crate) model: ModelName,
    /// Whether the caller spoke the chat form.
    pub(crate) chat: bool,
    /// The tokens' texts.
    pub(crate) tokens: Vec<String>,
    /// The end.
    pub(crate) end: StreamEnd,
}

impl CompletedAnswer {
    /// Feeds a reader from an offset on.
    pub(crate) fn subscribe_from(&self, from: u32) -> AnswerReceiver {
        let (tx, rx) = mpsc::unbounded_channel();
        send_tokens_from(&tx, &self.tokens, from);
        let _ = tx.send(AnswerEvent::End(self.end));
        rx
    }
}

/// Sends the tokens from an offset on.
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
