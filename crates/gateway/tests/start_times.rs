//! Tests of engine start times, which are reported on a clock that differs from the gateway's own.

use admission::interface::{EngineInfo, EngineStage, TimeDelta, Timestamp};
use gateway::discovery::endpoints::{Endpoint, EndpointChange};
use gateway::discovery::registry::EngineRegistry;
use gateway::discovery::start_times::StartTimes;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn timestamp(secs: f64) -> Timestamp {
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
        started: Some(timestamp(started_s)),
    }
}

fn registry() -> EngineRegistry {
    EngineRegistry::new(vec!["hall-1".to_owned()], vec!["plain-8".to_owned()])
}

/// Applies the change and returns its engines as the admission policy gets them.
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

/// Engines start at random; some are listed when a gateway starts and others as they start, and the
/// clocks differ by any amount. No engine may be given a start time before its true one.
#[test]
fn no_start_time_is_before_the_true_one_with_a_clock_that_is_ahead() {
    for seed in 0..500 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let clock_ahead_s = rng.random_range(0.0..8000.0);
        let mut start_times = StartTimes::default();
        let mut now_s = 1_000_000.0;
        for _ in 0..40 {
            now_s += rng.random_range(0.0..20.0);
            let age_s = if rng.random_bool(0.5) {
                rng.random_range(0.0..2.0)
            } else {
                rng.random_range(0.0..5000.0)
            };
            let now = timestamp(now_s + clock_ahead_s);
            let reported = timestamp(now_s - age_s);
            start_times.observe(now, reported);
            let true_age_s = age_s;
            let age = now - start_times.on_own_clock(now, reported);
            assert!(
                age.secs() <= true_age_s + 1e-3,
                "seed {seed}: age {age:?}, true age {true_age_s} s"
            );
            assert!(age >= TimeDelta::ZERO, "seed {seed}: {age:?}");
        }
    }
}

#[test]
fn with_a_clock_that_is_behind_the_start_time_is_that_of_the_announcement() {
    let start_times = StartTimes::default();
    let now = timestamp(10_000.0);
    assert_eq!(start_times.on_own_clock(now, timestamp(13_600.0)), now);
    // The engine was announced shortly before its start.
    assert_eq!(
        start_times.on_own_clock(now, timestamp(10_002.0)),
        timestamp(10_002.0)
    );
}

#[test]
fn with_equal_clocks_only_the_youngest_engine_gets_a_later_start_time() {
    let mut registry = registry();
    let snapshot = EndpointChange::Snapshot(vec![endpoint("old", 900.0), endpoint("young", 998.0)]);
    let first = engines(&mut registry, timestamp(1000.0), &snapshot);
    assert_eq!(first[0].started, Some(timestamp(902.0)));
    assert_eq!(first[1].started, Some(timestamp(1000.0)));
    let update = EndpointChange::Update(vec![endpoint("new", 1009.5)]);
    let second = engines(&mut registry, timestamp(1010.0), &update);
    assert_eq!(second[0].started, Some(timestamp(1010.0)));
    // From here on the clocks are known to differ by at most 0.5 s.
    let update = EndpointChange::Update(vec![endpoint("late", 1010.0)]);
    let third = engines(&mut registry, timestamp(1030.0), &update);
    assert_eq!(third[0].started, Some(timestamp(1010.5)));
}

/// A changed start time would be taken for a restart, and the policy would discard what it has
/// learned about the engine.
#[test]
fn an_engine_keeps_its_start_time_until_it_restarts() {
    let mut registry = registry();
    let listed = |started_s| EndpointChange::Update(vec![endpoint("e-1", started_s)]);
    let first = engines(&mut registry, timestamp(1000.0), &listed(990.0));
    let younger = EndpointChange::Update(vec![endpoint("e-2", 1004.0)]);
    engines(&mut registry, timestamp(1005.0), &younger);
    let again = engines(&mut registry, timestamp(1006.0), &listed(990.0));
    assert_eq!(again[0].started, first[0].started);
    let restarted = engines(&mut registry, timestamp(1020.0), &listed(1015.0));
    assert_eq!(restarted[0].started, Some(timestamp(1016.0)));
}
