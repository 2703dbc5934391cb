//! One turn of the scheduler: what waits is offered to the decision module as far as there is capacity.

use admission::interface::{QueuePosition, StatementId, Timestamp};
use dispatch::{Decision, Dispatcher};

use crate::metrics::Metrics;
use crate::tenant_queues::{Offer, TenantQueues};
use crate::waiting::FinishedWait;

/// What one turn works on, and what comes of it.
pub(crate) struct Turn<'a> {
    pub(crate) now: Timestamp,
    pub(crate) dispatcher: &'a mut Dispatcher,
    pub(crate) queues: &'a mut TenantQueues,
    pub(crate) metrics: &'a mut Metrics,
    /// The waits that ended in this turn.
    pub(crate) finished_waits: &'a mut Vec<FinishedWait>,
    /// Decisions to act on, in the order in which they were made.
    pub(crate) due: Vec<(StatementId, Decision)>,
}

impl Turn<'_> {
    /// Offers what waits; the decisions to act on.
    pub(crate) fn run(mut self) -> Vec<(StatementId, Decision)> {
        let capacity = self.dispatcher.capacity(self.now);
        let traffic_share = self.dispatcher.traffic_share();
        self.queues.begin_round(self.now, capacity, traffic_share);
        for position in self.queues.past_use(self.now) {
            self.offer(Offer {
                position,
                borrowed: false,
            });
        }
        self.offer_in_order();
        self.due
    }

    /// Statements with an attempt behind them wait in the dispatcher's own queue. Of both queues the earliest deadline
    /// goes first.
    fn offer_in_order(&mut self) {
        let retries = self.dispatcher.queue_positions();
        let mut retries = retries.into_iter().peekable();
        loop {
            let next = self.queues.next_offer();
            let goes_first =
                |position: &QueuePosition| next.is_none_or(|next| *position < next.position);
            while let Some(position) = retries.next_if(goes_first) {
                self.place_retry(position.id);
            }
            let Some(next) = next else { return };
            self.offer(next);
        }
    }

    /// Asks the dispatcher about a statement of its own queue.
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

    /// Asks the dispatcher about a waiting statement. Without capacity it waits on.
    fn offer(&mut self, offer: Offer) {
        let id = offer.position.id;
        let decision = self.dispatcher.offer(self.now, id, offer.borrowed);
        match decision {
            Decision::Queued => return self.wait_on(id, offer.borrowed),
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

    fn wait_on(&mut self, id: StatementId, borrowed: bool) {
        self.metrics.offers_without_capacity += 1;
        let useful_until = self
            .dispatcher
            .forecast(self.now, id)
            .map_or(self.now, |forecast| forecast.useful_until);
        self.queues.no_capacity(id, borrowed, useful_until);
    }
}
