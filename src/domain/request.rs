//! Requests and the parts of their answers.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::{AccountName, ModelName, RequestId};

/// Order in which an engine serves its queue; paying requests go before free ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Uses spare capacity and may be preempted by paying requests.
    Free,
    /// Goes first.
    Paying,
}

/// SHA-256 of a request's method, path and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BodyDigest(pub [u8; 32]);

impl BodyDigest {
    /// Hashes a call. The parts are separated by zero bytes, so that no two calls hash the same
    /// input.
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        hash.update(method.as_bytes());
        hash.update([0]);
        hash.update(path.as_bytes());
        hash.update([0]);
        hash.update(body);
        Self(hash.finalize().into())
    }

    /// Returns the first eight bytes, which suffice to tell the requests of a few minutes apart.
    pub fn short(&self) -> u64 {
        let (short, _) = self.0.split_first_chunk().unwrap_or((&[0; 8], &[]));
        u64::from_be_bytes(*short)
    }
}

/// A request for generated text. It is idempotent: its seed fixes the answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Identifies it to the caller and to the backup gateway.
    pub id: RequestId,
    /// The account that pays for it.
    pub account: AccountName,
    /// The model to run.
    pub model: ModelName,
    /// The whole prompt; chat messages are already rendered into it.
    pub prompt: String,
    /// Most tokens that may be generated.
    pub max_tokens: u32,
    /// Seed of the sampling, so that a regenerated answer is identical.
    pub seed: u64,
    /// Its place in the engine's queue.
    pub priority: Priority,
    /// Tokens generated before the request moved from another engine.
    pub prefix: Vec<String>,
}

/// One generated token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Its position in the answer, from zero; the event id of a stream.
    pub offset: u32,
    /// Its text.
    pub text: String,
}

/// Why an answer is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended the answer.
    Stop,
    /// `max_tokens` was reached.
    Length,
}
