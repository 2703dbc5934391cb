//! Reports of engines: told to all others at a bounded rate, and what enough of them report.

use admission::interface::Timestamp;
use rand::seq::SliceRandom;

use super::Node;
use super::send::Recipient;
use crate::engine_gossip::{EngineOutlier, EngineStatus};
use crate::message::Body;

impl Node {
    /// Takes in what this gateway saw of an engine. Others, who may be spared the same loss, are told at a bounded rate.
    pub fn report_engine(&mut self, now: Timestamp, engine: &str, status: EngineStatus) {
        let is_new = self.engines.observe(now, engine, status);
        if is_new && !self.engine_broadcast.is_running() {
            let mut recipients = self.table.fleet_names();
            recipients.shuffle(&mut self.rng);
            self.engine_broadcast.start(now, recipients);
        }
    }

    /// Engines that enough others lost statements to, as far as the view state lets their reports count.
    #[must_use]
    pub fn engine_outliers(&mut self, now: Timestamp) -> Vec<EngineOutlier> {
        self.engines.expire(now, &self.config);
        if self.assumptions().engine_reports_count {
            self.engines.outliers(&self.config)
        } else {
            Vec::new()
        }
    }

    /// Tells reports of engines to those who are still to be told.
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
