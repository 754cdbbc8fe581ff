//! The table of upstreams, with this gateway's view of the load of each service.

use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use tokio::{
    sync::Notify,
    time::{Instant, timeout_at},
};

use super::{
    errors::NotRun,
    paces::Paces,
    rollout::Versions,
    upstream::{CandidateView, Eligible, GatewaySet, Upstream},
};
use crate::{
    domain::{InstanceName, ServiceName, SoftwareVersion, ZoneName},
    policy::{
        availability::MAX_LIST_LAG,
        backlog::{self, DEFAULT_PREFILL_TOKENS_PER_SECOND, Placement, PromptMix, SentPrompt},
        overload::LoadShedder,
        pace::{Outlook, USUAL_PERCENT},
        route::{self, Reason, RouteRequest, UsualWork},
        silence::{Awaited, PauseTracker, ResponseTargets},
        speed::PrefillStats,
    },
    ports::Target,
    wire::{
        IngressRecord, PaceTable, PrefillSpeed, PromptAnnouncement, ServiceLoad,
        UpstreamLimitReport, UpstreamList, UpstreamRow,
    },
};

/// Time constant of the exponential moving averages of a service's use.
const METER_AVERAGING_TIME: Duration = Duration::from_secs(1);

/// Retry delay for a caller if only other gateways send requests to the upstreams; by then it may have
/// reached one of them.
const OTHER_GATEWAY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Fewest pauses of a stream that tell its upstream's pace.
const MIN_PAUSES: u32 = 2;

type ByService = HashMap<ServiceName, Vec<Arc<Upstream>>>;

/// Upstreams that announced that they are leaving and are no longer listed, with the time of removal.
type Departed = HashMap<InstanceName, (Arc<Upstream>, Instant)>;

/// All upstreams, by service.
#[derive(Debug, Default)]
pub(super) struct Upstreams {
    services: ArcSwap<ByService>,
    in_flight: InFlightCount,
    meters: Mutex<HashMap<ServiceName, ServiceMeter>>,
    pause_trackers: Mutex<HashMap<ServiceName, PauseTracker>>,
    /// Prefill speed of one engine of each service, in prompt tokens per second, as controllers report it.
    prefill_speeds: ArcSwap<HashMap<ServiceName, f64>>,
    departed: Mutex<Departed>,
    gateways: ArcSwap<GatewaySet>,
    pub(super) paces: Paces,
}

/// Measures this gateway's use of a service.
#[derive(Debug)]
struct ServiceMeter {
    /// Requests in progress now.
    count: u32,
    /// Requests in progress, averaged over [`METER_AVERAGING_TIME`].
    in_flight: f64,
    /// Prompt tokens sent per second, averaged over [`METER_AVERAGING_TIME`].
    prompt_tokens: f64,
    /// When the averages were last updated.
    updated: Instant,
    /// Shared and new tokens of the prompts.
    mix: PromptMix,
    /// Observed prefill speed.
    prefill: PrefillStats,
    /// Tracks the waits for first bytes to detect overload.
    load_shedder: LoadShedder,
    /// Origin of the times in `load_shedder`.
    started: Instant,
}

impl ServiceMeter {
    fn new(now: Instant) -> Self {
        Self {
            count: 0,
            in_flight: 0.0,
            prompt_tokens: 0.0,
            updated: now,
            mix: PromptMix::default(),
            prefill: PrefillStats::default(),
            load_shedder: LoadShedder::default(),
            started: now,
        }
    }

    fn advance(&mut self, now: Instant) {
        let passed = now.duration_since(self.updated);
        self.prefill.decay(passed);
        let decay = (-passed.as_secs_f64() / METER_AVERAGING_TIME.as_secs_f64()).exp();
        self.in_flight = self.in_flight * decay + f64::from(self.count) * (1.0 - decay);
        self.prompt_tokens *= decay;
        self.updated = now;
    }
}

#[derive(Debug, Default)]
struct InFlightCount {
    count: AtomicUsize,
    idle: Notify,
}

