//! Selects the gateway addresses that callers are given.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use super::Core;
use crate::{
    policy::{capacity, connections::max_endpoint_connections},
    ports::{Clock, Platform},
    wire::IngressRecord,
};

/// Maximum number of addresses in one response.
const MAX_ADDRESSES: usize = 64;
/// Number of open gateways in the caller's zone from which on gateways of other zones are left out.
const MIN_GATEWAYS_IN_ZONE: usize = 2;

/// Read access to a gateway's readiness and to the addresses for callers.
#[derive(Clone)]
pub struct Directory {
    source: Arc<dyn DirectorySource>,
}

/// Source of a directory's data; hides the type parameters of the gateway's core.
trait DirectorySource: Send + Sync {
    fn gateways(&self) -> Arc<Vec<IngressRecord>>;
    fn own(&self) -> IngressRecord;
    fn ttl(&self) -> Duration;
    fn max_connections(&self) -> usize;
}

impl<P: Platform, T: Clock> DirectorySource for Core<P, T> {
    fn gateways(&self) -> Arc<Vec<IngressRecord>> {
        self.roster.load_full()
    }

    fn own(&self) -> IngressRecord {
        self.record()
    }

    fn ttl(&self) -> Duration {
        self.settings.timing.address_ttl
    }

    fn max_connections(&self) -> usize {
        let machine = self.settings.machine.clone().unwrap_or_default();
        max_endpoint_connections(machine.descriptors, machine.memory_mb)
    }
}

impl fmt::Debug for Directory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Directory")
    }
}

impl Directory {
    pub(super) fn new<P: Platform, T: Clock>(core: &Arc<Core<P, T>>) -> Self {
        Self {
            source: Arc::clone(core) as Arc<dyn DirectorySource>,
        }
    }

    /// Returns whether callers should connect to this gateway.
    pub fn is_open(&self) -> bool {
        self.source.own().open
    }

    /// Returns how long callers may cache the addresses.
    pub fn ttl(&self) -> Duration {
        self.source.ttl()
    }

    /// Returns how many connections an endpoint that serves this directory keeps.
    pub fn max_connections(&self) -> usize {
        self.source.max_connections()
    }

    /// Returns the gateway addresses for a caller in a zone.
    pub fn addresses(&self, zone: &str) -> Vec<SocketAddr> {
        select_addresses(
            &self.source.gateways(),
            &self.source.own(),
            zone,
            rand::random(),
        )
    }
}

/// Returns addresses of open gateways in the zone, or in all zones if the zone has too few, drawn by the
/// gateways' capacities; `draw` is a random number, uniform between zero and one. This gateway's own record
/// takes precedence over the controllers' last record of it.
pub fn select_addresses(
    gateways: &[IngressRecord],
    own: &IngressRecord,
    zone: &str,
    draw: f64,
) -> Vec<SocketAddr> {
    let others = gateways.iter().filter(|gateway| gateway.name != own.name);
    let open: Vec<_> = others.chain([own]).filter(|gateway| gateway.open).collect();
    let in_zone = open.iter().filter(|gateway| gateway.zone == zone).count();
    let usable: Vec<(SocketAddr, u32)> = open
        .iter()
        .filter(|gateway| in_zone < MIN_GATEWAYS_IN_ZONE || gateway.zone == zone)
        .filter_map(|gateway| Some((gateway.caller_address.parse().ok()?, gateway.capacity)))
        .collect();
    let capacities: Vec<u32> = usable.iter().map(|(_, capacity)| *capacity).collect();
    let drawn = capacity::draw(&capacities, MAX_ADDRESSES, draw).into_iter();
    drawn.map(|index| usable[index].0).collect()
}
