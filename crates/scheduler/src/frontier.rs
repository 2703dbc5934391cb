//! The needs known to lack capacity at present, so that the same need is not offered again without
//! success.

/// The resource need of a statement, which determines whether there is capacity for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceNeed {
    /// Predicted CPU seconds.
    pub cpu: f64,
    /// Predicted memory, in MB.
    pub memory_mb: f64,
}

/// The smallest needs of one query class that found no capacity in this round. Within a class, a
/// larger need never has more capacity. So a need that is at least as large in both resources as a
/// recorded one has no capacity either, until something changes.
#[derive(Clone, Debug, Default)]
pub struct CapacityFrontier {
    smallest_needs: Vec<ResourceNeed>,
    failed_offers: usize,
}

impl CapacityFrontier {
    /// The number of failed offers after which the class is closed until the next round.
    const MAX_FAILED_OFFERS: usize = 64;

    /// Records that an offer with this need found no capacity.
    pub fn record(&mut self, need: ResourceNeed) {
        self.failed_offers += 1;
        self.smallest_needs
            .retain(|known| known.cpu < need.cpu || known.memory_mb < need.memory_mb);
        self.smallest_needs.push(need);
    }

    /// Rules out every need for the rest of this round.
    pub fn close(&mut self) {
        self.failed_offers = Self::MAX_FAILED_OFFERS;
    }

    /// Whether every need is ruled out.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.failed_offers >= Self::MAX_FAILED_OFFERS
    }

    /// Whether no need is ruled out.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.failed_offers == 0
    }

    /// Whether no recorded need rules this one out. This ignores [`CapacityFrontier::is_closed`].
    #[must_use]
    pub fn may_have_capacity(&self, need: ResourceNeed) -> bool {
        self.smallest_needs
            .iter()
            .all(|known| need.cpu < known.cpu || need.memory_mb < known.memory_mb)
    }
}
