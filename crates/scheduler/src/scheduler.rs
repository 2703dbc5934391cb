//! The scheduler: `dispatch::Dispatcher` with queues ahead of it, called in the same way.
//!
//! The decision module registers every statement on arrival, so that it sees the whole demand. The
//! statement then waits here and is offered to the module when its turn comes. An offer that finds
//! no capacity is withdrawn at once: this keeps the dispatcher's own queue short, so that its
//! maximum wait never ends a statement. Without queues, every call goes straight to the dispatcher.

use admission::interface::{
    AttemptEvent, AttemptNumber, EndpointUpdate, EngineHealth, EngineId, Forecast, LoadReport,
    OutlierReport, QueuePosition, QuotaGrant, StatementId, TimeDelta, Timestamp, Wakeup,
};
use dispatch::{Decision, Dispatcher, EngineView, FollowUp, StatementRequest, Tick};

use crate::config::{Config, SubQueueId};
use crate::frontier::ResourceNeed;
use crate::metrics::Metrics;
use crate::tenant_queues::{
    EnqueueOutcome, EnqueueRequest, Eviction, StatementStatus, SubQueueStatus, TenantQueues,
};
use crate::tenant_tree::TenantUsage;
use crate::turn::Turn;
use crate::wait_estimate::WaitEstimate;
use crate::waiting::FinishedWait;

/// How far the wait of one statement has progressed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitProgress {
    /// The time the statement has waited so far.
    pub waited: TimeDelta,
    /// The estimated rest of the wait.
    pub remaining: WaitEstimate,
}

/// The scheduling decisions of one gateway, with queues ahead of the dispatcher if they are
/// enabled.
pub struct Scheduler {
    dispatcher: Dispatcher,
    queues: Option<TenantQueues>,
    /// Rejections of evicted statements, which the next tick returns.
    evictions: Vec<(StatementId, Decision)>,
    finished_waits: Vec<FinishedWait>,
    metrics: Metrics,
}

impl Scheduler {
    /// Creates a scheduler around `dispatcher`. With `queues` set to `None`, every call goes
    /// straight to the dispatcher.
    #[must_use]
    pub fn new(dispatcher: Dispatcher, queues: Option<TenantQueues>) -> Self {
        Scheduler {
            dispatcher,
            queues,
            evictions: Vec::new(),
            finished_waits: Vec::new(),
            metrics: Metrics::default(),
        }
    }

    /// Accepts a statement. With queues, the statement is queued or rejected at once; without
    /// queues, this is [`Dispatcher::pick`].
    pub fn pick(
        &mut self,
        now: Timestamp,
        id: StatementId,
        sub_queue: SubQueueId,
        request: &StatementRequest,
    ) -> Decision {
        let Some(queues) = &mut self.queues else {
            return self.dispatcher.pick(now, id, request);
        };
        let borrowed = |cpu: TimeDelta| queues.would_borrow(now, sub_queue, cpu.secs());
        let registered = self.dispatcher.register(now, id, request, borrowed);
        let Some((position, forecast)) = registered else {
            return Decision::Queued;
        };
        let entry = enqueue_request(id, sub_queue, request, position, forecast);
        let result = queues.enqueue(now, &entry);
        self.metrics.received += 1;
        for eviction in result.evicted {
            self.evict(now, eviction);
        }
        match result.outcome {
            EnqueueOutcome::Queued(_) => Decision::Queued,
            EnqueueOutcome::Rejected { retry_after } => {
                self.metrics.rejected_at_entry += 1;
                self.dispatcher.reject(now, id, retry_after)
            }
        }
    }

    fn evict(&mut self, now: Timestamp, eviction: Eviction) {
        self.metrics.evicted += 1;
        let rejection = self
            .dispatcher
            .reject(now, eviction.id, eviction.retry_after);
        self.evictions.push((eviction.id, rejection));
    }

