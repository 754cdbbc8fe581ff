//! How many bytes of a large transfer may be on their way at once. They fill the network without a long queue, so
//! that small messages on the same link wait for little more than [`MAX_QUEUE`].
//!
//! As in BBR (Cardwell and others, 2016), the window is the highest recent rate times the shortest time of a reply,
//! after a start in which it doubles with each round trip until replies take longer.

use std::{collections::VecDeque, time::Duration};

/// Time for which the transfer may fill queues on the network. It must exceed the unevenness of replies, or the
/// network idles between them.
pub const MAX_QUEUE: Duration = Duration::from_millis(30);
/// Least window: one part of a transfer.
pub const MIN_WINDOW_BYTES: usize = 8 * 1024;
/// Largest window; it fills 1 Gbit/s for 16 ms.
const MAX_WINDOW_BYTES: usize = 2 * 1024 * 1024;
/// Most bytes in one part.
pub const MAX_PART_BYTES: usize = 128 * 1024;
/// Parts into which a window is divided, so that some are on their way while one is handled.
const PARTS_PER_WINDOW: usize = 4;
/// Time for which a measured rate counts.
const RATE_AGE: Duration = Duration::from_secs(2);
/// Queue that shows that the window is too large for the network.
const LONG_QUEUE: Duration = Duration::from_millis(60);

/// The window of one transfer. Times are those of one monotonic clock.
#[derive(Debug)]
pub struct TransferWindow {
    delivered: u64,
    /// When the part that arrived last was sent.
    last_sent: Option<Duration>,
    /// The window of the start, until it ended.
    starting_bytes: Option<usize>,
    shortest: Option<Duration>,
    /// Measured rates in bytes per second, with their times.
    rates: VecDeque<(Duration, f64)>,
}

/// A part that was requested.
#[derive(Clone, Copy, Debug)]
pub struct SentPart {
    at: Duration,
    delivered: u64,
    /// When the part that had arrived last by then was sent.
    last_sent: Duration,
}

impl Default for TransferWindow {
    fn default() -> Self {
        Self {
            delivered: 0,
            last_sent: None,
            starting_bytes: Some(MIN_WINDOW_BYTES),
            shortest: None,
            rates: VecDeque::new(),
        }
    }
}

impl TransferWindow {
    /// Returns the bytes that may be on their way at once.
    pub fn bytes(&self) -> usize {
        let rate = self.rates.iter().map(|(_, rate)| *rate).fold(0.0, f64::max);
        let filled = self.shortest.unwrap_or_default() + MAX_QUEUE;
        let bytes = (rate * filled.as_secs_f64()) as usize;
        let bytes = bytes.max(self.starting_bytes.unwrap_or_default());
        bytes.clamp(MIN_WINDOW_BYTES, MAX_WINDOW_BYTES)
    }

    /// Returns the bytes that the next part should have.
    pub fn part_bytes(&self) -> usize {
        (self.bytes() / PARTS_PER_WINDOW).clamp(MIN_WINDOW_BYTES, MAX_PART_BYTES)
    }

    /// Notes that a part is requested.
    pub fn send(&self, now: Duration) -> SentPart {
        SentPart {
            at: now,
            delivered: self.delivered,
            last_sent: self.last_sent.unwrap_or(now),
        }
    }

    /// Notes that a part of some bytes arrived.
    pub fn receive(&mut self, now: Duration, sent: SentPart, bytes: usize) {
        self.delivered += bytes as u64;
        let taken = now.saturating_sub(sent.at).max(Duration::from_micros(1));
        let shortest = self.shortest.map_or(taken, |shortest| shortest.min(taken));
        self.shortest = Some(shortest);
        // The start ends as soon as a queue forms.
        self.starting_bytes = self
            .starting_bytes
            .filter(|_| taken - shortest < MAX_QUEUE / 2)
            .map(|window| window + bytes);
        self.last_sent = Some(sent.at);
        // Parts that were held up arrive at once, but were sent over a longer time.
        let sending = sent.at.saturating_sub(sent.last_sent);
        let rate = (self.delivered - sent.delivered) as f64 / taken.max(sending).as_secs_f64();
        if taken - shortest > LONG_QUEUE {
            // An earlier rate was too high, as after a burst that the network let pass faster than it can go on.
            self.rates.clear();
        }
        self.rates.push_back((now, rate));
        self.rates
            .retain(|(at, _)| now.saturating_sub(*at) <= RATE_AGE);
    }
}
