//! The timers of a node: the work of one turn of the event loop, and that of one protocol period.

use admission::interface::{TimeDelta, Timestamp};

use super::{Event, Node};

/// Fraction of the probe time-out by which the loop may be late before it counts as stalled.
const STALL_TIMEOUT_FRACTION: f64 = 0.5;
/// Delay in seconds up to which the loop never counts as stalled.
const MIN_STALL_S: f64 = 0.05;

impl Node {
    /// The time at which [`Node::turn`] is due next.
    #[must_use]
    pub fn due(&self) -> Timestamp {
        let earliest_fixed = self.next_period.min(self.rejoin.next);
        let optional_timers = [
            self.probes.next_due(),
            self.engine_broadcast.next_due(),
            self.probe_retries.next_due(),
        ];
        optional_timers
            .into_iter()
            .flatten()
            .fold(earliest_fixed, Timestamp::min)
    }

    /// Performs all work that is due. Call it once the time [`Node::due`] has been reached, after
    /// passing all received datagrams to [`Node::receive`].
    pub fn turn(&mut self, now: Timestamp) {
        self.check_stall(now);
        if self.name_conflict.stays_withdrawn(now) {
            self.next_period = self.next_period.max(now) + self.config.probe_period;
            self.rejoin.next = self.next_period;
            self.engine_broadcast.stop();
            return;
        }
        for nonce in self.probes.due(now) {
            self.advance_probe(now, nonce);
        }
        self.retry_probes(now);
        self.rejoin(now);
        if self.next_period <= now {
            let period_s = self.config.probe_period.secs() * self.jitter();
            self.next_period = now + TimeDelta::from_secs(period_s);
            self.run_period(now);
        }
        self.broadcast_engine_reports(now);
    }

    /// Detects that the loop was late. Datagrams that arrived during the stall have been handled by
    /// now, but a missing ack proves nothing. All outstanding probes are therefore dropped, and
    /// suspicions are extended by the delay.
    fn check_stall(&mut self, now: Timestamp) {
        let late = now - self.due();
        let allowed_s =
            (self.config.probe_timeout.secs() * STALL_TIMEOUT_FRACTION).max(MIN_STALL_S);
        if late <= TimeDelta::from_secs(allowed_s) {
            return;
        }
        self.metrics.loop_stalls += 1;
        self.emit(Event::LoopStalled(late));
        self.probes.clear();
        self.local_health.degrade();
        for suspicion in self.table.suspicions_mut() {
            suspicion.began = suspicion.began + late;
        }
    }

    /// Performs the work of one protocol period.
    fn run_period(&mut self, now: Timestamp) {
        self.expire_suspicions(now);
        for name in self.table.expire(now, self.config.dead_retention) {
            self.emit(Event::MemberForgotten(name));
        }
        self.verifications
            .retain(|name| self.table.get(name).is_some());
        self.probe_next(now);
        self.send_verifications(now);
        self.probe_suspect(now);
        self.exchange_tables(now);
        self.update_view_state(now);
    }
}
