//! How a prompt is cut into prefixes, and which of them an engine holds in its cache.

use std::{collections::HashSet, mem};

use sha2::{Digest, Sha256};

use crate::ports::CacheEvents;

/// Bytes of one block of a prompt; engines cache whole blocks.
pub const BLOCK_BYTES: usize = 256;

/// Bytes that count as one prompt token in estimates.
pub const BYTES_PER_TOKEN: usize = 4;

/// Bytes of a conversation's opening that decide its home.
pub const HOME_BYTES: usize = 12 * BLOCK_BYTES;

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

/// Returns the hash that every gateway finds a conversation's home by.
///
/// The opening is what stays the same over its turns and differs between conversations: the prompt up
/// to the end of the caller's first message, or the prompt itself where messages are not told apart.
/// Only its first [`HOME_BYTES`] count, since a prompt without messages grows at its end. A hash of
/// the first block alone would give all conversations of an account with a fixed preamble one home.
pub fn home(opening: &str) -> u64 {
    let bytes = opening.as_bytes();
    let digest = Sha256::digest(&bytes[..bytes.len().min(HOME_BYTES)]);
    let (head, _) = digest
        .split_first_chunk::<8>()
        .expect("a digest has 32 bytes");
    u64::from_be_bytes(*head)
}

/// Estimates the tokens of a prompt.
pub fn count_tokens(prompt: &str) -> u32 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u32
}

/// Most prefixes of one engine that are remembered, at about 16 bytes each.
pub const MAX_PREFIXES: usize = 32 * 1024;

/// The prefixes that one engine is believed to hold, bounded by [`MAX_PREFIXES`].
///
/// They are kept in two halves. When the newer half is full it becomes the older one and the former
/// older half is forgotten, so that the oldest events go first without a list to keep in order.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    newer: HashSet<u64>,
    older: HashSet<u64>,
}

impl PrefixIndex {
    /// Applies events. A gap forgets everything, since evictions may have been missed.
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

    /// Returns the tokens of the longest held prefix.
    pub fn cached_tokens(&self, prefixes: &[Prefix]) -> u32 {
        prefixes
            .iter()
            .rev()
            .find(|prefix| self.holds(prefix.hash))
            .map_or(0, |prefix| prefix.tokens)
    }

    /// Returns how many prefixes are remembered.
    pub fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }

    /// Returns whether no prefix is remembered.
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
