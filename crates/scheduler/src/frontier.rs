//! What is known to have no capacity now, so that the same need is not offered in vain again.

/// What of a statement bears on whether there is capacity for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceNeed {
    /// Predicted CPU seconds.
    pub cpu: f64,
    /// Predicted memory, in MB.
    pub memory_mb: f64,
}

/// The least needs of one query class that found no capacity in this round. Within a class capacity only shrinks with
/// the need, so all that need as much or more of both have none either, until something changes.
#[derive(Clone, Debug, Default)]
pub struct CapacityFrontier {
    least: Vec<ResourceNeed>,
    vain_offers: usize,
}

impl CapacityFrontier {
    /// After so many vain offers the class is left alone until the next round.
    const MAX_VAIN_OFFERS: usize = 64;

    /// An offer of this need found no capacity.
    pub fn record(&mut self, need: ResourceNeed) {
        self.vain_offers += 1;
        self.least
            .retain(|known| known.cpu < need.cpu || known.memory_mb < need.memory_mb);
        self.least.push(need);
    }

    /// Rules out everything in this round, whatever it needs.
    pub fn close(&mut self) {
        self.vain_offers = Self::MAX_VAIN_OFFERS;
    }

    /// Everything is ruled out.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.vain_offers >= Self::MAX_VAIN_OFFERS
    }

    /// Nothing is ruled out.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.vain_offers == 0
    }

    /// Whether no recorded need rules this one out. It does not heed [`CapacityFrontier::is_closed`].
    #[must_use]
    pub fn may_have_capacity(&self, need: ResourceNeed) -> bool {
        self.least
            .iter()
            .all(|known| need.cpu < known.cpu || need.memory_mb < known.memory_mb)
    }
}
