//! News of engines: told to all others at a pace, and what enough of them doubt.

use admission::interface::Timestamp;
use rand::seq::SliceRandom;

use super::Gateway;
use crate::engines::{Doubt, EngineWord};

impl Gateway {
    /// What this gateway saw of an engine. Those who may be spared the same loss are told at a pace.
    pub fn saw(&mut self, now: Timestamp, engine: &str, word: EngineWord) {
        if self.engines.saw(now, engine, word) && self.sweep.is_empty() {
            self.sweep = self
                .table
                .fleet()
                .map(|held| held.record.name.clone())
                .collect();
            self.sweep.shuffle(&mut self.rng);
            self.next_news = now;
        }
    }

    /// Engines that enough others lost statements to, as far as the standing lets their word count.
    pub fn doubted(&mut self, now: Timestamp) -> Vec<Doubt> {
        self.engines.fade(now, &self.terms);
        if self.assumed().engine_news {
            self.engines.doubted(&self.terms)
        } else {
            Vec::new()
        }
    }
}
