//! The ingress gateways that follow this controller: the roster, quota parts and lists sent to them, and the
//! load and usage that they report. Every gateway reports to every controller, so that a change of leader
//! loses none of this.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    mem,
    sync::Arc,
    time::Duration,
};

use tokio::time::{Instant, sleep_until, timeout_at};

use super::{
    core::Core,
    crashes::Crashes,
    list_history::ListHistory,
    paces::{self, Paces},
    rollouts,
    room::RoomReports,
};
use crate::{
    domain::ServiceName,
    link::Peer,
    policy::{
        quota::{self, BucketLimit, GatewayDemand, TokenBucket},
        quota_window::{AccountQuotaUse, QuotaLedger, QuotaMode},
    },
    ports::Clock,
    wire::{
        AccountCount, Body, FollowReply, FollowRequest, IngressRecord, PrefillSpeed, QuotaValue,
        ReserveReply, ReserveRequest, Roster, ServiceLoad, ServiceRoom,
    },
};

/// Silence after which a gateway is removed from the roster that callers get. Gateways send a follow request at
/// least every `ingress::FOLLOW_WAIT`, so two requests are missed by then.
const ROSTER_TIMEOUT: Duration = Duration::from_millis(2000);
/// Silence up to which a gateway may still use its part of a quota; longer than `ingress::quota::PART_LEASE`,
/// which starts when the gateway sends its request.
const QUOTA_PART_LIFETIME: Duration = Duration::from_millis(10_500);
/// Silence after which the minimum part of a quota that is kept for a gateway is released.
const QUOTA_FLOOR_LIFETIME: Duration = Duration::from_secs(60);
/// Time for which computed quota parts are reused. Every gateway gets its own part, and the parts depend on the
/// demands of all gateways, so computing them for every reply would cost the square of the number of gateways.
const QUOTA_PARTS_MAX_AGE: Duration = Duration::from_millis(100);
/// Delay, per listed gateway, of a reply that carries only a roster change. A roster change is sent to all
/// gateways, so the delay limits a controller to about 500 such replies per second.
const ROSTER_DELAY_PER_GATEWAY: Duration = Duration::from_millis(2);
/// Upper bound of the delay of a roster change.
const MAX_ROSTER_DELAY: Duration = Duration::from_millis(400);
/// Upper bound of the delay if a gateway leaves. It is sent to all at once, since callers that are given the
/// address meanwhile may keep it for seconds; the delay bounds the replies while many gateways leave.
const MAX_LEAVING_DELAY: Duration = Duration::from_millis(50);
/// Longest time that a follow request waits for a change (long polling).
const MAX_FOLLOW_WAIT: Duration = Duration::from_secs(5);
/// Usage windows kept for each gateway; older ones are committed or no longer due.
const MAX_USAGE_WINDOWS: usize = 4;

/// The gateways that follow this controller, with what they report and what is sent to them.
#[derive(Debug, Default)]
pub struct Followers {
    gateways: HashMap<String, Follower>,
    /// Number of the last roster change, and a random epoch that distinguishes the numbers of this process
    /// from those of another.
    roster_change: u32,
    roster_epoch: u32,
    /// Earliest time at which a listed gateway may have timed out.
    roster_valid_until: Duration,
    /// Quota parts by gateway, and when they were computed.
    parts: HashMap<String, Vec<QuotaValue>>,
    parts_computed_at: Option<Duration>,
    quota_book: QuotaLedger,
    /// Prompt tokens per second that one engine of each service processes.
    engine_speeds: BTreeMap<ServiceName, f64>,
    upstream_list: ListHistory,
    crashes: Crashes,
    paces: Paces,
    rooms: RoomReports,
    /// Usage by window that earlier incarnations of the gateways counted.
    earlier_incarnations_usage: BTreeMap<u64, Vec<AccountCount>>,
    reserves: HashMap<String, TokenBucket>,
    /// The term that the reserves belong to.
    reserves_term: u64,
}

#[derive(Debug)]
struct Follower {
    record: IngressRecord,
    last_follow_at: Duration,
    /// Whether it is in the roster, and the roster change that last affected it.
    listed: bool,
    listed_change: u32,
    demands: Vec<QuotaValue>,
    held_shares: Vec<QuotaValue>,
    loads: Vec<ServiceLoad>,
    incarnation: u64,
    usage: BTreeMap<u64, Vec<AccountCount>>,
}

