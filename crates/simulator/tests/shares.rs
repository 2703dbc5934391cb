//! Tests budget leases under faults with 20 and 300 emulated gateways and the production code. The
//! sum of the gateways' spendable rates is checked every 50 ms, and the budget spent is checked in
//! every window of one second.

use simulator::parts::{Part, STEP_S, WHOLE, Way, Work, parts, terms, times};

/// Gateways whose demand exceeds the budget, and which have leased all of it.
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

/// Asserts that the gateways never could spend, or spent, more than the budget.
fn assert_within_budget(work: &Work, what: &str) {
    let worst = (work.worst_sum, work.record.worst(1.0, WHOLE, 2.0));
    assert!(worst.0 <= 1.0 + 1e-9 && worst.1 <= 1.0, "{what}: {worst:?}");
}

/// The current coordinator. Waits up to 10 simulated seconds until there is one.
fn coordinator(work: &mut Work) -> usize {
    let until = work.mesh.now + 10.0;
    loop {
        let now = admission::interface::Timestamp::from_secs(work.mesh.now);
        let is = |part: &Part| part.quotas.participant().is_leader(part.clock(now));
        let first = (0..work.mesh.len()).find(|at| work.mesh.peer(*at).is_some_and(is));
        if let Some(first) = first {
            return first;
        }
        assert!(work.mesh.now < until, "no coordinator is elected");
        work.run(STEP_S);
    }
}

/// Runs until this fraction of the budget is leased out, and returns the simulated seconds that it
/// took.
fn run_until_leased(work: &mut Work, part: f64, within: f64) -> f64 {
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
fn budget_holds_through_two_partitions() {
    for count in SIZES {
        let mut work = started(count, 1);
        work.mesh.cut(|a, b| (a % 5 < 3) != (b % 5 < 3));
        work.run(20.0);
        // The side without a majority of voters keeps its guaranteed minimums, the other side gets
        // the rest.
        assert!(work.sum() > 0.98, "{count}: {}", work.sum());
        work.mesh.heal();
        work.run(5.0);
        work.mesh.cut(|a, b| (a % 5 < 2) != (b % 5 < 2));
        work.run(20.0);
        assert!(work.in_use() > 0.8);
        assert_within_budget(&work, "cut");
    }
}

#[test]
fn an_isolated_coordinator_is_replaced() {
    for count in SIZES {
        let mut work = started(count, 2);
        let first = coordinator(&mut work);
        work.mesh.cut(|a, b| a == first || b == first);
        work.run(12.0);
        assert!(coordinator(&mut work) != first && work.sum() > 0.95);
        assert!(work.may(first) > 0.0, "it keeps its guaranteed minimum");
        work.mesh.heal();
        work.run(4.0);
        assert_within_budget(&work, "an isolated coordinator");
    }
}

#[test]
fn budget_holds_when_coordinators_fail_during_failover() {
    for count in SIZES {
        let mut work = started(count, 3);
        for round in 0..3 {
            let first = coordinator(&mut work);
            if round == 1 {
                work.mesh.stop(first);
                work.run(8.0);
                work.mesh.wake(first);
            } else {
                work.mesh.kill(first);
                // A new coordinator is elected and has granted few leases so far.
                work.run(1.0);
                let second = coordinator(&mut work);
                assert!(second != first);
                work.mesh.kill(second);
                work.mesh.start(first);
                work.mesh.start(second);
            }
            run_until_leased(&mut work, 0.95, 30.0);
        }
        // Leases outlast one failover. After two within a lease duration, some gateways have only
        // their guaranteed minimum until the second new coordinator grants in full.
        let used = work.in_use();
        assert!(used > 0.55, "{count}: {used}");
        assert_within_budget(&work, "coordinators killed");
    }
}

#[test]
fn leases_outlast_one_failover_after_a_kill_or_a_suspension() {
    for count in SIZES {
        for stops in [true, false] {
            let mut work = started(count, 12);
            let first = coordinator(&mut work);
            if stops {
                work.mesh.stop(first);
            } else {
                work.mesh.kill(first);
            }
            work.run(8.0);
            work.mesh.wake(first);
            let used = work.in_use();
            assert!(
                used > 0.9 && coordinator(&mut work) != first,
                "{count}: {used}"
            );
            assert_within_budget(&work, "a failover");
        }
    }
}

#[test]
fn budget_of_killed_gateways_is_leased_again_within_a_lease_and_a_term() {
    for count in SIZES {
        let mut work = started(count, 4);
        (0..count)
            .filter(|at| at % 2 == 1)
            .for_each(|at| work.mesh.kill(at));
        work.wants.iter_mut().for_each(|wants| *wants *= 3.0);
        // The guaranteed minimums of the killed gateways stay unused.
        let took = run_until_leased(&mut work, 0.89, 20.0);
        assert!(took < 12.0, "{count}: {took}");
        assert_within_budget(&work, "half killed");
    }
}

#[test]
fn budget_holds_during_churn_and_a_start_of_300_within_five_seconds() {
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
    assert_within_budget(&work, "joins and leaves");
    let mut work = Work::new(parts(300, 6, terms(300)), Way::Leases, 300);
    work.wants = vec![WHOLE * 1.3 / 300.0; 300];
    for at in 0..300 {
        work.mesh.start(at);
        if at % 3 == 2 {
            work.run(STEP_S);
        }
    }
    run_until_leased(&mut work, 0.98, 15.0);
    assert_within_budget(&work, "300 within five seconds");
}

#[test]
fn leases_follow_moving_demand() {
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
        // The budget that nobody demanded was leased evenly, and so is available at once.
        assert!(work.in_use() > 0.95, "{count}");
        assert_within_budget(&work, "moving");
    }
}

