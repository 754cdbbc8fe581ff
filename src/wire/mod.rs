//! Messages between the processes of an installation, as hand-written prost types.
//!
//! Messages over TCP travel in a [`Frame`]; see docs/DESIGN.md for who sends what to whom.

mod claims;
mod document;
mod fleet;
mod follow;
mod journal;
mod origins;
mod pace;
mod quarantine;
mod replica;
mod rollout;
mod room;
mod tunnel;

pub use claims::{
    ClaimReply, ClaimRequest, ClaimStatus, OutcomeReply, OutcomeRequest, ReleaseRequest,
    StoredOutcome,
};
pub use document::{
    BLOCK_HASH_BYTES, Document, DocumentBlocks, DocumentBlocksRequest, DocumentIndex,
    DocumentIndexRequest, DocumentRequest,
};
pub use fleet::{
    Demand, GatewayHeartbeat, GatewayRecord, InstanceRecord, LeaseReply, LeavingNotice, NotLeader,
    ShareRecord, ViewReply, ViewRequest,
};
pub use follow::{
    AccountCount, ControllerRecord, FollowReply, FollowRequest, IngressRecord, ListVersion,
    PrefillSpeed, PromptAnnouncement, QuotaUsage, QuotaValue, ReserveReply, ReserveRequest, Roster,
    ServiceLoad, SignedDatagram, UpstreamLimitReport, UpstreamList, UpstreamRow, WindowCount,
    to_requests_per_1000_s, to_requests_per_second,
};
pub use journal::{
    JournalAck, JournalAppend, JournalPut, JournalRemove, JournalTokens, JournaledRequest,
};
pub use origins::{OriginAck, OriginQuery, OriginRecord, OriginReply, OriginReport};
pub use pace::{ObservedPace, PaceReport, PaceRow, PaceTable};
pub use quarantine::{
    AnsweredCause, CauseKind, CauseRecord, CutOffReport, QuarantinedCause, SuspectList,
};
pub use replica::{
    AppendReply, AppendRequest, Entry, EntryKind, InstallSnapshot, InstallSnapshotReply,
    LeaveReply, MemberQuery, MemberReport, MembershipRecord, ReplicaMessage, ReplicaPayload,
    UnreadableEntry, VoteReply, VoteRequest,
};
pub use rollout::{
    RolloutLease, RolloutNews, RolloutRecord, RolloutReport, RolloutRoute, RolloutState,
};
pub use room::{AccountWork, ServiceRoom};
pub use tunnel::{TunnelData, TunnelEnd, TunnelOpen, TunnelOpened, TunnelRefused};

/// Maximum size of a frame that a process accepts, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// The unit of transfer on a link.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// Correlates a reply with its request. Zero marks a message that expects no reply.
    #[prost(uint64, tag = "1")]
    pub correlation: u64,
    /// Whether this frame is a reply.
    #[prost(bool, tag = "2")]
    pub reply: bool,
    /// The message. A request without one that is known is refused; any other frame without one is dropped.
    #[prost(
        oneof = "Body",
        tags = "10, 11, 12, 13, 14, 20, 21, 22, 23, 24, 25, 26, 27, 30, 31, 32, 33, 34, 40, 41, 42, 43, 44, 50, 51, 52, 53, 54, 55, 56, 57, 58, 59, 60, 61, 62, 63, 70, 71, 72, 73, 74"
    )]
    pub body: Option<Body>,
}

