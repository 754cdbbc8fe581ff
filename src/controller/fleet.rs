//! The leader's registry of gateways: which gateway holds a lease, until when, and for which view.
//! The registry is kept in memory and rebuilt from heartbeats, so a new leader draws no conclusion
//! about absent gateways until one lease duration has passed.

use std::{collections::BTreeMap, time::Duration};

use super::outstanding_shares::OutstandingShares;
use crate::{
    policy::allocate::Allocation,
    wire::{Demand, GatewayHeartbeat, GatewayRecord, LeaseReply, ShareRecord},
};

/// Consecutive replies that carry changed shares, because a reply can be lost.
const CHANGED_SHARES_REPEATS: u32 = 3;
/// Number of replies after which unchanged shares are sent again.
const SHARES_REFRESH_REPLIES: u32 = 16;
/// Low bits of a share version that count within a term; the high bits are the term.
const SHARE_VERSION_BITS: u32 = 32;

/// A lease that may still be in force at a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct GrantedLease {
    required_index: u64,
    until: Duration,
}

impl GrantedLease {
    /// Returns whether the lease permits new work on a view older than `index`.
    fn permits_before(&self, now: Duration, index: u64) -> bool {
        self.required_index < index && self.until > now
    }
}

/// A registered gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct RegisteredGateway {
    /// The record that the gateway last sent.
    pub record: GatewayRecord,
    /// Log index of the view that the gateway uses.
    pub view_index: u64,
    /// Demand of the gateway's callers.
    pub demand: Vec<Demand>,
    last_heartbeat_at: Duration,
    leases: Vec<GrantedLease>,
    shares: OutstandingShares,
    replies_since_change: u32,
}

impl RegisteredGateway {
    fn grant(&mut self, now: Duration, lease: Duration, required_index: u64) {
        self.leases
            .retain(|granted| granted.until > now && granted.required_index != required_index);
        self.leases.push(GrantedLease {
            required_index,
            until: now + lease,
        });
    }

    /// Returns whether the gateway accepts no new work on a view older than `index`.
    fn has_reached(&self, now: Duration, index: u64) -> bool {
        self.view_index >= index
            || !self
                .leases
                .iter()
                .any(|granted| granted.permits_before(now, index))
    }

    fn reply(&mut self, lease: Duration, required_index: u64) -> LeaseReply {
        let count = self.replies_since_change;
        self.replies_since_change += 1;
        let shares_changed =
            count < CHANGED_SHARES_REPEATS || count.is_multiple_of(SHARES_REFRESH_REPLIES);
        let (shares_version, newest) = self.shares.latest();
        let shares = if shares_changed {
            newest.to_vec()
        } else {
            Vec::new()
        };
        LeaseReply {
            lease_ms: u64::try_from(lease.as_millis()).unwrap_or(u64::MAX),
            required_index,
            shares,
            shares_changed,
            shares_version,
        }
    }
}

/// A gateway incarnation whose lease expired or that a newer incarnation replaced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostGateway {
    /// Name of the gateway.
    pub name: String,
    /// Its incarnation.
    pub incarnation: u64,
}

/// Why a heartbeat was refused a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeartbeatError {
    /// The heartbeat has no gateway name, or an address does not parse.
    #[error("the heartbeat is malformed; send the gateway's name, zone and addresses")]
    Malformed,
    /// A newer incarnation of the same gateway is registered.
    #[error("a newer incarnation of this gateway is registered; stop this process")]
    OldIncarnation,
}

/// How many gateways use the view of a confirmed index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Gateways whose view includes the index.
    pub in_force: u32,
    /// All registered gateways.
    pub gateways: u32,
    /// Whether no gateway accepts new work on an older view.
    pub everywhere: bool,
}

/// The registry of gateways.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    lease: Duration,
    term: u64,
    term_started_at: Duration,
    sequence: u64,
    share_sequence: u64,
    gateways: BTreeMap<String, RegisteredGateway>,
    replaced: Vec<LostGateway>,
    /// Leases of replaced incarnations; such a process may only have been suspended and can resume.
    replaced_leases: Vec<GrantedLease>,
}

impl Fleet {
    /// Creates an empty registry that grants leases of the given duration.
    pub fn new(lease: Duration) -> Self {
        Self {
            lease,
            ..Self::default()
        }
    }

    /// Clears the registry for a term that this controller leads.
    pub fn start_term(&mut self, term: u64, now: Duration) {
        *self = Self {
            lease: self.lease,
            term,
            term_started_at: now,
            ..Self::default()
        };
    }

    /// Returns the term that the registry belongs to.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the number of changes in this term; zero until the first gateway registers.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns whether every lease of an earlier leader has been renewed here or has expired.
    pub fn is_complete(&self, now: Duration) -> bool {
        now >= self.term_started_at + self.lease
    }

    /// Returns the registered gateways.
    pub fn gateways(&self) -> impl Iterator<Item = &RegisteredGateway> {
        self.gateways.values()
    }

