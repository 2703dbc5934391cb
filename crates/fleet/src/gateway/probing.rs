//! Probes: in turn, direct ones after gossip, re-join probes, and indirect probes by others.

use std::net::SocketAddr;

use admission::interface::Moment;
use rand::seq::SliceRandom;

use super::Gateway;
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
        let mut names: Vec<Name> = self.direct_probes.keys().cloned().collect();
        names.shuffle(&mut self.rng);
        for name in names {
            if self.probes.direct_probes() >= self.terms.looks {
                break;
            }
            let Some(at) = self.direct_probes.remove(&name) else { continue };
            let Some(held) = self.table.get(&name).filter(|_| !self.probes.asks(&name)) else { continue };
            // One in the fleet and where it was: a probe, which asks others too before it doubts. These are not counted:
            // under loss they are many (ten a second each, at a hundred gateways), but bounded to eight a period, a fleet of
            // 300 that starts still held its seeds, which cannot answer all at once, for suspect twelve seconds after.
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
        seeds.truncate(if self.met { 1 } else { 3 });
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
                self.suspect(now, &name);
            }
            Purpose::DirectProbe(name) => self.table.not_there(&name),
            Purpose::RejoinProbe => {}
            Purpose::IndirectProbe { asker, nonce } => {
                self.send(now, asker, None, Body::Silent(nonce), Vec::new())
            }
        }
    }
}
