//! What an engine knows and counts.

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

/// What an engine executed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Generations that got a place in the batch.
    pub started: u64,
    /// Generations that reached their end.
    pub executed: u64,
    /// Generations that were cancelled, by call or by a closed connection.
    pub cancelled: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Prompt tokens computed.
    pub prefilled_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Generations resumed from a prefix that is not this answer's.
    pub foreign_prefixes: u64,
    /// Generations that got a place, by request id.
    pub by_request: BTreeMap<String, u32>,
    /// Orders that were carried out, in order.
    pub orders: Vec<OrderRecord>,
    /// Orders that were refused for their fencing number.
    pub fenced: u64,
}

/// An order that was carried out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// `load`, `unload` or `drain`.
    pub kind: String,
    /// The model, if the order names one.
    #[serde(default)]
    pub model: Option<String>,
    /// The version, if the order names one.
    #[serde(default)]
    pub version: Option<String>,
    /// The fencing number.
    pub fence: u64,
}

/// A load report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in the batch.
    pub running: u32,
    /// Requests in the queue.
    pub queued: u32,
    /// Places in the batch.
    pub slots: u32,
    /// Tokens that the cache holds at most.
    pub cache_capacity_tokens: u64,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
    /// Whether it refuses new work.
    pub leaving: bool,
    /// The loaded models.
    pub models: Vec<String>,
    /// The highest fencing number seen; zero if it ignores them.
    pub fence: u64,
}

/// A generation in progress.
#[derive(Clone, Debug)]
pub(crate) struct Active {
    pub(crate) cancel: Arc<Notify>,
    pub(crate) blocks: Arc<[Block]>,
}

#[derive(Debug)]
pub(crate) struct State {
    pub(crate) params: EngineParams,
    pub(crate) counts: EngineCounts,
    pub(crate) cache: PrefixCache,
    pub(crate) active: HashMap<String, Active>,
    pub(crate) models: Vec<String>,
    pub(crate) fence: u64,
    pub(crate) leaving: bool,
    published: Lagged<Load>,
    slots: Slots,
}

impl State {
    /// Returns the load as it is now.
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

    /// Returns the load as it is reported.
    pub(crate) fn reported_load(&self) -> Load {
        let lag = self.load_lag();
        if lag.is_zero() {
            return self.load();
        }
        Load {
            age_ms: self.params.load_lag_ms,
            ..self.published.get(lag)
        }
    }

    /// Makes a change of the load visible to lagging readers.
    pub(crate) fn publish(&mut self) {
        let lag = self.load_lag();
        if !lag.is_zero() {
            let load = self.load();
            self.published.set(load, lag);
        }
    }

    /// Stores blocks in the cache.
    pub(crate) fn store(&mut self, blocks: &[Block]) {
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
        let first = Load {
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
            published: Lagged::new(first),
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
