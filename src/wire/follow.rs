//! Messages between ingress gateways and controllers. A gateway long-polls every controller that it knows.
//! The controller replies when something changed, or after a timeout as a heartbeat.

use std::time::Duration;

use bytes::Bytes;
use prost::Message;

use super::{
    AnsweredCause, CutOffReport, PaceReport, PaceTable, QuarantinedCause, RolloutNews,
    RolloutReport, ServiceRoom, SuspectList,
};
use crate::policy::{rate_limit::Statement, speed::PrefillStats};

/// A gateway's poll, with the versions that it already holds and its reports.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FollowRequest {
    /// The gateway.
    #[prost(message, optional, tag = "1")]
    pub gateway: Option<IngressRecord>,
    /// Version of the published document that the gateway holds or knows of. A poll is answered at once when the
    /// controller has a newer one.
    #[prost(uint64, tag = "2")]
    pub held_version: u64,
    /// Version of the list of upstreams that the gateway holds.
    #[prost(message, optional, tag = "3")]
    pub held_list_version: Option<ListVersion>,
    /// Version of this controller's roster that the gateway holds.
    #[prost(uint64, tag = "4")]
    pub held_roster_version: u64,
    /// Maximum time that the controller waits for a change, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub wait_ms: u64,
    /// Requests that started to run at this gateway, for the most recent windows.
    #[prost(message, repeated, tag = "6")]
    pub usage: Vec<WindowCount>,
    /// Demand for each quota at this gateway, in units per second.
    #[prost(message, repeated, tag = "7")]
    pub demands: Vec<QuotaValue>,
    /// Load of this gateway on each service.
    #[prost(message, repeated, tag = "8")]
    pub loads: Vec<ServiceLoad>,
    /// The quota shares that the gateway last received and still uses.
    #[prost(message, repeated, tag = "9")]
    pub held_shares: Vec<QuotaValue>,
    /// Increases with each start of the gateway, which resets its counts.
    #[prost(uint64, tag = "10")]
    pub incarnation: u64,
    /// Quota usage of accounts at this gateway; accounts without usage are omitted.
    #[prost(message, repeated, tag = "11")]
    pub quota_uses: Vec<QuotaUsage>,
    /// Fraction of a quota's last window during which this gateway was running.
    #[prost(double, tag = "12")]
    pub window_fraction: f64,
    /// Upstreams that recently announced to this gateway that they are leaving.
    #[prost(string, repeated, tag = "13")]
    pub leaving: Vec<String>,
    /// Limits that upstreams recently stated to this gateway.
    #[prost(message, repeated, tag = "14")]
    pub limits: Vec<UpstreamLimitReport>,
    /// Requests that upstreams cut off and that this controller does not know of yet.
    #[prost(message, repeated, tag = "15")]
    pub cut_offs: Vec<CutOffReport>,
    /// The controller's suspects of which requests were answered.
    #[prost(message, repeated, tag = "16")]
    pub answered: Vec<AnsweredCause>,
    /// Version of this controller's list of suspects that the gateway holds; missing if it knows no such lists.
    #[prost(uint64, optional, tag = "17")]
    pub held_suspects_version: Option<u64>,
    /// Everything that the gateway holds in quarantine.
    #[prost(message, repeated, tag = "18")]
    pub quarantined: Vec<QuarantinedCause>,
    /// What the gateway observed of the speeds of upstreams since its last report.
    #[prost(message, repeated, tag = "30")]
    pub paces: Vec<PaceReport>,
    /// Version of the speeds of upstreams that the gateway holds; missing if it learns none.
    #[prost(uint64, optional, tag = "31")]
    pub held_paces_version: Option<u64>,
    /// What the gateway counted since each order of a roll-out that runs.
    #[prost(message, repeated, tag = "34")]
    pub rollouts: Vec<RolloutReport>,
    /// Version of this controller's news of roll-outs that the gateway holds; missing if it is not set up for roll-outs.
    #[prost(uint64, optional, tag = "35")]
    pub held_rollouts_version: Option<u64>,
    /// To the leader: this gateway's demand for each service, if it shares the room of services.
    #[prost(message, repeated, tag = "40")]
    pub rooms: Vec<ServiceRoom>,
    /// Whether the gateway shares the room of services, and so wants the demand of all gateways.
    #[prost(bool, tag = "41")]
    pub shares_room: bool,
}

