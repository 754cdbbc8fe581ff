//! Ingress gateways that follow this controller, what they are told, and the usage that they count.
//! Every controller hears every gateway, so that none of this is lost with a leader.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    hash::{DefaultHasher, Hash, Hasher},
    mem,
    sync::Arc,
    time::Duration,
};

use tokio::time::{Instant, timeout_at};

use super::core::Core;
use crate::{
    link::Peer,
    policy::{
        quota::{self, Bucket, Claim, Limit},
        speed::Reading,
    },
    ports::Clock,
    wire::{
        AccountCount, Body, Document, Follow, FollowReply, IngressRecord, ListVersion, QuotaPart,
        ReserveReply, ReserveRequest, Roster, ServiceLoad, UpstreamList,
    },
};

/// Silence after which a gateway is no longer named to callers. Gateways ask at least every
/// `ingress::FOLLOW_WAIT`, so two questions are missed by then.
const GONE_AFTER: Duration = Duration::from_millis(2000);
/// Silence up to which a gateway may still use the part of a quota that it was given; longer than
/// `ingress::quota::PART_LEASE`, which counts from the gateway's question.
const SHARE_COUNTED: Duration = Duration::from_millis(10_500);
/// Silence after which a gateway's floor of a quota is free again.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(60);
/// Longest time that a question waits for a change.
const LONGEST_WAIT: Duration = Duration::from_secs(5);
/// Windows of usage kept for each gateway; older ones are committed or not due any more.
const KEPT_WINDOWS: usize = 4;

/// What is known of the gateways that follow.
#[derive(Debug, Default)]
pub struct Followers {
    gateways: HashMap<String, Follower>,
    list: UpstreamList,
    /// What gateways counted in windows before they were started anew.
    past_usage: BTreeMap<u64, Vec<AccountCount>>,
    reserves: HashMap<String, Bucket>,
    /// The term in which the reserves are kept.
    reserves_term: u64,
}

#[derive(Debug)]
struct Follower {
    record: IngressRecord,
    heard: Duration,
    demands: Vec<QuotaPart>,
    held_shares: Vec<QuotaPart>,
    loads: Vec<ServiceLoad>,
    incarnation: u64,
    usage: BTreeMap<u64, Vec<AccountCount>>,
}

impl Follower {
    fn silence(&self, now: Duration) -> Duration {
        now.saturating_sub(self.heard)
    }

    fn claim(&self, now: Duration, account: &str, least: f64) -> Claim {
        let find = |parts: &[QuotaPart]| {
            let part = parts.iter().find(|part| part.account == account);
            part.map(|part| part.value)
        };
        match self.silence(now) {
            silence if silence <= GONE_AFTER => {
                Claim::Heard(find(&self.demands).unwrap_or_default())
            }
            silence if silence <= SHARE_COUNTED => {
                Claim::Silent(find(&self.held_shares).unwrap_or_default().max(least))
            }
            _ => Claim::Silent(least),
        }
    }
}

impl Followers {
    /// Notes a question. Returns whether the roster changed by it.
    pub fn hear(&mut self, now: Duration, follow: &Follow) -> bool {
        let Some(record) = &follow.gateway else {
            return false;
        };
        let before = self.gateways.get(&record.name);
        let changed =
            before.is_none_or(|known| known.record != *record || known.silence(now) > GONE_AFTER);
        let follower = self
            .gateways
            .entry(record.name.clone())
            .or_insert_with(|| Follower {
                record: record.clone(),
                heard: now,
                demands: Vec::new(),
                held_shares: Vec::new(),
                loads: Vec::new(),
                incarnation: follow.incarnation,
                usage: BTreeMap::new(),
            });
        follower.record = record.clone();
        follower.heard = now;
        follower.demands.clone_from(&follow.demands);
        follower.held_shares.clone_from(&follow.held_shares);
        follower.loads.clone_from(&follow.loads);
        if follower.incarnation != follow.incarnation {
            follower.incarnation = follow.incarnation;
            for (window, counts) in mem::take(&mut follower.usage) {
                self.past_usage.entry(window).or_default().extend(counts);
            }
            while self.past_usage.len() > KEPT_WINDOWS {
                self.past_usage.pop_first();
            }
        }
        for window in &follow.usage {
            follower.usage.insert(window.window, window.counts.clone());
        }
        while follower.usage.len() > KEPT_WINDOWS {
            follower.usage.pop_first();
        }
        changed
    }

