//! Direct probes of nodes of which too few witnesses spoke, or that spoke of themselves.

use std::net::SocketAddr;

use admission::interface::{TimeDelta, Timestamp};
use rand::RngExt;
use rand::seq::SliceRandom;

use super::Node;
use crate::dissemination::RETRANSMIT_MULTIPLIER;
use crate::member::{Name, Record};
use crate::outstanding_probes::ProbePurpose;
use crate::verifications::{Verification, VerificationCause};

/// Periods that those who do not verify at once wait for more witnesses: so many, and by chance up to as many again.
const DEFERRAL_PERIODS: f64 = 10.0;

impl Node {
    /// Verifies a node that spoke itself, with the next period.
    pub(super) fn verify_sender(&mut self, now: Timestamp, from: &Record) {
        let verification = Verification {
            address: from.address,
            due: now,
            cause: VerificationCause::OwnMessage,
        };
        self.verifications.schedule(&from.name, verification);
    }

    /// Verifies a node of which too few witnesses spoke, and counts it the first time.
    pub(super) fn verify_unvouched(&mut self, now: Timestamp, name: &Name, address: SocketAddr) {
        if self.verify_by_gossip(now, name, address) {
            self.metrics.unvouched += 1;
        }
    }

    /// Verifies a node that others speak of: with the next period, or with traffic limits later by chance, when enough
    /// others had time to verify it. True: it was not being verified.
    pub(super) fn verify_by_gossip(
        &mut self,
        now: Timestamp,
        name: &Name,
        address: SocketAddr,
    ) -> bool {
        let mut verification = Verification {
            address,
            due: now,
            cause: VerificationCause::Gossip,
        };
        let Some(limits) = &self.config.traffic_limits else {
            return self.verifications.schedule(name, verification);
        };
        if self.probe_retries.contains(name) || self.probes.is_probing(name) {
            return false;
        }
        if self.verifications.redirect(name, address) {
            return false;
        }
        let verifiers = limits.verifiers as f64;
        let is_verifier = self.rng.random::<f64>() * self.expected_hearers() < verifiers;
        let periods = DEFERRAL_PERIODS * (1.0 + self.rng.random::<f64>());
        if !is_verifier {
            let deferral_s = periods * self.config.probe_period.secs();
            verification.due = now + TimeDelta::from_secs(deferral_s);
            self.metrics.verifications_deferred += 1;
        }
        self.verifications.schedule(name, verification);
        true
    }

    /// Nodes that one which tells an update reaches.
    fn expected_hearers(&self) -> f64 {
        let others = self.table.len().max(1) as f64;
        (RETRANSMIT_MULTIPLIER * (others + 2.0).log2().ceil()).min(others)
    }

    /// The record that is held of a node changed: with traffic limits, what was to be verified was settled by others.
    pub(super) fn drop_settled_verification(&mut self, name: &Name) {
        if self.has_traffic_limits() && self.verifications.remove(name).is_some() {
            self.metrics.verifications_unneeded += 1;
        }
    }

    /// Sends the direct probes that are due, in random order, as far as limits go.
    pub(super) fn send_verifications(&mut self, now: Timestamp) {
        let mut names = self.verifications.due(now);
        names.shuffle(&mut self.rng);
        let Some(limits) = &self.config.traffic_limits else {
            self.send_plain_verifications(now, names);
            return;
        };
        let due = names.len();
        let names = self.verifications.limit(names, limits.direct_probes);
        self.metrics.limited_probes += (due - names.len()) as u64;
        for name in names {
            self.send_limited_verification(now, &name);
        }
    }

    fn send_plain_verifications(&mut self, now: Timestamp, names: Vec<Name>) {
        for name in names {
            if self.probes.direct_count() >= self.config.max_direct_probes {
                break;
            }
            if let Some(verification) = self.take_verification(&name) {
                self.send_verification(now, name, verification);
            }
        }
    }

    fn send_limited_verification(&mut self, now: Timestamp, name: &Name) {
        let Some(verification) = self.take_verification(name) else {
            return;
        };
        if self.is_unsettled(name) {
            self.send_verification(now, name.clone(), verification);
        } else {
            self.metrics.verifications_unneeded += 1;
        }
    }

    /// Takes a verification out; `None`: the node is being probed already, or is not held.
    fn take_verification(&mut self, name: &Name) -> Option<Verification> {
        let verification = self.verifications.remove(name)?;
        let is_wanted = self.table.get(name).is_some() && !self.probes.is_probing(name);
        is_wanted.then_some(verification)
    }

    /// Whether too few witnesses spoke of a node, and nothing was learnt since.
    fn is_unsettled(&self, name: &Name) -> bool {
        self.table
            .get(name)
            .is_some_and(|entry| !entry.is_alive() || entry.is_disputed())
    }

    /// A member at its address gets a probe in which others are asked too before it is suspected. Without limits these are
    /// not counted: under loss they are many, and counted alone, seeds of a starting fleet stay suspect for too long.
    fn send_verification(&mut self, now: Timestamp, name: Name, verification: Verification) {
        let address = verification.address;
        let is_member = self
            .table
            .get(&name)
            .is_some_and(|entry| entry.is_in_fleet() && entry.record.address == address);
        if is_member {
            self.probe_member(now, &name);
        } else {
            self.send_probe(now, ProbePurpose::Direct(name), address);
        }
    }
}
