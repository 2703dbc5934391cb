//! Offers: which statement to offer to the decision module next, and what follows from its answer.

use admission::interface::{QueuePosition, StatementId, TimeDelta, Timestamp};

use super::TenantQueues;
use crate::class_queues::Claim;
use crate::config::SubQueueId;
use crate::tenant_tree::MAX_SIBLINGS_EXAMINED;
use crate::waiting::{FinishedWait, QueueState, WaitingStatement};

/// A statement to offer to the decision module.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Offer {
    /// The position of the statement, with its number.
    pub position: QueuePosition,
    /// The budget of its tenant does not cover the statement, so only spare capacity may be used.
    pub borrowed: bool,
}

impl TenantQueues {
    /// The next statement to offer, or `None` if there is nothing more to offer in this round.
    ///
    /// Sub-queues that were passed over for the ageing bound come first, then statements within
    /// budget by the earliest deadline, then those of the tenant that borrowed least in relation to
    /// its weight.
    #[must_use]
    pub fn next_offer(&self) -> Option<Offer> {
        if let Some(position) = self.first_aged() {
            return Some(Offer {
                position,
                borrowed: false,
            });
        }
        if let Some(position) = self.tree.first_within_budget(&self.class_queues) {
            return Some(Offer {
                position,
                borrowed: false,
            });
        }
        let position = self.tree.first_borrowing(&self.class_queues)?;
        Some(Offer {
            position,
            borrowed: true,
        })
    }

    /// The first statement that may have capacity in the sub-queue that was passed over longest,
    /// among those passed over for at least the ageing bound.
    fn first_aged(&self) -> Option<QueuePosition> {
        let now = self.tree.now();
        self.passed_over
            .longest_first()
            .take(MAX_SIBLINGS_EXAMINED)
            .take_while(|(since, _)| *since + self.config.ageing <= now)
            .find_map(|(_, sub_queue)| self.class_queues.first_of_any_class(sub_queue))
    }

    /// Records that an offer found no capacity. `borrowed` is the value of the [`Offer`], and
    /// `useful_until` comes from the latest forecast.
    pub fn no_capacity(&mut self, id: StatementId, borrowed: bool, useful_until: Timestamp) {
        let Some(statement) = self.waiting.set_useful_until(id, useful_until) else {
            return;
        };
        if statement.state == QueueState::Held {
            return;
        }
        if statement.key.is_some() {
            // The statement may only have to wait for an earlier one of its key that still runs,
            // which does not indicate a lack of capacity.
            self.remove_from_class_queue(id);
            self.held_for_round.push(id);
            return;
        }
        let class = statement.class.0;
        let claim = if borrowed {
            Claim::Borrowing
        } else {
            Claim::WithinBudget
        };
        self.class_queues
            .record_no_capacity(class, claim, statement.need);
        // Cheap statements could overtake an expensive first one forever. Closing the class for
        // this round leaves the capacity to accumulate for it.
        if self.is_passed_over_twice_the_bound(statement.sub_queue) {
            self.class_queues.close_class(class);
        }
    }

    fn is_passed_over_twice_the_bound(&self, sub_queue: SubQueueId) -> bool {
        let ageing = self.config.ageing;
        let since = self.passed_over.since(sub_queue);
        since.is_some_and(|since| since + ageing + ageing <= self.tree.now())
    }

    /// Ends the wait of a statement that goes to an engine, and charges its tenant `charge` CPU
    /// seconds. Returns `None` if the statement did not wait.
    pub fn release(
        &mut self,
        now: Timestamp,
        id: StatementId,
        charge: f64,
    ) -> Option<FinishedWait> {
        self.tree.advance(now);
        let statement = self.detach(id)?;
        let wait = statement.finish(now, id);
        self.record_release(now, &statement, wait.actual);
        self.record_passed_over(now, &statement);
        self.passed_over.restart(now, statement.sub_queue);
        self.charge(id, statement.sub_queue, charge);
        Some(wait)
    }

    fn record_release(&mut self, now: Timestamp, statement: &WaitingStatement, waited: TimeDelta) {
        let class = statement.class.0;
        let estimate = &statement.estimate;
        if estimate.from_observation || estimate.expected_s == 0.0 {
            self.forecaster
                .record_wait(class, estimate.expected_s, waited);
        }
        if waited > TimeDelta::ZERO {
            let cpu = statement.need.cpu;
            self.forecaster
                .record_release(now, statement.sub_queue, class, cpu);
        }
    }

    /// Records how long the longest-waiting other sub-queue with statements of the same class has
    /// been passed over.
    fn record_passed_over(&mut self, now: Timestamp, released: &WaitingStatement) {
        let class = released.class.0;
        let longest = self
            .passed_over
            .longest_first()
            .take(MAX_SIBLINGS_EXAMINED)
            .find(|(_, sub_queue)| {
                *sub_queue != released.sub_queue && !self.class_queues.is_empty(*sub_queue, class)
            });
        if let Some((since, _)) = longest {
            self.passed_over.record(now - since);
        }
    }
}