/// What an upstream stated to a gateway about the requests that it accepts from all gateways together.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct UpstreamLimitReport {
    /// The upstream.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Requests per 1,000 seconds; missing if the upstream limits nothing.
    #[prost(uint64, optional, tag = "2")]
    pub requests_per_1000_s: Option<u64>,
    /// Time since the gateway sent the request whose response stated it, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub sent_ago_ms: u64,
    /// Time since the response arrived, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub received_ago_ms: u64,
}

impl UpstreamLimitReport {
    /// Describes a statement of an upstream; `now` is the time of the statement's clock.
    pub fn new(instance: String, statement: &Statement, now: Duration) -> Self {
        let ago = |at| u64::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u64::MAX);
        Self {
            instance,
            requests_per_1000_s: statement.limit.map(to_requests_per_1000_s),
            sent_ago_ms: ago(statement.sent),
            received_ago_ms: ago(statement.received),
        }
    }

    /// Returns the statement with times of the clock that shows `now`.
    pub fn statement(&self, now: Duration) -> Statement {
        let at = |ago_ms| now.saturating_sub(Duration::from_millis(ago_ms));
        Statement {
            limit: self.requests_per_1000_s.map(to_requests_per_second),
            sent: at(self.sent_ago_ms),
            received: at(self.received_ago_ms),
        }
    }
}

/// Converts a rate to requests per 1,000 seconds; one that is too large becomes the largest one.
pub fn to_requests_per_1000_s(per_second: f64) -> u64 {
    (per_second * 1e3) as u64
}

/// Converts requests per 1,000 seconds to a rate per second.
pub fn to_requests_per_second(requests_per_1000_s: u64) -> f64 {
    requests_per_1000_s as f64 / 1e3
}

/// An account's usage of its quota at one gateway.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QuotaUsage {
    /// The account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Units admitted in the last window.
    #[prost(double, tag = "2")]
    pub admitted: f64,
    /// Demand, in units per second.
    #[prost(double, tag = "3")]
    pub requested_per_second: f64,
    /// Units that the account may use in a window across all gateways.
    #[prost(double, tag = "4")]
    pub allowed: f64,
    /// Whether the quota is large enough to be divided: each gateway's share admits at least one request.
    #[prost(bool, tag = "5")]
    pub divisible: bool,
}

/// A controller's reply to a poll.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FollowReply {
    /// Whether the controller is the leader.
    #[prost(bool, tag = "1")]
    pub leads: bool,
    /// Version of the published document that the controller holds.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// The list of upstreams, if it is newer than the gateway's.
    #[prost(message, optional, tag = "3")]
    pub list: Option<UpstreamList>,
    /// The gateways, if they changed.
    #[prost(message, optional, tag = "4")]
    pub roster: Option<Roster>,
    /// The controllers known to this one.
    #[prost(message, repeated, tag = "5")]
    pub controllers: Vec<ControllerRecord>,
    /// From the leader: the gateway's share of each quota, as a fraction from zero to one. Omitted
    /// accounts get the share that every gateway has.
    #[prost(message, repeated, tag = "6")]
    pub shares: Vec<QuotaValue>,
    /// From the leader: accounts whose requests are admitted without asking the leader.
    #[prost(string, repeated, tag = "7")]
    pub open_accounts: Vec<String>,
    /// From the leader: accounts for which the leader must be asked for each request.
    #[prost(string, repeated, tag = "8")]
    pub asked_accounts: Vec<String>,
    /// Prefill speeds of engines as estimated by the controller.
    #[prost(message, repeated, tag = "9")]
    pub speeds: Vec<PrefillSpeed>,
    /// The suspects, if they changed.
    #[prost(message, optional, tag = "10")]
    pub suspects: Option<SuspectList>,
    /// What is in quarantine, without what the gateway holds.
    #[prost(message, repeated, tag = "11")]
    pub quarantined: Vec<QuarantinedCause>,
    /// Whether the controller sends the document in blocks; those of earlier versions send it whole only.
    #[prost(bool, tag = "12")]
    pub sends_blocks: bool,
    /// From the leader: speeds of upstreams, if the gateway lacks some.
    #[prost(message, optional, tag = "30")]
    pub paces: Option<PaceTable>,
    /// The roll-outs, if the gateway is set up for them and there is any.
    #[prost(message, optional, tag = "34")]
    pub rollouts: Option<RolloutNews>,
    /// From the leader: the demand of all gateways for each service.
    #[prost(message, repeated, tag = "40")]
    pub rooms: Vec<ServiceRoom>,
}

