//! Probes of members, in turn and repeated, and what follows where no ack comes.

use std::net::SocketAddr;

use admission::interface::{TimeDelta, Timestamp};
use rand::RngExt;

use super::Node;
use super::send::Recipient;
use crate::member::{MemberState, Name};
use crate::message::{Body, Nonce};
use crate::outstanding_probes::{Probe, ProbePurpose, ProbeTimeouts};
use crate::probe_retries::FailureOutcome;
use crate::probe_round::sample_one;

impl Node {
    /// Probes the next member of the round.
    pub(super) fn probe_next(&mut self, now: Timestamp) {
        let table = &self.table;
        let next = self.probe_round.next(
            || table.fleet_names(),
            |name| table.is_in_fleet(name),
            &mut self.rng,
        );
        if let Some(name) = next {
            self.probe_member(now, &name);
        }
    }

    /// Probes a member, unless it is being probed.
    pub(super) fn probe_member(&mut self, now: Timestamp, name: &Name) {
        if self.probes.is_probing(name) {
            return;
        }
        let Some(address) = self.table.get(name).map(|entry| entry.record.address) else {
            return;
        };
        self.metrics.probes += 1;
        self.send_probe(now, ProbePurpose::Member(name.clone()), address);
    }

    /// With traffic limits, one suspect is probed each period, by one relay as well: an ack clears it, and the ping tells it
    /// that it is suspected.
    pub(super) fn probe_suspect(&mut self, now: Timestamp) {
        if !self.has_traffic_limits() {
            return;
        }
        let suspect = sample_one(self.table.suspects(), &mut self.rng);
        if let Some(name) = suspect.map(|record| record.name.clone()) {
            self.probe_member(now, &name);
        }
    }

    /// Sends a ping, and waits for its ack.
    pub(super) fn send_probe(&mut self, now: Timestamp, purpose: ProbePurpose, target: SocketAddr) {
        let recipient = Recipient::new(target, purpose.target_name().cloned());
        let timeouts = self.probe_timeouts(&purpose);
        let nonce = Nonce(self.rng.random());
        let probe = Probe::new(now, purpose, target, timeouts);
        self.probes.insert(nonce, probe);
        self.send(now, &recipient, Body::Ping(nonce), Vec::new());
    }

    /// How long a probe waits, stretched by this node's own health. A probe that is repeated has no whole period; and a node
    /// that doubts itself stretches it by the root only, or one that all others left would take minutes to say so.
    fn probe_timeouts(&self, purpose: &ProbePurpose) -> ProbeTimeouts {
        let multiplier = self.local_health.multiplier();
        let direct = self.config.probe_timeout;
        let plain = ProbeTimeouts {
            direct,
            total: self.config.probe_period,
        };
        match purpose {
            // The requester waits for it no longer than its own health says.
            ProbePurpose::Indirect { .. } => plain,
            ProbePurpose::Member(name) if self.probe_retries.contains(name) => {
                let direct = TimeDelta::from_secs(direct.secs() / multiplier.sqrt());
                let total = TimeDelta::from_secs(direct.secs() * 2.0);
                ProbeTimeouts { direct, total }.scaled_by(multiplier)
            }
            _ => plain.scaled_by(multiplier),
        }
    }

    /// Does the next step of a probe that has no ack yet: others are asked, or it has failed.
    pub(super) fn advance_probe(&mut self, now: Timestamp, nonce: Nonce) {
        let Some(probe) = self.probes.get(nonce) else {
            return;
        };
        if now < probe.deadline
            && let ProbePurpose::Member(name) = &probe.purpose
        {
            let name = name.clone();
            let relays = self.relay_count(&name);
            if relays > 0 {
                self.request_indirect_probes(now, nonce, &name, relays);
                return;
            }
        }
        self.finish_probe(now, nonce);
    }

    /// No ack came in time.
    fn finish_probe(&mut self, now: Timestamp, nonce: Nonce) {
        let Some(probe) = self.probes.remove(nonce) else {
            return;
        };
        match probe.purpose {
            ProbePurpose::Member(name) => {
                self.metrics.probes_failed += 1;
                // Relays that are well say so: with no nack either, the fault may be here.
                if !probe.relays.is_empty() && probe.nacks == 0 {
                    self.local_health.degrade();
                }
                self.probe_failed(now, &name);
            }
            ProbePurpose::Direct(name) => self.table.probe_unanswered(&name),
            ProbePurpose::Rejoin(_) => {}
            ProbePurpose::Indirect { requester, nonce } => {
                let requester = Recipient::unnamed(requester);
                self.send(now, &requester, Body::IndirectNack(nonce), Vec::new());
            }
        }
    }

    /// A probe of a member failed: with traffic limits it is repeated before the member is suspected.
    fn probe_failed(&mut self, now: Timestamp, name: &Name) {
        let Some(limits) = &self.config.traffic_limits else {
            self.suspect(now, name);
            return;
        };
        let is_alive = self
            .table
            .get(name)
            .is_some_and(|entry| entry.record.state == MemberState::Alive);
        let confirmations = if is_alive { limits.confirmations } else { 0 };
        let outcome = self.probe_retries.probe_failed(now, name, confirmations);
        if outcome == FailureOutcome::Suspect {
            self.suspect(now, name);
        }
    }

    /// Repeats failed probes that are due.
    pub(super) fn repeat_probes(&mut self, now: Timestamp) {
        for name in self.probe_retries.due(now) {
            let is_alive = self.table.get(&name).is_some_and(|entry| entry.is_alive());
            if !is_alive {
                self.probe_retries.clear(&name);
                continue;
            }
            self.probe_retries.mark_started(&name);
            self.metrics.probes_repeated += 1;
            self.probe_member(now, &name);
        }
    }
}
