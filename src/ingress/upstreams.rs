//! The upstreams that requests can be sent to, and what this gateway knows of their load.

use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout},
};

use crate::{
    domain::{Incarnation, InstanceName, RoutingWeights, ServiceName, ZoneName},
    policy::{
        overload::Waits,
        route::{self, Candidate, Reason, Report, RouteRequest},
        silence::{Awaited, OnTime, Silences},
        speed::Reading,
    },
    ports::{ReportedLoad, Target},
    wire::{ServiceLoad, UpstreamList, UpstreamRow},
};

/// Time for which an upstream that failed gets requests only if all others failed too; it doubles with
/// each further failure, since each look at a dead one costs a request.
const SUSPECT_FOR: Duration = Duration::from_millis(1500);
/// Most doublings of that time.
const MOST_DOUBLINGS: u32 = 2;
/// Time for which callers may still use the addresses that they got before a stop.
const OLD_ADDRESSES: Duration = Duration::from_millis(3500);

/// Time over which a service's use is averaged.
const METER_SPAN: Duration = Duration::from_secs(1);

/// One upstream.
#[derive(Debug)]
pub(super) struct Upstream {
    /// Where to send requests.
    pub(super) target: Target,
    service: ServiceName,
    zone: ZoneName,
    slots: u32,
    leaving: AtomicBool,
    in_flight: AtomicU32,
    load: Mutex<Load>,
}

#[derive(Debug, Default)]
struct Load {
    reported: Option<(ReportedLoad, Instant)>,
    sent_since_report: u32,
    suspect_until: Option<Instant>,
    /// Failures since the last exchange that went well.
    failures: u32,
    /// Since when requests wait for a sign of life.
    waiting_since: Option<Instant>,
}

impl Upstream {
    /// Returns whether it may get a request now.
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Takes the load that the upstream told with an answer.
    pub(super) fn report(&self, load: ReportedLoad, now: Instant) {
        let mut state = self.load();
        state.reported = Some((load, now));
        state.sent_since_report = 0;
    }

    /// Notes a sign of life.
    pub(super) fn hear(&self, now: Instant) {
        self.load().waiting_since = Some(now);
    }

    /// Notes that an exchange failed.
    pub(super) fn suspect(&self, now: Instant) {
        let mut load = self.load();
        load.suspect_until = Some(now + SUSPECT_FOR * 2_u32.pow(load.failures));
        load.failures = (load.failures + 1).min(MOST_DOUBLINGS);
    }

    /// Notes that an exchange went well.
    pub(super) fn trust(&self) {
        let mut load = self.load();
        load.suspect_until = None;
        load.failures = 0;
    }

    /// Returns whether requests are in progress and nothing was heard for longer than a limit.
    pub(super) fn is_lost(&self, limit: Duration, now: Instant) -> bool {
        self.is_silent(&self.load(), limit, now)
    }

    fn is_silent(&self, load: &Load, limit: Duration, now: Instant) -> bool {
        let waits = self.in_flight.load(Ordering::Relaxed) > 0;
        let silent = |since| now.duration_since(since) > limit;
        waits && load.waiting_since.is_some_and(silent)
    }

    fn load(&self) -> MutexGuard<'_, Load> {
        self.load.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn candidate(&self, limit: Duration, now: Instant) -> Candidate {
        let load = self.load();
        Candidate {
            instance: self.target.instance.clone(),
            zone: self.zone.clone(),
            slots: self.slots,
            report: load.reported.map(|(reported, at)| Report {
                running: reported.running,
                queued: reported.waiting,
                age: now.duration_since(at),
            }),
            sent_since_report: load.sent_since_report,
            in_progress: self.in_flight.load(Ordering::Relaxed),
            cached_tokens: None,
            suspect: load.suspect_until.is_some_and(|until| until > now)
                || self.is_silent(&load, limit, now),
        }
    }
}

type ByService = HashMap<ServiceName, Vec<Arc<Upstream>>>;

