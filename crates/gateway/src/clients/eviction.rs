//! Evicts sessions to make room for others, and shuts sessions down gracefully.

use admission::interface::Timestamp;

use super::Sessions;
use super::events::SessionId;
use super::session::{CloseReason, EvictionClass, Session, SessionState};
use crate::counters::Counters;

/// The fraction of all sessions that may be new, that is, without a command yet, before new
/// sessions are evicted ahead of idle ones.
const NEW_SESSIONS_SHARE: f64 = 0.25;

/// How many candidates are tried to make room for one session. A candidate is kept if a command
/// from it has just arrived.
const MAX_EVICTION_ATTEMPTS: usize = 8;

/// The last activity and the id of the least recently active session, or `None` if there is none.
type OldestSession = Option<(Timestamp, SessionId)>;

fn older(oldest: OldestSession, candidate: (Timestamp, SessionId)) -> OldestSession {
    Some(oldest.map_or(candidate, |oldest| oldest.min(candidate)))
}

impl Sessions {
    /// Whether there is room for one more session, counting sessions that can be evicted. While
    /// every session is waiting for a response, new connections stay in the kernel's accept
    /// backlog, where they cost the gateway nothing.
    #[must_use]
    pub fn has_room(&self) -> bool {
        let can_evict = |session: &Session| session.eviction_class().is_some();
        self.sessions.len() < self.limits.max_sessions || self.sessions.values().any(can_evict)
    }

    /// Evicts sessions until there is room for one more, no candidate is left, or
    /// [`MAX_EVICTION_ATTEMPTS`] candidates were tried.
    pub(super) fn make_room(&mut self, now: Timestamp, counters: &mut Counters) {
        for _ in 0..MAX_EVICTION_ATTEMPTS {
            let has_room = self.sessions.len() < self.limits.max_sessions;
            if has_room || !self.try_evict(now, counters) {
                return;
            }
        }
    }

    /// Evicts one session because its file descriptor is needed elsewhere. Returns false if none of
    /// the candidates could be evicted.
    pub fn evict_one(&mut self, now: Timestamp, counters: &mut Counters) -> bool {
        let sessions_before = self.sessions.len();
        for _ in 0..MAX_EVICTION_ATTEMPTS {
            let had_candidate = self.try_evict(now, counters);
            if had_candidate && self.sessions.len() < sessions_before {
                return true;
            }
        }
        false
    }

    /// Evicts the best candidate, or processes its packet if one has just arrived. Returns false if
    /// there is no candidate.
    fn try_evict(&mut self, now: Timestamp, counters: &mut Counters) -> bool {
        let Some(id) = self.eviction_candidate() else {
            return false;
        };
        if self.is_idle_after_final_read(now, id, counters) {
            counters.sessions_evicted += 1;
            if let Some(session) = self.sessions.get_mut(&id) {
                session.socket.finish_writing();
            }
            self.remove(id, &CloseReason::Evicted, counters);
        }
        true
    }

    /// Selects the session to evict. Sessions that are closing come first, then sessions that never
    /// sent a command, then idle ones; among equals, the least recently active one is selected.
    ///
    /// This protects against clients that never close their connections and clients that open
    /// hundreds and send nothing. While at most [`NEW_SESSIONS_SHARE`] of all sessions are new,
    /// idle sessions are evicted before new ones, so that a client that has just connected has the
    /// time to send a command.
    fn eviction_candidate(&self) -> Option<SessionId> {
        let mut oldest_closing = None;
        let mut oldest_new = None;
        let mut oldest_idle = None;
        let mut new_sessions = 0_usize;
        for (id, session) in &self.sessions {
            let candidate = (session.last_activity, *id);
            match session.eviction_class() {
                None => {}
                Some(EvictionClass::Closing) => oldest_closing = older(oldest_closing, candidate),
                Some(EvictionClass::Idle) => oldest_idle = older(oldest_idle, candidate),
                Some(EvictionClass::New) => {
                    new_sessions += 1;
                    oldest_new = older(oldest_new, candidate);
                }
            }
        }
        let max_new_sessions = self.limits.max_sessions as f64 * NEW_SESSIONS_SHARE;
        let oldest = if new_sessions as f64 > max_new_sessions {
            oldest_closing.or(oldest_new).or(oldest_idle)
        } else {
            oldest_closing.or(oldest_idle).or(oldest_new)
        };
        oldest.map(|(_, id)| id)
    }

    /// Reads from a session once more before it is closed, and returns whether no complete packet
    /// has arrived. A packet that has arrived is processed, and the session should stay open for
    /// its response.
    fn is_idle_after_final_read(
        &mut self,
        now: Timestamp,
        id: SessionId,
        counters: &mut Counters,
    ) -> bool {
        let Some(session) = self.sessions.get_mut(&id) else {
            return true;
        };
        session.socket.mark_readable();
        if session.state == SessionState::Closing || self.read(id).is_err() {
            return true;
        }
        let has_packet = self.sessions.get(&id).is_some_and(Session::has_packet);
        if has_packet {
            self.process(now, id, counters);
        }
        !has_packet
    }

    /// Closes sessions whose clients do not read, while the memory of all peers exceeds its limit.
    /// The one that has read nothing for the longest time goes first.
    pub fn shed_output(&mut self, counters: &mut Counters) {
        while self.memory.is_exceeded() {
            let waiting = self
                .sessions
                .iter()
                .filter(|(_, session)| session.socket.unwritten_bytes() > 0)
                .map(|(id, session)| (session.last_activity, *id));
            let Some((_, id)) = waiting.min() else {
                return;
            };
            counters.outputs_shed += 1;
            self.remove(id, &CloseReason::OutputShed, counters);
        }
    }

    /// Starts the graceful close of an idle session: closes the sending direction, then reads until
    /// the client closes too. If the socket were closed at once, data that still arrives would make
    /// the kernel reset the connection and discard responses that the client has not read yet.
    pub(super) fn shut_down(&mut self, now: Timestamp, id: SessionId, counters: &mut Counters) {
        if self.is_idle_after_final_read(now, id, counters)
            && let Some(session) = self.sessions.get_mut(&id)
        {
            session.start_closing(now);
            self.process(now, id, counters);
        }
    }

    /// Shuts all sessions down if none has a pending response or unwritten data. Returns false, and
    /// shuts none down, if any has, or if a packet has just arrived.
    #[must_use]
    pub fn try_shut_down_all(&mut self, now: Timestamp, counters: &mut Counters) -> bool {
        let ids: Vec<SessionId> = self.sessions.keys().copied().collect();
        // Read from all sessions first, so that every command that has arrived is answered before
        // any session is shut down.
        let mut all_idle = true;
        for id in &ids {
            all_idle &= self.is_idle_after_final_read(now, *id, counters);
        }
        if !all_idle || !self.all_answered() || self.has_events() {
            return false;
        }
        for id in ids {
            self.shut_down(now, id, counters);
        }
        true
    }
}
