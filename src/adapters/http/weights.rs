//! HTTP client for the weight store.

use std::{net::SocketAddr, time::Duration};

use hyper::StatusCode;
use tokio::time::Instant;

use super::{
    client::{Client, Reuse, get_request},
    messages::{FetchTimeReply, LimitedReply},
};
use crate::{
    domain::{Incarnation, ModelName},
    ports::{Target, UpstreamError, WeightError, WeightStore},
    settings::Timing,
};

/// HTTP client for the weight store.
#[derive(Debug)]
pub struct HttpWeights {
    client: Client,
    target: Target,
    timeout: Duration,
}

impl HttpWeights {
    /// Creates a client without open connections.
    pub fn new(address: SocketAddr, timing: &Timing) -> Self {
        Self {
            client: Client::new(timing.connect_timeout),
            target: Target {
                instance: "weights".into(),
                incarnation: Incarnation(0),
                address,
            },
            timeout: timing.first_byte_timeout,
        }
    }
}

impl WeightStore for HttpWeights {
    async fn fetch_time(&self, model: &ModelName, version: &str) -> Result<Duration, WeightError> {
        let path = format!("/fetch-time/{model}/{version}");
        let req = get_request(&self.target, &path).map_err(unanswered)?;
        let deadline = Instant::now() + self.timeout;
        let response = self
            .client
            .fetch(&self.target, req, Reuse::Allowed, deadline)
            .await
            .map_err(unanswered)?;
        if response.status == StatusCode::TOO_MANY_REQUESTS {
            let reply: LimitedReply = response.json().map_err(unanswered)?;
            return Err(WeightError::Limited(Duration::from_millis(
                reply.retry_after_ms,
            )));
        }
        let reply: FetchTimeReply = response
            .error_for_status()
            .and_then(|response| response.json())
            .map_err(unanswered)?;
        Ok(Duration::from_millis(reply.fetch_ms))
    }
}

fn unanswered(e: UpstreamError) -> WeightError {
    WeightError::Unanswered(e.to_string())
}
