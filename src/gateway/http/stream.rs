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
    gateway::generate::{Piece, Reader},
    ports::StreamEnd,
};

/// Names the request, so that its caller can ask again.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// An answer on its way to a caller.
#[derive(Debug)]
pub(super) struct Outgoing {
    /// The request.
    pub(super) id: RequestId,
    /// The shape of its answer.
    pub(super) shape: Shape,
    /// Where its pieces come from.
    pub(super) reader: Reader,
    /// Offset of the first token to send.
    pub(super) from: u32,
}

impl Outgoing {
    /// Answers with events. Nothing is said before the first piece is there, since a request that
    /// was not accepted gets an error status.
    pub(super) async fn events(mut self) -> Result<Response, Refusal> {
        let first = match self.reader.recv().await {
            Some(Piece::Failed(refusal)) => return Err(refusal),
            Some(piece) => piece,
            None => return Err(interrupted()),
        };
        let id = self.id;
        let mut response = warp::reply::stream(self.body(first)).into_response();
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("text/event-stream"),
        );
        headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
        mark(&mut response, id);
        Ok(response)
    }

    fn body(self, first: Piece) -> impl Stream<Item = Result<Bytes, Infallible>> {
        let from = self.from;
        let state = Some((self, Some(first), from));
        stream::unfold(state, |state| async move {
            let (mut this, first, mut next) = state?;
            let piece = match first {
                Some(piece) => Some(piece),
                None => this.reader.recv().await,
            };
            // A task that vanished must not look like a proper end.
            let piece = piece.unwrap_or_else(|| Piece::Failed(interrupted()));
            let bytes = this.render(&piece, &mut next);
            let rest = (!render::is_last(&piece)).then_some((this, None, next));
            Some((Ok(bytes), rest))
        })
    }

    fn render(&self, piece: &Piece, next: &mut u32) -> Bytes {
        match piece {
            Piece::Token(token) => {
                *next = token.offset + 1;
                self.shape.token(token)
            }
            Piece::End(end) => self.shape.end(*next, *end),
            Piece::Failed(refusal) => render::failed(refusal),
            Piece::Moved(entry) => render::moved(self.id, entry),
        }
    }

    /// Answers with one document once the answer is whole.
    pub(super) async fn whole(mut self) -> Result<Response, Refusal> {
        let mut text = String::new();
        let mut tokens = 0;
        loop {
            match self.reader.recv().await {
                Some(Piece::Token(token)) => {
                    text.push_str(&token.text);
                    tokens += 1;
                }
                Some(Piece::End(end)) => return Ok(self.document(&text, tokens, end)),
                Some(Piece::Failed(refusal)) => return Err(refusal),
                Some(Piece::Moved(entry)) => return Ok(self.elsewhere(*entry)),
                None => return Err(interrupted()),
            }
        }
    }

    fn document(&self, text: &str, tokens: u32, end: StreamEnd) -> Response {
        let mut response = error::json(&self.shape.whole(text, tokens, end));
        mark(&mut response, self.id);
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
        mark(&mut response, self.id);
        response
    }
}

fn mark(response: &mut Response, id: RequestId) {
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        response.headers_mut().insert(REQUEST_ID, value);
    }
}

fn interrupted() -> Refusal {
    Refusal::unknown(
        RefusalKind::UpstreamFailed,
        "the gateway stopped before the answer was whole; ask again",
    )
}