    /// Returns the gateways heard of lately, by name.
    pub fn roster(&self, now: Duration) -> Roster {
        let mut gateways: Vec<_> = self
            .gateways
            .values()
            .filter(|known| known.silence(now) <= GONE_AFTER)
            .map(|known| known.record.clone())
            .collect();
        gateways.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        let mut hasher = DefaultHasher::new();
        gateways.hash(&mut hasher);
        Roster {
            version: hasher.finish(),
            gateways,
        }
    }

    /// Returns a gateway's part of each quota. A silent gateway keeps the part that it had until that
    /// can't be in use any more, and then its floor until it is forgotten.
    pub fn shares(&self, now: Duration, name: &str) -> Vec<QuotaPart> {
        let known: Vec<_> = self
            .gateways
            .iter()
            .filter(|(_, follower)| follower.silence(now) <= FORGOTTEN_AFTER)
            .collect();
        let Some(own) = known.iter().position(|(other, _)| *other == name) else {
            return Vec::new();
        };
        let least = quota::floor(known.len());
        let accounts: BTreeSet<&str> = known
            .iter()
            .flat_map(|(_, follower)| &follower.demands)
            .map(|demand| demand.account.as_str())
            .collect();
        let share = |account: &str| {
            let claims: Vec<_> = known
                .iter()
                .map(|(_, follower)| follower.claim(now, account, least))
                .collect();
            QuotaPart {
                account: account.to_owned(),
                value: quota::divide(&claims)[own],
            }
        };
        accounts.into_iter().map(share).collect()
    }

    /// Returns how much all gateways use each service. One that was silent for seconds counts as it did
    /// last: a leader that hears half of them must not take the load for half of what it is.
    pub fn loads(&self, now: Duration) -> BTreeMap<&str, ServiceLoad> {
        let mut sums: BTreeMap<&str, ServiceLoad> = BTreeMap::new();
        let heard = self
            .gateways
            .values()
            .filter(|known| known.silence(now) <= SHARE_COUNTED);
        for load in heard.flat_map(|known| &known.loads) {
            let sum = sums.entry(&load.service).or_default();
            sum.in_flight += load.in_flight;
            sum.prompt_tokens += load.prompt_tokens;
            let mut reading = sum.reading.map_or_else(Reading::default, Reading::from);
            reading.add(&load.reading.map_or_else(Reading::default, Reading::from));
            sum.reading = Some(reading.into());
        }
        sums
    }

    /// Returns what all gateways counted in a window.
    pub fn usage(&self, window: u64) -> Vec<AccountCount> {
        let mut sums: BTreeMap<&str, u64> = BTreeMap::new();
        let present = self.gateways.values().map(|follower| &follower.usage);
        for counted in present.chain([&self.past_usage]) {
            for count in counted.get(&window).into_iter().flatten() {
                *sums.entry(&count.account).or_default() += count.count;
            }
        }
        sums.into_iter()
            .map(|(account, count)| AccountCount {
                account: account.to_owned(),
                count,
            })
            .collect()
    }

    /// Takes units out of the reserve of an account's quota. The reserves of a new term begin empty,
    /// because the leader before may have given them away.
    pub fn reserve(
        &mut self,
        now: Duration,
        term: u64,
        request: &ReserveRequest,
    ) -> Result<(), Duration> {
        if self.reserves_term != term {
            self.reserves_term = term;
            self.reserves.clear();
        }
        let limit = Limit {
            per_second: request.per_second,
            saved: request.saved,
        };
        let account = request.account.clone();
        let bucket = self
            .reserves
            .entry(account)
            .or_insert_with(|| Bucket::new(0.0, now));
        bucket.take(request.units, limit, now)
    }