    /// Calls [`Dispatcher::report`] and corrects the charge of the tenant by what the event reveals
    /// about the cost.
    pub fn report(
        &mut self,
        now: Timestamp,
        id: StatementId,
        attempt: AttemptNumber,
        event: AttemptEvent,
        latency: TimeDelta,
        answered: bool,
    ) -> FollowUp {
        let follow_up = self
            .dispatcher
            .report(now, id, attempt, event, latency, answered);
        if let Some(queues) = &mut self.queues {
            queues.settle(now, id, attempt_cpu_s(event));
            if !self.dispatcher.contains(id) {
                queues.close_charge(id);
            }
        }
        follow_up
    }

    /// Offers the waiting statements to the decision module as long as there is capacity.
    pub fn tick(&mut self, now: Timestamp) -> Tick {
        let Some(queues) = &mut self.queues else {
            return self.dispatcher.tick(now);
        };
        self.finished_waits.clear();
        let turn = Turn {
            now,
            dispatcher: &mut self.dispatcher,
            queues: &mut *queues,
            metrics: &mut self.metrics,
            finished_waits: &mut self.finished_waits,
            due: std::mem::take(&mut self.evictions),
        };
        let due = turn.run();
        let Wakeup {
            wait,
            probe,
            discovery,
        } = self.dispatcher.end_turn(now, queues.len());
        Tick {
            due,
            probe,
            discovery,
            wait,
        }
    }

    /// Rejects a statement whose client left while no attempt was in flight. Returns the answer in
    /// case the connection is still read, or [`Decision::Queued`] if the statement is not open.
    pub fn reject_abandoned(
        &mut self,
        now: Timestamp,
        id: StatementId,
        retry_after: TimeDelta,
    ) -> Decision {
        let decision = self.dispatcher.reject(now, id, retry_after);
        self.stop_waiting(now, id);
        if let Some(queues) = &mut self.queues {
            queues.close_charge(id);
        }
        decision
    }

    /// Calls [`Dispatcher::client_left`] and removes the statement from the queues.
    pub fn client_left(&mut self, now: Timestamp, id: StatementId) {
        self.dispatcher.client_left(id);
        self.stop_waiting(now, id);
        if let Some(queues) = &mut self.queues
            && !self.dispatcher.contains(id)
        {
            queues.close_charge(id);
        }
    }

    fn stop_waiting(&mut self, now: Timestamp, id: StatementId) {
        if let Some(queues) = &mut self.queues
            && queues.remove(now, id).is_some()
        {
            self.metrics.client_left += 1;
        }
    }

    /// Calls [`Dispatcher::on_endpoint_update`].
    pub fn on_endpoint_update(&mut self, now: Timestamp, update: &EndpointUpdate) {
        self.dispatcher.on_endpoint_update(now, update);
    }

    /// Calls [`Dispatcher::on_load_report`].
    pub fn on_load_report(&mut self, engine: EngineId, report: &LoadReport) {
        self.dispatcher.on_load_report(engine, report);
    }

    /// Calls [`Dispatcher::on_outlier_gossip`].
    pub fn on_outlier_gossip(&mut self, now: Timestamp, reports: &[OutlierReport]) {
        self.dispatcher.on_outlier_gossip(now, reports);
    }

    /// Calls [`Dispatcher::on_quota`].
    pub fn on_quota(&mut self, grant: QuotaGrant) {
        self.dispatcher.on_quota(grant);
    }

    /// Calls [`Dispatcher::traffic_share`].
    #[must_use]
    pub fn traffic_share(&self) -> f64 {
        self.dispatcher.traffic_share()
    }

    /// Calls [`TenantQueues::set_leased_budgets`]; without queues it does nothing.
    pub fn set_leased_budgets(&mut self, now: Timestamp, budgets: &[Option<f64>]) {
        if let Some(queues) = &mut self.queues {
            queues.set_leased_budgets(now, budgets);
        }
    }

    /// Returns [`TenantQueues::usage`], or an empty list without queues.
    #[must_use]
    pub fn tenant_usage(&self) -> Vec<TenantUsage> {
        match &self.queues {
            Some(queues) => queues.usage().collect(),
            None => Vec::new(),
        }
    }

