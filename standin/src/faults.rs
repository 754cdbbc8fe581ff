//! Faults that can be injected into any stand-in.

/// Injected faults. The default injects none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::Args)]
pub struct Faults {
    /// Delay between the arrival of a request and its execution, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub execute_delay_ms: u64,
    /// Delay between the execution and the first byte of the response, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub answer_delay_ms: u64,
    /// Accepts requests, but neither executes nor answers them.
    #[arg(long)]
    pub silent: bool,
    /// Executes requests but never answers them.
    #[arg(long)]
    pub silent_reply: bool,
    /// Executes requests, then closes the connection without a response.
    #[arg(long)]
    pub lost_reply: bool,
    /// Stops sending after this many tokens of a stream, without closing the connection.
    #[arg(long)]
    pub silent_after_tokens: Option<u32>,
    /// Closes the connection after this many tokens of a stream.
    #[arg(long)]
    pub cut_after_tokens: Option<u32>,
    /// Closes the connection after this many bytes of a non-streamed response body.
    #[arg(long)]
    pub cut_after_bytes: Option<usize>,
    /// Skips the token at this offset of a stream.
    #[arg(long)]
    pub skip_token: Option<u32>,
    /// Sends the events of a stream with another request's id.
    #[arg(long)]
    pub wrong_request_id: bool,
}
