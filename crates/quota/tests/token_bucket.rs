//! Token buckets that share one budget while parts of its rate move between them.

use quickcheck::{Gen, QuickCheck};
use quota::TokenBucket;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const CAPACITY_PER_S: f64 = 10.0;
const BURST_S: f64 = 2.0;
const STEP_S: f64 = 0.1;

/// Moves a random part of the rate from one of four buckets to another at every step and spends
/// random amounts. Returns whether the spending in every window stayed within the total rate plus
/// the burst.
fn spending_stays_within_burst_while_rates_move(seed: u64) -> bool {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut rates = [CAPACITY_PER_S / 4.0; 4];
    let mut buckets = rates.map(|rate| TokenBucket::empty(0.0, rate, BURST_S));
    let mut spent = Vec::new();
    for step in 1..400 {
        let now = f64::from(step) * STEP_S;
        // The rate is taken from one bucket before it is added to another.
        let (from, to) = (rng.random_range(0..4usize), rng.random_range(0..4usize));
        let moved = rates[from] * rng.random::<f64>();
        for bucket in &mut buckets {
            bucket.refill(now);
        }
        rates[from] -= moved;
        buckets[from].set_rate(rates[from]);
        rates[to] += moved;
        buckets[to].set_rate(rates[to]);
        spent.push(spend_random_amounts(&mut buckets, &mut rng));
    }
    let within_burst = [1usize, 5, 20, 100].into_iter().all(|steps| {
        let max_spent = CAPACITY_PER_S * (steps as f64 * STEP_S + BURST_S) + 1e-6;
        spent
            .windows(steps)
            .all(|window| window.iter().sum::<f64>() <= max_spent)
    });
    let within_capacity = buckets
        .iter()
        .all(|bucket| bucket.level() <= bucket.capacity() + 1e-9);
    within_burst && within_capacity
}

/// Spends random amounts, but only from saved tokens, since the debt for an amount larger than the
/// capacity may exceed the burst.
fn spend_random_amounts(buckets: &mut [TokenBucket], rng: &mut Pcg64Mcg) -> f64 {
    let mut spent = 0.0;
    for bucket in buckets {
        let amount = rng.random::<f64>() * 3.0;
        if amount <= bucket.level() {
            bucket.withdraw(amount);
            spent += amount;
        }
    }
    spent
}

#[test]
fn spending_in_any_window_stays_within_rate_and_burst_while_rates_move() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 7))
        .tests(200)
        .quickcheck(spending_stays_within_burst_while_rates_move as fn(u64) -> bool);
}

#[test]
fn rate_changes_keep_the_debt_and_add_no_tokens() {
    let mut bucket = TokenBucket::empty(0.0, 1.0, 2.0);
    bucket.refill(2.0);
    assert!(
        bucket.covers(5.0),
        "a full bucket covers an amount larger than its capacity"
    );
    bucket.withdraw(5.0);
    for rate in [0.1, 4.0, 0.0, 1.0] {
        bucket.set_rate(rate);
        assert_eq!(bucket.level(), -3.0);
    }
    bucket.refill(4.0);
    bucket.set_rate(10.0);
    assert_eq!(bucket.level(), -1.0);
    assert!(!bucket.covers(0.5));
}
