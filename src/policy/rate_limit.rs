//! Limits that upstreams state for the requests per second that they accept from all gateways
//! together, and each gateway's part of such a limit.
//!
//! A few gateways, chosen by a rendezvous hash of the upstream, send it equal parts of the rate. The
//! others send it nothing. Every gateway derives this from the roster, so no leader has to be asked,
//! and each part is large enough for whole requests however many gateways there are. See
//! docs/DECISIONS.md, "Upstreams that limit their requests".

use std::time::Duration;

use super::{
    quota::{BucketLimit, TokenBucket},
    route::{name_hash, rendezvous_rank},
};

/// Least rate at which an upstream gets requests, per second, so that gateways notice when it no
/// longer limits them.
const PROBE_RATE: f64 = 0.25;
/// Time for which a gateway may save up its part of a limit, if that is more than one request.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Time from a statement until the platform's list can include it: a poll of the controllers, and
/// twice the time between two changes that the leader publishes.
const LIST_DELAY: Duration = Duration::from_secs(2);
/// Age at which a statement is no longer reported to the controllers.
const MAX_REPORT_AGE: Duration = Duration::from_secs(60);

/// What a response stated about the rate that its upstream accepts. The times of statements that are
/// compared come from one clock, which also runs while the machine is suspended.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Statement {
    /// Requests per second, or `None` if the response stated no limit.
    pub limit: Option<f64>,
    /// When the request was sent.
    pub sent: Duration,
    /// When the head of the response arrived.
    pub received: Duration,
}

impl Statement {
    /// Replaces this statement if the other one is newer. Returns whether it is.
    ///
    /// Responses can overtake each other, so the order of two statements is known only if one request
    /// was sent after the other one's response was received. Otherwise the lower limit applies.
    pub fn update(&mut self, other: Self) -> bool {
        let limit = |statement: &Self| statement.limit.unwrap_or(f64::INFINITY);
        let overlaps = other.received > self.sent;
        let is_newer = other.sent >= self.received || (overlaps && limit(&other) < limit(self));
        if is_newer {
            *self = other;
        }
        is_newer
    }
}

/// A gateway's place among the gateways that send requests to one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Number of gateways that come before this one, or `None` if this one gets no new requests.
    rank: Option<usize>,
    /// Number of gateways.
    gateways: usize,
}

impl Place {
    /// Returns the place of the gateway `own` for an upstream. The order of the gateways does not
    /// matter.
    pub fn find<'a>(
        upstream: &str,
        own: &str,
        gateways: impl Iterator<Item = &'a str> + Clone,
    ) -> Self {
        let key = name_hash(upstream);
        let rank = || rendezvous_rank(key, own, gateways.clone());
        Self {
            rank: gateways.clone().any(|name| name == own).then(rank),
            gateways: gateways.count(),
        }
    }

    /// Returns the number of gateways.
    pub(super) fn gateways(self) -> usize {
        self.gateways
    }

    /// Returns this gateway's part of a number of requests; the parts of all gateways add up to it. A gateway that knows of
    /// none yet takes one.
    pub(super) fn share(self, total: usize) -> usize {
        if self.gateways == 0 {
            return total.min(1);
        }
        let holders = total.min(self.gateways);
        let rank = self.rank.filter(|rank| *rank < holders);
        rank.map_or(0, |rank| {
            total / holders + usize::from(rank < total % holders)
        })
    }

    /// Returns this gateway's part of a limit, or `None` if only others send to the upstream.
    fn part(self, limit: f64) -> Option<BucketLimit> {
        let limit = limit.max(PROBE_RATE);
        // The conversion saturates.
        let holders = (limit as usize).saturating_add(1).min(self.gateways);
        self.rank.filter(|rank| *rank < holders)?;
        let per_second = limit / holders as f64;
        Some(BucketLimit {
            per_second,
            capacity: (per_second * BURST_TIME.as_secs_f64()).max(1.0),
        })
    }
}

/// The limit of one upstream, as a gateway knows it from responses and from the list.
#[derive(Clone, Debug, Default)]
pub struct UpstreamLimit {
    /// The newest statement that this gateway received.
    stated: Option<Statement>,
    /// Whether the list has had time to include that statement.
    is_listed: bool,
    /// The limit in the list.
    listed: Option<f64>,
    /// This gateway's unused part of the limit in force.
    bucket: Option<TokenBucket>,
}

impl UpstreamLimit {
    /// Returns the limit in force, in requests per second over all gateways.
    pub fn current(&self) -> Option<f64> {
        match self.stated {
            Some(stated) if !self.is_listed => stated.limit,
            _ => self.listed,
        }
    }

    /// Records a statement that this gateway received. Returns whether that changes the limit in force.
    pub fn record(&mut self, statement: Statement) -> bool {
        let before = self.current();
        if before.is_none() && self.listed.is_none() && statement.limit.is_none() {
            return false;
        }
        let is_newer = match &mut self.stated {
            Some(stated) => stated.update(statement),
            None => {
                self.stated = Some(statement);
                true
            }
        };
        self.is_listed &= !is_newer;
        self.finish_change(before)
    }

    /// Applies the limit in the list. Returns whether that changes the limit in force.
    pub fn apply_list(&mut self, listed: Option<f64>) -> bool {
        let before = self.current();
        self.listed = listed;
        self.finish_change(before)
    }

    /// Applies that the leader's list includes what gateways knew at `reported`. Returns whether that
    /// changes the limit in force.
    pub fn confirm_list(&mut self, reported: Duration) -> bool {
        let before = self.current();
        let is_known = |stated: &Statement| reported >= stated.received + LIST_DELAY;
        self.is_listed |= self.stated.as_ref().is_some_and(is_known);
        self.finish_change(before)
    }

    /// Drops the bucket if no limit is in force any more. Returns whether the limit changed.
    fn finish_change(&mut self, before: Option<f64>) -> bool {
        let current = self.current();
        if current.is_none() {
            self.bucket = None;
        }
        current != before
    }

    /// Returns the statement to report to the controllers, unless it is old or never set a limit.
    pub fn report(&self, now: Duration) -> Option<Statement> {
        self.stated
            .filter(|stated| now.saturating_sub(stated.received) < MAX_REPORT_AGE)
    }

    /// Returns whether the upstream may get a request at `now`, which like that of [`Self::spend`] is
    /// the time of a clock that need not be the one of the statements.
    ///
    /// # Errors
    ///
    /// Returns the time until this gateway's part of the limit suffices, or `None` if other gateways
    /// have all of it.
    pub fn check(&mut self, place: Place, now: Duration) -> Result<(), Option<Duration>> {
        let Some(limit) = self.current() else {
            return Ok(());
        };
        let part = place.part(limit).ok_or(None)?;
        self.bucket(now).check(1.0, part, now).map_err(Some)
    }

    /// Records that a request is sent to the upstream.
    pub fn spend(&mut self, now: Duration) {
        if self.current().is_some() {
            self.bucket(now).spend(1.0);
        }
    }

    fn bucket(&mut self, now: Duration) -> &mut TokenBucket {
        self.bucket
            .get_or_insert_with(|| TokenBucket::new(0.0, now))
    }
}
