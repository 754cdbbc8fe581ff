//! Reads the event stream of one generation and checks each token.

use std::time::Duration;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use tokio::time::{Instant, timeout_at};

use super::{
    client::{PooledConnection, StreamingResponse, cut_error, protocol_error},
    events::SseDecoder,
    messages::StreamEvent,
};
use crate::{
    domain::{FinishReason, RequestId, Token},
    ports::{StreamEnd, StreamItem, TokenStream, UpstreamError},
};

/// Data of the event that ends a stream.
const END_EVENT: &[u8] = b"[DONE]";

/// Reads the tokens of one generation.
#[derive(Debug)]
pub(super) struct GenerationReader {
    request_id: String,
    next_offset: u32,
    body: Incoming,
    connection: Option<PooledConnection>,
    decoder: SseDecoder,
    end: Option<StreamEnd>,
    deadline: Instant,
    /// When the connection counts as silent.
    silent_at: Instant,
    token_timeout: Duration,
}

impl GenerationReader {
    /// Creates a reader of a response that must end by `deadline`. After a silence until `silent_at`, or of
    /// `token_timeout` after a token, the idle connections to the engine are closed, as far as they may be affected by
    /// the same cause; the response itself goes on.
    pub(super) fn new(
        response: StreamingResponse,
        id: RequestId,
        first_offset: u32,
        deadline: Instant,
        silent_at: Instant,
        token_timeout: Duration,
    ) -> Self {
        Self {
            request_id: id.to_string(),
            next_offset: first_offset,
            body: response.res.into_body(),
            connection: Some(response.connection),
            decoder: SseDecoder::default(),
            end: None,
            deadline,
            silent_at,
            token_timeout,
        }
    }

    /// Returns the stream of tokens. Dropping it closes the connection.
    pub(super) fn into_stream(self) -> TokenStream {
        stream::unfold(Some(self), async |generation| {
            let mut generation = generation?;
            match generation.next().await {
                Ok(token @ StreamItem::Token(_)) => Some((Ok(token), Some(generation))),
                last => Some((last, None)),
            }
        })
        .boxed()
    }

    async fn next(&mut self) -> Result<StreamItem, UpstreamError> {
        loop {
            let event = self.next_event().await?;
            if event == END_EVENT {
                return self.finish().await;
            }
            if let Some(token) = self.parse_event(&event)? {
                self.silent_at = Instant::now() + self.token_timeout;
                return Ok(StreamItem::Token(token));
            }
        }
    }

    async fn next_event(&mut self) -> Result<Bytes, UpstreamError> {
        loop {
            let event = self
                .decoder
                .next()
                .map_err(|_| protocol_error("an event of the stream is too large".to_owned()))?;
            if let Some(event) = event {
                return Ok(event);
            }
            match self.next_chunk().await? {
                Some(piece) => self.decoder.push(&piece),
                None => return Err(cut_error("the stream ended without its end mark")),
            }
        }
    }

    async fn next_chunk(&mut self) -> Result<Option<Bytes>, UpstreamError> {
        if self.silent_at < self.deadline {
            if let Ok(frame) = timeout_at(self.silent_at, self.body.frame()).await {
                return frame_data(frame);
            }
            let e = self.silence_error();
            log::debug!("http: an engine is silent: {e}.");
            self.silent_at = self.deadline;
        }
        match timeout_at(self.deadline, self.body.frame()).await {
            Ok(frame) => frame_data(frame),
            Err(_) => Err(self.silence_error()),
        }
    }

    fn silence_error(&self) -> UpstreamError {
        let message = format!("no token after offset {}", self.next_offset);
        match &self.connection {
            Some(connection) => connection.silence_error(&message),
            None => cut_error(&message),
        }
    }

    /// Parses and checks an event. Returns its token, or `None` after recording the finish reason.
    fn parse_event(&mut self, data: &[u8]) -> Result<Option<Token>, UpstreamError> {
        let event: StreamEvent<'_> = serde_json::from_slice(data)
            .map_err(|e| protocol_error(format!("an event of the stream is malformed: {e}")))?;
        if event.request_id != self.request_id {
            let message = format!("the stream is that of request {}", event.request_id);
            return Err(protocol_error(message));
        }
        if let Some(reason) = event.finish_reason {
            let usage = event.usage.unwrap_or_default();
            self.end = Some(StreamEnd {
                reason: finish_reason(&reason)?,
                prompt_tokens: usage.prompt_tokens,
                cached_tokens: usage.cached_tokens,
            });
            return Ok(None);
        }
        let (Some(offset), Some(text)) = (event.offset, event.text) else {
            return Err(protocol_error(
                "an event has neither token nor end".to_owned(),
            ));
        };
        self.check_offset(offset)?;
        self.next_offset += 1;
        Ok(Some(Token { offset, text }))
    }

    fn check_offset(&self, offset: u32) -> Result<(), UpstreamError> {
        if self.end.is_some() {
            return Err(protocol_error(format!(
                "token {offset} comes after the end"
            )));
        }
        if offset == self.next_offset {
            return Ok(());
        }
        let expected = self.next_offset;
        Err(protocol_error(format!(
            "token {offset} comes in place of {expected}"
        )))
    }

    /// Reads the body to its end, so that the connection can be reused.
    async fn finish(&mut self) -> Result<StreamItem, UpstreamError> {
        let Some(end) = self.end else {
            return Err(protocol_error(
                "the end mark came without a reason".to_owned(),
            ));
        };
        self.deadline = self.deadline.min(Instant::now() + self.token_timeout);
        // The response is complete. If the body does not end here, only the connection is closed.
        if let Ok(None) = self.next_chunk().await
            && let Some(connection) = self.connection.take()
        {
            connection.return_to_pool();
        }
        Ok(StreamItem::End(end))
    }
}

fn frame_data(
    frame: Option<Result<Frame<Bytes>, hyper::Error>>,
) -> Result<Option<Bytes>, UpstreamError> {
    match frame {
        Some(Ok(frame)) => Ok(Some(frame.into_data().unwrap_or_default())),
        Some(Err(e)) => Err(cut_error(&format!("the stream broke off: {e}"))),
        None => Ok(None),
    }
}

fn finish_reason(text: &str) -> Result<FinishReason, UpstreamError> {
    match text {
        "stop" => Ok(FinishReason::Stop),
        "length" => Ok(FinishReason::Length),
        "cancelled" => Err(cut_error("the engine cancelled the request")),
        other => Err(protocol_error(format!("finish reason {other} is unknown"))),
    }
}
