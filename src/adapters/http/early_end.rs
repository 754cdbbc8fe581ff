//! Connections that end while a request on them has no complete response.

use std::{sync::Arc, time::Duration};

use hyper::{HeaderMap, header::HeaderValue};

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestStage {
    /// Its body is being read.
    ReadingBody,
    /// It was read completely, and the service has not responded.
    Waiting,
    /// The service has responded.
    Answering,
}

/// What ended a connection before the response of its request was complete.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndCause {
    /// The caller closed the connection, or its sending side.
    CallerClosed,
    /// The caller reset the connection, or it failed.
    CallerReset,
    /// The time limit for an idle connection or a request head, neither of which applies during a request.
    RequestTimeout,
    /// The caller did not take the response within the time limit.
    ResponseTimeout,
    /// The body of the response failed.
    BodyFailed,
    /// The time limit for open connections at shutdown.
    Shutdown,
    /// A panic.
    Panicked,
    /// The HTTP library ended it for another reason.
    #[default]
    Other,
}

impl EndCause {
    /// All causes.
    pub(crate) const ALL: [Self; 8] = [
        Self::CallerClosed,
        Self::CallerReset,
        Self::RequestTimeout,
        Self::ResponseTimeout,
        Self::BodyFailed,
        Self::Shutdown,
        Self::Panicked,
        Self::Other,
    ];

    /// Returns the name for logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::CallerClosed => "caller_closed",
            Self::CallerReset => "caller_reset",
            Self::RequestTimeout => "request_timeout",
            Self::ResponseTimeout => "response_timeout",
            Self::BodyFailed => "body_failed",
            Self::Shutdown => "shutdown",
            Self::Panicked => "panicked",
            Self::Other => "other",
        }
    }

    /// Returns the log level: callers may give a request up at any time.
    fn level(self) -> log::Level {
        match self {
            Self::CallerClosed | Self::CallerReset => log::Level::Info,
            Self::RequestTimeout
            | Self::ResponseTimeout
            | Self::BodyFailed
            | Self::Shutdown
            | Self::Panicked
            | Self::Other => log::Level::Warn,
        }
    }
}

/// Names the requests of a server in logs and counts its connections that end early. The default does neither.
pub trait Observer: Send + Sync {
    /// Returns the identifier in the head of a request.
    fn request_id(&self, _headers: &HeaderMap) -> Option<HeaderValue> {
        None
    }

    /// Adds what the platform requires to the headers of a response that the server itself makes.
    fn mark_failure(&self, _request: Option<&HeaderValue>, _headers: &mut HeaderMap) {}

    /// Counts a connection that was closed for want of room, either a waiting one or a new one.
    fn count_closed_for_room(&self) {}

    /// Counts a connection that ended before the response of its request was complete.
    fn count_early_end(&self, _cause: EndCause) {}
}

/// The observer of a server whose requests have no identifiers.
#[derive(Debug)]
struct NoObserver;

impl Observer for NoObserver {}

/// Returns the observer of a server whose requests have no identifiers.
pub(crate) fn no_observer() -> Arc<dyn Observer> {
    Arc::new(NoObserver)
}

/// A request whose connection ended before its response was complete.
#[derive(Debug)]
pub(super) struct EarlyEnd {
    pub(super) request: Option<HeaderValue>,
    pub(super) stage: RequestStage,
    pub(super) since_head: Duration,
    pub(super) sent_bytes: u64,
    pub(super) cause: EndCause,
    pub(super) reason: String,
}

impl EarlyEnd {
    /// Logs and counts the end.
    pub(super) fn report(&self, observer: &dyn Observer) {
        observer.count_early_end(self.cause);
        let request = self.request.as_ref().and_then(|id| id.to_str().ok());
        log::log!(
            self.cause.level(),
            event = "connection.ended_early", request = request.unwrap_or_default(),
            stage:? = self.stage, sent_bytes = self.sent_bytes, cause = self.cause.name(),
            ms = u64::try_from(self.since_head.as_millis()).unwrap_or(u64::MAX);
            "http: a connection ended before the response was complete: {}", self.reason
        );
    }
}
