//! Parameters of an engine.

use std::net::{Ipv4Addr, SocketAddr};

use crate::Faults;

/// Parameters of an engine.
#[derive(Clone, Debug, clap::Args)]
pub struct EngineParams {
    /// Address to listen on; port zero picks a free port.
    #[arg(long, default_value_t = EngineParams::default().listen)]
    pub listen: SocketAddr,
    /// Models loaded at startup.
    #[arg(long = "model", default_values_t = EngineParams::default().models)]
    pub models: Vec<String>,
    /// Requests that run concurrently.
    #[arg(long, default_value_t = EngineParams::default().slots)]
    pub slots: u32,
    /// Requests that may be queued; further ones are refused as busy.
    #[arg(long, default_value_t = EngineParams::default().queue)]
    pub queue: u32,
    /// Interval between two tokens of a stream, in microseconds.
    #[arg(long, default_value_t = EngineParams::default().token_interval_us)]
    pub token_interval_us: u64,
    /// Prefill time per uncached prompt token, in microseconds.
    #[arg(long, default_value_t = EngineParams::default().prefill_us_per_token)]
    pub prefill_us_per_token: u64,
    /// Tokens after which an answer ends with `stop`; zero means never.
    #[arg(long, default_value_t = EngineParams::default().answer_tokens)]
    pub answer_tokens: u32,
    /// Capacity of the prefix cache, in prompt tokens.
    #[arg(long, default_value_t = EngineParams::default().cache_capacity_tokens)]
    pub cache_capacity_tokens: u64,
    /// Age of the load reports, in milliseconds.
    #[arg(long, default_value_t = EngineParams::default().load_lag_ms)]
    pub load_lag_ms: u64,
    /// Delay before cache events are published, in milliseconds.
    #[arg(long, default_value_t = EngineParams::default().event_lag_ms)]
    pub event_lag_ms: u64,
    /// Number of cache events kept for slow readers.
    #[arg(long, default_value_t = EngineParams::default().event_log)]
    pub event_log: usize,
    /// Drops every cache event whose number is a multiple of this; zero drops none.
    #[arg(long, default_value_t = EngineParams::default().lose_event_every)]
    pub lose_event_every: u64,
    /// Executes orders regardless of their fencing token.
    #[arg(long)]
    pub ignore_fence: bool,
    /// Time to load a model, in milliseconds.
    #[arg(long, default_value_t = EngineParams::default().load_model_ms)]
    pub load_model_ms: u64,
    /// Injected faults.
    #[command(flatten)]
    pub faults: Faults,
}

impl Default for EngineParams {
    fn default() -> Self {
        Self {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            models: vec!["assistant".to_owned()],
            slots: 8,
            queue: 1024,
            token_interval_us: 1000,
            prefill_us_per_token: 0,
            answer_tokens: 0,
            cache_capacity_tokens: 65536,
            load_lag_ms: 0,
            event_lag_ms: 0,
            event_log: 4096,
            lose_event_every: 0,
            ignore_fence: false,
            load_model_ms: 0,
            faults: Faults::default(),
        }
    }
}
