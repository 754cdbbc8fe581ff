//! Publishes route tables. A document is acknowledged once a majority of the controllers has it on
//! disk; the gateways that follow fetch it from the controllers.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use tokio_util::sync::CancellationToken;

use super::{core::Core, log::LogError};
use crate::{
    adapters::http::RequestMemory,
    domain::InvalidTable,
    ports::{Clock, Platform},
    settings::Machine,
    state::{Action, Publish},
};

/// Why a document was not published or read.
#[derive(Debug, thiserror::Error)]
pub enum PublishError {
    /// The document is not a valid route table.
    #[error(transparent)]
    Invalid(#[from] InvalidTable),
    /// This controller does not lead; only the leader publishes and reads.
    #[error("this controller does not lead; ask {0}")]
    NotLeader(SocketAddr),
    /// No leader is known, or the majority of controllers does not respond.
    #[error("the controllers cannot be sure now: {0}")]
    Unavailable(#[from] LogError),
    /// No document was published yet.
    #[error("no document was published yet; publish one")]
    NotPublished,
}

/// Publishes and reads documents.
#[derive(Debug)]
pub struct Publisher<T, P> {
    pub(super) core: Arc<Core<T>>,
    pub(super) platform: Arc<P>,
    pub(super) stop: CancellationToken,
}

impl<T: Clock, P: Platform> Publisher<T, P> {
    /// Returns the token that is cancelled when the controller stops: later than it is told to, if it lets another
    /// controller take its vote first. It answers operators until then.
    pub fn stop_token(&self) -> CancellationToken {
        self.stop.clone()
    }

    /// Publishes a document and returns its version. A document whose version is not higher than the
    /// published one is acknowledged without effect, so that a retried call is acknowledged again.
    ///
    /// # Errors
    ///
    /// Fails if the document is invalid, if this controller does not lead, or without a quorum.
    pub async fn publish(&self, document: Bytes) -> Result<u64, PublishError> {
        let table = self.platform.read_table(&document)?;
        table.check()?;
        let version = table.version;
        // Confirms leadership with a quorum, so that a deposed leader does not compare with a stale version.
        self.read_barrier().await?;
        if self.core.log.state().published().version >= version {
            log::info!(
                event = "table.not_newer", version = version;
                "controller: this version of the route table, or a newer one, is already published"
            );
            return Ok(version);
        }
        let action = Action::Publish(Publish { version, document });
        let applied = self.core.propose(action).await;
        let applied = applied.map_err(|e| self.publish_error(e))?;
        log::info!(
            event = "table.published", version = version, index = applied.index,
            routes = table.routes.len();
            "controller: published a route table"
        );
        Ok(version)
    }

    /// Returns the published document.
    ///
    /// # Errors
    ///
    /// Fails if this controller does not lead, without a quorum, or if nothing was published.
    pub async fn latest(&self) -> Result<Bytes, PublishError> {
        self.read_barrier().await?;
        let published = self.core.log.state().published().clone();
        match published.version {
            0 => Err(PublishError::NotPublished),
            _ => Ok(published.document),
        }
    }

    /// Returns what the machine gives to the process, and the memory for documents that arrive. Call it once in a process.
    pub(crate) fn machine(&self) -> (Machine, RequestMemory) {
        let machine = self.core.settings.machine.as_ref();
        let memory = RequestMemory::new(machine, &self.core.metrics);
        (machine.cloned().unwrap_or_default(), memory)
    }

    pub(super) async fn read_barrier(&self) -> Result<(), PublishError> {
        self.core
            .log
            .read_barrier()
            .await
            .map_err(|e| self.publish_error(e))
    }

    pub(super) fn publish_error(&self, e: LogError) -> PublishError {
        match (e, self.core.leader()) {
            (LogError::NotLeader, Some(leader)) if leader.name != self.core.settings.name => {
                PublishError::NotLeader(leader.http_address)
            }
            _ => PublishError::Unavailable(e),
        }
    }
}
