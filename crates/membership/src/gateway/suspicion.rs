//! Suspicion: how it begins, how it is cleared, and when it ends in death.

use admission::interface::Timestamp;

use super::Gateway;
use crate::table::{Held, Suspicion};
use crate::who::{Name, Record, State};

/// Suspicion ends sooner with each host that agrees, up to so many.
const AGREE: f64 = 3.0;

impl Gateway {
    pub(super) fn suspect(&mut self, now: Timestamp, name: &Name) {
        let Some(held) = self.table.get_mut(name) else {
            return;
        };
        if held.record.state != State::Alive || !held.known {
            return;
        }
        held.record.state = State::Suspect;
        held.suspicion = Some(Suspicion {
            began: now,
            renewed: false,
        });
        self.tally.suspected += 1;
        self.changed(now, name);
    }

    /// Others reach it.
    pub(super) fn cleared(&mut self, now: Timestamp, name: &Name) {
        self.confirmed_alive(name);
        let Some(held) = self.table.get_mut(name) else {
            return;
        };
        if held.record.state == State::Suspect {
            held.record.state = State::Alive;
            held.suspicion = None;
            self.changed(now, name);
        }
    }

    /// One that was held for dead is back. With bounds the suspicions that stand begin anew: a cut may have ended, and those
    /// suspected since then have had no time to say that they are there.
    pub(super) fn returned(&mut self, now: Timestamp, name: &Name) {
        self.tally.revived += 1;
        if self.terms.bounds.is_none() {
            return;
        }
        if let Some(held) = self.table.beside(name) {
            held.returned = Some(now);
        }
        for suspicion in self.table.suspicions() {
            if !suspicion.renewed {
                *suspicion = Suspicion {
                    began: now,
                    renewed: true,
                };
            }
        }
    }

    /// Suspicion ends in death when it was not refuted in time: sooner the more independent gateways share it.
    pub(super) fn suspicions(&mut self, now: Timestamp) {
        let size = (self.size() as f64).max(10.0);
        let least = self.terms.suspicion * self.terms.period.secs() * size.log10();
        let most = least * self.terms.patience;
        let over = |held: &&Held| {
            let Some(suspicion) = held.suspicion else {
                return false;
            };
            let record = &held.record;
            let same = |says: &Record| {
                says.life == record.life
                    && says.incarnation >= record.incarnation
                    && says.state > State::Alive
            };
            let agree = (held.hosts(now, same).len() as f64).min(AGREE);
            let wait = (most - (most - least) * (agree + 1.0).ln() / (AGREE + 1.0).ln()).max(least);
            (now - suspicion.began).secs() >= wait * self.probes.stretch().sqrt()
        };
        let dead: Vec<Name> = self
            .table
            .fleet()
            .filter(over)
            .map(|held| held.record.name.clone())
            .collect();
        for name in dead {
            let held = self.table.get_mut(&name).expect("just listed");
            held.record.state = State::Dead;
            held.suspicion = None;
            self.tally.died += 1;
            self.changed(now, &name);
        }
    }
}
