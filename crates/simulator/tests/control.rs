//! Tests the measurements of control traffic: the same seed gives the same counts, situations end
//! at their limits, and fits classify points correctly.

use std::time::Duration;

use ::membership::Config;
use simulator::control::coordinator;
use simulator::control::fit::{Line, Power, Shape};
use simulator::control::ledger;
use simulator::control::limits::{Ended, Limits};
use simulator::control::membership::{self, Counted, Plan, Situation};

const LIMITS: Limits = Limits {
    real_time: Duration::from_secs(60),
    memory_bytes: 1 << 30,
};

fn plan(gateways: usize, seed: u64) -> Plan {
    Plan {
        gateways,
        seed,
        terms: Config::default(),
        settle_s: 60.0,
        drain_s: 5.0,
        measure_s: 10.0,
        loss: 0.33,
        limits: LIMITS,
    }
}

fn counted(plan: &Plan) -> Vec<Counted> {
    membership::play(plan)
        .into_iter()
        .map(|row| row.counted)
        .collect()
}

#[test]
fn the_same_seed_gives_the_same_counts() {
    let first = counted(&plan(12, 5));
    assert_eq!(first, counted(&plan(12, 5)));
    assert_ne!(first, counted(&plan(12, 6)));
}

#[test]
fn every_situation_is_measured_with_consistent_counts() {
    let rows = membership::play(&plan(20, 1));
    let situations: Vec<Situation> = rows.iter().map(|row| row.counted.situation).collect();
    let expected = [
        Situation::Start,
        Situation::Drain,
        Situation::Rest,
        Situation::Death,
        Situation::Loss,
    ];
    assert_eq!(situations, expected);
    for row in &rows {
        let counted = &row.counted;
        assert_eq!(counted.ended, Ended::Completed, "{counted:?}");
        let kinds = &counted.kinds;
        let sum = kinds.pings
            + kinds.acknowledgements
            + kinds.indirect_requests
            + kinds.indirect_answered
            + kinds.indirect_failed
            + kinds.page_requests
            + kinds.pages
            + kinds.other;
        assert_eq!(sum, counted.sent, "every datagram is of one kind");
        assert!(row.spent.gateways_cpu <= row.spent.total_cpu);
    }
    let rest = &rows[2].counted;
    assert_eq!((rest.false_deaths, rest.counters.suspected), (0, 0));
    assert!(
        (0.9..1.1).contains(&rest.per_s(rest.counters.probes)),
        "one probe a second: {rest:?}"
    );
    assert!(
        rest.received <= rest.sent + 100 && rest.sent <= rest.received + 100,
        "nothing is lost: {rest:?}"
    );
    let loss = &rows[4].counted;
    let arrived = loss.received as f64 / loss.sent as f64;
    assert!((0.6..0.75).contains(&arrived), "a third is lost: {arrived}");
}

#[test]
fn a_situation_that_exceeds_a_limit_reports_it_and_is_the_last() {
    let no_time = Limits {
        real_time: Duration::ZERO,
        ..LIMITS
    };
    let rows = counted(&Plan {
        limits: no_time,
        ..plan(20, 1)
    });
    assert_eq!(
        rows.iter().map(|row| row.ended).collect::<Vec<_>>(),
        [Ended::RealTimeLimit]
    );
    let no_memory = Limits {
        memory_bytes: 0,
        ..LIMITS
    };
    let rows = counted(&Plan {
        limits: no_memory,
        ..plan(20, 1)
    });
    assert_eq!(
        rows.iter().map(|row| row.ended).collect::<Vec<_>>(),
        [Ended::MemoryLimit]
    );
}

#[test]
fn a_member_table_below_the_cluster_size_never_settles() {
    let terms = Config {
        max_members: 10,
        ..Config::default()
    };
    let rows = counted(&Plan {
        terms,
        settle_s: 10.0,
        ..plan(20, 1)
    });
    assert_eq!(rows[0].ended, Ended::SimulatedLimit);
    assert_eq!(rows[0].complete, 0);
}

#[test]
fn the_ledger_answers_every_request_with_reproducible_counts() {
    let plan = ledger::Plan {
        holders: 30,
        budgets: 24,
        seed: 3,
        questions: 30,
        limits: LIMITS,
    };
    let (first, _) = ledger::measure(&plan);
    assert_eq!(first.ended, Ended::Completed);
    assert_eq!(
        (first.in_ledger, first.answered),
        (31, 60),
        "thirty holders and the coordinator itself"
    );
    assert!(
        first.question_datagram_bytes > first.question_bytes + 50.0,
        "a head and a code: {first:?}"
    );
    assert!(
        first.longest_question_bytes <= ::membership::MAX_PAYLOAD_BYTES,
        "{first:?}"
    );
    assert_eq!(ledger::measure(&plan).0, first);
}

#[test]
fn a_killed_coordinator_is_replaced_and_all_leases_follow() {
    let (change, _) = coordinator::change(30, 2, LIMITS);
    assert_eq!(change.ended, Ended::Completed, "{change:?}");
    let (chosen, renewed) = (
        change.chosen_s.expect("one is chosen"),
        change.renewed_s.expect("all ask it"),
    );
    assert!(chosen > 0.0 && chosen <= renewed, "{change:?}");
    assert_eq!(coordinator::change(30, 2, LIMITS).0, change);
}

#[test]
fn shapes_of_points_are_classified() {
    let sizes = [100.0, 300.0, 1000.0, 1900.0, 3800.0];
    let points = |value: fn(f64) -> f64| sizes.map(|size| (size, value(size)));
    let line = Line::of(&points(|size| 5.0 + 0.25 * size)).expect("five points");
    assert!(
        (line.intercept - 5.0).abs() < 1e-6 && (line.slope - 0.25).abs() < 1e-9,
        "{line:?}"
    );
    assert!(line.spread < 1e-6);
    let square = Power::of(&points(|size| 3.0 * size * size)).expect("five points");
    assert!(
        (square.exponent - 2.0).abs() < 1e-9 && (square.factor - 3.0).abs() < 1e-6,
        "{square:?}"
    );
    assert!((square.size_for(square.at(700.0)) - 700.0).abs() < 1e-6);
    assert_eq!(
        Shape::of(&points(|size| 5.0 + 0.25 * size)),
        Some(Shape::Line)
    );
    assert_eq!(
        Shape::of(&points(|size| 3.0 * size * size)),
        Some(Shape::Quadratic)
    );
    assert_eq!(Shape::of(&points(|_| 7.0)), Some(Shape::Constant));
    assert_eq!(
        Shape::of(&points(|size| size.min(1000.0))),
        Some(Shape::Bends)
    );
    assert_eq!(Shape::of(&points(|size| size)[..2]), None);
}
