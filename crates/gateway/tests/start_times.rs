//! Starts of engines, dated on a clock that differs from the one by which they are told.

use admission::interface::{EngineInfo, EngineStage, TimeDelta, Timestamp};
use gateway::discovery::endpoints::{Endpoint, EndpointChange};
use gateway::discovery::registry::EngineRegistry;
use gateway::discovery::start_times::StartTimes;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn at(secs: f64) -> Timestamp {
    Timestamp::from_secs(secs)
}

fn endpoint(uid: &str, started_s: f64) -> Endpoint {
    Endpoint {
        uid: uid.to_owned(),
        address: "127.0.0.1:7101".parse().unwrap(),
        location: "hall-1".to_owned(),
        machine: "plain-8".to_owned(),
        cell: 0,
        stage: EngineStage::Ready,
        scale: 1.0,
        started: Some(at(started_s)),
    }
}

fn registry() -> EngineRegistry {
    EngineRegistry::new(vec!["hall-1".to_owned()], vec!["plain-8".to_owned()])
}

/// The engines of a change, as the decisions take them.
fn engines(
    registry: &mut EngineRegistry,
    now: Timestamp,
    change: &EndpointChange,
) -> Vec<EngineInfo> {
    use admission::interface::EndpointUpdate::{Events, Failed, Snapshot};
    match registry.apply(now, change).update {
        Snapshot(engines) | Events(engines) => engines,
        Failed => panic!("no list"),
    }
}

/// Engines start by chance, some are listed at a gateway's start and others as they start, and the clocks differ by any
/// amount: none is dated before it started, by the true time.
#[test]
fn no_engine_is_dated_before_its_start_on_a_clock_that_is_ahead() {
    for seed in 0..500 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let ahead_s = rng.random_range(0.0..8000.0);
        let mut start_times = StartTimes::default();
        let mut now_s = 1_000_000.0;
        for _ in 0..40 {
            now_s += rng.random_range(0.0..20.0);
            let age_s = if rng.random_bool(0.5) {
                rng.random_range(0.0..2.0)
            } else {
                rng.random_range(0.0..5000.0)
            };
            let now = at(now_s + ahead_s);
            let told = at(now_s - age_s);
            start_times.observe(now, told);
            let true_age_s = age_s;
            let age = now - start_times.on_own_clock(now, told);
            assert!(
                age.secs() <= true_age_s + 1e-3,
                "seed {seed}: {age:?} old, truly {true_age_s} s"
            );
            assert!(age >= TimeDelta::ZERO, "seed {seed}: {age:?}");
        }
    }
}

#[test]
fn a_clock_that_is_behind_dates_a_start_as_it_is_heard_of() {
    let start_times = StartTimes::default();
    let now = at(10_000.0);
    assert_eq!(start_times.on_own_clock(now, at(13_600.0)), now);
    // Announced shortly before its start.
    assert_eq!(start_times.on_own_clock(now, at(10_002.0)), at(10_002.0));
}

#[test]
fn with_the_right_time_only_the_youngest_engine_is_dated_later_than_told() {
    let mut registry = registry();
    let snapshot = EndpointChange::Snapshot(vec![endpoint("old", 900.0), endpoint("young", 998.0)]);
    let first = engines(&mut registry, at(1000.0), &snapshot);
    assert_eq!(first[0].started, Some(at(902.0)));
    assert_eq!(first[1].started, Some(at(1000.0)));
    let update = EndpointChange::Update(vec![endpoint("new", 1009.5)]);
    let second = engines(&mut registry, at(1010.0), &update);
    assert_eq!(second[0].started, Some(at(1010.0)));
    // From here on the clocks are known to be half a second apart at most.
    let update = EndpointChange::Update(vec![endpoint("late", 1010.0)]);
    let third = engines(&mut registry, at(1030.0), &update);
    assert_eq!(third[0].started, Some(at(1010.5)));
}

/// Another date would be taken for another start, and cost the decisions what they have learned of the engine.
#[test]
fn an_engine_keeps_its_date_until_it_starts_anew() {
    let mut registry = registry();
    let listed = |started_s| EndpointChange::Update(vec![endpoint("e-1", started_s)]);
    let first = engines(&mut registry, at(1000.0), &listed(990.0));
    let younger = EndpointChange::Update(vec![endpoint("e-2", 1004.0)]);
    engines(&mut registry, at(1005.0), &younger);
    let again = engines(&mut registry, at(1006.0), &listed(990.0));
    assert_eq!(again[0].started, first[0].started);
    let restarted = engines(&mut registry, at(1020.0), &listed(1015.0));
    assert_eq!(restarted[0].started, Some(at(1016.0)));
}
