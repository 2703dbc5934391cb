//! The max-min fair division of a capacity by demand.

use crate::amount::Amount;

/// The share of each demand, in the order of `demands`. The shares sum to at most `capacity`.
///
/// A demand below an equal share is met in full, and the rest of that share goes to the others. An
/// overstated demand therefore gains no more than an equal share of a scarce capacity. Capacity
/// that nobody demands is spread evenly, so that a rising demand can be met before it is reported.
#[must_use]
pub fn max_min_fair(capacity: Amount, demands: &[Amount]) -> Vec<Amount> {
    let count = demands.len();
    let mut shares = vec![Amount::ZERO; count];
    if demands.is_empty() {
        return shares;
    }
    let mut smallest_first: Vec<usize> = (0..count).collect();
    smallest_first.sort_by_key(|index| (demands[*index], *index));
    let mut remaining = capacity;
    for (allocated_count, index) in smallest_first.into_iter().enumerate() {
        let equal_share = Amount(remaining.0 / (count - allocated_count) as u64);
        shares[index] = demands[index].min(equal_share);
        remaining = remaining.saturating_sub(shares[index]);
    }
    let spare_share = Amount(remaining.0 / count as u64);
    for share in &mut shares {
        *share += spare_share;
    }
    debug_assert!(shares.iter().copied().sum::<Amount>() <= capacity);
    shares
}
