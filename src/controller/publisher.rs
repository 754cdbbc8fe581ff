//! Publishing documents of routes. A document is acknowledged when a majority of the controllers has
//! it on disk; the gateways that follow take it up from there.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;

use super::{core::Core, log::LogError};
use crate::{
    domain::InvalidTable,
    ports::{Clock, Platform},
    state::{Action, Publish},
};

/// Why a document was not published or read.
#[derive(Debug, thiserror::Error)]
pub enum PublishError {
    /// It cannot be put in force.
    #[error(transparent)]
    Invalid(#[from] InvalidTable),
    /// Only the leader publishes and reads.
    #[error("this controller does not lead; ask {0}")]
    Elsewhere(SocketAddr),
    /// No leader is known, or the majority does not answer.
    #[error("the controllers cannot be sure now: {0}")]
    Unavailable(#[from] LogError),
    /// Nothing was published yet.
    #[error("no document was published yet; publish one")]
    Nothing,
}

/// Publishes and reads documents.
#[derive(Debug)]
pub struct Publisher<T, P> {
    pub(super) core: Arc<Core<T>>,
    pub(super) platform: Arc<P>,
}

impl<T: Clock, P: Platform> Publisher<T, P> {
    /// Publishes a document. One whose version is not the highest is acknowledged and changes
    /// nothing, so that an order that is sent again is acknowledged again.
    pub async fn publish(&self, document: Bytes) -> Result<u64, PublishError> {
        let table = self.platform.read_table(&document)?;
        table.check()?;
        let version = table.version;
        // A quorum round, so that "already in force" is not the memory of a deposed leader.
        self.read().await?;
        if self.core.log.state().published().version >= version {
            log::info!(
                event = "table.not_newer", version = version;
                "controller: a table was published or overtaken before"
            );
            return Ok(version);
        }
        let action = Action::Publish(Publish { version, document });
        let applied = self.core.propose(action).await;
        let applied = applied.map_err(|e| self.error(e))?;
        log::info!(
            event = "table.published", version = version, index = applied.index,
            routes = table.routes.len();
            "controller: a table is published"
        );
        Ok(version)
    }

    /// Returns the document in force.
    pub async fn newest(&self) -> Result<Bytes, PublishError> {
        self.read().await?;
        let published = self.core.log.state().published().clone();
        match published.version {
            0 => Err(PublishError::Nothing),
            _ => Ok(published.document),
        }
    }

    async fn read(&self) -> Result<(), PublishError> {
        self.core
            .log
            .read_barrier()
            .await
            .map_err(|e| self.error(e))
    }

    fn error(&self, e: LogError) -> PublishError {
        match (e, self.core.leader()) {
            (LogError::NotLeader, Some(leader)) if leader.name != self.core.settings.name => {
                PublishError::Elsewhere(leader.http_address)
            }
            _ => PublishError::Unavailable(e),
        }
    }
}
