//! Crashes of upstreams that gateways report. Every gateway reports to every controller, so that a change of leader
//! loses no evidence, and passes on what is in quarantine to controllers that have restarted.

use std::time::Duration;

use crate::{
    policy::quarantine::{Changes, CrashLedger, join},
    wire::{FollowRequest, QuarantinedCause, SuspectList},
};

/// The crashes that gateways reported to this controller.
#[derive(Debug)]
pub struct Crashes {
    ledger: CrashLedger,
    /// Changes with each change of the suspects; starts at random, so that it differs from those of other processes.
    suspects_version: u64,
}

impl Default for Crashes {
    fn default() -> Self {
        Self {
            ledger: CrashLedger::default(),
            suspects_version: rand::random(),
        }
    }
}

impl Crashes {
    /// Merges what a gateway reports. Returns whether anything changed that gateways are told.
    pub fn handle_follow(&mut self, now: Duration, follow: &FollowRequest) -> bool {
        let gateway = follow.gateway.as_ref().map_or("", |record| &*record.name);
        let mut is_changed = false;
        for quarantined in &follow.quarantined {
            let Some(cause) = quarantined.cause.and_then(|cause| cause.cause()) else {
                continue;
            };
            let until = now + Duration::from_millis(quarantined.left_ms);
            if self.ledger.adopt(cause, until, now) {
                is_changed = true;
                log::info!(
                    event = "quarantine.told", gateway = gateway, cause:% = cause,
                    left_ms = quarantined.left_ms;
                    "controller: a gateway holds a cause of crashes in quarantine"
                );
            }
        }
        for report in &follow.cut_offs {
            self.ledger.record(report.cut_off(now));
        }
        for answered in &follow.answered {
            if let Some(cause) = answered.cause.and_then(|cause| cause.cause()) {
                let at = now.saturating_sub(Duration::from_millis(answered.ago_ms));
                self.ledger.clear(cause, at);
            }
        }
        let changes = self.ledger.refresh(now);
        self.log(&changes, gateway);
        if changes.suspects {
            self.suspects_version = self.suspects_version.wrapping_add(1);
        }
        is_changed || changes.suspects || !changes.quarantined.is_empty()
    }

    fn log(&self, changes: &Changes, gateway: &str) {
        if changes.suspects {
            log::info!(
                event = "quarantine.suspects", gateway = gateway,
                causes = join(self.ledger.suspects());
                "controller: the suspected causes of crashes changed"
            );
        }
        for evidence in &changes.quarantined {
            log::warn!(
                event = "quarantine.begins", cause:% = evidence.cause, crashes = evidence.crashes,
                requests = evidence.requests;
                "controller: upstreams crash under requests with the same cause; all gateways refuse these"
            );
        }
    }

    /// Returns the suspects, if they changed, and what is in quarantine, without what the gateway holds.
    pub fn news_for(
        &self,
        now: Duration,
        follow: &FollowRequest,
    ) -> (Option<SuspectList>, Vec<QuarantinedCause>) {
        // Early replies to a gateway that does not know these fields would make it ask again at once.
        let Some(held) = follow.held_suspects_version else {
            return (None, Vec::new());
        };
        let quarantined = self.quarantined(now, &follow.quarantined);
        (self.suspects_since(held), quarantined)
    }

    /// Returns the suspects, unless a gateway holds this version of them.
    pub fn suspects_since(&self, held: u64) -> Option<SuspectList> {
        (held != self.suspects_version).then(|| SuspectList {
            version: self.suspects_version,
            causes: self.ledger.suspects().map(Into::into).collect(),
        })
    }

    /// Returns what is in quarantine, without what a gateway reported to hold.
    pub fn quarantined(&self, now: Duration, held: &[QuarantinedCause]) -> Vec<QuarantinedCause> {
        let all = self.ledger.quarantined(now);
        let all = all.map(|(cause, left)| QuarantinedCause::new(cause, left));
        all.filter(|known| held.iter().all(|other| other.cause != known.cause))
            .collect()
    }

    /// Returns the number of causes in quarantine.
    pub fn quarantined_count(&self, now: Duration) -> usize {
        self.ledger.quarantined(now).count()
    }
}
