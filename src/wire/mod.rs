//! Messages between the system's own processes, encoded by prost without a generator.
//!
//! Every message travels in a [`Frame`]; see docs/DESIGN.md for who sends what to whom.

mod claims;
mod fleet;
mod follow;
mod journal;
mod replica;

pub use claims::{
    ClaimReply, ClaimRequest, ClaimStatus, OutcomeReply, OutcomeRequest, ReleaseRequest,
    StoredOutcome,
};
pub use fleet::{
    Demand, GatewayHeartbeat, GatewayRecord, InstanceRecord, LeaseReply, LeavingNotice, NotLeader,
    ShareRecord, ViewReply, ViewRequest,
};
pub use follow::{
    AccountCount, ControllerRecord, Document, DocumentRequest, FollowReply, FollowRequest,
    IngressRecord, ListVersion, PrefillSpeed, PromptAnnouncement, QuotaUsage, QuotaValue,
    ReserveReply, ReserveRequest, Roster, ServiceLoad, SignedDatagram, UpstreamList, UpstreamRow,
    WindowCount,
};
pub use journal::{
    JournalAck, JournalAppend, JournalPut, JournalRemove, JournalTokens, JournaledRequest,
};
pub use replica::{
    AppendReply, AppendRequest, Entry, EntryKind, InstallSnapshot, InstallSnapshotReply,
    MemberQuery, MemberReport, MembershipRecord, ReplicaMessage, ReplicaPayload, VoteReply,
    VoteRequest,
};

/// Largest frame that a process accepts, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// The unit of transfer between two processes.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// Pairs a reply with its request; zero marks a message without a reply.
    #[prost(uint64, tag = "1")]
    pub correlation: u64,
    /// Whether this is the reply.
    #[prost(bool, tag = "2")]
    pub reply: bool,
    /// The message; a frame without one is dropped.
    #[prost(
        oneof = "Body",
        tags = "10, 11, 12, 13, 14, 20, 21, 22, 23, 24, 25, 26, 27, 30, 31, 32, 33, 34, 40, 41, 42, 43, 44, 50, 51, 52, 53, 54, 55"
    )]
    pub body: Option<Body>,
}

/// Every message that may travel in a frame.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// First frame of the accepting side.
    #[prost(message, tag = "10")]
    Challenge(Challenge),
    /// Answer of the connecting side, with its own challenge.
    #[prost(message, tag = "11")]
    Hello(Hello),
    /// Answer to the connecting side's challenge; the link is then open.
    #[prost(message, tag = "12")]
    Welcome(Welcome),
    /// Asks for a sign of life.
    #[prost(message, tag = "13")]
    Ping(Ping),
    /// Replaces a reply that the receiver could not make.
    #[prost(message, tag = "14")]
    Failure(Failure),
    /// Between controllers.
    #[prost(message, tag = "20")]
    Replica(ReplicaMessage),
    /// From a gateway to the leader, to renew its lease.
    #[prost(message, tag = "21")]
    Heartbeat(GatewayHeartbeat),
    /// The leader's answer to a heartbeat.
    #[prost(message, tag = "22")]
    Lease(LeaseReply),
    /// From a gateway to the leader, answered when there is a newer view.
    #[prost(message, tag = "23")]
    ViewRequest(ViewRequest),
    /// The leader's answer: what changed.
    #[prost(message, tag = "24")]
    View(ViewReply),
    /// Any request for the leader that reached another controller.
    #[prost(message, tag = "25")]
    NotLeader(NotLeader),
    /// Asks a controller which member it is.
    #[prost(message, tag = "26")]
    MemberQuery(MemberQuery),
    /// The answer.
    #[prost(message, tag = "27")]
    MemberReport(MemberReport),
    /// Asks for the right to dispatch a non-idempotent call.
    #[prost(message, tag = "30")]
    Claim(ClaimRequest),
    /// The committed answer to a claim.
    #[prost(message, tag = "31")]
    ClaimReply(ClaimReply),
    /// Records how a claimed call ended.
    #[prost(message, tag = "32")]
    Outcome(OutcomeRequest),
    /// Gives back a claim that was never dispatched.
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
    /// The backup's answer.
    #[prost(message, tag = "43")]
    JournalAck(JournalAck),
    /// Spreads a reclaim notice between processes.
    #[prost(message, tag = "44")]
    LeavingNotice(LeavingNotice),
    /// From an ingress gateway to every controller, answered when there is something new.
    #[prost(message, tag = "50")]
    Follow(FollowRequest),
    /// The controller's answer.
    #[prost(message, tag = "51")]
    FollowReply(FollowReply),
    /// Asks a controller for the published document.
    #[prost(message, tag = "52")]
    DocumentRequest(DocumentRequest),
    /// The published document.
    #[prost(message, tag = "53")]
    Document(Document),
    /// Asks the leader for a part of its reserve of a quota.
    #[prost(message, tag = "54")]
    ReserveRequest(ReserveRequest),
    /// The leader's answer.
    #[prost(message, tag = "55")]
    ReserveReply(ReserveReply),
}

/// A random number that the peer must authenticate with the shared key.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Challenge {
    /// 32 random bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub nonce: Vec<u8>,
}

/// Who connects, and the proof that it holds the shared key.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// The connecting process's name in its settings.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Grows with each start of the connecting process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// HMAC-SHA256 of the accepting side's nonce, the name and the incarnation.
    #[prost(bytes = "vec", tag = "3")]
    pub proof: Vec<u8>,
    /// 32 random bytes for the accepting side to authenticate.
    #[prost(bytes = "vec", tag = "4")]
    pub nonce: Vec<u8>,
}

/// The accepting side's proof.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Welcome {
    /// The accepting process's name in its settings.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Grows with each start of the accepting process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// HMAC-SHA256 of the connecting side's nonce, the name and the incarnation.
    #[prost(bytes = "vec", tag = "3")]
    pub proof: Vec<u8>,
}

/// A sign of life; it is answered by another one.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ping {}

/// Says why the receiver has no reply.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Failure {
    /// What went wrong and what to do.
    #[prost(string, tag = "1")]
    pub message: String,
}
