//! Decides before a request's body is read whether there is room for it: fair shares of scarce
//! services, and quotas that are known to be used up. See docs/design/ROOM.md.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::time::Instant;

use super::{Core, errors::NotRun, millis, upstream::Eligible};
use crate::{
    domain::{AccountName, Route, RouteIndex, ServiceName},
    policy::{
        pace::Outlook,
        room::{self, AccountDemand, Demand, DemandMeter, Pressure, View},
        route::RouteRequest,
    },
    ports::{Clock, Platform, RequestMetadata},
    telemetry::{Counter, Metrics},
    wire::{AccountWork, FollowReply, ServiceRoom},
};

/// Lease of the sums of all gateways' demand, counted from the sending of the request that they answer. It
/// covers two polls; older sums would protect an account that has begun to ask for more.
const SUMS_LEASE: Duration = Duration::from_secs(2);
/// Time for which the outlook and the fractions of a service are reused, so that a refusal costs a look-up.
const PLAN_MAX_AGE: Duration = Duration::from_millis(50);
/// Least time between two log lines about the refusals of one account, or about one service.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Why there is no room for a request.
#[derive(Clone, Copy, Debug)]
enum Cause {
    /// The account is beyond its share.
    OverShare,
    /// Its answer cannot begin before its deadline.
    Hopeless,
    /// Its quota is known to be used up.
    OverQuota,
}

impl Cause {
    const ALL: [Self; 3] = [Self::OverShare, Self::Hopeless, Self::OverQuota];

    fn name(self) -> &'static str {
        match self {
            Self::OverShare => "over_share",
            Self::Hopeless => "hopeless",
            Self::OverQuota => "over_quota",
        }
    }
}

/// The room of all services, as this gateway knows it.
#[derive(Debug)]
pub(super) struct Room {
    is_enabled: bool,
    /// Origin of the times in the meters.
    started: Instant,
    services: Mutex<HashMap<ServiceName, ServiceState>>,
    refused: [Counter; Cause::ALL.len()],
}

#[derive(Debug, Default)]
struct ServiceState {
    meter: DemandMeter,
    pressure: Pressure,
    /// The demand at all gateways and their mean level, and the end of the lease.
    sums: Option<Sums>,
    plan: Plan,
    /// Whether requests were refused for want of room when that was logged last, and when.
    logged: Option<(bool, Duration)>,
    /// Refusals of each account since they were logged last, and when.
    refusals: HashMap<AccountName, (u64, Duration)>,
}

#[derive(Debug)]
struct Sums {
    demand: Demand,
    level: f64,
    until: Duration,
}

/// What follows from the demand and the level at a time.
#[derive(Debug, Default)]
struct Plan {
    made_at: Option<Duration>,
    /// This gateway's own level, and the one that it refuses by.
    own_level: f64,
    level: f64,
    /// What a request may expect of the best upstream.
    outlook: Option<Outlook>,
    /// Whether the plan follows from the demand at all gateways.
    is_overall: bool,
    /// The fraction of each account's work to refuse; accounts within their shares are left out.
    refused: HashMap<AccountName, f64>,
}

/// The work that an admitted request asks of a service.
#[derive(Debug)]
pub(super) struct Asked {
    service: ServiceName,
    account: AccountName,
    /// Seconds of an engine.
    work: f64,
    rank: f64,
}

impl Room {
    pub(super) fn new(is_enabled: bool, metrics: &Metrics) -> Self {
        let refused = Cause::ALL.map(|cause| {
            let help = "Requests refused before their body was read, by cause.";
            let labels = [("reason", cause.name())];
            metrics.register_labelled_counter("ingress_room_refused", help, &labels)
        });
        Self {
            is_enabled,
            started: Instant::now(),
            services: Mutex::default(),
            refused,
        }
    }