/// Counts a request as in progress at an upstream until it is dropped.
#[derive(Debug)]
pub(super) struct InFlightGuard {
    pub(super) upstream: Arc<Upstream>,
    /// Why this upstream was chosen.
    pub(super) reason: Reason,
    /// Prefill speed assumed for the upstream, in tokens per second.
    pub(super) speed: f64,
    /// The prompt in the upstream's backlog, until the response begins.
    prompt: Option<SentPrompt>,
    /// Pauses between the events of the response, and their sum in microseconds.
    pauses: AtomicU32,
    paused_us: AtomicU64,
    upstreams: Arc<Upstreams>,
}

impl InFlightGuard {
    /// Records that the response has begun, so the prompt has been read.
    pub(super) fn record_first_byte(&mut self) {
        self.finish_prompt(true);
    }

    fn finish_prompt(&mut self, begun: bool) {
        if let Some(prompt) = self.prompt.take() {
            let now = Instant::now();
            self.upstream.finish_prompt(prompt, begun, self.speed, now);
        }
    }

    /// Returns the silence after which the upstream is considered lost.
    pub(super) fn silence_timeout(
        &self,
        awaited: Awaited,
        response_targets: &ResponseTargets,
    ) -> Duration {
        let usual =
            self.upstreams
                .silence_timeout(&self.upstream.service, awaited, response_targets);
        let timeout = self.upstream.silence_timeout(usual);
        timeout.min(usual.max(response_targets.max_silence()))
    }

    /// Records how long a first byte or an event was waited for, including waits that were given up.
    pub(super) fn record_wait(&self, awaited: Awaited, wait: Duration) {
        if awaited == Awaited::Next {
            let us = u64::try_from(wait.as_micros()).unwrap_or(u64::MAX);
            self.pauses.fetch_add(1, Ordering::Relaxed);
            self.paused_us.fetch_add(us, Ordering::Relaxed);
        }
        let mut pause_trackers = self.upstreams.pause_trackers();
        // Only the first wait of a service needs to clone its name.
        match pause_trackers.get_mut(&self.upstream.service) {
            Some(tracker) => tracker.record(awaited, wait),
            None => {
                let tracker = pause_trackers.entry(self.upstream.service.clone());
                tracker.or_default().record(awaited, wait);
            }
        }
    }
}

impl InFlightGuard {
    /// Records how long the upstream took for a response that is no stream.
    pub(super) fn record_service_time(&self, time: Duration) {
        self.upstreams.paces.record(&self.upstream, time);
    }

    fn record_pace(&self) {
        let pauses = self.pauses.load(Ordering::Relaxed);
        if pauses >= MIN_PAUSES {
            let paused = Duration::from_micros(self.paused_us.load(Ordering::Relaxed));
            self.upstreams.paces.record(&self.upstream, paused / pauses);
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.finish_prompt(false);
        self.record_pace();
        self.upstreams
            .with_meter(&self.upstream.service, |meter| meter.count -= 1);
        self.upstream.release();
        if self
            .upstreams
            .in_flight
            .count
            .fetch_sub(1, Ordering::Relaxed)
            == 1
        {
            self.upstreams.in_flight.idle.notify_waiters();
        }
    }
}

impl Upstreams {
    /// Starts without upstreams; `learns_paces` says whether their speeds are learned and used.
    pub(super) fn new(learns_paces: bool) -> Self {
        Self {
            paces: Paces::new(learns_paces),
            ..Self::default()
        }
    }

    /// Applies the speeds of upstreams that the leader tells.
    pub(super) fn apply_paces(&self, table: &PaceTable) {
        self.paces.apply(table, Instant::now());
        for upstream in self.services.load().values().flatten() {
            self.set_pace(upstream);
        }
    }

    fn set_pace(&self, upstream: &Upstream) {
        let percent = self.paces.percent(&upstream.target.instance);
        let before = upstream.set_speed_percent(percent);
        if before != percent {
            log::info!(
                event = "upstream.pace", upstream:% = upstream.target.instance,
                service:% = upstream.service, percent = percent, before = before;
                "ingress: requests are placed by another speed of an upstream"
            );
        }
    }

