//! Identifiers and counters. Counters never decrease; identifiers are random or time-ordered.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use uuid::Uuid;

macro_rules! counter {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

macro_rules! identifier {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub Uuid);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = uuid::Error;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

counter!(
    /// Identifies one run of a process and grows with each start; messages of an older incarnation
    /// are dropped.
    Incarnation
);
counter!(
    /// Version of the confirmed configuration; a confirmation is a compare-and-set on it.
    Revision
);
counter!(
    /// Fencing token carried by orders to engines; it is allocated by the replicated log and never
    /// repeats.
    FencingToken
);
counter!(
    /// Identifies a controller's data folder; an emptied folder gets a new one.
    MemberId
);
identifier!(
    /// Identifies an accepted request; callers use it to query the request later.
    RequestId
);
identifier!(
    /// Identifies an operator's command, so that a resent command gets the first answer
    /// (deduplication).
    OperationId
);

impl RequestId {
    /// Makes a new time-ordered identifier.
    pub fn generate() -> Self {
        Self(Uuid::now_v7())
    }
}

/// The caller's `Idempotency-Key`: a version 7 UUID, which contains its time of creation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct IdempotencyKey(Uuid);

/// Error of a key that is not a version 7 UUID.
#[derive(Debug, thiserror::Error)]
#[error("the Idempotency-Key is not a version 7 UUID; make one with a UUIDv7 function")]
pub struct InvalidIdempotencyKey;

impl IdempotencyKey {
    /// Returns when the caller made the key, in milliseconds since the Unix epoch.
    pub fn created_unix_ms(self) -> u64 {
        let (high, _) = self.0.as_u64_pair();
        high >> 16
    }

    /// Returns the 16 bytes of the key.
    pub fn as_bytes(&self) -> &[u8; 16] {
        self.0.as_bytes()
    }

    /// Reads a key from its 16 bytes.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, InvalidIdempotencyKey> {
        let id = Uuid::from_slice(bytes).map_err(|_| InvalidIdempotencyKey)?;
        Self::checked(id)
    }

    fn checked(id: Uuid) -> Result<Self, InvalidIdempotencyKey> {
        match id.get_version_num() {
            7 => Ok(Self(id)),
            _ => Err(InvalidIdempotencyKey),
        }
    }
}

impl FromStr for IdempotencyKey {
    type Err = InvalidIdempotencyKey;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let id = text.parse().map_err(|_| InvalidIdempotencyKey)?;
        Self::checked(id)
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
