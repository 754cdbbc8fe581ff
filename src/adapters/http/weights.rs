//! The weight store over HTTP.

use std::{net::SocketAddr, time::Duration};

use hyper::StatusCode;
use tokio::time::Instant;

use super::{
    client::{Client, Reuse, get},
    messages::{FetchTimeReply, LimitedReply},
};
use crate::{
    domain::{Incarnation, ModelName},
    ports::{Target, UpstreamError, WeightError, WeightStore},
    settings::Timing,
};

/// The weight store over HTTP.
#[derive(Debug)]
pub struct HttpWeights {
    client: Client,
    target: Target,
    timeout: Duration,
}

impl HttpWeights {
    /// Makes a client without connections.
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
        let req = get(&self.target, &path).map_err(unanswered)?;
        let deadline = Instant::now() + self.timeout;
        let whole = self
            .client
            .whole(&self.target, req, Reuse::Allowed, deadline)
            .await
            .map_err(unanswered)?;
        if whole.status == StatusCode::TOO_MANY_REQUESTS {
            let reply: LimitedReply = whole.json().map_err(unanswered)?;
            return Err(WeightError::Limited(Duration::from_millis(
                reply.retry_after_ms,
            )));
        }
        let reply: FetchTimeReply = whole
            .success()
            .and_then(|whole| whole.json())
            .map_err(unanswered)?;
        Ok(Duration::from_millis(reply.fetch_ms))
    }
}

fn unanswered(e: UpstreamError) -> WeightError {
    WeightError::Unanswered(e.to_string())
}
