//! Many gateways' decisions before one engine that has just started, in handed-in time. None knows of the others, and all
//! together must not send it so much that it falls.

use std::collections::VecDeque;

use admission::interface::*;
use admission::policy::{Policy, PolicyConfig};
use dispatch::{AttemptOrder, Decision, Dispatcher, FollowUp, StatementRequest};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const CORES: f64 = 8.0;
const COLD: SlowStart = SlowStart {
    initial_share: 0.4,
    warm_up: TimeDelta::from_micros(20_000_000),
    overload_multiple: 2.5,
    window: TimeDelta::from_micros(2_000_000),
};
const COLD_ENGINE: EngineId = EngineId(0);
const STARTED_S: f64 = 1000.0;
const STEP_S: f64 = 0.02;
const STEPS: usize = 700;
/// Longer than any statement may be held, so that demand never ends.
const BUDGET_S: f64 = 4.0;

fn span(secs: f64) -> TimeDelta {
    TimeDelta::from_secs(secs)
}

/// What the cold engine does with what comes. All of it counts against it, also what it turns away.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Does {
    CompletesAtOnce,
    TurnsAway,
}

/// One run.
#[derive(Clone, Copy, Debug)]
struct Case {
    gateways: usize,
    /// Mean work of a statement, in CPU seconds.
    mean_s: f64,
    /// Engines beside it that are warm, take all and answer nothing.
    hung: u32,
    does: Does,
    seed: u64,
}

fn gateway(case: Case, number: usize) -> Dispatcher {
    let class = QueryClass {
        effect: Effect::Idempotent,
        priority_weight: 1.0,
        late_priority_weight: 1.0,
        latency_objective: span(BUDGET_S),
        latency_objective_stretch: 2.0,
        time_limit: span(BUDGET_S),
        threads: 1.0,
        ordered_by_key: false,
        locations: None,
        machines: None,
    };
    let fleet = FleetConfig {
        peers: case.gateways as f64,
        cores: vec![CORES],
        memory_mb: Vec::new(),
        progress_interval: None,
        priorities_honored: false,
        idle: None,
    };
    let retry_policy = RetryPolicy {
        max_attempts: 3,
        can_cancel: false,
        max_retry_after: Some(span(0.4)),
        order_settle: TimeDelta::ZERO,
        retry_budget: None,
    };
    let discovery = DiscoveryMode {
        on_request: false,
        request_within: span(10.0),
    };
    let seed = case.seed * 1000 + number as u64;
    let tenant_quotas = TenantQuotas {
        quotas: Vec::new(),
        over_quota_weight: 1.0,
    };
    let config = PolicyConfig {
        classes: vec![class],
        tenant_quotas,
        fleet,
        slow_start: Some(COLD),
        retry_policy,
        discovery,
    };
    let mut gateway = Dispatcher::new(Policy::new(config, seed));
    let mut engines = vec![engine(COLD_ENGINE.0, Some(Timestamp::from_secs(STARTED_S)))];
    engines.extend((1..=case.hung).map(|id| engine(id, None)));
    gateway.on_endpoint_update(
        Timestamp::from_secs(STARTED_S),
        &EndpointUpdate::Snapshot(engines),
    );
    gateway
}

fn engine(id: u32, started: Option<Timestamp>) -> EngineInfo {
    let (location, machine, cell) = (LocationId(0), MachineId(0), CellId(0));
    EngineInfo {
        id: EngineId(id),
        scale: 1.0,
        location,
        machine,
        cell,
        stage: EngineStage::Ready,
        started,
    }
}

/// The engine's own count of what came within its window.
#[derive(Default)]
struct Cold {
    came: VecDeque<f64>,
    total: usize,
}

