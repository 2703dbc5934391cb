//! Checks that many gateways, which do not exchange any state, together do not overload an engine
//! that has just started. The tests run in simulated time.

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
const SLOW_START: SlowStart = SlowStart {
    initial_share: 0.4,
    warm_up: TimeDelta::from_micros(20_000_000),
    overload_multiple: 2.5,
    window: TimeDelta::from_micros(2_000_000),
};
/// The engine in slow start.
const STARTING_ENGINE: EngineId = EngineId(0);
const STARTED_S: f64 = 1000.0;
const STEP_S: f64 = 0.02;
const STEPS: usize = 700;
/// The number of statements that arrive at each gateway in the first step.
const BURST: usize = 20;
/// The time limit of a statement. It exceeds the longest time that a statement may wait, so that
/// there is always demand.
const TIME_LIMIT_S: f64 = 4.0;

fn seconds(secs: f64) -> TimeDelta {
    TimeDelta::from_secs(secs)
}

/// What the engine in slow start does with an attempt. Rejected attempts count towards its load
/// too.
#[derive(Clone, Copy, Debug, PartialEq)]
enum EngineBehavior {
    CompletesAtOnce,
    Rejects,
}

/// The parameters of a run.
#[derive(Clone, Copy, Debug)]
struct Case {
    gateways: usize,
    /// The mean CPU time of a statement, in seconds.
    mean_cpu_s: f64,
    /// The number of further engines. They are warm, accept every attempt and answer none.
    hung_engines: u32,
    behavior: EngineBehavior,
    seed: u64,
}

