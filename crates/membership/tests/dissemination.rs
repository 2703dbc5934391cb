//! The order in which updates are disseminated, and how often each is transmitted.

use membership::dissemination::{DisseminationQueue, transmissions};
use membership::{Name, TrafficLimits};

fn name(number: usize) -> Name {
    Name::new(&format!("g{number:03}")).unwrap()
}

#[test]
fn transmissions_are_three_times_the_rounded_up_binary_logarithm_of_the_fleet_size() {
    let counts = [2, 3, 16, 17, 1900].map(transmissions);
    assert_eq!(counts, [3, 6, 12, 15, 33]);
}

#[test]
fn the_least_transmitted_update_comes_first_and_is_removed_after_its_last_transmission() {
    let mut queue = DisseminationQueue::new(None);
    for number in [2, 0, 1] {
        queue.enqueue(&name(number), 2);
    }
    queue.mark_transmitted(&name(0));
    assert_eq!(queue.least_transmitted(2), [name(1), name(2)]);
    queue.mark_transmitted(&name(0));
    assert!(!queue.contains(&name(0)));
    queue.remove(&name(1));
    assert_eq!(queue.least_transmitted(9), [name(2)]);
}

#[test]
fn with_traffic_limits_a_full_queue_evicts_the_most_transmitted_update() {
    let limits = TrafficLimits::default();
    let mut queue = DisseminationQueue::new(Some(&limits));
    for number in 0..128 {
        queue.enqueue(&name(number), 9);
    }
    queue.mark_transmitted(&name(77));
    queue.enqueue(&name(500), 9);
    assert!(!queue.contains(&name(77)));
    assert!(queue.contains(&name(500)));
    let mut unlimited = DisseminationQueue::new(None);
    for number in 0..200 {
        unlimited.enqueue(&name(number), 9);
    }
    assert_eq!(unlimited.least_transmitted(1000).len(), 200);
}