impl Follower {
    fn silence(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_follow_at)
    }

    fn claim(&self, now: Duration, account: &str, least: f64) -> GatewayDemand {
        let find = |parts: &[QuotaValue]| {
            let part = parts.iter().find(|part| part.account == account);
            part.map(|part| part.value)
        };
        match self.silence(now) {
            silence if silence <= ROSTER_TIMEOUT => {
                GatewayDemand::Reporting(find(&self.demands).unwrap_or_default())
            }
            silence if silence <= QUOTA_PART_LIFETIME => {
                GatewayDemand::Silent(find(&self.held_shares).unwrap_or_default().max(least))
            }
            _ => GatewayDemand::Silent(least),
        }
    }
}

impl Followers {
    /// Starts without gateways; quotas are accounted over `window`.
    pub fn new(window: Duration) -> Self {
        Self {
            quota_book: QuotaLedger::new(window),
            roster_epoch: rand::random(),
            ..Self::default()
        }
    }

    /// Records a follow request. Returns whether it changed the roster.
    pub fn handle_follow(&mut self, now: Duration, follow: &FollowRequest) -> bool {
        let Some(mut record) = follow.gateway.clone() else {
            return false;
        };
        let before = self.gateways.get(&record.name);
        // Requests may be handled in another order than the gateway sent them, and it leaves until it restarts.
        if before
            .is_some_and(|known| known.record.leaving && known.incarnation == follow.incarnation)
        {
            (record.leaving, record.open) = (true, false);
        }
        let changed = before
            .is_none_or(|known| known.record != record || known.silence(now) > ROSTER_TIMEOUT);
        let follower = self
            .gateways
            .entry(record.name.clone())
            .or_insert_with(|| Follower {
                record: record.clone(),
                last_follow_at: now,
                listed: false,
                listed_change: 0,
                demands: Vec::new(),
                held_shares: Vec::new(),
                loads: Vec::new(),
                incarnation: follow.incarnation,
                usage: BTreeMap::new(),
            });
        if changed || !follower.listed {
            self.roster_change += 1;
            follower.listed_change = self.roster_change;
            follower.listed = true;
            self.roster_valid_until = self.roster_valid_until.min(now + ROSTER_TIMEOUT);
            follower.record = record.clone();
        }
        follower.last_follow_at = now;
        let uses = follow.quota_uses.iter().map(|reported| {
            let account_use = AccountQuotaUse {
                admitted: reported.admitted,
                requested_per_second: reported.requested_per_second,
                allowed: reported.allowed,
                divisible: reported.divisible,
            };
            (&*reported.account, account_use)
        });
        let (name, incarnation) = (&record.name, follow.incarnation);
        self.quota_book
            .handle_report(name, incarnation, follow.window_fraction, uses, now);
        self.rooms.record(now, name, &follow.rooms);
        follower.demands.clone_from(&follow.demands);
        follower.held_shares.clone_from(&follow.held_shares);
        follower.loads.clone_from(&follow.loads);
        if follower.incarnation != follow.incarnation {
            follower.incarnation = follow.incarnation;
            for (window, counts) in mem::take(&mut follower.usage) {
                self.earlier_incarnations_usage
                    .entry(window)
                    .or_default()
                    .extend(counts);
            }
            while self.earlier_incarnations_usage.len() > MAX_USAGE_WINDOWS {
                self.earlier_incarnations_usage.pop_first();
            }
        }
        for window in &follow.usage {
            follower.usage.insert(window.window, window.counts.clone());
        }
        while follower.usage.len() > MAX_USAGE_WINDOWS {
            follower.usage.pop_first();
        }
        changed
    }

    /// Returns the gateways that are not timed out, ordered by name.
    pub fn roster(&mut self, now: Duration) -> Roster {
        self.delist_silent(now);
        let listed = self.gateways.values().filter(|follower| follower.listed);
        let mut gateways: Vec<_> = listed.map(|follower| follower.record.clone()).collect();
        gateways.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        Roster {
            version: self.roster_version(),
            gateways,
            ..Roster::default()
        }
    }

    /// Returns the number of gateways that are not timed out.
    pub fn active_count(&self, now: Duration) -> usize {
        let followers = self.gateways.values();
        followers
            .filter(|follower| follower.silence(now) <= ROSTER_TIMEOUT)
            .count()
    }

