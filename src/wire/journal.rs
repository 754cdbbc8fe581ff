//! Messages by which a gateway keeps copies of its accepted requests at a backup gateway.

/// An accepted request, with all that another gateway needs to go on with it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct JournaledRequest {
    /// The 16 bytes of the request id.
    #[prost(bytes = "vec", tag = "1")]
    pub id: Vec<u8>,
    /// The client account.
    #[prost(string, tag = "2")]
    pub account: String,
    /// The model.
    #[prost(string, tag = "3")]
    pub model: String,
    /// The rendered prompt.
    #[prost(string, tag = "4")]
    pub prompt: String,
    /// Most tokens to generate.
    #[prost(uint32, tag = "5")]
    pub max_tokens: u32,
    /// Fixes the sampling.
    #[prost(uint64, tag = "6")]
    pub seed: u64,
    /// Whether the caller spoke the chat form of the interface.
    #[prost(bool, tag = "7")]
    pub chat: bool,
}

/// Tokens of an answer, in order and without gaps.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct JournalTokens {
    /// Offset of the first token.
    #[prost(uint32, tag = "1")]
    pub offset: u32,
    /// The texts.
    #[prost(string, repeated, tag = "2")]
    pub texts: Vec<String>,
    /// Whether the answer ends after them, and why: 0 no, 1 stop, 2 length.
    #[prost(uint32, tag = "3")]
    pub finish: u32,
}

/// Stores an accepted request.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct JournalPut {
    /// The gateway that accepted it.
    #[prost(string, tag = "1")]
    pub owner: String,
    /// The owner's incarnation; frames of an older one are dropped.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The request.
    #[prost(message, optional, tag = "3")]
    pub request: Option<JournaledRequest>,
    /// The tokens generated so far.
    #[prost(message, optional, tag = "4")]
    pub tokens: Option<JournalTokens>,
    /// Whether the receiver should now take the request over.
    #[prost(bool, tag = "5")]
    pub take_over: bool,
}

/// Stores more tokens of a request.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct JournalAppend {
    /// The gateway that accepted it.
    #[prost(string, tag = "1")]
    pub owner: String,
    /// The owner's incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The 16 bytes of the request id.
    #[prost(bytes = "vec", tag = "3")]
    pub id: Vec<u8>,
    /// The tokens; they start at or before the end of what the backup holds.
    #[prost(message, optional, tag = "4")]
    pub tokens: Option<JournalTokens>,
}

/// Drops a request whose answer was delivered whole.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct JournalRemove {
    /// The gateway that accepted it.
    #[prost(string, tag = "1")]
    pub owner: String,
    /// The owner's incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The 16 bytes of the request id.
    #[prost(bytes = "vec", tag = "3")]
    pub id: Vec<u8>,
}

/// The backup's answer.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct JournalAck {
    /// Whether the message was applied; a leaving or full backup refuses.
    #[prost(bool, tag = "1")]
    pub accepted: bool,
    /// Tokens that the backup now holds of the request.
    #[prost(uint32, tag = "2")]
    pub tokens: u32,
}
