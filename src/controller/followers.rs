//! Ingress gateways that follow this controller, what they are told, and the usage that they count.
//! Every controller hears every gateway, so that none of this is lost with a leader.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    mem,
    sync::Arc,
    time::Duration,
};

use tokio::time::{Instant, sleep_until, timeout_at};

use super::{core::Core, list_history::ListHistory};
use crate::{
    domain::ServiceName,
    link::Peer,
    policy::{
        quota::{self, Bucket, Claim, Limit},
        quota_window::{AccountUse, Mode, QuotaBook},
    },
    ports::Clock,
    wire::{
        AccountCount, Body, Document, EngineSpeed, Follow, FollowReply, IngressRecord, QuotaPart,
        ReserveReply, ReserveRequest, Roster, ServiceLoad,
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
/// Time for which the parts of quotas that were worked out are told: each gateway is told its own, and they
/// follow from all demands, so that working them out for every answer would cost gateways times gateways.
const PARTS_AGE: Duration = Duration::from_millis(100);
/// Time for which a change of the roster alone is held back, for each gateway, since all of them are then
/// answered: a controller sends some 500 such answers in a second at most.
const ROSTER_PAUSE: Duration = Duration::from_millis(2);
/// Longest time for which it is held back.
const LONGEST_ROSTER_PAUSE: Duration = Duration::from_millis(400);
/// Longest time that a question waits for a change.
const LONGEST_WAIT: Duration = Duration::from_secs(5);
/// Windows of usage kept for each gateway; older ones are committed or not due any more.
const KEPT_WINDOWS: usize = 4;

/// What is known of the gateways that follow.
#[derive(Debug, Default)]
pub struct Followers {
    gateways: HashMap<String, Follower>,
    /// Number of the last change of the roster, and what tells this process's numbers from another's.
    roster_change: u32,
    roster_epoch: u32,
    /// When a listed gateway is silent for too long at the earliest.
    roster_until: Duration,
    /// Parts of quotas by gateway, and when they were worked out.
    parts: HashMap<String, Vec<QuotaPart>>,
    parts_at: Option<Duration>,
    book: QuotaBook,
    /// Prompt tokens that one engine of each service reads in a second.
    speeds: BTreeMap<ServiceName, f64>,
    list: ListHistory,
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
    /// Whether it is in the roster, and the change that made it so.
    listed: bool,
    changed: u32,
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
    /// Starts without any; `window` is the one over which quotas are kept.
    pub fn new(window: Duration) -> Self {
        Self {
            book: QuotaBook::new(window),
            roster_epoch: rand::random(),
            ..Self::default()
        }
    }

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
                listed: false,
                changed: 0,
                demands: Vec::new(),
                held_shares: Vec::new(),
                loads: Vec::new(),
                incarnation: follow.incarnation,
                usage: BTreeMap::new(),
            });
        if changed || !follower.listed {
            self.roster_change += 1;
            follower.changed = self.roster_change;
            follower.listed = true;
            self.roster_until = self.roster_until.min(now + GONE_AFTER);
            follower.record = record.clone();
        }
        follower.heard = now;
        let uses = follow.quota_uses.iter().map(|told| {
            let told_use = AccountUse {
                admitted: told.admitted,
                asked: told.asked,
                allowed: told.allowed,
                divisible: told.divisible,
            };
            (&*told.account, told_use)
        });
        let (name, incarnation) = (&record.name, follow.incarnation);
        self.book
            .hear(name, incarnation, follow.window_seen, uses, now);
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
    pub fn roster(&mut self, now: Duration) -> Roster {
        self.sweep(now);
        let listed = self.gateways.values().filter(|known| known.listed);
        let mut gateways: Vec<_> = listed.map(|known| known.record.clone()).collect();
        gateways.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        Roster {
            version: self.roster_version(),
            gateways,
            ..Roster::default()
        }
    }

    /// Returns how many gateways were heard of lately.
    pub fn count(&self, now: Duration) -> usize {
        let known = self.gateways.values();
        known
            .filter(|known| known.silence(now) <= GONE_AFTER)
            .count()
    }

    /// Returns what is new in the roster for a gateway that holds a version of it: what changed, or all of it if
    /// the version is not one of this process.
    pub fn roster_since(&mut self, now: Duration, held: u64) -> Option<Roster> {
        self.sweep(now);
        if held == self.roster_version() {
            return None;
        }
        let (epoch, change) = ((held >> 32) as u32, held as u32);
        if held == 0 || epoch != self.roster_epoch || change > self.roster_change {
            return Some(self.roster(now));
        }
        let newer = || {
            self.gateways
                .values()
                .filter(|known| known.changed > change)
        };
        let listed = newer().filter(|known| known.listed);
        let gone = newer().filter(|known| !known.listed);
        Some(Roster {
            version: self.roster_version(),
            gateways: listed.map(|known| known.record.clone()).collect(),
            changes: true,
            gone: gone.map(|known| known.record.name.clone()).collect(),
        })
    }

    fn roster_version(&self) -> u64 {
        (u64::from(self.roster_epoch) << 32) | u64::from(self.roster_change)
    }

    /// Returns for how long a change of the roster alone is held back.
    fn roster_pause(&self) -> Duration {
        let listed = self.gateways.values().filter(|known| known.listed).count();
        let pause = ROSTER_PAUSE * u32::try_from(listed).unwrap_or(u32::MAX);
        pause.min(LONGEST_ROSTER_PAUSE)
    }

    /// Takes gateways that were silent for too long out of the roster.
    fn sweep(&mut self, now: Duration) {
        if now <= self.roster_until {
            return;
        }
        let mut until = Duration::MAX;
        for follower in self.gateways.values_mut().filter(|known| known.listed) {
            if follower.silence(now) <= GONE_AFTER {
                until = until.min(follower.heard + GONE_AFTER);
                continue;
            }
            self.roster_change += 1;
            follower.changed = self.roster_change;
            follower.listed = false;
        }
        self.roster_until = until;
    }

    /// Returns a gateway's part of each quota that is divided. A silent gateway keeps the part that it had until
    /// that can't be in use any more, and then its floor until it is forgotten.
    pub fn shares(&mut self, now: Duration, name: &str) -> Vec<QuotaPart> {
        self.work_out_parts(now);
        self.parts.get(name).cloned().unwrap_or_default()
    }

    /// Returns the accounts whose quotas are not divided, by how they are admitted.
    pub fn accounts(&mut self, now: Duration, mode: Mode) -> Vec<String> {
        self.work_out_parts(now);
        let modes = self.book.modes();
        let with_mode = modes.filter(|(_, held)| *held == mode);
        with_mode.map(|(account, _)| account.to_owned()).collect()
    }

    fn work_out_parts(&mut self, now: Duration) {
        if self
            .parts_at
            .is_some_and(|at| now >= at && now - at < PARTS_AGE)
        {
            return;
        }
        self.parts_at = Some(now);
        for (account, mode) in self.book.refresh(now) {
            log::info!(
                event = "quota.mode", account = account.as_str(), mode:? = mode;
                "controller: requests of account {account} are admitted anew: {mode:?}"
            );
        }
        let known: Vec<_> = self
            .gateways
            .iter()
            .filter(|(_, follower)| follower.silence(now) <= FORGOTTEN_AFTER)
            .collect();
        let least = quota::floor(known.len());
        let undivided: BTreeSet<&str> = self
            .book
            .modes()
            .filter(|(_, mode)| *mode != Mode::Divided)
            .map(|(account, _)| account)
            .collect();
        let accounts: BTreeSet<&str> = known
            .iter()
            .flat_map(|(_, follower)| &follower.demands)
            .map(|demand| &*demand.account)
            .filter(|account| !undivided.contains(account))
            .collect();
        let mut parts: HashMap<String, Vec<QuotaPart>> = HashMap::new();
        for account in accounts {
            let claims: Vec<_> = known
                .iter()
                .map(|(_, follower)| follower.claim(now, account, least))
                .collect();
            for ((name, _), value) in known.iter().zip(quota::divide(&claims)) {
                let account = account.to_owned();
                let part = QuotaPart { account, value };
                parts.entry((*name).clone()).or_default().push(part);
            }
        }
        self.parts = parts;
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
            let reading = sum.reading.get_or_insert_default();
            reading.add(&load.reading.unwrap_or_default());
            sum.upstreams = sum.upstreams.max(load.upstreams);
        }
        sums
    }

    /// Returns how many prompt tokens one engine of each service reads in a second, as far as it was learnt.
    pub fn speeds(&self) -> &BTreeMap<ServiceName, f64> {
        &self.speeds
    }

    /// Takes a speed that was learnt.
    pub fn set_speed(&mut self, service: &ServiceName, speed: f64) {
        self.speeds.insert(service.clone(), speed);
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

    /// Takes units out of the reserve of an account's quota, or of the whole quota if it is kept whole; returns
    /// after which time there may be enough if there are too few. The reserves of a new term begin empty, because
    /// the leader before may have given them away.
    pub fn reserve(
        &mut self,
        now: Duration,
        term: u64,
        gateway: &str,
        request: &ReserveRequest,
    ) -> Result<(), Duration> {
        let (account, units, allowed) = (&request.account, request.units, request.allowed);
        if allowed > 0.0 {
            let incarnation = request.incarnation;
            return self
                .book
                .grant(gateway, incarnation, account, units, allowed, now);
        }
        if self.reserves_term != term {
            self.reserves_term = term;
            self.reserves.clear();
        }
        let limit = Limit {
            per_second: request.per_second,
            saved: request.saved,
        };
        let bucket = self
            .reserves
            .entry(account.clone())
            .or_insert_with(|| Bucket::new(0.0, now));
        bucket.take(units, limit, now)
    }

    /// Returns the list of upstreams.
    pub fn list(&self) -> &ListHistory {
        &self.list
    }

    /// Returns the list of upstreams to change it, or to tell what is new in it.
    pub fn list_mut(&mut self) -> &mut ListHistory {
        &mut self.list
    }
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
    if core
        .followers()
        .list_mut()
        .note_leaving(core.now(), &follow.leaving)
    {
        log::info!(
            event = "upstream.says_leaving", gateway = &*record.name, upstreams:? = follow.leaving;
            "controller: upstreams said to gateway {} that they leave", record.name
        );
        core.notify_followers_changed();
    }
    if core.followers().hear(core.now(), &follow) {
        log::info!(
            "controller: gateway {} in zone {} follows; open to callers: {}.",
            record.name,
            record.zone,
            record.open
        );
        core.notify_followers_changed();
    }
    let wait = Duration::from_millis(follow.wait_ms).min(LONGEST_WAIT);
    let asked = Instant::now();
    let deadline = asked + wait;
    let mut viewed = core.log.watch_view_index();
    let mut changed = core.watch_followers();
    loop {
        viewed.mark_unchanged();
        changed.mark_unchanged();
        let reply = answer(core, &follow);
        if reply.version > follow.held_version || reply.list.is_some() {
            return Some(Body::FollowReply(reply));
        }
        if reply.roster.is_some() {
            let pause = core.followers().roster_pause();
            // Changes that come close together are told together.
            if asked + pause <= Instant::now() {
                return Some(Body::FollowReply(reply));
            }
            sleep_until(asked + pause).await;
            continue;
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
    let now = core.now();
    let mut followers = core.followers();
    let roster = followers.roster_since(now, follow.held_roster);
    let mut accounts = |mode| match leads {
        true => followers.accounts(now, mode),
        false => Vec::new(),
    };
    let (open_accounts, asked_accounts) = (accounts(Mode::Open), accounts(Mode::Asked));
    let list = followers
        .list_mut()
        .since(now, follow.held_list.unwrap_or_default());
    FollowReply {
        leads,
        version,
        list,
        roster,
        open_accounts,
        asked_accounts,
        controllers: core.peers.records(),
        speeds: followers.speeds().iter().map(told_speed).collect(),
        shares: match (leads, &follow.gateway) {
            (true, Some(gateway)) => followers.shares(now, &gateway.name),
            _ => Vec::new(),
        },
    }
}

fn told_speed((service, speed): (&ServiceName, &f64)) -> EngineSpeed {
    EngineSpeed {
        service: service.to_string(),
        tokens_per_second: *speed,
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
pub(super) fn reserve<T: Clock>(
    core: &Core<T>,
    peer: &Peer,
    request: &ReserveRequest,
) -> Option<Body> {
    if !core.leads() {
        return None;
    }
    let term = core.fleet().term();
    let taken = core
        .followers()
        .reserve(core.now(), term, &peer.name, request);
    let wait = taken.err().unwrap_or_default();
    Some(Body::ReserveReply(ReserveReply {
        granted: taken.is_ok(),
        wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
    }))
}
