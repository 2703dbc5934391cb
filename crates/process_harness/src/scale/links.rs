//! Faults of the simulated network between regions, and which regions can reach each other.

use serde::{Deserialize, Serialize};

/// Network faults, which apply to all gateways until they are changed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Links {
    /// The probability that a datagram is lost.
    pub lost: f64,
    /// Pairs of regions whose direct link is cut in both directions.
    pub cut: Vec<(usize, usize)>,
}

impl Links {
    /// Returns whether the direct link between two regions is intact.
    pub fn direct(&self, from: usize, to: usize) -> bool {
        !self
            .cut
            .iter()
            .any(|(a, b)| (*a, *b) == (from, to) || (*a, *b) == (to, from))
    }

    /// Returns whether two regions reach each other directly or through one other region, whose
    /// members can probe a gateway for those that cannot.
    pub fn reachable(&self, from: usize, to: usize, regions: usize) -> bool {
        let through = |region: usize| self.direct(from, region) && self.direct(region, to);
        self.direct(from, to) || (0..regions).any(through)
    }
}
