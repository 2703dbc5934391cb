//! Suspicion: how it begins, how it is cleared, and when it ends in death.

use admission::interface::Timestamp;

use super::Node;
use crate::member::{MemberState, Name, Record};
use crate::member_entry::{MemberEntry, Suspicion};

/// Suspicion ends sooner with each host that agrees, up to so many.
const MAX_AGREEING_HOSTS: f64 = 3.0;
/// The time to refute is no shorter than in a fleet of so many.
const MIN_FLEET_SIZE: f64 = 10.0;

/// Lifeguard's dynamic suspicion time-out: how long a suspect has to refute.
#[derive(Clone, Copy, Debug)]
struct SuspicionTimeouts {
    min_s: f64,
    max_s: f64,
    /// By which this node's own health stretches them.
    stretch: f64,
}

impl SuspicionTimeouts {
    /// Seconds to refute where so many hosts agree.
    fn timeout_s(&self, agreeing_hosts: usize) -> f64 {
        let agreeing = (agreeing_hosts as f64).min(MAX_AGREEING_HOSTS);
        let reduction =
            (self.max_s - self.min_s) * (agreeing + 1.0).ln() / (MAX_AGREEING_HOSTS + 1.0).ln();
        (self.max_s - reduction).max(self.min_s) * self.stretch
    }
}

impl Node {
    /// Suspects a member that is alive.
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

    /// Others reach a member.
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

    /// A member that was declared dead is back. With traffic limits the suspicions that stand begin anew: a partition may
    /// have ended, and those suspected since then have had no time to refute.
    pub(super) fn note_false_death(&mut self, now: Timestamp, name: &Name) {
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

    /// Declares suspects dead that did not refute in time.
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

/// Whether a suspect had its time to refute: the less, the more independent hosts agree.
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
