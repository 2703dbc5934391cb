//! Entry: a statement is taken into the queues, or rejected at once.

use admission::interface::{ClassId, OrderKey, QueuePosition, StatementId, TimeDelta, Timestamp};

use super::TenantQueues;
use crate::class_queues::Claim;
use crate::config::SubQueueId;
use crate::frontier::ResourceNeed;
use crate::wait_estimate::WaitEstimate;
use crate::waiting::{EntryEstimate, Standing, WaitingStatement};

/// A statement is rejected at entry when so many times its estimated 90th percentile would pass its latency objective.
/// With less, under pressure all wait just long enough to be late: at the start of a due date 0.33 to 0.67 of the
/// reports came in time where it was the deadline that counted, one time, and two times the 90th percentile.
const P90_SAFETY_FACTOR: f64 = 2.0;
/// A wait up to this is no reason to reject, in seconds.
const ACCEPTABLE_WAIT_S: f64 = 0.05;
/// A client rejected for its wait is told to come back after this part of the median at least.
const MIN_RETRY_AFTER_PART: f64 = 0.5;

/// A statement that comes to wait.
#[derive(Clone, Copy, Debug)]
pub struct EnqueueRequest {
    /// Its number.
    pub id: StatementId,
    /// Where it is to wait; the last sub-queue in place of one that there is not.
    pub sub_queue: SubQueueId,
    /// Its query class.
    pub class: ClassId,
    /// Its position among the others of its class queue.
    pub position: QueuePosition,
    /// What it is predicted to need.
    pub need: ResourceNeed,
    /// Released later, its answer comes after its latency objective.
    pub objective_until: Timestamp,
    /// Released later, its answer is of no use.
    pub useful_until: Timestamp,
    /// The key that orders it among others.
    pub key: Option<OrderKey>,
}

/// What became of an [`EnqueueRequest`].
#[derive(Clone, Debug, PartialEq)]
pub enum EnqueueOutcome {
    /// It waits, by estimate for so long.
    Queued(WaitEstimate),
    /// There is no room for it, or it would wait beyond its use.
    Rejected {
        /// About so long until it would be taken.
        retry_after: TimeDelta,
    },
}

/// A statement that was removed for one with the better claim, and is owed a rejection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Eviction {
    /// The statement.
    pub id: StatementId,
    /// The wait that was still ahead of it.
    pub retry_after: TimeDelta,
}

/// What an [`EnqueueRequest`] led to.
#[derive(Clone, Debug, PartialEq)]
pub struct EnqueueResult {
    /// What became of the statement itself.
    pub outcome: EnqueueOutcome,
    /// Statements that no longer wait.
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
    /// Whether a statement of this cost that comes now would wait for what other tenants leave.
    pub fn would_borrow(&mut self, now: Timestamp, sub_queue: SubQueueId, cpu: f64) -> bool {
        self.tree.advance(now);
        let sub_queue = self.tree.existing(sub_queue);
        self.tree.claim(sub_queue, cpu) == Claim::Borrowing
    }

    /// Takes a statement into its class queue, or rejects it.
    pub fn enqueue(&mut self, now: Timestamp, request: &EnqueueRequest) -> EnqueueResult {
        self.tree.advance(now);
        let sub_queue = self.tree.existing(request.sub_queue);
        self.forecaster
            .record_arrival(request.class.0, request.need.cpu);
        self.tree.record_demand(sub_queue, request.need.cpu);
        let estimate = self.entry_estimate(now, sub_queue, request);
        if let Some(retry_after) = reject_for_wait(now, request, &estimate) {
            return EnqueueResult::rejected(retry_after);
        }
        let Some(evicted) = self.make_room(sub_queue, request.position, request.need) else {
            return EnqueueResult::rejected(estimate.told.median);
        };
        let evicted = evicted.into_iter().map(|(id, statement)| Eviction {
            id,
            retry_after: self.estimate(&statement).median,
        });
        let evicted = evicted.collect();
        self.admit(now, sub_queue, request, estimate);
        EnqueueResult {
            outcome: EnqueueOutcome::Queued(estimate.told),
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
            told: self.forecaster.estimate(class, expected_s),
            from_observation: self.forecaster.has_observed(now, sub_queue, class),
        }
    }

    /// A statement waits from now on. One whose order key has an earlier one is held until its turn.
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
            standing: Standing::Held,
        };
        self.waiting.insert(request.id, statement);
        if let Some(key) = request.key {
            self.key_order.push(key, request.id);
        }
        self.add_if_its_turn(request.id, request.key);
    }

    /// A held statement is queued unless an earlier one of its order key waits.
    pub(super) fn add_if_its_turn(&mut self, id: StatementId, key: Option<OrderKey>) {
        if key.is_none_or(|key| self.key_order.is_first(key, id)) {
            self.add_to_class_queue(id);
        }
    }
}

/// The time after which to come back, if the statement would wait too long. An answer that comes late has cost another
/// its place. Only what was observed rejects, not what is likely; and of a statement whose key's turn has to come first
/// nothing is known.
fn reject_for_wait(
    now: Timestamp,
    request: &EnqueueRequest,
    estimate: &EntryEstimate,
) -> Option<TimeDelta> {
    if !estimate.from_observation || request.key.is_some() {
        return None;
    }
    let useful_s = (request.objective_until - now).secs();
    let p90_s = estimate.told.p90.secs();
    if p90_s * P90_SAFETY_FACTOR <= useful_s.max(ACCEPTABLE_WAIT_S) {
        return None;
    }
    let least_s = estimate.told.median.secs() * MIN_RETRY_AFTER_PART;
    Some(TimeDelta::from_secs((p90_s - useful_s).max(least_s)))
}
