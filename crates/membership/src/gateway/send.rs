//! Messages out: each carries the sender, its view, and as much gossip as fits.

use std::net::SocketAddr;

use admission::interface::{TimeDelta, Timestamp};

use super::Datagram;
use super::Gateway;
use crate::bounds::UPDATES;
use crate::message::{self, Body, Message};
use crate::probes::Purpose;
use crate::who::{Life, Name, Record, State};

/// Payloads of other subsystems that wait to be taken.
pub(super) const CARRIED: usize = 256;
/// The longest payload: beside it a message has room for its sender and a refutation.
pub const LONGEST_CARRIED: usize = 850;
/// An update is told this many times the logarithm of the fleet's size.
pub(super) const RETELL: f64 = 3.0;
/// No record takes fewer bytes in a message.
const LEAST_RECORD: usize = 16;

impl Gateway {
    /// Carries words to another gateway of the fleet. False: it is not held to be there, or they are too long.
    pub fn carry(&mut self, now: Timestamp, to: &Name, words: Vec<u8>) -> bool {
        let there = self
            .table
            .get(to)
            .filter(|held| held.counts())
            .map(|held| held.record.address);
        let Some(address) =
            there.filter(|_| words.len() <= LONGEST_CARRIED && self.out_until.is_none())
        else {
            return false;
        };
        self.send(now, address, Some(to), Body::Carried(words), Vec::new());
        true
    }

    /// Words that came for another subsystem, each from a gateway that is known in this life at its own address.
    pub fn take_carried(&mut self) -> Vec<(Name, Life, Vec<u8>)> {
        std::mem::take(&mut self.carried)
    }

    pub(super) fn send(
        &mut self,
        now: Timestamp,
        to: SocketAddr,
        name: Option<&Name>,
        body: Body,
        first: Vec<Record>,
    ) {
        self.counter += 1;
        let view = self.view();
        let mut message = Message {
            fleet: self.fleet.clone(),
            from: self.own.clone(),
            counter: self.counter,
            view,
            body,
            records: first,
            engines: Vec::new(),
        };
        // What is held of the one it goes to comes first: only that one can refute it.
        let held = name
            .and_then(|name| self.table.get(name))
            .filter(|held| held.known);
        message.records.extend(
            held.filter(|held| held.record.state != State::Alive)
                .map(|held| held.record.clone()),
        );
        let mut room = message::room(&message);
        if !self.sweep.is_empty() || !matches!(message.body, Body::Page { .. }) {
            room = self.add_engine_news(now, &mut message, room);
        }
        if name.is_none_or(|name| self.seems_reached(name)) {
            self.add_updates_within_budget(now, &mut message, room);
        }
        let bytes = message::seal(&self.ring, &message);
        self.tally.sent += 1;
        self.tally.sent_bytes += bytes.len() as u64;
        self.out.push(Datagram { to, bytes });
    }

    /// News of engines, up to a third of the room each; returns what is left.
    fn add_engine_news(&self, now: Timestamp, message: &mut Message, mut room: usize) -> usize {
        for news in self.engines.to_tell(now, &self.terms) {
            let size = message::size(&news);
            if size * 3 > room {
                break;
            }
            room -= size;
            message.engines.push(news);
        }
        room
    }

    /// With bounds no gossip is spent on a gateway that probably does not receive it.
    fn seems_reached(&self, name: &Name) -> bool {
        let alive = |name| {
            self.table
                .get(name)
                .is_none_or(|held| held.record.state == State::Alive)
        };
        self.terms.bounds.is_none() || !self.confirming.contains_key(name) && alive(name)
    }

    /// Updates of gossip: as many as fit, and with bounds as the budget has bytes for.
    fn add_updates_within_budget(&mut self, now: Timestamp, message: &mut Message, room: usize) {
        if self.terms.bounds.is_none() {
            self.add_updates(message, room);
            return;
        }
        let budget = self.gossip_bytes.left(now).max(0.0) as usize;
        let before = self.updates.len();
        self.tally.bounded_gossip += u64::from(budget < room && before > 0);
        let spent = self.add_updates(message, room.min(budget));
        self.gossip_bytes.spend(spent as f64);
    }

    /// Updates of gossip, as many as fit; returns their bytes.
    fn add_updates(&mut self, message: &mut Message, mut room: usize) -> usize {
        let before = room;
        // The least told first, by name among equals: the map has them in that order, and the sort keeps it. A message holds a
        // few; of hundreds only these are looked at.
        let mut told: Vec<(u32, &Name)> = self
            .updates
            .iter()
            .map(|(name, left)| (*left, name))
            .collect();
        told.sort_by_key(|(left, _)| std::cmp::Reverse(*left));
        let fit = room / LEAST_RECORD + 1;
        let told: Vec<Name> = told
            .into_iter()
            .take(fit)
            .map(|(_, name)| name.clone())
            .collect();
        for name in told {
            let Some(held) = self.table.get(&name).filter(|held| held.known) else {
                self.updates.remove(&name);
                continue;
            };
            let size = message::size(&held.record);
            if size > room {
                break;
            }
            room -= size;
            message.records.push(held.record.clone());
            let left = self.updates.get_mut(&name).expect("just listed");
            *left -= 1;
            if *left == 0 {
                self.updates.remove(&name);
            }
        }
        before - room
    }

    pub(super) fn ask(&mut self, now: Timestamp, purpose: Purpose, to: SocketAddr) {
        let name = match &purpose {
            Purpose::Probe(name) | Purpose::DirectProbe(name) => Some(name.clone()),
            Purpose::RejoinProbe(gone) => gone.clone(),
            Purpose::IndirectProbe { .. } => None,
        };
        let (answer, period) = (self.terms.answer, self.terms.period);
        // A probe that is repeated has no whole period; and a gateway that doubts itself stretches it by the root only, or
        // one that all others left would take minutes to say so.
        let repeated =
            matches!(&purpose, Purpose::Probe(name) if self.confirming.contains_key(name));
        let short = TimeDelta::from_secs(answer.secs() / self.probes.stretch().sqrt());
        let (answer, over) = if repeated {
            (short, TimeDelta::from_secs(short.secs() * 2.0))
        } else {
            (answer, period)
        };
        let nonce = self
            .probes
            .ask(now, purpose, to, answer, over, &mut self.rng);
        self.send(now, to, name.as_ref(), Body::Ping(nonce), Vec::new());
    }

    /// Told on with the next messages.
    pub(super) fn disseminate(&mut self, name: &Name) {
        if self.terms.bounds.is_none() {
            let times = RETELL * ((self.size() + 1) as f64).log2().ceil();
            self.updates.insert(name.clone(), times as u32);
            return;
        }
        let died = self
            .table
            .get(name)
            .is_some_and(|held| held.record.state == State::Dead);
        if died && self.updates.contains_key(name) {
            // It is being told as suspected: from now on it is told as dead, as often as was left.
            return;
        }
        let times = RETELL * ((self.table.len() + 2) as f64).log2().ceil();
        self.updates.insert(name.clone(), times as u32);
        if self.updates.len() > UPDATES {
            let told = self
                .updates
                .iter()
                .min_by_key(|(_, left)| **left)
                .map(|(name, _)| name.clone());
            told.map(|name| self.updates.remove(&name));
        }
    }
}
