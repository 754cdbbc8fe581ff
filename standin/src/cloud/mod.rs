//! The cloud API: starts, lists (with a lag), reclaims (with a notice) and stops instances.

mod api;
mod state;

pub use state::{CloudCounts, CloudParams, Listing, StartOrder};

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use futures_util::future::BoxFuture;

use crate::{Faults, http::Server};
use state::State;

/// A server that the cloud started on a new instance.
pub struct StartedInstance {
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Stops it immediately.
    pub stop: Box<dyn FnOnce() + Send>,
}

/// Starts the server of a new instance.
pub type LaunchFn =
    Arc<dyn Fn(StartOrder) -> BoxFuture<'static, anyhow::Result<StartedInstance>> + Send + Sync>;

/// A running cloud API.
pub struct Cloud {
    server: Server,
    shared: Arc<Shared>,
}

pub(crate) struct Shared {
    state: Mutex<State>,
    launch: LaunchFn,
}

impl Shared {
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Announces the reclaim of an instance and stops it after `notice`. Returns whether it exists.
    pub(crate) fn reclaim(self: &Arc<Self>, instance: &str, notice: Duration) -> bool {
        let Some(incarnation) = self.lock().announce_reclaim(instance, notice) else {
            return false;
        };
        let shared = Arc::clone(self);
        let instance = instance.to_owned();
        tokio::spawn(async move {
            tokio::time::sleep(notice).await;
            shared.stop_instance(&instance, incarnation);
        });
        true
    }

    /// Stops an instance immediately, unless it was replaced by another incarnation.
    pub(crate) fn stop_instance(&self, instance: &str, incarnation: u64) {
        let stop = self.lock().remove(instance, incarnation);
        if let Some(stop) = stop {
            stop();
        }
    }
}

/// Starts a cloud API. `launch` starts the server of each new instance.
pub async fn start(params: CloudParams, launch: LaunchFn) -> anyhow::Result<Cloud> {
    let listen = params.listen;
    let shared = Arc::new(Shared {
        state: Mutex::new(State::new(params)),
        launch,
    });
    let handler = Arc::clone(&shared);
    let server = Server::start(listen, move |req| {
        api::handle_request(Arc::clone(&handler), req)
    })
    .await?;
    Ok(Cloud { server, shared })
}

impl Cloud {
    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns the number of connections accepted so far.
    pub fn connections(&self) -> u64 {
        self.server.accepted()
    }

    /// Returns counters of the orders so far.
    pub fn counts(&self) -> CloudCounts {
        self.shared.lock().counts.clone()
    }

    /// Returns the current instances, without the list lag.
    pub fn instances(&self) -> Vec<Listing> {
        self.shared.lock().listings()
    }

    /// Adds a running instance. `stop` is called when the instance is stopped or reclaimed.
    pub fn register(&self, listing: Listing, stop: impl FnOnce() + Send + 'static) {
        self.shared.lock().insert(listing, Some(Box::new(stop)));
    }

    /// Announces the reclaim of an instance and stops it after `notice`. Returns whether it exists.
    pub fn reclaim(&self, instance: &str, notice: Duration) -> bool {
        self.shared.reclaim(instance, notice)
    }

    /// Replaces the injected faults. Requests that have already arrived keep the earlier ones.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.lock().params.faults = faults;
    }

    /// Changes parameters at run time. The listen address stays as it is.
    pub fn update_params(&self, change: impl FnOnce(&mut CloudParams)) {
        change(&mut self.shared.lock().params);
    }

    /// Stops the API server immediately; instances keep running.
    pub fn stop(&self) {
        self.server.stop();
    }
}
