//! Metrics of an ingress gateway; docs/METRICS.md lists them.

use std::{sync::Arc, time::Duration};

use super::{
    Core,
    answer::{Ended, Failure, NotRun},
};
use crate::{
    domain::{AccountName, TierName},
    ports::{Clock, Platform},
    telemetry::{Counter, Metrics},
};

/// Tier under which accounts of published tables are shown; these have no tiers.
const NO_TIER: &str = "none";

/// Counters of requests and attempts.
#[derive(Debug)]
pub(super) struct Counters {
    metrics: Metrics,
    pub(super) answered: Counter,
    pub(super) answered_failure: Counter,
    pub(super) attempts: Counter,
    pub(super) repeated: Counter,
    pub(super) not_executed: Counter,
    pub(super) resumed: Counter,
    over_quota: Counter,
    no_table: Counter,
    no_upstream: Counter,
    busy: Counter,
    too_late: Counter,
    not_allowed: Counter,
    unclear: Counter,
    unanswered: Counter,
}

impl Counters {
    pub(super) fn new(metrics: &Metrics) -> Self {
        let counter = |name, help| metrics.counter(name, help);
        Self {
            metrics: metrics.clone(),
            answered: counter("ingress_answered", "Requests answered with success."),
            answered_failure: counter(
                "ingress_answered_failure",
                "Requests answered with an upstream's failure.",
            ),
            attempts: counter("ingress_attempts", "Requests sent to upstreams."),
            repeated: counter(
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
            over_quota: counter("ingress_refused_over_quota", "Requests beyond a quota."),
            no_table: counter(
                "ingress_refused_no_table",
                "Requests before any table arrived.",
            ),
            no_upstream: counter(
                "ingress_refused_no_upstream",
                "Requests without an upstream.",
            ),
            busy: counter(
                "ingress_refused_busy",
                "Requests whose upstreams had no room.",
            ),
            too_late: counter("ingress_refused_too_late", "Requests whose time was over."),
            not_allowed: counter(
                "ingress_not_allowed",
                "Requests that no route or key allows.",
            ),
            unclear: counter("ingress_failed_unclear", "Requests whose end is not known."),
            unanswered: counter("ingress_failed_unanswered", "Requests answered too late."),
        }
    }

    /// Counts a request that ended without an upstream's answer.
    pub(super) fn ended(&self, ended: Ended) {
        let counter = match ended {
            Ended::NotRun(NotRun::OverQuota(_)) => &self.over_quota,
            Ended::NotRun(NotRun::NoTable) => &self.no_table,
            Ended::NotRun(NotRun::NoUpstream) => &self.no_upstream,
            Ended::NotRun(NotRun::Busy | NotRun::Unreachable) => &self.busy,
            Ended::NotRun(NotRun::TooLate | NotRun::BodySlow) => &self.too_late,
            Ended::Failed(Failure::Unclear) => &self.unclear,
            Ended::Failed(Failure::Unanswered) => &self.unanswered,
            Ended::Failed(
                Failure::NoRoute | Failure::UnknownKey | Failure::BodyTooLarge | Failure::BodyCut,
            ) => &self.not_allowed,
        };
        counter.add();
    }

    /// Records the time to the first byte of an account's answer.
    pub(super) fn first_byte(&self, account: &AccountName, duration: Duration) {
        let account = self.metrics.account(account, &TierName::from(NO_TIER));
        account.first_token(duration);
    }
}

/// Shows what the gateway holds.
pub(super) fn show_state<P: Platform, T: Clock>(metrics: &Metrics, core: &Arc<Core<P, T>>) {
    let held = Arc::clone(core);
    metrics.gauge(
        "ingress_table_version",
        "Version of the table in force.",
        move || held.routes.load().table.version,
    );
    let held = Arc::clone(core);
    metrics.gauge(
        "ingress_gateways",
        "Gateways that callers are told of.",
        move || {
            held.roster
                .load()
                .iter()
                .filter(|gateway| gateway.open)
                .count() as u64
        },
    );
    let held = Arc::clone(core);
    metrics.gauge(
        "ingress_in_progress",
        "Requests in progress at upstreams.",
        move || held.upstreams.in_progress() as u64,
    );
}
