//! What is held of other gateways: on their own word, and on that of enough independent witnesses.

use admission::interface::Timestamp;

use super::Event;
use super::Gateway;
use super::identity::LEAP;
use crate::bounds::RETURNED_S;
use crate::who::{Incarnation, Name, Record, State};

impl Gateway {
    /// It answered this gateway itself: that outweighs what anybody says.
    pub(super) fn answered_itself(&mut self, now: Timestamp, from: &Record) {
        self.met = true;
        let name = &from.name;
        self.confirmed_alive(name);
        let Some(held) = self.table.beside(name) else {
            if self.table.add(now, from.clone(), true) {
                let held = self.table.get_mut(name).expect("just added");
                held.answered = Some(now);
                self.changed(now, name);
                // It may know more than the seed it came by.
                self.next_pull = now;
            }
            return;
        };
        let other = held.record.life != from.life;
        let older =
            from.incarnation <= held.record.incarnation || held.record.address != from.address;
        if other && older && held.counts() {
            // An earlier life is still held: it hears of that with this answer, and rises. At another address it waits
            // until nobody answers at the first, or any process could take a name that is in use.
            return;
        }
        held.answered = Some(now);
        held.failed_looks = 0;
        let (known, before) = (
            std::mem::replace(&mut held.known, true),
            held.record.clone(),
        );
        let incarnation = if other {
            from.incarnation
        } else {
            from.incarnation.max(before.incarnation)
        };
        held.record = Record {
            incarnation,
            ..from.clone()
        };
        held.suspicion = None;
        if from.state == State::Alive {
            held.witnesses
                .retain(|_, witness| witness.says.incarnation > incarnation);
        }
        let changed = !known || before != held.record;
        let revived = known && before.state == State::Dead && !other && from.state == State::Alive;
        if revived {
            self.returned(now, name);
        }
        if changed {
            self.changed(now, name);
        }
    }

    /// Its own word of itself, from its own address: believed of one that is known at that address, else looked into.
    pub(super) fn direct_word(&mut self, now: Timestamp, from: &Record) {
        let Some(held) = self.table.beside(&from.name) else {
            if from.state.counts() && self.table.add(now, from.clone(), false) {
                self.verify_now(now, &from.name, from.address);
            }
            return;
        };
        let same =
            held.known && held.record.life == from.life && held.record.address == from.address;
        if !same {
            if from.state.counts() {
                self.verify_now(now, &from.name, from.address);
            }
            return;
        }
        if from.incarnation <= held.record.incarnation && held.record.state == State::Alive {
            return;
        }
        match from.state {
            State::Left => {
                if held.record.state != State::Left {
                    held.record = from.clone();
                    held.suspicion = None;
                    self.changed(now, &from.name);
                }
            }
            _ if from.incarnation > held.record.incarnation => {
                let dead = held.record.state == State::Dead;
                held.record = from.clone();
                held.suspicion = None;
                if dead {
                    self.returned(now, &from.name);
                }
                self.changed(now, &from.name);
            }
            // Held for worse at this incarnation: it will hear of it, and rise.
            _ => {
                self.verify_now(now, &from.name, from.address);
            }
        }
    }

    pub(super) fn gossip(&mut self, now: Timestamp, by: &Record, word: Record) {
        if word.name == self.own.name {
            self.of_me(now, &word);
            return;
        }
        if word.name == by.name {
            return;
        }
        let ahead = self
            .table
            .get(&word.name)
            .map_or(word.incarnation.0, |held| {
                word.incarnation.0.saturating_sub(held.record.incarnation.0)
            });
        if word.incarnation > Incarnation::LAST || ahead > LEAP {
            self.tally.beyond += 1;
            return;
        }
        let new = self.table.get(&word.name).is_none();
        if new && !(word.state.counts() && self.table.add(now, word.clone(), false)) {
            return;
        }
        let name = word.name.clone();
        if self.terms.bounds.is_some() && self.says_nothing_new(now, by, &word) {
            return;
        }
        if self.terms.bounds.is_some() && self.was_cut_off(now, by, &word) {
            let at = self
                .table
                .get(&name)
                .map_or(word.address, |held| held.record.address);
            let first = self.verify(now, &name, at);
            self.tally.unvouched += u64::from(first);
            return;
        }
        self.table.witness(now, &by.name, by.address.ip(), word);
        self.weigh(now, &name);
    }

    /// With bounds: whether this is word of a failure by a gateway that came back lately. Two of them would make each gateway
    /// of the half that they did not reach suspect, all at once.
    fn was_cut_off(&self, now: Timestamp, by: &Record, word: &Record) -> bool {
        let failed = matches!(word.state, State::Suspect | State::Dead);
        let returned = self.table.get(&by.name).and_then(|held| held.returned);
        failed && returned.is_some_and(|returned| (now - returned).secs() < RETURNED_S)
    }

