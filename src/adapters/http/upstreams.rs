//! HTTP client for model engines and plain servers.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Request,
    header::{self, HeaderName, HeaderValue},
};
use serde::Deserialize;
use tokio::time::{Instant, timeout};

use super::{
    client::{
        Client, Reuse, StreamingResponse, build_request, get_request, is_final_status,
        post_request, protocol_error, rejected_error,
    },
    framing::Framing,
    generation::GenerationReader,
    messages::{CacheEventsReply, CompletionBody, LoadReply, OrderBody},
};
use crate::{
    domain::{Completion, RequestId},
    ports::{
        CacheEvents, EngineLoad, EngineOrder, OrderOutcome, ServiceCall, ServiceReply, Target,
        TokenStream, UpstreamError, Upstreams,
    },
    settings::Timing,
};

const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// HTTP client for model engines and plain servers.
#[derive(Debug)]
pub struct HttpUpstreams {
    client: Client,
    first_byte_timeout: Duration,
    token_timeout: Duration,
    request_timeout: Duration,
}

impl HttpUpstreams {
    /// Creates a client without open connections.
    pub fn new(timing: &Timing) -> Self {
        Self {
            client: Client::new(timing.connect_timeout),
            first_byte_timeout: timing.first_byte_timeout,
            token_timeout: timing.token_timeout,
            request_timeout: timing.request_timeout,
        }
    }

    fn first_byte_deadline(&self) -> Instant {
        Instant::now() + self.first_byte_timeout
    }

    fn request_deadline(&self) -> Instant {
        Instant::now() + self.request_timeout
    }

    /// Sends a request once and waits for the head of its response until the deadline. If a reused connection is silent
    /// for longer than the time to the first byte, the idle ones to the target are closed, so that later requests do
    /// not wait on them.
    async fn exchange(
        &self,
        target: &Target,
        req: Request<Full<Bytes>>,
        reuse: Reuse,
        deadline: Instant,
    ) -> Result<StreamingResponse, UpstreamError> {
        let connection = self.client.connect(target, reuse, deadline).await?;
        let mut exchange = connection.start(req, deadline);
        let res = match timeout(self.first_byte_timeout, exchange.response()).await {
            Ok(res) => res?,
            Err(_) => {
                exchange.connection().record_silence();
                exchange.response().await?
            }
        };
        Ok(exchange.into_streaming(res))
    }
}

/// A JSON object whose fields are ignored.
#[derive(Debug, Deserialize)]
struct Ignored {}

impl Upstreams for HttpUpstreams {
    async fn generate(
        &self,
        target: &Target,
        req: &Completion,
    ) -> Result<TokenStream, UpstreamError> {
        let (deadline, silent_at) = (self.request_deadline(), self.first_byte_deadline());
        let body = CompletionBody::from(req);
        let post = post_request(target, "/v1/completions", &body)?;
        let response = self
            .exchange(target, post, Reuse::Allowed, deadline)
            .await?;
        if !response.res.status().is_success() {
            return Err(response.read_body(deadline).await?.into_error());
        }
        let first = req.prefix.len() as u32;
        let generation = GenerationReader::new(
            response,
            req.id,
            first,
            deadline,
            silent_at,
            self.token_timeout,
        );
        Ok(generation.into_stream())
    }

    async fn cancel(&self, target: &Target, id: RequestId) -> Result<(), UpstreamError> {
        let req = build_request(
            target,
            Method::POST,
            &format!("/v1/requests/{id}/cancel"),
            None,
            Bytes::new(),
        )?;
        let Ignored {} = self
            .client
            .fetch_json(target, req, self.first_byte_deadline())
            .await?;
        Ok(())
    }

    async fn load(&self, target: &Target) -> Result<EngineLoad, UpstreamError> {
        let req = get_request(target, "/load")?;
        let reply: LoadReply = self
            .client
            .fetch_json(target, req, self.first_byte_deadline())
            .await?;
        Ok(reply.into())
    }

    async fn cache_events(
        &self,
        target: &Target,
        after: u64,
    ) -> Result<CacheEvents, UpstreamError> {
        let req = get_request(target, &format!("/cache-events?after={after}"))?;
        let reply: CacheEventsReply = self
            .client
            .fetch_json(target, req, self.first_byte_deadline())
            .await?;
        Ok(reply.into())
    }

    async fn export_cache(&self, target: &Target, id: RequestId) -> Result<Bytes, UpstreamError> {
        let req = get_request(target, &format!("/v1/requests/{id}/cache"))?;
        let response = self
            .client
            .fetch(target, req, Reuse::Allowed, self.first_byte_deadline())
            .await?;
        Ok(response.error_for_status()?.body)
    }

    async fn import_cache(&self, target: &Target, cache: Bytes) -> Result<(), UpstreamError> {
        let kind = HeaderValue::from_static("application/octet-stream");
        let req = build_request(target, Method::POST, "/v1/cache", Some(kind), cache)?;
        let response = self
            .client
            .fetch(target, req, Reuse::Allowed, self.first_byte_deadline())
            .await?;
        response.error_for_status().map(drop)
    }

    async fn order(
        &self,
        target: &Target,
        order: &EngineOrder,
    ) -> Result<OrderOutcome, UpstreamError> {
        let req = post_request(target, "/orders", &OrderBody::from(order))?;
        let deadline = self.request_deadline();
        let response = self
            .client
            .fetch(target, req, Reuse::Forbidden, deadline)
            .await?;
        if response.status == hyper::StatusCode::CONFLICT {
            return Ok(OrderOutcome::Fenced);
        }
        response.error_for_status()?;
        Ok(OrderOutcome::Done)
    }

    async fn call(
        &self,
        target: &Target,
        call: &ServiceCall,
    ) -> Result<ServiceReply, UpstreamError> {
        let deadline = Instant::now() + call.timeout;
        let method = Method::from_bytes(call.method.as_bytes())
            .map_err(|_| rejected_error(format!("{} is not an HTTP method", call.method)))?;
        let reuse = reuse(&method, call);
        let kind = call.content_type.as_deref().map(header_value).transpose()?;
        let key = call.key.as_deref().map(header_value).transpose()?;
        let mut req = build_request(target, method, &call.path, kind, call.body.clone())?;
        if let Some(key) = key {
            req.headers_mut().insert(IDEMPOTENCY_KEY, key);
        }
        let response = self.exchange(target, req, reuse, deadline).await?;
        let status = response.res.status();
        if !is_final_status(status) {
            return Err(protocol_error(format!(
                "{} is no status of an answer",
                status.as_u16()
            )));
        }
        let response = response.read_body(deadline).await?;
        let content_type = response
            .headers
            .get(header::CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .unwrap_or("application/octet-stream");
        Ok(ServiceReply {
            status: response.status.as_u16(),
            content_type: content_type.to_owned(),
            body: response.body,
            ends_with_connection: response.framing == Framing::Connection,
        })
    }
}

/// A call that must not run twice gets a new connection, because a failure to connect proves that nothing
/// was sent.
fn reuse(method: &Method, call: &ServiceCall) -> Reuse {
    if call.key.is_none() && method.is_safe() {
        Reuse::Allowed
    } else {
        Reuse::Forbidden
    }
}

fn header_value(text: &str) -> Result<HeaderValue, UpstreamError> {
    HeaderValue::from_str(text)
        .map_err(|_| rejected_error("a header has invalid characters".to_owned()))
}
