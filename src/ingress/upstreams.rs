//! The upstreams that requests can be sent to, and what this gateway knows of their load.

use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout},
};

use super::upstream::Upstream;
use crate::{
    domain::{InstanceName, ServiceName},
    policy::{
        availability::LIST_MAY_LAG,
        backlog::{self, SentPrompt, UNKNOWN_SPEED},
        overload::Waits,
        route::{self, Reason, RouteRequest},
        silence::{Awaited, OnTime, Silences},
        speed::Reading,
    },
    ports::Target,
    wire::{EngineSpeed, ServiceLoad, Told, UpstreamList, UpstreamRow},
};

/// Time for which callers may still use the addresses that they got before a stop.
const ADDRESS_DRAIN_TIME: Duration = Duration::from_millis(3500);

/// Time over which a service's use is averaged.
const METER_AVERAGING_TIME: Duration = Duration::from_secs(1);

type ByService = HashMap<ServiceName, Vec<Arc<Upstream>>>;

/// Upstreams that left the list after they had said that they leave, and when.
type Departed = HashMap<InstanceName, (Arc<Upstream>, Instant)>;

/// All upstreams, by service.
#[derive(Debug, Default)]
pub(super) struct Upstreams {
    services: ArcSwap<ByService>,
    in_flight: InFlightCount,
    meters: Mutex<HashMap<ServiceName, ServiceMeter>>,
    silences: Mutex<HashMap<ServiceName, Silences>>,
    /// Prompt tokens that one engine of each service reads in a second, as controllers tell it.
    speeds: ArcSwap<HashMap<ServiceName, f64>>,
    departed: Mutex<Departed>,
}

/// Measures how much a service is used.
#[derive(Debug)]
struct ServiceMeter {
    /// Requests in progress now.
    count: u32,
    /// Requests in progress and prompt tokens in a second, averaged over [`METER_AVERAGING_TIME`].
    in_flight: f64,
    prompt_tokens: f64,
    at: Instant,
    reading: Reading,
    waits: Waits,
    started: Instant,
}

impl ServiceMeter {
    fn new(now: Instant) -> Self {
        Self {
            count: 0,
            in_flight: 0.0,
            prompt_tokens: 0.0,
            at: now,
            reading: Reading::default(),
            waits: Waits::default(),
            started: now,
        }
    }

    fn advance(&mut self, now: Instant) {
        let passed = now.duration_since(self.at);
        self.reading.age(passed);
        let decay = (-passed.as_secs_f64() / METER_AVERAGING_TIME.as_secs_f64()).exp();
        self.in_flight = self.in_flight * decay + f64::from(self.count) * (1.0 - decay);
        self.prompt_tokens *= decay;
        self.at = now;
    }
}

#[derive(Debug, Default)]
struct InFlightCount {
    count: AtomicUsize,
    idle: Notify,
}

/// A request on its way to an upstream, counted until it is dropped.
#[derive(Debug)]
pub(super) struct InFlightGuard {
    pub(super) upstream: Arc<Upstream>,
    /// Why this upstream was chosen.
    pub(super) reason: Reason,
    /// How fast the upstream was believed to read.
    pub(super) speed: f64,
    /// The prompt, until its answer begins.
    prompt: Option<SentPrompt>,
    all: Arc<Upstreams>,
}

impl InFlightGuard {
    /// Notes that the answer has begun.
    pub(super) fn record_first_byte(&mut self) {
        self.finish_prompt(true);
    }

    fn finish_prompt(&mut self, begun: bool) {
        if let Some(prompt) = self.prompt.take() {
            let now = Instant::now();
            self.upstream.finish_prompt(prompt, begun, self.speed, now);
        }
    }

    /// Returns the silence after which the upstream is taken to be lost.
    pub(super) fn silence_limit(&self, awaited: Awaited, on_time: &OnTime) -> Duration {
        self.all
            .silence_limit(&self.upstream.service, awaited, on_time)
    }

