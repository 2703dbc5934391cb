//! What is told of the queues: estimates and status.

use admission::interface::{QueuePosition, StatementId, TimeDelta, Timestamp};

use super::TenantQueues;
use crate::class_queues::Claim;
use crate::config::SubQueueId;
use crate::frontier::ResourceNeed;
use crate::wait_estimate::WaitEstimate;
use crate::waiting::WaitingStatement;

/// Later than any deadline, in seconds from now.
const LAST_DEADLINE_S: f64 = 3e9;

/// The state of one sub-queue.
#[derive(Clone, Debug, PartialEq)]
pub struct SubQueueStatus {
    /// The tenant's name.
    pub tenant: String,
    /// The sub-queue's name.
    pub sub_queue: String,
    /// Statements that wait.
    pub waiting: u32,
    /// Predicted CPU seconds that wait.
    pub waiting_cpu: f64,
    /// Its budget, in predicted CPU seconds a second.
    pub budget: f64,
    /// Predicted CPU seconds a second released of late while something waited; none: too little was seen.
    pub rate: Option<f64>,
    /// CPU seconds saved of the budget; negative: a debt.
    pub saved: f64,
    /// How long the oldest of its classes' first statements has waited.
    pub longest_wait: TimeDelta,
    /// The estimate for one more typical statement, by query class.
    pub next_waits: Vec<WaitEstimate>,
}

/// The state of one waiting statement.
#[derive(Clone, Debug, PartialEq)]
pub struct StatementStatus {
    /// The tenant's name.
    pub tenant: String,
    /// The sub-queue's name.
    pub sub_queue: String,
    /// Statements before it in its class queue.
    pub ahead: u32,
    /// How long it has waited.
    pub waited: TimeDelta,
    /// The wait still ahead of it.
    pub remaining: WaitEstimate,
}

impl TenantQueues {
    /// How long a statement has waited. None: it does not wait.
    #[must_use]
    pub fn waited(&self, now: Timestamp, id: StatementId) -> Option<TimeDelta> {
        let statement = self.waiting.get(id)?;
        Some(now - statement.entered)
    }

    /// The wait still ahead of a statement. None: it does not wait.
    pub fn remaining_wait(&mut self, now: Timestamp, id: StatementId) -> Option<WaitEstimate> {
        self.tree.advance(now);
        let statement = *self.waiting.get(id)?;
        Some(self.estimate(&statement))
    }

    /// The state of a statement. None: it does not wait.
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

    /// The state of `limit` sub-queues at most, in the order of the configuration. Those with the most load are taken
    /// first, then the empty ones.
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
            .firsts(sub_queue)
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

    /// The estimate for one more typical statement of a class, behind all others.
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

    /// The wait still ahead of a statement, whether it stands in its class queue or not.
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

    /// Seconds until a statement at this position would leave, by the work ahead of it. Zero where nothing is ahead of
    /// it and its need has not been found to lack capacity.
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