    /// Returns the roster update for a gateway that holds a version: the changes since, or the whole roster if
    /// the version is not one of this process. Returns `None` if the version is current.
    pub fn roster_since(&mut self, now: Duration, held: u64) -> Option<Roster> {
        self.delist_silent(now);
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
                .filter(|follower| follower.listed_change > change)
        };
        let listed = newer().filter(|follower| follower.listed);
        let gone = newer().filter(|follower| !follower.listed);
        Some(Roster {
            version: self.roster_version(),
            gateways: listed.map(|follower| follower.record.clone()).collect(),
            is_delta: true,
            removed: gone.map(|follower| follower.record.name.clone()).collect(),
        })
    }

    fn roster_version(&self) -> u64 {
        (u64::from(self.roster_epoch) << 32) | u64::from(self.roster_change)
    }

    /// Returns how long after its request a reply that carries only a change of the roster is sent.
    pub fn roster_delay(&self, change: &Roster) -> Duration {
        let listed = self
            .gateways
            .values()
            .filter(|follower| follower.listed)
            .count();
        let delay = ROSTER_DELAY_PER_GATEWAY * u32::try_from(listed).unwrap_or(u32::MAX);
        let is_leaving = change.is_delta && change.gateways.iter().any(|gateway| gateway.leaving);
        delay.min(match is_leaving {
            true => MAX_LEAVING_DELAY,
            false => MAX_ROSTER_DELAY,
        })
    }

    /// Removes gateways that timed out from the roster.
    fn delist_silent(&mut self, now: Duration) {
        if now <= self.roster_valid_until {
            return;
        }
        let mut until = Duration::MAX;
        for follower in self
            .gateways
            .values_mut()
            .filter(|follower| follower.listed)
        {
            if follower.silence(now) <= ROSTER_TIMEOUT {
                until = until.min(follower.last_follow_at + ROSTER_TIMEOUT);
                continue;
            }
            self.roster_change += 1;
            follower.listed_change = self.roster_change;
            follower.listed = false;
        }
        self.roster_valid_until = until;
    }

    /// Returns a gateway's part of each divided quota. A silent gateway keeps its part until that can no longer be
    /// in use, and then the minimum part until `QUOTA_FLOOR_LIFETIME` has passed.
    pub fn quota_parts(&mut self, now: Duration, name: &str) -> Vec<QuotaValue> {
        self.refresh_quota_parts(now);
        self.parts.get(name).cloned().unwrap_or_default()
    }

    /// Returns the accounts whose quotas are not divided and whose requests are admitted in `mode`.
    pub fn accounts_in_mode(&mut self, now: Duration, mode: QuotaMode) -> Vec<String> {
        self.refresh_quota_parts(now);
        let modes = self.quota_book.modes();
        let with_mode = modes.filter(|(_, held)| *held == mode);
        with_mode.map(|(account, _)| account.to_owned()).collect()
    }

    fn refresh_quota_parts(&mut self, now: Duration) {
        if self
            .parts_computed_at
            .is_some_and(|at| now >= at && now - at < QUOTA_PARTS_MAX_AGE)
        {
            return;
        }
        self.parts_computed_at = Some(now);
        for (account, mode) in self.quota_book.refresh(now) {
            log::info!(
                event = "quota.mode", account = account.as_str(), mode:? = mode;
                "controller: the quota mode of account {account} changed to {mode:?}"
            );
        }
        let claimants: Vec<_> = self
            .gateways
            .iter()
            .filter(|(_, follower)| follower.silence(now) <= QUOTA_FLOOR_LIFETIME)
            .collect();
        let least = quota::floor_fraction(claimants.len());
        let undivided: BTreeSet<&str> = self
            .quota_book
            .modes()
            .filter(|(_, mode)| *mode != QuotaMode::Divided)
            .map(|(account, _)| account)
            .collect();
        let accounts: BTreeSet<&str> = claimants
            .iter()
            .flat_map(|(_, follower)| &follower.demands)
            .map(|demand| &*demand.account)
            .filter(|account| !undivided.contains(account))
            .collect();
        let mut parts: HashMap<String, Vec<QuotaValue>> = HashMap::new();
        for account in accounts {
            let claims: Vec<_> = claimants
                .iter()
                .map(|(_, follower)| follower.claim(now, account, least))
                .collect();
            for ((name, _), value) in claimants.iter().zip(quota::divide(&claims)) {
                let account = account.to_owned();
                let part = QuotaValue { account, value };
                parts.entry((*name).clone()).or_default().push(part);
            }
        }
        self.parts = parts;
    }

    /// Returns the load of each service, summed over all gateways. A gateway that has been silent for seconds counts
    /// with its last report: a leader that reaches only half of the gateways must not see half of the load.
    pub fn loads(&self, now: Duration) -> BTreeMap<&str, ServiceLoad> {
        let mut sums: BTreeMap<&str, ServiceLoad> = BTreeMap::new();
        let counted = self
            .gateways
            .values()
            .filter(|follower| follower.silence(now) <= QUOTA_PART_LIFETIME);
        for load in counted.flat_map(|follower| &follower.loads) {
            let sum = sums.entry(&load.service).or_default();
            sum.in_flight += load.in_flight;
            sum.uncached_tokens_per_second += load.uncached_tokens_per_second;
            let reading = sum.prefill.get_or_insert_default();
            reading.merge(&load.prefill.unwrap_or_default());
            sum.upstreams = sum.upstreams.max(load.upstreams);
        }
        sums
    }

    /// Returns the prompt tokens per second that one engine of each service processes, as far as measured.
    pub fn engine_speeds(&self) -> &BTreeMap<ServiceName, f64> {
        &self.engine_speeds
    }

    /// Stores a measured engine speed in prompt tokens per second.
    pub fn set_engine_speed(&mut self, service: &ServiceName, speed: f64) {
        self.engine_speeds.insert(service.clone(), speed);
    }

    /// Returns the usage that all gateways counted in a window, by account.
    pub fn usage(&self, window: u64) -> Vec<AccountCount> {
        let mut sums: BTreeMap<&str, u64> = BTreeMap::new();
        let current_usage = self.gateways.values().map(|follower| &follower.usage);
        for counted in current_usage.chain([&self.earlier_incarnations_usage]) {
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

    /// Takes units from the reserve of an account's quota, or from the whole quota if it is not divided. Reserves
    /// start empty in each term, because the previous leader may have granted them already.
    ///
    /// # Errors
    ///
    /// Returns the time after which enough units may be available if there are too few now.
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
                .quota_book
                .grant(gateway, incarnation, account, units, allowed, now);
        }
        if self.reserves_term != term {
            self.reserves_term = term;
            self.reserves.clear();
        }
        let limit = BucketLimit {
            per_second: request.per_second,
            capacity: request.capacity,
        };
        let bucket = self
            .reserves
            .entry(account.clone())
            .or_insert_with(|| TokenBucket::new(0.0, now));
        bucket.take(units, limit, now)
    }

    /// Returns the demand of all gateways for each service.
    pub fn rooms(&mut self, now: Duration) -> Vec<ServiceRoom> {
        self.rooms.sums(now)
    }

    /// Returns the crashes of upstreams that gateways reported.
    pub fn crashes(&self) -> &Crashes {
        &self.crashes
    }

    /// Returns the crashes for changes.
    pub fn crashes_mut(&mut self) -> &mut Crashes {
        &mut self.crashes
    }

    /// Returns the speeds of upstreams.
    pub fn paces(&self) -> &Paces {
        &self.paces
    }

    /// Returns the speeds of upstreams for changes.
    pub fn paces_mut(&mut self) -> &mut Paces {
        &mut self.paces
    }

    /// Returns the list of upstreams.
    pub fn upstream_list(&self) -> &ListHistory {
        &self.upstream_list
    }

    /// Returns the list of upstreams for changes, or to read the changes since a version.
    pub fn upstream_list_mut(&mut self) -> &mut ListHistory {
        &mut self.upstream_list
    }
}

