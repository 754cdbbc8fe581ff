//! HTTP client for the cloud API.

use std::{net::SocketAddr, time::Duration};

use serde::{Serialize, de::DeserializeOwned};
use tokio::time::Instant;

use super::{
    client::{Client, FullResponse, Reuse, get_request, post_request},
    messages::{ListingReply, NoticeReply, StartBody, StartReply, StopBody},
};
use crate::{
    domain::{FencingToken, Incarnation, InstanceName},
    ports::{
        CloudApi, CloudError, InstanceListing, ReclaimNotice, StartRequest, Target, UpstreamError,
        UpstreamErrorKind,
    },
    settings::Timing,
};

/// HTTP client for the cloud API.
#[derive(Debug)]
pub struct HttpCloud {
    client: Client,
    target: Target,
    read_timeout: Duration,
    order_timeout: Duration,
}

impl HttpCloud {
    /// Creates a client without open connections.
    pub fn new(address: SocketAddr, timing: &Timing) -> Self {
        Self {
            client: Client::new(timing.connect_timeout),
            target: Target {
                instance: "cloud".into(),
                incarnation: Incarnation(0),
                address,
            },
            read_timeout: timing.first_byte_timeout,
            order_timeout: timing.request_timeout,
        }
    }

    async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, CloudError> {
        let req = get_request(&self.target, path).map_err(unanswered)?;
        let deadline = Instant::now() + self.read_timeout;
        self.client
            .fetch_json(&self.target, req, deadline)
            .await
            .map_err(unanswered)
    }

    /// Sends an order once over a new connection and returns the response, whatever its status.
    async fn order(&self, path: &str, body: &impl Serialize) -> Result<FullResponse, CloudError> {
        let req = post_request(&self.target, path, body).map_err(unanswered)?;
        let deadline = Instant::now() + self.order_timeout;
        self.client
            .fetch(&self.target, req, Reuse::Forbidden, deadline)
            .await
            .map_err(unanswered)
    }
}

impl CloudApi for HttpCloud {
    async fn instances(&self) -> Result<Vec<InstanceListing>, CloudError> {
        let rows: Vec<ListingReply> = self.read("/instances").await?;
        Ok(rows.into_iter().map(Into::into).collect())
    }

    async fn notices(&self) -> Result<Vec<ReclaimNotice>, CloudError> {
        let rows: Vec<NoticeReply> = self.read("/notices").await?;
        Ok(rows.into_iter().map(Into::into).collect())
    }

    async fn start(&self, req: &StartRequest) -> Result<InstanceName, CloudError> {
        let body = StartBody {
            operation: req.operation.to_string(),
            service: &req.service,
            zone: &req.zone,
            class: &req.class,
            purchase: req.purchase,
            fence: req.fence,
        };
        let response = self.order("/instances", &body).await?;
        let reply: StartReply = response
            .error_for_status()
            .and_then(|response| response.json())
            .map_err(response_error)?;
        Ok(reply.name)
    }

    async fn stop(&self, instance: &InstanceName, fence: FencingToken) -> Result<(), CloudError> {
        let path = format!("/instances/{instance}/stop");
        let response = self.order(&path, &StopBody { fence }).await?;
        response
            .error_for_status()
            .map(drop)
            .map_err(response_error)
    }
}

fn unanswered(e: UpstreamError) -> CloudError {
    CloudError::Unanswered(e.to_string())
}

/// Maps an error response to a refusal, or to an unanswered call if it does not say whether the order was
/// executed.
fn response_error(e: UpstreamError) -> CloudError {
    match e.kind {
        UpstreamErrorKind::Busy | UpstreamErrorKind::Rejected => {
            CloudError::Refused(e.message.to_string())
        }
        _ => unanswered(e),
    }
}
