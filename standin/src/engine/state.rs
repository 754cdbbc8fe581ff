//! The state and counters of an engine.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::{
    EngineParams,
    cache::{Block, PrefixCache},
    slots::Slots,
};
use crate::lagged::Lagged;

/// Counters of the work that an engine executed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Generations that got a slot in the batch.
    pub started: u64,
    /// Generations that completed.
    pub executed: u64,
    /// Generations cancelled by a request or by a closed connection.
    pub cancelled: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Prompt tokens computed.
    pub prefilled_tokens: u64,
    /// Prompt tokens served from the cache.
    pub cached_tokens: u64,
    /// Generations resumed from a prefix of another answer.
    pub foreign_prefixes: u64,
    /// Generations that got a slot, by request id.
    pub by_request: BTreeMap<String, u32>,
    /// Executed orders, in order of execution.
    pub orders: Vec<OrderRecord>,
    /// Orders rejected for a stale fencing token.
    pub fenced: u64,
}

/// An order, as sent on the wire and as recorded once executed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// `load`, `unload` or `drain`.
    pub kind: String,
    /// The model to load or unload.
    #[serde(default)]
    pub model: Option<String>,
    /// The model's version.
    #[serde(default)]
    pub version: Option<String>,
    /// The fencing token.
    pub fence: u64,
}

/// A load report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in the batch.
    pub running: u32,
    /// Requests in the queue.
    pub queued: u32,
    /// Slots in the batch.
    pub slots: u32,
    /// Capacity of the prefix cache, in tokens.
    pub cache_capacity_tokens: u64,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
    /// Whether the engine refuses new requests because it is leaving.
    pub leaving: bool,
    /// The loaded models.
    pub models: Vec<String>,
    /// The highest fencing token seen; zero if the engine ignores them.
    pub fence: u64,
}

/// A generation in progress.
#[derive(Clone, Debug)]
pub(crate) struct ActiveGeneration {
    pub(crate) cancel: Arc<Notify>,
    pub(crate) blocks: Arc<[Block]>,
}

#[derive(Debug)]
pub(crate) struct State {
    pub(crate) params: EngineParams,
    pub(crate) counts: EngineCounts,
    pub(crate) cache: PrefixCache,
    pub(crate) active: HashMap<String, ActiveGeneration>,
    pub(crate) models: Vec<String>,
    pub(crate) fence: u64,
    pub(crate) leaving: bool,
    lagged_load: Lagged<Load>,
    slots: Slots,
}

impl State {
    /// Returns the current load.
    pub(crate) fn load(&self) -> Load {
        Load {
            running: self.slots.running(),
            queued: self.slots.queued(),
            slots: self.params.slots,
            cache_capacity_tokens: self.params.cache_capacity_tokens,
            age_ms: 0,
            leaving: self.leaving,
            models: self.models.clone(),
            fence: self.fence,
        }
    }

    /// Returns the load as reported, with the configured lag.
    pub(crate) fn reported_load(&self) -> Load {
        let lag = self.load_lag();
        if lag.is_zero() {
            return self.load();
        }
        Load {
            age_ms: self.params.load_lag_ms,
            ..self.lagged_load.get(lag)
        }
    }

    /// Records the current load for lagged reports.
    pub(crate) fn publish_load(&mut self) {
        let lag = self.load_lag();
        if !lag.is_zero() {
            let load = self.load();
            self.lagged_load.set(load, lag);
        }
    }

    pub(crate) fn store_blocks(&mut self, blocks: &[Block]) {
        let params = &self.params;
        self.cache
            .store(blocks, params.cache_capacity_tokens, params.event_log);
    }

    fn load_lag(&self) -> Duration {
        Duration::from_millis(self.params.load_lag_ms)
    }
}

#[derive(Debug)]
pub(crate) struct Shared {
    state: Mutex<State>,
    pub(crate) slots: Slots,
}

impl Shared {
    pub(crate) fn new(params: EngineParams) -> Self {
        let slots = Slots::new(params.slots);
        let models = params.models.clone();
        let initial_load = Load {
            slots: params.slots,
            cache_capacity_tokens: params.cache_capacity_tokens,
            models: models.clone(),
            ..Load::default()
        };
        let state = State {
            params,
            counts: EngineCounts::default(),
            cache: PrefixCache::new(),
            active: HashMap::new(),
            models,
            fence: 0,
            leaving: false,
            lagged_load: Lagged::new(initial_load),
            slots: slots.clone(),
        };
        Self {
            state: Mutex::new(state),
            slots,
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
