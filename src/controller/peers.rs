//! Links to the other controllers, and which controller each member runs in.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, PoisonError, RwLock},
    time::Duration,
};

use crate::{
    domain::MemberId,
    link::{Identity, Link, LinkError, LinkSettings, PeerKey},
    settings::{ControllerEntry, Settings},
    wire::{Body, ControllerRecord, ReplicaMessage},
};

/// Links to the other controllers.
#[derive(Debug)]
pub struct Peers {
    key: PeerKey,
    own: Identity,
    /// All known controllers, including this one, by name.
    entries: RwLock<BTreeMap<Arc<str>, ControllerEntry>>,
    links: RwLock<HashMap<Arc<str>, Link>>,
    /// Which controller each member runs in.
    controller_names: RwLock<HashMap<MemberId, Arc<str>>>,
}

impl Peers {
    /// Connects to every other controller in the settings.
    pub fn connect(settings: &Settings, key: &PeerKey, own: &Identity) -> Self {
        let peers = Self {
            key: key.clone(),
            own: own.clone(),
            entries: RwLock::default(),
            links: RwLock::default(),
            controller_names: RwLock::default(),
        };
        for entry in &settings.controllers {
            peers.add(entry);
        }
        peers
    }

    /// Adds a controller and connects to it, if its name is new. Returns whether it is.
    pub fn add(&self, entry: &ControllerEntry) -> bool {
        let mut entries = self.entries.write().unwrap_or_else(PoisonError::into_inner);
        if entries.contains_key(&entry.name) {
            return false;
        }
        entries.insert(Arc::clone(&entry.name), entry.clone());
        drop(entries);
        if entry.name != self.own.name {
            let link = Link::connect(
                entry.peer_address,
                self.key.clone(),
                self.own.clone(),
                LinkSettings::default(),
            );
            let mut links = self.links.write().unwrap_or_else(PoisonError::into_inner);
            links.insert(Arc::clone(&entry.name), link);
        }
        true
    }

    /// Adds a controller that a peer reported. Ignores it if an address cannot be parsed.
    pub fn add_record(&self, record: &ControllerRecord) {
        let addresses = (record.peer_address.parse(), record.http_address.parse());
        let (Ok(peer_address), Ok(http_address)) = addresses else {
            log::warn!(
                "controller: ignoring controller {}, whose addresses cannot be parsed.",
                record.name
            );
            return;
        };
        let is_new = self.add(&ControllerEntry {
            name: record.name.as_str().into(),
            zone: "".into(),
            peer_address,
            http_address,
        });
        if is_new {
            log::info!(
                "controller: connecting to controller {} at {peer_address}.",
                record.name
            );
        }
    }

    /// Returns the name, zone and addresses of a controller, if it is known.
    pub fn entry(&self, name: &str) -> Option<ControllerEntry> {
        let entries = self.entries.read().unwrap_or_else(PoisonError::into_inner);
        entries.get(name).cloned()
    }

    /// Returns the records of all known controllers, including this one.
    pub fn records(&self) -> Vec<ControllerRecord> {
        let entries = self.entries.read().unwrap_or_else(PoisonError::into_inner);
        entries.values().map(ControllerEntry::to_record).collect()
    }

    /// Returns the links to the other controllers, by name.
    pub fn links(&self) -> Vec<(Arc<str>, Link)> {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        links
            .iter()
            .map(|(name, link)| (Arc::clone(name), link.clone()))
            .collect()
    }

    fn link(&self, name: &str) -> Option<Link> {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        links.get(name).cloned()
    }

    /// Records which controller a member runs in. A controller whose data folder was emptied comes
    /// back as a new member.
    pub fn set_controller(&self, member: MemberId, name: &Arc<str>) {
        if self.controller_name(member).as_ref() == Some(name) {
            return;
        }
        let mut controller_names = self
            .controller_names
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        controller_names.insert(member, Arc::clone(name));
    }

    /// Returns the name of the controller that a member runs in, if it is known.
    pub fn controller_name(&self, member: MemberId) -> Option<Arc<str>> {
        let controller_names = self
            .controller_names
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        controller_names.get(&member).cloned()
    }

    /// Calls another controller and waits for its reply.
    pub async fn call(
        &self,
        name: &str,
        body: Body,
        deadline: Duration,
    ) -> Result<Body, LinkError> {
        let link = self.link(name).ok_or(LinkError::NotSent)?;
        link.call(body, deadline).await
    }

    /// Sends a message to the member that it names. While that member's controller is unknown, the
    /// message is broadcast, and the members that it is not addressed to drop it.
    pub fn send(&self, message: ReplicaMessage) {
        let name = self.controller_name(MemberId(message.to));
        match name.and_then(|name| self.link(&name)) {
            Some(link) => link.send(Body::Replica(message)),
            None => {
                for (_, link) in self.links() {
                    link.send(Body::Replica(message.clone()));
                }
            }
        }
    }
}
