//! The queues before the decisions, called as `dispatch` is: without queues it passes all through unchanged. A
//! statement is taken by the module when it comes, waits here, and is offered when its turn comes; an offer that
//! finds no room is withdrawn at once, so that the module's own line stays short and its hold never runs here.

use admission::interface::*;
use dispatch::{AttemptOrder, Decision, Dispatcher, EngineView, FollowUp, StatementRequest, Tick};

use crate::config::{Config, SubQueueId};
use crate::estimate::WaitEstimate;
use crate::tenant_queues::{
    EnqueueOutcome, EnqueueRequest, FinishedWait, Offer, StatementStatus, SubQueueStatus,
    TenantQueues, TenantUsage,
};
use crate::treap::ResourceNeed;

/// What happened at the queues, in numbers that only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Statements that came to wait, of those offered.
    pub received: u64,
    /// Rejected at entry: no room for them, or too long a wait.
    pub rejected_at_entry: u64,
    /// Rejected while waiting, for one with the better share.
    pub evicted: u64,
    pub released: u64,
    /// Rejected by the module while waiting.
    pub rejected_while_waiting: u64,
    /// Their clients left while they waited.
    pub client_left: u64,
    /// Offers that found no room.
    pub offers_without_capacity: u64,
    /// Estimates told at entry that came within a fifth, or 20 ms, of the wait.
    pub accurate_estimates: u64,
}

/// How far the wait of one statement is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitProgress {
    /// Waited so far.
    pub waited: TimeDelta,
    /// The wait still ahead of it.
    pub remaining: WaitEstimate,
}

pub struct Scheduler {
    dispatch: Dispatcher,
    queues: Option<TenantQueues>,
    /// Denials of this turn for evicted statements; emptied by the next tick.
    owed: Vec<(StatementId, Decision)>,
    waits: Vec<FinishedWait>,
    metrics: Metrics,
}

impl Scheduler {
    pub fn new(dispatch: Dispatcher, queues: Option<TenantQueues>) -> Self {
        Scheduler {
            dispatch,
            queues,
            owed: Vec::new(),
            waits: Vec::new(),
            metrics: Metrics::default(),
        }
    }

    /// Takes a statement. With queues it is held, or rejected at once; without, it is as `Dispatcher::pick`.
    pub fn pick(
        &mut self,
        now: Timestamp,
        id: StatementId,
        sub_queue: SubQueueId,
        request: &StatementRequest,
    ) -> Decision {
        let Some(queues) = &mut self.queues else {
            return self.dispatch.pick(now, id, request);
        };
        let borrowed = |cpu: TimeDelta| queues.would_borrow(now, sub_queue, cpu.secs());
        let entered = self.dispatch.register(now, id, request, borrowed);
        let Some((position, forecast)) = entered else {
            return Decision::Queued;
        };
        // Of no team's making, so that it stands by its limit alone.
        let position = QueuePosition {
            over_quota: false,
            ..position
        };
        let need = ResourceNeed {
            cpu: forecast.cpu.secs(),
            memory_mb: forecast.memory_mb,
        };
        let Forecast {
            objective_until,
            useful_until,
            ..
        } = forecast;
        let (class, key) = (request.class, request.key);
        let enqueued = queues.enqueue(
            now,
            &EnqueueRequest {
                id,
                sub_queue,
                class,
                position,
                need,
                objective_until,
                useful_until,
                key,
            },
        );
        self.metrics.received += 1;
        for (victim, back) in enqueued.evicted {
            self.metrics.evicted += 1;
            self.owed
                .push((victim, self.dispatch.reject(now, victim, back)));
        }
        match enqueued.outcome {
            EnqueueOutcome::Queued(_) => Decision::Queued,
            EnqueueOutcome::Rejected { retry_after: back } => {
                self.metrics.rejected_at_entry += 1;
                self.dispatch.reject(now, id, back)
            }
        }
    }

