//! Metrics of an ingress gateway; docs/METRICS.md lists them.

use std::{collections::HashMap, sync::Arc};

use tokio::time::Instant;

use super::{
    Core,
    errors::{Failure, NotRun, RequestError},
};
use crate::{
    domain::{AccountName, RequestClass, TierName},
    policy::{route::Reason, silence::Awaited},
    ports::{Clock, Platform},
    telemetry::{AccountMetrics, Counter, Metrics, RequestOutcome},
};

/// Tier label of accounts of published tables, which have no tiers.
const NO_TIER: &str = "none";
/// Account label of requests without an account.
const NO_ACCOUNT: &str = "none";

/// Request classes and their labels; requests without a route have no class.
const CLASSES: [(Option<RequestClass>, &str); 5] = [
    (Some(RequestClass::Idempotent), "idempotent"),
    (Some(RequestClass::NonIdempotent), "non_idempotent"),
    (Some(RequestClass::Stream), "stream"),
    (Some(RequestClass::ResumableStream), "resumable_stream"),
    (None, "none"),
];

/// Counters of requests and attempts.
#[derive(Debug)]
pub(super) struct Counters {
    metrics: Metrics,
    requests: HashMap<(Option<RequestClass>, RequestOutcome), Counter>,
    choices: [Counter; Reason::ALL.len()],
    pub(super) attempts: Counter,
    pub(super) retries: Counter,
    pub(super) not_executed: Counter,
    pub(super) resumed: Counter,
    pub(super) said_leaving: Counter,
    pub(super) pauses: Counter,
    pub(super) rates_stated: Counter,
    over_quota: Counter,
    no_table: Counter,
    no_memory: Counter,
    overloaded: Counter,
    no_upstream: Counter,
    unknown_origin: Counter,
    quarantined: Counter,
    busy: Counter,
    too_late: Counter,
    leaving: Counter,
    unclear: Counter,
    unanswered: Counter,
}

impl Counters {
    pub(super) fn new(metrics: &Metrics) -> Self {
        let counter = |name, help| metrics.register_counter(name, help);
        let requests = CLASSES.into_iter().flat_map(|(class, name)| {
            RequestOutcome::ALL.map(|outcome| {
                let labels = [("class", name), ("outcome", outcome.name())];
                let help = "Requests by class of their route and outcome.";
                let counter = metrics.register_labelled_counter("ingress_requests", help, &labels);
                ((class, outcome), counter)
            })
        });
        let choices = Reason::ALL.map(|reason| {
            let help = "Choices of upstreams by reason.";
            metrics.register_labelled_counter("ingress_choices", help, &[("reason", reason.name())])
        });
        Self {
            metrics: metrics.clone(),
            requests: requests.collect(),
            choices,
            attempts: counter("ingress_attempts", "Requests sent to upstreams."),
            retries: counter(
                "ingress_attempts_repeated",
                "Attempts beyond a request's first.",
            ),
            not_executed: counter(
                "ingress_attempts_not_executed",
                "Attempts that the upstream says it has not run.",
            ),
            resumed: counter(
                "ingress_streams_resumed",
                "Streams taken up at another upstream.",
            ),
            said_leaving: counter(
                "ingress_upstreams_said_leaving",
                "Upstreams that said in an answer that they leave.",
            ),
            pauses: counter(
                "ingress_upstream_pauses",
                "Pauses that upstreams asked for.",
            ),
            rates_stated: counter(
                "ingress_upstream_limits",
                "Responses in which an upstream limits its requests per second.",
            ),
            over_quota: counter("ingress_refused_over_quota", "Requests beyond a quota."),
            no_table: counter(
                "ingress_refused_no_table",
                "Requests before any table arrived.",
            ),
            no_memory: counter(
                "ingress_refused_no_memory",
                "Requests without memory for their bodies.",
            ),
            overloaded: counter(
                "ingress_refused_overloaded",
                "Requests refused because others wait too long.",
            ),
            unknown_origin: counter(
                "ingress_refused_unknown_origin",
                "Resumed streams that were refused because what began them is not known.",
            ),
            no_upstream: counter(
                "ingress_refused_no_upstream",
                "Requests without an upstream.",
            ),
            quarantined: counter(
                "ingress_refused_quarantined",
                "Requests with a cause of crashes.",
            ),
            busy: counter(
                "ingress_refused_busy",
                "Requests whose upstreams had no room.",
            ),
            too_late: counter("ingress_refused_too_late", "Requests whose time was over."),
            leaving: counter(
                "ingress_refused_leaving",
                "Requests that might have outlasted the shutdown.",
            ),
            unclear: counter("ingress_failed_unclear", "Requests whose end is not known."),
            unanswered: counter("ingress_failed_unanswered", "Requests answered too late."),
        }
    }