    /// Returns whether the setting `ingress.share_room` is on.
    pub(super) fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Counts the demand of a request that its quota covers.
    pub(super) fn record_admitted(&self, asked: Option<&Asked>) {
        if let Some(asked) = asked {
            let mut services = self.services();
            if let Some(state) = services.get_mut(&asked.service) {
                let (work, rank, now) = (asked.work, asked.rank, self.started.elapsed());
                let meter = &mut state.meter;
                meter.record_admitted(&asked.account, work, rank, now);
            }
        }
    }

    /// Records how long a request waited for the first byte of its answer, given the route's target.
    pub(super) fn record_first_wait(
        &self,
        service: &ServiceName,
        wait: Duration,
        target: Duration,
    ) {
        let now = self.started.elapsed();
        if let Some(state) = self.services().get_mut(service) {
            state.pressure.record_wait(wait, target, now);
        }
    }

    fn mean_wait(&self, service: &ServiceName) -> Duration {
        let services = self.services();
        let state = services.get(service);
        state.map_or(Duration::ZERO, |state| state.pressure.mean_wait())
    }

    /// Returns this gateway's demand for each service, and the level of each.
    pub(super) fn report(&self) -> Vec<ServiceRoom> {
        let now = self.started.elapsed();
        let mut services = self.services();
        let all = services.iter_mut().map(|(service, state)| {
            let demand = state.meter.demand(now);
            ServiceRoom {
                service: service.to_string(),
                level: state.pressure.level(now) as f32,
                admitted: demand.admitted as f32,
                accounts: to_wire(demand.accounts),
            }
        });
        all.filter(|room| !room.accounts.is_empty()).collect()
    }

    /// Applies the sums in the leader's reply to a request that was sent at `sent`.
    pub(super) fn apply_sums(&self, reply: &FollowReply, sent: Instant) {
        if !self.is_enabled {
            return;
        }
        let until = sent.saturating_duration_since(self.started) + SUMS_LEASE;
        let mut services = self.services();
        for room in &reply.rooms {
            let service = ServiceName::from(room.service.as_str());
            services.entry(service).or_default().sums = Some(Sums {
                demand: from_wire(room),
                level: f64::from(room.level).clamp(0.0, 1.0),
                until,
            });
        }
    }

    /// Returns the level by which each service refuses.
    pub(super) fn levels(&self) -> Vec<(String, f64)> {
        let services = self.services();
        let all = services.iter();
        all.map(|(service, state)| (service.to_string(), state.plan.level))
            .collect()
    }

    /// Returns the largest fraction of each account's work that is refused now at some service.
    pub(super) fn refused_fractions(&self) -> Vec<(String, f64)> {
        let mut largest: HashMap<String, f64> = HashMap::new();
        for state in self.services().values() {
            for (account, fraction) in &state.plan.refused {
                let held = largest.entry(account.to_string()).or_default();
                *held = held.max(*fraction);
            }
        }
        largest.into_iter().collect()
    }

    /// Decides whether there is room for a request that has `time_left`. Returns the cause if not.
    fn check(
        &self,
        asked: &Asked,
        table: &RouteIndex,
        target: Duration,
        outlook: impl FnOnce() -> Option<Outlook>,
        time_left: Duration,
    ) -> Result<(), Cause> {
        let now = self.started.elapsed();
        let mut services = self.services();
        if !services.contains_key(&asked.service) {
            services.insert(asked.service.clone(), ServiceState::default());
        }
        let Some(state) = services.get_mut(&asked.service) else {
            return Ok(());
        };
        if state.plan.is_due(now) {
            let outlook = outlook();
            if let Some(outlook) = &outlook {
                state.pressure.record(outlook, target, now);
            }
            state.make_plan(&asked.service, table, outlook, now);
        }
        if state.plan.level <= 0.0 {
            return Ok(());
        }
        let fraction = state.plan.refused.get(&asked.account).copied();
        let fraction = fraction.unwrap_or_default();
        let mean_rank = state.meter.mean_rank();
        let probability = room::refusal_probability(fraction, asked.rank, mean_rank);
        let outlook = state.plan.outlook.as_ref();
        let cause = if rand::random::<f64>() < probability {
            Cause::OverShare
        } else if outlook.is_some_and(|outlook| room::is_hopeless(outlook, time_left)) {
            Cause::Hopeless
        } else {
            return Ok(());
        };
        let (work, rank) = (asked.work, asked.rank);
        state.meter.record_refused(&asked.account, work, rank, now);
        state.log_refusal(asked, cause, fraction, now);
        Err(cause)
    }