/// All upstreams, by service.
#[derive(Debug, Default)]
pub(super) struct Upstreams {
    services: ArcSwap<ByService>,
    in_flight: InFlight,
    meters: Mutex<HashMap<ServiceName, Meter>>,
    silences: Mutex<HashMap<ServiceName, Silences>>,
}

/// Measures how much a service is used.
#[derive(Debug)]
struct Meter {
    /// Requests in progress now.
    count: u32,
    /// Requests in progress and prompt tokens in a second, averaged over [`METER_SPAN`].
    in_flight: f64,
    prompt_tokens: f64,
    at: Instant,
    reading: Reading,
    waits: Waits,
    started: Instant,
}

impl Meter {
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
        let kept = (-passed.as_secs_f64() / METER_SPAN.as_secs_f64()).exp();
        self.in_flight = self.in_flight * kept + f64::from(self.count) * (1.0 - kept);
        self.prompt_tokens *= kept;
        self.at = now;
    }
}

#[derive(Debug, Default)]
struct InFlight {
    count: AtomicUsize,
    idle: Notify,
}

/// A request on its way to an upstream, counted until it is dropped.
#[derive(Debug)]
pub(super) struct Flight {
    pub(super) upstream: Arc<Upstream>,
    /// Why this upstream was chosen.
    pub(super) reason: Reason,
    all: Arc<Upstreams>,
}

impl Flight {
    /// Returns the silence after which the upstream is taken to be lost.
    pub(super) fn silence(&self, awaited: Awaited, on_time: &OnTime) -> Duration {
        self.all.silence(&self.upstream.service, awaited, on_time)
    }

    /// Notes how long something was waited for, also if the wait was given up then.
    pub(super) fn note_pause(&self, awaited: Awaited, pause: Duration) {
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

impl Drop for Flight {
    fn drop(&mut self) {
        self.all
            .meter(&self.upstream.service, |meter| meter.count -= 1);
        self.upstream.in_flight.fetch_sub(1, Ordering::Relaxed);
        if self.all.in_flight.count.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.all.in_flight.idle.notify_waiters();
        }
    }
}

impl Upstreams {
    /// Takes a new list. What is known of upstreams that stay is kept. Returns where those were that left it.
    pub(super) fn replace(&self, list: &UpstreamList) -> HashSet<Target> {
        self.put(list, ByService::new(), |_| true)
    }

    /// Takes what changed in the list. Returns where those were that left it.
    pub(super) fn change(&self, list: &UpstreamList) -> HashSet<Target> {
        let told: HashSet<&str> = list
            .rows
            .iter()
            .map(|row| &*row.instance)
            .chain(list.gone.iter().map(|gone| &**gone))
            .collect();
        let is_told = |upstream: &Upstream| told.contains(upstream.target.instance.as_str());
        let mut services = (*self.services.load_full()).clone();
        for upstreams in services.values_mut() {
            upstreams.retain(|upstream| !is_told(upstream));
        }
        self.put(list, services, is_told)
    }

