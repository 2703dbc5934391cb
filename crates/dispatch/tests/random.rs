//! Random days through the facade. After every step: one attempt in flight a statement, one final answer each and in
//! time, nothing after it, no attempt to an engine told draining or gone, none beyond what effects allow.

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
const MOST: usize = 4;
const WINDOW_S: f64 = 1.0;

fn span(secs: f64) -> TimeDelta {
    TimeDelta::from_secs(secs)
}

fn class(effect: Effect) -> QueryClass {
    QueryClass {
        effect,
        priority_weight: 1.0,
        late_priority_weight: 0.2,
        latency_objective: span(0.5),
        latency_objective_stretch: 2.0,
        time_limit: span(2.0),
        threads: 1.0,
        ordered_by_key: false,
        locations: None,
        machines: None,
    }
}

fn effects() -> [Effect; 3] {
    let scope = DeduplicationScope::All;
    [
        Effect::Idempotent,
        Effect::IdempotentByKey {
            scope,
            window: span(WINDOW_S),
        },
        Effect::NonIdempotent,
    ]
}

fn dispatch(seed: u64) -> Dispatcher {
    let (cores, memory_mb) = (vec![8.0], vec![1000.0]);
    let fleet = FleetConfig {
        peers: 1.0,
        cores,
        memory_mb,
        progress_interval: Some(span(0.5)),
        priorities_honored: true,
        idle_timeout: None,
    };
    let max_retry_after = Some(span(0.5));
    let retry_policy = RetryPolicy {
        max_attempts: MOST,
        can_cancel: true,
        max_retry_after,
        order_settle: TimeDelta::ZERO,
        retry_budget: None,
    };
    let discovery = DiscoveryMode {
        on_request: false,
        request_within: span(10.0),
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

/// What the checks keep of a statement by themselves.
#[derive(Default)]
struct Seen {
    effect: usize,
    deadline: f64,
    in_flight: Option<AttemptOrder>,
    sent: f64,
    attempts: usize,
    may_have_run: bool,
    /// Of the first that may have run.
    first_sent: Option<f64>,
    has_idempotency_key: bool,
    answered: bool,
}

impl Seen {
    /// Nothing drops its repeats: it may not run twice.
    fn never_twice(&self) -> bool {
        match effects()[self.effect] {
            Effect::Idempotent => false,
            Effect::IdempotentByKey { .. } => !self.has_idempotency_key,
            Effect::NonIdempotent => true,
        }
    }
}

struct Day {
    dispatch: Dispatcher,
    rng: Pcg64Mcg,
    now: f64,
    next: u64,
    seen: BTreeMap<StatementId, Seen>,
    stages: BTreeMap<u32, EngineStage>,
    /// The gateway ends then.
    drain_deadline: f64,
}

impl Day {
    fn at(&self) -> Timestamp {
        Timestamp::from_secs(self.now)
    }

    fn take(&mut self) {
        let (id, effect, budget) = (
            StatementId(self.next),
            self.rng.random_range(0..3usize),
            self.rng.random_range(0.05..2.0),
        );
        self.next += 1;
        let request = StatementRequest {
            class: ClassId(effect),
            tenant: TenantId(0),
            group: TableGroupId(self.rng.random_range(0..4)),
            estimate: Some(span(self.rng.random_range(0.01..0.5))),
            memory_mb: 10.0,
            key: None,
            has_idempotency_key: self.rng.random_bool(0.8),
            budget: span(budget),
        };
        let (deadline, has_idempotency_key) = (
            (self.now + budget).min(self.drain_deadline),
            request.has_idempotency_key,
        );
        self.seen.insert(
            id,
            Seen {
                effect,
                deadline,
                has_idempotency_key,
                ..Seen::default()
            },
        );
        let decision = self.dispatch.pick(self.at(), id, &request);
        self.decided(id, decision);
    }

    fn decided(&mut self, id: StatementId, decision: Decision) {
        let seen = self.seen.get_mut(&id).expect("never taken");
        match decision {
            Decision::Queued => {}
            Decision::Forward(order) => {
                assert!(
                    !seen.answered && seen.in_flight.is_none(),
                    "{id:?}: a second attempt in flight, or one after the end"
                );
                assert_eq!(
                    self.stages[&order.engine.0],
                    EngineStage::Ready,
                    "{id:?}: sent to {:?}",
                    order.engine
                );
                assert!(!(seen.may_have_run && seen.never_twice()));
                // A repeat stays within the window, and says until when it may leave.
                let window = matches!(effects()[seen.effect], Effect::IdempotentByKey { .. })
                    && seen.has_idempotency_key;
                let until = seen
                    .first_sent
                    .filter(|_| window)
                    .map(|sent| sent + WINDOW_S);
                assert!(
                    until.is_none_or(|until| self.now < until),
                    "{id:?}: past its window"
                );
                assert_eq!(order.send_by, until.map(Timestamp::from_secs), "{id:?}");
                assert_eq!(usize::from(order.attempt.0), seen.attempts);
                assert!(order.due <= Timestamp::from_secs(seen.deadline));
                seen.attempts += 1;
                seen.sent = self.now;
                assert!(seen.attempts <= MOST);
                seen.in_flight = Some(order);
            }
            Decision::Reject { .. } => self.answered(id, true),
            Decision::Fail => self.answered(id, false),
        }
    }

    fn answered(&mut self, id: StatementId, rejected: bool) {
        let seen = self.seen.get_mut(&id).expect("never taken");
        assert!(!seen.answered, "{id:?}: answered twice");
        assert!(
            seen.in_flight.is_none(),
            "{id:?}: answered with an attempt in flight"
        );
        assert!(
            self.now <= seen.deadline + STEP_S + 1e-6,
            "{id:?}: late by {}",
            self.now - seen.deadline
        );
        let never = seen.may_have_run && seen.never_twice();
        assert!(
            !(rejected && never),
            "{id:?}: rejected though it may have run"
        );
        seen.answered = true;
    }

    fn report(&mut self, id: StatementId, attempt: AttemptNumber, event: AttemptEvent) {
        let seen = self.seen.get_mut(&id).expect("never taken");
        let still_in_flight = matches!(event, AttemptEvent::Progress(_) | AttemptEvent::Stalled);
        let completed = matches!(event, AttemptEvent::Completed { .. });
        let never = matches!(
            event,
            AttemptEvent::Rejected
                | AttemptEvent::NeverSent
                | AttemptEvent::Unreachable
                | AttemptEvent::Withdrawn
        );
        if !still_in_flight {
            let sent = seen.in_flight.take().map(|_| seen.sent);
            seen.may_have_run |= !never;
            seen.first_sent = seen.first_sent.or(sent.filter(|_| !never));
        }
        let answered = completed && !seen.answered;
        if answered {
            self.answered(id, false);
        }
        match self
            .dispatch
            .report(self.at(), id, attempt, event, span(0.1), completed)
        {
            FollowUp::None => {}
            FollowUp::Cancel(attempt) => self.report(id, attempt, AttemptEvent::Cancelled),
            FollowUp::Reject { .. } => self.answered(id, true),
            FollowUp::Fail => self.answered(id, false),
        }
    }

    fn step(&mut self) {
        self.now += STEP_S;
        self.end_some_attempts();
        for _ in 0..self.rng.random_range(0..4) {
            self.take();
        }
        self.change_an_engine();
        self.let_a_client_leave();
        self.reject_one_that_waits();
        let tick = self.dispatch.tick(self.at());
        assert!(tick.wait > TimeDelta::ZERO);
        for (id, decision) in tick.due {
            assert_ne!(decision, Decision::Queued);
            self.decided(id, decision);
        }
        self.check_attempts_in_flight();
        self.check_deadlines();
        self.seen
            .retain(|_, seen| !seen.answered || seen.in_flight.is_some());
    }

    fn end_some_attempts(&mut self) {
        let in_flight = self
            .seen
            .iter()
            .filter_map(|(id, seen)| Some((*id, seen.in_flight?)));
        for (id, order) in in_flight.collect::<Vec<_>>() {
            let Some(event) = self.draw_event(&order) else {
                continue;
            };
            self.report(id, order.attempt, event);
            if self.rng.random_bool(0.1) {
                self.report_once_more(id, order.attempt);
            }
        }
    }

    fn draw_event(&mut self, order: &AttemptOrder) -> Option<AttemptEvent> {
        let event = match self.rng.random_range(0..40) {
            _ if order.due <= self.at() => AttemptEvent::TimedOut,
            0..8 => AttemptEvent::Completed {
                cpu: Some(span(0.05)),
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

    /// An outcome of an attempt that has one already changes nothing.
    fn report_once_more(&mut self, id: StatementId, attempt: AttemptNumber) {
        let event = AttemptEvent::Error;
        let follow_up = self
            .dispatch
            .report(self.at(), id, attempt, event, span(0.1), false);
        assert!(follow_up == FollowUp::None || self.seen[&id].in_flight.is_some());
        let seen = self.seen.get_mut(&id).expect("taken");
        if seen.in_flight.is_none_or(|order| order.attempt != attempt) {
            return;
        }
        seen.in_flight = None;
        seen.may_have_run = true;
        seen.first_sent = seen.first_sent.or(Some(seen.sent));
        match follow_up {
            FollowUp::Reject { .. } => self.answered(id, true),
            FollowUp::Fail => self.answered(id, false),
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
        self.dispatch.on_endpoint_update(self.at(), &update);
    }

    fn last_of(&self, of: impl Fn(&Seen) -> bool) -> Option<StatementId> {
        let found = self.seen.iter().rfind(|(_, seen)| of(seen));
        found.map(|(id, _)| *id)
    }

    fn let_a_client_leave(&mut self) {
        let open = self.last_of(|seen| !seen.answered);
        if let Some(id) = open.filter(|_| self.rng.random_bool(0.03)) {
            self.dispatch.client_left(id);
            // No answer is owed; one that still came would be the second.
            self.seen.get_mut(&id).expect("taken").answered = true;
        }
    }

    /// Clients leave while they wait, with nothing in flight: one answer then, and nothing sent after it.
    fn reject_one_that_waits(&mut self) {
        let waiting = self.last_of(|seen| !seen.answered && seen.in_flight.is_none());
        if let Some(id) = waiting.filter(|_| self.rng.random_bool(0.05)) {
            let decision = self.dispatch.reject(self.at(), id, span(1.0));
            assert!(
                matches!(decision, Decision::Reject { .. } | Decision::Fail),
                "{id:?}: {decision:?}"
            );
            self.decided(id, decision);
        }
    }

    fn check_attempts_in_flight(&self) {
        let mut sent = BTreeMap::new();
        let engines = self.seen.values();
        for engine in engines.filter_map(|seen| Some(seen.in_flight?.engine)) {
            *sent.entry(engine).or_insert(0) += 1;
        }
        let believed: BTreeMap<EngineId, u32> = self
            .dispatch
            .engines()
            .filter(|engine| engine.in_flight > 0)
            .map(|engine| (engine.id, engine.in_flight))
            .collect();
        assert_eq!(
            believed, sent,
            "attempts in flight, as believed and as they are"
        );
    }

    fn check_deadlines(&self) {
        let overdue = |seen: &&Seen| !seen.answered && seen.deadline + STEP_S < self.now - 1e-6;
        assert!(
            self.seen.values().find(overdue).is_none(),
            "an answer is overdue"
        );
    }
}

#[test]
fn random_days_keep_the_rules() {
    fn day(seed: u64) -> bool {
        let mut day = Day {
            dispatch: dispatch(seed),
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: 100.0,
            next: 0,
            seen: BTreeMap::new(),
            stages: (1..=ENGINES).map(|id| (id, EngineStage::Ready)).collect(),
            drain_deadline: f64::INFINITY,
        };
        let list = (1..=ENGINES)
            .map(|id| engine(id, EngineStage::Ready))
            .collect();
        day.dispatch
            .on_endpoint_update(day.at(), &EndpointUpdate::Snapshot(list));
        (0..600).for_each(|_| day.step());
        // It ends: what is in hand and what still comes is answered by then.
        day.drain_deadline = day.now + 0.5;
        day.dispatch
            .drain_by(Timestamp::from_secs(day.drain_deadline));
        let by = day.drain_deadline;
        day.seen
            .values_mut()
            .for_each(|seen| seen.deadline = seen.deadline.min(by));
        let cut = |order: &mut AttemptOrder| order.due = order.due.min(Timestamp::from_secs(by));
        day.seen
            .values_mut()
            .for_each(|seen| seen.in_flight.iter_mut().for_each(cut));
        (0..25).for_each(|_| day.step());
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 5))
        .tests(40)
        .quickcheck(day as fn(u64) -> bool);
}

#[test]
fn a_shortened_day_answers_all_by_its_end() {
    let mut day = dispatch(7);
    let at = Timestamp::from_secs;
    day.on_endpoint_update(
        at(0.0),
        &EndpointUpdate::Snapshot(vec![engine(1, EngineStage::Ready)]),
    );
    let request = StatementRequest {
        class: ClassId(0),
        tenant: TenantId(0),
        group: TableGroupId(0),
        estimate: Some(span(0.1)),
        memory_mb: 0.0,
        key: None,
        has_idempotency_key: true,
        budget: span(60.0),
    };
    let id = StatementId(1);
    assert_eq!(day.pick(at(0.0), id, &request), Decision::Queued);
    let due = day.tick(at(0.0)).due;
    let [(_, Decision::Forward(order))] = due[..] else {
        panic!("{due:?}")
    };
    day.drain_by(at(3.0));
    let follow_up = day.report(
        at(3.0),
        id,
        order.attempt,
        AttemptEvent::TimedOut,
        span(3.0),
        false,
    );
    assert!(
        matches!(follow_up, FollowUp::Reject { .. }),
        "{follow_up:?}"
    );
    assert_eq!(
        day.pick(at(3.0), id, &request),
        Decision::Queued,
        "a statement that is over is forgotten"
    );
}