    /// Keeps a list of upstreams that was read now. Returns whether it differs from the last one.
    pub fn take_list(&mut self, term: u64, rows: Vec<crate::wire::UpstreamRow>) -> bool {
        let held = self.list.version.unwrap_or_default();
        let same = held.term == term && same_rows(&self.list.rows, &rows);
        if same {
            return false;
        }
        let sequence = if held.term == term {
            held.sequence + 1
        } else {
            1
        };
        self.list = UpstreamList {
            version: Some(ListVersion { term, sequence }),
            rows,
        };
        true
    }

    /// Returns the list of upstreams read last.
    pub fn list(&self) -> &UpstreamList {
        &self.list
    }
}

/// Compares all but the time for which upstreams stay slow, which runs down by itself.
fn same_rows(held: &[crate::wire::UpstreamRow], read: &[crate::wire::UpstreamRow]) -> bool {
    let fixed = |row: &crate::wire::UpstreamRow| crate::wire::UpstreamRow {
        cold_ms: u32::from(row.cold_ms > 0),
        ..row.clone()
    };
    held.len() == read.len() && held.iter().zip(read).all(|(a, b)| fixed(a) == fixed(b))
}

/// Answers a gateway's question when something changed, or when its wait is over.
pub(super) async fn follow<T: Clock>(
    core: &Arc<Core<T>>,
    peer: &Peer,
    follow: Follow,
) -> Option<Body> {
    let record = follow.gateway.as_ref()?;
    if record.name != *peer.name {
        return None;
    }
    if core.followers().hear(core.now(), &follow) {
        log::info!(
            "controller: gateway {} in zone {} follows; open to callers: {}.",
            record.name,
            record.zone,
            record.open
        );
        core.note_followers_change();
    }
    let wait = Duration::from_millis(follow.wait_ms).min(LONGEST_WAIT);
    let deadline = Instant::now() + wait;
    let mut viewed = core.log.watch_view();
    let mut changed = core.watch_followers();
    loop {
        viewed.mark_unchanged();
        changed.mark_unchanged();
        let reply = answer(core, &follow);
        if reply.version > follow.held_version || reply.list.is_some() || reply.roster.is_some() {
            return Some(Body::FollowReply(reply));
        }
        let change = async {
            tokio::select! {
                result = viewed.changed() => result.is_ok(),
                result = changed.changed() => result.is_ok(),
            }
        };
        match timeout_at(deadline, change).await {
            Ok(true) => {}
            Ok(false) | Err(_) => return Some(Body::FollowReply(answer(core, &follow))),
        }
    }
}

fn answer<T: Clock>(core: &Core<T>, follow: &Follow) -> FollowReply {
    let version = core.log.state().published().version;
    let leads = core.leads();
    let followers = core.followers();
    let roster = followers.roster(core.now());
    let held = follow.held_list.unwrap_or_default();
    let newer = followers
        .list()
        .version
        .is_some_and(|version| version > held);
    FollowReply {
        leads,
        version,
        list: newer.then(|| followers.list().clone()),
        roster: (roster.version != follow.held_roster).then_some(roster),
        controllers: core.peers.records(),
        shares: match (leads, &follow.gateway) {
            (true, Some(gateway)) => followers.shares(core.now(), &gateway.name),
            _ => Vec::new(),
        },
    }
}

/// Returns the published document as this controller has it.
pub(super) fn document<T: Clock>(core: &Core<T>) -> Body {
    let state = core.log.state();
    let published = state.published();
    Body::Document(Document {
        version: published.version,
        document: published.document.clone(),
    })
}

/// Answers a gateway that asks for units of a reserve; only the leader has one.
pub(super) fn reserve<T: Clock>(core: &Core<T>, request: &ReserveRequest) -> Option<Body> {
    if !core.leads() {
        return None;
    }
    let term = core.fleet().term();
    let taken = core.followers().reserve(core.now(), term, request);
    let wait = taken.err().unwrap_or_default();
    Some(Body::ReserveReply(ReserveReply {
        granted: taken.is_ok(),
        wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
    }))
}
