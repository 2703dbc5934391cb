//! How long sessions may stand still, and the schedule by which they are looked over.

use admission::interface::{TimeDelta, Timestamp};

use super::Sessions;
use super::events::SessionId;
use super::session::{CloseReason, Session, SessionState};
use crate::counters::Counters;

/// Network fact: a client logs in and sends its first command at once, and is owed a response or a close within 3 s of
/// connecting.
const FIRST_COMMAND_S: f64 = 2.0;

/// Network fact: a packet that was begun is whole soon after.
const WHOLE_PACKET_S: f64 = 2.0;

/// Network fact: clients close idle sessions after 4 s, so one idle for so long was forgotten.
const IDLE_S: f64 = 30.0;

/// Network fact: a client that takes nothing of its response for so long is not reading any more.
const UNREAD_RESPONSE_S: f64 = 10.0;

/// After its last response a client has so long to read it before its socket goes.
const CLOSING_S: f64 = 1.0;

/// How often sessions are looked over; far finer than the times above.
const SWEEP_S: f64 = 0.25;

impl Session {
    /// Whether it has to go by now.
    fn is_timed_out(&self, now: Timestamp) -> bool {
        let has_passed = |since: Timestamp, limit_s: f64| (now - since).secs() > limit_s;
        if self.state == SessionState::Closing {
            return has_passed(self.last_activity, CLOSING_S);
        }
        if self.commands == 0 && has_passed(self.opened, FIRST_COMMAND_S) {
            return true;
        }
        if self.socket.unwritten_bytes() > 0 {
            return has_passed(self.last_activity, UNREAD_RESPONSE_S);
        }
        if self.is_pending() {
            return false;
        }
        let packet_stuck = self
            .packet_begun
            .is_some_and(|since| has_passed(since, WHOLE_PACKET_S));
        packet_stuck || has_passed(self.last_activity, IDLE_S)
    }

    /// Its client reads nothing, so it would not read a last response either.
    fn is_unread(&self) -> bool {
        self.state == SessionState::Closing || self.socket.unwritten_bytes() > 0
    }
}

impl Sessions {
    /// When [`Self::on_timer`] or [`Self::resume`] has something to do; none without sessions.
    #[must_use]
    pub fn next_due(&self, now: Timestamp) -> Option<Timestamp> {
        if !self.unfinished.is_empty() || !self.events.is_empty() {
            return Some(now);
        }
        (!self.sessions.is_empty()).then_some(self.next_sweep)
    }

    /// Ends sessions that have stood still for too long.
    pub fn on_timer(&mut self, now: Timestamp, counters: &mut Counters) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + TimeDelta::from_secs(SWEEP_S);
        let timed_out: Vec<(SessionId, bool)> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.is_timed_out(now))
            .map(|(id, session)| (*id, session.is_unread()))
            .collect();
        for (id, is_unread) in timed_out {
            if is_unread {
                self.remove(id, &CloseReason::Unread, counters);
            } else {
                self.shut_down(now, id, counters);
            }
        }
    }
}
