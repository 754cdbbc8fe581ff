//! A model engine: continuous batching, a queue with priorities, a prefix cache in limited memory,
//! late load reports and cache events, and orders with a fencing number.

mod api;
mod cache;
mod generate;
mod params;
mod slots;
mod state;

pub use cache::{BLOCK_BYTES, BYTES_PER_TOKEN, CacheEvent};
pub use generate::{answer_seed, answer_token};
pub use params::EngineParams;
pub use state::{EngineCounts, Load, OrderRecord};

use std::{net::SocketAddr, sync::Arc};

use crate::{Faults, http::Server};
use state::Shared;

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    server: Server,
    shared: Arc<Shared>,
}

/// Starts an engine.
pub async fn start(params: EngineParams) -> anyhow::Result<Engine> {
    let listen = params.listen;
    let shared = Arc::new(Shared::new(params));
    let handler = Arc::clone(&shared);
    let server = Server::start(listen, move |req| api::answer(Arc::clone(&handler), req)).await?;
    Ok(Engine { server, shared })
}

impl Engine {
    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns how many connections were accepted so far.
    pub fn connections(&self) -> u64 {
        self.server.accepted()
    }

    /// Returns what was executed so far.
    pub fn counts(&self) -> EngineCounts {
        self.shared.lock().counts.clone()
    }

    /// Returns the load as it is now, without the lag.
    pub fn load(&self) -> Load {
        self.shared.lock().load()
    }

    /// Changes what it does wrong, for requests that arrive from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.lock().params.faults = faults;
    }

    /// Changes parameters in operation. The listening address and the number of slots stay.
    pub fn adjust(&self, change: impl FnOnce(&mut EngineParams)) {
        change(&mut self.shared.lock().params);
    }

    /// Refuses new work from now on and says so in its load report.
    pub fn set_leaving(&self) {
        let mut state = self.shared.lock();
        state.leaving = true;
        state.publish();
    }

    /// Makes all open connections silent for good; new ones work.
    pub fn silence_open(&self) {
        self.server.silence_open();
    }

    /// Ends it at once, as a reclaimed instance ends.
    pub fn stop(&self) {
        self.server.stop();
    }
}
