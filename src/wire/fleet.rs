//! Messages between gateways and the leader about views, leases and capacity shares.

/// Renews the sender's lease and reports its demand to the leader.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GatewayHeartbeat {
    /// The sender's record, as it is published to callers and peers.
    #[prost(message, optional, tag = "1")]
    pub gateway: Option<GatewayRecord>,
    /// Log index of the view that the sender currently uses.
    #[prost(uint64, tag = "2")]
    pub view_index: u64,
    /// Demand since the last heartbeat.
    #[prost(message, repeated, tag = "3")]
    pub demand: Vec<Demand>,
    /// Instances that the sender has found to be leaving.
    #[prost(message, repeated, tag = "4")]
    pub leaving: Vec<LeavingNotice>,
    /// Version of the shares that the sender uses; zero before the first ones. The leader reassigns
    /// capacity only after its previous holder has confirmed smaller shares.
    #[prost(uint64, tag = "5")]
    pub shares_version: u64,
}

/// A gateway that callers may connect to.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct GatewayRecord {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Increases with each start of the process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Its availability zone.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Address for callers.
    #[prost(string, tag = "4")]
    pub caller_address: String,
    /// Address for other gateways.
    #[prost(string, tag = "5")]
    pub peer_address: String,
    /// Whether it is shutting down or being reclaimed.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
}

/// Demand of one account for one service at one gateway.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Demand {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The client account.
    #[prost(string, tag = "2")]
    pub account: String,
    /// Number of requests in progress.
    #[prost(uint32, tag = "3")]
    pub running: u32,
    /// Number of queued requests, plus those refused for lack of a share since the last heartbeat.
    #[prost(uint32, tag = "4")]
    pub waiting: u32,
}

/// Renews a gateway's lease. The lease counts from the time at which the gateway sent the heartbeat.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaseReply {
    /// Duration of the lease, in milliseconds.
    #[prost(uint64, tag = "1")]
    pub lease_ms: u64,
    /// Minimum log index of the view with which the gateway may accept new requests. A gateway with an
    /// older view must first fetch a newer one.
    #[prost(uint64, tag = "2")]
    pub required_index: u64,
    /// The gateway's capacity shares, if they changed; otherwise empty.
    #[prost(message, repeated, tag = "3")]
    pub shares: Vec<ShareRecord>,
    /// Whether `shares` replaces the shares that the gateway holds.
    #[prost(bool, tag = "4")]
    pub shares_changed: bool,
    /// Version of `shares`, unique across leaders.
    #[prost(uint64, tag = "5")]
    pub shares_version: u64,
}

/// Capacity leased to one gateway.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ShareRecord {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The client account.
    #[prost(string, tag = "2")]
    pub account: String,
    /// Maximum number of concurrent requests.
    #[prost(uint32, tag = "3")]
    pub slots: u32,
}

/// Long poll for changes after a view. The leader replies when there is a change, or after `wait_ms`.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ViewRequest {
    /// The requesting gateway.
    #[prost(string, tag = "1")]
    pub gateway: String,
    /// Log index of the view that the sender holds; zero for none.
    #[prost(uint64, tag = "2")]
    pub held_index: u64,
    /// The term of that view.
    #[prost(uint64, tag = "3")]
    pub held_term: u64,
    /// The sequence of that view.
    #[prost(uint64, tag = "4")]
    pub held_sequence: u64,
    /// Maximum time that the leader waits for a change, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub wait_ms: u64,
}

/// The changes after the requested view. A list replaces the gateway's copy where a flag says so.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ViewReply {
    /// Log index that the view includes.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The leader's term.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Counts changes within the term that are not in the log.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// The confirmed revision.
    #[prost(uint64, tag = "4")]
    pub revision: u64,
    /// The confirmed intent as JSON, if it changed; otherwise empty.
    #[prost(bytes = "bytes", tag = "5")]
    pub intent: bytes::Bytes,
    /// Instances that changed, `Gone` ones included.
    #[prost(message, repeated, tag = "6")]
    pub instances: Vec<InstanceRecord>,
    /// Whether `instances` is the complete list rather than a delta.
    #[prost(bool, tag = "7")]
    pub instances_complete: bool,
    /// The complete list of gateways, if it changed.
    #[prost(message, repeated, tag = "8")]
    pub gateways: Vec<GatewayRecord>,
    /// Whether `gateways` replaces the list.
    #[prost(bool, tag = "9")]
    pub gateways_changed: bool,
}

/// An upstream instance.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct InstanceRecord {
    /// The cloud's name for it.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Distinguishes a replacement that took the same name.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Its service.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Its availability zone.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// Its machine class.
    #[prost(string, tag = "5")]
    pub class: String,
    /// Whether the cloud may reclaim it.
    #[prost(bool, tag = "6")]
    pub reclaimable: bool,
    /// Address of its HTTP server.
    #[prost(string, tag = "7")]
    pub address: String,
    /// State: 0 live, 1 leaving, 2 gone.
    #[prost(uint32, tag = "8")]
    pub state: u32,
}

/// Notice that an instance is leaving and must get no new requests.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LeavingNotice {
    /// The instance.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// The incarnation that leaves.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// Reply to a request for the leader by a controller that does not lead.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct NotLeader {
    /// The leader's name in the settings, or empty if it is unknown.
    #[prost(string, tag = "1")]
    pub leader: String,
}