    /// Returns the slowest and the fastest learned speed of each service's upstreams, as multiples of the service's mean.
    pub(super) fn pace_bounds(&self) -> Vec<(String, f64, f64)> {
        let services = self.services.load();
        let bounds = |(service, all): (&ServiceName, &Vec<Arc<Upstream>>)| {
            let percents = || all.iter().map(|upstream| upstream.speed_percent());
            let of_usual = |percent| f64::from(percent) / f64::from(USUAL_PERCENT);
            let (min, max) = (percents().min()?, percents().max()?);
            Some((service.to_string(), of_usual(min), of_usual(max)))
        };
        services.iter().filter_map(bounds).collect()
    }

    /// Replaces the list of upstreams and keeps the state of those that remain. Returns the targets of those
    /// that were removed.
    pub(super) fn replace_list(&self, list: &UpstreamList) -> HashSet<Target> {
        self.install_list(list, ByService::new(), |_| true)
    }

    /// Applies the changes in a partial list. Returns the targets of the upstreams that were removed.
    pub(super) fn apply_changes(&self, list: &UpstreamList) -> HashSet<Target> {
        let changed: HashSet<&str> = list
            .rows
            .iter()
            .map(|row| &*row.instance)
            .chain(list.removed.iter().map(|gone| &**gone))
            .collect();
        let is_affected = |upstream: &Upstream| changed.contains(upstream.target.instance.as_str());
        let mut services = (*self.services.load_full()).clone();
        for upstreams in services.values_mut() {
            upstreams.retain(|upstream| !is_affected(upstream));
        }
        self.install_list(list, services, is_affected)
    }

    /// Adds the rows of a list to the remaining upstreams in `services`; `is_affected` selects the upstreams
    /// that the list replaces.
    fn install_list(
        &self,
        list: &UpstreamList,
        mut services: ByService,
        is_affected: impl Fn(&Upstream) -> bool,
    ) -> HashSet<Target> {
        let before = self.services.load_full();
        let now = Instant::now();
        let mut departed = self.departed();
        departed.retain(|_, (_, at)| now.duration_since(*at) < MAX_LIST_LAG);
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
                log::warn!(
                    "ingress: ignored upstream {}, which has no valid address.",
                    row.instance
                );
                continue;
            };
            if upstream.apply_listing(row, now) {
                log::info!(
                    event = "upstream.listed", upstream = row.instance.as_str(),
                    service = row.service.as_str(), leaving = upstream.is_leaving(),
                    listed_leaving = row.leaving, others_know = row.reported_leaving,
                    limit:? = upstream.limit();
                    "ingress: the list changed the availability or the limit of upstream {}",
                    row.instance
                );
            }
            self.set_pace(&upstream);
            listed.insert(upstream.target.clone());
            let service = ServiceName::from(row.service.as_str());
            services.entry(service).or_default().push(upstream);
        }
        let version = list.version.unwrap_or_default();
        log::info!(
            event = "list.in_force", term = version.term, sequence = version.sequence,
            told = list.rows.len(), gone = list.removed.len(),
            upstreams = services.values().map(Vec::len).sum::<usize>();
            "ingress: a list of upstreams is in force"
        );
        self.services.store(Arc::new(services));
        let gone: Vec<Arc<Upstream>> = known
            .into_values()
            .filter(|upstream| !listed.contains(&upstream.target))
            .map(Arc::clone)
            .collect();
        // An upstream's own announcement outlasts its removal, in case an older list adds it again.
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

    /// Returns the upstreams that announced recently that they are leaving.
    pub(super) fn said_leaving(&self, now: Instant) -> Vec<String> {
        let services = self.services.load();
        let all = services.values().flatten();
        let said = all.filter(|upstream| upstream.recently_said_leaving(now));
        said.map(|upstream| upstream.target.instance.to_string())
            .collect()
    }

