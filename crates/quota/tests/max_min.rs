//! The max-min fair division of a capacity by demand.

use quota::Amount;
use quota::max_min::max_min_fair;

#[test]
fn max_min_shares_meet_demands_within_the_capacity() {
    for (capacity, demands, shares) in [
        (100, vec![], vec![]),
        (100, vec![0], vec![100]),
        (100, vec![0, 0], vec![50, 50]),
        (100, vec![10, 20], vec![45, 55]),
        (100, vec![500, 20], vec![80, 20]),
        // A hugely overstated demand gains no more than any other demand above the equal share.
        (90, vec![1_000_000, 40, 40], vec![30, 30, 30]),
        (90, vec![1_000_000, 10, 50], vec![40, 10, 40]),
        (7, vec![9, 9, 9], vec![2, 2, 3]),
        (0, vec![5, 5], vec![0, 0]),
    ] {
        let demands: Vec<Amount> = demands.into_iter().map(Amount).collect();
        let divided = max_min_fair(Amount(capacity), &demands);
        assert!(divided.iter().map(|share| share.0).sum::<u64>() <= capacity);
        let shares: Vec<Amount> = shares.into_iter().map(Amount).collect();
        assert_eq!(divided, shares, "capacity {capacity}, demands {demands:?}");
    }
}
