//! Handles messages from other gateways.

use std::sync::Arc;

use super::{request_copy::resume, store::PeerMessageResult};
use crate::{
    domain::Incarnation,
    gateway::core::Gateway,
    link::{Handler, Peer},
    ports::{Clock, Upstreams},
    wire::{Body, JournalAck, JournalPut, LeavingNotice},
};

/// Serves the gateways that use this one as a backup.
#[derive(Debug)]
pub(crate) struct PeerHandler<U, T> {
    gateway: Arc<Gateway<U, T>>,
}

impl<U: Upstreams, T: Clock> PeerHandler<U, T> {
    /// Creates a handler.
    pub(crate) fn new(gateway: &Arc<Gateway<U, T>>) -> Self {
        Self {
            gateway: Arc::clone(gateway),
        }
    }

    async fn respond(&self, stored: PeerMessageResult) -> Option<Body> {
        match stored {
            PeerMessageResult::Ack(ack) => Some(Body::JournalAck(ack)),
            PeerMessageResult::TakeOver(ack, id, copy, attach) => {
                resume(&self.gateway, id, *copy, attach).await;
                Some(Body::JournalAck(ack))
            }
            PeerMessageResult::Dropped => {
                self.gateway.counters.dropped_frames.increment();
                None
            }
        }
    }

    /// Returns whether a frame names its sender as the owner. Others are dropped and counted, like
    /// those of an older incarnation.
    fn is_from_owner(&self, peer: &Peer, owner: &str, incarnation: u64) -> bool {
        let same = *peer.name == *owner && peer.incarnation == Incarnation(incarnation);
        if !same {
            self.gateway.counters.dropped_frames.increment();
        }
        same
    }

    /// Returns whether this gateway's view knows the account, the model and the service of a
    /// request, so that it can be continued here. The view may be older than the sender's, or not
    /// have arrived yet.
    fn may_take_over(&self, put: &JournalPut) -> bool {
        let snapshot = self.gateway.snapshot.load();
        put.request.as_ref().is_some_and(|request| {
            let account = request.account.as_str().into();
            let service = snapshot.service_for_model(&request.model.as_str().into());
            snapshot.account_named(&account).is_some()
                && service.is_some_and(|service| service.account(&account).is_some())
        })
    }

    fn mark_leaving(&self, notice: &LeavingNotice) {
        let snapshot = self.gateway.snapshot.load();
        let member = snapshot.members().find(|m| {
            m.instance.name.as_str() == notice.instance
                && m.instance.incarnation == Incarnation(notice.incarnation)
        });
        if let Some(member) = member {
            member.state.mark_leaving();
        }
    }
}

impl<U: Upstreams, T: Clock> Handler for PeerHandler<U, T> {
    async fn handle(&self, peer: &Peer, body: Body) -> Option<Body> {
        let journal = &self.gateway.journal;
        match body {
            Body::JournalPut(put) if self.is_from_owner(peer, &put.owner, put.incarnation) => {
                if self.gateway.leaving.is_cancelled()
                    || (put.take_over && !self.may_take_over(&put))
                {
                    return Some(Body::JournalAck(JournalAck::default()));
                }
                self.respond(journal.put(put).await).await
            }
            Body::JournalAppend(append)
                if self.is_from_owner(peer, &append.owner, append.incarnation) =>
            {
                self.respond(journal.append(append).await).await
            }
            Body::JournalRemove(remove)
                if self.is_from_owner(peer, &remove.owner, remove.incarnation) =>
            {
                // The sender expects no reply.
                self.respond(journal.remove(remove).await).await;
                None
            }
            Body::LeavingNotice(notice) => {
                self.mark_leaving(&notice);
                None
            }
            _ => None,
        }
    }
}