    /// Calls [`Dispatcher::health`].
    pub fn health(&self) -> impl Iterator<Item = EngineHealth> {
        self.dispatcher.health()
    }

    /// Calls [`Dispatcher::engines`].
    pub fn engines(&self) -> impl Iterator<Item = EngineView> {
        self.dispatcher.engines()
    }

    /// Calls [`Dispatcher::drain_by`] and applies the same deadline to the queues.
    pub fn drain_by(&mut self, deadline: Timestamp) {
        self.dispatcher.drain_by(deadline);
        if let Some(queues) = &mut self.queues {
            queues.drain_by(deadline);
        }
    }

    /// Calls [`TenantQueues::reconfigure`]; without queues it does nothing.
    pub fn reconfigure(&mut self, now: Timestamp, config: Config) {
        if let Some(queues) = &mut self.queues {
            queues.reconfigure(now, config);
        }
    }

    /// Returns a snapshot of the counters.
    #[must_use]
    pub fn metrics(&self) -> Metrics {
        self.metrics
    }

    /// The waits that ended in the last tick, either by a release or by a rejection of the decision
    /// module.
    #[must_use]
    pub fn finished_waits(&self) -> &[FinishedWait] {
        &self.finished_waits
    }

    /// The number of statements that wait in the queues.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queues.as_ref().map_or(0, TenantQueues::len)
    }

    /// Returns [`TenantQueues::longest_passed_over`], or zero without queues.
    #[must_use]
    pub fn longest_passed_over(&self) -> TimeDelta {
        self.queues
            .as_ref()
            .map_or(TimeDelta::ZERO, TenantQueues::longest_passed_over)
    }

    /// Returns [`TenantQueues::sub_queue_status`], or `None` without queues.
    pub fn sub_queue_status(
        &mut self,
        now: Timestamp,
        limit: usize,
    ) -> Option<Vec<SubQueueStatus>> {
        let queues = self.queues.as_mut()?;
        Some(queues.sub_queue_status(now, limit))
    }

    /// Returns [`TenantQueues::statement_status`], or `None` without queues.
    pub fn statement_status(&mut self, now: Timestamp, id: StatementId) -> Option<StatementStatus> {
        self.queues.as_mut()?.statement_status(now, id)
    }

    /// Returns how far the wait of a statement has progressed, or `None` if it does not wait.
    pub fn wait_progress(&mut self, now: Timestamp, id: StatementId) -> Option<WaitProgress> {
        let queues = self.queues.as_mut()?;
        Some(WaitProgress {
            waited: queues.waited(now, id)?,
            remaining: queues.remaining_wait(now, id)?,
        })
    }
}

fn enqueue_request(
    id: StatementId,
    sub_queue: SubQueueId,
    request: &StatementRequest,
    position: QueuePosition,
    forecast: Forecast,
) -> EnqueueRequest {
    EnqueueRequest {
        id,
        sub_queue,
        class: request.class,
        // The queues order statements by deadline alone. Whether the tenant is over its quota is
        // decided at release.
        position: QueuePosition {
            over_quota: false,
            ..position
        },
        need: ResourceNeed {
            cpu: forecast.cpu.secs(),
            memory_mb: forecast.memory_mb,
        },
        objective_until: forecast.objective_until,
        useful_until: forecast.useful_until,
        key: request.key,
    }
}

/// The CPU seconds that an attempt cost: zero if it did not run, and `None` if the event does not
/// reveal the cost.
fn attempt_cpu_s(event: AttemptEvent) -> Option<f64> {
    match event {
        AttemptEvent::Completed { cpu, .. } => cpu.map(TimeDelta::secs),
        AttemptEvent::Rejected
        | AttemptEvent::Unreachable
        | AttemptEvent::NeverSent
        | AttemptEvent::Withdrawn => Some(0.0),
        AttemptEvent::Progress(_)
        | AttemptEvent::Stalled
        | AttemptEvent::Streaming
        | AttemptEvent::Error
        | AttemptEvent::TimedOut
        | AttemptEvent::Reset
        | AttemptEvent::Cancelled => None,
    }
}
