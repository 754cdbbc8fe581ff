//! Claims: the exclusive right of one attempt to dispatch a non-idempotent call.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use super::command::ClaimCommand;
use crate::{
    domain::IdempotencyKey,
    wire::{ClaimReply, ClaimRequest, ClaimStatus, OutcomeRequest, ReleaseRequest, StoredOutcome},
};

/// The state of a recorded claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Standing {
    /// Its attempt may dispatch.
    Open = 0,
    /// Its attempt released it without dispatching.
    Released = 1,
    /// Its outcome is recorded.
    Done = 2,
    /// The call may have been executed, but its outcome was lost.
    Unknown = 3,
}

/// A recorded claim.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ClaimRecord {
    /// The claim as its holder requested it.
    #[prost(message, optional, tag = "1")]
    pub request: Option<ClaimRequest>,
    /// The state of the claim.
    #[prost(enumeration = "Standing", tag = "2")]
    pub standing: i32,
    /// The recorded outcome, if there is one.
    #[prost(message, optional, tag = "3")]
    pub outcome: Option<StoredOutcome>,
}

/// Idempotency key and account. The key comes first because it starts with its creation time, so that expiry
/// removes a prefix of the map.
type ClaimKey = (IdempotencyKey, Arc<str>);
/// Name and incarnation of a gateway.
type Holder = (String, u64);

#[derive(Clone, Debug, PartialEq, Eq)]
struct Claim {
    request: ClaimRequest,
    standing: Standing,
    outcome: Option<StoredOutcome>,
}

/// All claims within the retention window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Claims {
    /// Reference-counted, so that cloning the state for a snapshot copies no claim.
    records: BTreeMap<ClaimKey, Arc<Claim>>,
    open: BTreeMap<Holder, BTreeSet<ClaimKey>>,
    /// Keys created before this time were removed, in milliseconds since the Unix epoch. It never decreases,
    /// so that a leader whose clock is behind cannot grant a removed key again.
    expired_before: u64,
}

impl Claims {
    /// Returns the number of recorded claims.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no claim is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the creation time before which keys are refused, in milliseconds since the Unix epoch.
    pub fn expired_before(&self) -> u64 {
        self.expired_before
    }

    /// Returns the gateway incarnations that hold open claims.
    pub fn holders(&self) -> impl Iterator<Item = (&str, u64)> {
        self.open.keys().map(|(name, inc)| (name.as_str(), *inc))
    }

    /// Grants a claim to its first attempt, or returns the claim's state.
    pub fn claim(&mut self, at_unix_ms: u64, command: &ClaimCommand) -> ClaimReply {
        let Some(request) = &command.request else {
            return reply(ClaimStatus::Conflict);
        };
        let Some(key) = claim_key(request) else {
            return reply(ClaimStatus::Conflict);
        };
        let created = key.0.created_unix_ms();
        let oldest = at_unix_ms.saturating_sub(command.retention_ms);
        let newest = at_unix_ms.saturating_add(command.skew_ms);
        if created < oldest.max(self.expired_before) || created > newest {
            return reply(ClaimStatus::Expired);
        }
        let Some(claim) = self.records.get(&key) else {
            return self.grant(key, request);
        };
        if claim.request.digest != request.digest {
            return reply(ClaimStatus::Conflict);
        }
        let is_holder = same_attempt(&claim.request, request);
        match claim.standing {
            Standing::Open if is_holder => reply(ClaimStatus::Granted),
            Standing::Open => reply(ClaimStatus::InProgress),
            // A late duplicate of a claim that its attempt has released must not acquire the key again.
            Standing::Released if is_holder => reply(ClaimStatus::InProgress),
            Standing::Released => self.grant(key, request),
            Standing::Unknown => reply(ClaimStatus::Unknown),
            Standing::Done => ClaimReply {
                status: ClaimStatus::Done.into(),
                outcome: claim.outcome.clone(),
            },
        }
    }

    fn grant(&mut self, key: ClaimKey, request: &ClaimRequest) -> ClaimReply {
        self.open
            .entry(holder(request))
            .or_default()
            .insert(key.clone());
        self.records.insert(
            key,
            Arc::new(Claim {
                request: request.clone(),
                standing: Standing::Open,
                outcome: None,
            }),
        );
        reply(ClaimStatus::Granted)
    }

    /// Records an outcome, or that the outcome is unknown. Returns whether the sender held the claim.
    pub fn record(&mut self, request: &OutcomeRequest) -> bool {
        let Some((key, claim)) = self.held_claim(request.claim.as_ref()) else {
            return false;
        };
        match (claim.standing, &request.outcome) {
            (Standing::Done, _) | (Standing::Unknown, None) => return true,
            (Standing::Released, _) => return false,
            (Standing::Open | Standing::Unknown, Some(outcome)) => {
                claim.standing = Standing::Done;
                claim.outcome = Some(outcome.clone());
            }
            (Standing::Open, None) => claim.standing = Standing::Unknown,
        }
        self.remove_open(request.claim.as_ref(), &key);
        true
    }

