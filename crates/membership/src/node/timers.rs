//! What is due in a turn of the loop, and once a protocol period.

use admission::interface::{TimeDelta, Timestamp};

use super::{Event, Node};

/// Part of a probe's time-out by which the loop may be late before this node doubts itself.
const STALL_TIMEOUT_PART: f64 = 0.5;
/// The least lateness that counts as a stall, in seconds.
const MIN_STALL_S: f64 = 0.05;

impl Node {
    /// When [`Node::turn`] is due next.
    #[must_use]
    pub fn due(&self) -> Timestamp {
        let always = self.next_period.min(self.rejoin.next);
        let sometimes = [
            self.probes.next_due(),
            self.engine_broadcast.next_due(),
            self.probe_retries.next_due(),
        ];
        sometimes.into_iter().flatten().fold(always, Timestamp::min)
    }

    /// Does all that is due. Call it once [`Node::due`] has come, after all datagrams that came were handed in.
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
        self.repeat_probes(now);
        self.rejoin(now);
        if self.next_period <= now {
            let period_s = self.config.probe_period.secs() * self.jitter();
            self.next_period = now + TimeDelta::from_secs(period_s);
            self.run_period(now);
        }
        self.broadcast_engine_reports(now);
    }

    /// A loop that stood still judges nobody by it: what came meanwhile is read by now; what did not, nobody can tell.
    fn check_stall(&mut self, now: Timestamp) {
        let late = now - self.due();
        let allowed_s = (self.config.probe_timeout.secs() * STALL_TIMEOUT_PART).max(MIN_STALL_S);
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

    /// One protocol period.
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
