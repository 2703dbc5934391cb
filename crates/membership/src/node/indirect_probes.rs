//! SWIM's indirect probes: other members probe a target that did not answer, before it is
//! suspected.

use std::net::SocketAddr;

use admission::interface::Timestamp;

use super::Node;
use super::send::Recipient;
use crate::member::{MemberState, Name};
use crate::message::{Body, Nonce};
use crate::probe_round::sample;

impl Node {
    /// Asks `relay_count` random members to probe a member that did not answer.
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

    /// The number of relays to ask, which is the configured number unless traffic limits are set.
    /// With traffic limits, a probe of a suspect asks one relay. For any other member, the first
    /// probe and the last retry ask all relays, and every second retry in between asks one: retries
    /// stay cheap, and a member that a third node reaches is still not suspected.
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