    /// Puts the rows of a list into what stays of the services; `is_told` says of which upstreams it tells.
    fn put(
        &self,
        list: &UpstreamList,
        mut services: ByService,
        is_told: impl Fn(&Upstream) -> bool,
    ) -> HashSet<Target> {
        let before = self.services.load_full();
        let known: HashMap<&InstanceName, &Arc<Upstream>> = before
            .values()
            .flatten()
            .filter(|upstream| is_told(upstream))
            .map(|upstream| (&upstream.target.instance, upstream))
            .collect();
        let mut listed = HashSet::new();
        for row in &list.rows {
            let Some(upstream) = kept(&known, row).or_else(|| new(row)) else {
                log::warn!("ingress: upstream {} has no address.", row.instance);
                continue;
            };
            if upstream.leaving.swap(row.leaving, Ordering::Relaxed) != row.leaving {
                log::info!(
                    event = "upstream.leaving", upstream = row.instance.as_str(),
                    service = row.service.as_str();
                    "ingress: upstream {} is leaving", row.instance
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
        let known = known.into_values();
        let gone = known.map(|upstream| upstream.target.clone());
        gone.filter(|target| !listed.contains(target)).collect()
    }

    /// Returns whether a service has an upstream that was not tried before.
    pub(super) fn has_other(&self, service: &ServiceName, tried: &[InstanceName]) -> bool {
        let services = self.services.load();
        let all = services.get(service);
        all.is_some_and(|all| untried(all, tried).next().is_some())
    }

    /// Returns the silence after which an upstream of a service is taken to be lost.
    pub(super) fn silence(
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
    pub(super) fn pauses(&self, awaited: Awaited) -> Vec<(String, f64)> {
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
    ) -> Option<Flight> {
        let services = self.services.load();
        let all = services.get(service)?;
        let usable: Vec<_> = untried(all, tried).collect();
        let candidates: Vec<_> = usable
            .iter()
            .map(|upstream| upstream.candidate(silence, now))
            .collect();
        let weights = RoutingWeights::default();
        let (chosen, reason) = route::choose_with_reason(req, &candidates, &weights)?;
        let upstream = Arc::clone(usable[chosen]);
        let was_idle = upstream.in_flight.fetch_add(1, Ordering::Relaxed) == 0;
        let mut load = upstream.load();
        load.sent_since_report += 1;
        if was_idle {
            load.waiting_since = Some(now);
        }
        drop(load);
        self.in_flight.count.fetch_add(1, Ordering::Relaxed);
        self.meter(service, |meter| {
            meter.count += 1;
            meter.prompt_tokens += f64::from(new_tokens) / METER_SPAN.as_secs_f64();
        });
        Some(Flight {
            upstream,
            reason,
            all: Arc::clone(self),
        })
    }

    /// Notes for how long a request with a target and some new prompt tokens waited for the first byte of
    /// its answer.
    pub(super) fn note_wait(
        &self,
        service: &ServiceName,
        wait: Duration,
        target: Duration,
        new_tokens: u32,
    ) {
        self.meter(service, |meter| {
            meter.waits.begun(wait, target, meter.started.elapsed());
            meter.reading.note(new_tokens, wait);
        });
    }

    /// Decides whether a request for a service is refused because others wait too long; see
    /// [`Waits::refuse`].
    pub(super) fn refuse(
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
    pub(super) fn loads(&self, now: Instant) -> Vec<ServiceLoad> {
        let services = self.services.load();
        let mut meters = self.meters.lock().unwrap_or_else(PoisonError::into_inner);
        let load = |(service, meter): (&ServiceName, &mut Meter)| {
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

    fn meter(&self, service: &ServiceName, change: impl FnOnce(&mut Meter)) {
        let now = Instant::now();
        let mut meters = self.meters.lock().unwrap_or_else(PoisonError::into_inner);
        if !meters.contains_key(service) {
            meters.insert(service.clone(), Meter::new(now));
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
        sleep(OLD_ADDRESSES.min(patience)).await;
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
) -> impl Iterator<Item = &'a Arc<Upstream>> {
    all.iter()
        .filter(|upstream| !upstream.is_leaving())
        .filter(|upstream| !tried.contains(&upstream.target.instance))
}

fn kept(
    known: &HashMap<&InstanceName, &Arc<Upstream>>,
    row: &UpstreamRow,
) -> Option<Arc<Upstream>> {
    let upstream = known.get(&InstanceName::from(row.instance.as_str()))?;
    let same = upstream.target.address.to_string() == row.address && upstream.slots == row.slots;
    same.then(|| Arc::clone(upstream))
}

fn new(row: &UpstreamRow) -> Option<Arc<Upstream>> {
    Some(Arc::new(Upstream {
        target: Target {
            instance: row.instance.as_str().into(),
            incarnation: Incarnation(0),
            address: row.address.parse().ok()?,
        },
        service: row.service.as_str().into(),
        zone: row.zone.as_str().into(),
        slots: row.slots,
        leaving: AtomicBool::new(row.leaving),
        in_flight: AtomicU32::new(0),
        load: Mutex::default(),
    }))
}
