//! Keeps the open statements and the queue, and calls the policy for each decision.

use std::collections::{BTreeMap, BTreeSet};

use admission::interface::{
    Attempt, AttemptEvent, AttemptNumber, AttemptReport, AttemptState, EndpointUpdate,
    EngineHealth, EngineId, EngineView, Forecast, LoadReport, NextStep, OutlierReport, Placement,
    QueuePosition, QuotaGrant, Statement, StatementId, TimeDelta, Timestamp, Wakeup,
};
use admission::policy::Policy;

use crate::decision::{AttemptOrder, Decision, FollowUp, StatementRequest, Tick};

/// A statement that lacks its final answer or has an attempt in flight.
struct OpenStatement {
    statement: Statement,
    /// Whether the statement has its final answer, or its client no longer waits for one.
    answered: bool,
    /// The priority that the last attempt carried, or `None` if no attempt carried one.
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

/// The open statements and the queue of one gateway. Dispatchers share no state.
pub struct Dispatcher {
    policy: Policy,
    /// A statement stays here until it has its final answer and its last attempt has ended.
    statements: BTreeMap<StatementId, OpenStatement>,
    /// The statements that wait in this queue. Those in an upstream queue are not included.
    queue: BTreeSet<QueuePosition>,
    /// When the gateway shuts down, or `None` if no shutdown is planned. It limits the deadlines of
    /// all statements, including those received later.
    drain_deadline: Option<Timestamp>,
}

impl Dispatcher {
    /// Creates a dispatcher without statements that takes its decisions from `policy`.
    pub fn new(policy: Policy) -> Self {
        Dispatcher {
            policy,
            statements: BTreeMap::new(),
            queue: BTreeSet::new(),
            drain_deadline: None,
        }
    }

    /// Accepts a statement and adds it to the queue; a later tick returns the decision on it.
    /// Returns [`Decision::Queued`] without any change if a statement with this number is open
    /// already.
    pub fn pick(
        &mut self,
        now: Timestamp,
        id: StatementId,
        request: &StatementRequest,
    ) -> Decision {
        if !self.open_statement(now, id, request) {
            return Decision::Queued;
        }
        // The first call to `place` only assigns a queue position. `tick` places the queued
        // statements after all reports have been taken in.
        self.place(now, id)
    }

