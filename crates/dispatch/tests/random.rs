//! Runs random workloads through the dispatcher and checks these invariants after every step:
//!
//! - A statement has at most one attempt in flight.
//! - It gets one final answer, by its deadline, and no attempt afterwards.
//! - No attempt is sent to an engine that is draining or removed.
//! - No attempt repeats a statement whose effect must not happen twice.

use std::collections::BTreeMap;

use admission::interface::{
    AttemptEvent, AttemptNumber, CellId, ClassId, DeduplicationScope, DiscoveryMode, Effect,
    EndpointUpdate, EngineId, EngineInfo, EngineStage, FleetConfig, LocationId, MachineId,
    QueryClass, RetryPolicy, StatementId, TableGroupId, TenantId, TenantQuotas, TimeDelta,
    Timestamp,
};
use admission::policy::{Policy, PolicyConfig};
use dispatch::{AttemptOrder, Decision, Dispatcher, FollowUp, StatementRequest};
use quickcheck::{Gen, QuickCheck};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const ENGINES: u32 = 4;
const STEP_S: f64 = 0.02;
const MAX_ATTEMPTS: usize = 4;
/// The deduplication window, in seconds.
const WINDOW_S: f64 = 1.0;

fn seconds(secs: f64) -> TimeDelta {
    TimeDelta::from_secs(secs)
}

fn class(effect: Effect) -> QueryClass {
    QueryClass {
        effect,
        priority_weight: 1.0,
        late_priority_weight: 0.2,
        latency_objective: seconds(0.5),
        latency_objective_stretch: 2.0,
        time_limit: seconds(2.0),
        threads: 1.0,
        ordered_by_key: false,
        locations: None,
        machines: None,
    }
}

/// The effects of the query classes, indexed by class.
fn effects() -> [Effect; 3] {
    let scope = DeduplicationScope::All;
    [
        Effect::Idempotent,
        Effect::IdempotentByKey {
            scope,
            window: seconds(WINDOW_S),
        },
        Effect::NonIdempotent,
    ]
}

fn new_dispatcher(seed: u64) -> Dispatcher {
    let (cores, memory_mb) = (vec![8.0], vec![1000.0]);
    let fleet = FleetConfig {
        peers: 1.0,
        cores,
        memory_mb,
        progress_interval: Some(seconds(0.5)),
        priorities_honored: true,
        idle_timeout: None,
    };
    let max_retry_after = Some(seconds(0.5));
    let retry_policy = RetryPolicy {
        max_attempts: MAX_ATTEMPTS,
        can_cancel: true,
        max_retry_after,
        order_settle: TimeDelta::ZERO,
        retry_budget: None,
    };
    let discovery = DiscoveryMode {
        on_request: false,
        request_within: seconds(10.0),
    };
    let classes = effects().map(class).to_vec();
    let config = PolicyConfig {
        classes,
        tenant_quotas: TenantQuotas::default(),
        fleet,
        slow_start: None,
        retry_policy,
        discovery,
    };
    Dispatcher::new(Policy::new(config, seed))
}

fn engine(id: u32, stage: EngineStage) -> EngineInfo {
    let (location, machine, cell) = (LocationId(0), MachineId(0), CellId(0));
    EngineInfo {
        id: EngineId(id),
        scale: 1.0,
        location,
        machine,
        cell,
        stage,
        started: None,
    }
}

/// The state of a statement, tracked independently of the dispatcher.
#[derive(Default)]
struct TrackedStatement {
    /// The statement's class, as an index into [`effects`].
    effect: usize,
    deadline: f64,
    in_flight: Option<AttemptOrder>,
    /// When the last attempt was sent.
    sent: f64,
    attempts: usize,
    may_have_run: bool,
    /// When the first attempt that may have run was sent.
    first_sent: Option<f64>,
    has_idempotency_key: bool,
    answered: bool,
}

impl TrackedStatement {
    /// Whether a repeat would take effect again, because no engine would drop it.
    fn must_not_repeat(&self) -> bool {
        match effects()[self.effect] {
            Effect::Idempotent => false,
            Effect::IdempotentByKey { .. } => !self.has_idempotency_key,
            Effect::NonIdempotent => true,
        }
    }
}

/// A dispatcher under random load, with the expected state of its statements and engines.
struct Workload {
    dispatcher: Dispatcher,
    rng: Pcg64Mcg,
    now: f64,
    next_id: u64,
    statements: BTreeMap<StatementId, TrackedStatement>,
    stages: BTreeMap<u32, EngineStage>,
    /// When the gateway shuts down.
    drain_deadline: f64,
}

