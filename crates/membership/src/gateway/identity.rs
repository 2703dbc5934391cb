//! What others say of this gateway itself: refutation, an earlier life, a second process of its name.

use std::net::SocketAddr;

use admission::interface::{TimeDelta, Timestamp};
use rand::RngExt;

use super::Event;
use super::Gateway;
use crate::message::Body;
use crate::probes::Purpose;
use crate::who::{Incarnation, Record, State};

/// Gossip that is further ahead than this is no word of a gateway that lives as others do.
pub(super) const LEAP: u32 = 100;
/// The same of this gateway itself, which knows how far it rose: some for what others were made to hold.
const OWN_LEAP: u32 = 16;
/// A gateway that gave way to another of its name stays out of the fleet for so many seconds.
const GIVE_WAY_S: f64 = 30.0;

impl Gateway {
    /// What others hold of this gateway: worse than it is, or an earlier life of it.
    pub(super) fn of_me(&mut self, now: Timestamp, word: &Record) {
        // Only this gateway raises its incarnation: a word far above it is no honest one's.
        let ahead = word.incarnation.0.saturating_sub(self.own.incarnation.0);
        let same = word.life == self.own.life;
        if word.incarnation >= Incarnation::LAST || same && ahead > OWN_LEAP {
            self.tally.beyond += 1;
            return;
        }
        if !same {
            self.other_life(now, word);
            return;
        }
        let gone = word.state != State::Alive && self.own.state == State::Alive;
        if gone && word.incarnation >= self.own.incarnation {
            self.rise(word.incarnation);
            self.tally.refuted += 1;
            self.event(Event::Refuted(self.own.incarnation));
        }
    }

    pub(super) fn rise(&mut self, above: Incarnation) {
        self.own.incarnation = above.next();
        self.table.own_changed();
    }

    /// Another life under this name: an earlier one, above which it rises, or a second process, which would answer where
    /// it is said to be.
    pub(super) fn other_life(&mut self, now: Timestamp, word: &Record) {
        // Step by step towards an earlier life far ahead, or one liar's word would use the range up.
        if word.incarnation >= self.own.incarnation && self.rises.take(now) {
            self.rise(
                word.incarnation
                    .min(Incarnation(self.own.incarnation.0.saturating_add(LEAP))),
            );
        }
        if word.address != self.own.address && word.state.counts() && self.twin != Some(word.life) {
            self.twin = Some(word.life);
            self.ask(now, Purpose::RejoinProbe(None), word.address);
        }
    }

    /// A message under this gateway's own name. One that answers a question asked at its address lives as well: who was
    /// together with others stays, who comes later gives way for a time by chance.
    pub(super) fn twin(&mut self, now: Timestamp, src: SocketAddr, from: &Record, body: &Body) {
        if from.life == self.own.life || self.out_until.is_some() {
            return;
        }
        let Body::Ack(nonce) = body else {
            let word = from.clone();
            return self.other_life(now, &word);
        };
        if self
            .probes
            .get_mut(*nonce)
            .is_some_and(|asked| asked.to == src)
        {
            self.probes.take(*nonce);
            self.twin = None;
            if !self.settled {
                self.out_until =
                    Some(now + TimeDelta::from_secs(GIVE_WAY_S * (0.5 + self.rng.random::<f64>())));
            }
            self.event(Event::Doubled { other: from.life });
        }
    }
}
