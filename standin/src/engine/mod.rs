//! A model engine with continuous batching, a priority queue, a bounded prefix cache, delayed load
//! reports and cache events, and orders that carry a fencing token.

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
    let server = Server::start(listen, move |req| {
        api::handle_request(Arc::clone(&handler), req)
    })
    .await?;
    Ok(Engine { server, shared })
}

impl Engine {
    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns the number of connections accepted so far.
    pub fn connections(&self) -> u64 {
        self.server.accepted()
    }

    /// Returns counters of the work executed so far.
    pub fn counts(&self) -> EngineCounts {
        self.shared.lock().counts.clone()
    }

    /// Returns the current load, without the reporting lag.
    pub fn load(&self) -> Load {
        self.shared.lock().load()
    }

    /// Replaces the injected faults. Requests that have already arrived keep the earlier ones.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.lock().params.faults = faults;
    }

    /// Changes parameters at run time. The listen address and the number of batch slots stay as they
    /// are.
    pub fn update_params(&self, change: impl FnOnce(&mut EngineParams)) {
        change(&mut self.shared.lock().params);
    }

    /// Refuses new requests from now on and reports the engine as leaving.
    pub fn set_leaving(&self) {
        let mut state = self.shared.lock();
        state.leaving = true;
        state.publish_load();
    }

    /// Silences all open connections permanently without closing them; new connections work.
    pub fn silence_open_connections(&self) {
        self.server.silence_open_connections();
    }

    /// Stops the engine immediately, as the end of a reclaimed instance does.
    pub fn stop(&self) {
        self.server.stop();
    }
}
