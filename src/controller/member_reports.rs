//! What this controller last heard of the other controllers' members: from their reports, and from their own
//! queries, which come as soon as they start or are about to stop.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::sync::Notify;

use crate::domain::MemberId;

/// What a controller last said of its member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Sighting {
    /// The member that its data folder holds.
    pub(super) member: MemberId,
    /// When it said so.
    pub(super) at: Duration,
    /// Whether it is about to stop.
    pub(super) is_leaving: bool,
}

/// The last sighting of each other controller, by name.
#[derive(Debug, Default)]
pub(super) struct MemberReports {
    sightings: Mutex<HashMap<Arc<str>, Sighting>>,
    changed: Notify,
}

impl MemberReports {
    /// Records a sighting. Wakes [`Self::changed`] if it tells of another member, or of one that begins to leave or has
    /// returned.
    pub(super) fn record(&self, name: &Arc<str>, sighting: Sighting) {
        let last = self.lock().insert(Arc::clone(name), sighting);
        let said = |s: Sighting| (s.member, s.is_leaving);
        if last.map(said) == Some(said(sighting)) {
            return;
        }
        log::info!(
            event = "member.seen", controller = &**name, member = sighting.member.0, leaving = sighting.is_leaving;
            "controller: controller {name} is member {}{}", sighting.member,
            if sighting.is_leaving { " and is about to stop" } else { "" }
        );
        self.changed.notify_one();
    }

    /// Wakes the task that waits for a change.
    pub(super) fn notify(&self) {
        self.changed.notify_one();
    }

    /// Waits for a change.
    pub(super) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Returns the last sighting of a controller.
    pub(super) fn get(&self, name: &str) -> Option<Sighting> {
        self.lock().get(name).copied()
    }

    /// Returns all sightings.
    pub(super) fn all(&self) -> Vec<Sighting> {
        self.lock().values().copied().collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Arc<str>, Sighting>> {
        self.sightings
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
