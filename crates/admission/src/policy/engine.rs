//! One engine, as this gateway knows it.

use crate::interface::{EngineInfo, EngineStage, TimeDelta, Timestamp};

use super::outlier_detection::Health;
use super::reservations::Reservations;
use super::slow_start::{SlowStartBudget, SlowStartLimits};

/// A connection is counted on for this part of the time after which engines close idle ones: their close would cross
/// an attempt.
const IDLE_TIME_COUNTED_ON: f64 = 0.7;

/// Connections to one engine, as far as this gateway's attempts tell.
#[derive(Clone, Copy, Default)]
struct Connections {
    /// As many as attempts were in flight at the same time.
    open: u32,
    /// When one was last taken.
    last_used: Option<Timestamp>,
}

#[derive(Clone)]
pub(super) struct Engine {
    pub(super) info: EngineInfo,
    pub(super) reservations: Reservations,
    /// Attempts in flight there.
    pub(super) in_flight: u32,
    pub(super) health: Health,
    pub(super) slow_start: SlowStartBudget,
    /// Statements that wait there for memory, those of other gateways among them.
    pub(super) waiting_statements: f64,
    connections: Connections,
}

impl Engine {
    pub(super) fn new(
        info: EngineInfo,
        reservations: Reservations,
        slow_start: SlowStartBudget,
    ) -> Self {
        Engine {
            info,
            reservations,
            in_flight: 0,
            health: Health::default(),
            slow_start,
            waiting_statements: 0.0,
            connections: Connections::default(),
        }
    }

    pub(super) fn is_ready(&self) -> bool {
        self.info.stage == EngineStage::Ready
    }

    /// A new process of this engine: what was learned of the old one is void, what is still in flight is not.
    pub(super) fn restart(&mut self, fresh: Engine) {
        let earlier = std::mem::replace(self, fresh);
        self.in_flight = earlier.in_flight;
        self.reservations.take_over_running(earlier.reservations);
    }

    /// The part of its full capacity that it has now.
    pub(super) fn capacity_factor(&self, limits: &SlowStartLimits, now: Timestamp) -> f64 {
        limits.capacity_factor(self.info.started, now)
    }

    /// Refills the budgets up to now. `shares`: of the classes.
    pub(super) fn refill(
        &mut self,
        now: Timestamp,
        limits: &SlowStartLimits,
        shares: impl Iterator<Item = f64>,
    ) {
        let elapsed_s = self.reservations.buckets.since_refill_s(now);
        let factor = self.capacity_factor(limits, now);
        self.reservations.refill(now, factor, shares);
        let cores = self.reservations.cores;
        self.slow_start.refill(elapsed_s, limits, cores, factor);
    }

    /// Whether a connection stands that carries no attempt. `idle_timeout`: after it engines close idle connections.
    pub(super) fn has_free_connection(&self, now: Timestamp, idle_timeout: TimeDelta) -> bool {
        self.open_connections(now, idle_timeout) > self.in_flight
    }

    fn open_connections(&self, now: Timestamp, idle_timeout: TimeDelta) -> u32 {
        let counted_on_s = idle_timeout.secs() * IDLE_TIME_COUNTED_ON;
        let last_used = self.connections.last_used;
        if last_used.is_some_and(|used| (now - used).secs() < counted_on_s) {
            self.connections.open
        } else {
            self.in_flight
        }
    }

    /// Counts an attempt that is sent, and the connection that it takes.
    pub(super) fn count_attempt(&mut self, now: Timestamp, idle_timeout: Option<TimeDelta>) {
        let open = idle_timeout.map_or(0, |timeout| self.open_connections(now, timeout));
        self.in_flight += 1;
        self.connections = Connections {
            open: open.max(self.in_flight),
            last_used: Some(now),
        };
    }
}