    /// Returns why a request cannot be sent yet, if all upstreams of a service that are not leaving asked for a
    /// pause or limit their requests; the first one accepts a request after the time returned.
    pub(super) fn why_closed(&self, service: &ServiceName, now: Instant) -> Option<NotRun> {
        let services = self.services.load();
        let gateways = self.gateways.load();
        let staying = services.get(service)?.iter();
        let staying = staying.filter(|upstream| !upstream.is_leaving());
        let closed = staying.map(|upstream| {
            if let Some(pause) = upstream.pause_left(now) {
                return Some((pause, NotRun::Paused(pause)));
            }
            let wait = upstream.check_limit(&gateways, now).err()?;
            let wait = wait.unwrap_or(OTHER_GATEWAY_RETRY_AFTER);
            Some((wait, NotRun::Limited(wait)))
        });
        let closed: Option<Vec<(Duration, NotRun)>> = closed.collect();
        let first = closed?.into_iter().min_by_key(|(wait, _)| *wait);
        first.map(|(_, reason)| reason)
    }

    /// Sets the gateways that share the limits of upstreams; `own` is the name of this one.
    pub(super) fn set_gateways(&self, own: &Arc<str>, gateways: &[IngressRecord]) {
        let open = gateways.iter().filter(|gateway| gateway.open);
        let open: Vec<Arc<str>> = open.map(|gateway| gateway.name.as_str().into()).collect();
        let held = self.gateways.load();
        if held.differs(&open) {
            self.gateways.store(Arc::new(held.next(own, open)));
        }
    }

    /// Returns the limits that upstreams recently stated to this gateway.
    pub(super) fn limit_reports(&self, now: Duration) -> Vec<UpstreamLimitReport> {
        let services = self.services.load();
        let all = services.values().flatten();
        let report = |upstream: &Arc<Upstream>| {
            let stated = upstream.stated_limit(now)?;
            let instance = upstream.target.instance.to_string();
            Some(UpstreamLimitReport::new(instance, &stated, now))
        };
        all.filter_map(report).collect()
    }

    /// Applies that the list in force includes the limits that gateways reported until `reported`.
    pub(super) fn confirm_limits(&self, reported: Duration) {
        let services = self.services.load();
        for upstream in services.values().flatten() {
            if upstream.confirm_limit(reported) {
                log::info!(
                    event = "upstream.limits", upstream:% = upstream.target.instance,
                    service:% = upstream.service, limit:? = upstream.limit();
                    "ingress: the list replaces what an upstream stated about its limit"
                );
            }
        }
    }

    /// Returns the number of upstreams that limit their requests.
    pub(super) fn limited_count(&self) -> usize {
        let services = self.services.load();
        let all = services.values().flatten();
        all.filter(|upstream| upstream.limit().is_some()).count()
    }

    /// Records that an upstream rejected a request for want of room.
    pub(super) fn record_rejection(&self, upstream: &Upstream, now: Instant) {
        upstream.record_rejection(&self.gateways.load(), now);
    }

    /// Returns all upstreams.
    pub(super) fn all(&self) -> Vec<Arc<Upstream>> {
        let services = self.services.load();
        services.values().flatten().map(Arc::clone).collect()
    }

    /// Returns the number of services of which no upstream is reached directly and some only through other gateways.
    pub(super) fn cut_off_services(&self) -> usize {
        let services = self.services.load();
        let is_cut_off = |upstreams: &&Vec<Arc<Upstream>>| {
            let out_of_reach = |upstream: &Arc<Upstream>| {
                let reach = upstream.reach();
                reach.is_cut_off() || reach.is_lost()
            };
            upstreams.iter().all(out_of_reach)
                && upstreams.iter().any(|upstream| upstream.is_cut_off())
        };
        services.values().filter(is_cut_off).count()
    }

    /// Returns the number of upstreams that are reached only through other gateways.
    pub(super) fn cut_off_count(&self) -> usize {
        let services = self.services.load();
        let all = services.values().flatten();
        all.filter(|upstream| upstream.is_cut_off()).count()
    }

    /// Finds an upstream of a service.
    pub(super) fn find(&self, service: &ServiceName, instance: &str) -> Option<Arc<Upstream>> {
        let services = self.services.load();
        let mut all = services.get(service)?.iter();
        all.find(|upstream| upstream.target.instance.as_str() == instance)
            .map(Arc::clone)
    }

