//! Slow start: an engine that has just started can do a part of its work, and fails when all gateways together send
//! it more than a multiple of that part.

use crate::interface::{SlowStart, Timestamp};

/// Part of the multiple of a starting engine's present capacity that all gateways together may reach.
const SAFE_PART: f64 = 0.4;
/// Part of a window's budget that may be there at once; the other part flows in during the window.
const BURST_PART: f64 = 0.5;
/// The budget refills within the window, divided by this.
const REFILLS_PER_WINDOW: f64 = 2.0;

/// What the settings and the quotas tell of engines that start.
#[derive(Clone, Copy)]
pub(super) struct SlowStartLimits {
    /// None: engines have their full capacity at once.
    pub(super) config: Option<SlowStart>,
    /// Gateways before the same engines.
    pub(super) peers: f64,
    /// What this gateway may use of a starting engine, in even shares of all gateways.
    pub(super) fleet_share: f64,
}

impl SlowStartLimits {
    /// The part of its full capacity that an engine has now, 1 once it is warm. The settings tell only where it starts
    /// and when it ends: the curve lies under the straight line between.
    pub(super) fn capacity_factor(&self, started: Option<Timestamp>, now: Timestamp) -> f64 {
        let (Some(config), Some(started)) = (self.config, started) else {
            return 1.0;
        };
        let age = (now - started).secs() / config.warm_up.secs().max(1e-3);
        if age >= 1.0 {
            return 1.0;
        }
        config.initial_share + (1.0 - config.initial_share) * age.max(0.0).powi(2)
    }

    /// CPU seconds that may be sent within a window. `cores`: this gateway's even share of the engine's.
    fn window_budget_s(&self, cores: f64, factor: f64) -> f64 {
        self.config.map_or(0.0, |config| {
            let tolerated = cores * factor * SAFE_PART * config.overload_multiple;
            tolerated * config.window.secs() * BURST_PART
        })
    }
}

/// CPU seconds of usual work that a starting engine may still be sent.
#[derive(Clone)]
pub(super) struct SlowStartBudget {
    tokens_s: f64,
}

impl SlowStartBudget {
    /// Starts in debt by up to the usual work. `chance`, 0 to 1, spreads the gateways: all that hear of a new engine
    /// would else use it at once.
    pub(super) fn new(chance: f64, usual_s: f64) -> Self {
        SlowStartBudget {
            tokens_s: -chance * usual_s.max(1.0),
        }
    }

    pub(super) fn refill(
        &mut self,
        elapsed_s: f64,
        limits: &SlowStartLimits,
        cores: f64,
        factor: f64,
    ) {
        let Some(config) = limits.config else { return };
        let most_s = limits.window_budget_s(cores, factor) * limits.fleet_share;
        let refill = REFILLS_PER_WINDOW * most_s * elapsed_s / config.window.secs().max(1e-3);
        self.tokens_s = (self.tokens_s + refill).min(most_s);
    }

    pub(super) fn charge(&mut self, usual_s: f64) {
        self.tokens_s -= usual_s;
    }

    /// Whether a statement of a class with this usual work may go to the engine. A budget too small for one statement
    /// saves up for it, if the budgets of all gateways together would hold it.
    pub(super) fn allows(
        &self,
        limits: &SlowStartLimits,
        cores: f64,
        factor: f64,
        usual_s: f64,
    ) -> bool {
        if factor >= 1.0 {
            return true;
        }
        let most_s = limits.window_budget_s(cores, factor);
        let fits_all_gateways = usual_s <= most_s * limits.peers;
        let has_saved = self.tokens_s >= usual_s.min(most_s * limits.fleet_share);
        fits_all_gateways && has_saved
    }
}
