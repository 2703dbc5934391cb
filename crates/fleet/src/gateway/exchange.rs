//! Full exchange: parts of tables asked for and given out.

use std::net::SocketAddr;

use admission::interface::{Moment, Span};

use super::Gateway;
use crate::bounds::{ByteBudget, CANDIDATES, PAGE_BYTES, STILL_PERIODS};
use crate::message::{self, Body};
use crate::probes::some;
use crate::who::{Name, Record, State};

/// Periods between full exchanges.
const PULL: f64 = 10.0;
/// Parts of others' tables that one asks for a second: a fleet whose views differ must not talk of nothing else.
pub(super) const PULLS_PER_S: f64 = 4.0;

impl Gateway {
    pub(super) fn page(&mut self, now: Moment, to: SocketAddr, after: Option<&Name>) {
        let mut page = Vec::new();
        let (mut room, mut next) = (message::LONGEST * 3 / 4, None);
        for held in self.table.after(after).filter(|held| held.record.state != State::Suspect) {
            let size = message::size(&held.record);
            if size > room {
                next = page.last().map(|record: &Record| record.name.clone());
                break;
            }
            room -= size;
            page.push(held.record.clone());
        }
        self.send(now, to, None, Body::Page { next }, page);
    }

    /// A full exchange with one by chance: now and then, and soon where its view is another.
    pub(super) fn pull(&mut self, now: Moment) {
        if self.next_pull > now {
            return;
        }
        let Some(wait) = self.pull_wait(now) else { return };
        self.next_pull = now + Span::from_secs(self.terms.period.secs() * wait * self.chance());
        let all =
            self.table.fleet().filter(|held| held.record.state == State::Alive).map(|held| &held.record);
        let to = some(all, 1, &mut self.rng).first().map(|record| (record.address, record.name.clone()));
        if let Some((to, name)) = to.filter(|_| self.pulls.take(now) && self.may_ask_page(now)) {
            self.last_pull = now;
            let after = self.pull_after.clone();
            self.send(now, to, Some(&name), Body::Pull { after }, Vec::new());
        }
    }

    /// Periods until the next full exchange; `None`: none is needed.
    fn pull_wait(&mut self, now: Moment) -> Option<f64> {
        let seen = self.seen(now);
        if self.pull_after.is_some() {
            return Some(1.0);
        }
        let differ = seen.other > 0;
        if self.terms.bounds.is_none() {
            return Some(if differ { 3.0 } else { PULL });
        }
        let periods = |since: Moment| (now - since).secs() / self.terms.period.secs();
        let still = periods(self.view_since.1) >= STILL_PERIODS || periods(self.last_pull) >= PULL;
        (seen.candidates > CANDIDATES || differ && still).then_some(STILL_PERIODS)
    }

    /// With bounds: whether the budget has bytes for one more page to come, which are spent by it.
    pub(super) fn may_ask_page(&mut self, now: Moment) -> bool {
        let bounded = self.terms.bounds.is_some();
        let may = !bounded || spend_page(&mut self.pages_in_bytes, now);
        self.tally.bounded_exchange += u64::from(!may);
        may
    }

    /// The same of one to give out.
    pub(super) fn may_give_page(&mut self, now: Moment) -> bool {
        let bounded = self.terms.bounds.is_some();
        let may = !bounded || spend_page(&mut self.pages_out_bytes, now);
        self.tally.bounded_exchange += u64::from(!may);
        may
    }
}

fn spend_page(budget: &mut ByteBudget, now: Moment) -> bool {
    let may = budget.left(now) >= PAGE_BYTES;
    if may {
        budget.spend(PAGE_BYTES);
    }
    may
}
