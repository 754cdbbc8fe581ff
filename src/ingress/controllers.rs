//! Tracks when each controller last replied and which one last claimed leadership.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use tokio::time::Instant;

/// Last replies and leadership claims of the controllers, for metrics.
#[derive(Debug, Default)]
pub(super) struct ControllerContacts(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    last_replies: BTreeMap<String, Instant>,
    leader: Option<String>,
}

impl ControllerContacts {
    /// Records a reply of a controller.
    pub(super) fn record_reply(&self, controller: &str, leads: bool, now: Instant) {
        let mut state = self.state();
        match state.last_replies.get_mut(controller) {
            Some(at) => *at = now,
            None => {
                state.last_replies.insert(controller.to_owned(), now);
            }
        }
        if leads && state.leader.as_deref() != Some(controller) {
            log::info!(
                event = "controller.leads", controller = controller;
                "ingress: controller {controller} leads"
            );
            state.leader = Some(controller.to_owned());
        }
    }

    /// Returns the seconds since each controller's last reply.
    pub(super) fn silent_seconds(&self, now: Instant) -> Vec<(String, f64)> {
        let state = self.state();
        let last_replies = state.last_replies.iter();
        last_replies
            .map(|(name, at)| (name.clone(), now.duration_since(*at).as_secs_f64()))
            .collect()
    }

    /// Returns the controller that last claimed leadership.
    pub(super) fn leader(&self) -> Option<String> {
        self.state().leader.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
