//! Model engines and plain servers, as a gateway and a controller use them.

use std::{future::Future, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::stream::BoxStream;

use crate::domain::{
    Completion, FencingToken, FinishReason, Incarnation, InstanceName, ModelName, RequestId, Token,
};

/// Where to send a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Target {
    /// The instance.
    pub instance: InstanceName,
    /// Its incarnation; connections to an older one are not used.
    pub incarnation: Incarnation,
    /// Its address.
    pub address: SocketAddr,
}

/// Whether any byte of a request can have reached the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// No connection was made, so nothing was sent.
    No,
    /// At least one byte may have arrived.
    Maybe,
}

/// What went wrong on the way to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UpstreamErrorKind {
    /// No connection could be made.
    Connect,
    /// The upstream answered that it takes no work now.
    Busy,
    /// The upstream answered that it is leaving.
    Leaving,
    /// The upstream refused the request as malformed or unknown.
    Rejected,
    /// No byte came for too long.
    Silent,
    /// The connection ended before the answer did.
    Cut,
    /// The answer does not follow the protocol, or belongs to another request.
    Protocol,
}

/// A failed exchange with an upstream.
#[derive(Clone, Debug, thiserror::Error)]
#[error("upstream {kind:?}: {message}")]
pub struct UpstreamError {
    /// The kind.
    pub kind: UpstreamErrorKind,
    /// Whether the request can have arrived.
    pub sent: Sent,
    /// What was seen.
    pub message: Arc<str>,
}

impl UpstreamError {
    /// Makes an error.
    pub fn new(kind: UpstreamErrorKind, sent: Sent, message: impl Into<Arc<str>>) -> Self {
        Self {
            kind,
            sent,
            message: message.into(),
        }
    }
}

/// The proper end of a stream. A stream that stops without it is an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamEnd {
    /// Why the answer is complete.
    pub reason: FinishReason,
    /// Prompt tokens, as the engine counts them.
    pub prompt_tokens: u32,
    /// Prompt tokens that the engine found in its cache.
    pub cached_tokens: u32,
}

/// One piece of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// The next token; offsets have no gaps.
    Token(Token),
    /// Nothing follows.
    End(StreamEnd),
}

/// A stream of tokens. Dropping it closes its connection, which cancels the request.
pub type TokenStream = BoxStream<'static, Result<StreamItem, UpstreamError>>;

/// An engine's own report, as old as `age` when it is read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineLoad {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Requests that fit into the batch.
    pub slots: u32,
    /// Tokens that the cache can hold.
    pub cache_capacity_tokens: u64,
    /// Age of the report by the engine's account.
    pub age: Duration,
    /// Whether the engine says that it is leaving.
    pub leaving: bool,
    /// The models that it has loaded.
    pub models: Vec<ModelName>,
    /// The highest fencing number that it has seen.
    pub fence: FencingToken,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Hash of the cached prefix; see `crate::policy` for how a prompt is cut into prefixes.
    pub prefix: u64,
    /// Tokens of the prefix.
    pub tokens: u32,
    /// Whether it was stored; otherwise it was evicted.
    pub stored: bool,
}

/// Cache events after a sequence number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheEvents {
    /// The events, in order.
    pub events: Vec<CacheEvent>,
    /// The sequence number to ask from next time.
    pub next: u64,
    /// Whether events before the first one were lost.
    pub gap: bool,
}

/// What an engine is told to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Load a version of a model.
    Load {
        /// The model.
        model: ModelName,
        /// The version.
        version: String,
    },
    /// Unload a model.
    Unload {
        /// The model.
        model: ModelName,
    },
    /// Take no new work.
    Drain,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// What to do.
    pub kind: OrderKind,
    /// The leader's number; an engine that checks it refuses an older one.
    pub fence: FencingToken,
}

/// How an engine answered an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It was carried out.
    Done,
    /// A newer fencing number was seen before.
    Fenced,
}

/// A call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceCall {
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The `Content-Type`, if there is a body.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
    /// Passed on, so that the upstream's own log can be compared.
    pub key: Option<String>,
    /// How long to wait for the whole answer.
    pub timeout: Duration,
}

/// A plain service's whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceReply {
    /// The HTTP status code.
    pub status: u16,
    /// The `Content-Type`.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
}

/// Model engines and plain servers. No method repeats anything by itself.
pub trait Upstreams: Send + Sync + 'static {
    /// Starts a generation. The stream continues after `req.prefix`.
    fn generate(
        &self,
        target: &Target,
        req: &Completion,
    ) -> impl Future<Output = Result<TokenStream, UpstreamError>> + Send;

    /// Tells an engine to stop a generation.
    fn cancel(
        &self,
        target: &Target,
        id: RequestId,
    ) -> impl Future<Output = Result<(), UpstreamError>> + Send;

    /// Reads an engine's or a plain server's load report.
    fn load(
        &self,
        target: &Target,
    ) -> impl Future<Output = Result<EngineLoad, UpstreamError>> + Send;

    /// Reads cache events after a sequence number.
    fn cache_events(
        &self,
        target: &Target,
        after: u64,
    ) -> impl Future<Output = Result<CacheEvents, UpstreamError>> + Send;

    /// Reads the cached keys and values of a request, to import them elsewhere.
    fn export_cache(
        &self,
        target: &Target,
        id: RequestId,
    ) -> impl Future<Output = Result<Bytes, UpstreamError>> + Send;

    /// Hands cached keys and values to another engine.
    fn import_cache(
        &self,
        target: &Target,
        cache: Bytes,
    ) -> impl Future<Output = Result<(), UpstreamError>> + Send;

    /// Gives an engine an order.
    fn order(
        &self,
        target: &Target,
        order: &EngineOrder,
    ) -> impl Future<Output = Result<OrderOutcome, UpstreamError>> + Send;

    /// Makes one call of a plain service, at most once.
    fn call(
        &self,
        target: &Target,
        call: &ServiceCall,
    ) -> impl Future<Output = Result<ServiceReply, UpstreamError>> + Send;
}
