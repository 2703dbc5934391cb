//! Which engines this gateway ejected, told to the others, and which ones enough of the others report.

use std::collections::BTreeMap;

use ::membership::{EngineOutlier, EngineStatus, Node};
use admission::interface::{EngineHealth, EngineId, OutlierReport, TimeDelta, Timestamp};

use crate::discovery::registry::EngineRegistry;

/// How often the engines' health is compared with what was announced.
const EXCHANGE_INTERVAL: TimeDelta = TimeDelta::from_micros(100_000);

/// What this gateway announced of engines.
pub(super) struct EngineGossip {
    next_exchange: Timestamp,
    /// This gateway's own ejections that were announced, with their ends. One leaves as it ends.
    announced: BTreeMap<EngineId, Timestamp>,
}

impl EngineGossip {
    /// Nothing announced yet.
    pub(super) fn new(now: Timestamp) -> Self {
        EngineGossip {
            next_exchange: now,
            announced: BTreeMap::new(),
        }
    }

    /// When [`EngineGossip::exchange`] is due next.
    pub(super) fn next_exchange(&self) -> Timestamp {
        self.next_exchange
    }

    /// Announces changes of `health` and returns what enough other gateways report; nothing before it is due.
    pub(super) fn exchange(
        &mut self,
        now: Timestamp,
        health: impl Iterator<Item = EngineHealth>,
        registry: &EngineRegistry,
        membership: &mut Node,
    ) -> Vec<OutlierReport> {
        if now < self.next_exchange {
            return Vec::new();
        }
        self.next_exchange = now + EXCHANGE_INTERVAL;
        let ejected: BTreeMap<EngineId, Timestamp> = health.filter_map(own_ejection).collect();
        self.announce_ejections(now, &ejected, registry, membership);
        self.announce_recoveries(now, &ejected, registry, membership);
        self.announced = ejected;
        let outliers = membership.engine_outliers(now);
        outliers
            .into_iter()
            .filter_map(|outlier| outlier_report(&outlier, registry))
            .collect()
    }

    fn announce_ejections(
        &self,
        now: Timestamp,
        ejected: &BTreeMap<EngineId, Timestamp>,
        registry: &EngineRegistry,
        membership: &mut Node,
    ) {
        for (id, until) in ejected {
            let is_new = self
                .announced
                .get(id)
                .is_none_or(|announced| announced < until);
            if is_new && let Some(uid) = registry.uid(*id) {
                membership.report_engine(now, uid, EngineStatus::Failing);
            }
        }
    }

    fn announce_recoveries(
        &self,
        now: Timestamp,
        ejected: &BTreeMap<EngineId, Timestamp>,
        registry: &EngineRegistry,
        membership: &mut Node,
    ) {
        for id in self.announced.keys() {
            if !ejected.contains_key(id)
                && let Some(uid) = registry.uid(*id)
            {
                membership.report_engine(now, uid, EngineStatus::Recovered);
            }
        }
    }
}

/// An ejection by what this gateway saw itself; one by gossip is no news to the others.
fn own_ejection(health: EngineHealth) -> Option<(EngineId, Timestamp)> {
    if health.by_gossip {
        return None;
    }
    Some((health.id, health.ejected_until?))
}

/// Engines go by their names between gateways and by numbers within one; none: this gateway does not know the engine.
fn outlier_report(outlier: &EngineOutlier, registry: &EngineRegistry) -> Option<OutlierReport> {
    Some(OutlierReport {
        id: registry.id(&outlier.engine)?,
        seen: outlier.seen,
        until: outlier.until,
    })
}