/// Prefill speed of the engines of a service.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PrefillSpeed {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Prompt tokens that one engine processes per second.
    #[prost(double, tag = "2")]
    pub tokens_per_second: f64,
}

/// An ingress gateway.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct IngressRecord {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its availability zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Address for callers.
    #[prost(string, tag = "3")]
    pub caller_address: String,
    /// Whether callers should connect now: it is ready and not leaving.
    #[prost(bool, tag = "4")]
    pub open: bool,
    /// Address for datagrams from other gateways.
    #[prost(string, tag = "5")]
    pub peer_address: String,
    /// Whether it is shutting down, which it does until its process ends.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
    /// How many callers it can take relative to other gateways; zero if unknown. See docs/design/GATEWAY_CAPACITY.md.
    #[prost(uint32, tag = "7")]
    pub capacity: u32,
}

/// Announces to the other gateways that the sender is sending a prompt to an engine.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PromptAnnouncement {
    /// The engine's service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The engine.
    #[prost(string, tag = "2")]
    pub instance: String,
    /// Number of prompt tokens that no engine is expected to have cached.
    #[prost(uint32, tag = "3")]
    pub tokens: u32,
}

/// A datagram with its authentication.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SignedDatagram {
    /// The encoded message.
    #[prost(bytes = "bytes", tag = "1")]
    pub payload: Bytes,
    /// Truncated HMAC of the payload with the shared key.
    #[prost(bytes = "bytes", tag = "2")]
    pub proof: Bytes,
}

/// The gateways that recently polled a controller.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Roster {
    /// Changes with every change to the gateways. Versions can be compared for equality only.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// All gateways, or only those that changed since the held version.
    #[prost(message, repeated, tag = "2")]
    pub gateways: Vec<IngressRecord>,
    /// Whether this is a delta against the held version.
    #[prost(bool, tag = "3")]
    pub is_delta: bool,
    /// In a delta, the names of gateways removed since the held version.
    #[prost(string, repeated, tag = "4")]
    pub removed: Vec<String>,
}

impl Roster {
    /// Updates this roster to a newer one, which is complete or a delta.
    pub fn apply(&mut self, newer: Self) {
        if !newer.is_delta {
            *self = newer;
            return;
        }
        let is_replaced = |known: &IngressRecord| {
            newer.removed.contains(&known.name)
                || newer
                    .gateways
                    .iter()
                    .any(|changed| changed.name == known.name)
        };
        self.gateways.retain(|known| !is_replaced(known));
        self.gateways.extend(newer.gateways);
        self.version = newer.version;
    }
}

/// Version of a list of upstreams, ordered by term and then by sequence number.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Message)]
pub struct ListVersion {
    /// The term of the leader that read the list.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Increases with every change that the leader observed.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
}

/// The list of upstreams as the leader read it from the platform.
#[derive(Clone, PartialEq, prost::Message)]
pub struct UpstreamList {
    /// Its version.
    #[prost(message, optional, tag = "1")]
    pub version: Option<ListVersion>,
    /// All upstreams, or only those added or changed since the held version.
    #[prost(message, repeated, tag = "2")]
    pub rows: Vec<UpstreamRow>,
    /// Whether this is a delta against the held version.
    #[prost(bool, tag = "3")]
    pub is_delta: bool,
    /// In a delta, the names of upstreams removed since the held version.
    #[prost(string, repeated, tag = "4")]
    pub removed: Vec<String>,
    /// The complete list in encoded form, as a message without a version, so that it is encoded once for
    /// all gateways. `rows` is then empty.
    #[prost(bytes = "bytes", tag = "5")]
    pub encoded: Bytes,
}

