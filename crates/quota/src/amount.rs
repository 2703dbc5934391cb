//! Fixed-point quantities, so that the parts of a budget sum to exactly what they were cut from.

use std::fmt;
use std::iter::Sum;
use std::ops::{Add, AddAssign};

use serde::{Deserialize, Serialize};

/// Millionths of a unit in one unit of a budget.
const MILLIONTHS_PER_UNIT: f64 = 1e6;

/// A rate of spending: millionths of a budget's unit, a second. Arithmetic saturates.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Amount(pub u64);

impl Amount {
    /// Nothing.
    pub const ZERO: Amount = Amount(0);
    /// The largest amount of a budget: sums over all gateways stay far from overflow.
    pub const MAX: Amount = Amount(1 << 50);

    /// Units a second, rounded down and cut to [`Amount::MAX`]. Negative values and NaN count as zero.
    #[must_use]
    pub fn from_units(units: f64) -> Self {
        let millionths = units * MILLIONTHS_PER_UNIT;
        if millionths > 0.0 {
            Amount((millionths as u64).min(Self::MAX.0))
        } else {
            Amount::ZERO
        }
    }

    /// Units a second.
    #[must_use]
    pub fn units(self) -> f64 {
        self.0 as f64 / MILLIONTHS_PER_UNIT
    }

    /// The difference, or nothing where `other` is larger.
    #[must_use]
    pub fn saturating_sub(self, other: Amount) -> Amount {
        Amount(self.0.saturating_sub(other.0))
    }

    /// This amount for each of `count` gateways.
    #[must_use]
    pub fn saturating_mul(self, count: usize) -> Amount {
        Amount(self.0.saturating_mul(count as u64))
    }
}

impl Add for Amount {
    type Output = Amount;
    fn add(self, other: Amount) -> Amount {
        Amount(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Amount {
    fn add_assign(&mut self, other: Amount) {
        *self = *self + other;
    }
}

impl Sum for Amount {
    fn sum<I: Iterator<Item = Amount>>(amounts: I) -> Amount {
        amounts.fold(Amount::ZERO, Add::add)
    }
}

impl fmt::Display for Amount {
    /// In units a second.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.units())
    }
}
