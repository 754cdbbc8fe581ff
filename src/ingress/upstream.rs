//! One upstream, and what this gateway knows of its load.

use std::{
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use tokio::time::Instant;

use crate::{
    domain::{Incarnation, ServiceName, ZoneName},
    policy::{
        availability::Availability,
        backlog::{Backlog, SentPrompt},
        route::{Candidate, Report},
    },
    ports::{ReportedLoad, Target},
    wire::UpstreamRow,
};

/// Time for which an upstream that failed gets requests only if all others failed too; it doubles with
/// each further failure, since each look at a dead one costs a request.
const SUSPECT_BACKOFF: Duration = Duration::from_millis(1500);
/// Most doublings of that time.
const MAX_SUSPECT_DOUBLINGS: u32 = 2;

/// One upstream.
#[derive(Debug)]
pub(super) struct Upstream {
    /// Where to send requests.
    pub(super) target: Target,
    pub(super) service: ServiceName,
    zone: ZoneName,
    slots: u32,
    in_flight: AtomicU32,
    load: Mutex<Load>,
    /// What the times of the backlog and of the availability count from.
    created: Instant,
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
    backlog: Backlog,
    availability: Availability,
}

impl Upstream {
    /// Makes an upstream of a row of the list, if that has an address.
    pub(super) fn new(row: &UpstreamRow) -> Option<Self> {
        Some(Self {
            target: Target {
                instance: row.instance.as_str().into(),
                incarnation: Incarnation(0),
                address: row.address.parse().ok()?,
            },
            service: row.service.as_str().into(),
            zone: row.zone.as_str().into(),
            slots: row.slots,
            in_flight: AtomicU32::new(0),
            load: Mutex::default(),
            created: Instant::now(),
        })
    }

    /// Returns whether a row tells of the same upstream with the same size.
    pub(super) fn is_same(&self, row: &UpstreamRow) -> bool {
        self.target.address.to_string() == row.address && self.slots == row.slots
    }

    /// Takes what the list says of it; returns whether it takes work otherwise than before.
    pub(super) fn apply_listing(&self, row: &UpstreamRow, now: Instant) -> bool {
        let now = self.since_created(now);
        let mut load = self.load();
        load.availability.list(row.leaving, row.said_leaving, now)
    }

    /// Takes the upstream's own word that it leaves; returns whether that is new.
    pub(super) fn record_leaving(&self, now: Instant) -> bool {
        self.load()
            .availability
            .says_leaving(self.since_created(now))
    }

    /// Takes a pause that the upstream asks for.
    pub(super) fn record_pause(&self, pause: Duration, now: Instant) {
        self.load()
            .availability
            .asks_pause(pause, self.since_created(now));
    }

    /// Returns whether it said lately that it leaves, so that the list may not show it.
    pub(super) fn recently_said_leaving(&self, now: Instant) -> bool {
        self.load()
            .availability
            .said_lately(self.since_created(now))
    }

    /// Returns how much longer it wants nothing, if it asked for a pause.
    pub(super) fn pause_left(&self, now: Instant) -> Option<Duration> {
        self.load().availability.pause_left(self.since_created(now))
    }

    /// Counts a request that is sent with some prompt tokens that no upstream holds; `speed` is how many tokens the
    /// upstream reads in a second.
    pub(super) fn record_send(&self, tokens: u32, speed: f64, now: Instant) -> SentPrompt {
        let was_idle = self.in_flight.fetch_add(1, Ordering::Relaxed) == 0;
        let mut load = self.load();
        load.sent_since_report += 1;
        if was_idle {
            load.waiting_since = Some(now);
        }
        load.backlog.send(tokens, speed, self.since_created(now))
    }

    /// Takes a request off that was counted.
    pub(super) fn release(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Notes that the answer to a prompt has begun, or that it was given up before.
    pub(super) fn finish_prompt(&self, prompt: SentPrompt, begun: bool, speed: f64, now: Instant) {
        let now = self.since_created(now);
        let mut load = self.load();
        match begun {
            true => load.backlog.begun(prompt, speed, now),
            false => load.backlog.dropped(prompt, speed, now),
        }
    }

    /// Notes that another gateway sent a prompt just now.
    pub(super) fn record_remote_prompt(&self, tokens: u32, speed: f64, now: Instant) {
        self.load()
            .backlog
            .told(tokens, speed, self.since_created(now));
    }

    fn since_created(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.created)
    }

    /// Returns whether it may get a request now.
    pub(super) fn accepts_work(&self, now: Instant) -> bool {
        self.load().availability.takes_work(self.since_created(now))
    }

    /// Returns whether it gets no new work.
    pub(super) fn is_leaving(&self) -> bool {
        self.load().availability.is_leaving()
    }

    /// Takes the load that the upstream told with an answer.
    pub(super) fn record_load(&self, load: ReportedLoad, now: Instant) {
        let mut state = self.load();
        state.reported = Some((load, now));
        state.sent_since_report = 0;
    }

    /// Notes a sign of life.
    pub(super) fn record_activity(&self, now: Instant) {
        self.load().waiting_since = Some(now);
    }

    /// Notes that an exchange failed.
    pub(super) fn record_failure(&self, now: Instant) {
        let mut load = self.load();
        load.suspect_until = Some(now + SUSPECT_BACKOFF * 2_u32.pow(load.failures));
        load.failures = (load.failures + 1).min(MAX_SUSPECT_DOUBLINGS);
    }

    /// Notes that an exchange went well.
    pub(super) fn record_success(&self) {
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

    /// Returns what choosing needs to know of it; it is suspect after a silence beyond the limit.
    pub(super) fn candidate(&self, limit: Duration, speed: f64, now: Instant) -> Candidate {
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
            reading: load.backlog.reading(speed, self.since_created(now)),
            suspect: load.suspect_until.is_some_and(|until| until > now)
                || self.is_silent(&load, limit, now),
        }
    }
}
