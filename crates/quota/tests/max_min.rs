//! How a capacity is divided by demand.

use quota::Amount;
use quota::max_min::max_min_fair;

#[test]
fn parts_meet_demands_and_never_exceed_the_capacity() {
    for (capacity, demands, parts) in [
        (100, vec![], vec![]),
        (100, vec![0], vec![100]),
        (100, vec![0, 0], vec![50, 50]),
        (100, vec![10, 20], vec![45, 55]),
        (100, vec![500, 20], vec![80, 20]),
        // A demand overstated a thousandfold gains what an honest one above the even part does.
        (90, vec![1_000_000, 40, 40], vec![30, 30, 30]),
        (90, vec![1_000_000, 10, 50], vec![40, 10, 40]),
        (7, vec![9, 9, 9], vec![2, 2, 3]),
        (0, vec![5, 5], vec![0, 0]),
    ] {
        let demands: Vec<Amount> = demands.into_iter().map(Amount).collect();
        let divided = max_min_fair(Amount(capacity), &demands);
        assert!(divided.iter().map(|part| part.0).sum::<u64>() <= capacity);
        let parts: Vec<Amount> = parts.into_iter().map(Amount).collect();
        assert_eq!(divided, parts, "{capacity} over {demands:?}");
    }
}