    /// Returns whether a service has an available and eligible upstream.
    pub(super) fn has_eligible(
        &self,
        service: &ServiceName,
        eligible: &Eligible<'_>,
        now: Instant,
    ) -> bool {
        let services = self.services.load();
        let all = services.get(service);
        let gateways = self.gateways.load();
        all.is_some_and(|all| available(all, eligible, &gateways, now).next().is_some())
    }

    /// Returns whether a service has servers of other versions than one that are not leaving.
    pub(super) fn has_beside(&self, service: &ServiceName, version: &SoftwareVersion) -> bool {
        let services = self.services.load();
        let mut all = services.get(service).into_iter().flatten();
        all.any(|upstream| upstream.software() != version && !upstream.is_leaving())
    }

    /// Returns the number of requests in progress at a service's servers of other versions than one.
    pub(super) fn in_progress_beside(
        &self,
        service: &ServiceName,
        version: &SoftwareVersion,
    ) -> u64 {
        let services = self.services.load();
        let all = services.get(service).into_iter().flatten();
        let others = all.filter(|upstream| upstream.software() != version);
        others
            .map(|upstream| u64::from(upstream.in_progress()))
            .sum()
    }

    /// Returns the silence after which an upstream of a service is considered lost.
    pub(super) fn silence_timeout(
        &self,
        service: &ServiceName,
        awaited: Awaited,
        response_targets: &ResponseTargets,
    ) -> Duration {
        let pause_trackers = self.pause_trackers();
        match pause_trackers.get(service) {
            Some(tracker) => tracker.timeout(awaited, response_targets),
            None => PauseTracker::default().timeout(awaited, response_targets),
        }
    }

    /// Returns the mean wait at each service for a first byte or a further event, in seconds.
    pub(super) fn mean_waits(&self, awaited: Awaited) -> Vec<(String, f64)> {
        let pause_trackers = self.pause_trackers();
        let trackers = pause_trackers.iter();
        trackers
            .map(|(service, tracker)| (service.to_string(), tracker.mean(awaited)))
            .collect()
    }

    fn pause_trackers(&self) -> MutexGuard<'_, HashMap<ServiceName, PauseTracker>> {
        self.pause_trackers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Chooses an eligible upstream of a service and counts the request as in progress there. No upstream has
    /// the last `new_tokens` of the prompt cached. An upstream that was silent for longer than
    /// `silence_timeout` is chosen last.
    pub(super) fn choose(
        self: &Arc<Self>,
        service: &ServiceName,
        req: &RouteRequest,
        silence_timeout: Duration,
        new_tokens: u32,
        eligible: &Eligible<'_>,
        now: Instant,
    ) -> Option<InFlightGuard> {
        let services = self.services.load();
        let all = services.get(service)?;
        let speed = self.prefill_speed(service);
        let gateways = self.gateways.load();
        let usable: Vec<_> = available(all, eligible, &gateways, now).collect();
        let placement = self.placement(service);
        // Homes of unequal speed fill unequally, and a request may find less to wait for elsewhere.
        let is_uneven = usable
            .iter()
            .any(|upstream| upstream.speed_percent() != USUAL_PERCENT);
        let view = CandidateView {
            silence_timeout,
            prefill_speed: speed,
            counts_backlog: placement == Placement::Backlog || is_uneven,
            uses_statements: self.paces.is_enabled(),
            new_tokens,
        };
        let candidates: Vec<_> = usable
            .iter()
            .map(|upstream| upstream.candidate(&view, now))
            .collect();
        let weights = backlog::routing_weights(placement, speed);
        let (chosen, reason) = route::choose_with_reason(req, &candidates, &weights)?;
        let upstream = Arc::clone(usable[chosen]);
        let speed = upstream.prefill_speed(speed);
        let prompt = upstream.record_send(new_tokens, speed, now);
        self.in_flight.count.fetch_add(1, Ordering::Relaxed);
        self.with_meter(service, |meter| {
            meter.count += 1;
            meter.prompt_tokens += f64::from(new_tokens) / METER_AVERAGING_TIME.as_secs_f64();
            meter.mix.record(req.prompt_tokens, new_tokens);
        });
        Some(InFlightGuard {
            upstream,
            reason,
            speed,
            prompt: Some(prompt),
            pauses: AtomicU32::new(0),
            paused_us: AtomicU64::new(0),
            upstreams: Arc::clone(self),
        })
    }

