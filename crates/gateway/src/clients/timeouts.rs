//! Session timeouts, and the periodic check that applies them.

use admission::interface::{TimeDelta, Timestamp};

use super::Sessions;
use super::events::SessionId;
use super::session::{CloseReason, Session, SessionState};
use crate::counters::Counters;

/// How long a client may take from connecting to its first command. Clients log in and send a
/// command at once, and expect a response or a close within 3 s of connecting.
const FIRST_COMMAND_TIMEOUT_S: f64 = 2.0;

/// How long a packet may stay incomplete. The rest of a packet normally follows its start at once.
const PARTIAL_PACKET_TIMEOUT_S: f64 = 2.0;

/// How long a session may be idle. Clients close idle sessions after 4 s, so one that stays idle
/// much longer has been forgotten by its client.
const IDLE_TIMEOUT_S: f64 = 30.0;

/// How long a client may read nothing of a response before it counts as stalled.
const UNREAD_RESPONSE_TIMEOUT_S: f64 = 10.0;

/// How long a client may take to read its last response and close before the socket is closed.
const CLOSING_TIMEOUT_S: f64 = 1.0;

/// The interval between checks of all sessions, much shorter than the timeouts above.
const SWEEP_INTERVAL_S: f64 = 0.25;

impl Session {
    /// Whether one of the session's timeouts has expired.
    fn is_timed_out(&self, now: Timestamp) -> bool {
        let has_elapsed = |since: Timestamp, limit_s: f64| (now - since).secs() > limit_s;
        if self.state == SessionState::Closing {
            return has_elapsed(self.last_activity, CLOSING_TIMEOUT_S);
        }
        if self.commands == 0 && has_elapsed(self.opened, FIRST_COMMAND_TIMEOUT_S) {
            return true;
        }
        if self.socket.unwritten_bytes() > 0 {
            return has_elapsed(self.last_activity, UNREAD_RESPONSE_TIMEOUT_S);
        }
        if self.is_pending() {
            return false;
        }
        let packet_timed_out = self
            .partial_packet_since
            .is_some_and(|since| has_elapsed(since, PARTIAL_PACKET_TIMEOUT_S));
        packet_timed_out || has_elapsed(self.last_activity, IDLE_TIMEOUT_S)
    }

    /// Whether the client has left data unread or has not closed after its last response. A session
    /// that has timed out in this state is closed without waiting for the client.
    fn is_client_stalled(&self) -> bool {
        self.state == SessionState::Closing || self.socket.unwritten_bytes() > 0
    }
}

impl Sessions {
    /// When [`Self::on_timer`], [`Self::resume`] or [`Self::take_events`] next has something to do.
    /// `None` if there are no sessions and nothing is left to process.
    #[must_use]
    pub fn next_due(&self, now: Timestamp) -> Option<Timestamp> {
        let has_work = !self.unfinished.is_empty() || !self.events.is_empty();
        if has_work || self.first_with_room().is_some() {
            return Some(now);
        }
        (!self.sessions.is_empty()).then_some(self.next_sweep)
    }

    /// Closes the sessions whose timeouts have expired.
    pub fn on_timer(&mut self, now: Timestamp, counters: &mut Counters) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + TimeDelta::from_secs(SWEEP_INTERVAL_S);
        let timed_out: Vec<(SessionId, bool)> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.is_timed_out(now))
            .map(|(id, session)| (*id, session.is_client_stalled()))
            .collect();
        for (id, is_client_stalled) in timed_out {
            if is_client_stalled {
                self.remove(id, &CloseReason::ClientStalled, counters);
            } else if self.awaiting_memory.contains(&id) {
                self.refuse_large_packet(now, id, counters);
            } else {
                self.shut_down(now, id, counters);
            }
        }
    }

    /// Answers a packet that found no memory in time with an error, and closes the session.
    fn refuse_large_packet(&mut self, now: Timestamp, id: SessionId, counters: &mut Counters) {
        if let Some(session) = self.sessions.get_mut(&id) {
            counters.packets_refused += 1;
            session.reject_packet(now, "too many large packets at once");
            self.process(now, id, counters);
        }
    }
}
