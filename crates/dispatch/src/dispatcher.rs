//! The facade: open statements, the queue, and the calls that lead to the policy.

use std::collections::{BTreeMap, BTreeSet};

use admission::interface::{
    Attempt, AttemptEvent, AttemptNumber, AttemptReport, AttemptState, EndpointUpdate,
    EngineHealth, EngineId, EngineView, Forecast, LoadReport, NextStep, OutlierReport, Placement,
    QueuePosition, QuotaGrant, Statement, StatementId, TimeDelta, Timestamp, Wakeup,
};
use admission::policy::Policy;

use crate::decision::{AttemptOrder, Decision, FollowUp, StatementRequest, Tick};

/// A statement between its receipt and the end of its last attempt.
struct OpenStatement {
    statement: Statement,
    /// Its final answer is given, or nobody waits for one.
    answered: bool,
    /// The priority that its last attempt carried.
    priority: Option<u8>,
}

impl OpenStatement {
    fn has_attempt_in_flight(&self) -> bool {
        let attempts = &self.statement.attempts;
        attempts
            .iter()
            .any(|attempt| attempt.state == AttemptState::InFlight)
    }
}

/// One gateway's decisions; it shares nothing with another.
pub struct Dispatcher {
    policy: Policy,
    /// Emptied by the final answer and the end of the last attempt.
    statements: BTreeMap<StatementId, OpenStatement>,
    /// Statements that wait here, and not in a queue ahead.
    queue: BTreeSet<QueuePosition>,
    /// The gateway ends then; what is received later is to be answered by then too.
    drain_deadline: Option<Timestamp>,
}

impl Dispatcher {
    /// A dispatcher without statements that asks `policy`.
    pub fn new(policy: Policy) -> Self {
        Dispatcher {
            policy,
            statements: BTreeMap::new(),
            queue: BTreeSet::new(),
            drain_deadline: None,
        }
    }

    /// Takes a statement. One that is open already stays as it is.
    pub fn pick(
        &mut self,
        now: Timestamp,
        id: StatementId,
        request: &StatementRequest,
    ) -> Decision {
        if !self.open(now, id, request) {
            return Decision::Queued;
        }
        // The first call only gives the position; `tick` places what is queued, once all reports are in.
        self.place(now, id)
    }

    /// False where it is open already.
    fn open(&mut self, now: Timestamp, id: StatementId, request: &StatementRequest) -> bool {
        if self.statements.contains_key(&id) {
            return false;
        }
        let deadline = now + request.budget;
        let statement = Statement {
            id,
            class: request.class,
            tenant: request.tenant,
            group: request.group,
            estimate: request.estimate,
            memory_mb: request.memory_mb,
            key: request.key,
            has_idempotency_key: request.has_idempotency_key,
            borrowed: false,
            received: now,
            deadline: self
                .drain_deadline
                .map_or(deadline, |drain| drain.min(deadline)),
            waiting_since: now,
            queue_position: None,
            attempts: Vec::new(),
        };
        let open = OpenStatement {
            statement,
            answered: false,
            priority: None,
        };
        self.statements.insert(id, open);
        true
    }

    /// Opens a statement that waits in a queue ahead of this one: it gets its position, but waits in no queue here.
    /// None: it is open already.
    ///
    /// `borrowed` tells whether a statement of this predicted CPU comes beyond its tenant's share.
    pub fn register(
        &mut self,
        now: Timestamp,
        id: StatementId,
        request: &StatementRequest,
        borrowed: impl FnOnce(TimeDelta) -> bool,
    ) -> Option<(QueuePosition, Forecast)> {
        if !self.open(now, id, request) {
            return None;
        }
        let statement = &mut self.statements.get_mut(&id)?.statement;
        statement.borrowed = borrowed(self.policy.forecast(now, statement).cpu);
        self.place(now, id);
        let statement = &self.statements.get(&id)?.statement;
        let position = statement.queue_position?;
        self.queue.remove(&position);
        Some((position, self.policy.forecast(now, statement)))
    }

    /// What an open statement would take by now.
    pub fn forecast(&self, now: Timestamp, id: StatementId) -> Option<Forecast> {
        let open = self.statements.get(&id)?;
        Some(self.policy.forecast(now, &open.statement))
    }

