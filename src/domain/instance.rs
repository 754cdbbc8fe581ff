//! Upstream instances, as shown by the instance list, the reclaim notices and their own reports.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{Incarnation, InstanceName, ServiceName, ZoneName};

/// How an instance is paid for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Purchase {
    /// Cheaper; the cloud may reclaim it on a few seconds' notice.
    Reclaimable,
    /// Full price; runs until it fails or is stopped.
    OnDemand,
}

/// The cloud's name for a kind of machine, such as `gpu-8`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MachineClass(pub std::sync::Arc<str>);

/// Whether an instance may get new work. An incarnation that is `Leaving` never becomes `Live`
/// again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// Takes new work.
    Live,
    /// Finishes its work and gets nothing new.
    Leaving,
    /// Removed from the instance list.
    Gone,
}

/// One upstream instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The cloud's name for it.
    pub name: InstanceName,
    /// Distinguishes a replacement with the same name.
    pub incarnation: Incarnation,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it runs.
    pub zone: ZoneName,
    /// Its kind of machine.
    pub class: MachineClass,
    /// How it is paid for.
    pub purchase: Purchase,
    /// Where it accepts HTTP connections.
    pub address: SocketAddr,
    /// Whether it may get new work.
    pub state: InstanceState,
}