impl UpstreamList {
    /// Decodes `encoded` into `rows`, if it is set.
    pub fn decode_rows(mut self) -> Result<Self, prost::DecodeError> {
        if !self.encoded.is_empty() {
            let encoded = std::mem::take(&mut self.encoded);
            self.rows = Self::decode(encoded)?.rows;
        }
        Ok(self)
    }
}

/// One upstream.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct UpstreamRow {
    /// The platform's name for this start of the upstream.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Its service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The address that it listens on.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Its availability zone.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// Maximum number of requests that it serves concurrently.
    #[prost(uint32, tag = "5")]
    pub slots: u32,
    /// Whether the platform's list shows it as leaving, so that it must get no new requests.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
    /// Remaining time of its cold start when the list was read, in milliseconds.
    #[prost(uint32, tag = "7")]
    pub cold_left_ms: u32,
    /// Whether the platform may reclaim it.
    #[prost(bool, tag = "8")]
    pub reclaimable: bool,
    /// Whether it announced to some gateway that it is leaving, which the platform's list may not show yet.
    #[prost(bool, tag = "9")]
    pub reported_leaving: bool,
    /// Requests per 1,000 seconds that it accepts from all gateways together; missing if it limits nothing.
    #[prost(uint64, optional, tag = "10")]
    pub requests_per_1000_s: Option<u64>,
    /// The version of its software; empty if a controller of an earlier version does not tell.
    #[prost(string, tag = "11")]
    pub software: String,
}

/// A controller and its addresses.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct ControllerRecord {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Address for other processes.
    #[prost(string, tag = "2")]
    pub peer_address: String,
    /// Address of the operator interface.
    #[prost(string, tag = "3")]
    pub http_address: String,
}

/// Requests of one gateway in one usage window.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WindowCount {
    /// Window number, counted from the Unix epoch.
    #[prost(uint64, tag = "1")]
    pub window: u64,
    /// Requests that started to run, by account.
    #[prost(message, repeated, tag = "2")]
    pub counts: Vec<AccountCount>,
}

/// Number of requests of one account.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct AccountCount {
    /// The account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Number of requests.
    #[prost(uint64, tag = "2")]
    pub count: u64,
}

/// A value for an account's quota: a share as a fraction, or a demand in units per second.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QuotaValue {
    /// The account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// The value.
    #[prost(double, tag = "2")]
    pub value: f64,
}

/// One gateway's load on a service.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServiceLoad {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Mean number of requests in progress since the last poll.
    #[prost(double, tag = "2")]
    pub in_flight: f64,
    /// Rate of prompt tokens that upstreams are not expected to have cached, in tokens per second.
    #[prost(double, tag = "3")]
    pub uncached_tokens_per_second: f64,
    /// Statistics of how long requests waited for the prefill of their prompts.
    #[prost(message, optional, tag = "4")]
    pub prefill: Option<PrefillStats>,
    /// Number of upstreams of the service that are not leaving, according to the gateway's list.
    #[prost(uint32, tag = "5")]
    pub upstreams: u32,
}

/// Requests units from the leader's reserve of a quota, a token bucket.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReserveRequest {
    /// The account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Number of units.
    #[prost(double, tag = "2")]
    pub units: f64,
    /// Refill rate of the reserve, in units per second.
    #[prost(double, tag = "3")]
    pub per_second: f64,
    /// Capacity of the reserve, in units.
    #[prost(double, tag = "4")]
    pub capacity: f64,
    /// Units that the account may use in a window, if the leader manages the whole quota; otherwise zero.
    #[prost(double, tag = "5")]
    pub allowed: f64,
    /// Incarnation of the requesting gateway.
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
}

/// The leader's reply to a reserve request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReserveReply {
    /// Whether the gateway may use the units.
    #[prost(bool, tag = "1")]
    pub granted: bool,
    /// If not granted, the time after which enough units may be available, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub wait_ms: u64,
}
