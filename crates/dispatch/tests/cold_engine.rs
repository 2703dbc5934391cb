//! Many gateways' decisions before one engine that has just started, in handed-in time. None knows of the others, and all
//! together must not send it so much that it falls.

use std::collections::VecDeque;

use admission::interface::{
    AttemptEvent, CellId, ClassId, DiscoveryMode, Effect, EndpointUpdate, EngineId, EngineInfo,
    EngineStage, FleetConfig, LocationId, MachineId, QueryClass, RetryPolicy, SlowStart,
    StatementId, TableGroupId, TenantId, TenantQuotas, TimeDelta, Timestamp,
};
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
/// Statements that come to each gateway in the first step.
const BURST: usize = 20;
/// Longer than any statement may be held, so that demand never ends.
const BUDGET_S: f64 = 4.0;

fn span(secs: f64) -> TimeDelta {
    TimeDelta::from_secs(secs)
}

/// What the cold engine does with what comes. All of it counts against it, also what it rejects.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Does {
    CompletesAtOnce,
    Rejects,
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

fn dispatcher(case: Case, number: usize) -> Dispatcher {
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
        idle_timeout: None,
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

/// An attempt in flight.
struct Sent {
    statement: StatementId,
    order: AttemptOrder,
    sent: Timestamp,
}

/// One gateway and what it has in flight.
struct Gateway {
    dispatcher: Dispatcher,
    in_flight: Vec<Sent>,
}

impl Gateway {
    fn new(case: Case, number: usize) -> Self {
        Gateway {
            dispatcher: dispatcher(case, number),
            in_flight: Vec::new(),
        }
    }

    /// Attempts at the cold engine end at once, the others when they are due.
    fn end_attempts(&mut self, now: Timestamp, case: Case) {
        let ends = |sent: &mut Sent| sent.order.engine == COLD_ENGINE || sent.order.due <= now;
        let ended: Vec<Sent> = self.in_flight.extract_if(.., ends).collect();
        for sent in ended {
            let event = event(case, &sent.order);
            let answered = matches!(event, AttemptEvent::Completed { .. });
            let follow_up = self.dispatcher.report(
                now,
                sent.statement,
                sent.order.attempt,
                event,
                now - sent.sent,
                answered,
            );
            assert!(!matches!(follow_up, FollowUp::Cancel(_)));
        }
    }

    fn send(&mut self, now: Timestamp) -> Vec<EngineId> {
        let mut engines = Vec::new();
        for (statement, decision) in self.dispatcher.tick(now).due {
            let Decision::Forward(order) = decision else {
                continue;
            };
            engines.push(order.engine);
            self.in_flight.push(Sent {
                statement,
                order,
                sent: now,
            });
        }
        engines
    }
}

fn event(case: Case, order: &AttemptOrder) -> AttemptEvent {
    match case.does {
        _ if order.engine != COLD_ENGINE => AttemptEvent::TimedOut,
        Does::CompletesAtOnce => AttemptEvent::Completed {
            cpu: Some(order.charge),
            memory_mb: None,
        },
        Does::Rejects => AttemptEvent::Rejected,
    }
}

fn request(case: Case, rng: &mut Pcg64Mcg) -> StatementRequest {
    StatementRequest {
        class: ClassId(0),
        tenant: TenantId(0),
        group: TableGroupId(rng.random_range(0..8)),
        estimate: Some(span(case.mean_s * rng.random_range(0.2..1.8))),
        memory_mb: 0.0,
        key: None,
        has_idempotency_key: false,
        budget: span(BUDGET_S),
    }
}

/// All gateways in step: a burst, and then twice what the engine bears when warm. How many came to the cold engine.
fn run(case: Case) -> usize {
    let mut rng = Pcg64Mcg::seed_from_u64(case.seed);
    let mut gateways: Vec<Gateway> = (0..case.gateways)
        .map(|number| Gateway::new(case, number))
        .collect();
    let mut cold = Cold::default();
    let mut next_id = 0;
    let per_step = (2.0 * CORES / case.mean_s / case.gateways as f64 * STEP_S).max(0.2);
    for step in 0..STEPS {
        let now_s = STARTED_S + step as f64 * STEP_S;
        let now = Timestamp::from_secs(now_s);
        for gateway in &mut gateways {
            gateway.end_attempts(now, case);
            let burst = if step == 0 { BURST } else { 0 };
            let more = per_step.trunc() as usize + usize::from(rng.random_bool(per_step.fract()));
            for _ in 0..burst + more {
                next_id += 1;
                let request = request(case, &mut rng);
                let decision = gateway.dispatcher.pick(now, StatementId(next_id), &request);
                assert_eq!(decision, Decision::Queued);
            }
            for engine in gateway.send(now) {
                if engine == COLD_ENGINE {
                    cold.take(now_s, case);
                }
            }
        }
    }
    cold.total
}

#[test]
fn twenty_to_thirty_gateways_do_not_overload_an_engine_in_slow_start() {
    for gateways in [20, 25, 30] {
        for mean_s in [0.1, 0.5, 1.0, 2.0] {
            for (hung, does) in [
                (0, Does::CompletesAtOnce),
                (3, Does::CompletesAtOnce),
                (0, Does::Rejects),
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
