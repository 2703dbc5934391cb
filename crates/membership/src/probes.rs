//! Questions that are out, whom to ask next, and how far this gateway can trust its own time-outs.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use admission::interface::{TimeDelta, Timestamp};
use rand::RngExt;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;

use crate::message::Nonce;
use crate::who::{Name, Record};

/// How many times over a gateway that does badly itself stretches its time-outs.
const WORST_HEALTH: u32 = 8;

#[derive(Clone, Debug, PartialEq)]
pub enum Purpose {
    /// In turn, or since something was heard: no answer makes it suspect.
    Probe(Name),
    /// One never met: no answer and it is forgotten.
    DirectProbe(Name),
    /// A seed, or one that had gone, by its name: no answer means nothing.
    RejoinProbe(Option<Name>),
    /// For another gateway that cannot reach it.
    IndirectProbe { asker: SocketAddr, nonce: Nonce },
}

#[derive(Clone, Debug)]
pub struct Asked {
    pub purpose: Purpose,
    pub to: SocketAddr,
    /// When the next step is due: others are asked, or it is over.
    pub due: Timestamp,
    pub over: Timestamp,
    /// Helpers that were asked, and those of them that said they are well but had no answer either.
    pub helpers: BTreeSet<SocketAddr>,
    pub silent: usize,
}

#[derive(Clone, Debug)]
pub struct Probes {
    out: BTreeMap<Nonce, Asked>,
    /// The rest of this round, in an order by chance: each is probed once a round.
    round: Vec<Name>,
    health: u32,
}

impl Probes {
    pub fn new() -> Self {
        Probes {
            out: BTreeMap::new(),
            round: Vec::new(),
            health: 0,
        }
    }

    /// How many times its own time-outs this gateway waits, from 1.
    pub fn stretch(&self) -> f64 {
        1.0 + f64::from(self.health)
    }

    pub fn better(&mut self) {
        self.health = self.health.saturating_sub(1);
    }

    pub fn worse(&mut self) {
        self.health = (self.health + 1).min(WORST_HEALTH);
    }

    /// The next in turn.
    pub fn next(
        &mut self,
        fleet: impl Fn() -> Vec<Name>,
        there: impl Fn(&Name) -> bool,
        rng: &mut Pcg64Mcg,
    ) -> Option<Name> {
        for _ in 0..2 {
            while let Some(name) = self.round.pop() {
                if there(&name) {
                    return Some(name);
                }
            }
            self.round = fleet();
            self.round.shuffle(rng);
        }
        None
    }

    pub fn ask(
        &mut self,
        now: Timestamp,
        purpose: Purpose,
        to: SocketAddr,
        answer: TimeDelta,
        over: TimeDelta,
        rng: &mut Pcg64Mcg,
    ) -> Nonce {
        let nonce = Nonce(rng.random());
        let stretch = if matches!(purpose, Purpose::IndirectProbe { .. }) {
            1.0
        } else {
            self.stretch()
        };
        let after = |span: TimeDelta| now + TimeDelta::from_secs(span.secs() * stretch);
        let (due, over) = (after(answer), after(over));
        let due = if matches!(purpose, Purpose::Probe(_)) {
            due
        } else {
            over
        };
        self.out.insert(
            nonce,
            Asked {
                purpose,
                to,
                due,
                over,
                helpers: BTreeSet::new(),
                silent: 0,
            },
        );
        nonce
    }

    pub fn get_mut(&mut self, nonce: Nonce) -> Option<&mut Asked> {
        self.out.get_mut(&nonce)
    }

    pub fn take(&mut self, nonce: Nonce) -> Option<Asked> {
        self.out.remove(&nonce)
    }

    /// Whether this one is being asked already.
    pub fn asks(&self, name: &Name) -> bool {
        self.out.values().any(
            |asked| matches!(&asked.purpose, Purpose::Probe(of) | Purpose::DirectProbe(of) if of == name),
        )
    }

    pub fn direct_probes(&self) -> usize {
        self.out
            .values()
            .filter(|asked| matches!(asked.purpose, Purpose::DirectProbe(_)))
            .count()
    }

    pub fn helps(&self) -> usize {
        self.out
            .values()
            .filter(|asked| matches!(asked.purpose, Purpose::IndirectProbe { .. }))
            .count()
    }

    pub fn due(&self) -> Option<Timestamp> {
        self.out.values().map(|asked| asked.due).min()
    }

    pub fn now_due(&self, now: Timestamp) -> Vec<Nonce> {
        self.out
            .iter()
            .filter(|(_, asked)| asked.due <= now)
            .map(|(nonce, _)| *nonce)
            .collect()
    }

    /// This gateway stood still: whether others answered meanwhile cannot be told.
    pub fn forgive(&mut self) {
        self.out.clear();
        self.worse();
    }
}

impl Default for Probes {
    fn default() -> Self {
        Self::new()
    }
}

/// As many of these as asked for, by chance.
pub fn some<'a>(
    of: impl Iterator<Item = &'a Record>,
    count: usize,
    rng: &mut Pcg64Mcg,
) -> Vec<&'a Record> {
    let mut all: Vec<&Record> = of.collect();
    let count = count.min(all.len());
    for at in 0..count {
        let other = rng.random_range(at..all.len());
        all.swap(at, other);
    }
    all.truncate(count);
    all
}
