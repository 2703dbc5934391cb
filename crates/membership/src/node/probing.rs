//! Probes of members: the round-robin schedule, retries, and the consequences of a missing ack.

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
    /// Probes the next member of the current round.
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

    /// Probes a member, unless a probe of it is outstanding.
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

    /// Probes a random suspect once a period, with traffic limits only. An ack clears the
    /// suspicion, and the ping informs the member that it is suspected.
    pub(super) fn probe_suspect(&mut self, now: Timestamp) {
        if !self.has_traffic_limits() {
            return;
        }
        let suspect = sample_one(self.table.suspects(), &mut self.rng);
        if let Some(name) = suspect.map(|record| record.name.clone()) {
            self.probe_member(now, &name);
        }
    }

    /// Sends a ping and registers the probe as outstanding.
    pub(super) fn send_probe(&mut self, now: Timestamp, purpose: ProbePurpose, target: SocketAddr) {
        let recipient = Recipient::new(target, purpose.target_name().cloned());
        let timeouts = self.probe_timeouts(&purpose);
        let nonce = Nonce(self.rng.random());
        let probe = Probe::new(now, purpose, target, timeouts);
        self.probes.insert(nonce, probe);
        self.send(now, &recipient, Body::Ping(nonce), Vec::new());
    }

    /// The time-outs of a probe, stretched by the local health multiplier. A retry waits for less
    /// than a probe period and is stretched only by the square root of the multiplier; otherwise a
    /// node whose peers are all gone would take minutes to declare them failed.
    fn probe_timeouts(&self, purpose: &ProbePurpose) -> ProbeTimeouts {
        let multiplier = self.local_health.multiplier();
        let direct = self.config.probe_timeout;
        let plain = ProbeTimeouts {
            direct,
            total: self.config.probe_period,
        };
        match purpose {
            // The requester's wait depends on its own health, not on that of this relay.
            ProbePurpose::Indirect { .. } => plain,
            ProbePurpose::Member(name) if self.probe_retries.contains(name) => {
                let direct = TimeDelta::from_secs(direct.secs() / multiplier.sqrt());
                let total = TimeDelta::from_secs(direct.secs() * 2.0);
                ProbeTimeouts { direct, total }.scaled_by(multiplier)
            }
            _ => plain.scaled_by(multiplier),
        }
    }

    /// Advances a probe without an ack: asks relays for indirect probes, or ends the probe as
    /// failed.
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

    /// Ends a probe that received no ack in time.
    fn finish_probe(&mut self, now: Timestamp, nonce: Nonce) {
        let Some(probe) = self.probes.remove(nonce) else {
            return;
        };
        match probe.purpose {
            ProbePurpose::Member(name) => {
                self.metrics.probes_failed += 1;
                // A healthy relay that gets no ack sends a nack. If no relay did, the fault may be
                // local.
                if !probe.relays.is_empty() && probe.nacks == 0 {
                    self.local_health.degrade();
                }
                self.handle_probe_failure(now, &name);
            }
            ProbePurpose::Direct(name) => self.table.probe_unanswered(&name),
            ProbePurpose::Rejoin(_) => {}
            ProbePurpose::Indirect { requester, nonce } => {
                let requester = Recipient::unnamed(requester);
                self.send(now, &requester, Body::IndirectNack(nonce), Vec::new());
            }
        }
    }

    /// Handles a failed probe of a member. With traffic limits, the probe is retried before the
    /// member is suspected.
    fn handle_probe_failure(&mut self, now: Timestamp, name: &Name) {
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

    /// Sends the retries of failed probes that are due.
    pub(super) fn retry_probes(&mut self, now: Timestamp) {
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
