//! Responses that carry an answer: as server-sent events, or as one document.

use std::{convert::Infallible, net::SocketAddr};

use bytes::Bytes;
use futures_util::{Stream, stream};
use warp::{
    Reply,
    http::{HeaderName, HeaderValue, header},
    reply::Response,
};

use super::{
    error,
    render::{self, AnswerFormat},
};
use crate::{
    domain::{GatewayEntry, Ran, Refusal, RefusalKind, RequestId},
    gateway::generate::{AnswerEvent, AnswerReceiver},
    ports::StreamEnd,
};

/// The address of the gateway that holds a backup copy of the request, in case this one is lost.
const BACKUP_ADDRESS_HEADER: HeaderName = HeaderName::from_static("x-backup-address");

/// The response that carries an answer to a caller.
#[derive(Debug)]
pub(super) struct AnswerResponse {
    /// The id of the request.
    pub(super) id: RequestId,
    /// The format of its answer.
    pub(super) format: AnswerFormat,
    /// Receives the events of the answer.
    pub(super) events: AnswerReceiver,
    /// Offset of the first token to send.
    pub(super) from_offset: u32,
    /// The gateway that holds a backup copy of the request, once it is accepted.
    pub(super) backup: Option<Box<GatewayEntry>>,
}

impl AnswerResponse {
    /// Responds to a new request with server-sent events. The response starts only with the first
    /// event, since a request that was not accepted gets an error status.
    pub(super) async fn into_event_stream(mut self) -> Result<Response, Refusal> {
        match self.next_event().await {
            AnswerEvent::Failed(refusal) => Err(refusal),
            first => Ok(self.stream_response(Some(first))),
        }
    }

    /// Responds at once with the remaining events of an accepted request.
    pub(super) fn into_resumed_stream(self) -> Response {
        self.stream_response(None)
    }

    fn stream_response(mut self, first: Option<AnswerEvent>) -> Response {
        let (id, backup) = (self.id, self.backup.take());
        let mut response = warp::reply::stream(self.into_chunks(first)).into_response();
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("text/event-stream"),
        );
        headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
        set_request_headers(&mut response, id, backup.as_deref());
        response
    }

    /// Returns the next event for the caller. A task that stopped early must not look like a complete
    /// answer.
    async fn next_event(&mut self) -> AnswerEvent {
        loop {
            match self.events.recv().await {
                Some(AnswerEvent::Accepted(backup)) => self.backup = backup,
                Some(event) => return event,
                None => return AnswerEvent::Failed(interrupted_refusal()),
            }
        }
    }

    fn into_chunks(
        self,
        first: Option<AnswerEvent>,
    ) -> impl Stream<Item = Result<Bytes, Infallible>> {
        let from_offset = self.from_offset;
        let state = Some((self, first, from_offset));
        stream::unfold(state, |state| async move {
            let (mut answer, first, mut next_offset) = state?;
            let event = match first {
                Some(event) => event,
                None => answer.next_event().await,
            };
            let bytes = answer.render_event(&event, &mut next_offset);
            let rest = (!render::is_last_event(&event)).then_some((answer, None, next_offset));
            Some((Ok(bytes), rest))
        })
    }

    fn render_event(&self, event: &AnswerEvent, next_offset: &mut u32) -> Bytes {
        match event {
            AnswerEvent::Token(token) => {
                *next_offset = token.offset + 1;
                self.format.token_event(token)
            }
            AnswerEvent::Accepted(_) => Bytes::new(),
            AnswerEvent::End(end) => self.format.end_events(*next_offset, *end),
            AnswerEvent::Failed(refusal) => render::error_event(refusal),
            AnswerEvent::Moved(entry) => render::moved_event(self.id, entry),
        }
    }

    /// Responds with one document once the answer is complete.
    pub(super) async fn into_document(mut self) -> Result<Response, Refusal> {
        let mut text = String::new();
        let mut tokens = 0;
        loop {
            match self.next_event().await {
                AnswerEvent::Accepted(_) => {}
                AnswerEvent::Token(token) => {
                    text.push_str(&token.text);
                    tokens += 1;
                }
                AnswerEvent::End(end) => return Ok(self.document_response(&text, tokens, end)),
                AnswerEvent::Failed(refusal) => return Err(refusal),
                AnswerEvent::Moved(entry) => return Ok(self.handed_over_response(*entry)),
            }
        }
    }

    fn document_response(&self, text: &str, tokens: u32, end: StreamEnd) -> Response {
        let mut response = error::json_response(&self.format.answer_document(text, tokens, end));
        set_request_headers(&mut response, self.id, self.backup.as_deref());
        response
    }

    /// Refers the caller to the gateway that continues the request, where it can ask for the answer.
    fn handed_over_response(&self, entry: GatewayEntry) -> Response {
        let address: SocketAddr = entry.caller_address;
        let refusal = Refusal {
            ran: Ran::Unknown,
            ..Refusal::not_run(
                RefusalKind::Leaving,
                format!(
                    "this gateway is leaving; the request goes on, ask for /v1/requests/{} at {address}",
                    self.id
                ),
            )
        };
        let mut response = error::refusal_response(&refusal, &[entry]);
        set_request_headers(&mut response, self.id, self.backup.as_deref());
        response
    }
}

fn set_request_headers(response: &mut Response, id: RequestId, backup: Option<&GatewayEntry>) {
    error::set_request_id(response, id);
    let address = backup.map(|entry| entry.caller_address.to_string());
    if let Some(Ok(value)) = address.as_deref().map(HeaderValue::from_str) {
        response.headers_mut().insert(BACKUP_ADDRESS_HEADER, value);
    }
}

fn interrupted_refusal() -> Refusal {
    Refusal::unknown(
        RefusalKind::UpstreamFailed,
        "the gateway stopped before the answer was whole; ask again",
    )
}
