//! Who acts towards the platform: the leader, under a fencing number of its own, after whoever acted
//! before can no longer do so.

use std::{sync::Arc, time::Duration};

use super::core::Core;
use crate::{
    ports::{Clock, DutyHolder},
    state::{Action, AllocateFence, Reply},
};

/// One duty of the leader.
#[derive(Debug)]
pub(super) struct Duty {
    name: &'static str,
    lease: Duration,
    office: Option<Office>,
}

/// The duty in one term of leadership.
#[derive(Debug)]
struct Office {
    term: u64,
    since: Duration,
    holder: Option<DutyHolder>,
}

impl Duty {
    /// Makes a duty that nobody holds.
    pub(super) fn new(name: &'static str, lease: Duration) -> Self {
        Self {
            name,
            lease,
            office: None,
        }
    }

    /// Returns the term and the holder if this controller may act now.
    pub(super) async fn hold<T: Clock>(&mut self, core: &Core<T>) -> Option<(u64, DutyHolder)> {
        if !core.leads() {
            if self
                .office
                .take()
                .is_some_and(|office| office.holder.is_some())
            {
                log::info!(
                    event = "duty.lost", duty = self.name;
                    "controller: holds the duty {} no more", self.name
                );
                core.duties().remove(self.name);
            }
            return None;
        }
        let term = core.fleet().term();
        let now = core.now();
        let office = match &mut self.office {
            Some(office) if office.term == term => office,
            _ => {
                core.duties().remove(self.name);
                self.office.insert(Office {
                    term,
                    since: now,
                    holder: None,
                })
            }
        };
        // The holder before this one may still act until its own lease ends.
        if now < office.since + self.lease {
            return None;
        }
        if office.holder.is_none() {
            office.holder = take_office(core, self.name).await;
        }
        let holder = office.holder.clone()?;
        core.leads().then_some((term, holder))
    }
}

async fn take_office<T: Clock>(core: &Core<T>, duty: &'static str) -> Option<DutyHolder> {
    match core.propose(Action::AllocateFence(AllocateFence {})).await {
        Ok(applied) => {
            let Reply::Fence(fence) = applied.reply else {
                log::warn!("controller: the log gave no fencing number for {duty}.");
                return None;
            };
            log::info!(
                event = "duty.held", duty = duty, fence = fence.0;
                "controller: holds the duty {duty}"
            );
            core.duties().insert(duty, fence);
            Some(DutyHolder {
                name: Arc::clone(&core.settings.name),
                fence,
            })
        }
        Err(e) => {
            log::warn!("controller: no fencing number for {duty} yet: {e}.");
            None
        }
    }
}
