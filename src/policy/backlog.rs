//! Estimates how many prompt tokens a model engine must prefill before it starts on a new request.
//!
//! An engine prefills prompts one after the other, so a request waits for every prompt sent to that
//! engine earlier, by any gateway. A gateway counts the prompts that it sent and those that other
//! gateways announced, subtracts what the engine prefills meanwhile, and corrects the estimate at
//! each first event: by then the engine has prefilled everything sent before. See
//! docs/DECISIONS.md, "Placing prompts".

use std::time::Duration;

use crate::domain::RoutingWeights;

/// Prefill throughput assumed until it is estimated, in tokens per second. It lies within a factor
/// of two of the engines on the users' sheets.
pub const DEFAULT_PREFILL_TOKENS_PER_SECOND: f64 = 100_000.0;
/// Cost of recomputing a shared prefix, as a multiple of its prefill time: requests sent to the
/// engine later wait for it too.
const RECOMPUTE_COST_FACTOR: f64 = 2.0;
/// Engine costs that differ by less count as equal, in milliseconds: a few network trips between
/// zones plus the prefill of a short prompt.
const EQUAL_COST_MS: f64 = 30.0;
/// Prefill time from which a prompt is announced to other gateways: several times the network delay
/// between gateways.
const MIN_ANNOUNCED_PREFILL_TIME: Duration = Duration::from_millis(15);
/// Announcement messages per second that one gateway may send, to all other gateways together. At
/// 80 bytes each they stay within the 29 KB per second that the plan allows a node for control
/// traffic.
const ANNOUNCEMENTS_PER_SECOND: f64 = 300.0;
/// Smoothing factor of the moving average of prompt lengths, which then covers about twenty
/// prompts.
const PROMPT_MEAN_WEIGHT: f64 = 0.05;
/// Shortest announced prompt as a multiple of the mean prompt, when the messages of one second are
/// spent; the threshold grows linearly with the messages spent.
const LENGTH_THRESHOLD_FACTOR: f64 = 4.0;

/// Weight of the requests of a [`PromptMix`] from which it counts as known, reached after 32 of them.
const MIN_MIX_WEIGHT: f64 = 0.145;
/// Weight of a new request in the moving averages of a [`PromptMix`].
const MIX_WEIGHT: f64 = 0.005;
/// Shared fraction of the prompt tokens from which requests go to their homes: reading all shared
/// parts again would then more than double the work of the engines.
const HOME_SHARED_FRACTION: f64 = 0.5;

/// How the engine for a prompt is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// At the home of its shared parts, unless that is overloaded.
    Home,
    /// Where the prompts sent before leave the shortest wait.
    Backlog,
}

/// Moving averages of the shared and the new prompt tokens of a service's requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct PromptMix {
    shared_tokens: f64,
    new_tokens: f64,
    /// Sum of the weights of the requests so far, which approaches one.
    weight: f64,
}

impl PromptMix {
    /// Records the prompt of a request.
    pub fn record(&mut self, shared_tokens: u32, new_tokens: u32) {
        let average = |mean: &mut f64, value: f64| *mean += (value - *mean) * MIX_WEIGHT;
        average(&mut self.shared_tokens, f64::from(shared_tokens));
        average(&mut self.new_tokens, f64::from(new_tokens));
        average(&mut self.weight, 1.0);
    }

    /// Returns the mean numbers of shared and of new prompt tokens.
    pub fn mean_tokens(&self) -> (u32, u32) {
        let mean = |sum: f64| match self.weight > 0.0 {
            true => (sum / self.weight) as u32,
            false => 0,
        };
        (mean(self.shared_tokens), mean(self.new_tokens))
    }

    /// Returns how the next prompt is placed. Until a few dozen prompts are known, they go to their
    /// homes, because gateways that start at the same time know nothing of each other's prompts.
    pub fn placement(&self) -> Placement {
        let total = self.shared_tokens + self.new_tokens;
        let is_known = self.weight >= MIN_MIX_WEIGHT;
        match is_known && self.shared_tokens < HOME_SHARED_FRACTION * total {
            true => Placement::Backlog,
            false => Placement::Home,
        }
    }
}

