//! Messages with which a gateway replicates its accepted requests to a backup gateway.

/// An accepted request, with everything that another gateway needs to continue it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct JournaledRequest {
    /// The request id, 16 bytes.
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
    /// Maximum number of tokens to generate.
    #[prost(uint32, tag = "5")]
    pub max_tokens: u32,
    /// Sampling seed.
    #[prost(uint64, tag = "6")]
    pub seed: u64,
    /// Whether the caller used the chat completions interface.
    #[prost(bool, tag = "7")]
    pub chat: bool,
}

/// A contiguous range of generated tokens.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct JournalTokens {
    /// Offset of the first token.
    #[prost(uint32, tag = "1")]
    pub offset: u32,
    /// The texts.
    #[prost(string, repeated, tag = "2")]
    pub texts: Vec<String>,
    /// Finish reason after these tokens: 0 not finished, 1 stop, 2 length.
    #[prost(uint32, tag = "3")]
    pub finish: u32,
}

/// Stores an accepted request.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct JournalPut {
    /// The gateway that accepted it.
    #[prost(string, tag = "1")]
    pub owner: String,
    /// The owner's incarnation. Messages of an older incarnation are dropped.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The request.
    #[prost(message, optional, tag = "3")]
    pub request: Option<JournaledRequest>,
    /// The tokens generated so far.
    #[prost(message, optional, tag = "4")]
    pub tokens: Option<JournalTokens>,
    /// Whether the receiver must take over the request now.
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
    /// The request id, 16 bytes.
    #[prost(bytes = "vec", tag = "3")]
    pub id: Vec<u8>,
    /// The tokens, which start at or before the end of those that the backup holds.
    #[prost(message, optional, tag = "4")]
    pub tokens: Option<JournalTokens>,
}

/// Removes a request whose response was delivered completely.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct JournalRemove {
    /// The gateway that accepted it.
    #[prost(string, tag = "1")]
    pub owner: String,
    /// The owner's incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The request id, 16 bytes.
    #[prost(bytes = "vec", tag = "3")]
    pub id: Vec<u8>,
}

/// The backup's reply.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct JournalAck {
    /// Whether the message was applied. A leaving or full backup refuses.
    #[prost(bool, tag = "1")]
    pub accepted: bool,
    /// Number of tokens of the request that the backup holds now.
    #[prost(uint32, tag = "2")]
    pub tokens: u32,
}
