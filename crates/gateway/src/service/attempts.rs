//! Attempts of statements at engines: picks of the decisions go out, reports of engines come back.

use admission::interface::*;
use dispatch::{Order, Pick, Verdict};

use super::Service;
use crate::engines::{Outgoing, Report};
use crate::fleet::Fleet;

impl Service {
    pub(super) fn reports(&mut self, now: Moment) -> bool {
        let mut any = false;
        loop {
            let reports = self.engines.reports();
            if reports.is_empty() {
                return any;
            }
            any = true;
            reports
                .into_iter()
                .for_each(|report| self.report(now, report));
        }
    }

    pub(super) fn report(&mut self, now: Moment, report: Report) {
        let id = report.statement;
        let Some(in_flight) = self.in_flight.get_mut(&id) else {
            return;
        };
        let mut news = report.news;
        if let News::Completed { cpu, memory_mb } = &mut news
            && !self.bills
        {
            (*cpu, *memory_mb) = (None, None);
        }
        let still_out = matches!(news, News::Progress(_) | News::Strained | News::Streaming);
        in_flight
            .out
            .retain(|relay| still_out || *relay != report.relay);
        let completed = matches!(news, News::Completed { .. });
        let failed = !still_out && !completed && news != News::Cancelled && !in_flight.answered;
        if let Some(parts) = self
            .fleet
            .as_mut()
            .and_then(Fleet::parts)
            .filter(|_| failed)
        {
            parts.wants_relay(in_flight.product);
        }
        if completed && !in_flight.answered {
            let pages = report.pages;
            self.counters.completed += 1;
            self.answer(now, id, |answer| {
                answer.result(pages.iter().map(|page| &page[..]))
            });
        }
        match self
            .hall
            .report(now, id, report.relay, news, report.latency, completed)
        {
            Verdict::Nothing => {}
            Verdict::Cancel(relay) => self.engines.cancel(now, id, relay, &mut self.counters),
            Verdict::Deny { come_back } => self.reject(now, id, come_back),
            Verdict::Scrap => self.fail(now, id),
        }
        self.forget(id);
    }

    pub(super) fn picked(&mut self, now: Moment, id: StatementId, pick: Pick) {
        match pick {
            Pick::Held => {}
            Pick::Relay(order) => self.relay(now, id, order),
            Pick::Deny { come_back } => self.reject(now, id, come_back),
            Pick::Scrap => self.fail(now, id),
        }
        self.forget(id);
    }

    pub(super) fn relay(&mut self, now: Moment, id: StatementId, order: Order) {
        let Some(in_flight) = self.in_flight.get_mut(&id) else {
            return;
        };
        if let Some(parts) = self.fleet.as_mut().and_then(Fleet::parts)
            && (order.again || order.trial)
            && !parts.spend(in_flight.product, order.again, order.trial)
        {
            return self.unspent(now, id, order.relay);
        }
        in_flight.out.push(order.relay);
        let outgoing = Outgoing {
            statement: id,
            relay: order.relay,
            engine: order.engine,
            rid: in_flight.rid,
            product: &self.products[in_flight.product],
            tags: &in_flight.tags,
            text: &in_flight.text,
            due: self.answer_by.map_or(order.due, |by| by.min(order.due)),
            rank: order.rank,
            leave_by: order.leave_by,
            avoid: &in_flight.went_on,
        };
        let went_on = self.engines.send(now, &outgoing, &mut self.counters);
        in_flight.went_on.extend(went_on);
    }

    /// The share that a relay was to go on ended before it went: back in line, as one that never left.
    pub(super) fn unspent(&mut self, now: Moment, id: StatementId, relay: RelayNo) {
        match self
            .hall
            .report(now, id, relay, News::NeverSent, Span::ZERO, false)
        {
            Verdict::Nothing | Verdict::Cancel(_) => {}
            Verdict::Deny { come_back } => self.reject(now, id, come_back),
            Verdict::Scrap => self.fail(now, id),
        }
    }
}
