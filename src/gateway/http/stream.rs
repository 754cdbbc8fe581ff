//! Answers from a reader: as server-sent events, or whole.

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
    render::{self, Shape},
};
use crate::{
    domain::{GatewayEntry, Ran, Refusal, RefusalKind, RequestId},
    gateway::generate::{AnswerEvent, AnswerReceiver},
    ports::StreamEnd,
};

/// Names the gateway that holds a copy of the request, in case this one is lost.
const BACKUP_ADDRESS: HeaderName = HeaderName::from_static("x-backup-address");

/// An answer on its way to a caller.
#[derive(Debug)]
pub(super) struct Outgoing {
    /// The request.
    pub(super) id: RequestId,
    /// The shape of its answer.
    pub(super) shape: Shape,
    /// Where its pieces come from.
    pub(super) reader: AnswerReceiver,
    /// Offset of the first token to send.
    pub(super) from: u32,
    /// The gateway that holds a copy of the request, once it is accepted.
    pub(super) backup: Option<Box<GatewayEntry>>,
}

impl Outgoing {
    /// Answers a new request with events. Nothing is said before the first piece is there, since a
    /// request that was not accepted gets an error status.
    pub(super) async fn events(mut self) -> Result<Response, Refusal> {
        match self.next().await {
            AnswerEvent::Failed(refusal) => Err(refusal),
            first => Ok(self.begin(Some(first))),
        }
    }

    /// Answers with the rest of an accepted request, at once.
    pub(super) fn rest(self) -> Response {
        self.begin(None)
    }

    fn begin(mut self, first: Option<AnswerEvent>) -> Response {
        let (id, backup) = (self.id, self.backup.take());
        let mut response = warp::reply::stream(self.body(first)).into_response();
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("text/event-stream"),
        );
        headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
        mark(&mut response, id, backup.as_deref());
        response
    }

    /// Returns the next piece for the caller. A task that vanished must not look like a proper end.
    async fn next(&mut self) -> AnswerEvent {
        loop {
            match self.reader.recv().await {
                Some(AnswerEvent::Accepted(backup)) => self.backup = backup,
                Some(piece) => return piece,
                None => return AnswerEvent::Failed(interrupted()),
            }
        }
    }

    fn body(self, first: Option<AnswerEvent>) -> impl Stream<Item = Result<Bytes, Infallible>> {
        let from = self.from;
        let state = Some((self, first, from));
        stream::unfold(state, |state| async move {
            let (mut this, first, mut next) = state?;
            let piece = match first {
                Some(piece) => piece,
                None => this.next().await,
            };
            let bytes = this.render(&piece, &mut next);
            let rest = (!render::is_last(&piece)).then_some((this, None, next));
            Some((Ok(bytes), rest))
        })
    }

    fn render(&self, piece: &AnswerEvent, next: &mut u32) -> Bytes {
        match piece {
            AnswerEvent::Token(token) => {
                *next = token.offset + 1;
                self.shape.token(token)
            }
            AnswerEvent::Accepted(_) => Bytes::new(),
            AnswerEvent::End(end) => self.shape.end(*next, *end),
            AnswerEvent::Failed(refusal) => render::failed(refusal),
            AnswerEvent::Moved(entry) => render::moved(self.id, entry),
        }
    }

    /// Answers with one document once the answer is whole.
    pub(super) async fn whole(mut self) -> Result<Response, Refusal> {
        let mut text = String::new();
        let mut tokens = 0;
        loop {
            match self.next().await {
                AnswerEvent::Accepted(_) => {}
                AnswerEvent::Token(token) => {
                    text.push_str(&token.text);
                    tokens += 1;
                }
                AnswerEvent::End(end) => return Ok(self.document(&text, tokens, end)),
                AnswerEvent::Failed(refusal) => return Err(refusal),
                AnswerEvent::Moved(entry) => return Ok(self.elsewhere(*entry)),
            }
        }
    }

    fn document(&self, text: &str, tokens: u32, end: StreamEnd) -> Response {
        let mut response = error::json(&self.shape.whole(text, tokens, end));
        mark(&mut response, self.id, self.backup.as_deref());
        response
    }

    /// A whole answer that moved is asked for at the gateway that goes on with it.
    fn elsewhere(&self, entry: GatewayEntry) -> Response {
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
        let mut response = error::respond(&refusal, &[entry]);
        mark(&mut response, self.id, self.backup.as_deref());
        response
    }
}

fn mark(response: &mut Response, id: RequestId, backup: Option<&GatewayEntry>) {
    error::name_request(response, id);
    let address = backup.map(|entry| entry.caller_address.to_string());
    if let Some(Ok(value)) = address.as_deref().map(HeaderValue::from_str) {
        response.headers_mut().insert(BACKUP_ADDRESS, value);
    }
}

fn interrupted() -> Refusal {
    Refusal::unknown(
        RefusalKind::UpstreamFailed,
        "the gateway stopped before the answer was whole; ask again",
    )
}
