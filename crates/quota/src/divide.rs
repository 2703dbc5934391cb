//! How a whole is divided: weighted max-min by need. Whoever needs less than its part has what it needs, and the rest goes
//! to the others; so a gateway that overstates its need gains no more than an even part of what is short.

use crate::amount::Amount;

/// The part of each. What nobody needs is spread evenly: a need that rises is met from it before it is told.
pub fn divide(whole: Amount, needs: &[Amount]) -> Vec<Amount> {
    let mut parts = vec![Amount::ZERO; needs.len()];
    if needs.is_empty() {
        return parts;
    }
    let mut order: Vec<usize> = (0..needs.len()).collect();
    order.sort_by_key(|at| (needs[*at], *at));
    let mut left = whole;
    for (done, at) in order.iter().enumerate() {
        let even = Amount(left.0 / (needs.len() - done) as u64);
        parts[*at] = needs[*at].min(even);
        left = left.less(parts[*at]);
    }
    let spread = Amount(left.0 / needs.len() as u64);
    parts.iter_mut().for_each(|part| *part += spread);
    parts
}
