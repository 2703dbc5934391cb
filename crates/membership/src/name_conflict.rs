//! Conflicts between two processes that use the same name: which of them stays in the fleet.

use admission::interface::{TimeDelta, Timestamp};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::member::BootId;
use crate::rate_limiter::RateLimiter;

/// The mean time that a node stays out of the fleet after it lost a conflict, in seconds. The
/// actual time is drawn at random between half of it and one and a half times it.
const MEAN_WITHDRAWAL_S: f64 = 30.0;
/// How often per second a node may raise its incarnation above that of another boot of its name.
const INCARNATION_RAISES_PER_S: f64 = 1.0;

/// What this node knows about other processes that use its name, and whether it has withdrawn in
/// favour of one.
#[derive(Clone, Debug)]
pub struct NameConflict {
    /// The other boot under this name that was probed last, or `None` if none was probed or the
    /// last one answered.
    probed: Option<BootId>,
    /// Whether this node's view has ever agreed with those of others. If so, it keeps its name, and
    /// a later process withdraws.
    has_converged: bool,
    withdrawn_until: Option<Timestamp>,
    incarnation_raises: RateLimiter,
}

impl NameConflict {
    /// Creates the state without a conflict.
    #[must_use]
    pub fn new() -> Self {
        NameConflict {
            probed: None,
            has_converged: false,
            withdrawn_until: None,
            incarnation_raises: RateLimiter::new(INCARNATION_RAISES_PER_S),
        }
    }

    /// Records that this node's view agreed with those of others.
    pub fn set_converged(&mut self) {
        self.has_converged = true;
    }

    /// Returns whether this node may raise its incarnation above that of another boot now, and
    /// counts it. The rate is limited because a single Byzantine node could otherwise use up the
    /// range of incarnations.
    pub fn may_raise_incarnation(&mut self, now: Timestamp) -> bool {
        self.incarnation_raises.try_take(now)
    }

    /// Returns whether another boot should be probed, which is the case unless it is the one that
    /// was probed last.
    pub fn should_probe(&mut self, boot_id: BootId) -> bool {
        if self.probed == Some(boot_id) {
            return false;
        }
        self.probed = Some(boot_id);
        true
    }

    /// Records that the other process answered a probe. If this node's view has never agreed with
    /// others', it withdraws.
    pub fn conflict_confirmed(&mut self, now: Timestamp, rng: &mut Pcg64Mcg) {
        self.probed = None;
        if !self.has_converged {
            let duration = TimeDelta::from_secs(MEAN_WITHDRAWAL_S * (0.5 + rng.random::<f64>()));
            self.withdrawn_until = Some(now + duration);
        }
    }

    /// Returns whether this node has withdrawn and not yet returned.
    #[must_use]
    pub fn is_withdrawn(&self) -> bool {
        self.withdrawn_until.is_some()
    }

    /// Ends the withdrawal once its time is over. Returns whether this node is still withdrawn.
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
