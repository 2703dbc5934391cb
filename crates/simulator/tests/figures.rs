//! The lab's own figures, against sums done by hand.

use simulator::figures::fair;

#[test]
fn fair_shares_fill_up_what_is_owed_and_lend_the_rest_by_weight() {
    for (capacity, asked, want) in [
        (10.0, [2.0, 2.0, 2.0], [2.0, 2.0, 2.0]),
        (10.0, [20.0, 2.0, 2.0], [6.0, 2.0, 2.0]),
        (10.0, [20.0, 20.0, 0.0], [5.0, 5.0, 0.0]),
        (4.5, [20.0, 20.0, 20.0], [1.5, 1.5, 1.5]),
        (12.0, [20.0, 20.0, 3.5], [4.25, 4.25, 3.5]),
    ] {
        let got = fair(capacity, &asked, &[3.0, 3.0, 3.0], &[1.0, 1.0, 1.0]);
        let same = got
            .iter()
            .zip(want)
            .all(|(got, want)| (got - want).abs() < 1e-6);
        assert!(same, "{capacity} {asked:?}: {got:?}");
    }
}