impl Cold {
    /// Takes one. It falls beyond N + 2 x root of N + 2, N being the statements of mean work that the settings allow it in
    /// the time that they name; its least in that time counts.
    fn take(&mut self, now_s: f64, case: Case) {
        self.total += 1;
        self.came.push_back(now_s);
        while self
            .came
            .front()
            .is_some_and(|then| now_s - then >= COLD.window.secs())
        {
            self.came.pop_front();
        }
        let age = (self.came[0] - STARTED_S) / COLD.warm_up.secs();
        let share = COLD.initial_share + (1.0 - COLD.initial_share) * age.clamp(0.0, 1.0);
        let allowed = COLD.overload_multiple * share * CORES * COLD.window.secs() / case.mean_s;
        let bound = allowed + 2.0 * allowed.sqrt() + 2.0;
        assert!(
            self.came.len() as f64 <= bound,
            "{case:?}: it fell after {:.2} s: {} came within its window, and it bears {bound:.1}",
            now_s - STARTED_S,
            self.came.len()
        );
    }
}

/// What is out of one gateway, with when its outcome comes.
struct Out {
    statement: StatementId,
    order: AttemptOrder,
    sent: Timestamp,
}

/// All gateways in step: a burst, and then twice what the engine bears when warm. How many came to the cold engine.
fn run(case: Case) -> usize {
    let mut rng = Pcg64Mcg::seed_from_u64(case.seed);
    let mut gateways: Vec<Dispatcher> = (0..case.gateways)
        .map(|number| gateway(case, number))
        .collect();
    let mut out: Vec<Vec<Out>> = gateways.iter().map(|_| Vec::new()).collect();
    let (mut cold, mut next) = (Cold::default(), 0);
    let per_step = (2.0 * CORES / case.mean_s / case.gateways as f64 * STEP_S).max(0.2);
    for step in 0..STEPS {
        let now_s = STARTED_S + step as f64 * STEP_S;
        let now = Timestamp::from_secs(now_s);
        for (gateway, out) in gateways.iter_mut().zip(&mut out) {
            let ended: Vec<Out> = out
                .extract_if(.., |out| {
                    out.order.engine == COLD_ENGINE || out.order.due <= now
                })
                .collect();
            for Out {
                statement,
                order,
                sent,
            } in ended
            {
                let cpu = Some(order.charge);
                let event = match case.does {
                    _ if order.engine != COLD_ENGINE => AttemptEvent::TimedOut,
                    Does::CompletesAtOnce => AttemptEvent::Completed {
                        cpu,
                        memory_mb: None,
                    },
                    Does::TurnsAway => AttemptEvent::Rejected,
                };
                let answered = matches!(event, AttemptEvent::Completed { .. });
                let verdict =
                    gateway.report(now, statement, order.attempt, event, now - sent, answered);
                assert!(!matches!(verdict, FollowUp::Cancel(_)));
            }
            let burst = if step == 0 { 20 } else { 0 };
            let more = per_step.trunc() as usize + usize::from(rng.random_bool(per_step.fract()));
            for _ in 0..burst + more {
                next += 1;
                let request = StatementRequest {
                    class: ClassId(0),
                    tenant: TenantId(0),
                    group: TableGroupId(rng.random_range(0..8)),
                    estimate: Some(span(case.mean_s * rng.random_range(0.2..1.8))),
                    memory_mb: 0.0,
                    key: None,
                    has_idempotency_key: false,
                    budget: span(BUDGET_S),
                };
                assert_eq!(
                    gateway.pick(now, StatementId(next), &request),
                    Decision::Queued
                );
            }
            for (statement, pick) in gateway.tick(now).due {
                let Decision::Forward(order) = pick else {
                    continue;
                };
                if order.engine == COLD_ENGINE {
                    cold.take(now_s, case);
                }
                out.push(Out {
                    statement,
                    order,
                    sent: now,
                });
            }
        }
    }
    cold.total
}

#[test]
fn a_cold_engine_stands_a_burst_of_twenty_to_thirty_gateways() {
    for gateways in [20, 25, 30] {
        for mean_s in [0.1, 0.5, 1.0, 2.0] {
            for (hung, does) in [
                (0, Does::CompletesAtOnce),
                (3, Does::CompletesAtOnce),
                (0, Does::TurnsAway),
            ] {
                let came: usize = (0..3)
                    .map(|seed| {
                        run(Case {
                            gateways,
                            mean_s,
                            hung,
                            does,
                            seed,
                        })
                    })
                    .sum();
                assert!(
                    came > 0,
                    "{gateways}, {mean_s}, {hung}, {does:?}: it was never used"
                );
            }
        }
    }
}
