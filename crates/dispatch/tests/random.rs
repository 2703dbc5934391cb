//! Random days through the facade. After every step: one attempt out a statement, one final answer each and in
//! time, nothing after it, no attempt to an engine told draining or gone, none beyond what effects allow.

use std::collections::BTreeMap;

use admission::interface::*;
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
        idle: None,
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
    out: Option<AttemptOrder>,
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
        let pick = self.dispatch.pick(self.at(), id, &request);
        self.picked(id, pick);
    }

    fn picked(&mut self, id: StatementId, pick: Decision) {
        let seen = self.seen.get_mut(&id).expect("never taken");
        match pick {
            Decision::Queued => {}
            Decision::Forward(order) => {
                assert!(
                    !seen.answered && seen.out.is_none(),
                    "{id:?}: a second relay out, or one after the end"
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
                assert_eq!(order.leave_by, until.map(Timestamp::from_secs), "{id:?}");
                assert_eq!(usize::from(order.attempt.0), seen.attempts);
                assert!(order.due <= Timestamp::from_secs(seen.deadline));
                seen.attempts += 1;
                seen.sent = self.now;
                assert!(seen.attempts <= MOST);
                seen.out = Some(order);
            }
            Decision::Reject { .. } => self.answered(id, true),
            Decision::Fail => self.answered(id, false),
        }
    }

    fn answered(&mut self, id: StatementId, denied: bool) {
        let seen = self.seen.get_mut(&id).expect("never taken");
        assert!(!seen.answered, "{id:?}: answered twice");
        assert!(seen.out.is_none(), "{id:?}: answered with a relay out");
        assert!(
            self.now <= seen.deadline + STEP_S + 1e-6,
            "{id:?}: late by {}",
            self.now - seen.deadline
        );
        let never = seen.may_have_run && seen.never_twice();
        assert!(!(denied && never), "{id:?}: denied though it may have run");
        seen.answered = true;
    }

    fn report(&mut self, id: StatementId, attempt: AttemptNumber, event: AttemptEvent) {
        let seen = self.seen.get_mut(&id).expect("never taken");
        let note = matches!(event, AttemptEvent::Progress(_) | AttemptEvent::Stalled);
        let completed = matches!(event, AttemptEvent::Completed { .. });
        let never = matches!(
            event,
            AttemptEvent::Rejected
                | AttemptEvent::NeverSent
                | AttemptEvent::Unreachable
                | AttemptEvent::Withdrawn
        );
        if !note {
            let sent = seen.out.take().map(|_| seen.sent);
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
        let out = self
            .seen
            .iter()
            .filter_map(|(id, seen)| Some((*id, seen.out?)));
        for (id, order) in out.collect::<Vec<_>>() {
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
                _ => continue,
            };
            self.report(id, order.attempt, event);
            if self.rng.random_bool(0.1) {
                // An outcome of what is over changes nothing.
                let again = self.dispatch.report(
                    self.at(),
                    id,
                    order.attempt,
                    AttemptEvent::Error,
                    span(0.1),
                    false,
                );
                assert!(again == FollowUp::None || self.seen[&id].out.is_some());
                if self.seen[&id]
                    .out
                    .is_some_and(|out| out.attempt == order.attempt)
                {
                    let seen = self.seen.get_mut(&id).expect("taken");
                    (seen.out, seen.may_have_run) = (None, true);
                    seen.first_sent = seen.first_sent.or(Some(seen.sent));
                    match again {
                        FollowUp::Reject { .. } => self.answered(id, true),
                        FollowUp::Fail => self.answered(id, false),
                        _ => {}
                    }
                }
            }
        }
        for _ in 0..self.rng.random_range(0..4) {
            self.take();
        }
        if self.rng.random_bool(0.05) {
            let of = self.rng.random_range(1..=ENGINES);
            let stage = [
                EngineStage::Ready,
                EngineStage::Ready,
                EngineStage::Draining,
                EngineStage::Removed,
            ][self.rng.random_range(0..4)];
            self.stages.insert(of, stage);
            self.dispatch
                .on_endpoint_update(self.at(), &EndpointUpdate::Events(vec![engine(of, stage)]));
        }
        let waiting = self
            .seen
            .iter()
            .rfind(|(_, seen)| !seen.answered)
            .map(|(id, _)| *id);
        if let Some(id) = waiting.filter(|_| self.rng.random_bool(0.03)) {
            self.dispatch.client_left(id);
            // No answer is owed; one that still came would be the second.
            self.seen.get_mut(&id).expect("taken").answered = true;
        }
        // Clients leave while they wait, with nothing out: one answer then, and nothing sent after it.
        let waits = |seen: &Seen| !seen.answered && seen.out.is_none();
        let waiting = self
            .seen
            .iter()
            .rfind(|(_, seen)| waits(seen))
            .map(|(id, _)| *id);
        if let Some(id) = waiting.filter(|_| self.rng.random_bool(0.05)) {
            let pick = self.dispatch.reject(self.at(), id, span(1.0));
            assert!(
                matches!(pick, Decision::Reject { .. } | Decision::Fail),
                "{id:?}: {pick:?}"
            );
            self.picked(id, pick);
        }
        let tick = self.dispatch.tick(self.at());
        assert!(tick.wait > TimeDelta::ZERO);
        for (id, pick) in tick.due {
            assert_ne!(pick, Decision::Queued);
            self.picked(id, pick);
        }
        let mut out = BTreeMap::new();
        let engines = self.seen.values().filter_map(|seen| Some(seen.out?.engine));
        engines.for_each(|engine| *out.entry(engine).or_insert(0) += 1);
        let held = self
            .dispatch
            .engines()
            .filter(|engine| engine.in_flight > 0)
            .map(|engine| (engine.id, engine.in_flight));
        assert_eq!(
            held.collect::<BTreeMap<_, u32>>(),
            out,
            "relays out, as held and as they are"
        );
        let overdue = |seen: &&Seen| !seen.answered && seen.deadline + STEP_S < self.now - 1e-6;
        assert!(
            self.seen.values().find(overdue).is_none(),
            "an answer is overdue"
        );
        self.seen
            .retain(|_, seen| !seen.answered || seen.out.is_some());
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
            .for_each(|seen| seen.out.iter_mut().for_each(cut));
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
    let verdict = day.report(
        at(3.0),
        id,
        order.attempt,
        AttemptEvent::TimedOut,
        span(3.0),
        false,
    );
    assert!(matches!(verdict, FollowUp::Reject { .. }), "{verdict:?}");
    assert_eq!(
        day.pick(at(3.0), id, &request),
        Decision::Queued,
        "a statement that is over is forgotten"
    );
}
