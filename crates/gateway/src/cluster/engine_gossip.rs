//! Announces the engines that this gateway ejected, and collects those that enough other gateways
//! report.

use std::collections::BTreeMap;

use ::membership::{EngineOutlier, EngineStatus, Node};
use admission::interface::{EngineHealth, EngineId, OutlierReport, TimeDelta, Timestamp};

use crate::discovery::registry::EngineRegistry;

/// Interval between two comparisons of the engines' health with what was announced.
const EXCHANGE_INTERVAL: TimeDelta = TimeDelta::from_micros(100_000);

/// What this gateway has announced about engines.
pub(super) struct EngineGossip {
    next_exchange: Timestamp,
    /// The announced ejections that this gateway decided itself, with the time at which each ends.
    /// An entry is removed when its ejection ends.
    announced: BTreeMap<EngineId, Timestamp>,
}

impl EngineGossip {
    /// Creates the state with nothing announced.
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

    /// Announces the changes of `health`, and returns what enough other gateways report. Does
    /// nothing before it is due.
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

/// Returns an ejection that this gateway based on its own observations. An ejection that follows
/// gossip is not announced, because the other gateways know of it.
fn own_ejection(health: EngineHealth) -> Option<(EngineId, Timestamp)> {
    if health.by_gossip {
        return None;
    }
    Some((health.id, health.ejected_until?))
}

/// Converts a report from gossip, which names the engine by its uid, to one with this gateway's
/// local id. Returns `None` for an engine that this gateway does not know.
fn outlier_report(outlier: &EngineOutlier, registry: &EngineRegistry) -> Option<OutlierReport> {
    Some(OutlierReport {
        id: registry.id(&outlier.engine)?,
        seen: outlier.seen,
        until: outlier.until,
    })
}