    /// Places a registered statement. [`Decision::Queued`]: there is no capacity for it now, and it waits on in the
    /// queue ahead. An offer lasts an instant, so the policy's longest wait, which counts from it, never ends one.
    ///
    /// `borrowed`: only spare capacity is for it.
    pub fn offer(&mut self, now: Timestamp, id: StatementId, borrowed: bool) -> Decision {
        let Some(open) = self.statements.get_mut(&id) else {
            return Decision::Queued;
        };
        open.statement.waiting_since = now;
        let position = open.statement.queue_position.map(|position| QueuePosition {
            over_quota: borrowed,
            ..position
        });
        open.statement.queue_position = position;
        let decision = self.place(now, id);
        if decision == Decision::Queued
            && let Some(position) = position
        {
            self.queue.remove(&position);
        }
        decision
    }

    /// Ends a statement that has nothing in flight: a queue ahead has no capacity for it, or its client has left.
    ///
    /// `retry_after`: about so long until it would be kept; the policy cuts it to what clients may be told.
    pub fn reject(&mut self, now: Timestamp, id: StatementId, retry_after: TimeDelta) -> Decision {
        let Some(open) = self.statements.get_mut(&id) else {
            return Decision::Queued;
        };
        if let Some(position) = open.statement.queue_position {
            self.queue.remove(&position);
        }
        let placement = self.policy.reject(now, &open.statement, retry_after);
        open.answered = true;
        self.close_if_done(id);
        match placement {
            Placement::Reject { retry_after } => Decision::Reject { retry_after },
            Placement::Send { .. } | Placement::Queue(_) | Placement::Fail => Decision::Fail,
        }
    }

    /// Whether a statement is open.
    pub fn contains(&self, id: StatementId) -> bool {
        self.statements.contains_key(&id)
    }

    /// What this gateway carries, in even shares of all gateways' traffic; more than one where a peer is away.
    pub fn traffic_share(&self) -> f64 {
        self.policy.traffic_share()
    }

    /// Cores of the engines in use, as this gateway's share.
    pub fn capacity(&self, now: Timestamp) -> f64 {
        self.policy.capacity(now)
    }

    /// What happened to an attempt, whether it ended by that or not. `answered`: the client has its answer.
    pub fn report(
        &mut self,
        now: Timestamp,
        id: StatementId,
        number: AttemptNumber,
        event: AttemptEvent,
        latency: TimeDelta,
        answered: bool,
    ) -> FollowUp {
        let Some(open) = self.statements.get_mut(&id) else {
            return FollowUp::None;
        };
        let Some(attempt) = open.statement.attempts.get_mut(usize::from(number.0)) else {
            return FollowUp::None;
        };
        if attempt.state != AttemptState::InFlight {
            return FollowUp::None;
        }
        attempt.state = state_after(event);
        let report = AttemptReport {
            attempt: number,
            event,
            latency,
            answered: answered || open.answered,
        };
        let next = self.policy.on_attempt_report(now, &open.statement, &report);
        let follow_up = self.follow(now, id, next);
        self.close_if_done(id);
        follow_up
    }

    fn follow(&mut self, now: Timestamp, id: StatementId, next: NextStep) -> FollowUp {
        let Some(open) = self.statements.get_mut(&id) else {
            return FollowUp::None;
        };
        open.answered |= matches!(
            next,
            NextStep::Done | NextStep::Reject { .. } | NextStep::Fail
        );
        match next {
            NextStep::Continue | NextStep::Done => FollowUp::None,
            NextStep::Cancel(attempt) => FollowUp::Cancel(attempt),
            NextStep::Requeue => {
                open.statement.waiting_since = now;
                self.queue.extend(open.statement.queue_position);
                FollowUp::None
            }
            NextStep::Reject { retry_after } => FollowUp::Reject { retry_after },
            NextStep::Fail => FollowUp::Fail,
        }
    }

    /// Places all that is queued, the earliest deadline first.
    pub fn tick(&mut self, now: Timestamp) -> Tick {
        let mut due = Vec::new();
        for position in self.queue_positions() {
            let decision = self.place(now, position.id);
            if decision != Decision::Queued {
                due.push((position.id, decision));
            }
        }
        let Wakeup {
            wait,
            probe,
            discovery,
        } = self.end_turn(now, 0);
        Tick {
            due,
            probe,
            discovery,
            wait,
        }
    }

    /// All that waits here, in the order of the queue.
    pub fn queue_positions(&self) -> Vec<QueuePosition> {
        self.queue.iter().copied().collect()
    }

    /// The end of a tick, with so many more statements that wait in a queue ahead.
    pub fn end_turn(&mut self, now: Timestamp, waiting_ahead: usize) -> Wakeup {
        self.policy.end_turn(now, self.queue.len() + waiting_ahead)
    }

