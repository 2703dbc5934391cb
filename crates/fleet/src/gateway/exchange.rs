//! Full exchange: parts of tables asked for and given out.

use std::net::SocketAddr;

use admission::interface::{Moment, Span};

use super::Gateway;
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
        let differ = self.seen(now).other > 0;
        let wait = if self.pull_after.is_some() {
            1.0
        } else if differ {
            3.0
        } else {
            PULL
        };
        self.next_pull = now + Span::from_secs(self.terms.period.secs() * wait * self.chance());
        let all =
            self.table.fleet().filter(|held| held.record.state == State::Alive).map(|held| &held.record);
        let to = some(all, 1, &mut self.rng).first().map(|record| (record.address, record.name.clone()));
        if let Some((to, name)) = to.filter(|_| self.pulls.take(now)) {
            let after = self.pull_after.clone();
            self.send(now, to, Some(&name), Body::Pull { after }, Vec::new());
        }
    }
}