/// Every message that may travel in a frame.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// First handshake message, sent by the accepting side.
    #[prost(message, tag = "10")]
    Challenge(Challenge),
    /// The connecting side's response to the challenge, with its own challenge.
    #[prost(message, tag = "11")]
    Hello(Hello),
    /// The accepting side's response, which completes the handshake.
    #[prost(message, tag = "12")]
    Welcome(Welcome),
    /// Heartbeat that the receiver echoes.
    #[prost(message, tag = "13")]
    Ping(Ping),
    /// Error reply.
    #[prost(message, tag = "14")]
    Failure(Failure),
    /// Message of the replicated log, between controllers.
    #[prost(message, tag = "20")]
    Replica(ReplicaMessage),
    /// From a gateway to the leader, to renew the gateway's lease.
    #[prost(message, tag = "21")]
    Heartbeat(GatewayHeartbeat),
    /// The leader's reply to a heartbeat.
    #[prost(message, tag = "22")]
    Lease(LeaseReply),
    /// Long poll from a gateway to the leader for a newer view.
    #[prost(message, tag = "23")]
    ViewRequest(ViewRequest),
    /// The leader's reply, with the changes to the view.
    #[prost(message, tag = "24")]
    View(ViewReply),
    /// Reply of a controller that is not the leader to a request for the leader.
    #[prost(message, tag = "25")]
    NotLeader(NotLeader),
    /// Asks a controller for its member identifier and state.
    #[prost(message, tag = "26")]
    MemberQuery(MemberQuery),
    /// Reply to a member query.
    #[prost(message, tag = "27")]
    MemberReport(MemberReport),
    /// Requests the exclusive right to dispatch a non-idempotent call.
    #[prost(message, tag = "30")]
    Claim(ClaimRequest),
    /// The committed reply to a claim.
    #[prost(message, tag = "31")]
    ClaimReply(ClaimReply),
    /// Records how a claimed call ended.
    #[prost(message, tag = "32")]
    Outcome(OutcomeRequest),
    /// Releases a claim whose call was not dispatched.
    #[prost(message, tag = "33")]
    Release(ReleaseRequest),
    /// Confirms that an outcome or a release is committed.
    #[prost(message, tag = "34")]
    OutcomeReply(OutcomeReply),
    /// Stores an accepted request at the backup gateway.
    #[prost(message, tag = "40")]
    JournalPut(JournalPut),
    /// Stores generated tokens at the backup gateway.
    #[prost(message, tag = "41")]
    JournalAppend(JournalAppend),
    /// Drops a finished request from the backup gateway.
    #[prost(message, tag = "42")]
    JournalRemove(JournalRemove),
    /// The backup's reply.
    #[prost(message, tag = "43")]
    JournalAck(JournalAck),
    /// Propagates a reclaim notice between processes.
    #[prost(message, tag = "44")]
    LeavingNotice(LeavingNotice),
    /// Long poll from an ingress gateway to each controller for changes.
    #[prost(message, tag = "50")]
    Follow(FollowRequest),
    /// The controller's reply.
    #[prost(message, tag = "51")]
    FollowReply(FollowReply),
    /// Requests the published document from a controller.
    #[prost(message, tag = "52")]
    DocumentRequest(DocumentRequest),
    /// The published document.
    #[prost(message, tag = "53")]
    Document(Document),
    /// Requests units from the leader's reserve of a quota.
    #[prost(message, tag = "54")]
    ReserveRequest(ReserveRequest),
    /// The leader's reply to a reserve request.
    #[prost(message, tag = "55")]
    ReserveReply(ReserveReply),
    /// Tells a controller which software versions began streams.
    #[prost(message, tag = "56")]
    OriginReport(OriginReport),
    /// The controller has recorded an origin report.
    #[prost(message, tag = "57")]
    OriginAck(OriginAck),
    /// Asks a controller which software version began a stream.
    #[prost(message, tag = "58")]
    OriginQuery(OriginQuery),
    /// The controller's reply to an origin query.
    #[prost(message, tag = "59")]
    OriginReply(OriginReply),
    /// Requests the list of the published document's blocks.
    #[prost(message, tag = "60")]
    DocumentIndexRequest(DocumentIndexRequest),
    /// The blocks of the published document.
    #[prost(message, tag = "61")]
    DocumentIndex(DocumentIndex),
    /// Requests blocks of a document.
    #[prost(message, tag = "62")]
    DocumentBlocksRequest(DocumentBlocksRequest),
    /// Blocks of a document.
    #[prost(message, tag = "63")]
    DocumentBlocks(DocumentBlocks),
    /// Asks a gateway to connect to an upstream.
    #[prost(message, tag = "70")]
    TunnelOpen(TunnelOpen),
    /// The connection to the upstream is open.
    #[prost(message, tag = "71")]
    TunnelOpened(TunnelOpened),
    /// No connection to the upstream is opened.
    #[prost(message, tag = "72")]
    TunnelRefused(TunnelRefused),
    /// Bytes of a tunnelled connection.
    #[prost(message, tag = "73")]
    TunnelData(TunnelData),
    /// The upstream ended a tunnelled connection.
    #[prost(message, tag = "74")]
    TunnelEnd(TunnelEnd),
}

/// A nonce over which the peer must compute an HMAC with the shared key.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Challenge {
    /// 32 random bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub nonce: Vec<u8>,
}

/// The connecting side's identity and its proof that it holds the shared key.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// The connecting process's name in its settings.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Increases with each start of the connecting process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// HMAC-SHA256 of the accepting side's nonce, the name and the incarnation.
    #[prost(bytes = "vec", tag = "3")]
    pub proof: Vec<u8>,
    /// 32 random bytes: the challenge for the accepting side.
    #[prost(bytes = "vec", tag = "4")]
    pub nonce: Vec<u8>,
}

/// The accepting side's identity and its proof that it holds the shared key.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Welcome {
    /// The accepting process's name in its settings.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Increases with each start of the accepting process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// HMAC-SHA256 of the connecting side's nonce, the name and the incarnation.
    #[prost(bytes = "vec", tag = "3")]
    pub proof: Vec<u8>,
}

/// A heartbeat, which the receiver answers with another one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ping {}

/// An error reply.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Failure {
    /// Error message with a suggested remedy.
    #[prost(string, tag = "1")]
    pub message: String,
}
