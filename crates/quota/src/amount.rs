//! Fixed-point amounts, so that the shares of a budget sum exactly to the amount that was divided.

use std::fmt;
use std::iter::Sum;
use std::ops::{Add, AddAssign};

use serde::{Deserialize, Serialize};

/// The number of millionths in one unit of a budget.
const MILLIONTHS_PER_UNIT: f64 = 1e6;

/// A spending rate in millionths of a budget's unit per second. Arithmetic saturates instead of
/// overflowing.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Amount(pub u64);

impl Amount {
    /// The zero amount.
    pub const ZERO: Amount = Amount(0);
    /// The largest amount of one budget. Sums of it over all gateways stay far from overflow.
    pub const MAX: Amount = Amount(1 << 50);

    /// Converts units per second to an amount, rounded down and limited to [`Amount::MAX`].
    /// Negative values and NaN become zero.
    #[must_use]
    pub fn from_units(units: f64) -> Self {
        let millionths = units * MILLIONTHS_PER_UNIT;
        if millionths > 0.0 {
            Amount((millionths as u64).min(Self::MAX.0))
        } else {
            Amount::ZERO
        }
    }

    /// The amount in units per second.
    #[must_use]
    pub fn units(self) -> f64 {
        self.0 as f64 / MILLIONTHS_PER_UNIT
    }

    /// The difference of the two amounts, or zero if `other` is larger.
    #[must_use]
    pub fn saturating_sub(self, other: Amount) -> Amount {
        Amount(self.0.saturating_sub(other.0))
    }

    /// This amount multiplied by `count`.
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
    /// Formats the amount in units per second.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.units())
    }
}
