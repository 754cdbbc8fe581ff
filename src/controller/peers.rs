//! Links to the other controllers, and which data folder is behind which name.

use std::{
    collections::HashMap,
    sync::{Arc, PoisonError, RwLock},
    time::Duration,
};

use crate::{
    domain::MemberId,
    link::{Identity, Link, LinkError, LinkSettings, PeerKey},
    settings::Settings,
    wire::{Body, ReplicaMessage},
};

/// Links to the other controllers.
#[derive(Debug)]
pub struct Peers {
    links: HashMap<Arc<str>, Link>,
    names: RwLock<HashMap<MemberId, Arc<str>>>,
}

impl Peers {
    /// Starts a link to every other controller in the settings.
    pub fn connect(settings: &Settings, key: &PeerKey, own: &Identity) -> Self {
        let others = settings
            .controllers
            .iter()
            .filter(|entry| entry.name != settings.name);
        let links = others.map(|entry| {
            let link = Link::connect(
                entry.peer_address,
                key.clone(),
                own.clone(),
                LinkSettings::default(),
            );
            (Arc::clone(&entry.name), link)
        });
        Self {
            links: links.collect(),
            names: RwLock::default(),
        }
    }

    /// Notes which controller a member runs in; an emptied data folder comes back as a new member.
    pub fn learn(&self, member: MemberId, name: &Arc<str>) {
        if self.name(member).as_ref() == Some(name) {
            return;
        }
        let mut names = self.names.write().unwrap_or_else(PoisonError::into_inner);
        names.insert(member, Arc::clone(name));
    }

    /// Returns the name of the controller that a member runs in, if it is known.
    pub fn name(&self, member: MemberId) -> Option<Arc<str>> {
        let names = self.names.read().unwrap_or_else(PoisonError::into_inner);
        names.get(&member).cloned()
    }

    /// Asks another controller and waits for its reply.
    pub async fn ask(&self, name: &str, body: Body, deadline: Duration) -> Result<Body, LinkError> {
        let link = self.links.get(name).ok_or(LinkError::NotSent)?;
        link.call(body, deadline).await
    }

    /// Sends a message to its member. While its controller is unknown every one gets it, and those
    /// that it is not meant for drop it.
    pub fn send(&self, message: ReplicaMessage) {
        let name = self.name(MemberId(message.to));
        match name.and_then(|name| self.links.get(&name)) {
            Some(link) => link.send(Body::Replica(message)),
            None => self
                .links
                .values()
                .for_each(|link| link.send(Body::Replica(message.clone()))),
        }
    }
}
