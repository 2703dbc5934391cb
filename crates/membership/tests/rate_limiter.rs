//! Token buckets of actions and bytes.

use admission::interface::Timestamp;
use membership::rate_limiter::{ByteBudget, RateLimiter};

fn at(secs: f64) -> Timestamp {
    Timestamp::from_secs(secs)
}

#[test]
fn actions_beyond_a_second_s_tokens_wait_until_these_come_back() {
    let mut limiter = RateLimiter::new(2.0);
    let taken = [0.0, 0.0, 0.0, 0.4, 0.5, 0.6].map(|secs| limiter.try_take(at(secs)));
    assert_eq!(taken, [true, true, false, false, true, false]);
}

#[test]
fn a_rate_below_one_a_second_still_allows_one() {
    let mut limiter = RateLimiter::new(0.1);
    let taken = [0.0, 5.0, 9.0, 10.1].map(|secs| limiter.try_take(at(secs)));
    assert_eq!(taken, [true, false, false, true]);
}

#[test]
fn bytes_are_saved_up_to_the_capacity_and_spent_only_as_far_as_they_are_there() {
    let mut budget = ByteBudget::new(100.0, 250.0);
    assert!(budget.try_spend(at(0.0), 200.0));
    assert!(!budget.try_spend(at(0.0), 100.0), "50 bytes are left");
    assert!(budget.try_spend(at(0.5), 100.0));
    assert_eq!(budget.available(at(60.0)), 250.0);
    budget.spend(-20.0);
    assert_eq!(budget.available(at(60.0)), 250.0, "no more than it holds");
}
