//! How a prompt is cut into prefixes, and which of them an engine holds in its cache.

use std::collections::HashMap;

use sha2::{Digest, Sha256};

use crate::ports::CacheEvents;

/// Bytes of one block of a prompt; engines cache whole blocks.
pub const BLOCK_BYTES: usize = 256;

/// Bytes that count as one prompt token in estimates.
pub const BYTES_PER_TOKEN: usize = 4;

/// A prefix of a prompt: all of its blocks up to one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Prefix {
    /// The first eight bytes, big-endian, of the SHA-256 of the prefix's bytes.
    pub hash: u64,
    /// Tokens in it, by [`BYTES_PER_TOKEN`].
    pub tokens: u32,
}

/// Cuts a prompt into its prefixes, shortest first.
pub fn prefixes(prompt: &str) -> Vec<Prefix> {
    let mut hash = Sha256::new();
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .enumerate()
        .map(|(i, block)| {
            hash.update(block);
            let digest = hash.clone().finalize();
            let (head, _) = digest
                .split_first_chunk::<8>()
                .expect("a digest has 32 bytes");
            Prefix {
                hash: u64::from_be_bytes(*head),
                tokens: ((i + 1) * BLOCK_BYTES / BYTES_PER_TOKEN) as u32,
            }
        })
        .collect()
}

/// Estimates the tokens of a prompt.
pub fn count_tokens(prompt: &str) -> u32 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u32
}

/// The prefixes that one engine is believed to hold.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    held: HashMap<u64, u32>,
}

impl PrefixIndex {
    /// Applies events. A gap forgets everything, since evictions may have been missed.
    pub fn apply(&mut self, events: &CacheEvents) {
        if events.gap {
            self.held.clear();
        }
        for event in &events.events {
            if event.stored {
                self.held.insert(event.prefix, event.tokens);
            } else {
                self.held.remove(&event.prefix);
            }
        }
    }

    /// Returns the tokens of the longest held prefix.
    pub fn cached_tokens(&self, prefixes: &[Prefix]) -> u32 {
        prefixes
            .iter()
            .rev()
            .find(|prefix| self.held.contains_key(&prefix.hash))
            .map_or(0, |prefix| prefix.tokens)
    }
}