    /// With bounds: word that agrees with what is held, or that a gateway held alive rose meanwhile, needs no witnesses and
    /// no probe. What this witness said before is withdrawn by it.
    fn says_nothing_new(&mut self, now: Timestamp, by: &Record, word: &Record) -> bool {
        let Some(held) = self.table.get(&word.name).filter(|held| held.known) else {
            return false;
        };
        let same_gateway = held.record.life == word.life && held.record.address == word.address;
        let both_alive =
            held.record.state == State::Alive && word.state == State::Alive && same_gateway;
        let gone_already = !held.counts()
            && word.state > State::Alive
            && word.life == held.record.life
            && word.incarnation <= held.record.incarnation;
        if held.differs(word) && !both_alive && !gone_already {
            return false;
        }
        let equal = held.record == *word;
        let alive_elsewhere =
            held.record.state == State::Dead && word.state == State::Alive && same_gateway;
        if alive_elsewhere && word.incarnation == held.record.incarnation {
            // Who is held for dead here alone is not told of it by anybody else: a probe tells it, and it rises.
            let at = held.record.address;
            self.verify(now, &word.name, at);
        }
        self.table.withdraw(&by.name, &word.name);
        if equal && let Some(left) = self.updates.get_mut(&word.name) {
            // Others tell it too.
            *left -= 1;
            if *left == 0 {
                self.updates.remove(&word.name);
            }
        }
        true
    }

    /// What enough independent witnesses say of one is held; what fewer say is looked into.
    pub(super) fn weigh(&mut self, now: Timestamp, name: &Name) {
        let need = self.terms.voices();
        let Some(held) = self.table.get(name) else {
            return;
        };
        // Nearly all that is heard of one is what is held of it; weighing witnesses costs many times this look.
        if held.known && !held.dissent() {
            return;
        }
        let (record, counts) = (held.record.clone(), held.counts());
        if !held.known {
            self.weigh_candidate(now, name);
            return;
        }
        let newer =
            |says: &Record| says.state == State::Alive && says.incarnation > record.incarnation;
        if let Some(vouched) = held.vouched(now, self.table.witness_lasts(true), need, newer) {
            let held = self.table.get_mut(name).expect("just seen");
            let dead = held.record.state == State::Dead && held.record.life == vouched.life;
            held.record = vouched;
            held.suspicion = None;
            if dead {
                self.returned(now, name);
            }
            self.changed(now, name);
            return;
        }
        let any_newer = held.hosts(now, newer).len();
        let same =
            |says: &Record| says.life == record.life && says.incarnation >= record.incarnation;
        let left = held
            .hosts(now, |says| same(says) && says.state == State::Left)
            .len();
        let bad = held
            .hosts(now, |says| same(says) && says.state > State::Alive)
            .len();
        let witness = held
            .witnesses
            .values()
            .rev()
            .map(|witness| &witness.says)
            .find(|says| newer(says));
        let at = witness.map_or(record.address, |says| says.address);
        if counts && left >= need {
            let held = self.table.get_mut(name).expect("just seen");
            held.record.state = State::Left;
            held.suspicion = None;
            self.changed(now, name);
        } else if counts && bad >= need && record.state == State::Alive {
            self.suspect(now, name);
        } else if any_newer > 0 || counts && bad > 0 && record.state == State::Alive {
            let first = self.verify(now, name, at);
            self.tally.unvouched += u64::from(first);
        }
    }

    /// One that is not in the fleet yet: enough witnesses bring it in.
    fn weigh_candidate(&mut self, now: Timestamp, name: &Name) {
        let Some(held) = self.table.get(name) else {
            return;
        };
        let address = held.record.address;
        let lasts = self.table.witness_lasts(false);
        match held.vouched(now, lasts, self.terms.voices(), |says| says.state.counts()) {
            Some(vouched) => {
                let held = self.table.get_mut(name).expect("just seen");
                (held.record, held.known) = (
                    Record {
                        state: State::Alive,
                        ..vouched
                    },
                    true,
                );
                self.met = true;
                self.direct_probes.remove(name);
                self.changed(now, name);
            }
            None => {
                let first = self.verify(now, name, address);
                self.tally.unvouched += u64::from(first);
            }
        }
    }

    pub(super) fn changed(&mut self, now: Timestamp, name: &Name) {
        let Some(held) = self.table.get_mut(name) else {
            return;
        };
        held.since = now;
        let (state, incarnation) = (held.record.state, held.record.incarnation);
        self.settled_by_others(name);
        self.disseminate(name);
        self.event(Event::Changed {
            name: name.clone(),
            state,
            incarnation,
        });
    }
}
