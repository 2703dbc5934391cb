//! Probes: in turn, direct ones after gossip, re-join probes, and indirect probes by others.

use std::net::SocketAddr;

use admission::interface::Moment;
use rand::seq::SliceRandom;

use super::{Gateway, Verification};
use crate::message::{Body, Nonce};
use crate::probes::{Purpose, some};
use crate::who::{Name, State};

impl Gateway {
    pub(super) fn probe(&mut self, now: Moment, name: &Name) {
        if self.probes.asks(name) {
            return;
        }
        let Some(to) = self.table.get(name).map(|held| held.record.address) else { return };
        self.tally.probes += 1;
        self.ask(now, Purpose::Probe(name.clone()), to);
    }

    /// Looks for itself at some of those of whom it heard too little to believe it, in an order by chance.
    pub(super) fn start_direct_probes(&mut self, now: Moment) {
        let due = self.direct_probes.iter().filter(|(_, verification)| verification.due <= now);
        let mut names: Vec<Name> = due.map(|(name, _)| name.clone()).collect();
        names.shuffle(&mut self.rng);
        let most = self.terms.bounds.as_ref().map(|bounds| bounds.direct_probes);
        if let Some(most) = most {
            self.tally.bounded_probes += names.len().saturating_sub(most) as u64;
            names.truncate(most);
        }
        for name in names {
            if most.is_none() && self.probes.direct_probes() >= self.terms.looks {
                break;
            }
            let Some(Verification { at, .. }) = self.direct_probes.remove(&name) else { continue };
            let Some(held) = self.table.get(&name).filter(|_| !self.probes.asks(&name)) else { continue };
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

    /// Seeds that are not in the fleet, and one that had gone: how two halves find each other again.
    pub(super) fn rejoin(&mut self, now: Moment) {
        let known = |at: &SocketAddr| self.table.fleet().any(|held| held.record.address == *at);
        let seeds = self.seeds.iter().filter(|at| **at != self.own.address && !known(at)).copied();
        let mut seeds: Vec<SocketAddr> = seeds.collect();
        seeds.shuffle(&mut self.rng);
        let patient = self.met || self.terms.bounds.is_some();
        seeds.truncate(if patient { 1 } else { 3 });
        self.rejoins = self.rejoins.saturating_add(1);
        let gone = self.table.all().filter(|held| held.known && !held.counts()).map(|held| &held.record);
        seeds.extend(some(gone, 1, &mut self.rng).into_iter().map(|record| record.address));
        seeds.into_iter().for_each(|to| self.ask(now, Purpose::RejoinProbe, to));
    }

    /// A question's next step.
    pub(super) fn step(&mut self, now: Moment, nonce: Nonce) {
        let Some(asked) = self.probes.get_mut(nonce) else { return };
        if let Purpose::Probe(name) = &asked.purpose
            && now < asked.over
        {
            // No answer to this gateway: others try before anything is said of it.
            let name = name.clone();
            asked.due = asked.over;
            let Some(target) = self.table.get(&name).map(|held| held.record.clone()) else { return };
            let others = self.table.fleet().map(|held| &held.record);
            let others = others.filter(|record| record.state == State::Alive && record.name != name);
            let helpers: Vec<SocketAddr> = some(others, self.terms.helpers, &mut self.rng)
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
            Purpose::RejoinProbe => {}
            Purpose::IndirectProbe { asker, nonce } => {
                self.send(now, asker, None, Body::Silent(nonce), Vec::new())
            }
        }
    }
}
