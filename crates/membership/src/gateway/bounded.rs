//! With bounds: failed probes are repeated before anything is said, and of all that hear an update from too few witnesses
//! only some verify it at once.

use std::net::SocketAddr;

use admission::interface::{TimeDelta, Timestamp};
use rand::RngExt;

use super::send::RETELL;
use super::{Gateway, Verification};
use crate::bounds::{CONFIRMING, Confirming, REJOIN_BACKOFF, VERIFY_LATER_PERIODS};
use crate::probes::some;
use crate::table::Held;
use crate::who::{Name, State};

impl Gateway {
    /// A direct probe with the next period: its subject spoke itself.
    pub(super) fn verify_now(&mut self, now: Timestamp, name: &Name, at: SocketAddr) {
        self.direct_probes.insert(
            name.clone(),
            Verification {
                at,
                due: now,
                spoke: true,
            },
        );
    }

    /// A direct probe of one of whom too few witnesses spoke: at once, or with bounds later by chance, when enough others
    /// had time to verify it. True: it is new here.
    pub(super) fn verify(&mut self, now: Timestamp, name: &Name, at: SocketAddr) -> bool {
        let Some(bounds) = &self.terms.bounds else {
            let verification = Verification {
                at,
                due: now,
                spoke: false,
            };
            return self
                .direct_probes
                .insert(name.clone(), verification)
                .is_none();
        };
        if self.confirming.contains_key(name) || self.probes.asks(name) {
            return false;
        }
        if let Some(waits) = self.direct_probes.get_mut(name) {
            waits.at = at;
            return false;
        }
        let others = self.table.len().max(1) as f64;
        let hearers = (RETELL * (others + 2.0).log2().ceil()).min(others);
        let at_once = self.rng.random::<f64>() * hearers < bounds.verifiers as f64;
        let wait =
            VERIFY_LATER_PERIODS * (1.0 + self.rng.random::<f64>()) * self.terms.period.secs();
        let due = if at_once {
            now
        } else {
            now + TimeDelta::from_secs(wait)
        };
        self.tally.verified_later += u64::from(!at_once);
        self.direct_probes.insert(
            name.clone(),
            Verification {
                at,
                due,
                spoke: false,
            },
        );
        true
    }

    /// What it waited to verify was settled by others.
    pub(super) fn settled_by_others(&mut self, name: &Name) {
        let settled = self.terms.bounds.is_some() && self.direct_probes.remove(name).is_some();
        self.tally.verified_by_others += u64::from(settled);
    }

    /// A probe came to nothing: with bounds it is repeated before the gateway is suspected.
    pub(super) fn probe_failed(&mut self, now: Timestamp, name: &Name) {
        let Some(bounds) = &self.terms.bounds else {
            return self.suspect(now, name);
        };
        let confirmations = bounds.confirmations;
        let failures = self
            .confirming
            .get(name)
            .map_or(0, |confirming| confirming.failures)
            + 1;
        if failures > confirmations
            || self
                .table
                .get(name)
                .is_none_or(|held| held.record.state != State::Alive)
        {
            self.confirming.remove(name);
            return self.suspect(now, name);
        }
        if self.confirming.len() < CONFIRMING || self.confirming.contains_key(name) {
            self.confirming.insert(
                name.clone(),
                Confirming {
                    failures,
                    due: Some(now),
                },
            );
        }
    }

    /// It answered, or others reached it.
    pub(super) fn confirmed_alive(&mut self, name: &Name) {
        self.confirming.remove(name);
    }

    pub(super) fn confirming_due(&self) -> Option<Timestamp> {
        self.confirming
            .values()
            .filter_map(|confirming| confirming.due)
            .min()
    }

    pub(super) fn repeat_failed_probes(&mut self, now: Timestamp) {
        let due = |confirming: &Confirming| confirming.due.is_some_and(|due| due <= now);
        let names: Vec<Name> = self
            .confirming
            .iter()
            .filter(|(_, of)| due(of))
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            let alive = self
                .table
                .get(&name)
                .is_some_and(|held| held.counts() && held.record.state == State::Alive);
            if !alive {
                self.confirming.remove(&name);
                continue;
            }
            let confirming = self.confirming.get_mut(&name).expect("just listed");
            confirming.due = None;
            self.tally.confirmed += 1;
            self.probe(now, &name);
        }
    }

    /// With bounds, one of those suspected is probed each period, by one other as well: an answer clears it, and the question tells
    /// it.
    pub(super) fn probe_a_suspect(&mut self, now: Timestamp) {
        if self.terms.bounds.is_none() {
            return;
        }
        let suspects = self
            .table
            .fleet()
            .filter(|held| held.record.state == State::Suspect);
        let suspects = suspects.map(|held| &held.record);
        if let Some(name) = some(suspects, 1, &mut self.rng)
            .first()
            .map(|record| record.name.clone())
        {
            self.probe(now, &name);
        }
    }

    /// How many times rarer it asks seeds: with bounds, the more often nobody answered.
    pub(super) fn rejoin_backoff(&self) -> f64 {
        if self.met || self.terms.bounds.is_none() {
            return 1.0;
        }
        f64::from(self.rejoins.clamp(1, REJOIN_BACKOFF))
    }

    /// Whether gossip of this one is still open here: too few witnesses, and nothing learnt since.
    pub(super) fn open(&self, held: &Held) -> bool {
        !held.known || held.record.state != State::Alive || held.dissent()
    }
}
