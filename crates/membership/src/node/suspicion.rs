//! Suspicion: how it begins, how it is cleared, and when it expires and the member is declared
//! dead.

use admission::interface::Timestamp;

use super::Node;
use crate::member::{MemberState, Name, Record};
use crate::member_entry::{MemberEntry, Suspicion};

/// Number of agreeing hosts beyond which the suspicion time-out does not shrink further.
const MAX_AGREEING_HOSTS: f64 = 3.0;
/// The suspicion time-out of a smaller fleet is computed as for a fleet of this size.
const MIN_FLEET_SIZE: f64 = 10.0;

/// Lifeguard's dynamic suspicion time-out: the time that a suspect has to refute the suspicion.
#[derive(Clone, Copy, Debug)]
struct SuspicionTimeouts {
    /// The time-out in seconds with [`MAX_AGREEING_HOSTS`] or more agreeing hosts.
    min_s: f64,
    /// The time-out in seconds without any agreeing host.
    max_s: f64,
    /// The factor by which the local health stretches the time-out.
    stretch: f64,
}

impl SuspicionTimeouts {
    /// The time-out in seconds if `agreeing_hosts` hosts confirm the suspicion.
    fn timeout_s(&self, agreeing_hosts: usize) -> f64 {
        let agreeing = (agreeing_hosts as f64).min(MAX_AGREEING_HOSTS);
        let reduction =
            (self.max_s - self.min_s) * (agreeing + 1.0).ln() / (MAX_AGREEING_HOSTS + 1.0).ln();
        (self.max_s - reduction).max(self.min_s) * self.stretch
    }
}

impl Node {
    /// Marks a member that is alive as suspect.
    pub(super) fn suspect(&mut self, now: Timestamp, name: &Name) {
        let Some(entry) = self.table.get_mut(name) else {
            return;
        };
        if !entry.is_alive() {
            return;
        }
        entry.record.state = MemberState::Suspect;
        entry.suspicion = Some(Suspicion::new(now));
        self.metrics.suspected += 1;
        self.member_changed(now, name);
    }

    /// Marks a member as alive after a relay reported that it answered.
    pub(super) fn clear_suspicion(&mut self, now: Timestamp, name: &Name) {
        self.probe_retries.clear(name);
        let Some(entry) = self.table.get_mut(name) else {
            return;
        };
        if entry.record.state == MemberState::Suspect {
            entry.record.state = MemberState::Alive;
            entry.suspicion = None;
            self.member_changed(now, name);
        }
    }

    /// Handles the return of a member that was declared dead. With traffic limits, each outstanding
    /// suspicion restarts once: a partition may just have ended, and suspects on its other side had
    /// no time to refute.
    pub(super) fn handle_false_death(&mut self, now: Timestamp, name: &Name) {
        self.metrics.false_deaths += 1;
        if !self.has_traffic_limits() {
            return;
        }
        if let Some(entry) = self.table.get_mut_keeping_view(name) {
            entry.revived = Some(now);
        }
        for suspicion in self.table.suspicions_mut() {
            if !suspicion.restarted {
                *suspicion = Suspicion {
                    began: now,
                    restarted: true,
                };
            }
        }
    }

    /// Declares those suspects dead that did not refute in time.
    pub(super) fn expire_suspicions(&mut self, now: Timestamp) {
        let timeouts = self.suspicion_timeouts();
        let dead: Vec<Name> = self
            .table
            .fleet()
            .filter(|entry| has_expired(now, entry, timeouts))
            .map(|entry| entry.record.name.clone())
            .collect();
        for name in dead {
            if let Some(entry) = self.table.get_mut(&name) {
                entry.record.state = MemberState::Dead;
                entry.suspicion = None;
            }
            self.metrics.declared_dead += 1;
            self.member_changed(now, &name);
        }
    }

    /// The time-outs for the present fleet size and local health.
    fn suspicion_timeouts(&self) -> SuspicionTimeouts {
        let config = &self.config;
        let fleet_size = (self.fleet_size() as f64).max(MIN_FLEET_SIZE);
        let min_s = config.suspicion_multiplier * config.probe_period.secs() * fleet_size.log10();
        SuspicionTimeouts {
            min_s,
            max_s: min_s * config.max_suspicion_factor,
            stretch: self.local_health.multiplier().sqrt(),
        }
    }
}

/// Whether the time of a suspect to refute is over. It is shorter the more independent hosts agree
/// that the member failed.
fn has_expired(now: Timestamp, entry: &MemberEntry, timeouts: SuspicionTimeouts) -> bool {
    let Some(suspicion) = entry.suspicion else {
        return false;
    };
    let held = &entry.record;
    let agrees = |said: &Record| {
        said.boot_id == held.boot_id
            && said.incarnation >= held.incarnation
            && said.state > MemberState::Alive
    };
    let agreeing_hosts = entry.witness_hosts(now, agrees).len();
    (now - suspicion.began).secs() >= timeouts.timeout_s(agreeing_hosts)
}
