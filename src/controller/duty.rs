//! Duties: calls to the platform that only the leader may make. The leader holds a duty under a
//! fencing token of its own, and only after the lease of the previous holder has expired.

use std::{fmt, sync::Arc, time::Duration};

use super::core::Core;
use crate::{
    domain::FencingToken,
    ports::{Clock, DutyHolder, SendRight},
    state::{Action, AllocateFence, Reply},
};

/// A duty and its holder in the current term, if this controller leads.
#[derive(Debug)]
pub(super) struct Duty {
    name: &'static str,
    lease: Duration,
    current: Option<DutyTerm>,
}

/// The state of a duty in one term of leadership.
#[derive(Debug)]
struct DutyTerm {
    term: u64,
    started_at: Duration,
    fence: Option<FencingToken>,
}

impl Duty {
    /// Creates a duty without a holder; `lease` is the time that the previous holder may still act.
    pub(super) fn new(name: &'static str, lease: Duration) -> Self {
        Self {
            name,
            lease,
            current: None,
        }
    }

    /// Returns the term and the holder for one call if this controller may act now, by a clock that advances while the
    /// process is stopped. Allocates the fencing token once the previous holder's lease has expired.
    pub(super) async fn current_holder<T: Clock>(
        &mut self,
        core: &Arc<Core<T>>,
    ) -> Option<(u64, DutyHolder)> {
        if !core.leads() {
            if self
                .current
                .take()
                .is_some_and(|current| current.fence.is_some())
            {
                log::info!(
                    event = "duty.lost", duty = self.name;
                    "controller: no longer holds the duty {}", self.name
                );
                core.duties().remove(self.name);
            }
            return None;
        }
        let term = core.fleet().term();
        let now = core.now();
        let current = match &mut self.current {
            Some(current) if current.term == term => current,
            _ => {
                core.duties().remove(self.name);
                self.current.insert(DutyTerm {
                    term,
                    started_at: now,
                    fence: None,
                })
            }
        };
        // The previous holder may act until its own lease expires.
        if now < current.started_at + self.lease {
            return None;
        }
        if current.fence.is_none() {
            current.fence = acquire(core, self.name).await;
        }
        // No other controller leads yet at this time, and one that leads later waits for the lease.
        let right = DutyRight {
            core: Arc::clone(core),
            term,
            until: core.now() + self.lease,
        };
        let holder = DutyHolder {
            name: Arc::clone(&core.settings.name),
            fence: current.fence?,
            right: Arc::new(right),
        };
        (!holder.right.time_left().is_zero()).then_some((term, holder))
    }
}

/// The right to make one call under a duty, in the term of its fencing token and within its lease.
struct DutyRight<T> {
    core: Arc<Core<T>>,
    term: u64,
    until: Duration,
}

impl<T: Clock> SendRight for DutyRight<T> {
    fn time_left(&self) -> Duration {
        match self.core.leads() && self.core.fleet().term() == self.term {
            true => self.until.saturating_sub(self.core.now()),
            false => Duration::ZERO,
        }
    }
}

impl<T> fmt::Debug for DutyRight<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DutyRight")
            .field("term", &self.term)
            .field("until", &self.until)
            .finish_non_exhaustive()
    }
}

async fn acquire<T: Clock>(core: &Core<T>, duty: &'static str) -> Option<FencingToken> {
    match core.propose(Action::AllocateFence(AllocateFence {})).await {
        Ok(applied) => {
            let Reply::Fence(fence) = applied.reply else {
                log::warn!("controller: the log returned no fencing token for duty {duty}.");
                return None;
            };
            log::info!(
                event = "duty.held", duty = duty, fence = fence.0;
                "controller: holds the duty {duty}"
            );
            core.duties().insert(duty, fence);
            Some(fence)
        }
        Err(e) => {
            log::warn!("controller: cannot allocate a fencing token for duty {duty} yet: {e}.");
            None
        }
    }
}