    /// Counts a choice of an upstream by its reason.
    pub(super) fn count_choice(&self, reason: Reason) {
        self.choices[reason as usize].increment();
    }

    /// Returns the metrics of an account, or of requests without one.
    pub(super) fn account_metrics(&self, account: Option<&AccountName>) -> AccountMetrics {
        let none = AccountName::from(NO_ACCOUNT);
        let tier = TierName::from(NO_TIER);
        self.metrics.for_account(account.unwrap_or(&none), &tier)
    }

    /// Counts a request's outcome, for its class and its account.
    pub(super) fn count_outcome(
        &self,
        class: Option<RequestClass>,
        account: &AccountMetrics,
        outcome: RequestOutcome,
    ) {
        account.count_outcome(outcome);
        if let Some(counter) = self.requests.get(&(class, outcome)) {
            counter.increment();
        }
    }

    /// Counts the error that ended a request without an upstream's response, and returns its outcome.
    pub(super) fn count_error(&self, error: RequestError) -> RequestOutcome {
        let (counter, outcome) = match error {
            RequestError::NotRun(reason) => {
                let counter = match reason {
                    NotRun::OverQuota(_) => &self.over_quota,
                    NotRun::NoTable => &self.no_table,
                    NotRun::NoMemory => &self.no_memory,
                    NotRun::Overloaded(_) | NotRun::OverShare(_) | NotRun::Hopeless(_) => {
                        &self.overloaded
                    }
                    NotRun::NoUpstream => &self.no_upstream,
                    NotRun::UnknownOrigin => &self.unknown_origin,
                    NotRun::Quarantined => &self.quarantined,
                    NotRun::Busy | NotRun::Paused(_) | NotRun::Limited(_) | NotRun::Unreachable => {
                        &self.busy
                    }
                    NotRun::TooLate | NotRun::BodySlow => &self.too_late,
                    NotRun::Leaving(_) => &self.leaving,
                };
                (counter, RequestOutcome::Refused)
            }
            RequestError::Failed(Failure::Unclear) => (&self.unclear, RequestOutcome::Failed),
            RequestError::Failed(Failure::Unanswered) => (&self.unanswered, RequestOutcome::Failed),
            RequestError::Failed(
                Failure::NoRoute | Failure::UnknownKey | Failure::BodyTooLarge | Failure::BodyCut,
            ) => return RequestOutcome::NotAllowed,
        };
        counter.increment();
        outcome
    }
}