impl Workload {
    fn at(&self) -> Timestamp {
        Timestamp::from_secs(self.now)
    }

    fn receive(&mut self) {
        let (id, effect, budget) = (
            StatementId(self.next_id),
            self.rng.random_range(0..3usize),
            self.rng.random_range(0.05..2.0),
        );
        self.next_id += 1;
        let request = StatementRequest {
            class: ClassId(effect),
            tenant: TenantId(0),
            group: TableGroupId(self.rng.random_range(0..4)),
            estimate: Some(seconds(self.rng.random_range(0.01..0.5))),
            memory_mb: 10.0,
            key: None,
            has_idempotency_key: self.rng.random_bool(0.8),
            budget: seconds(budget),
        };
        let (deadline, has_idempotency_key) = (
            (self.now + budget).min(self.drain_deadline),
            request.has_idempotency_key,
        );
        self.statements.insert(
            id,
            TrackedStatement {
                effect,
                deadline,
                has_idempotency_key,
                ..TrackedStatement::default()
            },
        );
        let decision = self.dispatcher.pick(self.at(), id, &request);
        self.apply_decision(id, decision);
    }

    /// Records a decision and checks the invariants that concern it.
    fn apply_decision(&mut self, id: StatementId, decision: Decision) {
        let statement = self
            .statements
            .get_mut(&id)
            .expect("the statement was received");
        match decision {
            Decision::Queued => {}
            Decision::Forward(order) => {
                assert!(
                    !statement.answered && statement.in_flight.is_none(),
                    "{id:?} was sent with an attempt in flight or after its final answer"
                );
                assert_eq!(
                    self.stages[&order.engine.0],
                    EngineStage::Ready,
                    "{id:?} was sent to {:?}",
                    order.engine
                );
                assert!(!(statement.may_have_run && statement.must_not_repeat()));
                // A repeat is sent within the deduplication window, and its order states when that
                // ends.
                let has_window =
                    matches!(effects()[statement.effect], Effect::IdempotentByKey { .. })
                        && statement.has_idempotency_key;
                let window_end = statement
                    .first_sent
                    .filter(|_| has_window)
                    .map(|sent| sent + WINDOW_S);
                assert!(
                    window_end.is_none_or(|window_end| self.now < window_end),
                    "{id:?} was sent after its deduplication window"
                );
                assert_eq!(
                    order.send_by,
                    window_end.map(Timestamp::from_secs),
                    "{id:?}"
                );
                assert_eq!(usize::from(order.attempt.0), statement.attempts);
                assert!(order.due <= Timestamp::from_secs(statement.deadline));
                statement.attempts += 1;
                statement.sent = self.now;
                assert!(statement.attempts <= MAX_ATTEMPTS);
                statement.in_flight = Some(order);
            }
            Decision::Reject { .. } => self.record_answer(id, true),
            Decision::Fail => self.record_answer(id, false),
        }
    }

    fn record_answer(&mut self, id: StatementId, rejected: bool) {
        let statement = self
            .statements
            .get_mut(&id)
            .expect("the statement was received");
        assert!(!statement.answered, "{id:?} was answered twice");
        assert!(
            statement.in_flight.is_none(),
            "{id:?} was answered with an attempt in flight"
        );
        assert!(
            self.now <= statement.deadline + STEP_S + 1e-6,
            "{id:?} was answered {} s late",
            self.now - statement.deadline
        );
        let must_not_repeat = statement.may_have_run && statement.must_not_repeat();
        assert!(
            !(rejected && must_not_repeat),
            "{id:?} was rejected although it may have run"
        );
        statement.answered = true;
    }

    fn report(&mut self, id: StatementId, attempt: AttemptNumber, event: AttemptEvent) {
        let statement = self
            .statements
            .get_mut(&id)
            .expect("the statement was received");
        let still_in_flight = matches!(event, AttemptEvent::Progress(_) | AttemptEvent::Stalled);
        let completed = matches!(event, AttemptEvent::Completed { .. });
        let did_not_run = matches!(
            event,
            AttemptEvent::Rejected
                | AttemptEvent::NeverSent
                | AttemptEvent::Unreachable
                | AttemptEvent::Withdrawn
        );
        if !still_in_flight {
            let sent = statement.in_flight.take().map(|_| statement.sent);
            statement.may_have_run |= !did_not_run;
            statement.first_sent = statement.first_sent.or(sent.filter(|_| !did_not_run));
        }
        let answered = completed && !statement.answered;
        if answered {
            self.record_answer(id, false);
        }
        match self
            .dispatcher
            .report(self.at(), id, attempt, event, seconds(0.1), completed)
        {
            FollowUp::None => {}
            FollowUp::Cancel(attempt) => self.report(id, attempt, AttemptEvent::Cancelled),
            FollowUp::Reject { .. } => self.record_answer(id, true),
            FollowUp::Fail => self.record_answer(id, false),
        }
    }

