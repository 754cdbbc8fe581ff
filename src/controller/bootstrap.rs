//! Bootstrapping a cluster: asks the other controllers for their member ids and whether their data
//! folders are blank.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::time::sleep;

use super::peers::Peers;
use crate::{
    domain::MemberId,
    replication::{Bootstrap, BootstrapStep, Recovered},
    settings::Settings,
    wire::{Body, MemberQuery, MemberReport},
};

/// Maximum time to wait for a member report.
const MEMBER_QUERY_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two rounds of member queries.
const MEMBER_QUERY_INTERVAL: Duration = Duration::from_millis(50);

/// What a controller reports of its member and data folder.
#[derive(Debug)]
pub struct LocalMember {
    name: Arc<str>,
    id: MemberId,
    controllers: Vec<Arc<str>>,
    blank: AtomicBool,
    leaving: AtomicBool,
}

impl LocalMember {
    /// Creates the report from the settings and what the folder holds.
    pub fn new(settings: &Settings, member: MemberId, recovered: &Recovered) -> Self {
        Self {
            name: Arc::clone(&settings.name),
            id: member,
            controllers: controller_names(settings),
            blank: AtomicBool::new(*recovered == Recovered::default()),
            leaving: AtomicBool::new(false),
        }
    }

    /// Returns the member id that the folder holds.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// Sets whether the folder still holds no log.
    pub fn set_blank(&self, blank: bool) {
        self.blank.store(blank, Ordering::Release);
    }

    /// Marks this controller as about to stop.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Returns whether this controller is about to stop.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Returns the answer to a `MemberQuery`.
    pub fn report(&self) -> MemberReport {
        MemberReport {
            name: self.name.to_string(),
            member: self.id.0,
            blank: self.blank.load(Ordering::Acquire),
            controllers: self.controllers.iter().map(ToString::to_string).collect(),
            leaving: self.is_leaving(),
            ..MemberReport::default()
        }
    }
}

fn controller_names(settings: &Settings) -> Vec<Arc<str>> {
    let entries = settings.controllers.iter();
    entries.map(|entry| Arc::clone(&entry.name)).collect()
}

/// Decides whether this controller bootstraps the cluster. Returns the initial state if it does, or
/// `None` if it continues from its data folder.
pub(super) async fn form_cluster(
    settings: &Settings,
    member: MemberId,
    recovered: &Recovered,
    peers: &Peers,
) -> Option<Recovered> {
    let host = settings.peer_address.ip();
    let is_seed = settings.seeds.is_empty() || settings.seeds.iter().any(|seed| seed.ip() == host);
    if !settings.bootstrap || !is_seed {
        return None;
    }
    let name = Arc::clone(&settings.name);
    let mut bootstrap = Bootstrap::new(member, name, controller_names(settings), recovered);
    loop {
        let missing = match bootstrap.next_step() {
            BootstrapStep::FormCluster(first) => return Some(first),
            BootstrapStep::StartReplica => return None,
            BootstrapStep::QueryMembers(missing) => missing,
        };
        for name in missing {
            let query = Body::MemberQuery(MemberQuery::default());
            if let Ok(Body::MemberReport(report)) =
                peers.call(&name, query, MEMBER_QUERY_TIMEOUT).await
            {
                peers.set_controller(MemberId(report.member), &name);
                bootstrap.receive_report(&report);
            }
        }
        sleep(MEMBER_QUERY_INTERVAL).await;
    }
}
