//! Memory: what statements need, by their estimates and what completed ones took, and what of it may be reserved.
//!
//! An engine that spills or pages is worse than a wait at this gateway. Could harm where estimates are far too high.

use crate::interface::{ClassId, Statement};

/// Part of this gateway's share of an engine's memory that running statements may need: estimates scatter.
pub(super) const USABLE_SHARE: f64 = 0.85;
/// An engine with at most this part of its memory reserved may take a statement that the fleet's memory has room
/// for: a statement is large against a share, and chance puts many gateways' heavy ones on one engine.
const LIGHTLY_RESERVED: f64 = 0.3;
/// Part of a statement's memory that the whole fleet must have free.
const FLEET_NEED: f64 = 0.5;
/// Slow statements hold memory longer: past this many times the best latency the fleet's memory counts for less.
const UNHURRIED: f64 = 1.5;
/// The least and the most that the fleet's memory counts for, as a factor.
const FLEET_FACTOR_RANGE: (f64, f64) = (0.6, 1.2);
/// Part of what was learned that is kept at each outcome.
const KEPT_PER_OUTCOME: f64 = 0.99;

/// Decaying sums over a class's outcomes, in MB.
#[derive(Clone, Copy)]
struct ClassMemory {
    taken_mb: f64,
    estimated_mb: f64,
}

/// Predicts memory: the client's estimate times the ratio learned for its class.
pub(super) struct MemoryModel {
    classes: Vec<ClassMemory>,
}

impl MemoryModel {
    /// Believes estimates until outcomes tell.
    pub(super) fn new(classes: usize) -> Self {
        let believed = ClassMemory {
            taken_mb: 1.0,
            estimated_mb: 1.0,
        };
        MemoryModel {
            classes: vec![believed; classes],
        }
    }

    /// Predicted memory in MB; 0 where there is no estimate.
    pub(super) fn predict_mb(&self, statement: &Statement) -> f64 {
        let learned = self.classes[statement.class.0];
        statement.memory_mb.max(0.0) * learned.taken_mb / learned.estimated_mb.max(1e-9)
    }

    /// Learns from a completed statement of an estimate above 0.
    pub(super) fn learn(&mut self, class: ClassId, estimated_mb: f64, taken_mb: f64) {
        let learned = &mut self.classes[class.0];
        learned.taken_mb = learned.taken_mb * KEPT_PER_OUTCOME + taken_mb;
        learned.estimated_mb = learned.estimated_mb * KEPT_PER_OUTCOME + estimated_mb;
    }
}

/// Memory of one engine, or of all, as this gateway's share.
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

    /// Reserves; a negative amount releases.
    pub(super) fn reserve(&mut self, memory_mb: f64) {
        self.reserved_mb = (self.reserved_mb + memory_mb).max(0.0);
    }

    /// Of all engines: whether they have room for a statement. `times_best`: the fleet's latency.
    pub(super) fn fleet_has_room(&self, need_mb: f64, times_best: Option<f64>) -> bool {
        let (least, most) = FLEET_FACTOR_RANGE;
        let factor = times_best.map_or(1.0, |times| (UNHURRIED / times).clamp(least, most));
        self.reserved_mb + need_mb * FLEET_NEED <= self.limit_mb * factor
    }

    /// Of one engine: whether a statement fits.
    pub(super) fn fits(
        &self,
        need_mb: f64,
        fleet: &MemoryReservation,
        fleet_has_room: bool,
    ) -> bool {
        let fits_here = self.reserved_mb + need_mb <= self.limit_mb;
        let is_lightly_reserved = self.reserved_mb <= LIGHTLY_RESERVED * self.limit_mb;
        let nothing_runs = fleet.reserved_mb <= 0.0;
        fits_here || (is_lightly_reserved && fleet_has_room) || nothing_runs
    }
}
