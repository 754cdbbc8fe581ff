//! Calls of the platform's API.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use hyper::{HeaderMap, StatusCode, header::HeaderValue};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::time::Instant;

use super::{heads, table};
use crate::{
    adapters::http::{Client, Reuse, get, post},
    domain::{Incarnation, InvalidTable, RouteTable},
    ports::{
        AnswerFacts, CloudError, DutyHolder, Forwarding, ListedPage, ListedUpstream, Platform,
        RequestFacts, Target, UpstreamError, UpstreamOrder, WindowUsage,
    },
    settings::Timing,
};

const DUTY_HOLDER: &str = "x-flamingocroft-duty-holder";
/// The fencing number, not a secret.
const FENCING_TOKEN: &str = "x-flamingocroft-fencing-token";

/// The platform's API over HTTP.
#[derive(Debug)]
pub struct Api {
    client: Client,
    target: Target,
    timeout: Duration,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ListPage {
    instances: Vec<Value>,
    /// The following page; nothing on the last one.
    next: Option<String>,
}

/// One entry. All of these fields are needed: an entry that lacks one comes from another writer and
/// names no server.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Entry {
    id: String,
    service: String,
    address: SocketAddr,
    zone: String,
    #[allow(dead_code, reason = "its presence tells whether the entry can be read")]
    version: String,
    slots: u32,
    state: State,
    cold_left_ms: f64,
    /// Whether it may be taken back; only those that may say so.
    #[serde(default)]
    spot: bool,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum State {
    Ready,
    Draining,
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
    /// Whether the order is for servers that may be taken back; each kind is counted by itself.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    spot: bool,
}

impl Api {
    /// Makes a client without connections.
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

    /// Makes a call that only the holder of a duty may make.
    async fn act(
        &self,
        path: &str,
        body: &impl Serialize,
        holder: &DutyHolder,
    ) -> Result<(), CloudError> {
        let mut req = post(&self.target, path, body).map_err(unanswered)?;
        let name = HeaderValue::from_str(&holder.name)
            .map_err(|_| CloudError::Refused("the holder's name is no header text".into()))?;
        req.headers_mut().insert(DUTY_HOLDER, name);
        req.headers_mut()
            .insert(FENCING_TOKEN, HeaderValue::from(holder.fence.0));
        let deadline = Instant::now() + self.timeout;
        let whole = self
            .client
            .whole(&self.target, req, Reuse::Allowed, deadline);
        let whole = whole.await.map_err(unanswered)?;
        whole
            .success()
            .map(drop)
            .map_err(|e| CloudError::Refused(e.to_string()))
    }

    async fn page(&self, token: Option<&str>) -> Result<ListPage, CloudError> {
        let path = match token {
            Some(token) => format!("/instances?PageToken={token}"),
            None => "/instances".to_owned(),
        };
        let req = get(&self.target, &path).map_err(unanswered)?;
        let deadline = Instant::now() + self.timeout;
        let page = self.client.json(&self.target, req, deadline).await;
        page.map_err(unanswered)
    }
}

impl Platform for Api {
    async fn upstreams(&self, page: Option<&str>) -> Result<ListedPage, CloudError> {
        let page = self.page(page).await?;
        Ok(ListedPage {
            upstreams: page.instances.into_iter().filter_map(upstream).collect(),
            next: page.next,
        })
    }

    async fn report_usage(
        &self,
        holder: &DutyHolder,
        usage: &WindowUsage,
    ) -> Result<(), CloudError> {
        let counts = usage.counts.iter();
        let body = UsageBody {
            window_id: usage.window,
            counts: counts
                .map(|(name, count)| (name.as_str(), *count))
                .collect(),
        };
        self.act("/usage", &body, holder).await
    }

    async fn order_upstreams(
        &self,
        holder: &DutyHolder,
        order: &UpstreamOrder,
    ) -> Result<(), CloudError> {
        let body = ScaleBody {
            service: order.service.as_str(),
            zone: order.zone.as_str(),
            desired_count: order.count,
            spot: order.reclaimable,
        };
        self.act("/scale", &body, holder).await
    }

    fn read_table(&self, document: &Bytes) -> Result<RouteTable, InvalidTable> {
        table::read(document)
    }

    fn read_request(&self, headers: &HeaderMap) -> RequestFacts {
        heads::read_request(headers)
    }

    fn forward_request(&self, headers: &mut HeaderMap, forwarding: &Forwarding<'_>) {
        heads::forward_request(headers, forwarding);
    }

    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerFacts {
        heads::read_answer(status, headers)
    }

    fn mark_refusal(&self, headers: &mut HeaderMap, id: &str, retry_after: Option<Duration>) {
        heads::mark_refusal(headers, id, retry_after);
    }
}

fn upstream(value: Value) -> Option<ListedUpstream> {
    let entry: Entry = match serde_json::from_value(value) {
        Ok(entry) => entry,
        Err(e) => {
            log::debug!("platform: an entry of the list is passed over: {e}.");
            return None;
        }
    };
    Some(ListedUpstream {
        instance: entry.id.into(),
        service: entry.service.into(),
        address: entry.address,
        zone: entry.zone.into(),
        slots: entry.slots,
        leaving: entry.state == State::Draining,
        reclaimable: entry.spot,
        cold_ms: entry.cold_left_ms as u32,
    })
}

fn unanswered(e: UpstreamError) -> CloudError {
    CloudError::Unanswered(e.to_string())
}
