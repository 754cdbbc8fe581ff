//! Estimates the prefill throughput of a service's model engines from how long requests wait for
//! their first events.
//!
//! An idle engine begins an answer after a time that grows with the prompt tokens it must prefill.
//! Queueing lengthens all waits and hides that time, but does not depend on a request's own prompt,
//! so the slope of a linear regression of the wait over the tokens reveals it. While an engine
//! prefills several prompts in turns (processor sharing), each token takes longer by a factor that
//! follows from the engine's utilization, which the rate of tokens gives. The sums of several
//! gateways add up to the sums over all requests. See docs/DECISIONS.md, "Reading speed".

use std::time::Duration;

/// Time constant of the decay of the sums: long enough for a service with little traffic to collect
/// enough requests, and short enough that a change of speed shows within a minute.
const DECAY_TIME: Duration = Duration::from_secs(30);
/// Fewest requests, after decay, from which the slope is estimated.
const MIN_REQUESTS: f64 = 60.0;
/// Standard errors by which the slope must exceed zero to be used.
const MIN_SLOPE_STANDARD_ERRORS: f64 = 3.0;

/// Sums over requests for a linear regression, weighted by age: their number, their new prompt
/// tokens, their waits for the first byte in seconds, the squares of both, and the products.
/// Gateways send it to controllers as it is.
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
    /// Records a request's new prompt tokens and its wait for the first byte.
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

    /// Decays the sums by the time that has passed.
    pub fn decay(&mut self, passed: Duration) {
        let retained = (-passed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        for sum in self.sums() {
            *sum *= retained;
        }
    }

    /// Adds the sums of another gateway.
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

    /// Returns the seconds that each further token adds to a wait, if that is significant.
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

    /// Returns how many prompt tokens one engine prefills per second, if there is enough data.
    /// `rate` is the number of new prompt tokens per second that all `engines` get together.
    pub fn tokens_per_second(&self, rate: f64, engines: u32) -> Option<f64> {
        let slope = self.slope().filter(|_| engines > 0)?;
        // An engine that prefills for a fraction p of the time takes 1 / (1 - p) times as long for
        // each token.
        let uncontended_slope = slope / (1.0 + slope * rate / f64::from(engines));
        Some(1.0 / uncontended_slope)
    }
}
