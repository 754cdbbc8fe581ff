//! The cloud API: instances that are started, listed late, reclaimed on notice and stopped.

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

/// A process that the cloud started: where it listens, and how to end it at once.
pub struct Started {
    /// Its address.
    pub address: SocketAddr,
    /// Ends it at once.
    pub stop: Box<dyn FnOnce() + Send>,
}

/// Starts what runs on a new instance.
pub type Launch =
    Arc<dyn Fn(StartOrder) -> BoxFuture<'static, anyhow::Result<Started>> + Send + Sync>;

/// A running cloud API.
pub struct Cloud {
    server: Server,
    shared: Arc<Shared>,
}

pub(crate) struct Shared {
    state: Mutex<State>,
    launch: Launch,
}

impl Shared {
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Announces the end of an instance; it ends after `notice`.
    pub(crate) fn reclaim(self: &Arc<Self>, instance: &str, notice: Duration) -> bool {
        let Some(incarnation) = self.lock().announce(instance, notice) else {
            return false;
        };
        let shared = Arc::clone(self);
        let instance = instance.to_owned();
        tokio::spawn(async move {
            tokio::time::sleep(notice).await;
            shared.end(&instance, incarnation);
        });
        true
    }

    /// Ends an instance at once.
    pub(crate) fn end(&self, instance: &str, incarnation: u64) {
        let stop = self.lock().remove(instance, incarnation);
        if let Some(stop) = stop {
            stop();
        }
    }
}

/// Starts a cloud API. `launch` starts what runs on a new instance.
pub async fn start(params: CloudParams, launch: Launch) -> anyhow::Result<Cloud> {
    let listen = params.listen;
    let shared = Arc::new(Shared {
        state: Mutex::new(State::new(params)),
        launch,
    });
    let handler = Arc::clone(&shared);
    let server = Server::start(listen, move |req| api::answer(Arc::clone(&handler), req)).await?;
    Ok(Cloud { server, shared })
}

impl Cloud {
    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns how many connections were accepted so far.
    pub fn connections(&self) -> u64 {
        self.server.accepted()
    }

    /// Returns what was ordered so far.
    pub fn counts(&self) -> CloudCounts {
        self.shared.lock().counts.clone()
    }

    /// Returns the instances as they are now, without the lag.
    pub fn instances(&self) -> Vec<Listing> {
        self.shared.lock().listings()
    }

    /// Adds an instance that runs already. `stop` ends it at once when it is reclaimed.
    pub fn register(&self, listing: Listing, stop: impl FnOnce() + Send + 'static) {
        self.shared.lock().insert(listing, Some(Box::new(stop)));
    }

    /// Announces the end of an instance; it ends after `notice`. Returns whether it exists.
    pub fn reclaim(&self, instance: &str, notice: Duration) -> bool {
        self.shared.reclaim(instance, notice)
    }

    /// Changes what it does wrong, for requests that arrive from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.lock().params.faults = faults;
    }

    /// Changes parameters in operation. The listening address stays.
    pub fn adjust(&self, change: impl FnOnce(&mut CloudParams)) {
        change(&mut self.shared.lock().params);
    }

    /// Ends it at once.
    pub fn stop(&self) {
        self.server.stop();
    }
}
