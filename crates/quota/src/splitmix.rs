//! The finalizer of SplitMix64 (Steele, Lea and Flood, *Fast Splittable Pseudorandom Number
//! Generators*, OOPSLA 2014). It provides jitter that depends only on its arguments and needs no
//! stored state.

/// The odd constant of SplitMix64 by which the counter is multiplied, so that consecutive counters
/// differ in many bits.
const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// A pseudorandom number from 0 to 1, both included, uniformly distributed over the counters of one
/// seed.
#[must_use]
pub(crate) fn splitmix64_unit(seed: u64, counter: u64) -> f64 {
    let mut mixed = seed ^ counter.wrapping_mul(GOLDEN_GAMMA);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (mixed ^ (mixed >> 31)) as f64 / u64::MAX as f64
}
