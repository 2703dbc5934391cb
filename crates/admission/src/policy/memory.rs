//! Memory: predicts what statements need, from their estimates and from the outcomes of completed
//! statements, and decides how much of it may be reserved.
//!
//! A wait at this gateway is better than an engine that spills or pages. Where estimates are far
//! too high, statements may wait for memory that is in fact free.

use crate::interface::{ClassId, Statement};

/// Fraction of this gateway's share of an engine's memory that may be reserved. The rest is a
/// margin, because estimates scatter.
pub(super) const USABLE_FRACTION: f64 = 0.85;
/// An engine with at most this fraction of its memory reserved may take a statement that does not
/// fit there if the fleet's memory has room for it. One statement is large compared to a gateway's
/// share, and the heavy statements of many gateways may meet at one engine by chance.
const LIGHTLY_RESERVED_FRACTION: f64 = 0.3;
/// Fraction of a statement's memory that must be free in the whole fleet.
const FLEET_NEED_FRACTION: f64 = 0.5;
/// Latency, as a multiple of its best, above which the fleet's memory limit shrinks, because slow
/// statements hold their memory longer.
const SLOW_RATIO: f64 = 1.5;
/// Lower and upper bound of the factor that is applied to the fleet's memory limit.
const FLEET_LIMIT_FACTOR_RANGE: (f64, f64) = (0.6, 1.2);
/// Factor that is applied to the learned sums at each outcome.
const DECAY_FACTOR_PER_OUTCOME: f64 = 0.99;

/// Decaying sums over the outcomes of one class, in MB.
#[derive(Clone, Copy)]
struct ClassMemory {
    actual_mb: f64,
    estimated_mb: f64,
}

/// Predicts the memory of statements as the client's estimate times the ratio learned for the
/// class.
pub(super) struct MemoryModel {
    classes: Vec<ClassMemory>,
}

impl MemoryModel {
    /// Starts with a ratio of 1, which trusts the estimates until outcomes are known.
    pub(super) fn new(classes: usize) -> Self {
        let initial = ClassMemory {
            actual_mb: 1.0,
            estimated_mb: 1.0,
        };
        MemoryModel {
            classes: vec![initial; classes],
        }
    }

    /// Returns the predicted memory in MB, or 0 for a statement without an estimate.
    pub(super) fn predict_mb(&self, statement: &Statement) -> f64 {
        let learned = self.classes[statement.class.0];
        statement.memory_mb.max(0.0) * learned.actual_mb / learned.estimated_mb.max(1e-9)
    }

    /// Learns from a completed statement. `estimated_mb` must be above 0.
    pub(super) fn learn(&mut self, class: ClassId, estimated_mb: f64, actual_mb: f64) {
        let learned = &mut self.classes[class.0];
        learned.actual_mb = learned.actual_mb * DECAY_FACTOR_PER_OUTCOME + actual_mb;
        learned.estimated_mb = learned.estimated_mb * DECAY_FACTOR_PER_OUTCOME + estimated_mb;
    }
}

/// Memory of one engine, or of all engines together, as this gateway's share.
#[derive(Clone)]
pub(super) struct MemoryReservation {
    pub(super) limit_mb: f64,
    pub(super) reserved_mb: f64,
}

impl MemoryReservation {
    pub(super) fn new(limit_mb: f64) -> Self {
        MemoryReservation {
            limit_mb,
            reserved_mb: 0.0,
        }
    }

    /// Reserves memory; a negative amount releases it.
    pub(super) fn reserve(&mut self, memory_mb: f64) {
        self.reserved_mb = (self.reserved_mb + memory_mb).max(0.0);
    }

    /// Returns whether the fleet's memory, held by `self`, has room for a statement.
    /// `relative_latency` is the fleet's latency as a multiple of its best.
    pub(super) fn fleet_has_room(&self, need_mb: f64, relative_latency: Option<f64>) -> bool {
        let (min, max) = FLEET_LIMIT_FACTOR_RANGE;
        let factor = relative_latency.map_or(1.0, |ratio| (SLOW_RATIO / ratio).clamp(min, max));
        self.reserved_mb + need_mb * FLEET_NEED_FRACTION <= self.limit_mb * factor
    }

    /// Returns whether a statement fits at the engine whose memory `self` holds. Any statement fits
    /// while the fleet has no memory reserved.
    pub(super) fn fits(
        &self,
        need_mb: f64,
        fleet: &MemoryReservation,
        fleet_has_room: bool,
    ) -> bool {
        let fits_here = self.reserved_mb + need_mb <= self.limit_mb;
        let is_lightly_reserved = self.reserved_mb <= LIGHTLY_RESERVED_FRACTION * self.limit_mb;
        let nothing_runs = fleet.reserved_mb <= 0.0;
        fits_here || (is_lightly_reserved && fleet_has_room) || nothing_runs
    }
}
