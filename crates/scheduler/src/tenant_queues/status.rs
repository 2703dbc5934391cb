//! Estimated waits and the status of the queues.

use admission::interface::{QueuePosition, StatementId, TimeDelta, Timestamp};

use super::TenantQueues;
use crate::class_queues::Claim;
use crate::config::SubQueueId;
use crate::frontier::ResourceNeed;
use crate::wait_estimate::WaitEstimate;
use crate::waiting::WaitingStatement;

/// An offset from now, in seconds, that is later than any deadline.
const LAST_DEADLINE_S: f64 = 3e9;

/// The state of one sub-queue.
#[derive(Clone, Debug, PartialEq)]
pub struct SubQueueStatus {
    /// The name of the tenant.
    pub tenant: String,
    /// The name of the sub-queue.
    pub sub_queue: String,
    /// The number of waiting statements.
    pub waiting: u32,
    /// The predicted CPU seconds of the waiting statements.
    pub waiting_cpu: f64,
    /// The budget, in predicted CPU seconds per second.
    pub budget: f64,
    /// The recent release rate while statements waited, in predicted CPU seconds per second. `None`
    /// if too little was observed.
    pub rate: Option<f64>,
    /// The saved budget in CPU seconds; a negative value is a debt.
    pub saved: f64,
    /// The wait so far of the oldest among the first statements of the class queues.
    pub longest_wait: TimeDelta,
    /// The estimated wait of one more typical statement, by query class.
    pub next_waits: Vec<WaitEstimate>,
}

/// The state of one waiting statement.
#[derive(Clone, Debug, PartialEq)]
pub struct StatementStatus {
    /// The name of the tenant.
    pub tenant: String,
    /// The name of the sub-queue.
    pub sub_queue: String,
    /// The number of statements ahead of it in its class queue.
    pub ahead: u32,
    /// The time it has waited so far.
    pub waited: TimeDelta,
    /// The estimated rest of its wait.
    pub remaining: WaitEstimate,
}

impl TenantQueues {
    /// The time a statement has waited so far, or `None` if it does not wait.
    #[must_use]
    pub fn waited(&self, now: Timestamp, id: StatementId) -> Option<TimeDelta> {
        let statement = self.waiting.get(id)?;
        Some(now - statement.entered)
    }

    /// The estimated rest of the wait of a statement, or `None` if it does not wait.
    pub fn remaining_wait(&mut self, now: Timestamp, id: StatementId) -> Option<WaitEstimate> {
        self.tree.advance(now);
        let statement = *self.waiting.get(id)?;
        Some(self.estimate(&statement))
    }

    /// The state of a statement, or `None` if it does not wait.
    pub fn statement_status(&mut self, now: Timestamp, id: StatementId) -> Option<StatementStatus> {
        let remaining = self.remaining_wait(now, id)?;
        let statement = self.waiting.get(id)?;
        let sub_queue = statement.sub_queue;
        let ahead = self
            .class_queues
            .ahead(sub_queue, statement.class.0, statement.position);
        Some(StatementStatus {
            tenant: self.tree.tenant_name(sub_queue).to_owned(),
            sub_queue: self.tree.sub_queue_name(sub_queue).to_owned(),
            ahead: ahead.statements,
            waited: now - statement.entered,
            remaining,
        })
    }

    /// The state of up to `limit` sub-queues, in the order of the configuration. Sub-queues with
    /// the highest load are selected first, then empty ones.
    pub fn sub_queue_status(&mut self, now: Timestamp, limit: usize) -> Vec<SubQueueStatus> {
        self.tree.advance(now);
        let mut shown: Vec<SubQueueId> = self.backlog.heaviest_first().take(limit).collect();
        let empty = (0..self.tree.sub_queue_count() as u32)
            .map(SubQueueId)
            .filter(|sub_queue| self.backlog.of(*sub_queue).statements == 0);
        shown.extend(empty.take(limit - shown.len()));
        shown.sort_unstable();
        shown
            .into_iter()
            .map(|sub_queue| self.status(now, sub_queue))
            .collect()
    }

    fn status(&mut self, now: Timestamp, sub_queue: SubQueueId) -> SubQueueStatus {
        let next_waits = (0..self.class_queues.classes())
            .map(|class| self.next_wait(now, sub_queue, class))
            .collect();
        let oldest = self
            .class_queues
            .first_of_each_class(sub_queue)
            .map(|first| first.position.id)
            .min();
        let longest_wait = oldest.and_then(|id| self.waited(now, id));
        let waiting = self.backlog.of(sub_queue);
        SubQueueStatus {
            tenant: self.tree.tenant_name(sub_queue).to_owned(),
            sub_queue: self.tree.sub_queue_name(sub_queue).to_owned(),
            waiting: waiting.statements,
            waiting_cpu: waiting.cpu,
            budget: self.tree.budget(sub_queue),
            rate: self.forecaster.observed_rate(now, sub_queue),
            saved: self.tree.balance(sub_queue),
            longest_wait: longest_wait.unwrap_or(TimeDelta::ZERO),
            next_waits,
        }
    }

    /// The estimated wait of one more typical statement of a class, behind all others.
    fn next_wait(&mut self, now: Timestamp, sub_queue: SubQueueId, class: usize) -> WaitEstimate {
        let last = QueuePosition {
            deadline: now + TimeDelta::from_secs(LAST_DEADLINE_S),
            id: StatementId(u64::MAX),
            over_quota: true,
        };
        let need = ResourceNeed {
            cpu: self.forecaster.typical_cpu(class),
            memory_mb: 0.0,
        };
        let expected_s = self.expected_wait_s(sub_queue, class, last, need);
        self.forecaster.estimate(class, expected_s)
    }

    /// The estimated rest of the wait of a statement, whether it is in its class queue or held.
    pub(super) fn estimate(&mut self, statement: &WaitingStatement) -> WaitEstimate {
        let WaitingStatement {
            sub_queue,
            class,
            position,
            need,
            ..
        } = *statement;
        let expected_s = self.expected_wait_s(sub_queue, class.0, position, need);
        self.forecaster.estimate(class.0, expected_s)
    }

    /// The expected time in seconds until a statement at this position is released, based on the
    /// work ahead of it. Zero if the class queue is empty and no statement with the same or a
    /// smaller need was found to lack capacity.
    pub(super) fn expected_wait_s(
        &mut self,
        sub_queue: SubQueueId,
        class: usize,
        position: QueuePosition,
        need: ResourceNeed,
    ) -> f64 {
        let claim: Claim = self.tree.claim(sub_queue, need.cpu);
        let may_have_capacity = self
            .class_queues
            .frontier(class, claim)
            .may_have_capacity(need);
        if may_have_capacity && self.class_queues.is_empty(sub_queue, class) {
            return 0.0;
        }
        let ahead = self.class_queues.ahead(sub_queue, class, position);
        let budget_fraction = self.tree.budget_fraction(sub_queue);
        self.forecaster.expected_wait_s(
            self.tree.now(),
            sub_queue,
            class,
            ahead.cpu,
            need.cpu,
            budget_fraction,
        )
    }
}