/// Answers a gateway's follow request as soon as something changed, or when its wait time is over (long polling).
pub(super) async fn answer_follow<T: Clock>(
    core: &Arc<Core<T>>,
    peer: &Peer,
    follow: FollowRequest,
) -> Option<Body> {
    let record = follow.gateway.as_ref()?;
    if record.name != *peer.name {
        return None;
    }
    if core
        .followers()
        .upstream_list_mut()
        .mark_leaving(core.now(), &follow.leaving)
    {
        log::info!(
            event = "upstream.says_leaving", gateway = &*record.name, upstreams:? = follow.leaving;
            "controller: gateway {} reports upstreams that announced that they leave", record.name
        );
        core.notify_followers_changed();
    }
    let limits = core
        .followers()
        .upstream_list_mut()
        .record_limits(core.now(), &follow.limits);
    if !limits.is_empty() {
        for (instance, limit) in &limits {
            log::info!(
                event = "upstream.limits", gateway = &*record.name, upstream = instance.as_str(),
                requests_per_1000_s:? = limit;
                "controller: the limit of upstream {instance} changed"
            );
        }
        core.notify_followers_changed();
    }
    let now = core.now();
    if core.followers().crashes_mut().handle_follow(now, &follow) {
        core.notify_followers_changed();
    }
    if core.learns_paces() {
        paces::record_report(core, &follow.paces);
    }
    if core.followers().handle_follow(core.now(), &follow) {
        if record.leaving {
            core.notify_gateway_leaves();
        }
        log::info!(
            "controller: gateway {} in zone {} follows this controller; open to callers: {}.",
            record.name,
            record.zone,
            record.open
        );
        core.notify_followers_changed();
    }
    rollouts::record_reports(core, &follow);
    let wait = Duration::from_millis(follow.wait_ms).min(MAX_FOLLOW_WAIT);
    let received_at = Instant::now();
    let deadline = received_at + wait;
    let mut view_changed = core.log.watch_view_index();
    let mut followers_changed = core.watch_followers();
    let mut gateway_leaves = core.watch_leaving_gateways();
    loop {
        view_changed.mark_unchanged();
        followers_changed.mark_unchanged();
        gateway_leaves.mark_unchanged();
        let reply = follow_reply(core, &follow);
        if reply.version > follow.held_version
            || reply.list.is_some()
            || reply.suspects.is_some()
            || !reply.quarantined.is_empty()
            || rollouts::has_news(&reply, &follow)
        {
            return Some(Body::FollowReply(reply));
        }
        if let Some(change) = &reply.roster {
            let delay = core.followers().roster_delay(change);
            // Batches roster changes that follow each other closely.
            if received_at + delay <= Instant::now() {
                return Some(Body::FollowReply(reply));
            }
            tokio::select! {
                () = sleep_until(received_at + delay) => {}
                Ok(()) = gateway_leaves.changed() => {}
            }
            continue;
        }
        let change = async {
            tokio::select! {
                result = view_changed.changed() => result.is_ok(),
                result = followers_changed.changed() => result.is_ok(),
            }
        };
        match timeout_at(deadline, change).await {
            Ok(true) => {}
            Ok(false) | Err(_) => return Some(Body::FollowReply(follow_reply(core, &follow))),
        }
    }
}