    /// As `Dispatcher::report`; who ran pays what the outcome tells.
    pub fn report(
        &mut self,
        now: Timestamp,
        id: StatementId,
        attempt: AttemptNumber,
        news: AttemptEvent,
        latency: TimeDelta,
        answered: bool,
    ) -> FollowUp {
        let verdict = self
            .dispatch
            .report(now, id, attempt, news, latency, answered);
        if let Some(queues) = &mut self.queues {
            let cpu = match news {
                AttemptEvent::Completed { cpu, .. } => cpu.map(TimeDelta::secs),
                AttemptEvent::Rejected
                | AttemptEvent::Unreachable
                | AttemptEvent::NeverSent
                | AttemptEvent::Withdrawn => Some(0.0),
                _ => None,
            };
            queues.settle(now, id, cpu);
            if !self.dispatch.contains(id) {
                queues.close_charge(id);
            }
        }
        verdict
    }

    /// Offers what waits, as far as there is room.
    pub fn tick(&mut self, now: Timestamp) -> Tick {
        let Some(queues) = &mut self.queues else {
            return self.dispatch.tick(now);
        };
        let mut due = std::mem::take(&mut self.owed);
        self.waits.clear();
        queues.begin_round(
            now,
            self.dispatch.capacity(now),
            self.dispatch.traffic_share(),
        );
        for position in queues.past_use(now) {
            let last = Offer {
                position,
                borrowed: false,
            };
            offer(
                &mut self.dispatch,
                queues,
                &mut self.waits,
                &mut self.metrics,
                now,
                last,
                &mut due,
            );
        }
        // Statements with an attempt behind them stand in the module's own line: among all, the earliest deadline.
        let again = self.dispatch.queue_positions();
        let mut again = again.into_iter().peekable();
        loop {
            let next = queues.next_offer();
            while let Some(position) =
                again.next_if(|position| next.is_none_or(|next| *position < next.position))
            {
                let pick = self.dispatch.place(now, position.id);
                match pick {
                    Decision::Queued => continue,
                    Decision::Forward(order) => {
                        queues.charge_retry(now, position.id, order.charge.secs())
                    }
                    Decision::Reject { .. } | Decision::Fail => queues.close_charge(position.id),
                }
                due.push((position.id, pick));
            }
            let Some(next) = next else { break };
            offer(
                &mut self.dispatch,
                queues,
                &mut self.waits,
                &mut self.metrics,
                now,
                next,
                &mut due,
            );
        }
        let Wakeup {
            wait,
            probe,
            discovery,
        } = self.dispatch.end_turn(now, queues.len());
        Tick {
            due,
            probe,
            discovery,
            wait,
        }
    }

    /// Its client left while it waits with nothing out: what to answer, should anybody still read. `Decision::Queued`: it is
    /// not in hand.
    pub fn reject_abandoned(
        &mut self,
        now: Timestamp,
        id: StatementId,
        retry_after: TimeDelta,
    ) -> Decision {
        let pick = self.dispatch.reject(now, id, retry_after);
        if let Some(queues) = &mut self.queues {
            self.metrics.client_left += u64::from(queues.remove(now, id).is_some());
            queues.close_charge(id);
        }
        pick
    }

    /// As `Dispatcher::gone`.
    pub fn client_left(&mut self, now: Timestamp, id: StatementId) {
        self.dispatch.client_left(id);
        if let Some(queues) = &mut self.queues {
            self.metrics.client_left += u64::from(queues.remove(now, id).is_some());
            if !self.dispatch.contains(id) {
                queues.close_charge(id);
            }
        }
    }

    pub fn on_endpoint_update(&mut self, now: Timestamp, news: &EndpointUpdate) {
        self.dispatch.on_endpoint_update(now, news);
    }

    pub fn on_load_report(&mut self, engine: EngineId, report: &LoadReport) {
        self.dispatch.on_load_report(engine, report);
    }

    /// What others lost statements to.
    pub fn on_outlier_gossip(&mut self, now: Timestamp, doubts: &[OutlierReport]) {
        self.dispatch.on_outlier_gossip(now, doubts);
    }

    /// What this gateway may still do of what all together may.
    pub fn on_quota(&mut self, allowed: QuotaGrant) {
        self.dispatch.on_quota(allowed);
    }

    pub fn traffic_share(&self) -> f64 {
        self.dispatch.traffic_share()
    }

