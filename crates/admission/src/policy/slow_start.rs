//! Slow start: an engine that has just started has only part of its capacity. It fails if all
//! gateways together send it more than a multiple of that part.

use crate::interface::{SlowStart, Timestamp};

/// Fraction of the overload limit of a starting engine that all gateways together may use.
const SAFE_FRACTION: f64 = 0.4;
/// Fraction of a window's budget that may be available at once; the rest is refilled during the
/// window.
const BURST_FRACTION: f64 = 0.5;
/// Number of times that a full budget is refilled within the window.
const REFILLS_PER_WINDOW: f64 = 2.0;

/// Limits on sending to engines in slow start, from the settings and the granted quota.
#[derive(Clone, Copy)]
pub(super) struct SlowStartLimits {
    /// The configured slow start; `None` if engines have their full capacity at once.
    pub(super) config: Option<SlowStart>,
    /// Number of gateways that use the same engines, including this one.
    pub(super) peers: f64,
    /// What this gateway may use of a starting engine, as a multiple of its even share.
    pub(super) share_multiple: f64,
}

impl SlowStartLimits {
    /// Returns the current capacity of an engine as a fraction of its full capacity; 1 once it has
    /// warmed up. The settings state only the initial share and the warm-up time, so the curve is
    /// chosen to lie below the straight line between them.
    pub(super) fn capacity_factor(&self, started: Option<Timestamp>, now: Timestamp) -> f64 {
        let (Some(config), Some(started)) = (self.config, started) else {
            return 1.0;
        };
        let warm_up_progress = (now - started).secs() / config.warm_up.secs().max(1e-3);
        if warm_up_progress >= 1.0 {
            return 1.0;
        }
        config.initial_share + (1.0 - config.initial_share) * warm_up_progress.max(0.0).powi(2)
    }

    /// Returns the CPU seconds that the budget of a starting engine holds at an even share. `cores`
    /// is this gateway's even share of the engine's cores, and `capacity_factor` is the part of its
    /// full capacity that the engine has now.
    fn budget_capacity_s(&self, cores: f64, capacity_factor: f64) -> f64 {
        self.config.map_or(0.0, |config| {
            let tolerated = cores * capacity_factor * SAFE_FRACTION * config.overload_multiple;
            tolerated * config.window.secs() * BURST_FRACTION
        })
    }
}

/// The CPU seconds of typical statements that a starting engine may still be sent.
#[derive(Clone)]
pub(super) struct SlowStartBudget {
    tokens_s: f64,
}

impl SlowStartBudget {
    /// Starts with a random debt of up to the typical CPU time or one CPU second, whichever is
    /// more. `random_fraction`, 0 to 1, scales the debt so that not all gateways that hear of a new
    /// engine use it at once.
    pub(super) fn new(random_fraction: f64, typical_s: f64) -> Self {
        SlowStartBudget {
            tokens_s: -random_fraction * typical_s.max(1.0),
        }
    }

    /// Refills the budget for the time that has passed since the last refill.
    pub(super) fn refill(
        &mut self,
        elapsed_s: f64,
        limits: &SlowStartLimits,
        cores: f64,
        capacity_factor: f64,
    ) {
        let Some(config) = limits.config else { return };
        let max_tokens_s = limits.budget_capacity_s(cores, capacity_factor) * limits.share_multiple;
        let refill = REFILLS_PER_WINDOW * max_tokens_s * elapsed_s / config.window.secs().max(1e-3);
        self.tokens_s = (self.tokens_s + refill).min(max_tokens_s);
    }

    /// Charges a statement that is sent with the typical CPU time of its class.
    pub(super) fn charge(&mut self, typical_s: f64) {
        self.tokens_s -= typical_s;
    }

    /// Returns whether a statement of a class with this typical CPU time may be sent to the engine.
    /// A budget that is too small for one statement fills up first, and then allows it if the
    /// budgets of all gateways together would hold it.
    pub(super) fn allows(
        &self,
        limits: &SlowStartLimits,
        cores: f64,
        capacity_factor: f64,
        typical_s: f64,
    ) -> bool {
        if capacity_factor >= 1.0 {
            return true;
        }
        let max_tokens_s = limits.budget_capacity_s(cores, capacity_factor);
        let fits_combined_budget = typical_s <= max_tokens_s * limits.peers;
        let has_tokens = self.tokens_s >= typical_s.min(max_tokens_s * limits.share_multiple);
        fits_combined_budget && has_tokens
    }
}
