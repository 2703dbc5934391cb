//! Max-min fair division of a capacity by demand.

use crate::amount::Amount;

/// The part of each demand, in the order of `demands`; the parts sum to at most `capacity`.
///
/// A demand below an even part is met in full, and what it leaves goes to the others: whoever overstates its demand gains
/// no more than an even part of what is short. What nobody demands is spread evenly, so that a demand that rises can be
/// met before it is reported.
#[must_use]
pub fn max_min_fair(capacity: Amount, demands: &[Amount]) -> Vec<Amount> {
    let count = demands.len();
    let mut parts = vec![Amount::ZERO; count];
    if demands.is_empty() {
        return parts;
    }
    let mut smallest_first: Vec<usize> = (0..count).collect();
    smallest_first.sort_by_key(|index| (demands[*index], *index));
    let mut remaining = capacity;
    for (served, index) in smallest_first.into_iter().enumerate() {
        let even_part = Amount(remaining.0 / (count - served) as u64);
        parts[index] = demands[index].min(even_part);
        remaining = remaining.saturating_sub(parts[index]);
    }
    let spare_part = Amount(remaining.0 / count as u64);
    for part in &mut parts {
        *part += spare_part;
    }
    debug_assert!(parts.iter().copied().sum::<Amount>() <= capacity);
    parts
}