    /// Releases a claim. Returns whether the sender may rely on no longer holding it.
    pub fn release(&mut self, at_unix_ms: u64, request: &ReleaseRequest) -> bool {
        let Some(claimed) = &request.claim else {
            return false;
        };
        if let Some((key, claim)) = self.held_claim(Some(claimed)) {
            match claim.standing {
                Standing::Released => return true,
                Standing::Done | Standing::Unknown => return false,
                Standing::Open => claim.standing = Standing::Released,
            }
            self.remove_open(Some(claimed), &key);
            return true;
        }
        self.record_early_release(at_unix_ms, claimed)
    }

    /// Records a release that arrives before its claim, so that the claim is not granted to an attempt
    /// that has already ended.
    fn record_early_release(&mut self, at_unix_ms: u64, claimed: &ClaimRequest) -> bool {
        let Some(key) = claim_key(claimed) else {
            return false;
        };
        let created = key.0.created_unix_ms();
        if created < self.expired_before || created > at_unix_ms || self.records.contains_key(&key)
        {
            return false;
        }
        let claim = Claim {
            request: claimed.clone(),
            standing: Standing::Released,
            outcome: None,
        };
        self.records.insert(key, Arc::new(claim));
        true
    }

    /// Marks the open claims of a gateway incarnation as unknown. Returns their number.
    pub fn mark_unknown(&mut self, gateway: &str, incarnation: u64) -> u64 {
        let keys = self
            .open
            .remove(&(gateway.to_owned(), incarnation))
            .unwrap_or_default();
        for key in &keys {
            if let Some(claim) = self.records.get_mut(key) {
                Arc::make_mut(claim).standing = Standing::Unknown;
            }
        }
        keys.len() as u64
    }

    /// Removes claims whose key was created before a time, and refuses such keys from then on. Returns the
    /// number of removed claims.
    pub fn expire(&mut self, before_unix_ms: u64) -> u64 {
        self.expired_before = self.expired_before.max(before_unix_ms);
        let mut count = 0;
        while let Some(entry) = self.records.first_entry() {
            if entry.key().0.created_unix_ms() >= self.expired_before {
                break;
            }
            let (key, claim) = entry.remove_entry();
            self.remove_open(Some(&claim.request), &key);
            count += 1;
        }
        count
    }

    fn held_claim(&mut self, request: Option<&ClaimRequest>) -> Option<(ClaimKey, &mut Claim)> {
        let request = request?;
        let key = claim_key(request)?;
        let claim = self.records.get_mut(&key)?;
        same_attempt(&claim.request, request).then(|| (key, Arc::make_mut(claim)))
    }

    fn remove_open(&mut self, request: Option<&ClaimRequest>, key: &ClaimKey) {
        let Some(holder) = request.map(holder) else {
            return;
        };
        let Some(keys) = self.open.get_mut(&holder) else {
            return;
        };
        keys.remove(key);
        if keys.is_empty() {
            self.open.remove(&holder);
        }
    }

    /// Returns all records for a snapshot.
    pub fn records(&self) -> Vec<ClaimRecord> {
        self.records
            .values()
            .map(|claim| ClaimRecord {
                request: Some(claim.request.clone()),
                standing: claim.standing.into(),
                outcome: claim.outcome.clone(),
            })
            .collect()
    }

    /// Builds the claims from a snapshot. Returns `None` if a record is malformed or its standing is one of a later
    /// version: read as the default one, its attempt could dispatch again.
    pub fn from_records(records: Vec<ClaimRecord>, expired_before: u64) -> Option<Self> {
        let mut claims = Self {
            expired_before,
            ..Self::default()
        };
        for record in records {
            let standing = Standing::try_from(record.standing).ok()?;
            let request = record.request?;
            let key = claim_key(&request)?;
            if standing == Standing::Open {
                let holder = holder(&request);
                claims.open.entry(holder).or_default().insert(key.clone());
            }
            let claim = Claim {
                request,
                standing,
                outcome: record.outcome,
            };
            claims.records.insert(key, Arc::new(claim));
        }
        Some(claims)
    }
}

fn claim_key(request: &ClaimRequest) -> Option<ClaimKey> {
    let key = IdempotencyKey::from_bytes(&request.key).ok()?;
    Some((key, request.account.as_str().into()))
}

fn holder(request: &ClaimRequest) -> Holder {
    (request.gateway.clone(), request.incarnation)
}

fn same_attempt(a: &ClaimRequest, b: &ClaimRequest) -> bool {
    a.gateway == b.gateway && a.incarnation == b.incarnation && a.attempt == b.attempt
}

fn reply(status: ClaimStatus) -> ClaimReply {
    ClaimReply {
        status: status.into(),
        outcome: None,
    }
}