fn follow_reply<T: Clock>(core: &Core<T>, follow: &FollowRequest) -> FollowReply {
    let version = core.log.state().published().version;
    let leads = core.leads();
    let now = core.now();
    let rollouts = rollouts::news(core, leads, follow);
    let mut followers = core.followers();
    let roster = followers.roster_since(now, follow.held_roster_version);
    let mut accounts = |mode| match leads {
        true => followers.accounts_in_mode(now, mode),
        false => Vec::new(),
    };
    let (open_accounts, asked_accounts) = (accounts(QuotaMode::Open), accounts(QuotaMode::Asked));
    let list = followers
        .upstream_list_mut()
        .changes_since(now, follow.held_list_version.unwrap_or_default());
    let (suspects, quarantined) = followers.crashes().news_for(now, follow);
    let paces = follow
        .held_paces_version
        .filter(|_| leads && core.learns_paces())
        .and_then(|held| followers.paces().changes_since(held));
    let rooms = match leads && follow.shares_room {
        true => followers.rooms(now),
        false => Vec::new(),
    };
    FollowReply {
        paces,
        suspects,
        quarantined,
        rollouts,
        leads,
        version,
        sends_blocks: true,
        rooms,
        list,
        roster,
        open_accounts,
        asked_accounts,
        controllers: core.peers.records(),
        speeds: followers
            .engine_speeds()
            .iter()
            .map(engine_speed_record)
            .collect(),
        shares: match (leads, &follow.gateway) {
            (true, Some(gateway)) => followers.quota_parts(now, &gateway.name),
            _ => Vec::new(),
        },
    }
}

fn engine_speed_record((service, speed): (&ServiceName, &f64)) -> PrefillSpeed {
    PrefillSpeed {
        service: service.to_string(),
        tokens_per_second: *speed,
    }
}

/// Answers a gateway's request for units of a reserve; only the leader keeps reserves.
pub(super) fn answer_reserve<T: Clock>(
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
