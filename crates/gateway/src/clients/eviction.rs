//! Which sessions are closed to make room for others, and how sessions are shut down in order.

use admission::interface::Timestamp;

use super::Sessions;
use super::events::SessionId;
use super::session::{CloseReason, EvictionClass, Session, SessionState};
use crate::counters::Counters;

/// Part of the sessions that may be new ones without a command while others are idle.
const NEW_SESSIONS_SHARE: f64 = 0.25;

/// How many sessions are looked at to make room for one: each may turn out to be asking just then.
const MAX_EVICTION_ATTEMPTS: usize = 8;

/// When a session last moved, and which one it is: the least has stood still for longest.
type Oldest = Option<(Timestamp, SessionId)>;

fn older(oldest: Oldest, candidate: (Timestamp, SessionId)) -> Oldest {
    Some(oldest.map_or(candidate, |oldest| oldest.min(candidate)))
}

impl Sessions {
    /// Whether there is room for one more session, if need be in the place of another. With a response owed on all,
    /// connections wait in the machine's backlog, where they cost nothing.
    #[must_use]
    pub fn has_room(&self) -> bool {
        let can_evict = |session: &Session| session.eviction_class().is_some();
        self.sessions.len() < self.limits.max_sessions || self.sessions.values().any(can_evict)
    }

    /// Closes sessions until there is room for one more, or none is left to close.
    pub(super) fn make_room(&mut self, now: Timestamp, counters: &mut Counters) {
        for _ in 0..MAX_EVICTION_ATTEMPTS {
            let has_room = self.sessions.len() < self.limits.max_sessions;
            if has_room || !self.try_evict(now, counters) {
                return;
            }
        }
    }

    /// Closes a session because a descriptor is needed for something else. False: none can be closed.
    pub fn evict_one(&mut self, now: Timestamp, counters: &mut Counters) -> bool {
        let sessions_before = self.sessions.len();
        for _ in 0..MAX_EVICTION_ATTEMPTS {
            let found_one = self.try_evict(now, counters);
            if found_one && self.sessions.len() < sessions_before {
                return true;
            }
        }
        false
    }

    /// Closes the session that can best be spared, or answers it if it asks just then. False: none can be spared.
    fn try_evict(&mut self, now: Timestamp, counters: &mut Counters) -> bool {
        let Some(id) = self.eviction_candidate() else {
            return false;
        };
        if self.is_quiet_at_last_look(now, id, counters) {
            counters.sessions_evicted += 1;
            if let Some(session) = self.sessions.get_mut(&id) {
                session.socket.finish_writing();
            }
            self.remove(id, &CloseReason::Evicted, counters);
        }
        true
    }

    /// The session that can best be spared: one that has had its last response, else one that never sent a command, else
    /// an idle one; of these the one that has stood still for longest.
    ///
    /// This is against clients that keep their connection for good, or connect by the hundred and say nothing. But so
    /// many may always be new that one that has just connected has the time to ask: up to then the longest idle goes.
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

    /// The last look before a session is closed: whether nothing whole has come since it was read. What has is processed,
    /// and the session stays for its response.
    fn is_quiet_at_last_look(
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

    /// Ends a session at rest: this side is shut first, and the client read until it closes too. Were the connection closed
    /// at once, what may still come would have the machine reset it, and throw away what was written before.
    pub(super) fn shut_down(&mut self, now: Timestamp, id: SessionId, counters: &mut Counters) {
        if self.is_quiet_at_last_look(now, id, counters)
            && let Some(session) = self.sessions.get_mut(&id)
        {
            session.start_closing(now);
            self.process(now, id, counters);
        }
    }

    /// Shuts all sessions down, if nothing is owed to any of them. False: something came in this very moment, and none is
    /// shut down.
    #[must_use]
    pub fn try_shut_down_all(&mut self, now: Timestamp, counters: &mut Counters) -> bool {
        let ids: Vec<SessionId> = self.sessions.keys().copied().collect();
        // First a look at all of them, so that what has come is answered before any client is sent away.
        let mut all_quiet = true;
        for id in &ids {
            all_quiet &= self.is_quiet_at_last_look(now, *id, counters);
        }
        if !all_quiet || !self.all_answered() || self.has_events() {
            return false;
        }
        for id in ids {
            self.shut_down(now, id, counters);
        }
        true
    }
}
