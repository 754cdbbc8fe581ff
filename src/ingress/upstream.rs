//! One upstream, with this gateway's view of its load and availability.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use tokio::time::Instant;

use super::rollout::Versions;
use crate::{
    domain::{Incarnation, InstanceName, ServiceName, SoftwareVersion, ZoneName},
    policy::{
        availability::Availability,
        backlog::{Backlog, SentPrompt},
        brittle::Brittleness,
        origins::Origin,
        pace::{self, Pace, USUAL_PERCENT},
        rate_limit::{Place, Statement, UpstreamLimit},
        reachability::DirectReach,
        route::{Candidate, Report},
    },
    ports::{ReportedLoad, Target},
    wire::{UpstreamRow, to_requests_per_second},
};

/// Base time for which an upstream is suspect after a failure and gets requests only if all others are
/// suspect too. It doubles with each further failure, since probing a dead upstream costs a request.
const SUSPECT_BACKOFF: Duration = Duration::from_millis(1500);
/// Maximum number of doublings of [`SUSPECT_BACKOFF`].
const MAX_SUSPECT_DOUBLINGS: u32 = 2;

/// The gateways that share the limits of upstreams.
#[derive(Debug, Default)]
pub(super) struct GatewaySet {
    /// Differs between any two sets of this process.
    version: u64,
    own: Arc<str>,
    /// The gateways that callers connect to.
    open: Vec<Arc<str>>,
}

impl GatewaySet {
    /// Returns the set that follows this one; `own` is the name of this gateway.
    pub(super) fn next(&self, own: &Arc<str>, open: Vec<Arc<str>>) -> Self {
        Self {
            version: self.version + 1,
            own: Arc::clone(own),
            open,
        }
    }

    /// Returns whether other gateways are in the set than `open`, which is ordered by name like the set.
    pub(super) fn differs(&self, open: &[Arc<str>]) -> bool {
        self.open != open
    }

    fn place(&self, upstream: &InstanceName) -> Place {
        let open = self.open.iter().map(|gateway| &**gateway);
        Place::find(upstream.as_str(), &self.own, open)
    }
}

/// An upstream and its load, as this gateway knows it.
#[derive(Debug)]
pub(super) struct Upstream {
    /// The instance and address to which requests are sent.
    pub(super) target: Target,
    pub(super) service: ServiceName,
    pub(super) zone: ZoneName,
    software: SoftwareVersion,
    slots: u32,
    in_flight: AtomicU32,
    /// Learned speed, in percent of the service's mean.
    speed_percent: AtomicU32,
    load: Mutex<Load>,
    /// This gateway's own way to the upstream.
    reach: Mutex<DirectReach>,
    /// Origin of the times in the backlog and the availability.
    created: Instant,
}

/// Which upstreams of a service may get a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Eligible<'a> {
    /// The upstreams that were tried already.
    pub(super) tried: &'a [InstanceName],
    /// What began the stream that the request resumes.
    pub(super) origin: Option<&'a Origin>,
    /// The software versions that may get it.
    pub(super) versions: &'a Versions,
}

impl Eligible<'_> {
    /// Returns whether an upstream may get the request.
    pub(super) fn includes(&self, upstream: &Upstream) -> bool {
        !self.tried.contains(&upstream.target.instance)
            && self.origin.is_none_or(|origin| upstream.continues(origin))
            && self.versions.include(&upstream.software)
    }
}

#[derive(Debug, Default)]
struct Load {
    reported: Option<(ReportedLoad, Instant)>,
    sent_since_report: u32,
    suspect_until: Option<Instant>,
    /// Failures since the last successful exchange, up to [`MAX_SUSPECT_DOUBLINGS`].
    failures: u32,
    /// When the upstream last showed activity, or got its first request after being idle.
    silent_since: Option<Instant>,
    backlog: Backlog,
    availability: Availability,
    limit: UpstreamLimit,
    brittleness: Brittleness,
    /// This gateway's place for the limit and the brittleness, and the version of the set of gateways that it belongs to.
    place: Option<(u64, Place)>,
}

impl Load {
    fn check_limit(
        &mut self,
        upstream: &InstanceName,
        gateways: &GatewaySet,
        now: Duration,
    ) -> Result<(), Option<Duration>> {
        if self.limit.current().is_none() {
            return Ok(());
        }
        let place = self.place(upstream, gateways);
        self.limit.check(place, now)
    }

