//! Forming the first cluster without operator action.
//!
//! Only the controller with the smallest name may form a cluster, and only after *every* controller
//! in the settings has reported a blank data folder: one that has neither stored an entry nor a vote.
//! The members are identified by their folders' random identifiers, so an emptied folder comes back as an
//! unknown member: it finds a folder that is not blank, or one that does not answer, and never forms a
//! second cluster. The other controllers run a [`super::Replica`] on their blank folder, which never
//! starts an election and gets its state from the leader.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use super::{HardState, Recovered, Replica, Snapshot};
use crate::{
    domain::MemberId,
    wire::{MemberReport, MembershipRecord},
};

/// Index and term of the snapshot that holds the initial membership. They are not zero, so that a member
/// that joins later receives this snapshot and not only the entries after it.
const FIRST_INDEX_AND_TERM: u64 = FIRST_SNAPSHOT_INDEX;
/// Index of the only snapshot that may be without a state: the one that forms a cluster.
pub const FIRST_SNAPSHOT_INDEX: u64 = 1;

/// The next action of the bootstrap procedure.
#[derive(Clone, Debug, PartialEq)]
pub enum BootstrapStep {
    /// Send a `MemberQuery` to these controllers and give the answers to [`Bootstrap::receive_report`];
    /// repeat it until something else is returned.
    QueryMembers(Vec<Arc<str>>),
    /// Persist this hard state and snapshot, then create a [`Replica`] from them.
    FormCluster(Recovered),
    /// Create a [`Replica`] from the folder's contents.
    StartReplica,
}

/// Decides whether a controller forms the first cluster.
///
/// On start, open the log store, create a `Bootstrap` and follow [`Bootstrap::next_step`] until it returns
/// `FormCluster` or `StartReplica`. Answer every `MemberQuery`: with [`Bootstrap::report`] before the
/// replica exists, and with [`Bootstrap::report_for`] afterwards.
#[derive(Debug)]
pub struct Bootstrap {
    own_id: MemberId,
    name: Arc<str>,
    controllers: BTreeSet<Arc<str>>,
    blank: bool,
    reports: BTreeMap<Arc<str>, MemberId>,
    found_existing_data: bool,
}

impl Bootstrap {
    /// Creates it from the folder's contents and the names of all controllers in the settings.
    pub fn new(
        own_id: MemberId,
        name: Arc<str>,
        controllers: impl IntoIterator<Item = Arc<str>>,
        recovered: &Recovered,
    ) -> Self {
        Self {
            own_id,
            reports: BTreeMap::from([(Arc::clone(&name), own_id)]),
            name,
            controllers: controllers.into_iter().collect(),
            blank: *recovered == Recovered::default(),
            found_existing_data: false,
        }
    }

    /// Handles a report. A folder that is not blank rules out forming a cluster. A report from a controller
    /// whose settings list other controllers does not count.
    pub fn receive_report(&mut self, report: &MemberReport) {
        let theirs: BTreeSet<&str> = report.controllers.iter().map(String::as_str).collect();
        let same = theirs == self.controllers.iter().map(AsRef::as_ref).collect();
        let Some(name) = self.controllers.get(report.name.as_str()) else {
            return;
        };
        self.found_existing_data |= !report.blank;
        if same {
            self.reports
                .insert(Arc::clone(name), MemberId(report.member));
        }
    }

    /// Returns what to do next.
    pub fn next_step(&self) -> BootstrapStep {
        let first = self.controllers.first();
        if !self.blank || self.found_existing_data || first != Some(&self.name) {
            return BootstrapStep::StartReplica;
        }
        let missing: Vec<Arc<str>> = self
            .controllers
            .iter()
            .filter(|name| !self.reports.contains_key(*name))
            .cloned()
            .collect();
        if !missing.is_empty() {
            return BootstrapStep::QueryMembers(missing);
        }
        BootstrapStep::FormCluster(self.initial_state())
    }

    /// Returns the answer to a `MemberQuery` before the replica exists.
    pub fn report(&self) -> MemberReport {
        self.report_with(self.blank)
    }

    /// Returns the answer to a `MemberQuery` once the replica exists.
    pub fn report_for(&self, replica: &Replica) -> MemberReport {
        self.report_with(replica.is_blank())
    }

    fn report_with(&self, blank: bool) -> MemberReport {
        MemberReport {
            name: self.name.to_string(),
            member: self.own_id.0,
            blank,
            controllers: self.controllers.iter().map(ToString::to_string).collect(),
            ..MemberReport::default()
        }
    }

    fn initial_state(&self) -> Recovered {
        let mut voters: Vec<u64> = self.reports.values().map(|id| id.0).collect();
        voters.sort_unstable();
        Recovered {
            hard_state: HardState {
                term: FIRST_INDEX_AND_TERM,
                vote: None,
            },
            snapshot: Snapshot {
                index: FIRST_INDEX_AND_TERM,
                term: FIRST_INDEX_AND_TERM,
                membership: MembershipRecord {
                    voters,
                    learners: Vec::new(),
                },
                ..Snapshot::default()
            },
            entries: Vec::new(),
        }
    }
}
