//! A gateway's view of the fleet. A view is replaced as a whole, never changed in place, so that
//! requests read it without a lock.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use super::{
    AccountName, GatewayName, Incarnation, Instance, Intent, Revision, ServiceName, ZoneName,
};

/// Version of a view; a view with a smaller version is never applied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ViewVersion {
    /// Index of the last log entry that the view includes.
    pub index: u64,
    /// The leader's term.
    pub term: u64,
    /// Counts the changes within the term that are not in the log, such as gateway addresses.
    pub sequence: u64,
}

/// A gateway that callers may connect to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayEntry {
    /// Its name.
    pub name: GatewayName,
    /// Grows with each start of the process.
    pub incarnation: Incarnation,
    /// Where it runs.
    pub zone: ZoneName,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where other gateways connect.
    pub peer_address: SocketAddr,
    /// Whether it is shutting down or being reclaimed.
    pub leaving: bool,
}

/// Capacity of a service leased to one gateway for one account, in concurrent requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The service.
    pub service: ServiceName,
    /// The account.
    pub account: AccountName,
    /// Requests that may be in progress at the same time.
    pub slots: u32,
}

/// The configuration in force, the instances, the gateways and this gateway's shares.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Its version.
    pub version: ViewVersion,
    /// The confirmed revision.
    pub revision: Revision,
    /// The confirmed intent.
    pub intent: Arc<Intent>,
    /// The upstream instances that are not gone.
    pub instances: Vec<Arc<Instance>>,
    /// The gateways that callers may use.
    pub gateways: Vec<GatewayEntry>,
    /// This gateway's shares.
    pub shares: Vec<Share>,
    /// The leader's version of the shares; zero before the first shares.
    pub shares_version: u64,
}
