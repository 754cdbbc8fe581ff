//! Links to the gateways that keep copies of this one's requests. Each gateway uses a few of the
//! others, chosen by rendezvous hashing and preferably in other availability zones, so that the
//! number of links does not grow with the number of gateways.

use std::{sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use sha2::{Digest, Sha256};
use tokio::sync::oneshot;

use crate::{
    domain::{GatewayEntry, RequestId, View, ZoneName},
    gateway::generate::AdmittedRequest,
    link::{Identity, Link, LinkSettings, PeerKey},
    wire::{
        Body, JournalAck, JournalPut, JournalRemove, JournalTokens, JournaledRequest, LeavingNotice,
    },
};

/// Number of gateways that this one keeps links to.
const MAX_LINKED_PEERS: usize = 3;

/// Time limit for a backup to acknowledge a copy.
const COPY_ACK_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of backups that are tried before a request is accepted without one.
const MAX_COPY_ATTEMPTS: usize = 2;

/// A linked gateway.
#[derive(Clone, Debug)]
pub(crate) struct PeerLink {
    /// The gateway.
    pub(crate) entry: GatewayEntry,
    link: Link,
}

/// The linked gateways, which are read without locks.
#[derive(Clone, Debug)]
pub(crate) struct Peers {
    identity: Identity,
    zone: ZoneName,
    key: PeerKey,
    settings: LinkSettings,
    linked: Arc<ArcSwap<Vec<PeerLink>>>,
}

impl Peers {
    /// Creates an empty set.
    pub(crate) fn new(
        identity: Identity,
        zone: ZoneName,
        key: PeerKey,
        settings: LinkSettings,
    ) -> Self {
        Self {
            identity,
            zone,
            key,
            settings,
            linked: Arc::default(),
        }
    }

    /// Connects to the gateways chosen from a view. Links to gateways that remain chosen are kept.
    pub(crate) fn update(&self, view: &View) {
        let before = self.linked.load();
        let next = self
            .choose_peers(&view.gateways)
            .into_iter()
            .map(|entry| self.link_to(entry, &before))
            .collect();
        self.linked.store(Arc::new(next));
    }

    fn choose_peers(&self, gateways: &[GatewayEntry]) -> Vec<GatewayEntry> {
        let mut others: Vec<_> = gateways
            .iter()
            .filter(|entry| !entry.leaving && entry.name.as_str() != &*self.identity.name)
            .cloned()
            .collect();
        let has_other_zones = others.iter().any(|entry| entry.zone != self.zone);
        others.retain(|entry| !has_other_zones || entry.zone != self.zone);
        others.sort_by_key(|entry| rendezvous_hash(self.identity.name.as_bytes(), entry));
        others.truncate(MAX_LINKED_PEERS);
        others
    }

    fn link_to(&self, entry: GatewayEntry, before: &[PeerLink]) -> PeerLink {
        let known = before.iter().find(|peer| {
            peer.entry.name == entry.name && peer.entry.peer_address == entry.peer_address
        });
        let link = known.map_or_else(
            || {
                Link::connect(
                    entry.peer_address,
                    self.key.clone(),
                    self.identity.clone(),
                    self.settings.clone(),
                )
            },
            |peer| peer.link.clone(),
        );
        PeerLink { entry, link }
    }

    /// Returns the linked gateways.
    pub(super) fn linked(&self) -> Arc<Vec<PeerLink>> {
        self.linked.load_full()
    }

    /// Returns the linked gateways in a request's order of preference.
    fn ranked(&self, id: RequestId) -> Vec<PeerLink> {
        let mut peers = self.linked.load().to_vec();
        peers.sort_by_key(|peer| rendezvous_hash(id.0.as_bytes(), &peer.entry));
        peers
    }

    /// Sends a copy of a request to a backup in the background. The receiver yields the backup that
    /// holds it, or `None` if there is none.
    pub(crate) fn store_copy(
        &self,
        request: &AdmittedRequest,
        take_over: bool,
    ) -> oneshot::Receiver<Option<PeerLink>> {
        let (tx, rx) = oneshot::channel();
        let put = self.put_message(request, take_over);
        let peers = self.ranked(request.completion.id);
        if peers.is_empty() {
            let _ = tx.send(None);
            return rx;
        }
        tokio::spawn(async move {
            let holder = store_at_first(&peers, &put, MAX_COPY_ATTEMPTS).await;
            let _ = tx.send(holder);
        });
        rx
    }

    /// Hands a request over to another gateway. Returns `None` if none has confirmed that it
    /// continues the request.
    pub(crate) async fn hand_over(&self, request: &AdmittedRequest) -> Option<GatewayEntry> {
        let put = self.put_message(request, true);
        let peers = self.ranked(request.completion.id);
        let holder = store_at_first(&peers, &put, peers.len()).await?;
        Some(holder.entry)
    }

    /// Removes the copy of a finished request.
    pub(super) fn remove(&self, holder: &PeerLink, id: RequestId) {
        holder.link.send(Body::JournalRemove(JournalRemove {
            owner: self.identity.name.to_string(),
            incarnation: self.identity.incarnation.0,
            id: id.0.as_bytes().to_vec(),
        }));
    }

    /// Notifies the linked gateways that an instance is leaving.
    pub(crate) fn broadcast_leaving(&self, notice: &LeavingNotice) {
        for peer in self.linked.load().iter() {
            peer.link.send(Body::LeavingNotice(notice.clone()));
        }
    }

    fn put_message(&self, request: &AdmittedRequest, take_over: bool) -> JournalPut {
        JournalPut {
            owner: self.identity.name.to_string(),
            incarnation: self.identity.incarnation.0,
            request: Some(journaled_request(request)),
            tokens: Some(JournalTokens {
                offset: 0,
                texts: request.completion.prefix.clone(),
                finish: 0,
            }),
            take_over,
        }
    }
}

/// Encodes a request for the messages between gateways.
pub(super) fn journaled_request(request: &AdmittedRequest) -> JournaledRequest {
    let completion = &request.completion;
    JournaledRequest {
        id: completion.id.0.as_bytes().to_vec(),
        account: completion.account.to_string(),
        model: completion.model.to_string(),
        prompt: completion.prompt.clone(),
        max_tokens: completion.max_tokens,
        seed: completion.seed,
        chat: request.chat,
    }
}

async fn store_at_first(peers: &[PeerLink], put: &JournalPut, attempts: usize) -> Option<PeerLink> {
    let needed = put.tokens.as_ref().map_or(0, |tokens| tokens.texts.len());
    for peer in peers.iter().take(attempts) {
        let reply = peer
            .link
            .call(Body::JournalPut(put.clone()), COPY_ACK_TIMEOUT)
            .await;
        if is_acknowledged(reply.ok().as_ref(), needed) {
            return Some(peer.clone());
        }
    }
    None
}

fn is_acknowledged(reply: Option<&Body>, needed: usize) -> bool {
    matches!(
        reply,
        Some(Body::JournalAck(JournalAck { accepted: true, tokens })) if *tokens as usize >= needed
    )
}

/// Returns a gateway's rendezvous hash for a key, so that each key orders the gateways differently.
pub(crate) fn rendezvous_hash(key: &[u8], entry: &GatewayEntry) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update(key);
    hash.update([0]);
    hash.update(entry.name.as_str().as_bytes());
    hash.finalize().into()
}
