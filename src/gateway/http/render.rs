//! Renders answers in the format of callers' existing client libraries.

use bytes::Bytes;
use serde::Serialize;

use crate::{
    domain::{FinishReason, GatewayEntry, ModelName, Refusal, RequestId, Token},
    gateway::generate::AnswerEvent,
    ports::StreamEnd,
};

use super::error::{Address, ErrorBody};

/// The last event of a stream.
const DONE_EVENT: &str = "data: [DONE]\n\n";

/// The fields that all chunks of one answer have in common.
#[derive(Clone, Debug)]
pub(super) struct AnswerFormat {
    id: String,
    model: ModelName,
    chat: bool,
    created: u64,
}

#[derive(Serialize)]
struct Document<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(flatten)]
    content: Content<'a>,
    finish_reason: Option<FinishReason>,
}

#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum Content<'a> {
    Text(&'a str),
    Message(Message<'a>),
    Delta(Message<'a>),
}

#[derive(Default, Serialize)]
struct Message<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
    prompt_tokens_details: CachedTokens,
}

#[derive(Serialize)]
struct CachedTokens {
    cached_tokens: u32,
}

#[derive(Serialize)]
struct MovedEvent<'a> {
    id: RequestId,
    #[serde(flatten)]
    address: Address<'a>,
}

impl AnswerFormat {
    /// Creates the format of one answer.
    pub(super) fn new(id: RequestId, model: ModelName, chat: bool, created_unix_ms: u64) -> Self {
        const MS_PER_SECOND: u64 = 1000;
        let prefix = if chat { "chatcmpl" } else { "cmpl" };
        Self {
            id: format!("{prefix}-{id}"),
            model,
            chat,
            created: created_unix_ms / MS_PER_SECOND,
        }
    }

    /// Renders a complete answer as one document.
    pub(super) fn answer_document(
        &self,
        text: &str,
        tokens: u32,
        end: StreamEnd,
    ) -> impl Serialize {
        let content = match self.chat {
            true => Content::Message(Message {
                role: Some("assistant"),
                content: Some(text),
            }),
            false => Content::Text(text),
        };
        let object = match self.chat {
            true => "chat.completion",
            false => "text_completion",
        };
        let document = self.document(object, content, Some((tokens, end)));
        serde_json::to_value(document).unwrap_or_default()
    }

    /// Renders the event of a token. The event's id is the token's offset.
    pub(super) fn token_event(&self, token: &Token) -> Bytes {
        let content = match self.chat {
            true => Content::Delta(Message {
                role: (token.offset == 0).then_some("assistant"),
                content: Some(&token.text),
            }),
            false => Content::Text(&token.text),
        };
        self.format_event(token.offset, &self.chunk(content, None))
    }

    /// Renders the events that end a stream: the chunk with the finish reason and the end mark.
    pub(super) fn end_events(&self, tokens: u32, end: StreamEnd) -> Bytes {
        let content = match self.chat {
            true => Content::Delta(Message::default()),
            false => Content::Text(""),
        };
        let mut events = self
            .format_event(tokens, &self.chunk(content, Some((tokens, end))))
            .to_vec();
        events.extend_from_slice(DONE_EVENT.as_bytes());
        events.into()
    }

    fn chunk<'a>(&'a self, content: Content<'a>, end: Option<(u32, StreamEnd)>) -> Document<'a> {
        let object = match self.chat {
            true => "chat.completion.chunk",
            false => "text_completion",
        };
        self.document(object, content, end)
    }

    fn document<'a>(
        &'a self,
        object: &'static str,
        content: Content<'a>,
        end: Option<(u32, StreamEnd)>,
    ) -> Document<'a> {
        Document {
            id: &self.id,
            object,
            created: self.created,
            model: self.model.as_str(),
            choices: [Choice {
                index: 0,
                content,
                finish_reason: end.map(|(_, end)| end.reason),
            }],
            usage: end.map(|(tokens, end)| usage(tokens, end)),
        }
    }

    fn format_event(&self, id: u32, document: &Document<'_>) -> Bytes {
        let json = serde_json::to_string(document).unwrap_or_default();
        format!("id: {id}\ndata: {json}\n\n").into()
    }
}

fn usage(tokens: u32, end: StreamEnd) -> Usage {
    Usage {
        prompt_tokens: end.prompt_tokens,
        completion_tokens: tokens,
        total_tokens: end.prompt_tokens + tokens,
        prompt_tokens_details: CachedTokens {
            cached_tokens: end.cached_tokens,
        },
    }
}

/// Renders the event that ends a stream which could not be completed.
pub(super) fn error_event(refusal: &Refusal) -> Bytes {
    let json = serde_json::to_string(&ErrorBody::new(refusal, &[])).unwrap_or_default();
    format!("event: error\ndata: {json}\n\n").into()
}

/// Renders the event that names the gateway at which the request continues.
pub(super) fn moved_event(id: RequestId, entry: &GatewayEntry) -> Bytes {
    let moved = MovedEvent {
        id,
        address: Address::from(entry),
    };
    let json = serde_json::to_string(&moved).unwrap_or_default();
    format!("event: moved\ndata: {json}\n\n").into()
}

/// Returns whether an event is the last one of its answer.
pub(super) fn is_last_event(event: &AnswerEvent) -> bool {
    !matches!(event, AnswerEvent::Token(_) | AnswerEvent::Accepted(_))
}
