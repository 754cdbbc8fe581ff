//! The faults that every stand-in can show.

/// What a stand-in does wrong. The default does nothing wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::Args)]
pub struct Faults {
    /// Milliseconds between the arrival of a request and its execution.
    #[arg(long, default_value_t = 0)]
    pub execute_delay_ms: u64,
    /// Milliseconds between the execution and the first byte of the answer.
    #[arg(long, default_value_t = 0)]
    pub answer_delay_ms: u64,
    /// Accepts requests, executes nothing and says nothing.
    #[arg(long)]
    pub silent: bool,
    /// Executes a request and says nothing.
    #[arg(long)]
    pub silent_reply: bool,
    /// Executes a request and closes the connection without an answer.
    #[arg(long)]
    pub lost_reply: bool,
    /// Falls silent after this many tokens of a stream.
    #[arg(long)]
    pub silent_after_tokens: Option<u32>,
    /// Closes the connection after this many tokens of a stream.
    #[arg(long)]
    pub cut_after_tokens: Option<u32>,
    /// Closes the connection after this many bytes of a plain answer.
    #[arg(long)]
    pub cut_after_bytes: Option<usize>,
    /// Leaves out the token at this offset of a stream.
    #[arg(long)]
    pub skip_token: Option<u32>,
    /// Names another request in the events of a stream.
    #[arg(long)]
    pub wrong_request_id: bool,
}
