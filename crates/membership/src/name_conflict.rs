//! Two processes with one name: which of them stays in the fleet.

use admission::interface::{TimeDelta, Timestamp};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::member::BootId;
use crate::rate_limiter::RateLimiter;

/// A node that gives way to another of its name stays out of the fleet for half to one and a half of this.
const WITHDRAWAL_S: f64 = 30.0;
/// How often a node rises above another boot of its name, at most.
const RISES_PER_S: f64 = 1.0;

/// What this node knows of other processes with its name, and whether it gave way to one.
#[derive(Clone, Debug)]
pub struct NameConflict {
    /// Another boot under this name that was asked whether it is there.
    probed: Option<BootId>,
    /// This node's view converged with others': who takes its name later gives way.
    has_converged: bool,
    withdrawn_until: Option<Timestamp>,
    rises: RateLimiter,
}

impl NameConflict {
    /// No other process is known.
    #[must_use]
    pub fn new() -> Self {
        NameConflict {
            probed: None,
            has_converged: false,
            withdrawn_until: None,
            rises: RateLimiter::new(RISES_PER_S),
        }
    }

    /// This node's view converged with others'.
    pub fn set_converged(&mut self) {
        self.has_converged = true;
    }

    /// Whether it may rise above another boot's incarnation now. Step by step, or one Byzantine node's word would use the
    /// range up.
    pub fn may_raise_incarnation(&mut self, now: Timestamp) -> bool {
        self.rises.try_take(now)
    }

    /// Whether another boot is to be probed: it was not the last one that was.
    pub fn should_probe(&mut self, boot_id: BootId) -> bool {
        if self.probed == Some(boot_id) {
            return false;
        }
        self.probed = Some(boot_id);
        true
    }

    /// The other process answered a probe: it is there. A node whose view never converged gives way.
    pub fn conflict_confirmed(&mut self, now: Timestamp, rng: &mut Pcg64Mcg) {
        self.probed = None;
        if !self.has_converged {
            let lasts = TimeDelta::from_secs(WITHDRAWAL_S * (0.5 + rng.random::<f64>()));
            self.withdrawn_until = Some(now + lasts);
        }
    }

    /// Whether this node gave way, and has not come back yet.
    #[must_use]
    pub fn is_withdrawn(&self) -> bool {
        self.withdrawn_until.is_some()
    }

    /// Comes back once the time is over. True: it is not.
    pub fn stays_withdrawn(&mut self, now: Timestamp) -> bool {
        if self.withdrawn_until.is_some_and(|until| now < until) {
            return true;
        }
        self.withdrawn_until = None;
        false
    }
}

impl Default for NameConflict {
    fn default() -> Self {
        Self::new()
    }
}
