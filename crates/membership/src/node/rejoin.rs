//! Rejoin probes: of seeds that are not in the fleet, and of members that were dead or left. By them two halves of a fleet
//! that took each other for dead find each other again.

use std::net::SocketAddr;

use admission::interface::{TimeDelta, Timestamp};
use rand::seq::SliceRandom;

use super::Node;
use crate::outstanding_probes::ProbePurpose;
use crate::probe_round::sample_one;

/// Periods between rejoin probes.
const REJOIN_PERIODS: f64 = 3.0;
/// With traffic limits seeds are probed this many times as rarely at most, after as many attempts without having met
/// anybody.
const MAX_BACKOFF: u32 = 5;
/// Seeds that are probed at once by a node that has met nobody.
const SEEDS_AT_START: usize = 3;

/// When rejoin probes are due.
#[derive(Clone, Copy, Debug)]
pub(super) struct RejoinSchedule {
    pub(super) next: Timestamp,
    /// Attempts so far.
    attempts: u32,
}

impl RejoinSchedule {
    pub(super) fn new(first: Timestamp) -> Self {
        RejoinSchedule {
            next: first,
            attempts: 0,
        }
    }
}

impl Node {
    /// Sends rejoin probes if they are due.
    pub(super) fn rejoin(&mut self, now: Timestamp) {
        if self.rejoin.next > now {
            return;
        }
        let pause_s = self.config.probe_period.secs() * REJOIN_PERIODS * self.rejoin_backoff();
        self.rejoin.next = now + TimeDelta::from_secs(pause_s * self.jitter());
        self.probe_seeds(now);
        self.probe_departed(now);
    }

    /// How many times rarer seeds are probed: with traffic limits, the more often nobody answered.
    fn rejoin_backoff(&self) -> f64 {
        if self.has_joined || !self.has_traffic_limits() {
            return 1.0;
        }
        f64::from(self.rejoin.attempts.clamp(1, MAX_BACKOFF))
    }

    fn probe_seeds(&mut self, now: Timestamp) {
        let is_known = |address: &SocketAddr| {
            self.table
                .fleet()
                .any(|entry| entry.record.address == *address)
        };
        let mut seeds: Vec<SocketAddr> = self
            .seeds
            .iter()
            .filter(|address| **address != self.local.address && !is_known(address))
            .copied()
            .collect();
        seeds.shuffle(&mut self.rng);
        let is_patient = self.has_joined || self.has_traffic_limits();
        seeds.truncate(if is_patient { 1 } else { SEEDS_AT_START });
        self.rejoin.attempts = self.rejoin.attempts.saturating_add(1);
        for seed in seeds {
            self.send_probe(now, ProbePurpose::Rejoin(None), seed);
        }
    }

    /// Probes a member that was dead or left. It is told what is held of it, above which it rises: taken back at the old
    /// incarnation, it would be suspected again on the word of others that still hold it for dead.
    fn probe_departed(&mut self, now: Timestamp) {
        let departed = self
            .table
            .iter()
            .filter(|entry| entry.confirmed && !entry.is_in_fleet())
            .map(|entry| &entry.record);
        let Some(record) = sample_one(departed, &mut self.rng) else {
            return;
        };
        let purpose = ProbePurpose::Rejoin(Some(record.name.clone()));
        let address = record.address;
        self.send_probe(now, purpose, address);
    }
}
