//! SWIM's indirect probes: other members try a target that did not answer, before anything is said of it.

use std::net::SocketAddr;

use admission::interface::Timestamp;

use super::Node;
use super::send::Recipient;
use crate::member::{MemberState, Name};
use crate::message::{Body, Nonce};
use crate::probe_round::sample;

impl Node {
    /// Asks so many relays to probe a member that did not answer.
    pub(super) fn request_indirect_probes(
        &mut self,
        now: Timestamp,
        nonce: Nonce,
        name: &Name,
        relay_count: usize,
    ) {
        let Some(probe) = self.probes.get_mut(nonce) else {
            return;
        };
        probe.due = probe.deadline;
        let Some(target) = self.table.get(name).map(|entry| entry.record.clone()) else {
            return;
        };
        let others = self.table.alive().filter(|record| record.name != *name);
        let relays: Vec<SocketAddr> = sample(others, relay_count, &mut self.rng)
            .into_iter()
            .map(|record| record.address)
            .collect();
        probe.relays = relays.iter().copied().collect();
        for relay in relays {
            let request = Body::IndirectPing {
                nonce,
                target: Box::new(target.clone()),
            };
            self.send(now, &Recipient::unnamed(relay), request, Vec::new());
        }
    }

    /// How many relays are asked. With traffic limits, for a failed probe that is repeated all are asked the last time only,
    /// and before that one every second time: repeats cost less, and whoever a third node reaches is not suspected. For a
    /// suspect one is asked each time.
    pub(super) fn relay_count(&self, name: &Name) -> usize {
        let all = self.config.indirect_probes;
        let Some(limits) = &self.config.traffic_limits else {
            return all;
        };
        let one = all.min(1);
        match self.probe_retries.failures(name) {
            None if self.is_suspect(name) => one,
            None => all,
            Some(failures) if failures >= limits.confirmations => all,
            Some(failures) if failures.is_multiple_of(2) => one,
            Some(_) => 0,
        }
    }

    fn is_suspect(&self, name: &Name) -> bool {
        self.table
            .get(name)
            .is_some_and(|entry| entry.record.state == MemberState::Suspect)
    }
}