    /// Returns what a request may expect of the best eligible upstream of a service now, or `None` while too little is known.
    /// No upstream has the last `new_tokens` of the prompt cached.
    pub(super) fn outlook(
        &self,
        service: &ServiceName,
        req: &RouteRequest,
        new_tokens: u32,
        eligible: &Eligible<'_>,
        now: Instant,
    ) -> Option<Outlook> {
        if !self.paces.is_enabled() {
            return None;
        }
        let services = self.services.load();
        let all = services.get(service)?;
        let gateways = self.gateways.load();
        let mean_wait = |awaited| {
            let seconds = self.pause_trackers().get(service)?.mean(awaited);
            (seconds > 0.0).then(|| Duration::from_secs_f64(seconds))
        };
        let first = mean_wait(Awaited::First)?;
        let known_speed = self.prefill_speeds.load().get(service).copied();
        let reading = |tokens: u32| match (tokens, known_speed) {
            (0, _) => Some(Duration::ZERO),
            (_, None) => None,
            (_, Some(speed)) => Duration::try_from_secs_f64(f64::from(tokens) / speed).ok(),
        };
        let usable: Vec<_> = available(all, eligible, &gateways, now).collect();
        let slots = usable.iter().map(|upstream| upstream.slots()).max()?;
        let work = UsualWork {
            own: match new_tokens {
                0 => first,
                _ => reading(new_tokens)?,
            },
            recompute: reading(req.prompt_tokens)?,
            turn: first / slots.max(1),
            pause: mean_wait(Awaited::Next).unwrap_or_default(),
        };
        let view = CandidateView {
            silence_timeout: Duration::MAX,
            prefill_speed: self.prefill_speed(service),
            counts_backlog: true,
            uses_statements: true,
            new_tokens: 0,
        };
        let candidates: Vec<_> = usable
            .iter()
            .map(|upstream| upstream.candidate(&view, now))
            .collect();
        route::outlook(req, &candidates, &work)
    }

    /// Returns the wait for the first byte that a request of mean size may expect at the best upstream of each service, in
    /// seconds, as far as it is known.
    pub(super) fn expected_waits(&self, zone: &ZoneName, now: Instant) -> Vec<(String, f64)> {
        let mixes: Vec<_> = {
            let meters = self.meters.lock().unwrap_or_else(PoisonError::into_inner);
            let mixes = meters.iter();
            mixes
                .map(|(service, meter)| (service.clone(), meter.mix.mean_tokens()))
                .collect()
        };
        let eligible = Eligible {
            tried: &[],
            origin: None,
            versions: &Versions::Any,
        };
        let expected = |(service, (shared, new)): (ServiceName, (u32, u32))| {
            let req = RouteRequest {
                zone: zone.clone(),
                prompt_tokens: shared,
                home: rand::random(),
            };
            let outlook = self.outlook(&service, &req, new, &eligible, now)?;
            Some((service.to_string(), outlook.first.as_secs_f64()))
        };
        mixes.into_iter().filter_map(expected).collect()
    }

    /// Applies the announcement of a prompt that another gateway just sent.
    pub(super) fn record_remote_prompt(&self, prompt: &PromptAnnouncement, now: Instant) {
        let service = ServiceName::from(prompt.service.as_str());
        // An upstream that this gateway does not know yet cannot be chosen here.
        if let Some(upstream) = self.find(&service, &prompt.instance) {
            let speed = upstream.prefill_speed(self.prefill_speed(&service));
            upstream.record_remote_prompt(prompt.tokens, speed, now);
        }
    }