/// Creates the dispatcher of one gateway, which knows all engines.
fn dispatcher(case: Case, number: usize) -> Dispatcher {
    let class = QueryClass {
        effect: Effect::Idempotent,
        priority_weight: 1.0,
        late_priority_weight: 1.0,
        latency_objective: seconds(TIME_LIMIT_S),
        latency_objective_stretch: 2.0,
        time_limit: seconds(TIME_LIMIT_S),
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
        max_retry_after: Some(seconds(0.4)),
        order_settle: TimeDelta::ZERO,
        retry_budget: None,
    };
    let discovery = DiscoveryMode {
        on_request: false,
        request_within: seconds(10.0),
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
        slow_start: Some(SLOW_START),
        retry_policy,
        discovery,
    };
    let mut gateway = Dispatcher::new(Policy::new(config, seed));
    let mut engines = vec![engine(
        STARTING_ENGINE.0,
        Some(Timestamp::from_secs(STARTED_S)),
    )];
    engines.extend((1..=case.hung_engines).map(|id| engine(id, None)));
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

/// The load on the engine in slow start, counted at the engine.
#[derive(Default)]
struct EngineLoad {
    /// The arrival times within the window, in seconds.
    arrivals: VecDeque<f64>,
    total: usize,
}

impl EngineLoad {
    /// Counts an attempt and panics if the engine is overloaded.
    ///
    /// The bound is N + 2 sqrt(N) + 2 attempts within the window. N is the number of statements of
    /// mean cost that the settings allow the engine within the window, at the capacity that the
    /// engine has when the window begins.
    fn record_arrival(&mut self, now_s: f64, case: Case) {
        self.total += 1;
        self.arrivals.push_back(now_s);
        while self
            .arrivals
            .front()
            .is_some_and(|arrived_s| now_s - arrived_s >= SLOW_START.window.secs())
        {
            self.arrivals.pop_front();
        }
        let warm_fraction = (self.arrivals[0] - STARTED_S) / SLOW_START.warm_up.secs();
        let share = SLOW_START.initial_share
            + (1.0 - SLOW_START.initial_share) * warm_fraction.clamp(0.0, 1.0);
        let allowed = SLOW_START.overload_multiple * share * CORES * SLOW_START.window.secs()
            / case.mean_cpu_s;
        let bound = allowed + 2.0 * allowed.sqrt() + 2.0;
        assert!(
            self.arrivals.len() as f64 <= bound,
            "{case:?}: overloaded after {:.2} s by {} attempts in the window, bound {bound:.1}",
            now_s - STARTED_S,
            self.arrivals.len()
        );
    }
}

/// An attempt in flight.
struct SentAttempt {
    statement: StatementId,
    order: AttemptOrder,
    sent: Timestamp,
}

/// A gateway with its attempts in flight.
struct Gateway {
    dispatcher: Dispatcher,
    in_flight: Vec<SentAttempt>,
}

impl Gateway {
    fn new(case: Case, number: usize) -> Self {
        Gateway {
            dispatcher: dispatcher(case, number),
            in_flight: Vec::new(),
        }
    }

    /// Ends the attempts at the engine in slow start at once, and the other attempts when they time
    /// out.
    fn end_attempts(&mut self, now: Timestamp, case: Case) {
        let ends =
            |sent: &mut SentAttempt| sent.order.engine == STARTING_ENGINE || sent.order.due <= now;
        let ended: Vec<SentAttempt> = self.in_flight.extract_if(.., ends).collect();
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

    /// Runs a tick and returns the engines that attempts were sent to.
    fn send(&mut self, now: Timestamp) -> Vec<EngineId> {
        let mut engines = Vec::new();
        for (statement, decision) in self.dispatcher.tick(now).due {
            let Decision::Forward(order) = decision else {
                continue;
            };
            engines.push(order.engine);
            self.in_flight.push(SentAttempt {
                statement,
                order,
                sent: now,
            });
        }
        engines
    }
}

/// Returns the event that ends the attempt.
fn event(case: Case, order: &AttemptOrder) -> AttemptEvent {
    match case.behavior {
        _ if order.engine != STARTING_ENGINE => AttemptEvent::TimedOut,
        EngineBehavior::CompletesAtOnce => AttemptEvent::Completed {
            cpu: Some(order.charge),
            memory_mb: None,
        },
        EngineBehavior::Rejects => AttemptEvent::Rejected,
    }
}

fn request(case: Case, rng: &mut Pcg64Mcg) -> StatementRequest {
    StatementRequest {
        class: ClassId(0),
        tenant: TenantId(0),
        group: TableGroupId(rng.random_range(0..8)),
        estimate: Some(seconds(case.mean_cpu_s * rng.random_range(0.2..1.8))),
        memory_mb: 0.0,
        key: None,
        has_idempotency_key: false,
        budget: seconds(TIME_LIMIT_S),
    }
}

/// Runs all gateways with an initial burst of statements, followed by twice the load that the warm
/// engine can take. Returns the number of attempts sent to the engine in slow start.
fn run(case: Case) -> usize {
    let mut rng = Pcg64Mcg::seed_from_u64(case.seed);
    let mut gateways: Vec<Gateway> = (0..case.gateways)
        .map(|number| Gateway::new(case, number))
        .collect();
    let mut load = EngineLoad::default();
    let mut next_id = 0;
    let arrivals_per_step =
        (2.0 * CORES / case.mean_cpu_s / case.gateways as f64 * STEP_S).max(0.2);
    for step in 0..STEPS {
        let now_s = STARTED_S + step as f64 * STEP_S;
        let now = Timestamp::from_secs(now_s);
        for gateway in &mut gateways {
            gateway.end_attempts(now, case);
            let burst = if step == 0 { BURST } else { 0 };
            let steady = arrivals_per_step.trunc() as usize
                + usize::from(rng.random_bool(arrivals_per_step.fract()));
            for _ in 0..burst + steady {
                next_id += 1;
                let request = request(case, &mut rng);
                let decision = gateway.dispatcher.pick(now, StatementId(next_id), &request);
                assert_eq!(decision, Decision::Queued);
            }
            for engine in gateway.send(now) {
                if engine == STARTING_ENGINE {
                    load.record_arrival(now_s, case);
                }
            }
        }
    }
    load.total
}

#[test]
fn twenty_to_thirty_gateways_do_not_overload_an_engine_in_slow_start() {
    for gateways in [20, 25, 30] {
        for mean_cpu_s in [0.1, 0.5, 1.0, 2.0] {
            for (hung_engines, behavior) in [
                (0, EngineBehavior::CompletesAtOnce),
                (3, EngineBehavior::CompletesAtOnce),
                (0, EngineBehavior::Rejects),
            ] {
                let arrivals: usize = (0..3)
                    .map(|seed| {
                        run(Case {
                            gateways,
                            mean_cpu_s,
                            hung_engines,
                            behavior,
                            seed,
                        })
                    })
                    .sum();
                assert!(
                    arrivals > 0,
                    "{gateways}, {mean_cpu_s}, {hung_engines}, {behavior:?}: no attempt was sent"
                );
            }
        }
    }
}
