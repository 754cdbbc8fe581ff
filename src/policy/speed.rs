//! How fast the model engines of a service read prompts, learnt from how long requests wait for their first
//! events.
//!
//! An engine that nobody else uses begins an answer after a time that grows with the prompt tokens that it must
//! read. Queues lengthen all waits and hide that time, but they do not depend on a request's own prompt, so the
//! slope of the wait over the tokens shows it. While an engine reads several prompts by turns, each token takes
//! as many times longer as the engine is filled, which the rate of tokens tells. Sums of several gateways add
//! up to those of all. See docs/DECISIONS.md, "Reading speed".

use std::time::Duration;

/// Time over which requests count, so that an estimate of a service that is little used has enough of them, and
/// a change of speed within a minute shows.
const DECAY_TIME: Duration = Duration::from_secs(30);
/// Requests from which on the slope is looked at.
const MIN_REQUESTS: f64 = 60.0;
/// Standard errors that the slope must lie above zero to be believed.
const MIN_SLOPE_STANDARD_ERRORS: f64 = 3.0;

/// Weighted sums over requests: how many, their new prompt tokens and their waits for the first byte in seconds,
/// the squares of both, and the products. Gateways send it to controllers as it is.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct PrefillStats {
    /// Requests.
    #[prost(double, tag = "1")]
    pub count: f64,
    /// Tokens.
    #[prost(double, tag = "2")]
    pub tokens: f64,
    /// Waits.
    #[prost(double, tag = "3")]
    pub waits: f64,
    /// Squares of tokens.
    #[prost(double, tag = "4")]
    pub tokens_squared: f64,
    /// Squares of waits.
    #[prost(double, tag = "5")]
    pub waits_squared: f64,
    /// Products of tokens and waits.
    #[prost(double, tag = "6")]
    pub products: f64,
}

impl PrefillStats {
    /// Notes a request that waited for its first byte.
    pub fn record(&mut self, tokens: u32, wait: Duration) {
        let (tokens, wait) = (f64::from(tokens), wait.as_secs_f64());
        self.merge(&Self {
            count: 1.0,
            tokens,
            waits: wait,
            tokens_squared: tokens * tokens,
            waits_squared: wait * wait,
            products: tokens * wait,
        });
    }

    /// Lets what was noted count less after some time.
    pub fn decay(&mut self, passed: Duration) {
        let retained = (-passed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        for sum in self.sums() {
            *sum *= retained;
        }
    }

    /// Adds what another gateway noted.
    pub fn merge(&mut self, other: &Self) {
        let mut other = *other;
        for (sum, more) in self.sums().into_iter().zip(other.sums()) {
            *sum += *more;
        }
    }

    fn sums(&mut self) -> [&mut f64; 6] {
        [
            &mut self.count,
            &mut self.tokens,
            &mut self.waits,
            &mut self.tokens_squared,
            &mut self.waits_squared,
            &mut self.products,
        ]
    }

    /// Returns by how many seconds a wait is longer for each further token, if that is certain.
    fn slope(&self) -> Option<f64> {
        if self.count < MIN_REQUESTS {
            return None;
        }
        let token_variation = self.tokens_squared - self.tokens * self.tokens / self.count;
        let wait_variation = self.waits_squared - self.waits * self.waits / self.count;
        let covariation = self.products - self.tokens * self.waits / self.count;
        if token_variation <= 0.0 {
            return None;
        }
        let slope = covariation / token_variation;
        let unexplained = (wait_variation - slope * covariation).max(0.0);
        let error = (unexplained / (self.count - 2.0) / token_variation).sqrt();
        (slope > MIN_SLOPE_STANDARD_ERRORS * error && slope > 0.0).then_some(slope)
    }

    /// Returns how many prompt tokens one engine reads in a second, if enough was seen. `rate` is how many new
    /// prompt tokens all `engines` together get in a second.
    pub fn tokens_per_second(&self, rate: f64, engines: u32) -> Option<f64> {
        let slope = self.slope().filter(|_| engines > 0)?;
        // An engine that reads for a part p of the time takes 1 / (1 - p) times as long for each token.
        let uncontended_slope = slope / (1.0 + slope * rate / f64::from(engines));
        Some(1.0 / uncontended_slope)
    }
}
