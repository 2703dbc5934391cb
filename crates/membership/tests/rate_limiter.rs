//! The token buckets for actions and for bytes.

use admission::interface::Timestamp;
use membership::rate_limiter::{ByteBudget, RateLimiter};

fn at(secs: f64) -> Timestamp {
    Timestamp::from_secs(secs)
}

#[test]
fn actions_beyond_the_tokens_of_one_second_are_rejected_until_the_refill() {
    let mut limiter = RateLimiter::new(2.0);
    let allowed = [0.0, 0.0, 0.0, 0.4, 0.5, 0.6].map(|secs| limiter.try_take(at(secs)));
    assert_eq!(allowed, [true, true, false, false, true, false]);
}

#[test]
fn a_rate_below_one_per_second_still_allows_single_actions() {
    let mut limiter = RateLimiter::new(0.1);
    let allowed = [0.0, 5.0, 9.0, 10.1].map(|secs| limiter.try_take(at(secs)));
    assert_eq!(allowed, [true, false, false, true]);
}

#[test]
fn bytes_accumulate_up_to_the_capacity_and_are_spent_only_if_available() {
    let mut budget = ByteBudget::new(100.0, 250.0);
    assert!(budget.try_spend(at(0.0), 200.0));
    assert!(!budget.try_spend(at(0.0), 100.0), "50 bytes are left");
    assert!(budget.try_spend(at(0.5), 100.0));
    assert_eq!(budget.available(at(60.0)), 250.0);
    budget.spend(-20.0);
    assert_eq!(
        budget.available(at(60.0)),
        250.0,
        "the budget does not exceed its capacity"
    );
}
