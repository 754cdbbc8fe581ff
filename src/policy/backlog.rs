//! How many prompt tokens a model engine still has to read before it begins with a new request.
//!
//! An engine reads prompts one after the other, so a request waits for all that were sent there before it, by
//! any gateway. A gateway counts the prompts that it sent and those that others told it, takes off what the
//! engine reads meanwhile, and corrects itself by each first event: by then the engine has read all that came
//! before. See docs/DECISIONS.md, "Placing prompts".

use std::time::Duration;

use crate::domain::RoutingWeights;

/// Prompt tokens in a second that an engine is taken to read until its speed is learnt; within a factor of two of
/// the engines on the users' sheets.
pub const DEFAULT_PREFILL_TOKENS_PER_SECOND: f64 = 100_000.0;
/// Cost of reading a shared part again, in times of the time that it takes: those that are sent there later wait
/// for it too.
const RECOMPUTE_COST_FACTOR: f64 = 2.0;
/// Costs of engines that differ by less count as equal, in milliseconds: a few ways between zones, and what an
/// engine takes for a short prompt.
const EQUAL_COST_MS: f64 = 30.0;
/// Reading time from which on a prompt is told to other gateways: several times their distance.
const MIN_ANNOUNCED_PREFILL: Duration = Duration::from_millis(15);
/// Messages in a second that one gateway spends on telling prompts, to all others together: 80 bytes each, within
/// the 29 KB a second that the plan allows a node for control.
const ANNOUNCEMENTS_PER_SECOND: f64 = 300.0;
/// Weight of one prompt in the mean prompt, so that some twenty count.
const PROMPT_MEAN_WEIGHT: f64 = 0.05;
/// How many times the mean a prompt must be long to be told when no messages are left.
const MAX_LENGTH_FACTOR: f64 = 4.0;

/// Returns the weights of routing for engines that read `speed` prompt tokens in a second.
pub fn routing_weights(speed: f64) -> RoutingWeights {
    RoutingWeights {
        ms_per_thousand_uncached_tokens: RECOMPUTE_COST_FACTOR * 1e6 / speed,
        ms_of_equal_cost: Some(EQUAL_COST_MS),
        ..RoutingWeights::default()
    }
}

/// The prompt tokens that one engine still has to read, as one gateway believes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backlog {
    /// Tokens that were sent and are not believed to be read, at a time.
    pending_tokens: f64,
    updated_at: Duration,
    /// This gateway's part of them, which is known to be unread.
    own_pending_tokens: f64,
    /// All tokens ever sent to the engine.
    total_sent: f64,
}

/// A prompt that this gateway sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentPrompt {
    tokens: f64,
    /// Tokens sent to the engine up to its end.
    sent: f64,
}

impl Backlog {
    /// Adds a prompt that this gateway sends now to an engine that reads `speed` tokens in a second.
    pub fn add_sent(&mut self, tokens: u32, speed: f64, now: Duration) -> SentPrompt {
        self.add_announced(tokens, speed, now);
        let tokens = f64::from(tokens);
        self.own_pending_tokens += tokens;
        SentPrompt {
            tokens,
            sent: self.total_sent,
        }
    }

    /// Adds a prompt that another gateway has sent just now.
    pub fn add_announced(&mut self, tokens: u32, speed: f64, now: Duration) {
        self.advance(speed, now);
        self.pending_tokens += f64::from(tokens);
        self.total_sent += f64::from(tokens);
    }

    /// Notes the first event of a prompt's answer: the engine has read it and all that came before.
    pub fn mark_prefilled(&mut self, prompt: SentPrompt, speed: f64, now: Duration) {
        self.advance(speed, now);
        self.own_pending_tokens = (self.own_pending_tokens - prompt.tokens).max(0.0);
        self.pending_tokens = self
            .pending_tokens
            .min((self.total_sent - prompt.sent).max(0.0));
    }

    /// Notes that a prompt was given up before its first event, so that the engine does not read it any more.
    pub fn cancel(&mut self, prompt: SentPrompt, speed: f64, now: Duration) {
        self.advance(speed, now);
        self.own_pending_tokens = (self.own_pending_tokens - prompt.tokens).max(0.0);
        self.pending_tokens = (self.pending_tokens - prompt.tokens).max(0.0);
    }

    /// Returns how many tokens are unread now.
    pub fn pending_tokens(&self, speed: f64, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.updated_at).as_secs_f64();
        // What this gateway sent is unread until its answers begin, however long that takes.
        (self.pending_tokens - passed * speed).max(self.own_pending_tokens)
    }

    /// Returns how long it takes to read them.
    pub fn drain_time(&self, speed: f64, now: Duration) -> Duration {
        let seconds = self.pending_tokens(speed, now) / speed;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    fn advance(&mut self, speed: f64, now: Duration) {
        self.pending_tokens = self.pending_tokens(speed, now);
        self.updated_at = self.updated_at.max(now);
    }
}

/// Decides which prompts one gateway tells the others. Long ones lengthen the waits of others most, so the
/// messages that a gateway may spend go to those.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnnouncementLimiter {
    /// Messages spent lately, which [`MESSAGES_PER_SECOND`] pays off.
    spent: f64,
    updated_at: Duration,
    mean_tokens: f64,
}

impl AnnouncementLimiter {
    /// Returns whether a prompt is worth a message to each of some other gateways.
    pub fn should_announce(
        &mut self,
        tokens: u32,
        speed: f64,
        others: usize,
        now: Duration,
    ) -> bool {
        let tokens = f64::from(tokens);
        if self.mean_tokens == 0.0 {
            self.mean_tokens = tokens;
        }
        self.mean_tokens += PROMPT_MEAN_WEIGHT * (tokens - self.mean_tokens);
        let passed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.spent = (self.spent - passed * ANNOUNCEMENTS_PER_SECOND).max(0.0);
        self.updated_at = self.updated_at.max(now);
        let min_tokens =
            self.mean_tokens * MAX_LENGTH_FACTOR * self.spent / ANNOUNCEMENTS_PER_SECOND;
        if tokens < speed * MIN_ANNOUNCED_PREFILL.as_secs_f64() || tokens < min_tokens {
            return false;
        }
        self.spent += others as f64;
        true
    }
}
