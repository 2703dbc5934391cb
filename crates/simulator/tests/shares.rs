//! The hard cases of divided budgets at 20 and 300 gateways in simulated time, over the very code:
//! the sum of what all may spend is looked at every 50 ms, and what was spent in every window of a
//! second.

use simulator::parts::{Part, STEP_S, WHOLE, Way, Work, parts, terms, times};

/// So many that want more than there is, and hold all of it.
fn started(count: usize, seed: u64) -> Work {
    let mut work = Work::new(parts(count, seed, terms(count)), Way::Leases, count);
    work.mesh.start_all();
    work.wants = (0..count)
        .map(|at| WHOLE * 1.3 / count as f64 * (0.5 + (at % 3) as f64 * 0.5))
        .collect();
    work.run(16.0);
    assert!(work.sum() > 0.98, "{count}: {}", work.sum());
    work.in_use();
    work
}

fn held(work: &Work, what: &str) {
    let worst = (work.worst_sum, work.record.worst(1.0, WHOLE, 2.0));
    assert!(worst.0 <= 1.0 + 1e-9 && worst.1 <= 1.0, "{what}: {worst:?}");
}

/// Waits for it, if need be.
fn steward(work: &mut Work) -> usize {
    let until = work.mesh.now + 10.0;
    loop {
        let now = admission::interface::Timestamp::from_secs(work.mesh.now);
        let is = |part: &Part| part.quotas.participant().is_leader(part.clock(now));
        let first = (0..work.mesh.len()).find(|at| work.mesh.peer(*at).is_some_and(is));
        if let Some(first) = first {
            return first;
        }
        assert!(work.mesh.now < until, "nobody is chosen");
        work.run(STEP_S);
    }
}

/// Until so much of the whole is out.
fn until(work: &mut Work, part: f64, within: f64) -> f64 {
    let began = work.mesh.now;
    while work.sum() < part && work.mesh.now < began + within {
        work.run(STEP_S);
    }
    assert!(
        work.sum() >= part,
        "{} of {part} after {within} s",
        work.sum()
    );
    work.mesh.now - began
}

const SIZES: [usize; 2] = [20, 300];

#[test]
fn cut_three_to_two_healed_and_cut_again() {
    for count in SIZES {
        let mut work = started(count, 1);
        work.mesh.cut(|a, b| (a % 5 < 3) != (b % 5 < 3));
        work.run(20.0);
        // The side without a majority of voters has its floors, the other all the rest.
        assert!(work.sum() > 0.98, "{count}: {}", work.sum());
        work.mesh.heal();
        work.run(5.0);
        work.mesh.cut(|a, b| (a % 5 < 2) != (b % 5 < 2));
        work.run(20.0);
        assert!(work.in_use() > 0.8);
        held(&work, "cut");
    }
}

#[test]
fn a_steward_cut_off_from_everybody_but_its_clients() {
    for count in SIZES {
        let mut work = started(count, 2);
        let first = steward(&mut work);
        work.mesh.cut(|a, b| a == first || b == first);
        work.run(12.0);
        assert!(steward(&mut work) != first && work.sum() > 0.95);
        assert!(work.may(first) > 0.0, "it has its floor");
        work.mesh.heal();
        work.run(4.0);
        held(&work, "a steward alone");
    }
}

#[test]
fn a_steward_killed_stopped_and_killed_again_in_the_hand_over() {
    for count in SIZES {
        let mut work = started(count, 3);
        for round in 0..3 {
            let first = steward(&mut work);
            if round == 1 {
                work.mesh.stop(first);
                work.run(8.0);
                work.mesh.wake(first);
            } else {
                work.mesh.kill(first);
                // Its follower is chosen, and has hardly granted yet.
                work.run(1.0);
                let second = steward(&mut work);
                assert!(second != first);
                work.mesh.kill(second);
                work.mesh.start(first);
                work.mesh.start(second);
            }
            until(&mut work, 0.95, 30.0);
        }
        // One change is not felt: leases outlast it. Two within a lease leave floors to some until
        // the second's wait is over.
        let used = work.in_use();
        assert!(used > 0.55, "{count}: {used}");
        held(&work, "stewards killed");
    }
}

#[test]
fn one_change_of_steward_is_not_felt_whether_it_died_or_stood_still() {
    for count in SIZES {
        for stops in [true, false] {
            let mut work = started(count, 12);
            let first = steward(&mut work);
            if stops {
                work.mesh.stop(first);
            } else {
                work.mesh.kill(first);
            }
            work.run(8.0);
            work.mesh.wake(first);
            let used = work.in_use();
            assert!(used > 0.9 && steward(&mut work) != first, "{count}: {used}");
            held(&work, "a change");
        }
    }
}