    fn step(&mut self) {
        self.now += STEP_S;
        self.end_some_attempts();
        for _ in 0..self.rng.random_range(0..4) {
            self.receive();
        }
        self.change_an_engine();
        self.disconnect_a_client();
        self.reject_a_waiting_statement();
        let tick = self.dispatcher.tick(self.at());
        assert!(tick.wait > TimeDelta::ZERO);
        for (id, decision) in tick.due {
            assert_ne!(decision, Decision::Queued);
            self.apply_decision(id, decision);
        }
        self.check_attempts_in_flight();
        self.check_deadlines();
        self.statements
            .retain(|_, statement| !statement.answered || statement.in_flight.is_some());
    }

    fn end_some_attempts(&mut self) {
        let in_flight = self
            .statements
            .iter()
            .filter_map(|(id, statement)| Some((*id, statement.in_flight?)));
        for (id, order) in in_flight.collect::<Vec<_>>() {
            let Some(event) = self.draw_event(&order) else {
                continue;
            };
            self.report(id, order.attempt, event);
            if self.rng.random_bool(0.1) {
                self.report_again(id, order.attempt);
            }
        }
    }

    /// Draws the event of an attempt in this step, or `None` if there is none. An attempt that is
    /// due times out.
    fn draw_event(&mut self, order: &AttemptOrder) -> Option<AttemptEvent> {
        let event = match self.rng.random_range(0..40) {
            _ if order.due <= self.at() => AttemptEvent::TimedOut,
            0..8 => AttemptEvent::Completed {
                cpu: Some(seconds(0.05)),
                memory_mb: Some(8.0),
            },
            8 => AttemptEvent::Error,
            9 => AttemptEvent::Rejected,
            10 => AttemptEvent::NeverSent,
            11 => AttemptEvent::Reset,
            12 => AttemptEvent::Unreachable,
            13 => AttemptEvent::Progress(self.rng.random_range(0.0..1.0)),
            14 => AttemptEvent::Stalled,
            15 => AttemptEvent::Withdrawn,
            _ => return None,
        };
        Some(event)
    }

    /// Reports an outcome of an attempt that may have ended already. A second outcome has no
    /// effect.
    fn report_again(&mut self, id: StatementId, attempt: AttemptNumber) {
        let event = AttemptEvent::Error;
        let follow_up = self
            .dispatcher
            .report(self.at(), id, attempt, event, seconds(0.1), false);
        assert!(follow_up == FollowUp::None || self.statements[&id].in_flight.is_some());
        let statement = self
            .statements
            .get_mut(&id)
            .expect("the statement was received");
        if statement
            .in_flight
            .is_none_or(|order| order.attempt != attempt)
        {
            return;
        }
        statement.in_flight = None;
        statement.may_have_run = true;
        statement.first_sent = statement.first_sent.or(Some(statement.sent));
        match follow_up {
            FollowUp::Reject { .. } => self.record_answer(id, true),
            FollowUp::Fail => self.record_answer(id, false),
            FollowUp::None | FollowUp::Cancel(_) => {}
        }
    }

    fn change_an_engine(&mut self) {
        if !self.rng.random_bool(0.05) {
            return;
        }
        let id = self.rng.random_range(1..=ENGINES);
        let stage = [
            EngineStage::Ready,
            EngineStage::Ready,
            EngineStage::Draining,
            EngineStage::Removed,
        ][self.rng.random_range(0..4)];
        self.stages.insert(id, stage);
        let update = EndpointUpdate::Events(vec![engine(id, stage)]);
        self.dispatcher.on_endpoint_update(self.at(), &update);
    }

    fn last_matching(&self, matches: impl Fn(&TrackedStatement) -> bool) -> Option<StatementId> {
        let found = self
            .statements
            .iter()
            .rfind(|(_, statement)| matches(statement));
        found.map(|(id, _)| *id)
    }

    fn disconnect_a_client(&mut self) {
        let open = self.last_matching(|statement| !statement.answered);
        if let Some(id) = open.filter(|_| self.rng.random_bool(0.03)) {
            self.dispatcher.client_left(id);
            // The client expects no answer, so a later one counts as a second answer.
            self.statements
                .get_mut(&id)
                .expect("the statement was received")
                .answered = true;
        }
    }