    /// The client no longer waits: no answer is owed, attempts in flight still report.
    pub fn client_left(&mut self, id: StatementId) {
        let Some(open) = self.statements.get_mut(&id) else {
            return;
        };
        open.answered = true;
        self.policy.on_statement_over(&open.statement);
        if let Some(position) = open.statement.queue_position {
            self.queue.remove(&position);
        }
        self.close_if_done(id);
    }

    /// What discovery says of the list of engines.
    pub fn on_endpoint_update(&mut self, now: Timestamp, update: &EndpointUpdate) {
        self.policy.on_endpoint_update(now, update);
    }

    /// What an engine says of its load.
    pub fn on_load_report(&mut self, engine: EngineId, report: &LoadReport) {
        self.policy.on_load_report(engine, report);
    }

    /// Engines that other gateways lost statements to.
    pub fn on_outlier_gossip(&mut self, now: Timestamp, reports: &[OutlierReport]) {
        self.policy.on_outlier_gossip(now, reports);
    }

    /// What this gateway may still use of quotas that all gateways share.
    pub fn on_quota(&mut self, grant: QuotaGrant) {
        self.policy.on_quota(grant);
    }

    /// Whether each engine is ejected here.
    pub fn health(&self) -> impl Iterator<Item = EngineHealth> {
        self.policy.health()
    }

    /// Each engine as the decisions see it.
    pub fn engines(&self) -> impl Iterator<Item = EngineView> {
        self.policy.engines()
    }

    /// The gateway ends: what is open is to be answered by then.
    pub fn drain_by(&mut self, deadline: Timestamp) {
        self.drain_deadline = Some(deadline);
        for open in self.statements.values_mut() {
            open.statement.deadline = open.statement.deadline.min(deadline);
        }
    }

    /// A statement is dropped once it is answered and its last attempt has an outcome.
    fn close_if_done(&mut self, id: StatementId) {
        let done = |open: &OpenStatement| open.answered && !open.has_attempt_in_flight();
        if self.statements.get(&id).is_some_and(done) {
            self.statements.remove(&id);
        }
    }

    /// Places one that waits in the queue.
    pub fn place(&mut self, now: Timestamp, id: StatementId) -> Decision {
        let Some(open) = self.statements.get_mut(&id) else {
            return Decision::Queued;
        };
        let placement = self.policy.place(now, &open.statement);
        if let Placement::Queue(position) = placement {
            open.statement.queue_position = Some(position);
            self.queue.insert(position);
            return Decision::Queued;
        }
        if let Some(position) = open.statement.queue_position {
            self.queue.remove(&position);
        }
        let decision = match placement {
            Placement::Send {
                attempt,
                timeout,
                priority,
            } => return Decision::Forward(self.start(now, id, attempt, timeout, priority)),
            Placement::Reject { retry_after } => Decision::Reject { retry_after },
            Placement::Fail | Placement::Queue(_) => Decision::Fail,
        };
        open.answered = true;
        self.close_if_done(id);
        decision
    }

    fn start(
        &mut self,
        now: Timestamp,
        id: StatementId,
        attempt: Attempt,
        timeout: Option<TimeDelta>,
        priority: Option<u8>,
    ) -> AttemptOrder {
        let open = self.statements.get_mut(&id).expect("placed just now");
        let statement = &mut open.statement;
        let number = AttemptNumber(statement.attempts.len() as u16);
        // Told by the attempts before this one.
        let send_by = self.policy.repeat_until(statement);
        let is_retry = !statement.attempts.is_empty();
        let priority_changed = priority.is_some() && priority != open.priority;
        open.priority = priority.or(open.priority);
        statement.attempts.push(attempt);
        AttemptOrder {
            attempt: number,
            engine: attempt.engine,
            timeout,
            due: timeout.map_or(statement.deadline, |timeout| {
                statement.deadline.min(now + timeout)
            }),
            priority,
            priority_changed,
            send_by,
            charge: attempt.charge,
            is_retry,
            outlier_probe: attempt.outlier_probe,
        }
    }
}

/// What is known of an attempt in flight after an event.
fn state_after(event: AttemptEvent) -> AttemptState {
    match event {
        AttemptEvent::Progress(_) | AttemptEvent::Stalled | AttemptEvent::Streaming => {
            AttemptState::InFlight
        }
        AttemptEvent::Rejected
        | AttemptEvent::Unreachable
        | AttemptEvent::NeverSent
        | AttemptEvent::Withdrawn => AttemptState::NeverRan,
        AttemptEvent::Completed { .. }
        | AttemptEvent::Error
        | AttemptEvent::TimedOut
        | AttemptEvent::Reset
        | AttemptEvent::Cancelled => AttemptState::MayHaveRun,
    }
}
