//! Tracks whether an upstream accepts requests, from the platform's list, the upstream's own
//! leaving notices and the pauses that it requested. See docs/DECISIONS.md, "Upstreams that leave
//! or ask for a pause".

use std::time::Duration;

/// Time after an upstream's own leaving notice for which the list may still predate it: several
/// times the lag of the list plus its poll interval, a change of leader included.
pub const MAX_LIST_LAG: Duration = Duration::from_secs(5);

/// Availability of one upstream. All times come from one monotonic clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct Availability {
    listed_leaving: bool,
    /// Another gateway received the upstream's leaving notice.
    reported_by_peers: bool,
    /// When this gateway received the upstream's latest leaving notice.
    said_leaving_at: Option<Duration>,
    paused_until: Option<Duration>,
}

impl Availability {
    /// Applies the upstream's entry in the platform's list. Returns whether
    /// [`Availability::is_leaving`] changed.
    ///
    /// The upstream's own notice overrides a list that contradicts it, until the list shows a
    /// restart: the upstream is listed as ready after it was listed as leaving.
    pub fn apply_list(&mut self, leaving: bool, reported_by_peers: bool, now: Duration) -> bool {
        let before = self.is_leaving();
        let is_back = self.listed_leaving && !leaving;
        let is_recent = |said: Duration| now.saturating_sub(said) < MAX_LIST_LAG;
        if is_back && !self.said_leaving_at.is_some_and(is_recent) {
            self.said_leaving_at = None;
        }
        self.listed_leaving = leaving;
        self.reported_by_peers = reported_by_peers;
        self.is_leaving() != before
    }

    /// Records the upstream's own notice that it leaves. Returns whether it is the first one.
    pub fn mark_leaving(&mut self, now: Duration) -> bool {
        let is_new = self.said_leaving_at.is_none();
        self.said_leaving_at = Some(now);
        is_new
    }

    /// Records a pause that the upstream requested. Of overlapping pauses the latest end applies.
    pub fn request_pause(&mut self, pause: Duration, now: Duration) {
        let until = now.saturating_add(pause);
        self.paused_until = Some(self.paused_until.map_or(until, |before| before.max(until)));
    }

    /// Returns whether the upstream is leaving, by any source.
    pub fn is_leaving(&self) -> bool {
        self.listed_leaving || self.reported_by_peers || self.said_leaving_at.is_some()
    }

    /// Returns whether the upstream may get requests now.
    pub fn is_available(&self, now: Duration) -> bool {
        !self.is_leaving() && self.remaining_pause(now).is_none()
    }

    /// Returns whether the upstream sent a leaving notice so recently that the list may not show it
    /// yet.
    pub fn recently_said_leaving(&self, now: Duration) -> bool {
        self.said_leaving_at
            .is_some_and(|said| now.saturating_sub(said) < MAX_LIST_LAG)
    }

    /// Returns the time left of a requested pause, if one is in effect.
    pub fn remaining_pause(&self, now: Duration) -> Option<Duration> {
        let left = self.paused_until?.saturating_sub(now);
        (left > Duration::ZERO).then_some(left)
    }
}
