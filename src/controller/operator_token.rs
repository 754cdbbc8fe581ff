//! The operators' bearer token; the controller knows only its hash.

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

const BEARER_PREFIX: &str = "Bearer ";

/// SHA-256 hash of the token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenHash([u8; 32]);

impl TokenHash {
    /// Parses a hash of 64 hexadecimal digits; returns `None` for any other text.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.trim().as_bytes();
        if digits.len() != 64 {
            return None;
        }
        let mut hash = [0; 32];
        for (byte, pair) in hash.iter_mut().zip(digits.chunks_exact(2)) {
            let pair = std::str::from_utf8(pair).ok()?;
            *byte = u8::from_str_radix(pair, 16).ok()?;
        }
        Some(Self(hash))
    }

    /// Returns whether an `Authorization` header carries the token. The hashes are compared in
    /// constant time.
    pub fn matches_header(&self, header: &str) -> bool {
        let Some(token) = header.strip_prefix(BEARER_PREFIX) else {
            return false;
        };
        let hash: [u8; 32] = Sha256::digest(token.trim().as_bytes()).into();
        hash.ct_eq(&self.0).into()
    }
}
