//! An LRU prefix cache of whole prompt blocks, and the log of its store and evict events.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Size of a cached block, in bytes.
pub const BLOCK_BYTES: usize = 256;

/// Bytes of text that are counted as one prompt token.
pub const BYTES_PER_TOKEN: usize = 4;

const BLOCK_TOKENS: u64 = (BLOCK_BYTES / BYTES_PER_TOKEN) as u64;

/// Reports that a block was stored or evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// First eight bytes, big-endian, of the SHA-256 of the prompt up to the block's end.
    pub prefix: u64,
    /// Tokens up to the block's end.
    pub tokens: u32,
    /// `true` if the block was stored, `false` if it was evicted.
    pub stored: bool,
}

/// The response to a poll for cache events.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CacheEvents {
    pub(crate) events: Vec<CacheEvent>,
    pub(crate) next: u64,
    pub(crate) gap: bool,
}

/// A prefix of a prompt that ends at a block boundary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Block {
    pub(crate) prefix: u64,
    pub(crate) tokens: u32,
}

/// Splits a text into whole blocks, ordered from the shortest prefix to the longest.
pub(crate) fn blocks(text: &str) -> Vec<Block> {
    let mut hash = Sha256::new();
    let mut tokens = 0;
    text.as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            hash.update(block);
            tokens += BLOCK_TOKENS as u32;
            let digest = hash.clone().finalize();
            let (head, _) = digest.split_first_chunk().expect("a digest has 32 bytes");
            Block {
                prefix: u64::from_be_bytes(*head),
                tokens,
            }
        })
        .collect()
}

#[derive(Debug)]
pub(crate) struct PrefixCache {
    /// Last use and tokens of each block, by its prefix hash.
    entries: HashMap<u64, (u64, u32)>,
    /// Prefix hashes, ordered by last use.
    by_last_use: BTreeMap<u64, u64>,
    use_count: u64,
    events: VecDeque<(u64, Instant, CacheEvent)>,
    last_event_number: u64,
}

impl PrefixCache {
    pub(crate) fn new() -> Self {
        Self {
            entries: HashMap::new(),
            by_last_use: BTreeMap::new(),
            use_count: 0,
            events: VecDeque::new(),
            last_event_number: 0,
        }
    }

    /// Returns the number of tokens of the longest cached prefix.
    pub(crate) fn cached_tokens(&self, blocks: &[Block]) -> u32 {
        blocks
            .iter()
            .take_while(|block| self.entries.contains_key(&block.prefix))
            .last()
            .map_or(0, |block| block.tokens)
    }

    /// Inserts blocks or refreshes their last use, then evicts down to `capacity_tokens`.
    pub(crate) fn store(&mut self, blocks: &[Block], capacity_tokens: u64, event_log: usize) {
        // Touched in reverse, so that a prefix is evicted after its longer continuations.
        for block in blocks.iter().rev() {
            self.touch(*block, event_log);
        }
        while self.entries.len() as u64 * BLOCK_TOKENS > capacity_tokens {
            self.evict(event_log);
        }
    }

    fn touch(&mut self, block: Block, event_log: usize) {
        self.use_count += 1;
        let previous = self
            .entries
            .insert(block.prefix, (self.use_count, block.tokens));
        self.by_last_use.insert(self.use_count, block.prefix);
        match previous {
            Some((last_use, _)) => {
                self.by_last_use.remove(&last_use);
            }
            None => self.record_event(block, true, event_log),
        }
    }

    fn evict(&mut self, event_log: usize) {
        let Some((_, prefix)) = self.by_last_use.pop_first() else {
            return;
        };
        let Some((_, tokens)) = self.entries.remove(&prefix) else {
            return;
        };
        self.record_event(Block { prefix, tokens }, false, event_log);
    }

    fn record_event(&mut self, block: Block, stored: bool, event_log: usize) {
        self.last_event_number += 1;
        let event = CacheEvent {
            prefix: block.prefix,
            tokens: block.tokens,
            stored,
        };
        self.events
            .push_back((self.last_event_number, Instant::now(), event));
        while self.events.len() > event_log {
            self.events.pop_front();
        }
    }

    /// Returns the events numbered above `after` that are at least `lag` old. Events whose number
    /// is a multiple of `lose_event_every` are dropped and reported as a gap.
    pub(crate) fn events_after(
        &self,
        after: u64,
        lag: Duration,
        lose_event_every: u64,
    ) -> CacheEvents {
        let now = Instant::now();
        let mut reply = CacheEvents {
            next: after.min(self.last_event_number),
            // A number beyond the last event comes from before this engine restarted.
            gap: after > self.last_event_number,
            ..CacheEvents::default()
        };
        let from = reply.next;
        let due = self
            .events
            .iter()
            .filter(|(number, at, _)| *number > from && *at + lag <= now);
        for (number, _, event) in due {
            let lost = lose_event_every > 0 && number.is_multiple_of(lose_event_every);
            reply.gap |= lost || *number != reply.next + 1;
            reply.next = *number;
            if !lost {
                reply.events.push(*event);
            }
        }
        reply
    }
}