    fn place(&mut self, upstream: &InstanceName, gateways: &GatewaySet) -> Place {
        let place = match self.place {
            Some((version, place)) if version == gateways.version => place,
            _ => gateways.place(upstream),
        };
        self.place = Some((gateways.version, place));
        place
    }
}

impl Upstream {
    /// Creates an upstream from a row of the list; returns `None` if the row has no valid address.
    pub(super) fn new(row: &UpstreamRow) -> Option<Self> {
        Some(Self {
            target: Target {
                instance: row.instance.as_str().into(),
                incarnation: Incarnation(0),
                address: row.address.parse().ok()?,
            },
            service: row.service.as_str().into(),
            zone: row.zone.as_str().into(),
            software: row.software.as_str().into(),
            slots: row.slots,
            in_flight: AtomicU32::new(0),
            speed_percent: AtomicU32::new(USUAL_PERCENT),
            load: Mutex::default(),
            reach: Mutex::default(),
            created: Instant::now(),
        })
    }

    /// Returns whether a row describes an upstream of the same address, size and software.
    pub(super) fn is_same(&self, row: &UpstreamRow) -> bool {
        self.target.address.to_string() == row.address
            && self.slots == row.slots
            && self.software.as_str() == row.software
    }

    /// Returns the origin of the streams that begin at the upstream, or `None` if its software's version is not known.
    pub(super) fn origin(&self) -> Option<Origin> {
        (!self.software.as_str().is_empty()).then(|| Origin {
            service: self.service.clone(),
            software: self.software.clone(),
        })
    }

    /// Returns the version of its software, which is empty if it is not known.
    pub(super) fn software(&self) -> &SoftwareVersion {
        &self.software
    }