    /// Updates the prefill speeds of engines; services that are not included keep theirs.
    pub(super) fn set_prefill_speeds(&self, reported: &[PrefillSpeed]) {
        let known = self.prefill_speeds.load();
        let is_known = |speed: &PrefillSpeed| {
            known.get(&ServiceName::from(speed.service.as_str())) == Some(&speed.tokens_per_second)
        };
        if reported.iter().all(is_known) {
            return;
        }
        let mut speeds = (**known).clone();
        let positive = reported
            .iter()
            .filter(|speed| speed.tokens_per_second > 0.0);
        speeds
            .extend(positive.map(|speed| (speed.service.as_str().into(), speed.tokens_per_second)));
        self.prefill_speeds.store(Arc::new(speeds));
    }

    /// Returns the prefill speed of an engine of a service, in prompt tokens per second.
    pub(super) fn prefill_speed(&self, service: &ServiceName) -> f64 {
        self.prefill_speeds
            .load()
            .get(service)
            .copied()
            .unwrap_or(DEFAULT_PREFILL_TOKENS_PER_SECOND)
    }

    /// Records how long a request waited for the first byte of its response, given the route's target and the
    /// new prompt tokens.
    pub(super) fn record_first_wait(
        &self,
        service: &ServiceName,
        wait: Duration,
        target: Duration,
        new_tokens: u32,
    ) {
        self.with_meter(service, |meter| {
            meter
                .load_shedder
                .record_first_byte(wait, target, meter.started.elapsed());
            meter.prefill.record(new_tokens, wait);
        });
    }

    /// Returns the retry delay if a request is refused because other requests for the service wait too long;
    /// see [`LoadShedder::refuse`].
    pub(super) fn check_overload(
        &self,
        service: &ServiceName,
        rank: impl FnOnce() -> f64,
        now: Instant,
    ) -> Option<Duration> {
        let mut meters = self.meters.lock().unwrap_or_else(PoisonError::into_inner);
        let meter = meters.get_mut(service)?;
        let now = now.duration_since(meter.started);
        meter.load_shedder.refuse(rank, rand::random(), now)
    }

    /// Returns this gateway's use of each service.
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
                uncached_tokens_per_second: meter.prompt_tokens,
                prefill: Some(meter.prefill),
                upstreams: u32::try_from(upstreams).unwrap_or(u32::MAX),
            }
        };
        meters.iter_mut().map(load).collect()
    }

    /// Returns how the prompts of a service are placed.
    fn placement(&self, service: &ServiceName) -> Placement {
        let meters = self.meters.lock().unwrap_or_else(PoisonError::into_inner);
        let mix = meters.get(service).map(|meter| meter.mix);
        mix.unwrap_or_default().placement()
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

    /// Returns the number of requests in progress.
    pub(super) fn in_progress(&self) -> usize {
        self.in_flight.count.load(Ordering::Relaxed)
    }

    /// Waits until no request is in progress, or until the time `end`.
    pub(super) async fn wait_until_idle(&self, end: Instant) {
        loop {
            let idle = self.in_flight.idle.notified();
            if self.in_flight.count.load(Ordering::Relaxed) == 0 {
                return;
            }
            if timeout_at(end, idle).await.is_err() {
                let left = self.in_flight.count.load(Ordering::Relaxed);
                log::warn!("ingress: the shutdown interrupts {left} requests in progress.");
                return;
            }
        }
    }
}

/// Returns the eligible upstreams that accept requests.
fn available<'a>(
    all: &'a [Arc<Upstream>],
    eligible: &'a Eligible<'_>,
    gateways: &'a GatewaySet,
    now: Instant,
) -> impl Iterator<Item = &'a Arc<Upstream>> {
    all.iter()
        .filter(move |upstream| upstream.accepts_work(gateways, now))
        .filter(|upstream| eligible.includes(upstream))
}

/// Returns the known upstream of a row, if its address and size are unchanged.
fn reuse_upstream(
    known: &HashMap<&InstanceName, &Arc<Upstream>>,
    row: &UpstreamRow,
) -> Option<Arc<Upstream>> {
    let upstream = known.get(&InstanceName::from(row.instance.as_str()))?;
    upstream.is_same(row).then(|| Arc::clone(upstream))
}
