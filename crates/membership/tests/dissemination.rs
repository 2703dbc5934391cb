//! Which updates are told next, and for how long.

use membership::dissemination::{DisseminationQueue, transmissions};
use membership::{Name, TrafficLimits};

fn name(number: usize) -> Name {
    Name::new(&format!("g{number:03}")).unwrap()
}

#[test]
fn an_update_is_told_three_times_the_logarithm_of_the_fleet_s_size() {
    let counts = [2, 3, 16, 17, 1900].map(transmissions);
    assert_eq!(counts, [3, 6, 12, 15, 33]);
}

#[test]
fn the_least_told_comes_first_and_an_update_leaves_once_it_was_told_often_enough() {
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
fn with_traffic_limits_the_update_told_most_often_makes_room() {
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
