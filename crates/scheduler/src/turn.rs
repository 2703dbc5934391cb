//! One turn of the scheduler: the waiting statements are offered to the decision module as long as
//! there is capacity.

use admission::interface::{QueuePosition, StatementId, Timestamp};
use dispatch::{Decision, Dispatcher};

use crate::metrics::Metrics;
use crate::tenant_queues::{Offer, TenantQueues};
use crate::waiting::FinishedWait;

/// The inputs and results of one turn.
pub(crate) struct Turn<'a> {
    pub(crate) now: Timestamp,
    pub(crate) dispatcher: &'a mut Dispatcher,
    pub(crate) queues: &'a mut TenantQueues,
    pub(crate) metrics: &'a mut Metrics,
    /// The waits that ended in this turn.
    pub(crate) finished_waits: &'a mut Vec<FinishedWait>,
    /// The decisions to act on, in the order in which they were made.
    pub(crate) due: Vec<(StatementId, Decision)>,
}

impl Turn<'_> {
    /// Offers the waiting statements and returns the decisions to act on.
    pub(crate) fn run(mut self) -> Vec<(StatementId, Decision)> {
        let capacity = self.dispatcher.capacity(self.now);
        let traffic_share = self.dispatcher.traffic_share();
        self.queues.begin_round(self.now, capacity, traffic_share);
        for position in self.queues.past_useful_until(self.now) {
            self.offer(Offer {
                position,
                borrowed: false,
            });
        }
        self.offer_in_order();
        self.due
    }

    /// Offers waiting statements and retries, the earliest deadline first. Statements that already
    /// had an attempt wait in the dispatcher's own queue.
    fn offer_in_order(&mut self) {
        let retries = self.dispatcher.queue_positions();
        let mut retries = retries.into_iter().peekable();
        loop {
            let next = self.queues.next_offer();
            let precedes_offer =
                |position: &QueuePosition| next.is_none_or(|next| *position < next.position);
            while let Some(position) = retries.next_if(precedes_offer) {
                self.place_retry(position.id);
            }
            let Some(next) = next else { return };
            self.offer(next);
        }
    }

    /// Asks the dispatcher to place a statement from its own queue.
    fn place_retry(&mut self, id: StatementId) {
        let decision = self.dispatcher.place(self.now, id);
        match decision {
            Decision::Queued => return,
            Decision::Forward(order) => {
                self.queues.charge_retry(self.now, id, order.charge.secs());
            }
            Decision::Reject { .. } | Decision::Fail => self.queues.close_charge(id),
        }
        self.due.push((id, decision));
    }

    /// Asks the dispatcher to place a waiting statement. It keeps waiting if there is no capacity.
    fn offer(&mut self, offer: Offer) {
        let id = offer.position.id;
        let decision = self.dispatcher.offer(self.now, id, offer.borrowed);
        match decision {
            Decision::Queued => return self.keep_waiting(id, offer.borrowed),
            Decision::Forward(order) => {
                let wait = self.queues.release(self.now, id, order.charge.secs());
                self.metrics.record_release(wait.as_ref());
                self.finished_waits.extend(wait);
            }
            Decision::Reject { .. } | Decision::Fail => {
                self.metrics.rejected_while_waiting += 1;
                self.finished_waits.extend(self.queues.remove(self.now, id));
            }
        }
        self.due.push((id, decision));
    }

    fn keep_waiting(&mut self, id: StatementId, borrowed: bool) {
        self.metrics.offers_without_capacity += 1;
        let useful_until = self
            .dispatcher
            .forecast(self.now, id)
            .map_or(self.now, |forecast| forecast.useful_until);
        self.queues.no_capacity(id, borrowed, useful_until);
    }
}