#[test]
fn half_killed_under_a_flood_leave_all_to_the_others_within_a_lease_and_a_term() {
    for count in SIZES {
        let mut work = started(count, 4);
        (0..count)
            .filter(|at| at % 2 == 1)
            .for_each(|at| work.mesh.kill(at));
        work.wants.iter_mut().for_each(|wants| *wants *= 3.0);
        // Floors of the dead are nobody's.
        let took = until(&mut work, 0.89, 20.0);
        assert!(took < 12.0, "{count}: {took}");
        held(&work, "half killed");
    }
}

#[test]
fn one_joins_and_one_leaves_every_second_and_three_hundred_start_within_five() {
    let mut work = started(40, 5);
    for second in 0..60 {
        let at = 5 + second % 35;
        if second % 2 == 0 {
            work.mesh.leave(at);
        } else {
            work.mesh.start(5 + (second - 1) % 35);
        }
        work.run(1.0);
    }
    assert!(work.in_use() > 0.9);
    held(&work, "joins and leaves");
    let mut work = Work::new(parts(300, 6, terms(300)), Way::Leases, 300);
    work.wants = vec![WHOLE * 1.3 / 300.0; 300];
    for at in 0..300 {
        work.mesh.start(at);
        if at % 3 == 2 {
            work.run(STEP_S);
        }
    }
    until(&mut work, 0.98, 15.0);
    held(&work, "300 within five seconds");
}

#[test]
fn nine_tenths_at_one_then_another_all_idle_and_all_again() {
    for count in SIZES {
        let mut work = started(count, 7);
        for hot in [1, count / 2, count - 1] {
            work.wants = vec![WHOLE * 0.13 / (count - 1) as f64; count];
            work.wants[hot] = WHOLE * 1.17;
            work.run(5.0);
            work.in_use();
            work.run(5.0);
            assert!(work.in_use() > 0.9, "{count}: {hot}");
        }
        work.wants = vec![0.0; count];
        work.run(10.0);
        work.wants = vec![WHOLE * 1.3 / count as f64; count];
        work.run(1.0);
        work.in_use();
        work.run(5.0);
        // What nobody needed was spread evenly, and is there at once.
        assert!(work.in_use() > 0.95, "{count}");
        held(&work, "moving");
    }
}

#[test]
fn one_that_says_it_needs_a_thousand_times_gains_no_more_than_an_even_part() {
    let mut work = started(20, 8);
    let mut honest = started(20, 8);
    work.wants[11] *= 1000.0;
    work.run(10.0);
    honest.run(10.0);
    let even = WHOLE / 20.0;
    // As an honest one that could use all of an even part would have.
    assert!(work.may(11) < even * 1.35, "{} of {even}", work.may(11));
    let least = (0..20)
        .filter(|at| *at != 11)
        .map(|at| work.may(at) / honest.may(at))
        .fold(f64::MAX, f64::min);
    assert!(least > 0.9, "{least}");
    held(&work, "a lie");
}

#[test]
fn a_third_lost_and_all_repeated_late() {
    for count in SIZES {
        let mut work = started(count, 9);
        (work.mesh.faults.lost, work.mesh.faults.repeated) = (1.0 / 3.0, 1.0);
        work.run(30.0);
        assert!(work.in_use() > 0.9, "{count}");
        held(&work, "lossy");
    }
}

#[test]
fn clocks_at_the_bound_hold_and_beyond_it_they_are_noticed_and_not_leased_to() {
    // Every clock of a fleet of the lab lies by chance within the bound, see `parts`; here at both
    // its ends.
    let mut work = started(20, 10);
    for at in 0..20 {
        work.mesh.peer_mut(at).unwrap().fast_ppm = if at % 2 == 0 { 10_000 } else { -10_000 };
    }
    work.run(30.0);
    held(&work, "at the bound");
    // A holder that is a tenth slow would keep leases for longer than its steward counts.
    let floor = work
        .mesh
        .peer(12)
        .unwrap()
        .quotas
        .participant()
        .config()
        .budgets[0]
        .guaranteed
        .units();
    work.mesh.kill(12);
    work.run(10.0);
    work.mesh.start(12);
    work.mesh.peer_mut(12).unwrap().fast_ppm = -150_000;
    work.run(45.0);
    assert!(
        (work.may(12) - floor).abs() < 1e-6,
        "{} of {floor}",
        work.may(12)
    );
    assert!(work.sum() > 0.98);
}

#[test]
fn parts_come_soon_after_joining_leaving_and_a_kill() {
    for count in SIZES {
        let [joined, left, killed] = times(count, 11);
        assert!(joined.is_some_and(|secs| secs < 3.0), "{joined:?}");
        assert!(left.is_some_and(|secs| secs < 3.0), "{left:?}");
        assert!(killed.is_some_and(|secs| secs < 9.0), "{killed:?}");
    }
}