    fn services(&self) -> MutexGuard<'_, HashMap<ServiceName, ServiceState>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Plan {
    fn is_due(&self, now: Duration) -> bool {
        let is_fresh = |at| now.saturating_sub(at) < PLAN_MAX_AGE;
        !self.made_at.is_some_and(is_fresh)
    }
}

impl ServiceState {
    fn make_plan(
        &mut self,
        service: &ServiceName,
        table: &RouteIndex,
        outlook: Option<Outlook>,
        now: Duration,
    ) {
        let own = self.pressure.level(now);
        let sums = self.sums.as_ref().filter(|sums| now < sums.until);
        let view = View::choose(own, sums.map(|sums| sums.level));
        let demand = match (view, sums) {
            (View::Overall(_), Some(sums)) => sums.demand.clone(),
            (View::Overall(_) | View::Own(_), _) => self.meter.demand(now),
        };
        let level = view.level();
        let fractions = room::refused_fractions(&demand, |name| weight(table, name), level);
        let accounts = demand.accounts.into_iter().map(|held| held.account);
        self.plan = Plan {
            made_at: Some(now),
            own_level: own,
            level,
            outlook,
            is_overall: matches!(view, View::Overall(_)),
            refused: accounts
                .zip(fractions)
                .filter(|(_, fraction)| *fraction > 0.0)
                .collect(),
        };
        self.log_scarcity(service, now);
    }

    fn log_scarcity(&mut self, service: &ServiceName, now: Duration) {
        let is_scarce = self.plan.level > 0.0;
        let is_due = match self.logged {
            Some((logged, at)) => logged != is_scarce && now - at >= LOG_INTERVAL,
            None => is_scarce,
        };
        if !is_due {
            return;
        }
        self.logged = Some((is_scarce, now));
        let lease_left = self
            .sums
            .as_ref()
            .map(|sums| sums.until.saturating_sub(now));
        log::info!(
            event = "room.scarce", service:% = service, scarce = is_scarce,
            level = self.plan.level, own_level = self.plan.own_level,
            overall = self.plan.is_overall, lease_left_ms = lease_left.map_or(0, millis),
            accounts_over = self.plan.refused.len();
            "ingress: whether service {service} has too little room changed"
        );
    }

    fn log_refusal(&mut self, asked: &Asked, cause: Cause, fraction: f64, now: Duration) {
        if self.refusals.len() > room::MAX_ACCOUNTS {
            self.refusals.clear();
        }
        let (count, logged_at) = self.refusals.entry(asked.account.clone()).or_default();
        *count += 1;
        if now.saturating_sub(*logged_at) < LOG_INTERVAL {
            return;
        }
        log::info!(
            event = "room.refused", service:% = asked.service, account:% = asked.account,
            reason = cause.name(), count = *count, fraction = fraction, level = self.plan.level,
            overall = self.plan.is_overall, work_ms = asked.work * 1e3, rank = asked.rank;
            "ingress: requests are refused for want of room"
        );
        (*count, *logged_at) = (0, now);
    }
}