    /// Members' budgets as this gateway's part of them at present, by their places in the config.
    pub fn set_leased_budgets(&mut self, now: Timestamp, rates: &[Option<f64>]) {
        self.queues
            .iter_mut()
            .for_each(|queues| queues.set_leased_budgets(now, rates));
    }

    /// What tenants wanted and spent of their budgets since the start, in predicted CPU seconds.
    pub fn tenant_usage(&self) -> Vec<TenantUsage> {
        self.queues
            .as_ref()
            .map(|queues| queues.usage().collect())
            .unwrap_or_default()
    }

    /// How each engine stands.
    pub fn health(&self) -> impl Iterator<Item = EngineHealth> {
        self.dispatch.health()
    }

    /// Each engine as the decisions see it.
    pub fn engines(&self) -> impl Iterator<Item = EngineView> {
        self.dispatch.engines()
    }

    /// As `Dispatcher::drain_deadline`, for what waits too.
    pub fn drain_by(&mut self, by: Timestamp) {
        self.dispatch.drain_by(by);
        self.queues
            .iter_mut()
            .for_each(|queues| queues.drain_by(by));
    }

    /// Other config, with all that waits; nothing where there are no queues.
    pub fn reconfigure(&mut self, now: Timestamp, config: Config) {
        self.queues
            .iter_mut()
            .for_each(|queues| queues.reconfigure(now, config.clone()));
    }

    pub fn metrics(&self) -> Metrics {
        self.metrics
    }

    /// The waits that ended in the last tick, by release or by the module's rejection.
    pub fn finished_waits(&self) -> &[FinishedWait] {
        &self.waits
    }

    pub fn waiting(&self) -> usize {
        self.queues.as_ref().map_or(0, TenantQueues::len)
    }

    pub fn longest_passed_over(&self) -> TimeDelta {
        self.queues
            .as_ref()
            .map_or(TimeDelta::ZERO, TenantQueues::longest_passed_over)
    }

    pub fn sub_queue_status(&mut self, now: Timestamp, most: usize) -> Option<Vec<SubQueueStatus>> {
        self.queues
            .as_mut()
            .map(|queues| queues.sub_queue_status(now, most))
    }

    pub fn statement_status(&mut self, now: Timestamp, id: StatementId) -> Option<StatementStatus> {
        self.queues.as_mut()?.statement_status(now, id)
    }

    /// Waited so far, and the wait still before it.
    pub fn wait_progress(&mut self, now: Timestamp, id: StatementId) -> Option<WaitProgress> {
        let queues = self.queues.as_mut()?;
        Some(WaitProgress {
            waited: queues.waited(now, id)?,
            remaining: queues.remaining_wait(now, id)?,
        })
    }
}

/// Asks the module about one that waits, and takes it out of line unless there was no room.
fn offer(
    dispatch: &mut Dispatcher,
    queues: &mut TenantQueues,
    waits: &mut Vec<FinishedWait>,
    metrics: &mut Metrics,
    now: Timestamp,
    offer: Offer,
    due: &mut Vec<(StatementId, Decision)>,
) {
    let id = offer.position.id;
    let pick = dispatch.offer(now, id, offer.borrowed);
    match pick {
        Decision::Queued => {
            metrics.offers_without_capacity += 1;
            let useful = dispatch
                .forecast(now, id)
                .map_or(now, |forecast| forecast.useful_until);
            return queues.no_capacity(id, offer.borrowed, useful);
        }
        Decision::Forward(AttemptOrder { charge, .. }) => {
            metrics.released += 1;
            let wait = queues.release(now, id, charge.secs());
            let well = |wait: &FinishedWait| {
                (wait.estimated.median - wait.actual).secs().abs()
                    <= (0.2 * wait.actual.secs()).max(0.02)
            };
            metrics.accurate_estimates += u64::from(wait.as_ref().is_some_and(well));
            waits.extend(wait);
        }
        Decision::Reject { .. } | Decision::Fail => {
            metrics.rejected_while_waiting += 1;
            waits.extend(queues.remove(now, id));
        }
    }
    due.push((id, pick));
}
