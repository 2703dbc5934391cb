//! Non-negative floats as keys of ordered collections.

/// A float of at least zero, ordered by its value. A negative one counts as zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FloatKey(u64);

impl FloatKey {
    pub(crate) fn new(value: f64) -> Self {
        // The bits of non-negative floats sort as their values do.
        FloatKey(value.max(0.0).to_bits())
    }

    pub(crate) fn value(self) -> f64 {
        f64::from_bits(self.0)
    }
}
