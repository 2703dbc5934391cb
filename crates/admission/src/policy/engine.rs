//! The state of one engine, as far as this gateway knows it.

use crate::interface::{EngineInfo, EngineStage, TimeDelta, Timestamp};

use super::outlier_detection::Health;
use super::reservations::Reservations;
use super::slow_start::{SlowStartBudget, SlowStartLimits};

/// Fraction of the engines' idle timeout for which an idle connection counts as usable. Closer to
/// the timeout, the engine's close could cross an attempt on the wire.
const USABLE_IDLE_FRACTION: f64 = 0.7;

/// Connections to one engine, inferred from this gateway's attempts.
#[derive(Clone, Copy, Default)]
struct Connections {
    /// Estimated number of open connections: the most attempts that were in flight at the same
    /// time.
    open: u32,
    /// When an attempt last took a connection; `None` before the first attempt.
    last_used: Option<Timestamp>,
}

/// One engine, and what this gateway has learned of it.
#[derive(Clone)]
pub(super) struct Engine {
    pub(super) info: EngineInfo,
    pub(super) reservations: Reservations,
    /// Attempts of this gateway that are in flight at the engine.
    pub(super) in_flight: u32,
    pub(super) health: Health,
    pub(super) slow_start: SlowStartBudget,
    /// Statements that wait at the engine for memory, including those of other gateways.
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

    /// Replaces the state after the engine has restarted as a new process. What was learned of the
    /// old process is dropped; attempts in flight and their reservations are kept.
    pub(super) fn restart(&mut self, replacement: Engine) {
        let previous = std::mem::replace(self, replacement);
        self.in_flight = previous.in_flight;
        self.reservations.take_over_running(previous.reservations);
    }

    /// Returns the engine's current capacity as a fraction of its full capacity.
    pub(super) fn capacity_factor(&self, limits: &SlowStartLimits, now: Timestamp) -> f64 {
        limits.capacity_factor(self.info.started, now)
    }

    /// Refills the CPU budget and the slow-start budget up to `now`. `shares` holds each class's
    /// share of the cores, in class order.
    pub(super) fn refill(
        &mut self,
        now: Timestamp,
        limits: &SlowStartLimits,
        shares: impl Iterator<Item = f64>,
    ) {
        let elapsed_s = self.reservations.buckets.since_refill_s(now);
        let capacity_factor = self.capacity_factor(limits, now);
        self.reservations.refill(now, capacity_factor, shares);
        let cores = self.reservations.cores;
        self.slow_start
            .refill(elapsed_s, limits, cores, capacity_factor);
    }

    /// Returns whether an open connection carries no attempt. `idle_timeout` is the time after
    /// which engines close idle connections.
    pub(super) fn has_free_connection(&self, now: Timestamp, idle_timeout: TimeDelta) -> bool {
        self.open_connections(now, idle_timeout) > self.in_flight
    }

    /// Returns the estimated number of open connections.
    fn open_connections(&self, now: Timestamp, idle_timeout: TimeDelta) -> u32 {
        let usable_s = idle_timeout.secs() * USABLE_IDLE_FRACTION;
        let last_used = self.connections.last_used;
        if last_used.is_some_and(|used| (now - used).secs() < usable_s) {
            self.connections.open
        } else {
            self.in_flight
        }
    }

    /// Counts an attempt that is sent, and the connection that it takes. If `idle_timeout` is
    /// `None`, idle connections are not tracked.
    pub(super) fn count_attempt(&mut self, now: Timestamp, idle_timeout: Option<TimeDelta>) {
        let open = idle_timeout.map_or(0, |timeout| self.open_connections(now, timeout));
        self.in_flight += 1;
        self.connections = Connections {
            open: open.max(self.in_flight),
            last_used: Some(now),
        };
    }
}
