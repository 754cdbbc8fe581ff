//! Tracks which gateway holds the copy of a request.

use std::sync::Arc;

use tokio::sync::oneshot::{self, error::TryRecvError};

use super::peers::{PeerLink, Peers};
use crate::{
    domain::RequestId,
    gateway::{core::Gateway, generate::AdmittedRequest},
};

/// The copy of a request, from the moment it is sent to a backup.
#[derive(Debug)]
pub(crate) struct Backup {
    pending: Option<oneshot::Receiver<Option<PeerLink>>>,
    holder: Option<PeerLink>,
    /// The linked peers when the holder was last checked.
    checked_peers: Option<Arc<Vec<PeerLink>>>,
}

impl Backup {
    /// Returns the state before a copy is sent.
    pub(crate) fn none() -> Self {
        Self {
            pending: None,
            holder: None,
            checked_peers: None,
        }
    }

    /// Returns the state of a copy that was sent and is not acknowledged yet.
    pub(crate) fn pending_ack(put: oneshot::Receiver<Option<PeerLink>>) -> Self {
        Self {
            pending: Some(put),
            ..Self::none()
        }
    }

    /// Waits until the copy is acknowledged or all attempts have failed, and returns the holder.
    /// Counts a request without a copy.
    pub(crate) async fn wait_for_holder<U, T>(
        &mut self,
        gateway: &Gateway<U, T>,
    ) -> Option<&PeerLink> {
        if let Some(pending) = self.pending.take() {
            self.holder = pending.await.ok().flatten();
            if self.holder.is_none() {
                gateway.counters.accepted_alone.increment();
            }
        }
        self.holder.as_ref()
    }

    /// Sends a new copy if the gateway that held it has left or is leaving. This checks the peers
    /// only when their list has changed, and never blocks.
    pub(crate) fn renew(&mut self, peers: &Peers, request: &AdmittedRequest) {
        if let Some(pending) = &mut self.pending {
            match pending.try_recv() {
                Ok(holder) => self.holder = holder,
                Err(TryRecvError::Empty) => return,
                Err(TryRecvError::Closed) => {}
            }
            self.pending = None;
        }
        let linked = peers.linked();
        if self
            .checked_peers
            .as_ref()
            .is_some_and(|checked_peers| Arc::ptr_eq(checked_peers, &linked))
        {
            return;
        }
        let still_held = self.holder.as_ref().is_some_and(|holder| {
            linked.iter().any(|peer| {
                peer.entry.name == holder.entry.name
                    && peer.entry.incarnation == holder.entry.incarnation
            })
        });
        let none_left = linked.is_empty();
        self.checked_peers = Some(linked);
        if !still_held && !none_left {
            self.holder = None;
            self.pending = Some(peers.store_copy(request, false));
        }
    }

    /// Removes the copy of a request that ended here.
    pub(crate) async fn remove<U, T>(mut self, gateway: &Gateway<U, T>, id: RequestId) {
        if let Some(pending) = self.pending.take() {
            self.holder = pending.await.ok().flatten();
        }
        if let Some(holder) = &self.holder {
            gateway.peers.remove(holder, id);
        }
    }
}
