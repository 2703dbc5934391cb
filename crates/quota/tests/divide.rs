//! How a whole is divided by need.

use quota::Amount;
use quota::divide::divide;

#[test]
fn parts_meet_needs_and_never_exceed_the_whole() {
    for (whole, needs, parts) in [
        (100, vec![], vec![]),
        (100, vec![0], vec![100]),
        (100, vec![0, 0], vec![50, 50]),
        (100, vec![10, 20], vec![45, 55]),
        (100, vec![500, 20], vec![80, 20]),
        // A lie of a thousand times the need gains what an honest need above the even part does.
        (90, vec![1_000_000, 40, 40], vec![30, 30, 30]),
        (90, vec![1_000_000, 10, 50], vec![40, 10, 40]),
        (7, vec![9, 9, 9], vec![2, 2, 3]),
        (0, vec![5, 5], vec![0, 0]),
    ] {
        let needs: Vec<Amount> = needs.into_iter().map(Amount).collect();
        let got = divide(Amount(whole), &needs);
        assert!(got.iter().map(|part| part.0).sum::<u64>() <= whole);
        let parts: Vec<Amount> = parts.into_iter().map(Amount).collect();
        assert_eq!(got, parts, "{whole} over {needs:?}");
    }
}
