//! Bounds the number of connections of a server. See docs/design/CALLER_MEMORY.md.

use std::{
    collections::HashMap,
    future::Future,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{sync::Notify, time::Instant};
use tokio_util::sync::CancellationToken;

use super::{caller::Progress, early_end::Observer};
use crate::policy::connections::{WaitingConnection, choose_closed};

/// Least time between two log lines about too many connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The open connections of a server; clones share them.
#[derive(Clone, Debug, Default)]
pub(super) struct Connections(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    open: Mutex<Open>,
    /// Notified when a connection has ended.
    ended: Notify,
}

#[derive(Debug, Default)]
struct Open {
    next_id: u64,
    /// Connections that have not ended, also those that are being closed.
    count: usize,
    /// Those that are not being closed.
    connections: HashMap<u64, (Progress, CancellationToken)>,
    /// When it was logged last that there are too many.
    logged: Option<Instant>,
}

/// The place of one connection, given back when it ends.
#[derive(Debug)]
pub(super) struct Slot {
    open: Connections,
    id: u64,
    closed: CancellationToken,
}

impl Connections {
    /// Adds a connection. Over the maximum a waiting one is closed before; `None` if all are in requests.
    pub(super) async fn open(
        &self,
        progress: &Progress,
        max: usize,
        observer: &dyn Observer,
    ) -> Option<Slot> {
        self.make_room(max, observer)?;
        loop {
            let ended = self.0.ended.notified();
            if let Some(slot) = self.try_open(progress, max) {
                return Some(slot);
            }
            ended.await;
        }
    }

    /// Begins to close a waiting connection if all places are taken.
    fn make_room(&self, max: usize, observer: &dyn Observer) -> Option<()> {
        let mut open = self.lock();
        if open.connections.len() >= max {
            observer.count_closed_for_room();
            let chosen = open.choose_closed();
            open.log(chosen.is_some(), max);
            let (_, closed) = open.connections.remove(&chosen?)?;
            closed.cancel();
        }
        Some(())
    }

    fn try_open(&self, progress: &Progress, max: usize) -> Option<Slot> {
        let mut open = self.lock();
        if open.count >= max {
            return None;
        }
        open.count += 1;
        let id = open.next_id;
        open.next_id += 1;
        let closed = CancellationToken::new();
        let entry = (progress.clone(), closed.clone());
        open.connections.insert(id, entry);
        let open = self.clone();
        Some(Slot { open, id, closed })
    }

    fn lock(&self) -> MutexGuard<'_, Open> {
        self.0.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Open {
    fn choose_closed(&self) -> Option<u64> {
        let now = Instant::now();
        choose_closed(self.connections.iter().filter_map(|(id, (progress, _))| {
            let (awaits, since) = progress.waiting()?;
            Some(WaitingConnection {
                id: *id,
                awaits,
                waited: now.saturating_duration_since(since),
            })
        }))
    }

    fn log(&mut self, has_closed_waiting: bool, max: usize) {
        let now = Instant::now();
        if self.logged.is_none_or(|at| now >= at + LOG_INTERVAL) {
            self.logged = Some(now);
            log::warn!(
                event = "connections.full", connections = self.connections.len(), limit = max,
                closed = if has_closed_waiting { "waiting" } else { "new" };
                "http: there are too many connections of callers"
            );
        }
    }
}

impl Slot {
    /// Serves the connection until it ends or is closed for another one.
    pub(super) async fn run(self, served: impl Future<Output = ()>) {
        let _ended = self.closed.run_until_cancelled(served).await;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut open = self.open.lock();
        open.connections.remove(&self.id);
        open.count -= 1;
        drop(open);
        self.open.0.ended.notify_one();
    }
}