    /// Returns the number of this gateway's requests in progress.
    pub(super) fn in_progress(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns whether a stream of an origin can go on at the upstream.
    pub(super) fn continues(&self, origin: &Origin) -> bool {
        self.service == origin.service && self.software == origin.software
    }

    /// Applies the upstream's row of the list; returns whether that changes its availability or its limit.
    pub(super) fn apply_listing(&self, row: &UpstreamRow, now: Instant) -> bool {
        let now = self.since_created(now);
        let mut load = self.load();
        let limit_changed = load
            .limit
            .apply_list(row.requests_per_1000_s.map(to_requests_per_second));
        let availability = &mut load.availability;
        availability.apply_list(row.leaving, row.reported_leaving, now) || limit_changed
    }

    /// Records that the upstream itself announced that it is leaving; returns whether that is new.
    pub(super) fn record_leaving(&self, now: Instant) -> bool {
        self.load()
            .availability
            .mark_leaving(self.since_created(now))
    }

    /// Records a pause that the upstream asked for.
    pub(super) fn record_pause(&self, pause: Duration, now: Instant) {
        self.load()
            .availability
            .request_pause(pause, self.since_created(now));
    }

    /// Records what a response stated about the limit of the upstream's requests; returns whether that changes
    /// the limit in force.
    pub(super) fn record_limit(&self, statement: Statement) -> bool {
        self.load().limit.record(statement)
    }

    /// Applies that the leader's list includes the limits that gateways knew at `reported`.
    pub(super) fn confirm_limit(&self, reported: Duration) -> bool {
        self.load().limit.confirm_list(reported)
    }

    /// Returns the limit in force, in requests per second over all gateways.
    pub(super) fn limit(&self) -> Option<f64> {
        self.load().limit.current()
    }

    /// Returns what the upstream stated recently about its limit.
    pub(super) fn stated_limit(&self, now: Duration) -> Option<Statement> {
        self.load().limit.report(now)
    }

    /// Checks whether the upstream's limit lets this gateway send it a request now.
    ///
    /// # Errors
    ///
    /// Returns the time until it does, or `None` if only other gateways send to the upstream.
    pub(super) fn check_limit(
        &self,
        gateways: &GatewaySet,
        now: Instant,
    ) -> Result<(), Option<Duration>> {
        let since = self.since_created(now);
        let mut load = self.load();
        load.check_limit(&self.target.instance, gateways, since)?;
        self.check_brittleness(&mut load, gateways, now)
    }

    fn check_brittleness(
        &self,
        load: &mut Load,
        gateways: &GatewaySet,
        now: Instant,
    ) -> Result<(), Option<Duration>> {
        if load.brittleness.bears().is_none() {
            return Ok(());
        }
        let place = load.place(&self.target.instance, gateways);
        let own = self.in_flight.load(Ordering::Relaxed);
        let now = self.since_created(now);
        load.brittleness.check(place, self.slots, own, now)
    }

    /// Records what a response says of the rejections that the upstream bears; returns whether that is new.
    pub(super) fn record_brittleness(&self, bears: Option<u32>) -> bool {
        self.load().brittleness.record_statement(bears)
    }

    /// Records that the upstream rejected a request for want of room.
    pub(super) fn record_rejection(&self, gateways: &GatewaySet, now: Instant) {
        let mut load = self.load();
        if load.brittleness.bears().is_none() {
            return;
        }
        let place = load.place(&self.target.instance, gateways);
        let now = self.since_created(now);
        load.brittleness
            .record_rejection(place, rand::random(), now);
    }

    /// Returns whether the upstream announced recently that it is leaving, so that the list may not show it
    /// yet.
    pub(super) fn recently_said_leaving(&self, now: Instant) -> bool {
        self.load()
            .availability
            .recently_said_leaving(self.since_created(now))
    }

    /// Returns the time left of a pause that the upstream asked for.
    pub(super) fn pause_left(&self, now: Instant) -> Option<Duration> {
        self.load()
            .availability
            .remaining_pause(self.since_created(now))
    }

    /// Records a request that is sent now; `tokens` counts the prompt tokens that no upstream has cached, and
    /// `speed` is the upstream's prefill speed in tokens per second.
    pub(super) fn record_send(&self, tokens: u32, speed: f64, now: Instant) -> SentPrompt {
        let was_idle = self.in_flight.fetch_add(1, Ordering::Relaxed) == 0;
        let mut load = self.load();
        load.limit.spend(self.since_created(now));
        load.sent_since_report += 1;
        if was_idle {
            load.silent_since = Some(now);
        }
        load.backlog
            .add_sent(tokens, speed, self.since_created(now))
    }

    /// Removes a request from those in progress.
    pub(super) fn release(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Records that the response to a prompt has begun, or that the prompt was abandoned before.
    pub(super) fn finish_prompt(&self, prompt: SentPrompt, begun: bool, speed: f64, now: Instant) {
        let now = self.since_created(now);
        let mut load = self.load();
        match begun {
            true => load.backlog.mark_prefilled(prompt, speed, now),
            false => load.backlog.cancel(prompt, speed, now),
        }
    }

    /// Records that another gateway just sent a prompt to the upstream.
    pub(super) fn record_remote_prompt(&self, tokens: u32, speed: f64, now: Instant) {
        self.load()
            .backlog
            .add_announced(tokens, speed, self.since_created(now));
    }

    fn since_created(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.created)
    }

    /// Returns whether the upstream may get a request now.
    pub(super) fn accepts_work(&self, gateways: &GatewaySet, now: Instant) -> bool {
        let since = self.since_created(now);
        let mut load = self.load();
        load.availability.is_available(since)
            && load
                .check_limit(&self.target.instance, gateways, since)
                .is_ok()
            && self.check_brittleness(&mut load, gateways, now).is_ok()
    }

    /// Returns whether the upstream is leaving and gets no new work.
    pub(super) fn is_leaving(&self) -> bool {
        self.load().availability.is_leaving()
    }

    /// Records the load that the upstream reported with a response.
    pub(super) fn record_load(&self, load: ReportedLoad, now: Instant) {
        let mut state = self.load();
        state.reported = Some((load, now));
        state.sent_since_report = 0;
    }

    /// Records activity of the upstream.
    pub(super) fn record_activity(&self, now: Instant) {
        self.load().silent_since = Some(now);
    }

    /// Records that the upstream is reached on another way than before, so that what the earlier one showed is void.
    pub(super) fn record_new_way(&self, now: Instant) {
        self.record_success();
        self.record_activity(now);
    }

    /// Records a failed exchange, which makes the upstream suspect for a while.
    pub(super) fn record_failure(&self, now: Instant) {
        let mut load = self.load();
        load.suspect_until = Some(now + SUSPECT_BACKOFF * 2_u32.pow(load.failures));
        load.failures = (load.failures + 1).min(MAX_SUSPECT_DOUBLINGS);
    }

    /// Records a successful exchange, which clears the suspicion.
    pub(super) fn record_success(&self) {
        let mut load = self.load();
        load.suspect_until = None;
        load.failures = 0;
    }

    /// Returns whether requests are in progress and the upstream has been silent for longer than a timeout.
    pub(super) fn is_lost(&self, timeout: Duration, now: Instant) -> bool {
        self.is_silent(&self.load(), timeout, now)
    }

    fn is_silent(&self, load: &Load, timeout: Duration, now: Instant) -> bool {
        let has_requests = self.in_flight.load(Ordering::Relaxed) > 0;
        let silent = |since| now.duration_since(since) > timeout;
        has_requests && load.silent_since.is_some_and(silent)
    }

    /// Returns whether only other gateways reach the upstream.
    pub(super) fn is_cut_off(&self) -> bool {
        self.reach().is_cut_off()
    }

    /// Returns this gateway's own way to the upstream.
    pub(super) fn reach(&self) -> MutexGuard<'_, DirectReach> {
        self.reach.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn load(&self) -> MutexGuard<'_, Load> {
        self.load.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of requests that the upstream serves concurrently.
    pub(super) fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the learned speed, in percent of the service's mean.
    pub(super) fn speed_percent(&self) -> u32 {
        self.speed_percent.load(Ordering::Relaxed)
    }

    /// Sets the learned speed and returns the one before, both in percent of the service's mean.
    pub(super) fn set_speed_percent(&self, percent: u32) -> u32 {
        self.speed_percent.swap(percent.max(1), Ordering::Relaxed)
    }

    /// Returns the prefill speed, given that of a usual upstream, both in prompt tokens per second.
    pub(super) fn prefill_speed(&self, usual: f64) -> f64 {
        match self.speed_percent() {
            USUAL_PERCENT => usual,
            percent => usual * f64::from(percent) / f64::from(USUAL_PERCENT),
        }
    }

    /// Returns the requests for each of the upstream's slots, as it reported last; zero if it never did.
    pub(super) fn reported_load(&self) -> f64 {
        let reported = self.load().reported;
        reported.map_or(0.0, |(reported, _)| {
            f64::from(reported.running) / f64::from(self.slots.max(1))
                + f64::from(reported.waiting) / f64::from(self.slots.max(1))
        })
    }

    /// Returns the silence after which the upstream counts as lost, given that of a usual one.
    pub(super) fn silence_timeout(&self, usual: Duration) -> Duration {
        pace::silence_timeout(usual, self.speed_percent())
    }

    /// Returns the upstream as a candidate for routing; a silence beyond the timeout makes it suspect.
    pub(super) fn candidate(&self, view: &CandidateView, now: Instant) -> Candidate {
        let (is_cut_off, is_lost) = {
            let reach = self.reach();
            (reach.is_cut_off(), reach.is_lost())
        };
        let timeout = self.silence_timeout(view.silence_timeout);
        let speed = self.prefill_speed(view.prefill_speed);
        let load = self.load();
        let stretch = match load.reported {
            Some((reported, at)) if view.uses_statements => {
                let percent = reported.pace_percent.unwrap_or(USUAL_PERCENT);
                pace::stretch(percent, now.duration_since(at))
            }
            _ => 1.0,
        };
        let prompts_before = match view.counts_backlog {
            true => load.backlog.drain_time(speed, self.since_created(now)),
            false => Duration::ZERO,
        };
        // Only a momentary slowness costs a request its own prompt; homes in proportion to speed answer for a lasting one.
        let own_prompt = f64::from(view.new_tokens) / speed * (stretch - 1.0).max(0.0);
        let own_prompt = Duration::try_from_secs_f64(own_prompt).unwrap_or(Duration::MAX);
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
            prefill_wait: prompts_before.saturating_add(own_prompt),
            pace: Pace {
                speed: f64::from(self.speed_percent()) / f64::from(USUAL_PERCENT),
                stretch,
            },
            is_behind_gateway: is_cut_off,
            suspect: is_lost
                || load.suspect_until.is_some_and(|until| until > now)
                || self.is_silent(&load, timeout, now),
        }
    }
}

/// How a gateway looks at the candidates for a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct CandidateView {
    /// Silence after which a usual upstream is suspect.
    pub(super) silence_timeout: Duration,
    /// Prefill speed of a usual upstream, in prompt tokens per second.
    pub(super) prefill_speed: f64,
    /// Whether the prompts sent to an upstream before count.
    pub(super) counts_backlog: bool,
    /// Whether the time that upstreams state for work now counts.
    pub(super) uses_statements: bool,
    /// Prompt tokens of the request that no upstream has cached.
    pub(super) new_tokens: u32,
}
