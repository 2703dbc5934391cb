//! The queues before the real module: the order with one team, and who is answered when.

// A test tells one story from top to bottom, and tables of cases are long.
#![allow(clippy::too_many_lines)]

use std::collections::BTreeMap;

use admission::interface::*;
use admission::policy::{Policy, PolicyConfig};
use dispatch::{Decision, Dispatcher, StatementRequest};
use quickcheck::{Gen, QuickCheck};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use scheduler::{
    CapacityShare, Config, QueueLimit, Scheduler, SubQueueConfig, SubQueueId, TenantConfig,
    TenantQueues,
};

fn span(secs: f64) -> TimeDelta {
    TimeDelta::from_secs(secs)
}

fn at(secs: f64) -> Timestamp {
    Timestamp::from_secs(1000.0 + secs)
}

/// Long limits, so that in these tests the module's own hold denies nobody where no queues stand before it.
fn class(priority_weight: f64, late_priority_weight: f64) -> QueryClass {
    QueryClass {
        effect: Effect::Idempotent,
        priority_weight,
        late_priority_weight,
        latency_objective: span(190.0),
        latency_objective_stretch: 2.0,
        time_limit: span(200.0),
        threads: 1.0,
        ordered_by_key: false,
        locations: None,
        machines: None,
    }
}

fn dispatch(seed: u64) -> Dispatcher {
    let fleet = FleetConfig {
        peers: 1.0,
        cores: vec![4.0],
        memory_mb: vec![1000.0],
        progress_interval: Some(span(0.5)),
        idle_timeout: None,
        priorities_honored: true,
    };
    let max_retry_after = Some(span(0.5));
    let retry_policy = RetryPolicy {
        max_attempts: 4,
        can_cancel: false,
        max_retry_after,
        order_settle: TimeDelta::ZERO,
        retry_budget: None,
    };
    let discovery = DiscoveryMode {
        on_request: false,
        request_within: span(10.0),
    };
    let classes = vec![class(1.0, 0.2), class(10.0, 0.1)];
    let config = PolicyConfig {
        classes,
        tenant_quotas: TenantQuotas::default(),
        fleet,
        slow_start: None,
        retry_policy,
        discovery,
    };
    let mut dispatch = Dispatcher::new(Policy::new(config, seed));
    dispatch.on_endpoint_update(
        at(0.0),
        &EndpointUpdate::Snapshot(vec![engine(EngineStage::Ready)]),
    );
    dispatch
}

/// One engine: the module's chance chooses among several, and is asked more often without queues.
fn engine(stage: EngineStage) -> EngineInfo {
    let (location, machine, cell) = (LocationId(0), MachineId(0), CellId(0));
    EngineInfo {
        id: EngineId(1),
        scale: 1.0,
        location,
        machine,
        cell,
        stage,
        started: None,
    }
}

fn one_team() -> Config {
    let share = CapacityShare {
        budget: 1.0,
        weight: 1.0,
    };
    let sub_queue = SubQueueConfig {
        name: "all".into(),
        share,
        networks: Vec::new(),
    };
    let bound = QueueLimit {
        statements: 100_000,
        cpu: 1e9,
    };
    Config {
        tenants: vec![TenantConfig {
            name: "m".into(),
            share,
            sub_queues: vec![sub_queue],
        }],
        ageing: span(0.5),
        burst: span(2.0),
        sub_queue_limit: bound,
        total_limit: bound,
    }
}

fn scheduler(seed: u64, config: Config) -> Scheduler {
    Scheduler::new(
        dispatch(seed),
        Some(TenantQueues::new(at(0.0), config, 2, seed)),
    )
}

fn request(rng: &mut Pcg64Mcg) -> StatementRequest {
    StatementRequest {
        class: ClassId(rng.random_range(0..2)),
        tenant: TenantId(0),
        group: TableGroupId(rng.random_range(0..4)),
        estimate: Some(span(rng.random_range(0.01..0.8))),
        memory_mb: rng.random_range(1.0..200.0),
        key: None,
        has_idempotency_key: true,
        budget: span(rng.random_range(150.0..200.0)),
    }
}

/// With one team, the same statements leave in the same order at the same time as with no queues at all, and attempts
/// that failed go back in between as they did.
#[test]
fn with_one_tenant_the_order_is_that_of_the_dispatchers_own_queue() {
    fn same(seed: u64) -> bool {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut plain = Scheduler::new(dispatch(seed), None);
        let mut lined = scheduler(seed, one_team());
        let (mut now, mut next, mut out, mut left) = (0.0, 0, Vec::new(), 0);
        // 7 s: under the hold of 10 s, after which the plain line denies.
        while now < 7.0 {
            now += 0.02;
            if rng.random::<f64>() < 0.3 {
                let (id, request) = (StatementId(next), request(&mut rng));
                next += 1;
                assert_eq!(
                    plain.pick(at(now), id, SubQueueId(0), &request),
                    Decision::Queued
                );
                // One that would wait too long is rejected at entry, which is no matter of order.
                if lined.pick(at(now), id, SubQueueId(0), &request) != Decision::Queued {
                    plain.client_left(at(now), id);
                }
            }
            let [a, b] = [&mut plain, &mut lined].map(|scheduler| scheduler.tick(at(now)).due);
            assert_eq!(a, b, "at {now}");
            left += a.len();
            for (id, pick) in a {
                if let Decision::Forward(order) = pick {
                    out.push((now + rng.random_range(0.05..1.5), id, order.attempt));
                }
            }
            let done: Vec<_> = out.extract_if(.., |(by, ..)| *by <= now).collect();
            for (_, id, attempt) in done {
                let latency = span(rng.random_range(0.05..1.5));
                let news = match rng.random_range(0..10) {
                    0 => AttemptEvent::Error,
                    1 => AttemptEvent::Rejected,
                    _ => AttemptEvent::Completed {
                        cpu: Some(span(latency.secs() * 0.5)),
                        memory_mb: None,
                    },
                };
                let answered = matches!(news, AttemptEvent::Completed { .. });
                let [a, b] = [&mut plain, &mut lined].map(|scheduler| {
                    scheduler.report(at(now), id, attempt, news, latency, answered)
                });
                assert_eq!(a, b);
            }
        }
        assert!(left > 20, "{left}");
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 21))
        .tests(25)
        .quickcheck(same as fn(u64) -> bool);
}

