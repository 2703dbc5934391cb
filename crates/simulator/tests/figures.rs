//! Tests of the fair shares that the figures use, against values computed by hand.

use simulator::figures::max_min_shares;

#[test]
fn max_min_shares_cover_guarantees_and_divide_the_rest_by_weight() {
    for (capacity, asked, expected) in [
        (10.0, [2.0, 2.0, 2.0], [2.0, 2.0, 2.0]),
        (10.0, [20.0, 2.0, 2.0], [6.0, 2.0, 2.0]),
        (10.0, [20.0, 20.0, 0.0], [5.0, 5.0, 0.0]),
        (4.5, [20.0, 20.0, 20.0], [1.5, 1.5, 1.5]),
        (12.0, [20.0, 20.0, 3.5], [4.25, 4.25, 3.5]),
    ] {
        let actual = max_min_shares(capacity, &asked, &[3.0, 3.0, 3.0], &[1.0, 1.0, 1.0]);
        let is_close = actual
            .iter()
            .zip(expected)
            .all(|(actual, expected)| (actual - expected).abs() < 1e-6);
        assert!(is_close, "{capacity} {asked:?}: {actual:?}");
    }
}