#[test]
fn an_exaggerated_demand_gains_no_more_than_an_equal_part() {
    let mut work = started(20, 8);
    let mut honest = started(20, 8);
    work.wants[11] *= 1000.0;
    work.run(10.0);
    honest.run(10.0);
    let even = WHOLE / 20.0;
    // The part of an honest gateway that could use all of an equal part.
    assert!(work.may(11) < even * 1.35, "{} of {even}", work.may(11));
    let least = (0..20)
        .filter(|at| *at != 11)
        .map(|at| work.may(at) / honest.may(at))
        .fold(f64::MAX, f64::min);
    assert!(least > 0.9, "{least}");
    assert_within_budget(&work, "an exaggerated demand");
}

#[test]
fn budget_holds_under_loss_and_late_duplicates() {
    for count in SIZES {
        let mut work = started(count, 9);
        (work.mesh.faults.lost, work.mesh.faults.repeated) = (1.0 / 3.0, 1.0);
        work.run(30.0);
        assert!(work.in_use() > 0.9, "{count}");
        assert_within_budget(&work, "lossy");
    }
}

#[test]
fn a_clock_beyond_the_allowed_drift_gets_no_lease() {
    // `parts` draws clock rate errors within the allowed drift. Here they are at both ends of it.
    let mut work = started(20, 10);
    for at in 0..20 {
        work.mesh.peer_mut(at).unwrap().fast_ppm = if at % 2 == 0 { 10_000 } else { -10_000 };
    }
    work.run(30.0);
    assert_within_budget(&work, "at the bound");
    // A holder whose clock is this slow would keep its leases for longer than the coordinator
    // assumes.
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
fn leases_adapt_soon_after_a_join_a_leave_and_a_kill() {
    for count in SIZES {
        let [joined, left, killed] = times(count, 11);
        assert!(joined.is_some_and(|secs| secs < 3.0), "{joined:?}");
        assert!(left.is_some_and(|secs| secs < 3.0), "{left:?}");
        assert!(killed.is_some_and(|secs| secs < 9.0), "{killed:?}");
    }
}
