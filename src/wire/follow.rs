//! Messages between ingress gateways and controllers. A gateway asks every controller that it knows;
//! an answer comes when something changed, and otherwise after a while as a sign of life.

use bytes::Bytes;
use prost::Message;

use crate::policy::speed::PrefillStats;

/// A gateway's question, and what it holds already.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FollowRequest {
    /// The gateway.
    #[prost(message, optional, tag = "1")]
    pub gateway: Option<IngressRecord>,
    /// Version of the published document that it holds.
    #[prost(uint64, tag = "2")]
    pub held_version: u64,
    /// The list of upstreams that it holds.
    #[prost(message, optional, tag = "3")]
    pub held_list_version: Option<ListVersion>,
    /// Version of this controller's roster that it holds.
    #[prost(uint64, tag = "4")]
    pub held_roster_version: u64,
    /// Longest wait for a change, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub wait_ms: u64,
    /// Requests that began to run at this gateway, for the newest windows.
    #[prost(message, repeated, tag = "6")]
    pub usage: Vec<WindowCount>,
    /// Units of each quota that callers asked this gateway for, in a second.
    #[prost(message, repeated, tag = "7")]
    pub demands: Vec<QuotaValue>,
    /// How much this gateway uses each service.
    #[prost(message, repeated, tag = "8")]
    pub loads: Vec<ServiceLoad>,
    /// The parts of quotas that the gateway was given last and still uses.
    #[prost(message, repeated, tag = "9")]
    pub held_shares: Vec<QuotaValue>,
    /// Grows with each start of the gateway, whose counts then begin anew.
    #[prost(uint64, tag = "10")]
    pub incarnation: u64,
    /// How much accounts used their quotas at this gateway; those that used none are left out.
    #[prost(message, repeated, tag = "11")]
    pub quota_uses: Vec<QuotaUsage>,
    /// The part of a quota's last window in which this gateway ran.
    #[prost(double, tag = "12")]
    pub window_fraction: f64,
    /// Upstreams that said to this gateway lately that they leave.
    #[prost(string, repeated, tag = "13")]
    pub leaving: Vec<String>,
}

/// An account's use of its quota at one gateway.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QuotaUsage {
    /// The account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Units admitted in the last window.
    #[prost(double, tag = "2")]
    pub admitted: f64,
    /// Units that callers ask for in a second.
    #[prost(double, tag = "3")]
    pub requested_per_second: f64,
    /// Units that the account may use in a window, over all gateways.
    #[prost(double, tag = "4")]
    pub allowed: f64,
    /// Whether a part of the quota for each gateway holds a request.
    #[prost(bool, tag = "5")]
    pub divisible: bool,
}

/// A controller's answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FollowReply {
    /// Whether the controller leads.
    #[prost(bool, tag = "1")]
    pub leads: bool,
    /// Version of the published document that the controller holds.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// The list of upstreams, if it is newer than the one held.
    #[prost(message, optional, tag = "3")]
    pub list: Option<UpstreamList>,
    /// The gateways, if they changed.
    #[prost(message, optional, tag = "4")]
    pub roster: Option<Roster>,
    /// The controllers that this one knows.
    #[prost(message, repeated, tag = "5")]
    pub controllers: Vec<ControllerRecord>,
    /// From the leader: the gateway's part of each quota, from zero to one. An account that is left
    /// out gives the part that every gateway has.
    #[prost(message, repeated, tag = "6")]
    pub shares: Vec<QuotaValue>,
    /// From the leader: accounts whose requests need no question.
    #[prost(string, repeated, tag = "7")]
    pub open_accounts: Vec<String>,
    /// From the leader: accounts for each of whose requests it is asked.
    #[prost(string, repeated, tag = "8")]
    pub asked_accounts: Vec<String>,
    /// How fast engines read, as the controller has learnt it.
    #[prost(message, repeated, tag = "9")]
    pub speeds: Vec<PrefillSpeed>,
}

/// How fast the engines of a service read.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PrefillSpeed {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Prompt tokens that one engine reads in a second.
    #[prost(double, tag = "2")]
    pub tokens_per_second: f64,
}

/// Asks a controller for the published document.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DocumentRequest {}

/// The published document.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Document {
    /// Its version; zero before the first one.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The document as it was published.
    #[prost(bytes = "bytes", tag = "2")]
    pub document: Bytes,
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
    /// Where callers connect.
    #[prost(string, tag = "3")]
    pub caller_address: String,
    /// Whether callers should connect now: it is ready and not leaving.
    #[prost(bool, tag = "4")]
    pub open: bool,
    /// Where other gateways send datagrams.
    #[prost(string, tag = "5")]
    pub peer_address: String,
}

/// What one gateway tells the others: it sends a prompt to an engine now.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PromptAnnouncement {
    /// The engine's service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The engine.
    #[prost(string, tag = "2")]
    pub instance: String,
    /// Tokens of the prompt that no engine holds.
    #[prost(uint32, tag = "3")]
    pub tokens: u32,
}

/// A datagram.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SignedDatagram {
    /// The message.
    #[prost(bytes = "bytes", tag = "1")]
    pub payload: Bytes,
    /// Proof that its sender holds the shared key.
    #[prost(bytes = "bytes", tag = "2")]
    pub proof: Bytes,
}

