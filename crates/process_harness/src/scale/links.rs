//! What the network between regions does to datagrams, and who can reach whom by it.

use serde::{Deserialize, Serialize};

/// Faults of the network, the same for all gateways until they are changed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Links {
    /// Share of all datagrams that is lost.
    pub lost: f64,
    /// Pairs of regions between which nothing goes.
    pub cut: Vec<(usize, usize)>,
}

impl Links {
    pub fn direct(&self, from: usize, to: usize) -> bool {
        !self
            .cut
            .iter()
            .any(|(a, b)| (*a, *b) == (from, to) || (*a, *b) == (to, from))
    }

    /// Directly or by way of one other region: others can vouch for those there.
    pub fn reachable(&self, from: usize, to: usize, regions: usize) -> bool {
        let by_way = |way: usize| self.direct(from, way) && self.direct(way, to);
        self.direct(from, to) || (0..regions).any(by_way)
    }
}
