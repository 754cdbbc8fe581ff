//! Messages that carry views, leases and shares from the leader to the gateways.

/// Renews the sender's lease and tells the leader what it needs.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GatewayHeartbeat {
    /// The sender, as callers and peers should see it.
    #[prost(message, optional, tag = "1")]
    pub gateway: Option<GatewayRecord>,
    /// Log index of the view in force at the sender.
    #[prost(uint64, tag = "2")]
    pub view_index: u64,
    /// Demand since the last heartbeat.
    #[prost(message, repeated, tag = "3")]
    pub demand: Vec<Demand>,
    /// Instances that the sender learned to be leaving.
    #[prost(message, repeated, tag = "4")]
    pub leaving: Vec<LeavingNotice>,
    /// Version of the shares that the sender uses; zero before the first ones. The leader gives
    /// capacity to others only once its former user confirms smaller shares.
    #[prost(uint64, tag = "5")]
    pub shares_version: u64,
}

/// A gateway that callers may connect to.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct GatewayRecord {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Grows with each start of the process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Its availability zone.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Where callers connect.
    #[prost(string, tag = "4")]
    pub caller_address: String,
    /// Where other gateways connect.
    #[prost(string, tag = "5")]
    pub peer_address: String,
    /// Whether it is shutting down or being reclaimed.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
}

/// What one account asks of one service at one gateway.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Demand {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The client account.
    #[prost(string, tag = "2")]
    pub account: String,
    /// Requests in progress.
    #[prost(uint32, tag = "3")]
    pub running: u32,
    /// Requests waiting, plus those refused for lack of a share since the last heartbeat.
    #[prost(uint32, tag = "4")]
    pub waiting: u32,
}

/// Renews a gateway's lease, counted from the time at which it sent the heartbeat.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LeaseReply {
    /// Length of the lease, in milliseconds.
    #[prost(uint64, tag = "1")]
    pub lease_ms: u64,
    /// Log index that a view must include for the gateway to take new work. A gateway with an
    /// older view fetches the newer one first.
    #[prost(uint64, tag = "2")]
    pub required_index: u64,
    /// The gateway's shares, if they changed; otherwise empty.
    #[prost(message, repeated, tag = "3")]
    pub shares: Vec<ShareRecord>,
    /// Whether `shares` replaces those that the gateway holds.
    #[prost(bool, tag = "4")]
    pub shares_changed: bool,
    /// Version of `shares`; unique over all leaders.
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
    /// Requests that may be in progress at once.
    #[prost(uint32, tag = "3")]
    pub slots: u32,
}

/// Asks for what changed after a view. The leader answers when there is a change, or at the latest
/// after `wait_ms`.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ViewRequest {
    /// The asking gateway.
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
    /// How long the leader may wait for a change, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub wait_ms: u64,
}

/// What changed after the asked-for view. Lists replace the gateway's own where marked so.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ViewReply {
    /// Log index that the view includes.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The leader's term.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Counts changes outside the log within the term.
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
    /// Whether `instances` is the whole list.
    #[prost(bool, tag = "7")]
    pub instances_complete: bool,
    /// The whole list of gateways, if it changed.
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
    /// Whether it can be reclaimed.
    #[prost(bool, tag = "6")]
    pub reclaimable: bool,
    /// Where it accepts HTTP connections.
    #[prost(string, tag = "7")]
    pub address: String,
    /// 0 live, 1 leaving, 2 gone.
    #[prost(uint32, tag = "8")]
    pub state: u32,
}

/// Says that an instance gets no new work.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct LeavingNotice {
    /// The instance.
    #[prost(string, tag = "1")]
    pub instance: String,
    /// The incarnation that leaves.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// Answers any request for the leader at another controller.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct NotLeader {
    /// The leader's name in the settings, if it is known; otherwise empty.
    #[prost(string, tag = "1")]
    pub leader: String,
}
