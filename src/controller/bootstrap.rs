//! Forming the first cluster: asks the other controllers which data folders they have.

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

/// Longest wait for an answer.
const MEMBER_QUERY_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two rounds of questions.
const MEMBER_QUERY_INTERVAL: Duration = Duration::from_millis(50);

/// What a controller says of its data folder.
#[derive(Debug)]
pub struct LocalMember {
    name: Arc<str>,
    id: MemberId,
    controllers: Vec<Arc<str>>,
    blank: AtomicBool,
}

impl LocalMember {
    /// Makes a card from what the folder holds.
    pub fn new(settings: &Settings, member: MemberId, recovered: &Recovered) -> Self {
        Self {
            name: Arc::clone(&settings.name),
            id: member,
            controllers: controller_names(settings),
            blank: AtomicBool::new(*recovered == Recovered::default()),
        }
    }

    /// Returns the member id of the folder.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// Notes whether the folder still holds nothing.
    pub fn set_blank(&self, blank: bool) {
        self.blank.store(blank, Ordering::Release);
    }

    /// Returns the answer to a `MemberQuery`.
    pub fn report(&self) -> MemberReport {
        MemberReport {
            name: self.name.to_string(),
            member: self.id.0,
            blank: self.blank.load(Ordering::Acquire),
            controllers: self.controllers.iter().map(ToString::to_string).collect(),
            known: Vec::new(),
        }
    }
}

fn controller_names(settings: &Settings) -> Vec<Arc<str>> {
    let entries = settings.controllers.iter();
    entries.map(|entry| Arc::clone(&entry.name)).collect()
}

/// Decides whether this controller forms the first cluster; returns what it then starts from, or
/// nothing if it goes on from its folder.
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
                bootstrap.receive(&report);
            }
        }
        sleep(MEMBER_QUERY_INTERVAL).await;
    }
}