/// The gateways that a controller has heard of lately.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Roster {
    /// Changes with every change of the gateways; only equal or not equal means something.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// All gateways, or those that changed since the version held.
    #[prost(message, repeated, tag = "2")]
    pub gateways: Vec<IngressRecord>,
    /// Whether only changes are told.
    #[prost(bool, tag = "3")]
    pub is_delta: bool,
    /// Gateways that are no longer heard of since the version held.
    #[prost(string, repeated, tag = "4")]
    pub removed: Vec<String>,
}

impl Roster {
    /// Takes a newer roster, or what changed since this one.
    pub fn apply(&mut self, newer: Self) {
        if !newer.is_delta {
            *self = newer;
            return;
        }
        let is_told = |known: &IngressRecord| {
            newer.removed.contains(&known.name)
                || newer.gateways.iter().any(|told| told.name == known.name)
        };
        self.gateways.retain(|known| !is_told(known));
        self.gateways.extend(newer.gateways);
        self.version = newer.version;
    }
}

/// Orders lists of upstreams: a later term's list is newer, then the higher number.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Message)]
pub struct ListVersion {
    /// The term of the leader that read the list.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Grows with every change that the leader saw.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
}

/// The list of upstreams as the leader read it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct UpstreamList {
    /// Its version.
    #[prost(message, optional, tag = "1")]
    pub version: Option<ListVersion>,
    /// The upstreams, or those that are new or changed since the version held.
    #[prost(message, repeated, tag = "2")]
    pub rows: Vec<UpstreamRow>,
    /// Whether only changes are told.
    #[prost(bool, tag = "3")]
    pub is_delta: bool,
    /// Upstreams that are no longer listed since the version held.
    #[prost(string, repeated, tag = "4")]
    pub removed: Vec<String>,
    /// All rows, encoded once for all gateways as a list without a version; `rows` is empty then.
    #[prost(bytes = "bytes", tag = "5")]
    pub encoded: Bytes,
}

impl UpstreamList {
    /// Puts encoded rows where they belong.
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
    /// The platform's name for this start of it.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// Its service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Where it accepts connections.
    #[prost(string, tag = "3")]
    pub address: String,
    /// Its availability zone.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// Requests that it serves at once.
    #[prost(uint32, tag = "5")]
    pub slots: u32,
    /// Whether it gets no new work.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
    /// How much longer it was slow when the list was read, in milliseconds.
    #[prost(uint32, tag = "7")]
    pub cold_left_ms: u32,
    /// Whether the platform may take it back.
    #[prost(bool, tag = "8")]
    pub reclaimable: bool,
    /// Whether it said to some gateway that it leaves, while the platform's list may not show it.
    #[prost(bool, tag = "9")]
    pub reported_leaving: bool,
}

/// A controller and where it is reached.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct ControllerRecord {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Where other processes connect.
    #[prost(string, tag = "2")]
    pub peer_address: String,
    /// Where operators connect.
    #[prost(string, tag = "3")]
    pub http_address: String,
}

/// Requests of one gateway in one window.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WindowCount {
    /// The window's number, counted from the Unix epoch.
    #[prost(uint64, tag = "1")]
    pub window: u64,
    /// Requests that began to run, by account.
    #[prost(message, repeated, tag = "2")]
    pub counts: Vec<AccountCount>,
}

/// Requests of one account.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct AccountCount {
    /// The account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// How many.
    #[prost(uint64, tag = "2")]
    pub count: u64,
}

/// A number that belongs to an account's quota.
#[derive(Clone, PartialEq, prost::Message)]
pub struct QuotaValue {
    /// The account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// The number.
    #[prost(double, tag = "2")]
    pub value: f64,
}

/// One gateway's use of a service.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServiceLoad {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Requests in progress, as a mean over the time since the last question.
    #[prost(double, tag = "2")]
    pub in_flight: f64,
    /// Prompt tokens in a second that upstreams are not expected to hold.
    #[prost(double, tag = "3")]
    pub uncached_tokens_per_second: f64,
    /// How long requests waited for engines to read their prompts.
    #[prost(message, optional, tag = "4")]
    pub prefill: Option<PrefillStats>,
    /// Upstreams of the service that are not leaving, by the list that the gateway holds.
    #[prost(uint32, tag = "5")]
    pub upstreams: u32,
}

/// Asks the leader for units out of its reserve of a quota.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReserveRequest {
    /// The account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// How many units.
    #[prost(double, tag = "2")]
    pub units: f64,
    /// Units that the reserve gains in a second.
    #[prost(double, tag = "3")]
    pub per_second: f64,
    /// Units that the reserve can save up.
    #[prost(double, tag = "4")]
    pub capacity: f64,
    /// Units that the account may use in a window, if the leader keeps the whole quota; otherwise zero.
    #[prost(double, tag = "5")]
    pub allowed: f64,
    /// The start of the gateway that asks.
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
}

/// The leader's answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReserveReply {
    /// Whether the gateway may use the units.
    #[prost(bool, tag = "1")]
    pub granted: bool,
    /// If not, after which time there may be enough, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub wait_ms: u64,
}
