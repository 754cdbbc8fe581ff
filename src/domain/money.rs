//! Money in integer millionths, so that sums of many small amounts stay exact.

use std::{fmt, iter::Sum, ops::Add};

use serde::{Deserialize, Serialize};

const MICROS_PER_UNIT: i64 = 1_000_000;

/// An amount of money, in millionths of the operator's currency unit.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Money(pub i64);

impl Money {
    /// Returns the amount times a count.
    pub fn times(self, count: u32) -> Self {
        Self(self.0 * i64::from(count))
    }
}

impl Add for Money {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0 + other.0)
    }
}

impl Sum for Money {
    fn sum<I: Iterator<Item = Self>>(amounts: I) -> Self {
        amounts.fold(Self::default(), Add::add)
    }
}

impl fmt::Display for Money {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = if self.0 < 0 { "-" } else { "" };
        let micros = self.0.unsigned_abs();
        let unit = MICROS_PER_UNIT.unsigned_abs();
        write!(f, "{sign}{}.{:04}", micros / unit, micros % unit / 100)
    }
}
