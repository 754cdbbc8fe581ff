//! Splits a prompt into prefixes, and tracks which of them an engine has cached.

use std::{collections::HashSet, mem};

use sha2::{Digest, Sha256};

use crate::ports::CacheEvents;

/// Bytes per block of a prompt; engines cache whole blocks.
pub const BLOCK_BYTES: usize = 256;

/// Bytes per prompt token in estimates.
pub const BYTES_PER_TOKEN: usize = 4;

/// Bytes of a conversation's opening that determine its home instance.
pub const HOME_BYTES: usize = 12 * BLOCK_BYTES;

/// A prefix of a prompt that ends at a block boundary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Prefix {
    /// The first eight bytes, big-endian, of the SHA-256 of the prefix's bytes.
    pub hash: u64,
    /// Its estimated tokens, at [`BYTES_PER_TOKEN`].
    pub tokens: u32,
}

/// Splits a prompt into its prefixes, shortest first.
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

/// Returns the hash that determines a conversation's home instance, the same at every gateway.
///
/// The opening is the part that stays the same over the conversation's turns and differs between
/// conversations: the prompt up to the end of the caller's first message, or the whole prompt where
/// it has no separate messages. Only its first [`HOME_BYTES`] are hashed, since a prompt without
/// messages grows at its end. A hash of the first block alone would give all conversations of an
/// account with a fixed preamble the same home.
pub fn home(opening: &str) -> u64 {
    let bytes = opening.as_bytes();
    let digest = Sha256::digest(&bytes[..bytes.len().min(HOME_BYTES)]);
    let (head, _) = digest
        .split_first_chunk::<8>()
        .expect("a digest has 32 bytes");
    u64::from_be_bytes(*head)
}

/// Estimates the number of tokens of a prompt.
pub fn count_tokens(prompt: &str) -> u32 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u32
}

/// Most prefixes that are tracked for one engine, at about 16 bytes each.
pub const MAX_PREFIXES: usize = 32 * 1024;

/// The prefixes that one engine has cached according to its events, bounded by [`MAX_PREFIXES`].
///
/// They are kept in two generations. When the newer one is full it replaces the older one, whose
/// prefixes are dropped, so that the oldest events are evicted first without an ordered list.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    newer: HashSet<u64>,
    older: HashSet<u64>,
}

impl PrefixIndex {
    /// Applies cache events. A gap clears the index, since evictions may have been missed.
    pub fn apply(&mut self, events: &CacheEvents) {
        if events.gap {
            self.newer.clear();
            self.older.clear();
        }
        for event in &events.events {
            if event.stored {
                self.store(event.prefix);
            } else {
                self.newer.remove(&event.prefix);
                self.older.remove(&event.prefix);
            }
        }
    }

    /// Returns the tokens of the longest cached prefix.
    pub fn cached_tokens(&self, prefixes: &[Prefix]) -> u32 {
        prefixes
            .iter()
            .rev()
            .find(|prefix| self.holds(prefix.hash))
            .map_or(0, |prefix| prefix.tokens)
    }

    /// Returns the number of tracked prefixes.
    pub fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }

    /// Returns whether no prefix is tracked.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn holds(&self, prefix: u64) -> bool {
        self.newer.contains(&prefix) || self.older.contains(&prefix)
    }

    fn store(&mut self, prefix: u64) {
        if self.newer.len() >= MAX_PREFIXES / 2 && !self.newer.contains(&prefix) {
            self.older = mem::take(&mut self.newer);
        }
        self.older.remove(&prefix);
        self.newer.insert(prefix);
    }
}
