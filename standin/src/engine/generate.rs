//! A single generation: waiting for a batch slot, prefill, and tokens at a fixed interval.

use std::{future::pending, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::{Stream, stream};
use serde::{Deserialize, Serialize};
use serde_json::json;
use sha2::{Digest, Sha256};
use tokio::{
    sync::{Notify, oneshot},
    task::yield_now,
    time::{Instant, sleep_until},
};

use super::{
    cache::{BYTES_PER_TOKEN, Block, blocks},
    slots::Slot,
    state::{ActiveGeneration, Shared},
};
use crate::{Faults, http::ConnectionAborted};

/// The body of `POST /v1/completions`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct CompletionRequest {
    pub(crate) request_id: String,
    pub(crate) model: String,
    pub(crate) prompt: String,
    pub(crate) max_tokens: u32,
    #[serde(default)]
    pub(crate) seed: u64,
    #[serde(default)]
    pub(crate) priority: Priority,
    #[serde(default)]
    pub(crate) prefix: Vec<String>,
    #[serde(default)]
    pub(crate) stream: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Priority {
    #[default]
    Free,
    Paying,
}

/// Derives the seed of an answer's tokens from the prompt and the request's seed.
pub fn answer_seed(prompt: &str, seed: u64) -> u64 {
    let mut hash = Sha256::new();
    hash.update(seed.to_be_bytes());
    hash.update(prompt.as_bytes());
    let digest = hash.finalize();
    let (head, _) = digest.split_first_chunk().expect("a digest has 32 bytes");
    u64::from_be_bytes(*head)
}

/// Returns the token at an offset of an answer. Tokens of different answers differ, so that tests
/// can verify which answer they read.
pub fn answer_token(answer_seed: u64, offset: u32) -> String {
    const ODD_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    let mixed =
        (answer_seed ^ u64::from(offset).wrapping_mul(ODD_MULTIPLIER)).wrapping_mul(ODD_MULTIPLIER);
    format!(" {:08x}", mixed >> 32)
}

/// Starts a generation as a stream of server-sent events. Dropping the stream cancels it.
pub(crate) fn generate(
    shared: Arc<Shared>,
    req: CompletionRequest,
) -> impl Stream<Item = Result<Bytes, ConnectionAborted>> + Send + 'static {
    let generation = Generation::new(shared, req);
    stream::unfold(generation, async |mut generation| {
        let event = generation.next().await?;
        Some((event, generation))
    })
}

enum Phase {
    Queued(oneshot::Receiver<Slot>),
    Running { _slot: Slot, due: Instant },
    Ended,
}

struct Generation {
    shared: Arc<Shared>,
    req: CompletionRequest,
    faults: Faults,
    cancel: Arc<Notify>,
    blocks: Arc<[Block]>,
    answer_seed: u64,
    prompt_and_answer: String,
    phase: Phase,
    offset: u32,
    sent_tokens: u32,
    cached_tokens: u32,
}

enum Step {
    Token,
    Cancelled,
}

impl Generation {
    fn new(shared: Arc<Shared>, req: CompletionRequest) -> Self {
        let answer_seed = answer_seed(&req.prompt, req.seed);
        let text = req.prompt.clone() + &req.prefix.concat();
        let blocks: Arc<[Block]> = blocks(&text).into();
        let cancel = Arc::new(Notify::new());
        let active = ActiveGeneration {
            cancel: Arc::clone(&cancel),
            blocks: Arc::clone(&blocks),
        };
        let phase = Phase::Queued(shared.slots.acquire(req.priority == Priority::Paying));
        let mut state = shared.lock();
        let faults = state.params.faults;
        state.active.insert(req.request_id.clone(), active);
        state.publish_load();
        drop(state);
        Self {
            offset: req.prefix.len() as u32,
            shared,
            req,
            faults,
            cancel,
            blocks,
            answer_seed,
            prompt_and_answer: text,
            phase,
            sent_tokens: 0,
            cached_tokens: 0,
        }
    }

    async fn next(&mut self) -> Option<Result<Bytes, ConnectionAborted>> {
        if matches!(self.phase, Phase::Ended) {
            return None;
        }
        if self.faults.cut_after_tokens == Some(self.sent_tokens) {
            // hyper flushes its buffer only when the body is pending; yield so that the tokens so
            // far are sent before the connection is closed.
            yield_now().await;
            return Some(Err(ConnectionAborted));
        }
        if self.faults.silent_after_tokens == Some(self.sent_tokens) {
            pending::<()>().await;
        }
        if self.skips_next_token() {
            self.offset += 1;
        }
        if let Some(reason) = self.finish_reason() {
            return Some(Ok(self.emit_finish(reason)));
        }
        let cancel = Arc::clone(&self.cancel);
        let step = tokio::select! {
            () = cancel.notified() => Step::Cancelled,
            () = self.wait_for_token() => Step::Token,
        };
        Some(Ok(match step {
            Step::Token => self.emit_token(),
            Step::Cancelled => self.emit_finish("cancelled"),
        }))
    }

