//! Probes: in turn, direct ones after gossip, re-join probes, and indirect probes by others.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use admission::interface::Timestamp;
use rand::seq::SliceRandom;

use super::{Gateway, Verification};
use crate::bounds::{Confirming, HEARSAY_PROBES};
use crate::message::{Body, Nonce};
use crate::probes::{Purpose, some};
use crate::terms::Terms;
use crate::who::{Name, State};

impl Gateway {
    pub(super) fn probe(&mut self, now: Timestamp, name: &Name) {
        if self.probes.asks(name) {
            return;
        }
        let Some(to) = self.table.get(name).map(|held| held.record.address) else {
            return;
        };
        self.tally.probes += 1;
        self.ask(now, Purpose::Probe(name.clone()), to);
    }

    /// Looks for itself at some of those of whom it heard too little to believe it, in an order by chance.
    pub(super) fn start_direct_probes(&mut self, now: Timestamp) {
        let due = self
            .direct_probes
            .iter()
            .filter(|(_, verification)| verification.due <= now);
        let mut names: Vec<Name> = due.map(|(name, _)| name.clone()).collect();
        names.shuffle(&mut self.rng);
        let most = self
            .terms
            .bounds
            .as_ref()
            .map(|bounds| bounds.direct_probes);
        if let Some(most) = most {
            let before = names.len();
            self.keep_some_direct_probes(&mut names, most);
            self.tally.bounded_probes += (before - names.len()) as u64;
        }
        for name in names {
            if most.is_none() && self.probes.direct_probes() >= self.terms.looks {
                break;
            }
            let Some(Verification { at, .. }) = self.direct_probes.remove(&name) else {
                continue;
            };
            let Some(held) = self.table.get(&name).filter(|_| !self.probes.asks(&name)) else {
                continue;
            };
            if most.is_some() && !self.open(held) {
                self.tally.verified_by_others += 1;
                continue;
            }
            // One in the fleet and where it was: a probe, which asks others too before it doubts. Without bounds these are
            // not counted: under loss they are many. Counted alone, seeds of a starting fleet stay suspect for too long.
            if held.counts() && held.record.address == at {
                self.probe(now, &name);
            } else {
                self.ask(now, Purpose::DirectProbe(name), at);
            }
        }
    }

    /// Those first that spoke themselves; of gossip a few, since others verify it as well.
    fn keep_some_direct_probes(&self, names: &mut Vec<Name>, most: usize) {
        let spoke = |name: &Name| {
            self.direct_probes
                .get(name)
                .is_some_and(|verification| verification.spoke)
        };
        let (mut first, hearsay): (Vec<Name>, Vec<Name>) = names.drain(..).partition(spoke);
        first.extend(hearsay.into_iter().take(HEARSAY_PROBES));
        first.truncate(most);
        *names = first;
    }

    /// Seeds that are not in the fleet, and one that had gone: how two halves find each other again.
    pub(super) fn rejoin(&mut self, now: Timestamp) {
        let known = |at: &SocketAddr| self.table.fleet().any(|held| held.record.address == *at);
        let seeds = self
            .seeds
            .iter()
            .filter(|at| **at != self.own.address && !known(at))
            .copied();
        let mut seeds: Vec<SocketAddr> = seeds.collect();
        seeds.shuffle(&mut self.rng);
        let patient = self.met || self.terms.bounds.is_some();
        seeds.truncate(if patient { 1 } else { 3 });
        self.rejoins = self.rejoins.saturating_add(1);
        seeds
            .into_iter()
            .for_each(|to| self.ask(now, Purpose::RejoinProbe(None), to));
        let gone = self
            .table
            .all()
            .filter(|held| held.known && !held.counts())
            .map(|held| &held.record);
        let gone = some(gone, 1, &mut self.rng)
            .first()
            .map(|record| (record.name.clone(), record.address));
        // It is told what is held of it, above which it rises: taken back at the old incarnation, it would be suspected again on
        // the word of others that still hold it for dead.
        gone.into_iter()
            .for_each(|(name, to)| self.ask(now, Purpose::RejoinProbe(Some(name)), to));
    }

    /// A question's next step.
    pub(super) fn step(&mut self, now: Timestamp, nonce: Nonce) {
        let Some(asked) = self.probes.get_mut(nonce) else {
            return;
        };
        if let Purpose::Probe(name) = &asked.purpose
            && now < asked.over
            && let suspected = self
                .table
                .get(name)
                .is_some_and(|held| held.record.state == State::Suspect)
            && let count = helpers_of(&self.confirming, &self.terms, name, suspected)
            && count > 0
        {
            // No answer to this gateway: others try before anything is said of it.
            let name = name.clone();
            asked.due = asked.over;
            let Some(target) = self.table.get(&name).map(|held| held.record.clone()) else {
                return;
            };
            let others = self.table.fleet().map(|held| &held.record);
            let others =
                others.filter(|record| record.state == State::Alive && record.name != name);
            let helpers: Vec<SocketAddr> = some(others, count, &mut self.rng)
                .into_iter()
                .map(|record| record.address)
                .collect();
            let asked = self.probes.get_mut(nonce).expect("just seen");
            asked.helpers = helpers.iter().copied().collect();
            for to in helpers {
                let target = Box::new(target.clone());
                self.send(now, to, None, Body::Ask { nonce, target }, Vec::new());
            }
            return;
        }
        let asked = self.probes.take(nonce).expect("just seen");
        match asked.purpose {
            Purpose::Probe(name) => {
                self.tally.probes_failed += 1;
                // Helpers that are well say so: with no word of theirs either, the fault may be here.
                if !asked.helpers.is_empty() && asked.silent == 0 {
                    self.probes.worse();
                }
                self.probe_failed(now, &name);
            }
            Purpose::DirectProbe(name) => self.table.not_there(&name),
            Purpose::RejoinProbe(_) => {}
            Purpose::IndirectProbe { asker, nonce } => {
                self.send(now, asker, None, Body::Silent(nonce), Vec::new())
            }
        }
    }
}

/// How many others are asked as well: with bounds, of a failed probe that is repeated, all for the last time only, and before
/// that one for every second: repeats cost less, and whoever a third reaches is not suspected. Of a suspect one, each time.
fn helpers_of(
    confirming: &BTreeMap<Name, Confirming>,
    terms: &Terms,
    name: &Name,
    suspected: bool,
) -> usize {
    let Some(bounds) = &terms.bounds else {
        return terms.helpers;
    };
    let Some(confirming) = confirming.get(name) else {
        return if suspected {
            terms.helpers.min(1)
        } else {
            terms.helpers
        };
    };
    match confirming.failures {
        failures if failures >= bounds.confirmations => terms.helpers,
        failures => terms.helpers.min(usize::from(failures.is_multiple_of(2))),
    }
}
