//! The gateways as the leader knows them: who holds a lease, until when, and on which view.
//! It lives in the leader's memory and is rebuilt from heartbeats, so a new leader judges nobody
//! before one lease has passed.

use std::{collections::BTreeMap, time::Duration};

use super::held::HeldShares;
use crate::{
    policy::allocate::Allocation,
    wire::{Demand, GatewayHeartbeat, GatewayRecord, LeaseReply, ShareRecord},
};

/// Replies in a row that repeat changed shares, because a reply can be lost.
const SHARE_REPEATS: u32 = 3;
/// Replies after which unchanged shares are sent again.
const SHARE_REFRESH: u32 = 16;
/// Versions of shares that one term has room for, in bits.
const SHARE_VERSION_BITS: u32 = 32;

/// A lease that may still be in force at a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Grant {
    required_index: u64,
    until: Duration,
}

impl Grant {
    /// Whether it allows work on a view before an index.
    fn allows(&self, now: Duration, index: u64) -> bool {
        self.required_index < index && self.until > now
    }
}

/// A registered gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// What it says of itself.
    pub record: GatewayRecord,
    /// Log index of the view in force there.
    pub view_index: u64,
    /// What its callers ask for.
    pub demand: Vec<Demand>,
    heard_at: Duration,
    grants: Vec<Grant>,
    shares: HeldShares,
    replies_since_change: u32,
}

impl Member {
    fn grant(&mut self, now: Duration, lease: Duration, required_index: u64) {
        self.grants
            .retain(|grant| grant.until > now && grant.required_index != required_index);
        self.grants.push(Grant {
            required_index,
            until: now + lease,
        });
    }

    /// Whether it takes no new work on a view before an index.
    fn settled(&self, now: Duration, index: u64) -> bool {
        self.view_index >= index || !self.grants.iter().any(|grant| grant.allows(now, index))
    }

    fn reply(&mut self, lease: Duration, required_index: u64) -> LeaseReply {
        let count = self.replies_since_change;
        self.replies_since_change += 1;
        let shares_changed = count < SHARE_REPEATS || count.is_multiple_of(SHARE_REFRESH);
        let (shares_version, newest) = self.shares.newest();
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

/// A gateway incarnation that holds no lease any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lost {
    /// The gateway.
    pub gateway: String,
    /// The incarnation.
    pub incarnation: u64,
}

/// Why a heartbeat got no lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// The heartbeat names no gateway, or its addresses are not addresses.
    #[error("the heartbeat is malformed; send the gateway's name, zone and addresses")]
    Malformed,
    /// A later start of the same gateway is registered.
    #[error("a newer incarnation of this gateway is registered; stop this process")]
    OldIncarnation,
}

/// How far a confirmed index has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Gateways whose view includes the index.
    pub in_force: u32,
    /// Gateways in all.
    pub gateways: u32,
    /// Whether no gateway takes new work on an older view.
    pub everywhere: bool,
}

/// The registry of gateways.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    lease: Duration,
    term: u64,
    led_since: Duration,
    sequence: u64,
    shares_sent: u64,
    members: BTreeMap<String, Member>,
    replaced: Vec<Lost>,
    /// Leases of replaced incarnations, whose processes may have been stopped and go on.
    former: Vec<Grant>,
}

impl Fleet {
    /// Makes an empty registry.
    pub fn new(lease: Duration) -> Self {
        Self {
            lease,
            ..Self::default()
        }
    }

    /// Starts anew for a term that this controller leads.
    pub fn lead(&mut self, term: u64, now: Duration) {
        *self = Self {
            lease: self.lease,
            term,
            led_since: now,
            ..Self::default()
        };
    }

    /// Returns the term that the registry belongs to.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the count of changes within the term; zero before the first gateway.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns whether every gateway with a lease of an earlier leader has been heard or has lost it.
    pub fn is_complete(&self, now: Duration) -> bool {
        now >= self.led_since + self.lease
    }

    /// Returns the registered gateways.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns whether an incarnation is registered.
    pub fn holds(&self, gateway: &str, incarnation: u64) -> bool {
        self.members
            .get(gateway)
            .is_some_and(|member| member.record.incarnation == incarnation)
    }

