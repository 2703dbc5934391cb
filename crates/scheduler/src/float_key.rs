//! Non-negative floats as keys of ordered collections.

/// A non-negative float, ordered by value. A negative value is replaced by zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FloatKey(u64);

impl FloatKey {
    pub(crate) fn new(value: f64) -> Self {
        // The bit patterns of non-negative floats have the same order as their values.
        FloatKey(value.max(0.0).to_bits())
    }

    pub(crate) fn value(self) -> f64 {
        f64::from_bits(self.0)
    }
}
