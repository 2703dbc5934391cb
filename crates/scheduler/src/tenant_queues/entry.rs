//! Entry to the queues: a statement is queued or rejected at once.

use admission::interface::{ClassId, OrderKey, QueuePosition, StatementId, TimeDelta, Timestamp};

use super::TenantQueues;
use crate::class_queues::Claim;
use crate::config::SubQueueId;
use crate::frontier::ResourceNeed;
use crate::wait_estimate::WaitEstimate;
use crate::waiting::{EntryEstimate, QueueState, WaitingStatement};

/// A statement is rejected at entry if this multiple of its estimated 90th percentile wait exceeds
/// the time left until its latency objective. Under pressure, a factor of 1 lets statements wait
/// just long enough to be late: at the start of a due date, where the deadline mattered, 0.33 of
/// the reports came in time with a factor of 1 and 0.67 with a factor of 2.
const P90_SAFETY_FACTOR: f64 = 2.0;
/// The time left until the objective counts as at least this many seconds, so that short estimated
/// waits never lead to a rejection.
const ACCEPTABLE_WAIT_S: f64 = 0.05;
/// A client rejected for its estimated wait is told to retry after at least this fraction of the
/// median wait.
const MIN_RETRY_AFTER_FRACTION: f64 = 0.5;

/// A statement to queue.
#[derive(Clone, Copy, Debug)]
pub struct EnqueueRequest {
    /// The number of the statement.
    pub id: StatementId,
    /// The sub-queue in which it waits. An index beyond the last sub-queue stands for the last one.
    pub sub_queue: SubQueueId,
    /// Its query class.
    pub class: ClassId,
    /// Its position in its class queue.
    pub position: QueuePosition,
    /// The resources it is predicted to need.
    pub need: ResourceNeed,
    /// The latest release time at which its answer still meets its latency objective.
    pub objective_until: Timestamp,
    /// The latest release time at which its answer is still useful.
    pub useful_until: Timestamp,
    /// The order key; statements with the same key are released in the order in which they arrived.
    pub key: Option<OrderKey>,
}

/// The outcome for the statement of an [`EnqueueRequest`].
#[derive(Clone, Debug, PartialEq)]
pub enum EnqueueOutcome {
    /// The statement waits; this is its estimated wait.
    Queued(WaitEstimate),
    /// There is no room for the statement, or it would wait too long to be answered in time.
    Rejected {
        /// The estimated time until such a statement would be accepted.
        retry_after: TimeDelta,
    },
}

/// A statement removed in favor of one with a stronger claim. The caller must reject it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Eviction {
    /// The number of the evicted statement.
    pub id: StatementId,
    /// The estimated rest of the wait that was still ahead of it.
    pub retry_after: TimeDelta,
}

/// The result of an [`EnqueueRequest`].
#[derive(Clone, Debug, PartialEq)]
pub struct EnqueueResult {
    /// The outcome for the statement itself.
    pub outcome: EnqueueOutcome,
    /// Statements that were evicted to make room for it.
    pub evicted: Vec<Eviction>,
}

impl EnqueueResult {
    fn rejected(retry_after: TimeDelta) -> Self {
        EnqueueResult {
            outcome: EnqueueOutcome::Rejected { retry_after },
            evicted: Vec::new(),
        }
    }
}

impl TenantQueues {
    /// Whether a statement of this cost, in CPU seconds, would have to borrow capacity from other
    /// tenants if it arrived now.
    pub fn would_borrow(&mut self, now: Timestamp, sub_queue: SubQueueId, cpu: f64) -> bool {
        self.tree.advance(now);
        let sub_queue = self.tree.clamp_sub_queue(sub_queue);
        self.tree.claim(sub_queue, cpu) == Claim::Borrowing
    }

    /// Adds a statement to the queues, or rejects it.
    pub fn enqueue(&mut self, now: Timestamp, request: &EnqueueRequest) -> EnqueueResult {
        self.tree.advance(now);
        let sub_queue = self.tree.clamp_sub_queue(request.sub_queue);
        self.forecaster
            .record_arrival(request.class.0, request.need.cpu);
        self.tree.record_demand(sub_queue, request.need.cpu);
        let estimate = self.entry_estimate(now, sub_queue, request);
        if let Some(retry_after) = reject_for_wait(now, request, &estimate) {
            return EnqueueResult::rejected(retry_after);
        }
        let Some(evicted) = self.make_room(sub_queue, request.position, request.need) else {
            return EnqueueResult::rejected(estimate.reported.median);
        };
        let evicted = evicted.into_iter().map(|(id, statement)| Eviction {
            id,
            retry_after: self.estimate(&statement).median,
        });
        let evicted = evicted.collect();
        self.admit(now, sub_queue, request, estimate);
        EnqueueResult {
            outcome: EnqueueOutcome::Queued(estimate.reported),
            evicted,
        }
    }

    fn entry_estimate(
        &mut self,
        now: Timestamp,
        sub_queue: SubQueueId,
        request: &EnqueueRequest,
    ) -> EntryEstimate {
        let class = request.class.0;
        let expected_s = self.expected_wait_s(sub_queue, class, request.position, request.need);
        EntryEstimate {
            expected_s,
            reported: self.forecaster.estimate(class, expected_s),
            from_observation: self.forecaster.has_observed(now, sub_queue, class),
        }
    }

    /// Adds a statement to the waiting ones. It is held back as long as an earlier statement of its
    /// order key waits.
    fn admit(
        &mut self,
        now: Timestamp,
        sub_queue: SubQueueId,
        request: &EnqueueRequest,
        estimate: EntryEstimate,
    ) {
        let statement = WaitingStatement {
            sub_queue,
            class: request.class,
            position: request.position,
            need: request.need,
            key: request.key,
            entered: now,
            useful_until: request.useful_until,
            estimate,
            state: QueueState::Held,
        };
        self.waiting.insert(request.id, statement);
        if let Some(key) = request.key {
            self.key_order.push(key, request.id);
        }
        self.add_if_its_turn(request.id, request.key);
    }

    /// Moves a held statement into its class queue unless an earlier one of its order key waits.
    pub(super) fn add_if_its_turn(&mut self, id: StatementId, key: Option<OrderKey>) {
        if key.is_none_or(|key| self.key_order.is_first(key, id)) {
            self.add_to_class_queue(id);
        }
    }
}

/// Returns the time after which the client should retry if the statement would wait too long, or
/// `None` if it can be queued. A late answer has cost another statement its place. Only estimates
/// based on observed releases lead to a rejection, not those based on a prior. Statements with an
/// order key are never rejected here: nothing is known about how long the earlier ones of the key
/// will take.
fn reject_for_wait(
    now: Timestamp,
    request: &EnqueueRequest,
    estimate: &EntryEstimate,
) -> Option<TimeDelta> {
    if !estimate.from_observation || request.key.is_some() {
        return None;
    }
    let useful_s = (request.objective_until - now).secs();
    let p90_s = estimate.reported.p90.secs();
    if p90_s * P90_SAFETY_FACTOR <= useful_s.max(ACCEPTABLE_WAIT_S) {
        return None;
    }
    let min_retry_s = estimate.reported.median.secs() * MIN_RETRY_AFTER_FRACTION;
    Some(TimeDelta::from_secs((p90_s - useful_s).max(min_retry_s)))
}