    /// Notes how long something was waited for, also if the wait was given up then.
    pub(super) fn record_wait(&self, awaited: Awaited, pause: Duration) {
        let mut silences = self.all.silences();
        // Only the first wait of a service needs a copy of its name.
        match silences.get_mut(&self.upstream.service) {
            Some(known) => known.note(awaited, pause),
            None => {
                let known = silences.entry(self.upstream.service.clone());
                known.or_default().note(awaited, pause);
            }
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.finish_prompt(false);
        self.all
            .with_meter(&self.upstream.service, |meter| meter.count -= 1);
        self.upstream.release();
        if self.all.in_flight.count.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.all.in_flight.idle.notify_waiters();
        }
    }
}

impl Upstreams {
    /// Takes a new list. What is known of upstreams that stay is kept. Returns where those were that left it.
    pub(super) fn replace_list(&self, list: &UpstreamList) -> HashSet<Target> {
        self.install_list(list, ByService::new(), |_| true)
    }

    /// Takes what changed in the list. Returns where those were that left it.
    pub(super) fn apply_changes(&self, list: &UpstreamList) -> HashSet<Target> {
        let told: HashSet<&str> = list
            .rows
            .iter()
            .map(|row| &*row.instance)
            .chain(list.gone.iter().map(|gone| &**gone))
            .collect();
        let is_affected = |upstream: &Upstream| told.contains(upstream.target.instance.as_str());
        let mut services = (*self.services.load_full()).clone();
        for upstreams in services.values_mut() {
            upstreams.retain(|upstream| !is_affected(upstream));
        }
        self.install_list(list, services, is_affected)
    }

    /// Puts the rows of a list into what stays of the services; `is_affected` says of which upstreams it tells.
    fn install_list(
        &self,
        list: &UpstreamList,
        mut services: ByService,
        is_affected: impl Fn(&Upstream) -> bool,
    ) -> HashSet<Target> {
        let before = self.services.load_full();
        let now = Instant::now();
        let mut departed = self.departed();
        departed.retain(|_, (_, at)| now.duration_since(*at) < LIST_MAY_LAG);
        let listed_before = before.values().flatten();
        let known: HashMap<&InstanceName, &Arc<Upstream>> = departed
            .values()
            .map(|(upstream, _)| upstream)
            .chain(listed_before.filter(|upstream| is_affected(upstream)))
            .map(|upstream| (&upstream.target.instance, upstream))
            .collect();
        let mut listed = HashSet::new();
        for row in &list.rows {
            let Some(upstream) =
                reuse_upstream(&known, row).or_else(|| Upstream::new(row).map(Arc::new))
            else {
                log::warn!("ingress: upstream {} has no address.", row.instance);
                continue;
            };
            if upstream.apply_listing(row, now) {
                log::info!(
                    event = "upstream.listed", upstream = row.instance.as_str(),
                    service = row.service.as_str(), leaving = upstream.is_leaving(),
                    listed_leaving = row.leaving, others_know = row.said_leaving;
                    "ingress: the list changes whether upstream {} gets new work", row.instance
                );
            }
            listed.insert(upstream.target.clone());
            let service = ServiceName::from(row.service.as_str());
            services.entry(service).or_default().push(upstream);
        }
        let version = list.version.unwrap_or_default();
        log::info!(
            event = "list.in_force", term = version.term, sequence = version.sequence,
            told = list.rows.len(), gone = list.gone.len(),
            upstreams = services.values().map(Vec::len).sum::<usize>();
            "ingress: a list of upstreams is in force"
        );
        self.services.store(Arc::new(services));
        let gone: Vec<Arc<Upstream>> = known
            .into_values()
            .filter(|upstream| !listed.contains(&upstream.target))
            .map(Arc::clone)
            .collect();
        // What one said itself stands if an older list brings it back.
        for upstream in gone
            .iter()
            .filter(|upstream| upstream.recently_said_leaving(now))
        {
            let name = upstream.target.instance.clone();
            departed.entry(name).or_insert((Arc::clone(upstream), now));
        }
        gone.into_iter()
            .map(|upstream| upstream.target.clone())
            .collect()
    }

    fn departed(&self) -> MutexGuard<'_, Departed> {
        self.departed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the upstreams that said lately that they leave.
    pub(super) fn said_leaving(&self, now: Instant) -> Vec<String> {
        let services = self.services.load();
        let all = services.values().flatten();
        let said = all.filter(|upstream| upstream.recently_said_leaving(now));
        said.map(|upstream| upstream.target.instance.to_string())
            .collect()
    }

