//! Error responses to operators.

use std::{net::SocketAddr, time::Duration};

use warp::http::{HeaderValue, StatusCode, header::RETRY_AFTER};

use super::log::LogError;
use crate::{
    domain::Ran,
    operator::{ErrorBody, ErrorDetail},
};

/// `Retry-After` of a 503 response.
const UNAVAILABLE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// An error response.
#[derive(Debug)]
pub(super) struct ApiError {
    status: StatusCode,
    kind: &'static str,
    message: String,
    ran: Ran,
    leader: Option<SocketAddr>,
}

impl ApiError {
    /// Creates an error for a request that was not carried out.
    pub fn new(status: StatusCode, kind: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            kind,
            message: message.into(),
            ran: Ran::No,
            leader: None,
        }
    }

    /// Creates the response of a controller that does not lead.
    pub fn not_leader(leader: Option<SocketAddr>) -> Self {
        let Some(leader) = leader else {
            let message = "no leader is known here, so nothing newer can be told; wait, or ask \
                           another controller";
            return Self::new(StatusCode::SERVICE_UNAVAILABLE, "no_quorum", message);
        };
        let message = format!("this controller does not lead; ask {leader}");
        Self {
            leader: Some(leader),
            ..Self::new(StatusCode::MISDIRECTED_REQUEST, "not_leader", message)
        }
    }

    /// Converts an error of the log.
    pub fn from_log(e: LogError, leader: Option<SocketAddr>) -> Self {
        let (status, kind, ran) = match e {
            LogError::NotLeader => return Self::not_leader(leader),
            LogError::Deposed | LogError::NoQuorum => {
                (StatusCode::SERVICE_UNAVAILABLE, "no_quorum", Ran::Unknown)
            }
            LogError::Stopped => (StatusCode::SERVICE_UNAVAILABLE, "stopping", Ran::Unknown),
            LogError::ChangeRefused => (StatusCode::CONFLICT, "change_refused", Ran::No),
            LogError::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "too_large", Ran::No),
            LogError::LogFull => (StatusCode::SERVICE_UNAVAILABLE, "log_full", Ran::No),
        };
        Self {
            ran,
            ..Self::new(status, kind, e.to_string())
        }
    }

    /// Marks the request as certainly not carried out.
    pub fn not_run(self) -> Self {
        Self {
            ran: Ran::No,
            ..self
        }
    }

    /// Marks the request as possibly carried out by an earlier attempt.
    pub fn may_have_run(self) -> Self {
        Self {
            ran: Ran::Unknown,
            ..self
        }
    }

    /// Builds the HTTP response.
    pub fn into_response(self) -> warp::reply::Response {
        let is_unavailable = self.status == StatusCode::SERVICE_UNAVAILABLE;
        let body = ErrorBody {
            error: ErrorDetail {
                kind: self.kind.into(),
                message: self.message,
                ran: self.ran,
                leader: self.leader,
            },
        };
        let json = warp::reply::json(&body);
        let mut response = warp::Reply::into_response(warp::reply::with_status(json, self.status));
        if is_unavailable {
            let seconds = HeaderValue::from(UNAVAILABLE_RETRY_DELAY.as_secs());
            response.headers_mut().insert(RETRY_AFTER, seconds);
        }
        response
    }
}