    /// Adds a statement. Returns false if a statement with this number is open already.
    fn open_statement(
        &mut self,
        now: Timestamp,
        id: StatementId,
        request: &StatementRequest,
    ) -> bool {
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

    /// Opens a statement that waits in an upstream queue. The statement gets a queue position but
    /// is not added to this queue. Returns `None` if a statement with this number is open already.
    ///
    /// `borrowed` takes the predicted CPU time and returns whether the statement exceeds its
    /// tenant's share.
    pub fn register(
        &mut self,
        now: Timestamp,
        id: StatementId,
        request: &StatementRequest,
        borrowed: impl FnOnce(TimeDelta) -> bool,
    ) -> Option<(QueuePosition, Forecast)> {
        if !self.open_statement(now, id, request) {
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

    /// Returns the current forecast for an open statement, or `None` if it is not open.
    pub fn forecast(&self, now: Timestamp, id: StatementId) -> Option<Forecast> {
        let open = self.statements.get(&id)?;
        Some(self.policy.forecast(now, &open.statement))
    }

    /// Asks the policy for a decision on a registered statement. [`Decision::Queued`] means that no
    /// engine has capacity now and that the statement stays in the upstream queue. The statement's
    /// waiting time restarts at this call, so that the policy's limit on it never ends a statement
    /// here.
    ///
    /// `borrowed` states whether the statement may use spare capacity only.
    ///
    /// Returns [`Decision::Queued`] without any change if the statement is not open.
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

    /// Ends a statement that has no attempt in flight, because an upstream queue has no capacity
    /// for it or because its client has left.
    ///
    /// `retry_after` is the estimated time until such a statement would be admitted. The policy
    /// limits it to the delays that clients may be given.
    ///
    /// Returns [`Decision::Queued`] without any change if the statement is not open.
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

    /// Returns whether the statement is open.
    pub fn contains(&self, id: StatementId) -> bool {
        self.statements.contains_key(&id)
    }

    /// Returns this gateway's traffic as a multiple of an even share among all gateways. It exceeds
    /// 1 while a peer is absent.
    pub fn traffic_share(&self) -> f64 {
        self.policy.traffic_share()
    }

    /// Returns this gateway's share of the cores of the engines in use.
    pub fn capacity(&self, now: Timestamp) -> f64 {
        self.policy.capacity(now)
    }

    /// Takes in an event of an attempt and returns the action that follows. The event need not end
    /// the attempt. A report on an attempt that has ended already is ignored.
    ///
    /// `latency` is the time since the attempt was sent. `answered` states whether the client has
    /// its final answer.
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
        let follow_up = self.apply_next_step(now, id, next);
        self.close_if_done(id);
        follow_up
    }

    /// Carries out the policy's next step as far as it concerns the queue, and returns the rest to
    /// the caller.
    fn apply_next_step(&mut self, now: Timestamp, id: StatementId, next: NextStep) -> FollowUp {
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

    /// Asks the policy for a decision on every queued statement, earliest deadline first.
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

    /// Returns the positions of the statements in this queue, in queue order.
    pub fn queue_positions(&self) -> Vec<QueuePosition> {
        self.queue.iter().copied().collect()
    }

    /// Ends a tick. `waiting_upstream` is the number of statements that wait in an upstream queue.
    pub fn end_turn(&mut self, now: Timestamp, waiting_upstream: usize) -> Wakeup {
        self.policy
            .end_turn(now, self.queue.len() + waiting_upstream)
    }

    /// Records that the client no longer waits for an answer. Attempts in flight are still
    /// reported.
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

    /// Takes in an update of the list of engines.
    pub fn on_endpoint_update(&mut self, now: Timestamp, update: &EndpointUpdate) {
        self.policy.on_endpoint_update(now, update);
    }

    /// Takes in an engine's report of its load.
    pub fn on_load_report(&mut self, engine: EngineId, report: &LoadReport) {
        self.policy.on_load_report(engine, report);
    }

    /// Takes in reports on engines at which other gateways lost statements.
    pub fn on_outlier_gossip(&mut self, now: Timestamp, reports: &[OutlierReport]) {
        self.policy.on_outlier_gossip(now, reports);
    }

    /// Replaces the grant of what this gateway may still use of the quotas that all gateways share.
    pub fn on_quota(&mut self, grant: QuotaGrant) {
        self.policy.on_quota(grant);
    }

    /// Returns whether this gateway has ejected each engine.
    pub fn health(&self) -> impl Iterator<Item = EngineHealth> {
        self.policy.health()
    }

    /// Returns the policy's view of each engine.
    pub fn engines(&self) -> impl Iterator<Item = EngineView> {
        self.policy.engines()
    }

    /// Prepares the shutdown of the gateway at `deadline`: every statement has to be answered by
    /// then.
    pub fn drain_by(&mut self, deadline: Timestamp) {
        self.drain_deadline = Some(deadline);
        for open in self.statements.values_mut() {
            open.statement.deadline = open.statement.deadline.min(deadline);
        }
    }

    /// Forgets the statement if it has its final answer and no attempt in flight.
    fn close_if_done(&mut self, id: StatementId) {
        let done = |open: &OpenStatement| open.answered && !open.has_attempt_in_flight();
        if self.statements.get(&id).is_some_and(done) {
            self.statements.remove(&id);
        }
    }

    /// Asks the policy for a decision on a statement and adds it to or removes it from the queue.
    /// Returns [`Decision::Queued`] without any change if the statement is not open.
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
            } => return Decision::Forward(self.start_attempt(now, id, attempt, timeout, priority)),
            Placement::Reject { retry_after } => Decision::Reject { retry_after },
            Placement::Fail | Placement::Queue(_) => Decision::Fail,
        };
        open.answered = true;
        self.close_if_done(id);
        decision
    }

    /// Adds the attempt to the statement and returns the instruction to send it.
    fn start_attempt(
        &mut self,
        now: Timestamp,
        id: StatementId,
        attempt: Attempt,
        timeout: Option<TimeDelta>,
        priority: Option<u8>,
    ) -> AttemptOrder {
        let open = self
            .statements
            .get_mut(&id)
            .expect("the statement was just placed");
        let statement = &mut open.statement;
        let number = AttemptNumber(statement.attempts.len() as u16);
        // Only the earlier attempts determine the limit, so it is read before this one is added.
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

/// Returns the state of an attempt after an event.
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
