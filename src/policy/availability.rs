//! Whether an upstream wants requests: what the platform's list says, what the upstream itself said last, and the
//! pause that it asked for. See docs/DECISIONS.md, "Upstreams that leave or ask for a pause".

use std::time::Duration;

/// Time after an upstream's own word in which the list may still be older than it: several times the lag of the
/// list and the pauses between its readings, also over a change of leader.
pub const MAX_LIST_LAG: Duration = Duration::from_secs(5);

/// What is known of one upstream. Times are those of one monotonic clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct Availability {
    listed_leaving: bool,
    /// Another gateway was told by the upstream that it leaves.
    reported_by_peers: bool,
    /// When the upstream said that it leaves.
    said_leaving_at: Option<Duration>,
    paused_until: Option<Duration>,
}

impl Availability {
    /// Takes what the list says. Returns whether the upstream takes work otherwise than before.
    ///
    /// Its own word stands against a list that says otherwise, until the list shows that it was started anew:
    /// as ready after it was leaving.
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

    /// Takes the upstream's own word that it leaves. Returns whether that is new.
    pub fn mark_leaving(&mut self, now: Duration) -> bool {
        let is_new = self.said_leaving_at.is_none();
        self.said_leaving_at = Some(now);
        is_new
    }

    /// Takes a pause that the upstream asks for; of pauses that overlap the one that ends last counts.
    pub fn request_pause(&mut self, pause: Duration, now: Duration) {
        let until = now.saturating_add(pause);
        self.paused_until = Some(self.paused_until.map_or(until, |before| before.max(until)));
    }

    /// Returns whether it gets nothing any more.
    pub fn is_leaving(&self) -> bool {
        self.listed_leaving || self.reported_by_peers || self.said_leaving_at.is_some()
    }

    /// Returns whether it wants requests now.
    pub fn is_available(&self, now: Duration) -> bool {
        !self.is_leaving() && self.remaining_pause(now).is_none()
    }

    /// Returns whether it said so itself, lately enough that the list may not show it.
    pub fn recently_said_leaving(&self, now: Duration) -> bool {
        self.said_leaving_at
            .is_some_and(|said| now.saturating_sub(said) < MAX_LIST_LAG)
    }

    /// Returns how much longer it wants nothing, if it asked for a pause.
    pub fn remaining_pause(&self, now: Duration) -> Option<Duration> {
        let left = self.paused_until?.saturating_sub(now);
        (left > Duration::ZERO).then_some(left)
    }
}