/// Returns the routing weights for engines that prefill `speed` tokens per second.
pub fn routing_weights(placement: Placement, speed: f64) -> RoutingWeights {
    if placement == Placement::Home {
        return RoutingWeights::default();
    }
    RoutingWeights {
        ms_per_thousand_uncached_tokens: RECOMPUTE_COST_FACTOR * 1e6 / speed,
        ms_of_equal_cost: Some(EQUAL_COST_MS),
        ..RoutingWeights::default()
    }
}

/// One gateway's estimate of the prompt tokens that an engine has yet to prefill.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backlog {
    /// Estimated tokens not yet prefilled, as of `updated_at`.
    pending_tokens: f64,
    updated_at: Duration,
    /// The part sent by this gateway, which is known not to be prefilled.
    own_pending_tokens: f64,
    /// All tokens ever sent to the engine, by this gateway or by announced prompts.
    total_sent: f64,
}

/// A prompt that this gateway sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentPrompt {
    tokens: f64,
    /// Value of [`Backlog::total_sent`] right after this prompt was added.
    end: f64,
}

impl Backlog {
    /// Adds a prompt that this gateway sends to an engine that prefills `speed` tokens per second.
    pub fn add_sent(&mut self, tokens: u32, speed: f64, now: Duration) -> SentPrompt {
        self.add_announced(tokens, speed, now);
        let tokens = f64::from(tokens);
        self.own_pending_tokens += tokens;
        SentPrompt {
            tokens,
            end: self.total_sent,
        }
    }

    /// Adds a prompt that another gateway has announced.
    pub fn add_announced(&mut self, tokens: u32, speed: f64, now: Duration) {
        self.advance(speed, now);
        self.pending_tokens += f64::from(tokens);
        self.total_sent += f64::from(tokens);
    }

    /// Handles the first event of a prompt's answer: the engine has prefilled it and everything
    /// sent before it.
    pub fn mark_prefilled(&mut self, prompt: SentPrompt, speed: f64, now: Duration) {
        self.advance(speed, now);
        self.own_pending_tokens = (self.own_pending_tokens - prompt.tokens).max(0.0);
        self.pending_tokens = self
            .pending_tokens
            .min((self.total_sent - prompt.end).max(0.0));
    }

    /// Removes a prompt that was cancelled before its first event, which the engine no longer
    /// prefills.
    pub fn cancel(&mut self, prompt: SentPrompt, speed: f64, now: Duration) {
        self.advance(speed, now);
        self.own_pending_tokens = (self.own_pending_tokens - prompt.tokens).max(0.0);
        self.pending_tokens = (self.pending_tokens - prompt.tokens).max(0.0);
    }

    /// Returns how many tokens are not yet prefilled.
    pub fn pending_tokens(&self, speed: f64, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.updated_at).as_secs_f64();
        // This gateway's prompts stay pending until their answers begin, however long that takes.
        (self.pending_tokens - passed * speed).max(self.own_pending_tokens)
    }

    /// Returns how long the engine takes to prefill the pending tokens.
    pub fn drain_time(&self, speed: f64, now: Duration) -> Duration {
        let seconds = self.pending_tokens(speed, now) / speed;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    fn advance(&mut self, speed: f64, now: Duration) {
        self.pending_tokens = self.pending_tokens(speed, now);
        self.updated_at = self.updated_at.max(now);
    }
}

/// Limits which prompts a gateway announces to the others: a leaky bucket whose length threshold
/// rises as it fills. Long prompts delay the requests of other gateways most, so the limited
/// messages go to those.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnnouncementLimiter {
    /// Level of the leaky bucket in messages, which drains at [`ANNOUNCEMENTS_PER_SECOND`].
    spent: f64,
    updated_at: Duration,
    mean_tokens: f64,
}

impl AnnouncementLimiter {
    /// Returns whether to announce a prompt to each of `others` other gateways, and counts the
    /// messages if so.
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
            self.mean_tokens * LENGTH_THRESHOLD_FACTOR * self.spent / ANNOUNCEMENTS_PER_SECOND;
        if tokens < speed * MIN_ANNOUNCED_PREFILL_TIME.as_secs_f64() || tokens < min_tokens {
            return false;
        }
        self.spent += others as f64;
        true
    }
}
