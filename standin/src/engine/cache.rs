//! The prefix cache: whole blocks of a prompt, the least recently used one evicted first, and the
//! events that tell of them.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Bytes of one block.
pub const BLOCK_BYTES: usize = 256;

/// Bytes that count as one prompt token.
pub const BYTES_PER_TOKEN: usize = 4;

const BLOCK_TOKENS: u64 = (BLOCK_BYTES / BYTES_PER_TOKEN) as u64;

/// A block was stored or evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// First eight bytes, big-endian, of the SHA-256 of the prompt up to the block's end.
    pub prefix: u64,
    /// Tokens up to the block's end.
    pub tokens: u32,
    /// Whether it was stored; otherwise it was evicted.
    pub stored: bool,
}

/// Published events.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CacheEvents {
    pub(crate) events: Vec<CacheEvent>,
    pub(crate) next: u64,
    pub(crate) gap: bool,
}

/// One prefix that ends with a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Block {
    pub(crate) prefix: u64,
    pub(crate) tokens: u32,
}

/// Cuts a text into its whole blocks, shortest prefix first.
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
    used: HashMap<u64, (u64, u32)>,
    order: BTreeMap<u64, u64>,
    clock: u64,
    events: VecDeque<(u64, Instant, CacheEvent)>,
    last_event: u64,
}

impl PrefixCache {
    pub(crate) fn new() -> Self {
        Self {
            used: HashMap::new(),
            order: BTreeMap::new(),
            clock: 0,
            events: VecDeque::new(),
            last_event: 0,
        }
    }

    /// Returns the tokens of the longest prefix that is held.
    pub(crate) fn cached_tokens(&self, blocks: &[Block]) -> u32 {
        blocks
            .iter()
            .take_while(|block| self.used.contains_key(&block.prefix))
            .last()
            .map_or(0, |block| block.tokens)
    }

    /// Stores blocks, or marks them as just used, and evicts what no longer fits.
    pub(crate) fn store(&mut self, blocks: &[Block], capacity_tokens: u64, log: usize) {
        // The last blocks are touched first, so that a prefix outlives what continues it.
        for block in blocks.iter().rev() {
            self.touch(*block, log);
        }
        while self.used.len() as u64 * BLOCK_TOKENS > capacity_tokens {
            self.evict(log);
        }
    }

    fn touch(&mut self, block: Block, log: usize) {
        self.clock += 1;
        let used = self.used.insert(block.prefix, (self.clock, block.tokens));
        self.order.insert(self.clock, block.prefix);
        match used {
            Some((before, _)) => {
                self.order.remove(&before);
            }
            None => self.record(block, true, log),
        }
    }

    fn evict(&mut self, log: usize) {
        let Some((_, prefix)) = self.order.pop_first() else {
            return;
        };
        let Some((_, tokens)) = self.used.remove(&prefix) else {
            return;
        };
        self.record(Block { prefix, tokens }, false, log);
    }

    fn record(&mut self, block: Block, stored: bool, log: usize) {
        self.last_event += 1;
        let event = CacheEvent {
            prefix: block.prefix,
            tokens: block.tokens,
            stored,
        };
        self.events
            .push_back((self.last_event, Instant::now(), event));
        while self.events.len() > log {
            self.events.pop_front();
        }
    }

    /// Returns the events after a number that are old enough to be published.
    pub(crate) fn events_after(&self, after: u64, lag: Duration, lose_every: u64) -> CacheEvents {
        let now = Instant::now();
        let mut reply = CacheEvents {
            next: after.min(self.last_event),
            // A number from the future is one of an engine that has restarted since.
            gap: after > self.last_event,
            ..CacheEvents::default()
        };
        let from = reply.next;
        let due = self
            .events
            .iter()
            .filter(|(number, at, _)| *number > from && *at + lag <= now);
        for (number, _, event) in due {
            let lost = lose_every > 0 && number.is_multiple_of(lose_every);
            reply.gap |= lost || *number != reply.next + 1;
            reply.next = *number;
            if !lost {
                reply.events.push(*event);
            }
        }
        reply
    }
}
