//! What a budget counts in: whole numbers, so that parts sum to exactly what they were cut from.

use std::fmt;
use std::iter::Sum;
use std::ops::{Add, AddAssign, Sub};

use serde::{Deserialize, Serialize};

/// Millionths of a budget's unit a second.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Amount(pub u64);

impl Amount {
    pub const ZERO: Amount = Amount(0);
    /// No budget is larger, so that sums over all gateways stay far from overflow.
    pub const MOST: Amount = Amount(1 << 50);

    /// Rounded down; what is not finite or negative is nothing.
    pub fn of(units: f64) -> Self {
        let millionths = units * 1e6;
        Amount(if millionths > 0.0 {
            (millionths as u64).min(Self::MOST.0)
        } else {
            0
        })
    }

    pub fn units(self) -> f64 {
        self.0 as f64 / 1e6
    }

    #[must_use]
    pub fn less(self, other: Amount) -> Amount {
        Amount(self.0.saturating_sub(other.0))
    }

    #[must_use]
    pub fn times(self, count: usize) -> Amount {
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

impl Sub for Amount {
    type Output = Amount;
    fn sub(self, other: Amount) -> Amount {
        self.less(other)
    }
}

impl Sum for Amount {
    fn sum<I: Iterator<Item = Amount>>(all: I) -> Amount {
        all.fold(Amount::ZERO, Add::add)
    }
}

impl fmt::Display for Amount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.units())
    }
}