    /// Returns when the first pause ends if all upstreams of a service that do not leave asked for one.
    pub(super) fn min_pause_left(&self, service: &ServiceName, now: Instant) -> Option<Duration> {
        let services = self.services.load();
        let stay = services.get(service)?.iter();
        let stay = stay.filter(|upstream| !upstream.is_leaving());
        let pauses: Option<Vec<Duration>> = stay.map(|upstream| upstream.pause_left(now)).collect();
        pauses?.into_iter().min()
    }

    /// Returns whether a service has an upstream that was not tried before.
    pub(super) fn has_untried(
        &self,
        service: &ServiceName,
        tried: &[InstanceName],
        now: Instant,
    ) -> bool {
        let services = self.services.load();
        let all = services.get(service);
        all.is_some_and(|all| untried(all, tried, now).next().is_some())
    }

    /// Returns the silence after which an upstream of a service is taken to be lost.
    pub(super) fn silence_limit(
        &self,
        service: &ServiceName,
        awaited: Awaited,
        on_time: &OnTime,
    ) -> Duration {
        let silences = self.silences();
        match silences.get(service) {
            Some(known) => known.limit(awaited, on_time),
            None => Silences::default().limit(awaited, on_time),
        }
    }

    /// Returns for how long something is waited for at each service on average, in seconds.
    pub(super) fn mean_waits(&self, awaited: Awaited) -> Vec<(String, f64)> {
        let silences = self.silences();
        let known = silences.iter();
        known
            .map(|(service, known)| (service.to_string(), known.mean(awaited)))
            .collect()
    }

    fn silences(&self) -> MutexGuard<'_, HashMap<ServiceName, Silences>> {
        self.silences.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Chooses an upstream of a service that was not tried before, and counts the request there;
    /// `new_tokens` of its prompt are held by no upstream. One that was silent for longer than a limit is
    /// chosen last.
    pub(super) fn choose(
        self: &Arc<Self>,
        service: &ServiceName,
        req: &RouteRequest,
        silence: Duration,
        new_tokens: u32,
        tried: &[InstanceName],
        now: Instant,
    ) -> Option<InFlightGuard> {
        let services = self.services.load();
        let all = services.get(service)?;
        let speed = self.read_speed(service);
        let usable: Vec<_> = untried(all, tried, now).collect();
        let candidates: Vec<_> = usable
            .iter()
            .map(|upstream| upstream.candidate(silence, speed, now))
            .collect();
        let weights = backlog::weights(speed);
        let (chosen, reason) = route::choose_with_reason(req, &candidates, &weights)?;
        let upstream = Arc::clone(usable[chosen]);
        let prompt = upstream.record_send(new_tokens, speed, now);
        self.in_flight.count.fetch_add(1, Ordering::Relaxed);
        self.with_meter(service, |meter| {
            meter.count += 1;
            meter.prompt_tokens += f64::from(new_tokens) / METER_AVERAGING_TIME.as_secs_f64();
        });
        Some(InFlightGuard {
            upstream,
            reason,
            speed,
            prompt: Some(prompt),
            all: Arc::clone(self),
        })
    }

    /// Takes what another gateway sent just now.
    pub(super) fn record_remote_prompt(&self, told: &Told, now: Instant) {
        let services = self.services.load();
        let service = ServiceName::from(told.service.as_str());
        let mut all = services.get(&service).into_iter().flatten();
        let is_target =
            |upstream: &&Arc<Upstream>| upstream.target.instance.as_str() == told.instance;
        // One that this gateway has not heard of yet is not chosen here.
        if let Some(upstream) = all.find(is_target) {
            upstream.record_remote_prompt(told.tokens, self.read_speed(&service), now);
        }
    }

    /// Takes how fast engines read; services that are left out keep their speed.
    pub(super) fn set_speeds(&self, told: &[EngineSpeed]) {
        let known = self.speeds.load();
        let is_known = |speed: &EngineSpeed| {
            known.get(&ServiceName::from(speed.service.as_str())) == Some(&speed.tokens_per_second)
        };
        if told.iter().all(is_known) {
            return;
        }
        let mut speeds = (**known).clone();
        let told = told.iter().filter(|speed| speed.tokens_per_second > 0.0);
        speeds.extend(told.map(|speed| (speed.service.as_str().into(), speed.tokens_per_second)));
        self.speeds.store(Arc::new(speeds));
    }

