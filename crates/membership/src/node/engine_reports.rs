//! Engine reports: this node's own observations, broadcast to all members at a bounded rate, and
//! the outliers that follow from the reports of others.

use admission::interface::Timestamp;
use rand::seq::SliceRandom;

use super::Node;
use super::send::Recipient;
use crate::engine_gossip::{EngineOutlier, EngineStatus};
use crate::message::Body;

impl Node {
    /// Records what this gateway observed of an engine. A new observation is broadcast at a bounded
    /// rate, so that other gateways can avoid losing statements to the same engine.
    pub fn report_engine(&mut self, now: Timestamp, engine: &str, status: EngineStatus) {
        let is_new = self.engines.observe(now, engine, status);
        if is_new && !self.engine_broadcast.is_running() {
            let mut recipients = self.table.fleet_names();
            recipients.shuffle(&mut self.rng);
            self.engine_broadcast.start(now, recipients);
        }
    }

    /// Engines to which enough other nodes lost statements. Empty while the view state does not let
    /// reports from others count.
    #[must_use]
    pub fn engine_outliers(&mut self, now: Timestamp) -> Vec<EngineOutlier> {
        self.engines.expire(now, &self.config);
        if self.assumptions().engine_reports_count {
            self.engines.outliers(&self.config)
        } else {
            Vec::new()
        }
    }

    /// Sends engine reports to the remaining recipients of a broadcast, as the rate permits.
    pub(super) fn broadcast_engine_reports(&mut self, now: Timestamp) {
        if !self.engine_broadcast.is_due(now) {
            return;
        }
        while let Some(name) = self.engine_broadcast.pop(now) {
            let member = self.table.get(&name).filter(|entry| entry.is_in_fleet());
            if let Some(recipient) = member.map(|entry| Recipient::of(&entry.record)) {
                self.send(now, &recipient, Body::Gossip, Vec::new());
            }
        }
        self.engine_broadcast.pause(now);
    }
}
