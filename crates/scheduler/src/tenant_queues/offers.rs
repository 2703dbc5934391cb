//! Offers: which statement the decision module is asked about next, and what its answer changes.

use admission::interface::{QueuePosition, StatementId, TimeDelta, Timestamp};

use super::TenantQueues;
use crate::class_queues::Claim;
use crate::config::SubQueueId;
use crate::tenant_tree::MAX_SIBLINGS;
use crate::waiting::{FinishedWait, Standing, WaitingStatement};

/// A statement to ask the decision module about.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Offer {
    /// The statement, and where it stands.
    pub position: QueuePosition,
    /// Its tenant's budget does not cover it: only spare capacity is for it.
    pub borrowed: bool,
}

impl TenantQueues {
    /// The next statement to offer; none: nothing more in this round.
    ///
    /// First of sub-queues that were passed over for the ageing bound, then within budget by the earliest deadline,
    /// then of the tenant that borrowed least by weight.
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

    /// The first that may have capacity of the sub-queue that was passed over longest, beyond the ageing bound.
    fn first_aged(&self) -> Option<QueuePosition> {
        let now = self.tree.now();
        self.passed_over
            .longest_first()
            .take(MAX_SIBLINGS)
            .take_while(|(since, _)| *since + self.config.ageing <= now)
            .find_map(|(_, sub_queue)| self.class_queues.first_of_any_class(sub_queue))
    }

    /// An offer found no capacity. `borrowed`: as in the [`Offer`]; `useful_until`: by the newest forecast.
    pub fn no_capacity(&mut self, id: StatementId, borrowed: bool, useful_until: Timestamp) {
        let Some(statement) = self.waiting.set_useful_until(id, useful_until) else {
            return;
        };
        if statement.standing == Standing::Held {
            return;
        }
        if statement.key.is_some() {
            // It may only have to wait for its turn, which says nothing of capacity.
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
        // Light statements would pass a heavy first one for ever: from here on capacity is saved up for it.
        if self.is_passed_over_twice_the_bound(statement.sub_queue) {
            self.class_queues.close_class(class);
        }
    }

    fn is_passed_over_twice_the_bound(&self, sub_queue: SubQueueId) -> bool {
        let ageing = self.config.ageing;
        let since = self.passed_over.since(sub_queue);
        since.is_some_and(|since| since + ageing + ageing <= self.tree.now())
    }

    /// A statement goes to an engine: its wait is over, and its tenant is charged so many CPU seconds. None: it did not
    /// wait.
    pub fn release(
        &mut self,
        now: Timestamp,
        id: StatementId,
        charge: f64,
    ) -> Option<FinishedWait> {
        self.tree.advance(now);
        let statement = self.take_out(id)?;
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

    /// Notes the sub-queue that waits longest of those with statements of the same class.
    fn record_passed_over(&mut self, now: Timestamp, released: &WaitingStatement) {
        let class = released.class.0;
        let longest = self
            .passed_over
            .longest_first()
            .take(MAX_SIBLINGS)
            .find(|(_, sub_queue)| {
                *sub_queue != released.sub_queue && !self.class_queues.is_empty(*sub_queue, class)
            });
        if let Some((since, _)) = longest {
            self.passed_over.record(now - since);
        }
    }
}