    /// Rejects a statement that waits with no attempt in flight. It has to get one answer, and no
    /// attempt afterwards.
    fn reject_a_waiting_statement(&mut self) {
        let waiting =
            self.last_matching(|statement| !statement.answered && statement.in_flight.is_none());
        if let Some(id) = waiting.filter(|_| self.rng.random_bool(0.05)) {
            let decision = self.dispatcher.reject(self.at(), id, seconds(1.0));
            assert!(
                matches!(decision, Decision::Reject { .. } | Decision::Fail),
                "{id:?}: {decision:?}"
            );
            self.apply_decision(id, decision);
        }
    }

    fn check_attempts_in_flight(&self) {
        let mut expected = BTreeMap::new();
        let statements = self.statements.values();
        for engine in statements.filter_map(|statement| Some(statement.in_flight?.engine)) {
            *expected.entry(engine).or_insert(0) += 1;
        }
        let counted: BTreeMap<EngineId, u32> = self
            .dispatcher
            .engines()
            .filter(|engine| engine.in_flight > 0)
            .map(|engine| (engine.id, engine.in_flight))
            .collect();
        assert_eq!(
            counted, expected,
            "the policy's count of attempts in flight is wrong"
        );
    }

    fn check_deadlines(&self) {
        let overdue = |s: &&TrackedStatement| !s.answered && s.deadline + STEP_S < self.now - 1e-6;
        assert!(
            self.statements.values().find(overdue).is_none(),
            "a statement is unanswered past its deadline"
        );
    }
}

#[test]
fn random_workloads_keep_every_invariant() {
    fn keeps_invariants(seed: u64) -> bool {
        let mut workload = Workload {
            dispatcher: new_dispatcher(seed),
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 100.0,
            next_id: 0,
            statements: BTreeMap::new(),
            stages: (1..=ENGINES).map(|id| (id, EngineStage::Ready)).collect(),
            drain_deadline: f64::INFINITY,
        };
        let engines = (1..=ENGINES)
            .map(|id| engine(id, EngineStage::Ready))
            .collect();
        workload
            .dispatcher
            .on_endpoint_update(workload.at(), &EndpointUpdate::Snapshot(engines));
        (0..600).for_each(|_| workload.step());
        // The gateway shuts down; open and new statements have to be answered by the drain
        // deadline.
        workload.drain_deadline = workload.now + 0.5;
        workload
            .dispatcher
            .drain_by(Timestamp::from_secs(workload.drain_deadline));
        let end = workload.drain_deadline;
        workload
            .statements
            .values_mut()
            .for_each(|statement| statement.deadline = statement.deadline.min(end));
        let cut = |order: &mut AttemptOrder| order.due = order.due.min(Timestamp::from_secs(end));
        workload
            .statements
            .values_mut()
            .for_each(|statement| statement.in_flight.iter_mut().for_each(cut));
        (0..25).for_each(|_| workload.step());
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 5))
        .tests(40)
        .quickcheck(keeps_invariants as fn(u64) -> bool);
}

#[test]
fn draining_shortens_the_deadlines_of_open_statements() {
    let mut dispatcher = new_dispatcher(7);
    let at = Timestamp::from_secs;
    dispatcher.on_endpoint_update(
        at(0.0),
        &EndpointUpdate::Snapshot(vec![engine(1, EngineStage::Ready)]),
    );
    let request = StatementRequest {
        class: ClassId(0),
        tenant: TenantId(0),
        group: TableGroupId(0),
        estimate: Some(seconds(0.1)),
        memory_mb: 0.0,
        key: None,
        has_idempotency_key: true,
        budget: seconds(60.0),
    };
    let id = StatementId(1);
    assert_eq!(dispatcher.pick(at(0.0), id, &request), Decision::Queued);
    let due = dispatcher.tick(at(0.0)).due;
    let [(_, Decision::Forward(order))] = due[..] else {
        panic!("{due:?}")
    };
    dispatcher.drain_by(at(3.0));
    let follow_up = dispatcher.report(
        at(3.0),
        id,
        order.attempt,
        AttemptEvent::TimedOut,
        seconds(3.0),
        false,
    );
    assert!(
        matches!(follow_up, FollowUp::Reject { .. }),
        "{follow_up:?}"
    );
    assert_eq!(
        dispatcher.pick(at(3.0), id, &request),
        Decision::Queued,
        "a finished statement has to be forgotten"
    );
}
