//! Client of the platform's API.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use hyper::{HeaderMap, StatusCode, header::HeaderValue};
use serde::Serialize;
use tokio::time::Instant;

use super::{headers, list, table};
use crate::{
    adapters::http::{Client, FullResponse, Reuse, get_request, post_request},
    domain::{Incarnation, InvalidTable, RouteTable},
    ports::{
        CloudError, DutyHolder, ForwardContext, ListedPage, Platform, RequestMetadata,
        ResponseMetadata, Target, UpstreamError, UpstreamOrder, WindowUsage,
    },
    settings::Timing,
};

const DUTY_HOLDER: &str = "x-flamingocroft-duty-holder";
/// The header of the fencing token, which is a number and no secret.
const FENCING_TOKEN: &str = "x-flamingocroft-fencing-token";

/// Client of the platform's API over HTTP.
#[derive(Debug)]
pub struct Api {
    client: Client,
    target: Target,
    timeout: Duration,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct UsageBody<'a> {
    window_id: u64,
    counts: BTreeMap<&'a str, u64>,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct ScaleBody<'a> {
    service: &'a str,
    zone: &'a str,
    desired_count: u32,
    /// Whether the order is for reclaimable servers; these are counted apart from the others.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    spot: bool,
}

impl Api {
    /// Creates a client; connections are opened on demand.
    pub fn new(address: SocketAddr, timing: &Timing) -> Self {
        Self {
            client: Client::new(timing.connect_timeout),
            target: Target {
                instance: "platform".into(),
                incarnation: Incarnation(0),
                address,
            },
            timeout: timing.first_byte_timeout,
        }
    }

    /// Makes a call that only the holder of a duty may make, under its name and fencing token.
    async fn call_as_holder(
        &self,
        path: &str,
        body: &impl Serialize,
        holder: DutyHolder,
    ) -> Result<(), CloudError> {
        let mut req = post_request(&self.target, path, body).map_err(no_answer)?;
        let name = HeaderValue::from_str(&holder.name).map_err(|_| {
            CloudError::Refused("the duty holder's name is not a valid header value".into())
        })?;
        req.headers_mut().insert(DUTY_HOLDER, name);
        req.headers_mut()
            .insert(FENCING_TOKEN, HeaderValue::from(holder.fence.0));
        let deadline = Instant::now() + self.timeout;
        let res = self
            .client
            .fetch_while(&self.target, req, holder.right, deadline);
        let res = res.await.map_err(no_answer)?;
        res.error_for_status()
            .map(drop)
            .map_err(|e| CloudError::Refused(e.to_string()))
    }

    /// Fetches one page of the list of servers; `token` is `None` for the first page.
    async fn fetch_page(&self, token: Option<&str>) -> Result<Bytes, CloudError> {
        let path = match token {
            Some(token) => format!("/instances?PageToken={token}"),
            None => "/instances".to_owned(),
        };
        let req = get_request(&self.target, &path).map_err(no_answer)?;
        let deadline = Instant::now() + self.timeout;
        let res = self
            .client
            .fetch(&self.target, req, Reuse::Allowed, deadline);
        let res = res.await.and_then(FullResponse::error_for_status);
        res.map(FullResponse::into_body).map_err(no_answer)
    }
}

impl Platform for Api {
    async fn list_upstreams(&self, page: Option<&str>) -> Result<ListedPage, CloudError> {
        list::read_page(&self.fetch_page(page).await?)
    }

    async fn report_usage(
        &self,
        holder: DutyHolder,
        usage: &WindowUsage,
    ) -> Result<(), CloudError> {
        let counts = usage.counts.iter();
        let body = UsageBody {
            window_id: usage.window,
            counts: counts
                .map(|(name, count)| (name.as_str(), *count))
                .collect(),
        };
        self.call_as_holder("/usage", &body, holder).await
    }

    async fn order_upstreams(
        &self,
        holder: DutyHolder,
        order: &UpstreamOrder,
    ) -> Result<(), CloudError> {
        let body = ScaleBody {
            service: order.service.as_str(),
            zone: order.zone.as_str(),
            desired_count: order.count,
            spot: order.reclaimable,
        };
        self.call_as_holder("/scale", &body, holder).await
    }

    fn read_table(&self, document: &Bytes) -> Result<RouteTable, InvalidTable> {
        table::parse(document)
    }

    fn request_id(&self, headers: &HeaderMap) -> Option<HeaderValue> {
        headers::request_id(headers)
    }

    fn read_request(&self, headers: &HeaderMap) -> RequestMetadata {
        headers::read_request(headers)
    }

    fn forward_request(&self, headers: &mut HeaderMap, forwarding: &ForwardContext<'_>) {
        headers::forward_request(headers, forwarding);
    }

    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata {
        headers::read_answer(status, headers)
    }

    fn mark_refusal(&self, headers: &mut HeaderMap, id: &str, retry_after: Option<Duration>) {
        headers::mark_refusal(headers, id, retry_after);
    }
}

fn no_answer(e: UpstreamError) -> CloudError {
    CloudError::Unanswered(e.to_string())
}
