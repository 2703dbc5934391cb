//! The queues in front of the real decision module: the order with a single tenant, and the end of
//! every statement.

// Each scenario runs from setup to final assertion in one function.
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

/// Returns a query class with long time limits, so that without queues the maximum wait of the
/// decision module rejects no statement in these tests.
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

fn new_dispatcher(seed: u64) -> Dispatcher {
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
    let mut dispatcher = Dispatcher::new(Policy::new(config, seed));
    dispatcher.on_endpoint_update(
        at(0.0),
        &EndpointUpdate::Snapshot(vec![engine(EngineStage::Ready)]),
    );
    dispatcher
}

/// Returns the only engine of these tests. With several, the module would choose at random, and
/// without queues it would draw more random numbers, so that the two runs would diverge.
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

fn one_tenant() -> Config {
    let share = CapacityShare {
        budget: 1.0,
        weight: 1.0,
    };
    let sub_queue = SubQueueConfig {
        name: "all".into(),
        share,
        networks: Vec::new(),
    };
    let limit = QueueLimit {
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
        sub_queue_limit: limit,
        total_limit: limit,
    }
}

fn scheduler(seed: u64, config: Config) -> Scheduler {
    Scheduler::new(
        new_dispatcher(seed),
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

/// With a single tenant, statements must leave in the same order and at the same time as without
/// queues, and failed attempts must be retried at the same time.
#[test]
fn one_tenant_with_queues_keeps_the_order_of_the_dispatcher() {
    fn orders_match(seed: u64) -> bool {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut direct = Scheduler::new(new_dispatcher(seed), None);
        let mut queued = scheduler(seed, one_tenant());
        let (mut now, mut next_id, mut in_flight, mut decisions) = (0.0, 0, Vec::new(), 0);
        // The run ends after 7 s, before the maximum wait of 10 s after which the dispatcher
        // rejects statements itself.
        while now < 7.0 {
            now += 0.02;
            if rng.random::<f64>() < 0.3 {
                let (id, request) = (StatementId(next_id), request(&mut rng));
                next_id += 1;
                assert_eq!(
                    direct.pick(at(now), id, SubQueueId(0), &request),
                    Decision::Queued
                );
                // A statement rejected at entry for its estimated wait has no place in the order,
                // so it leaves the other scheduler, too.
                if queued.pick(at(now), id, SubQueueId(0), &request) != Decision::Queued {
                    direct.client_left(at(now), id);
                }
            }
            let [expected, actual] =
                [&mut direct, &mut queued].map(|scheduler| scheduler.tick(at(now)).due);
            assert_eq!(expected, actual, "at {now}");
            decisions += expected.len();
            for (id, decision) in expected {
                if let Decision::Forward(order) = decision {
                    in_flight.push((now + rng.random_range(0.05..1.5), id, order.attempt));
                }
            }
            let finished: Vec<_> = in_flight
                .extract_if(.., |(finish_s, ..)| *finish_s <= now)
                .collect();
            for (_, id, attempt) in finished {
                let latency = span(rng.random_range(0.05..1.5));
                let event = match rng.random_range(0..10) {
                    0 => AttemptEvent::Error,
                    1 => AttemptEvent::Rejected,
                    _ => AttemptEvent::Completed {
                        cpu: Some(span(latency.secs() * 0.5)),
                        memory_mb: None,
                    },
                };
                let answered = matches!(event, AttemptEvent::Completed { .. });
                let [expected, actual] = [&mut direct, &mut queued].map(|scheduler| {
                    scheduler.report(at(now), id, attempt, event, latency, answered)
                });
                assert_eq!(expected, actual);
            }
        }
        assert!(decisions > 20, "{decisions}");
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 21))
        .tests(25)
        .quickcheck(orders_match as fn(u64) -> bool);
}

/// Every statement must end exactly once while statements arrive, wait, leave and complete, engines
/// drain, the configuration is reloaded and the gateway shuts down.
#[test]
fn every_statement_ends_exactly_once_through_drains_reloads_and_shutdown() {
    fn every_statement_ends_once(seed: u64) -> bool {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut config = one_tenant();
        config.tenants.push(TenantConfig {
            name: "n".into(),
            ..config.tenants[0].clone()
        });
        (
            config.sub_queue_limit.statements,
            config.total_limit.statements,
        ) = (20, 30);
        let mut scheduler = scheduler(seed, config.clone());
        // The deadlines of the open statements, and the attempts in flight.
        let (mut deadlines, mut in_flight, mut next_id): (
            BTreeMap<_, Timestamp>,
            BTreeMap<_, AttemptNumber>,
            u64,
        ) = (BTreeMap::new(), BTreeMap::new(), 0);
        let (mut now, mut drained, mut rejected) = (0.0, false, 0);
        let shutdown_s = 6.0;
        while now < shutdown_s + 1.0 {
            now += 0.02;
            for _ in 0..if now < shutdown_s {
                rng.random_range(0..4)
            } else {
                0
            } {
                let id = StatementId(next_id);
                next_id += 1;
                let budget = rng.random_range(0.1..3.0f64);
                let request = StatementRequest {
                    budget: span(budget),
                    ..request(&mut rng)
                };
                deadlines.insert(id, at(now + budget));
                let sub_queue = SubQueueId(rng.random_range(0..3));
                if scheduler.pick(at(now), id, sub_queue, &request) != Decision::Queued {
                    (rejected, _) = (rejected + 1, deadlines.remove(&id).expect("still open"));
                }
            }
            for (id, decision) in scheduler.tick(at(now)).due {
                match decision {
                    Decision::Forward(order) => {
                        assert!(!drained, "{id:?} sent to a draining engine");
                        assert!(
                            in_flight.insert(id, order.attempt).is_none()
                                && deadlines.contains_key(&id)
                        );
                    }
                    Decision::Queued => panic!("a queued statement is never due"),
                    Decision::Reject { retry_after } => {
                        assert!(
                            retry_after
                                .is_some_and(|delay| delay <= span(0.5) && delay > TimeDelta::ZERO)
                        );
                        (rejected, _) = (rejected + 1, deadlines.remove(&id).expect("still open"));
                    }
                    Decision::Fail => drop(deadlines.remove(&id).expect("still open")),
                }
            }
            for (id, attempt) in in_flight.clone() {
                let expired = deadlines
                    .get(&id)
                    .is_none_or(|deadline| *deadline <= at(now));
                let event = if expired {
                    AttemptEvent::TimedOut
                } else {
                    AttemptEvent::Completed {
                        cpu: None,
                        memory_mb: None,
                    }
                };
                if expired || rng.random::<f64>() < 0.05 {
                    in_flight.remove(&id);
                    deadlines.remove(&id);
                    scheduler.report(at(now), id, attempt, event, span(0.3), true);
                }
            }
            for (id, deadline) in &deadlines {
                let waiting = !in_flight.contains_key(id);
                assert!(
                    !waiting || *deadline > at(now),
                    "{id:?} waits past its deadline"
                );
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
                2..10 if !deadlines.is_empty() => {
                    let id = *deadlines
                        .keys()
                        .nth(rng.random_range(0..deadlines.len()))
                        .unwrap();
                    deadlines.remove(&id);
                    scheduler.client_left(at(now), id);
                }
                _ => {}
            }
            if now > shutdown_s - 0.5 && now < shutdown_s - 0.47 {
                scheduler.drain_by(at(shutdown_s));
                deadlines
                    .values_mut()
                    .for_each(|deadline| *deadline = (*deadline).min(at(shutdown_s)));
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
        assert!(metrics.evicted + metrics.rejected_at_entry > 0 && rejected > 0);
        scheduler.waiting() == 0 && deadlines.is_empty()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 4))
        .tests(40)
        .quickcheck(every_statement_ends_once as fn(u64) -> bool);
}
