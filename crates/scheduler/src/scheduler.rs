//! The scheduler: `dispatch::Dispatcher` with queues ahead of it, called as the dispatcher is.
//!
//! The decision module takes a statement when it comes, so that it sees all demand; the statement waits here, and is
//! offered when its turn comes. An offer that finds no capacity is withdrawn at once, so that the dispatcher's own queue
//! stays short and its longest wait never ends one. Without queues all is passed on unchanged.

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

/// How far the wait of one statement is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitProgress {
    /// Waited so far.
    pub waited: TimeDelta,
    /// The wait still ahead of it.
    pub remaining: WaitEstimate,
}

/// The decisions of one gateway, with queues ahead of them where these are on.
pub struct Scheduler {
    dispatcher: Dispatcher,
    queues: Option<TenantQueues>,
    /// Rejections of evicted statements; emptied by the next tick.
    evictions: Vec<(StatementId, Decision)>,
    finished_waits: Vec<FinishedWait>,
    metrics: Metrics,
}

impl Scheduler {
    /// A scheduler before this dispatcher. `queues`: none to pass all on.
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

    /// Takes a statement. With queues it waits, or is rejected at once; without, it is as [`Dispatcher::pick`].
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

    /// As [`Dispatcher::report`]; the tenant is charged what the outcome tells.
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
            queues.settle(now, id, cost(event));
            if !self.dispatcher.contains(id) {
                queues.close_charge(id);
            }
        }
        follow_up
    }

    /// Offers what waits, as far as there is capacity.
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

    /// The client of a statement with no attempt in flight left: what to answer, should anybody still read.
    /// [`Decision::Queued`]: the statement is not open.
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

    /// As [`Dispatcher::client_left`].
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

    /// As [`Dispatcher::on_endpoint_update`].
    pub fn on_endpoint_update(&mut self, now: Timestamp, update: &EndpointUpdate) {
        self.dispatcher.on_endpoint_update(now, update);
    }

    /// As [`Dispatcher::on_load_report`].
    pub fn on_load_report(&mut self, engine: EngineId, report: &LoadReport) {
        self.dispatcher.on_load_report(engine, report);
    }

    /// As [`Dispatcher::on_outlier_gossip`].
    pub fn on_outlier_gossip(&mut self, now: Timestamp, reports: &[OutlierReport]) {
        self.dispatcher.on_outlier_gossip(now, reports);
    }

    /// As [`Dispatcher::on_quota`].
    pub fn on_quota(&mut self, grant: QuotaGrant) {
        self.dispatcher.on_quota(grant);
    }

    /// As [`Dispatcher::traffic_share`].
    #[must_use]
    pub fn traffic_share(&self) -> f64 {
        self.dispatcher.traffic_share()
    }

    /// As [`TenantQueues::set_leased_budgets`]; nothing without queues.
    pub fn set_leased_budgets(&mut self, now: Timestamp, budgets: &[Option<f64>]) {
        if let Some(queues) = &mut self.queues {
            queues.set_leased_budgets(now, budgets);
        }
    }

    /// As [`TenantQueues::usage`]; empty without queues.
    #[must_use]
    pub fn tenant_usage(&self) -> Vec<TenantUsage> {
        match &self.queues {
            Some(queues) => queues.usage().collect(),
            None => Vec::new(),
        }
    }

    /// As [`Dispatcher::health`].
    pub fn health(&self) -> impl Iterator<Item = EngineHealth> {
        self.dispatcher.health()
    }

    /// As [`Dispatcher::engines`].
    pub fn engines(&self) -> impl Iterator<Item = EngineView> {
        self.dispatcher.engines()
    }

    /// As [`Dispatcher::drain_by`], for what waits too.
    pub fn drain_by(&mut self, deadline: Timestamp) {
        self.dispatcher.drain_by(deadline);
        if let Some(queues) = &mut self.queues {
            queues.drain_by(deadline);
        }
    }

    /// As [`TenantQueues::reconfigure`]; nothing without queues.
    pub fn reconfigure(&mut self, now: Timestamp, config: Config) {
        if let Some(queues) = &mut self.queues {
            queues.reconfigure(now, config);
        }
    }

    /// The counters.
    #[must_use]
    pub fn metrics(&self) -> Metrics {
        self.metrics
    }

    /// The waits that ended in the last tick, by release or by the decision module's rejection.
    #[must_use]
    pub fn finished_waits(&self) -> &[FinishedWait] {
        &self.finished_waits
    }

    /// How many statements wait in the queues.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queues.as_ref().map_or(0, TenantQueues::len)
    }

    /// As [`TenantQueues::longest_passed_over`].
    #[must_use]
    pub fn longest_passed_over(&self) -> TimeDelta {
        self.queues
            .as_ref()
            .map_or(TimeDelta::ZERO, TenantQueues::longest_passed_over)
    }

    /// As [`TenantQueues::sub_queue_status`]; none without queues.
    pub fn sub_queue_status(
        &mut self,
        now: Timestamp,
        limit: usize,
    ) -> Option<Vec<SubQueueStatus>> {
        let queues = self.queues.as_mut()?;
        Some(queues.sub_queue_status(now, limit))
    }

    /// As [`TenantQueues::statement_status`].
    pub fn statement_status(&mut self, now: Timestamp, id: StatementId) -> Option<StatementStatus> {
        self.queues.as_mut()?.statement_status(now, id)
    }

    /// How far a statement's wait is. None: it does not wait.
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
        // Its deadline alone ranks it here: what its tenant may use is decided at release.
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

/// CPU seconds that an attempt cost, where its event tells: none for one that did not run.
fn cost(event: AttemptEvent) -> Option<f64> {
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