/// Refuses a request for which there is no room, before its body is read. Returns the work that it asks of
/// its service, if the service's room is shared.
pub(super) fn check_before_body<P: Platform, T: Clock>(
    core: &Core<P, T>,
    table: &RouteIndex,
    route: &Route,
    service: &ServiceName,
    account: Option<&AccountName>,
    facts: &RequestMetadata,
    deadline: Instant,
) -> Result<Option<Asked>, NotRun> {
    let room = &core.room;
    if !room.is_enabled() {
        return Ok(None);
    }
    let prompt = facts.prompt.as_ref();
    let known = account.and_then(|account| {
        core.quotas
            .known_refusal(account, prompt, core.clock.monotonic())
    });
    if let Some(wait) = known {
        room.refused[Cause::OverQuota as usize].increment();
        return Err(NotRun::OverQuota(wait));
    }
    // A stream that the caller resumes has been served in part already, so it is not refused.
    if !route.class.is_stream() || facts.resume_after.is_some() {
        return Ok(None);
    }
    let now = Instant::now();
    let time_left = deadline.saturating_duration_since(now);
    let rank = table.urgency(service, route, account);
    let new_tokens = prompt.map_or(0, |prompt| prompt.new_tokens());
    let output = prompt.map_or(0, |prompt| prompt.max_output_tokens);
    let asked = Asked {
        service: service.clone(),
        account: account.cloned().unwrap_or_else(|| AccountName::from("")),
        work: room::work_seconds(new_tokens, output, core.upstreams.prefill_speed(service)),
        rank: room::rank_with_time(rank, time_left, route.timeout),
    };
    let outlook = || {
        let req = RouteRequest {
            zone: core.settings.zone.clone(),
            prompt_tokens: 0,
            home: 0,
        };
        // Idle servers of a version that is only tried are no room.
        let has_others = |target: &_| core.upstreams.has_beside(service, target);
        let versions = core.rollouts.usual_versions(service, None, has_others, now);
        let eligible = Eligible {
            tried: &[],
            origin: None,
            versions: &versions,
        };
        let upstreams = &core.upstreams;
        upstreams.outlook(service, &req, new_tokens, &eligible, now)
    };
    let checked = room.check(&asked, table, route.target, outlook, time_left);
    let Err(cause) = checked else {
        return Ok(Some(asked));
    };
    room.refused[cause as usize].increment();
    let after = room::retry_after(room.mean_wait(service), time_left, rand::random());
    Err(match cause {
        Cause::Hopeless => NotRun::Hopeless(after),
        Cause::OverShare | Cause::OverQuota => NotRun::OverShare(after),
    })
}

/// Returns the weight of an account: the rate that its quota grants it, or without a quota the mean of the others.
fn weight(table: &RouteIndex, name: &AccountName) -> f64 {
    let rate = |quota: &crate::domain::Quota| quota.per_second.max(f64::MIN_POSITIVE);
    let accounts = &table.table.accounts;
    let own = accounts.iter().find(|account| account.name == *name);
    let own = own.and_then(|account| account.quota.as_ref());
    own.map_or_else(
        || {
            let rates = accounts
                .iter()
                .filter_map(|account| account.quota.as_ref().map(rate));
            let (count, sum) =
                rates.fold((0.0, 0.0), |(count, sum), rate| (count + 1.0, sum + rate));
            match count > 0.0 {
                true => sum / count,
                false => 1.0,
            }
        },
        rate,
    )
}

fn to_wire(demands: Vec<AccountDemand>) -> Vec<AccountWork> {
    let demands = demands.into_iter();
    demands
        .map(|demand| AccountWork {
            account: demand.account.to_string(),
            work: demand.work as f32,
        })
        .collect()
}

fn from_wire(room: &ServiceRoom) -> Demand {
    let accounts = room.accounts.iter();
    let valid = accounts.filter(|held| held.work.is_finite() && held.work > 0.0);
    let accounts = valid.map(|held| AccountDemand {
        account: held.account.as_str().into(),
        work: f64::from(held.work),
    });
    Demand {
        accounts: accounts.collect(),
        admitted: f64::from(room.admitted).max(0.0),
    }
}