    /// Returns how many prompt tokens an engine of a service reads in a second.
    fn read_speed(&self, service: &ServiceName) -> f64 {
        self.speeds
            .load()
            .get(service)
            .copied()
            .unwrap_or(UNKNOWN_SPEED)
    }

    /// Notes for how long a request with a target and some new prompt tokens waited for the first byte of
    /// its answer.
    pub(super) fn record_first_wait(
        &self,
        service: &ServiceName,
        wait: Duration,
        target: Duration,
        new_tokens: u32,
    ) {
        self.with_meter(service, |meter| {
            meter.waits.begun(wait, target, meter.started.elapsed());
            meter.reading.note(new_tokens, wait);
        });
    }

    /// Decides whether a request for a service is refused because others wait too long; see
    /// [`Waits::refuse`].
    pub(super) fn check_overload(
        &self,
        service: &ServiceName,
        rank: impl FnOnce() -> f64,
        now: Instant,
    ) -> Option<Duration> {
        let mut meters = self.meters.lock().unwrap_or_else(PoisonError::into_inner);
        let meter = meters.get_mut(service)?;
        let now = now.duration_since(meter.started);
        meter.waits.refuse(rank, rand::random(), now)
    }

    /// Returns how much this gateway uses each service.
    pub(super) fn service_loads(&self, now: Instant) -> Vec<ServiceLoad> {
        let services = self.services.load();
        let mut meters = self.meters.lock().unwrap_or_else(PoisonError::into_inner);
        let load = |(service, meter): (&ServiceName, &mut ServiceMeter)| {
            meter.advance(now);
            let listed = services.get(service).into_iter().flatten();
            let upstreams = listed.filter(|upstream| !upstream.is_leaving()).count();
            ServiceLoad {
                service: service.to_string(),
                in_flight: meter.in_flight,
                prompt_tokens: meter.prompt_tokens,
                reading: Some(meter.reading),
                upstreams: u32::try_from(upstreams).unwrap_or(u32::MAX),
            }
        };
        meters.iter_mut().map(load).collect()
    }

    fn with_meter(&self, service: &ServiceName, change: impl FnOnce(&mut ServiceMeter)) {
        let now = Instant::now();
        let mut meters = self.meters.lock().unwrap_or_else(PoisonError::into_inner);
        if !meters.contains_key(service) {
            meters.insert(service.clone(), ServiceMeter::new(now));
        }
        if let Some(meter) = meters.get_mut(service) {
            meter.advance(now);
            change(meter);
        }
    }

    /// Returns how many requests are in progress.
    pub(super) fn in_progress(&self) -> usize {
        self.in_flight.count.load(Ordering::Relaxed)
    }

    /// Waits until callers know that this gateway leaves and no request is in progress, or until
    /// the patience ends.
    pub(super) async fn wait_until_idle(&self, patience: Duration) {
        let end = Instant::now() + patience;
        sleep(ADDRESS_DRAIN_TIME.min(patience)).await;
        loop {
            let idle = self.in_flight.idle.notified();
            if self.in_flight.count.load(Ordering::Relaxed) == 0 {
                return;
            }
            let left = end.saturating_duration_since(Instant::now());
            if timeout(left, idle).await.is_err() {
                let left = self.in_flight.count.load(Ordering::Relaxed);
                log::warn!("ingress: {left} requests are cut off by the stop.");
                return;
            }
        }
    }
}

/// Returns those of some upstreams that may get a request and were not tried before.
fn untried<'a>(
    all: &'a [Arc<Upstream>],
    tried: &'a [InstanceName],
    now: Instant,
) -> impl Iterator<Item = &'a Arc<Upstream>> {
    all.iter()
        .filter(move |upstream| upstream.accepts_work(now))
        .filter(|upstream| !tried.contains(&upstream.target.instance))
}

fn reuse_upstream(
    known: &HashMap<&InstanceName, &Arc<Upstream>>,
    row: &UpstreamRow,
) -> Option<Arc<Upstream>> {
    let upstream = known.get(&InstanceName::from(row.instance.as_str()))?;
    upstream.is_same(row).then(|| Arc::clone(upstream))
}
