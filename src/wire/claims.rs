//! Messages about claims. A claim is the exclusive right to dispatch one non-idempotent call.

/// Requests the right to dispatch a call.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ClaimRequest {
    /// The client account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// The `Idempotency-Key`, 16 bytes.
    #[prost(bytes = "vec", tag = "2")]
    pub key: Vec<u8>,
    /// SHA-256 of the method, path and body.
    #[prost(bytes = "vec", tag = "3")]
    pub digest: Vec<u8>,
    /// The requesting gateway.
    #[prost(string, tag = "4")]
    pub gateway: String,
    /// The gateway's incarnation.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
    /// Distinguishes the attempts of one gateway, so that a resent claim request gets the first reply again.
    #[prost(uint64, tag = "6")]
    pub attempt: u64,
}

/// The state of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum ClaimStatus {
    /// The requesting attempt may dispatch the call; no other attempt ever may.
    Granted = 0,
    /// Another attempt holds the claim, and its outcome is not recorded yet.
    InProgress = 1,
    /// The outcome is recorded.
    Done = 2,
    /// The call may have run, but its response was lost.
    Unknown = 3,
    /// The key was already used for a different call.
    Conflict = 4,
    /// The key is older than the retention window.
    Expired = 5,
}

/// The committed reply to a claim.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ClaimReply {
    /// The state of the claim.
    #[prost(enumeration = "ClaimStatus", tag = "1")]
    pub status: i32,
    /// The recorded response, if the status is `Done`.
    #[prost(message, optional, tag = "2")]
    pub outcome: Option<StoredOutcome>,
}

/// A recorded response of a plain service.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StoredOutcome {
    /// The HTTP status code.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// The `Content-Type`.
    #[prost(string, tag = "2")]
    pub content_type: String,
    /// The body.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: bytes::Bytes,
    /// Whether only the end of the connection showed the end of the body.
    #[prost(bool, tag = "4")]
    pub ends_with_connection: bool,
}

/// Records the outcome of a claimed call.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OutcomeRequest {
    /// The claim as requested.
    #[prost(message, optional, tag = "1")]
    pub claim: Option<ClaimRequest>,
    /// The response, or `None` if it is unknown whether the call ran.
    #[prost(message, optional, tag = "2")]
    pub outcome: Option<StoredOutcome>,
}

/// Releases a claim whose call was not dispatched. Only the attempt that holds it may release it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ReleaseRequest {
    /// The claim as requested.
    #[prost(message, optional, tag = "1")]
    pub claim: Option<ClaimRequest>,
}

/// Confirms that an outcome or a release is committed.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OutcomeReply {
    /// Whether the sender held the claim. Otherwise nothing changed.
    #[prost(bool, tag = "1")]
    pub accepted: bool,
}