    /// Returns whether an incarnation is registered.
    pub fn is_registered(&self, gateway: &str, incarnation: u64) -> bool {
        self.gateways
            .get(gateway)
            .is_some_and(|registered| registered.record.incarnation == incarnation)
    }

    /// Records a heartbeat and grants a lease for views from `required_index` on.
    ///
    /// # Errors
    ///
    /// Fails if the heartbeat is malformed or comes from an older incarnation.
    pub fn handle_heartbeat(
        &mut self,
        now: Duration,
        heartbeat: &GatewayHeartbeat,
        required_index: u64,
    ) -> Result<LeaseReply, HeartbeatError> {
        let record = heartbeat
            .gateway
            .as_ref()
            .ok_or(HeartbeatError::Malformed)?;
        let known = self.gateways.get(&record.name);
        if known.is_some_and(|registered| registered.record.incarnation > record.incarnation) {
            return Err(HeartbeatError::OldIncarnation);
        }
        if known.is_none_or(|registered| registered.record != *record) {
            self.register(now, record)?;
        }
        let lease = self.lease;
        let registered = self
            .gateways
            .get_mut(&record.name)
            .ok_or(HeartbeatError::Malformed)?;
        registered.last_heartbeat_at = now;
        registered.view_index = heartbeat.view_index;
        registered.demand = heartbeat.demand.clone();
        registered.shares.confirm(heartbeat.shares_version);
        registered.grant(now, lease, required_index);
        Ok(registered.reply(lease, required_index))
    }

    fn register(&mut self, now: Duration, record: &GatewayRecord) -> Result<(), HeartbeatError> {
        let addresses = [&record.caller_address, &record.peer_address];
        let valid = |address: &&String| address.parse::<std::net::SocketAddr>().is_ok();
        if record.name.is_empty() || !addresses.iter().all(valid) {
            return Err(HeartbeatError::Malformed);
        }
        self.sequence += 1;
        let existing = self
            .gateways
            .get_mut(&record.name)
            .filter(|registered| registered.record.incarnation == record.incarnation);
        if let Some(registered) = existing {
            registered.record = record.clone();
            return Ok(());
        }
        let registered = RegisteredGateway {
            record: record.clone(),
            view_index: 0,
            demand: Vec::new(),
            last_heartbeat_at: now,
            leases: Vec::new(),
            shares: OutstandingShares::default(),
            replies_since_change: 0,
        };
        if let Some(old) = self.gateways.insert(record.name.clone(), registered) {
            self.replaced_leases.retain(|granted| granted.until > now);
            self.replaced_leases.extend(old.leases);
            self.replaced.push(LostGateway {
                name: old.record.name,
                incarnation: old.record.incarnation,
            });
        }
        Ok(())
    }

    /// Removes the gateways whose lease has expired. Returns them together with the incarnations that
    /// newer ones have replaced since the last call.
    pub fn remove_lost(&mut self, now: Duration) -> Vec<LostGateway> {
        let mut lost = std::mem::take(&mut self.replaced);
        let lease = self.lease;
        let expired: Vec<_> = self
            .gateways
            .values()
            .filter(|registered| registered.last_heartbeat_at + lease < now)
            .map(|registered| LostGateway {
                name: registered.record.name.clone(),
                incarnation: registered.record.incarnation,
            })
            .collect();
        for gateway in &expired {
            self.gateways.remove(&gateway.name);
            self.sequence += 1;
        }
        lost.extend(expired);
        lost
    }

    /// Sets the shares of a gateway; they are sent with its next lease replies.
    pub fn set_shares(&mut self, gateway: &str, shares: Vec<ShareRecord>) {
        let Some(registered) = self.gateways.get_mut(gateway) else {
            return;
        };
        let (_, newest) = registered.shares.latest();
        if newest == shares {
            return;
        }
        self.share_sequence += 1;
        let version = (self.term << SHARE_VERSION_BITS) + self.share_sequence;
        registered.shares.record_sent(version, shares);
        registered.replies_since_change = 0;
    }

    /// Returns the shares that registered gateways may still use: the largest ones where a smaller
    /// share is not confirmed yet.
    pub fn outstanding_shares(&self) -> Vec<Allocation> {
        self.gateways()
            .flat_map(|registered| registered.shares.max_allocations(&registered.record.name))
            .collect()
    }

    /// Returns how many gateways use the view of `index`. `led_term` is the term that this controller
    /// leads under its own lease. A registry of another term lacks the leases granted since, so it
    /// never reports that a view is in force everywhere.
    pub fn progress(&self, now: Duration, index: u64, led_term: Option<u64>) -> Progress {
        let count = |gateways: usize| u32::try_from(gateways).unwrap_or(u32::MAX);
        let in_force = self
            .gateways()
            .filter(|gateway| gateway.view_index >= index)
            .count();
        Progress {
            in_force: count(in_force),
            gateways: count(self.gateways.len()),
            everywhere: led_term == Some(self.term)
                && self.is_complete(now)
                && self
                    .gateways()
                    .all(|gateway| gateway.has_reached(now, index))
                && !self
                    .replaced_leases
                    .iter()
                    .any(|granted| granted.permits_before(now, index)),
        }
    }
}