    /// Takes a heartbeat and grants a lease on views from `required_index` on.
    pub fn hear(
        &mut self,
        now: Duration,
        heartbeat: &GatewayHeartbeat,
        required_index: u64,
    ) -> Result<LeaseReply, Refused> {
        let record = heartbeat.gateway.as_ref().ok_or(Refused::Malformed)?;
        let known = self.members.get(&record.name);
        if known.is_some_and(|member| member.record.incarnation > record.incarnation) {
            return Err(Refused::OldIncarnation);
        }
        if known.is_none_or(|member| member.record != *record) {
            self.register(now, record)?;
        }
        let lease = self.lease;
        let member = self
            .members
            .get_mut(&record.name)
            .ok_or(Refused::Malformed)?;
        member.heard_at = now;
        member.view_index = heartbeat.view_index;
        member.demand = heartbeat.demand.clone();
        member.shares.confirm(heartbeat.shares_version);
        member.grant(now, lease, required_index);
        Ok(member.reply(lease, required_index))
    }

    fn register(&mut self, now: Duration, record: &GatewayRecord) -> Result<(), Refused> {
        let addresses = [&record.caller_address, &record.peer_address];
        let valid = |address: &&String| address.parse::<std::net::SocketAddr>().is_ok();
        if record.name.is_empty() || !addresses.iter().all(valid) {
            return Err(Refused::Malformed);
        }
        self.sequence += 1;
        let same = self
            .members
            .get_mut(&record.name)
            .filter(|member| member.record.incarnation == record.incarnation);
        if let Some(member) = same {
            member.record = record.clone();
            return Ok(());
        }
        let member = Member {
            record: record.clone(),
            view_index: 0,
            demand: Vec::new(),
            heard_at: now,
            grants: Vec::new(),
            shares: HeldShares::default(),
            replies_since_change: 0,
        };
        if let Some(old) = self.members.insert(record.name.clone(), member) {
            self.former.retain(|grant| grant.until > now);
            self.former.extend(old.grants);
            self.replaced.push(Lost {
                gateway: old.record.name,
                incarnation: old.record.incarnation,
            });
        }
        Ok(())
    }

    /// Removes the gateways whose lease is over and returns them, with the incarnations that newer
    /// ones replaced.
    pub fn take_lost(&mut self, now: Duration) -> Vec<Lost> {
        let mut lost = std::mem::take(&mut self.replaced);
        let lease = self.lease;
        let over: Vec<_> = self
            .members
            .values()
            .filter(|member| member.heard_at + lease < now)
            .map(|member| Lost {
                gateway: member.record.name.clone(),
                incarnation: member.record.incarnation,
            })
            .collect();
        for gone in &over {
            self.members.remove(&gone.gateway);
            self.sequence += 1;
        }
        lost.extend(over);
        lost
    }

    /// Sets the shares of a gateway; they travel with its next leases.
    pub fn share(&mut self, gateway: &str, shares: Vec<ShareRecord>) {
        let Some(member) = self.members.get_mut(gateway) else {
            return;
        };
        let (_, newest) = member.shares.newest();
        if newest == shares {
            return;
        }
        self.shares_sent += 1;
        let version = (self.term << SHARE_VERSION_BITS) + self.shares_sent;
        member.shares.send(version, shares);
        member.replies_since_change = 0;
    }

    /// Returns the shares that gateways with a lease may still use, the largest where a smaller one
    /// is not confirmed yet.
    pub fn held_shares(&self) -> Vec<Allocation> {
        self.members()
            .flat_map(|member| member.shares.allocations(&member.record.name))
            .collect()
    }

    /// Returns how far an index has come. `led_term` is the term that this controller leads with a
    /// lease of its own. The registry of another term knows nothing of the leases that were granted
    /// since, so that nothing is in force everywhere by it.
    pub fn progress(&self, now: Duration, index: u64, led_term: Option<u64>) -> Progress {
        let count = |members: usize| u32::try_from(members).unwrap_or(u32::MAX);
        let in_force = self.members().filter(|m| m.view_index >= index).count();
        Progress {
            in_force: count(in_force),
            gateways: count(self.members.len()),
            everywhere: led_term == Some(self.term)
                && self.is_complete(now)
                && self.members().all(|m| m.settled(now, index))
                && !self.former.iter().any(|grant| grant.allows(now, index)),
        }
    }
}
