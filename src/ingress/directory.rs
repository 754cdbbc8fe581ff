//! Which addresses callers get.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use super::Core;
use crate::{
    ports::{Clock, Platform},
    wire::IngressRecord,
};

/// Most addresses in one answer.
const MAX_ADDRESSES: usize = 64;
/// Open gateways in the caller's zone from which on the other zones are left out.
const MIN_GATEWAYS_IN_ZONE: usize = 2;

/// What callers may ask of a gateway besides requests.
#[derive(Clone)]
pub struct Directory {
    source: Arc<dyn DirectorySource>,
}

/// What a directory is asked of; it hides the types that the gateway's core depends on.
trait DirectorySource: Send + Sync {
    fn gateways(&self) -> Arc<Vec<IngressRecord>>;
    fn own(&self) -> IngressRecord;
    fn ttl(&self) -> Duration;
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

    /// Returns how long callers may keep an answer.
    pub fn ttl(&self) -> Duration {
        self.source.ttl()
    }

    /// Returns the addresses for a caller in a zone.
    pub fn addresses(&self, zone: &str) -> Vec<SocketAddr> {
        select_addresses(&self.source.gateways(), &self.source.own(), zone)
    }
}

/// Returns the open gateways of the zone, or of all zones if there are too few. What this gateway
/// knows of itself goes before what the controllers last said of it.
pub(super) fn select_addresses(
    gateways: &[IngressRecord],
    own: &IngressRecord,
    zone: &str,
) -> Vec<SocketAddr> {
    let others = gateways.iter().filter(|gateway| gateway.name != own.name);
    let open: Vec<_> = others.chain([own]).filter(|gateway| gateway.open).collect();
    let in_zone = open.iter().filter(|gateway| gateway.zone == zone).count();
    open.iter()
        .filter(|gateway| in_zone < MIN_GATEWAYS_IN_ZONE || gateway.zone == zone)
        .filter_map(|gateway| gateway.caller_address.parse().ok())
        .take(MAX_ADDRESSES)
        .collect()
}
