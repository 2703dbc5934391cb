//! Rejoin probes: probes of seeds that are not in the fleet, and of members that are dead or left.
//! They reunite the two sides of a partition that declared each other dead.

use std::net::SocketAddr;

use admission::interface::{TimeDelta, Timestamp};
use rand::seq::SliceRandom;

use super::Node;
use crate::outstanding_probes::ProbePurpose;
use crate::probe_round::sample_one;

/// Probe periods between rejoin probes.
const REJOIN_PERIODS: f64 = 3.0;
/// Maximum factor by which the pause between rejoin probes grows, with traffic limits, until the
/// node has met another one. The factor is the number of attempts so far.
const MAX_BACKOFF: u32 = 5;
/// Number of seeds that a node probes at once, without traffic limits, until it has met another
/// node.
const SEEDS_PER_ATTEMPT: usize = 3;

/// The schedule of rejoin probes.
#[derive(Clone, Copy, Debug)]
pub(super) struct RejoinSchedule {
    /// When the next rejoin probes are due.
    pub(super) next: Timestamp,
    /// The number of attempts since the start.
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
    /// Sends rejoin probes, if they are due.
    pub(super) fn rejoin(&mut self, now: Timestamp) {
        if self.rejoin.next > now {
            return;
        }
        let pause_s = self.config.probe_period.secs() * REJOIN_PERIODS * self.rejoin_backoff();
        self.rejoin.next = now + TimeDelta::from_secs(pause_s * self.jitter());
        self.probe_seeds(now);
        self.probe_departed(now);
    }

    /// The factor by which the pause between rejoin probes is extended. With traffic limits, it
    /// grows with each attempt until this node has met another one.
    fn rejoin_backoff(&self) -> f64 {
        if self.has_joined || !self.has_traffic_limits() {
            return 1.0;
        }
        f64::from(self.rejoin.attempts.clamp(1, MAX_BACKOFF))
    }

    /// Probes random seeds that are not the address of this node or of a member.
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
        let probes_single_seed = self.has_joined || self.has_traffic_limits();
        seeds.truncate(if probes_single_seed {
            1
        } else {
            SEEDS_PER_ATTEMPT
        });
        self.rejoin.attempts = self.rejoin.attempts.saturating_add(1);
        for seed in seeds {
            self.send_probe(now, ProbePurpose::Rejoin(None), seed);
        }
    }

    /// Probes a random member that is dead or left. The probe carries the held record, above which
    /// the member raises its incarnation. If it came back at its old incarnation, gossip from nodes
    /// that still consider it dead would make it suspect again.
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
