//! Polls the cloud's instance list and reclaim notices and commits the changes.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::{core::Core, periodic::run_periodically};
use crate::{
    domain::{InstanceState, Purchase},
    ports::{Clock, CloudApi, InstanceListing, ReclaimNotice},
    state::{Action, Instances, LEAVING, LIVE, Observation, ObserveInstances, Sighting},
    wire::{InstanceRecord, LeavingNotice},
};

/// Consecutive lists that an instance must be missing from before it counts as gone; a single
/// incomplete list can be a fault of the API.
const MISSING_LISTS_BEFORE_GONE: u32 = 2;

/// Compares instance lists with the state, and counts the lists that an instance is missing from.
#[derive(Clone, Debug, Default)]
pub struct InstanceTracker {
    /// Consecutive lists that lacked an instance, by name and incarnation.
    missing_counts: BTreeMap<(String, u64), u32>,
}

impl InstanceTracker {
    /// Returns the observations of a list that the state does not have.
    pub fn list_observations(
        &mut self,
        known: &Instances,
        list: &[InstanceListing],
    ) -> Vec<Observation> {
        let records: Vec<_> = list.iter().map(record).collect();
        let seen = records
            .iter()
            .filter(|record| differs(known, record))
            .map(|record| Observation {
                reason: "the instance list shows it".into(),
                sighting: Some(Sighting::Seen(record.clone())),
            })
            .collect();
        self.gone_observations(known, &records, seen)
    }

    fn gone_observations(
        &mut self,
        known: &Instances,
        listed: &[InstanceRecord],
        mut observations: Vec<Observation>,
    ) -> Vec<Observation> {
        let listed: BTreeSet<&str> = listed.iter().map(|record| record.name.as_str()).collect();
        let absentees = known
            .present()
            .filter(|record| !listed.contains(record.name.as_str()))
            .map(|record| (record.name.clone(), record.incarnation));
        let before = std::mem::take(&mut self.missing_counts);
        for absentee in absentees {
            let count = before.get(&absentee).copied().unwrap_or_default() + 1;
            if count < MISSING_LISTS_BEFORE_GONE {
                self.missing_counts.insert(absentee, count);
                continue;
            }
            let (instance, incarnation) = absentee;
            observations.push(Observation {
                reason: format!("{MISSING_LISTS_BEFORE_GONE} instance lists in a row lack it"),
                sighting: Some(Sighting::Gone(LeavingNotice {
                    instance,
                    incarnation,
                })),
            });
        }
        observations
    }
}

/// Returns the observations of reclaim notices that the state does not have.
pub fn notice_observations(known: &Instances, notices: &[ReclaimNotice]) -> Vec<Observation> {
    let notice = |notice: &ReclaimNotice| LeavingNotice {
        instance: notice.instance.to_string(),
        incarnation: notice.incarnation.0,
    };
    notices
        .iter()
        .map(|n| (notice(n), n.remaining))
        .filter(|(notice, _)| !known.is_leaving(notice))
        .map(|(notice, remaining)| Observation {
            reason: format!("the cloud takes it back in {} s", remaining.as_secs()),
            sighting: Some(Sighting::Leaving(notice)),
        })
        .collect()
}

fn differs(known: &Instances, record: &InstanceRecord) -> bool {
    let Some(fact) = known.get(&record.name) else {
        return true;
    };
    let Some(stored) = &fact.record else {
        return true;
    };
    if stored.incarnation != record.incarnation {
        return stored.incarnation < record.incarnation;
    }
    let state = if fact.was_leaving {
        LEAVING
    } else {
        record.state
    };
    *stored
        != InstanceRecord {
            state,
            ..record.clone()
        }
}

fn record(listing: &InstanceListing) -> InstanceRecord {
    InstanceRecord {
        name: listing.name.to_string(),
        incarnation: listing.incarnation.0,
        service: listing.service.to_string(),
        zone: listing.zone.to_string(),
        class: listing.class.0.to_string(),
        reclaimable: listing.purchase == Purchase::Reclaimable,
        address: listing.address.to_string(),
        state: match listing.state {
            InstanceState::Live => LIVE,
            InstanceState::Leaving | InstanceState::Gone => LEAVING,
        },
    }
}

/// Polls the cloud API while this controller leads, until the token is cancelled.
pub(super) async fn run<T: Clock, C: CloudApi>(
    core: Arc<Core<T>>,
    cloud: Arc<C>,
    stop: CancellationToken,
) {
    let tracker = InstanceTracker::default();
    let poll_interval = core.settings.timing.cloud_poll;
    run_periodically(poll_interval, &stop, tracker, |mut tracker| async {
        if !core.leads() {
            return InstanceTracker::default();
        }
        poll(&core, &*cloud, &mut tracker).await;
        tracker
    })
    .await;
}

async fn poll<T: Clock, C: CloudApi>(core: &Core<T>, cloud: &C, tracker: &mut InstanceTracker) {
    let call_timeout = core.settings.timing.view_lease;
    // Notices are urgent, so they do not wait for an instance list that hangs.
    let (notices, list) = tokio::join!(
        async {
            let notices = timeout(call_timeout, cloud.notices()).await;
            if let Ok(Ok(notices)) = &notices {
                let observations = notice_observations(core.log.state().instances(), notices);
                commit(core, observations).await;
            }
            notices.is_ok_and(|notices| notices.is_ok())
        },
        timeout(call_timeout, cloud.instances())
    );
    if !notices {
        log::warn!("controller: reclaim notices could not be read from the cloud API.");
    }
    match list {
        Ok(Ok(list)) => {
            let observations = tracker.list_observations(core.log.state().instances(), &list);
            let term = core.fleet().term();
            commit(core, observations).await;
            core.set_listed_term(term);
        }
        Ok(Err(e)) => log::warn!("controller: the instance list could not be read: {e}."),
        Err(_) => log::warn!("controller: reading the instance list timed out."),
    }
}

async fn commit<T: Clock>(core: &Core<T>, observations: Vec<Observation>) {
    if observations.is_empty() {
        return;
    }
    let action = Action::Observe(ObserveInstances { observations });
    if let Err(e) = core.propose(action).await {
        log::warn!("controller: changes of instances could not be recorded yet: {e}.");
    }
}
