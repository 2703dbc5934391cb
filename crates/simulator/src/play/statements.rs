//! Statements at gateways, from a client's request to an answer, a rejection or an error.

use admission::interface::*;
use dispatch::{Decision, StatementRequest};
use rand::RngExt;
use scheduler::{FinishedWait, SubQueueId};

use super::events::Event;
use super::requests::Request;
use super::{Emulation, timestamp};
use crate::figures::WaitEstimate;
use crate::rules::TrackedStatement;

/// A rejection within this time after accepting a statement counts as immediate.
const IMMEDIATE_REJECTION_S: f64 = 0.05;
/// How long a client waits to retry when the rejection names no time.
const DEFAULT_RETRY_AFTER_S: f64 = 0.1;
/// A client does not retry when less than this is left until its deadline.
const MIN_RETRY_TIME_S: f64 = 0.05;

/// A request that a gateway has accepted.
pub(super) struct Statement {
    pub(super) request: usize,
    pub(super) gateway: usize,
    pub(super) accepted_s: f64,
    pub(super) in_flight: Option<Attempt>,
    pub(super) answered: bool,
}

/// An attempt that was sent to an engine and has no outcome yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) engine: usize,
    pub(super) number: AttemptNumber,
    pub(super) sent_s: f64,
}

impl Emulation<'_> {
    /// Submits a client's request to its gateway, for the first time or as a retry.
    pub(super) fn submit(&mut self, index: usize) {
        let request = self.requests[index].clone();
        if request.tries_left == self.scenario.client_tries {
            self.measurements
                .record_demand(self.now_s, request.tenant, request.cpu_s);
        }
        self.requests[index].tries_left -= 1;
        let gateway = self.serving_gateway(request.gateway);
        let id = self.accept(index, gateway);
        let statement_request = self.statement_request(&request);
        let decision = self.gateways[gateway].front.pick(
            timestamp(self.now_s),
            id,
            request.queue,
            &statement_request,
        );
        if decision == Decision::Queued {
            self.record_baseline_estimates(gateway, id, request.queue, request.class);
        }
        self.apply_decision(id, decision);
        self.wake_gateway(gateway, self.now_s);
    }

    /// Records a request as a new statement of this gateway.
    fn accept(&mut self, index: usize, gateway: usize) -> StatementId {
        let request = &self.requests[index];
        let class = self.classes[request.class].settings;
        let id = StatementId(self.statements.len() as u64);
        let tracked = TrackedStatement::new(
            gateway,
            request.deadline_s,
            class.unrepeatable,
            request.order_key,
            class.zone,
        );
        self.statements.push(Statement {
            request: index,
            gateway,
            accepted_s: self.now_s,
            in_flight: None,
            answered: false,
        });
        self.measurements.figures.statements += 1;
        self.rules.statement_accepted(self.now_s, id.0, tracked);
        id
    }

    /// What a gateway knows of a request.
    fn statement_request(&self, request: &Request) -> StatementRequest {
        StatementRequest {
            class: ClassId(request.class),
            tenant: TenantId(request.tenant),
            group: TableGroupId(request.table_group),
            estimate: Some(TimeDelta::from_secs(request.estimate_s)),
            memory_mb: self.classes[request.class].settings.memory_mb,
            key: request.order_key.map(OrderKey),
            has_idempotency_key: true,
            budget: TimeDelta::from_secs(request.deadline_s - self.now_s),
        }
    }

    /// Records the baseline estimates of a statement that has to wait.
    fn record_baseline_estimates(
        &mut self,
        gateway: usize,
        id: StatementId,
        queue: SubQueueId,
        class: usize,
    ) {
        let gateway = &mut self.gateways[gateway];
        let Some(scheduler) = gateway.front.scheduler() else {
            return;
        };
        let Some(status) = scheduler.statement_status(timestamp(self.now_s), id) else {
            return;
        };
        let history = gateway
            .wait_history
            .get(&(queue.0, class))
            .copied()
            .unwrap_or_default();
        self.baseline_estimates
            .insert(id, history.estimates(status.ahead));
    }

    /// Runs a gateway's tick and applies the decisions on the statements that are due.
    pub(super) fn tick_gateway(&mut self, gateway: usize) {
        let now = timestamp(self.now_s);
        let ticked = &mut self.gateways[gateway];
        ticked.next_tick_s = f64::INFINITY;
        let tick = ticked.front.tick(now);
        let waits = ticked.front.waits().to_vec();
        for wait in &waits {
            self.record_wait(gateway, wait);
        }
        if let Some(scheduler) = self.gateways[gateway].front.scheduler() {
            self.measurements
                .record_overtaken(scheduler.longest_passed_over().secs());
        }
        for (id, decision) in tick.due {
            self.apply_decision(id, decision);
        }
        self.wake_gateway(gateway, self.now_s + tick.wait.secs());
    }

    /// Records a finished wait with its estimates.
    fn record_wait(&mut self, gateway: usize, wait: &FinishedWait) {
        let (queue, class) = (wait.sub_queue.0, wait.class.0);
        let actual_s = wait.actual.secs();
        self.measurements.estimates.push(WaitEstimate {
            at: self.now_s,
            gateway,
            sub_queue: queue,
            class,
            median: wait.estimated.median.secs(),
            p90: wait.estimated.p90.secs(),
            actual: actual_s,
            baselines: self.baseline_estimates.remove(&wait.id).unwrap_or_default(),
        });
        let history = self.gateways[gateway]
            .wait_history
            .entry((queue, class))
            .or_default();
        history.record(self.now_s, actual_s);
    }

    fn apply_decision(&mut self, id: StatementId, decision: Decision) {
        match decision {
            Decision::Queued => {}
            Decision::Forward(order) => self.send_attempt(id, order),
            Decision::Reject { retry_after } => self.reject(id, retry_after),
            Decision::Fail => self.fail(id),
        }
    }

    /// Rejects a statement. Its client retries if it has tries and time left.
    pub(super) fn reject(&mut self, id: StatementId, retry_after: Option<TimeDelta>) {
        self.baseline_estimates.remove(&id);
        self.rules.answered(self.now_s, id.0, true);
        let statement = &mut self.statements[id.0 as usize];
        statement.answered = true;
        let immediate = self.now_s - statement.accepted_s <= IMMEDIATE_REJECTION_S;
        self.measurements.figures.denied += 1;
        self.measurements.figures.denied_at_once += u64::from(immediate);
        let jitter = self.rng.random_range(1.0..1.2);
        let retry_s =
            self.now_s + retry_after.map_or(DEFAULT_RETRY_AFTER_S, TimeDelta::secs) * jitter;
        let index = statement.request;
        let request = &self.requests[index];
        if request.tries_left > 0 && retry_s < request.deadline_s - MIN_RETRY_TIME_S {
            self.schedule(retry_s, Event::Request(index));
        }
    }

    /// Answers a statement with an error. Its client does not retry.
    pub(super) fn fail(&mut self, id: StatementId) {
        self.baseline_estimates.remove(&id);
        self.rules.answered(self.now_s, id.0, false);
        self.measurements.figures.scrapped += 1;
        self.statements[id.0 as usize].answered = true;
    }
}