/// Registers the metrics that are read from the gateway's state.
pub(super) fn register_gauges<P: Platform, T: Clock>(metrics: &Metrics, core: &Arc<Core<P, T>>) {
    let shared = Arc::clone(core);
    metrics.register_gauge(
        "ingress_stream_origins",
        "Streams whose origin this gateway remembers.",
        move || shared.origins.len() as u64,
    );
    let shared = Arc::clone(core);
    metrics.register_gauge(
        "ingress_table_version",
        "Version of the table in force.",
        move || shared.routes.load().table.version,
    );
    let shared = Arc::clone(core);
    metrics.register_gauge(
        "ingress_gateways",
        "Gateways that callers are told of.",
        move || {
            shared
                .roster
                .load()
                .iter()
                .filter(|gateway| gateway.open)
                .count() as u64
        },
    );
    let shared = Arc::clone(core);
    metrics.register_gauge(
        "ingress_capacity",
        "Callers that this gateway can take relative to others; zero if unknown.",
        move || u64::from(shared.capacity.announced()),
    );
    let shared = Arc::clone(core);
    metrics.register_gauge(
        "ingress_in_progress",
        "Requests in progress at upstreams.",
        move || shared.upstreams.in_progress() as u64,
    );
    let shared = Arc::clone(core);
    metrics.register_gauge(
        "ingress_upstreams_limited",
        "Upstreams whose requests are limited.",
        move || shared.upstreams.limited_count() as u64,
    );
    let shared = Arc::clone(core);
    metrics.register_gauge(
        "ingress_services_cut_off",
        "Services whose upstreams are reached only through other gateways.",
        move || shared.upstreams.cut_off_services() as u64,
    );
    let shared = Arc::clone(core);
    metrics.register_gauge(
        "ingress_upstreams_cut_off",
        "Upstreams that are reached only through other gateways.",
        move || shared.upstreams.cut_off_count() as u64,
    );
    let shared = Arc::clone(core);
    metrics.register_gauge(
        "ingress_tunnels_carried",
        "Connections to upstreams that this gateway carries for others.",
        move || shared.reach.carried_count() as u64,
    );
    let shared = Arc::clone(core);
    metrics.register_gauge(
        "ingress_quarantined",
        "Causes of crashes whose requests are refused.",
        move || shared.crashes.quarantined_count(Instant::now()) as u64,
    );
    let shared = Arc::clone(core);
    metrics.register_labelled_gauge(
        "ingress_controller_silence_seconds",
        "Time since each controller answered last.",
        "controller",
        move || shared.controllers.silent_seconds(Instant::now()),
    );
    for (name, help, awaited) in [
        (
            "ingress_first_wait_seconds",
            "Mean wait for the first byte of an answer.",
            Awaited::First,
        ),
        (
            "ingress_event_pause_seconds",
            "Mean pause between two events of a stream.",
            Awaited::Next,
        ),
    ] {
        let shared = Arc::clone(core);
        let read = move || shared.upstreams.mean_waits(awaited);
        metrics.register_labelled_gauge(name, help, "service", read);
    }
    let bounds = [
        (
            "ingress_pace_slowest",
            "Learned speed of each service's slowest upstream, relative to the mean.",
            (|min, _| min) as fn(f64, f64) -> f64,
        ),
        (
            "ingress_pace_fastest",
            "Learned speed of each service's fastest upstream, relative to the mean.",
            |_, max| max,
        ),
        (
            "ingress_pace_spread",
            "Learned speed of each service's fastest upstream, relative to the slowest.",
            |min, max| max / min,
        ),
    ];
    for (name, help, of) in bounds {
        let shared = Arc::clone(core);
        metrics.register_labelled_gauge(name, help, "service", move || {
            let bounds = shared.upstreams.pace_bounds().into_iter();
            bounds
                .map(|(service, min, max)| (service, of(min, max)))
                .collect()
        });
    }
    let shared = Arc::clone(core);
    metrics.register_labelled_gauge(
        "ingress_expected_wait_seconds",
        "Wait for a first byte that a request of mean size may expect now.",
        "service",
        move || {
            let zone = &shared.settings.zone;
            shared.upstreams.expected_waits(zone, Instant::now())
        },
    );
    let shared = Arc::clone(core);
    metrics.register_gauge(
        "ingress_pace_age_seconds",
        "Time since the leader told a change of the learned speeds.",
        move || {
            let age = shared.upstreams.paces.age(Instant::now());
            age.unwrap_or_default().as_secs()
        },
    );
    let shared = Arc::clone(core);
    metrics.register_labelled_gauge(
        "ingress_leader",
        "The controller that said last that it leads.",
        "controller",
        move || {
            shared
                .controllers
                .leader()
                .map(|name| (name, 1.0))
                .into_iter()
                .collect()
        },
    );
    let shared = Arc::clone(core);
    metrics.register_labelled_gauge(
        "ingress_quota_part",
        "This gateway's part of each account's quota.",
        "account",
        move || {
            let parts = shared.quotas.parts(shared.clock.monotonic()).into_iter();
            parts.map(|part| (part.account, part.value)).collect()
        },
    );
    let shared = Arc::clone(core);
    metrics.register_labelled_gauge(
        "ingress_room_level",
        "How much of a service's demand is refused, from zero to one.",
        "service",
        move || shared.room.levels(),
    );
    let shared = Arc::clone(core);
    metrics.register_labelled_gauge(
        "ingress_room_refused_fraction",
        "Fraction of an account's work that is refused for want of room.",
        "account",
        move || shared.room.refused_fractions(),
    );
    let shared = Arc::clone(core);
    metrics.register_labelled_gauge(
        "ingress_retry_budget_left",
        "Further attempts that this gateway may make now.",
        "service",
        move || shared.budgets.remaining(Instant::now()),
    );
    let shared = Arc::clone(core);
    metrics.register_counter_callback(
        "ingress_connections_opened",
        "Connections opened to upstreams.",
        move || shared.client.connections_opened(),
    );
    let shared = Arc::clone(core);
    metrics.register_counter_callback(
        "ingress_connections_reused",
        "Requests sent over a connection that was open.",
        move || shared.client.connections_reused(),
    );
}
