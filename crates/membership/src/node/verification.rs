//! Verification by direct probes of nodes that too few witnesses vouch for, or that introduced
//! themselves.

use std::net::SocketAddr;

use admission::interface::{TimeDelta, Timestamp};
use rand::RngExt;
use rand::seq::SliceRandom;

use super::Node;
use crate::dissemination::RETRANSMIT_MULTIPLIER;
use crate::member::{Name, Record};
use crate::outstanding_probes::ProbePurpose;
use crate::verifications::{Verification, VerificationCause};

/// Probe periods for which a node that defers a verification waits for more witnesses, before a
/// random addition of up to as many again.
const DEFERRAL_PERIODS: f64 = 10.0;

impl Node {
    /// Schedules the verification of a node that sent a message itself, for the next period.
    pub(super) fn schedule_sender_verification(&mut self, now: Timestamp, from: &Record) {
        let verification = Verification {
            address: from.address,
            due: now,
            cause: VerificationCause::OwnMessage,
        };
        self.verifications.schedule(&from.name, verification);
    }

    /// Schedules the verification of a node with too few witnesses, and counts it if none was
    /// scheduled.
    pub(super) fn schedule_unvouched_verification(
        &mut self,
        now: Timestamp,
        name: &Name,
        address: SocketAddr,
    ) {
        if self.schedule_gossip_verification(now, name, address) {
            self.metrics.unvouched += 1;
        }
    }

    /// Schedules the verification of a node that gossip mentions, for the next period. With traffic
    /// limits, only a random few of the nodes that receive an update do so; the others defer it, to
    /// give those few time to spread the result. Returns true if no verification was scheduled
    /// before.
    pub(super) fn schedule_gossip_verification(
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
        let is_verifier = self.rng.random::<f64>() * self.expected_recipients() < verifiers;
        let periods = DEFERRAL_PERIODS * (1.0 + self.rng.random::<f64>());
        if !is_verifier {
            let deferral_s = periods * self.config.probe_period.secs();
            verification.due = now + TimeDelta::from_secs(deferral_s);
            self.metrics.verifications_deferred += 1;
        }
        self.verifications.schedule(name, verification);
        true
    }

    /// The number of nodes that are expected to receive an update from one node.
    fn expected_recipients(&self) -> f64 {
        let others = self.table.len().max(1) as f64;
        (RETRANSMIT_MULTIPLIER * (others + 2.0).log2().ceil()).min(others)
    }

    /// Cancels the verification of a node whose record has changed, with traffic limits, since the
    /// change settles it.
    pub(super) fn drop_settled_verification(&mut self, name: &Name) {
        if self.has_traffic_limits() && self.verifications.remove(name).is_some() {
            self.metrics.verifications_unneeded += 1;
        }
    }

    /// Sends the direct probes that are due, in random order, as many as the limits allow.
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

    /// Sends direct probes without traffic limits, as many as may be outstanding at a time.
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

    /// Sends one direct probe with traffic limits, unless witnesses have settled the matter
    /// meanwhile.
    fn send_limited_verification(&mut self, now: Timestamp, name: &Name) {
        let Some(verification) = self.take_verification(name) else {
            return;
        };
        if self.needs_verification(name) {
            self.send_verification(now, name.clone(), verification);
        } else {
            self.metrics.verifications_unneeded += 1;
        }
    }

    /// Removes the pending verification of a node. Returns `None` if there is none, or if it is
    /// obsolete because the node is unknown or a probe of it is outstanding.
    fn take_verification(&mut self, name: &Name) -> Option<Verification> {
        let verification = self.verifications.remove(name)?;
        let is_wanted = self.table.get(name).is_some() && !self.probes.is_probing(name);
        is_wanted.then_some(verification)
    }

    /// Whether a node is not alive here, or a witness still disputes its record.
    fn needs_verification(&self, name: &Name) -> bool {
        self.table
            .get(name)
            .is_some_and(|entry| !entry.is_alive() || entry.is_disputed())
    }

    /// Sends a verification. A member at its held address gets a regular probe, which asks relays
    /// before the member is suspected; any other node gets a direct probe. Only the latter count
    /// towards `max_direct_probes`: regular probes are many under packet loss, and counting them
    /// would leave the seeds of a starting fleet suspect for too long.
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
