//! Where the copy of one request is.

use tokio::sync::oneshot;

use super::peers::PeerLink;
use crate::{domain::RequestId, gateway::core::Gateway};

/// The copy of a request, from the moment it was asked for.
#[derive(Debug)]
pub(crate) struct Backup {
    pending: Option<oneshot::Receiver<Option<PeerLink>>>,
    holder: Option<PeerLink>,
}

impl Backup {
    /// No copy was asked for.
    pub(crate) fn none() -> Self {
        Self {
            pending: None,
            holder: None,
        }
    }

    /// A copy was asked for and is not acknowledged.
    pub(crate) fn awaiting(put: oneshot::Receiver<Option<PeerLink>>) -> Self {
        Self {
            pending: Some(put),
            ..Self::none()
        }
    }

    /// Waits until the copy is acknowledged or all attempts have failed; a request without a copy is
    /// counted. Returns the backup.
    pub(crate) async fn settle<U, T>(&mut self, gateway: &Gateway<U, T>) -> Option<&PeerLink> {
        if let Some(pending) = self.pending.take() {
            self.holder = pending.await.ok().flatten();
            if self.holder.is_none() {
                gateway.counters.accepted_alone.add();
            }
        }
        self.holder.as_ref()
    }

    /// Drops the copy of a request that ended here.
    pub(crate) async fn remove<U, T>(mut self, gateway: &Gateway<U, T>, id: RequestId) {
        if let Some(pending) = self.pending.take() {
            self.holder = pending.await.ok().flatten();
        }
        if let Some(holder) = &self.holder {
            gateway.peers.remove(holder, id);
        }
    }
}
