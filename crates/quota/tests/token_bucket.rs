//! Token buckets whose rates move from one to another.

use quickcheck::{Gen, QuickCheck};
use quota::TokenBucket;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const CAPACITY_PER_S: f64 = 10.0;
const BURST_S: f64 = 2.0;
const STEP_S: f64 = 0.1;

/// Moves a random part of a rate between four buckets at every step and spends at random; whether what was spent in any
/// window is within the whole rate and its burst.
fn moving_rates_stay_within_the_burst(seed: u64) -> bool {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut rates = [CAPACITY_PER_S / 4.0; 4];
    let mut buckets = rates.map(|rate| TokenBucket::empty(0.0, rate, BURST_S));
    let mut spent = Vec::new();
    for step in 1..400 {
        let now = f64::from(step) * STEP_S;
        // One gives before another takes.
        let (from, to) = (rng.random_range(0..4usize), rng.random_range(0..4usize));
        let moved = rates[from] * rng.random::<f64>();
        for bucket in &mut buckets {
            bucket.refill(now);
        }
        rates[from] -= moved;
        buckets[from].set_rate(rates[from]);
        rates[to] += moved;
        buckets[to].set_rate(rates[to]);
        spent.push(spend_at_random(&mut buckets, &mut rng));
    }
    let within_burst = [1usize, 5, 20, 100].into_iter().all(|steps| {
        let most = CAPACITY_PER_S * (steps as f64 * STEP_S + BURST_S) + 1e-6;
        spent
            .windows(steps)
            .all(|window| window.iter().sum::<f64>() <= most)
    });
    let within_capacity = buckets
        .iter()
        .all(|bucket| bucket.level() <= bucket.capacity() + 1e-9);
    within_burst && within_capacity
}

/// Spends only what is saved: a debt for one amount larger than the capacity is allowed beyond the burst.
fn spend_at_random(buckets: &mut [TokenBucket], rng: &mut Pcg64Mcg) -> f64 {
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
fn what_is_spent_in_any_window_is_within_the_rate_and_its_burst_while_rates_move() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 7))
        .tests(200)
        .quickcheck(moving_rates_stay_within_the_burst as fn(u64) -> bool);
}

#[test]
fn debts_stay_when_the_rate_changes_and_savings_do_not_grow_with_it() {
    let mut bucket = TokenBucket::empty(0.0, 1.0, 2.0);
    bucket.refill(2.0);
    assert!(
        bucket.covers(5.0),
        "one larger than the capacity goes when the bucket is full"
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
