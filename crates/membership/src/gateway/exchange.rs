//! Full exchange: parts of tables asked for and given out.

use std::net::SocketAddr;

use admission::interface::{TimeDelta, Timestamp};

use super::Gateway;
use crate::bounds::PAGE_BYTES;
use crate::message::{self, Body};
use crate::probes::some;
use crate::who::{Name, Record, State};

/// Periods between full exchanges.
const PULL: f64 = 10.0;
/// Parts of others' tables that one asks for a second: a fleet whose views differ must not talk of nothing else.
pub(super) const PULLS_PER_S: f64 = 4.0;

impl Gateway {
    pub(super) fn page(&mut self, now: Timestamp, to: SocketAddr, after: Option<&Name>) {
        let mut page = Vec::new();
        let (mut room, mut next) = (message::LONGEST * 3 / 4, None);
        for held in self
            .table
            .after(after)
            .filter(|held| held.record.state != State::Suspect)
        {
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
    pub(super) fn pull(&mut self, now: Timestamp) {
        if self.terms.bounds.is_some() {
            return self.compare_in_turn(now);
        }
        if self.next_pull > now {
            return;
        }
        let wait = self.pull_wait(now);
        self.next_pull =
            now + TimeDelta::from_secs(self.terms.period.secs() * wait * self.chance());
        let all = self
            .table
            .fleet()
            .filter(|held| held.record.state == State::Alive)
            .map(|held| &held.record);
        let to = some(all, 1, &mut self.rng)
            .first()
            .map(|record| (record.address, record.name.clone()));
        if let Some((to, name)) = to.filter(|_| self.pulls.take(now)) {
            self.last_pull = now;
            let after = self.pull_after.clone();
            self.send(now, to, Some(&name), Body::Pull { after }, Vec::new());
        }
    }

    /// Periods until the next full exchange.
    fn pull_wait(&mut self, now: Timestamp) -> f64 {
        let seen = self.seen(now);
        match (self.pull_after.is_some(), seen.other > 0) {
            (true, _) => 1.0,
            (false, true) => 3.0,
            (false, false) => PULL,
        }
    }

    /// The next part of a table follows at once; with bounds it waits for the next exchange.
    pub(super) fn pull_on(
        &mut self,
        now: Timestamp,
        to: SocketAddr,
        from: &Name,
        next: Option<Name>,
    ) {
        self.pull_after = next;
        if self.pull_after.is_some() && self.terms.bounds.is_none() && self.pulls.take(now) {
            let after = self.pull_after.clone();
            self.send(now, to, Some(from), Body::Pull { after }, Vec::new());
        }
    }

    /// Whether the budget has bytes to give a part of the table out, which are spent by it; always without bounds.
    pub(super) fn may_give_page(&mut self, now: Timestamp) -> bool {
        self.terms.bounds.is_none() || self.may_spend_exchange(now, PAGE_BYTES)
    }

    /// What was spent for an answer that came out smaller, with bounds.
    pub(super) fn take_back_answer_unused(&mut self) {
        if self.terms.bounds.is_some() {
            self.take_back_unused(PAGE_BYTES);
        }
    }

    /// The last datagram out was paid for with so many bytes: what it did not take comes back.
    pub(super) fn take_back_unused(&mut self, spent: f64) {
        let taken = self
            .out
            .last()
            .map_or(spent, |datagram| datagram.bytes.len() as f64);
        self.exchange_bytes.spend(taken - spent);
    }

    /// With bounds: whether the budget of exchanges has so many bytes, which are spent by it.
    pub(super) fn may_spend_exchange(&mut self, now: Timestamp, bytes: f64) -> bool {
        let may = self.exchange_bytes.left(now) >= bytes;
        self.exchange_bytes.spend(if may { bytes } else { 0.0 });
        self.tally.bounded_exchange += u64::from(!may);
        may
    }
}
