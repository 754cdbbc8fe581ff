//! Metrics of a controller that publishes routes; docs/METRICS.md lists them.

use std::sync::Arc;

use super::{core::Core, membership};
use crate::{
    policy::members::voters_needed,
    ports::Clock,
    replication::MemberChange,
    telemetry::{Counter, Metrics},
};

/// Counters of the calls to the platform that a duty makes.
#[derive(Debug)]
pub(super) struct DutyCounters {
    /// Calls that succeeded.
    pub(super) done: Counter,
    /// Calls that the platform refused or did not answer.
    pub(super) failed: Counter,
}

impl DutyCounters {
    /// Creates the counters of a duty. Call it only once per duty in a process.
    pub(super) fn new(metrics: &Metrics, duty: &'static str) -> Self {
        let counter = |outcome| {
            let labels = [("duty", duty), ("outcome", outcome)];
            metrics.register_labelled_counter("controller_duty_calls", "Calls of duties.", &labels)
        };
        Self {
            done: counter("done"),
            failed: counter("failed"),
        }
    }
}

/// Counters of the member changes that this controller made as leader.
#[derive(Debug)]
pub(super) struct MemberChangeCounters {
    added: Counter,
    promoted: Counter,
    removed: Counter,
}

impl MemberChangeCounters {
    /// Creates the counters. Call it only once in a process.
    pub(super) fn new(metrics: &Metrics) -> Self {
        let counter = |change| {
            let help = "Member changes made as leader.";
            let labels = [("change", change)];
            metrics.register_labelled_counter("controller_member_changes", help, &labels)
        };
        Self {
            added: counter("added"),
            promoted: counter("promoted"),
            removed: counter("removed"),
        }
    }

    /// Counts a change.
    pub(super) fn count(&self, change: MemberChange) {
        match change {
            MemberChange::AddLearner(_) => self.added.increment(),
            MemberChange::Promote(_) => self.promoted.increment(),
            MemberChange::Remove(_) => self.removed.increment(),
        }
    }
}

/// Registers the gauges of the controller's role, log, gateways and duties.
pub(super) fn register_gauges<T: Clock>(core: &Arc<Core<T>>) {
    let gauge = |name, help, read: fn(&Core<T>) -> u64| {
        let core = Arc::clone(core);
        core.metrics
            .clone()
            .register_gauge(name, help, move || read(&core));
    };
    gauge(
        "controller_leads",
        "Whether this controller leads.",
        |core| u64::from(core.leads()),
    );
    gauge(
        "controller_quarantined",
        "Causes of crashes whose requests gateways refuse.",
        |core| core.followers().crashes().quarantined_count(core.now()) as u64,
    );
    gauge(
        "controller_stream_origins",
        "Streams whose origin this controller remembers.",
        |core| core.origins().len() as u64,
    );
    gauge("controller_term", "Newest term of the log.", |core| {
        core.log.status().term
    });
    gauge(
        "controller_committed_index",
        "Last committed index of the log.",
        |core| core.log.status().commit,
    );
    gauge(
        "controller_voters_missing",
        "Voters missing that the tolerated losses want.",
        |core| {
            let wanted = voters_needed(core.settings.tolerated_losses);
            wanted.saturating_sub(core.log.status().membership.voters.len()) as u64
        },
    );
    gauge(
        "controller_losses_borne",
        "Further voters that may be lost while a majority remains, as the leader knows; zero elsewhere.",
        |core| match core.leads() {
            true => membership::members(core).losses_borne() as u64,
            false => 0,
        },
    );
    gauge(
        "controller_table_version",
        "Version of the published table in the log.",
        |core| core.log.state().published().version,
    );
    gauge("controller_gateways", "Gateways heard of lately.", |core| {
        core.followers().active_count(core.now()) as u64
    });
    gauge(
        "controller_upstreams",
        "Upstreams in the list read last.",
        |core| core.followers().upstream_list().rows().len() as u64,
    );
    gauge(
        "controller_list_rejected",
        "Entries of the list read last that name no upstream.",
        |core| core.followers().upstream_list().rejected() as u64,
    );
    gauge(
        "controller_list_age_seconds",
        "Time since the leader last read a whole list.",
        |core| match core.leads() {
            true => core.followers().upstream_list().age(core.now()).as_secs(),
            false => 0,
        },
    );
    let held = Arc::clone(core);
    core.metrics.register_labelled_gauge(
        "controller_duty_fence",
        "Fencing number of each duty that this controller holds.",
        "duty",
        move || {
            let duties = held.duties();
            let fences = duties.iter();
            fences
                .map(|(duty, fence)| ((*duty).to_owned(), fence.0 as f64))
                .collect()
        },
    );
}
