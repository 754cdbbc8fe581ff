//! Messages about claims: the right to dispatch one non-idempotent call, given once.

/// Asks for the right to dispatch.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ClaimRequest {
    /// The client account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// The 16 bytes of the `Idempotency-Key`.
    #[prost(bytes = "vec", tag = "2")]
    pub key: Vec<u8>,
    /// SHA-256 of method, path and body.
    #[prost(bytes = "vec", tag = "3")]
    pub digest: Vec<u8>,
    /// The gateway that asks.
    #[prost(string, tag = "4")]
    pub gateway: String,
    /// The gateway's incarnation.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
    /// Distinguishes the calls of one gateway, so that a resent request gets the first answer.
    #[prost(uint64, tag = "6")]
    pub attempt: u64,
}

/// Where a claim stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum ClaimStatus {
    /// The asking attempt may dispatch; no other ever may.
    Granted = 0,
    /// Another attempt holds the claim and its outcome is not recorded.
    InProgress = 1,
    /// The outcome is recorded.
    Done = 2,
    /// The call may have run and its answer is lost.
    Unknown = 3,
    /// The key was used for another call.
    Conflict = 4,
    /// The key is older than the retention window.
    Expired = 5,
}

/// The committed answer to a claim.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ClaimReply {
    /// Where the claim stands.
    #[prost(enumeration = "ClaimStatus", tag = "1")]
    pub status: i32,
    /// The recorded answer, if the status is `Done`.
    #[prost(message, optional, tag = "2")]
    pub outcome: Option<StoredOutcome>,
}

/// A recorded answer of a plain service.
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
}

/// Records how a claimed call ended.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OutcomeRequest {
    /// The claim, as it was asked for.
    #[prost(message, optional, tag = "1")]
    pub claim: Option<ClaimRequest>,
    /// The answer, or nothing if it is unknown whether the call ran.
    #[prost(message, optional, tag = "2")]
    pub outcome: Option<StoredOutcome>,
}

/// Gives back a claim whose call was not dispatched. Only its own attempt may do so.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ReleaseRequest {
    /// The claim, as it was asked for.
    #[prost(message, optional, tag = "1")]
    pub claim: Option<ClaimRequest>,
}

/// Confirms that an outcome or a release is committed.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OutcomeReply {
    /// Whether the claim was held by the sender; otherwise nothing changed.
    #[prost(bool, tag = "1")]
    pub accepted: bool,
}