    fn skips_next_token(&self) -> bool {
        self.faults.skip_token == Some(self.offset)
    }

    /// Returns the finish reason of a complete answer, but only once the generation has had a slot.
    fn finish_reason(&self) -> Option<&'static str> {
        let Phase::Running { .. } = self.phase else {
            return None;
        };
        let answer_tokens = self.shared.lock().params.answer_tokens;
        if answer_tokens > 0 && self.offset >= answer_tokens {
            return Some("stop");
        }
        (self.offset >= self.req.max_tokens).then_some("length")
    }

    async fn wait_for_token(&mut self) {
        if let Phase::Queued(rx) = &mut self.phase {
            let Ok(slot) = rx.await else {
                return pending().await;
            };
            let due = Instant::now() + self.prefill();
            self.phase = Phase::Running { _slot: slot, due };
        }
        if let Phase::Running { due, .. } = &mut self.phase {
            let interval = self.shared.lock().params.token_interval_us;
            *due += Duration::from_micros(interval);
            if *due > Instant::now() {
                sleep_until(*due).await;
            }
        }
    }

    /// Records the start of the generation, looks up and updates the prefix cache, and returns the
    /// prefill time of the uncached prompt tokens.
    fn prefill(&mut self) -> Duration {
        let prompt_tokens = self.prompt_tokens();
        let foreign_prefix = self
            .req
            .prefix
            .iter()
            .zip(0..)
            .any(|(token, offset)| *token != answer_token(self.answer_seed, offset));
        let mut state = self.shared.lock();
        self.cached_tokens = state.cache.cached_tokens(&self.blocks);
        let uncached = prompt_tokens.saturating_sub(self.cached_tokens);
        let counts = &mut state.counts;
        counts.started += 1;
        counts.foreign_prefixes += u64::from(foreign_prefix);
        counts.prefilled_tokens += u64::from(uncached);
        counts.cached_tokens += u64::from(self.cached_tokens);
        *counts
            .by_request
            .entry(self.req.request_id.clone())
            .or_default() += 1;
        state.store_blocks(&self.blocks);
        state.publish_load();
        Duration::from_micros(state.params.prefill_us_per_token * u64::from(uncached))
    }

    fn prompt_tokens(&self) -> u32 {
        let prompt = self.req.prompt.len().div_ceil(BYTES_PER_TOKEN);
        (prompt + self.req.prefix.len()) as u32
    }

    fn emit_token(&mut self) -> Bytes {
        let offset = self.offset;
        let text = answer_token(self.answer_seed, offset);
        self.offset += 1;
        self.sent_tokens += 1;
        self.shared.lock().counts.tokens += 1;
        let event = json!({
            "request_id": self.reported_request_id(),
            "offset": offset,
            "text": text,
        });
        self.prompt_and_answer.push_str(&text);
        format!("id: {offset}\ndata: {event}\n\n").into()
    }

    fn emit_finish(&mut self, reason: &str) -> Bytes {
        self.phase = Phase::Ended;
        let mut state = self.shared.lock();
        if reason == "cancelled" {
            state.counts.cancelled += 1;
        } else {
            state.counts.executed += 1;
            state.store_blocks(&blocks(&self.prompt_and_answer));
        }
        state.active.remove(&self.req.request_id);
        state.publish_load();
        drop(state);
        let event = json!({
            "request_id": self.reported_request_id(),
            "finish_reason": reason,
            "usage": {
                "prompt_tokens": self.prompt_tokens(),
                "cached_tokens": self.cached_tokens,
            },
        });
        format!("data: {event}\n\ndata: [DONE]\n\n").into()
    }

    fn reported_request_id(&self) -> &str {
        if self.faults.wrong_request_id {
            return "00000000-0000-0000-0000-000000000000";
        }
        &self.req.request_id
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        if matches!(self.phase, Phase::Ended) {
            return;
        }
        // Release the slot first, so that the published load excludes it.
        self.phase = Phase::Ended;
        let mut state = self.shared.lock();
        state.counts.cancelled += 1;
        state.active.remove(&self.req.request_id);
        state.publish_load();
    }
}