/// One answer each, and none is forgotten: whatever comes, waits, leaves, drains and returns.
#[test]
fn every_statement_has_one_end_through_drains_reloads_and_the_programs_own_end() {
    fn day(seed: u64) -> bool {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut config = one_team();
        config.tenants.push(TenantConfig {
            name: "n".into(),
            ..config.tenants[0].clone()
        });
        (
            config.sub_queue_limit.statements,
            config.total_limit.statements,
        ) = (20, 30);
        let mut scheduler = scheduler(seed, config.clone());
        // Ends by statement, and what is out.
        let (mut ends, mut out, mut next): (
            BTreeMap<_, Timestamp>,
            BTreeMap<_, AttemptNumber>,
            u64,
        ) = (BTreeMap::new(), BTreeMap::new(), 0);
        let (mut now, mut drained, mut denied) = (0.0, false, 0);
        let end = 6.0;
        while now < end + 1.0 {
            now += 0.02;
            for _ in 0..if now < end { rng.random_range(0..4) } else { 0 } {
                let id = StatementId(next);
                next += 1;
                let budget = rng.random_range(0.1..3.0f64);
                let request = StatementRequest {
                    budget: span(budget),
                    ..request(&mut rng)
                };
                ends.insert(id, at(now + budget));
                let sub_queue = SubQueueId(rng.random_range(0..3));
                if scheduler.pick(at(now), id, sub_queue, &request) != Decision::Queued {
                    (denied, _) = (denied + 1, ends.remove(&id).expect("open"));
                }
            }
            for (id, pick) in scheduler.tick(at(now)).due {
                match pick {
                    Decision::Forward(order) => {
                        assert!(!drained, "{id:?} sent to a draining engine");
                        assert!(out.insert(id, order.attempt).is_none() && ends.contains_key(&id));
                    }
                    Decision::Queued => panic!("never due"),
                    Decision::Reject { retry_after } => {
                        assert!(
                            retry_after
                                .is_some_and(|back| back <= span(0.5) && back > TimeDelta::ZERO)
                        );
                        (denied, _) = (denied + 1, ends.remove(&id).expect("a second end"));
                    }
                    Decision::Fail => drop(ends.remove(&id).expect("a second end")),
                }
            }
            for (id, attempt) in out.clone() {
                let over = ends.get(&id).is_none_or(|end| *end <= at(now));
                let news = if over {
                    AttemptEvent::TimedOut
                } else {
                    AttemptEvent::Completed {
                        cpu: None,
                        memory_mb: None,
                    }
                };
                if over || rng.random::<f64>() < 0.05 {
                    out.remove(&id);
                    ends.remove(&id);
                    scheduler.report(at(now), id, attempt, news, span(0.3), true);
                }
            }
            for (id, end) in &ends {
                let waits = !out.contains_key(id);
                assert!(!waits || *end > at(now), "{id:?} waits past its time");
            }
            match rng.random_range(0..100) {
                0 => {
                    drained = !drained;
                    let stage = if drained {
                        EngineStage::Draining
                    } else {
                        EngineStage::Ready
                    };
                    scheduler
                        .on_endpoint_update(at(now), &EndpointUpdate::Events(vec![engine(stage)]));
                }
                1 => {
                    config.tenants.rotate_left(1);
                    scheduler.reconfigure(at(now), config.clone());
                }
                2..10 if !ends.is_empty() => {
                    let id = *ends.keys().nth(rng.random_range(0..ends.len())).unwrap();
                    ends.remove(&id);
                    scheduler.client_left(at(now), id);
                }
                _ => {}
            }
            if now > end - 0.5 && now < end - 0.47 {
                scheduler.drain_by(at(end));
                ends.values_mut().for_each(|by| *by = (*by).min(at(end)));
            }
        }
        let metrics = scheduler.metrics();
        assert_eq!(
            metrics.received,
            metrics.rejected_at_entry
                + metrics.evicted
                + metrics.released
                + metrics.rejected_while_waiting
                + metrics.client_left
        );
        assert!(metrics.evicted + metrics.rejected_at_entry > 0 && denied > 0);
        scheduler.waiting() == 0 && ends.is_empty()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 4))
        .tests(40)
        .quickcheck(day as fn(u64) -> bool);
}
