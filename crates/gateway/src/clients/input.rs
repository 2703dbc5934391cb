//! A session's turn: reads from the socket, processes complete packets one by one, and writes.

use std::io;

use admission::interface::Timestamp;

use super::Sessions;
use super::events::SessionId;
use super::protocol::packet::{self, Packet};
use super::session::{CloseReason, Session, SessionState};
use crate::counters::Counters;

impl Session {
    /// Whether the client has closed its sending direction.
    ///
    /// # Errors
    /// Fails if the connection was reset.
    fn has_client_ended(&self) -> io::Result<bool> {
        if self.socket.peer_finished {
            return Ok(true);
        }
        // Where reading has not reached the end of what was received, poll the socket for the end
        // of the stream. What a closing session is sent is read to its end in further turns.
        let is_closing = self.state == SessionState::Closing;
        let is_read_to_end = !self.socket.may_have_more() || is_closing;
        if !is_read_to_end || !self.can_read() {
            return self.socket.peer_hung_up();
        }
        Ok(false)
    }

    /// Whether the next turn should continue with this session. A blocked session is not continued
    /// then, but when its response is given or its client has read enough.
    fn has_more_work(&self) -> bool {
        let can_read = self.socket.may_have_more() && self.can_read();
        if self.state == SessionState::Closing {
            return can_read;
        }
        !self.is_blocked() && (can_read || self.has_packet())
    }
}

impl Sessions {
    /// Handles an event of a session's socket: it is readable, writable or closed by the client.
    pub fn on_ready(&mut self, now: Timestamp, id: SessionId, counters: &mut Counters) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.socket.mark_readable();
            self.process(now, id, counters);
        }
    }

    /// Continues with the sessions that had more input than the previous turn allowed, and with
    /// those whose large packets there is room for now.
    pub fn resume(&mut self, now: Timestamp, counters: &mut Counters) {
        for id in std::mem::take(&mut self.unfinished) {
            self.process(now, id, counters);
        }
        while let Some(id) = self.first_with_room() {
            self.process(now, id, counters);
            if self.awaiting_memory.first() == Some(&id) {
                return;
            }
        }
    }

    /// The first of the sessions that wait for memory, if there is enough for it now.
    pub(super) fn first_with_room(&self) -> Option<SessionId> {
        let id = *self.awaiting_memory.first()?;
        let session = self.sessions.get(&id)?;
        session.has_room_for_packet().then_some(id)
    }

    /// Reads from the socket, processes complete packets until a response is pending or the session
    /// has reached its limit for the turn, and then writes. Removes the session if the connection
    /// fails.
    pub(super) fn process(&mut self, now: Timestamp, id: SessionId, counters: &mut Counters) {
        if self.must_wait_for_handshake(id) {
            self.unfinished.insert(id);
            return;
        }
        let received = self.read(id).and_then(|()| self.detect_client_end(now, id));
        if let Err(error) = received {
            return self.remove(id, &error.into(), counters);
        }
        self.process_packets(now, id, counters);
        self.schedule_next_turn(now, id);
        self.write(now, id, counters);
    }

    /// Whether a session is within its TLS handshake and may not be read in this turn, because
    /// enough others were.
    fn must_wait_for_handshake(&mut self, id: SessionId) -> bool {
        let is_handshaking = self
            .sessions
            .get(&id)
            .is_some_and(|session| session.socket.is_handshaking());
        if !is_handshaking {
            return false;
        }
        if self.handshake_budget.is_used_up(self.turn) {
            return true;
        }
        self.handshake_budget.record(self.turn);
        false
    }

    /// Whether a packet of a session may be processed now, within the limits for the turn.
    fn may_process_packet(&self, id: SessionId) -> bool {
        let Some(session) = self.sessions.get(&id) else {
            return false;
        };
        if session.is_blocked() || session.packet_budget.is_used_up(self.turn) {
            return false;
        }
        let begins_handshake = self.tls.is_some() && session.state == SessionState::AwaitingLogin;
        if begins_handshake && self.handshake_budget.is_used_up(self.turn) {
            return false;
        }
        // Every session gets one packet in a turn, however many there are.
        let is_first = !session.packet_budget.is_begun(self.turn);
        is_first || !self.packet_budget.is_used_up(self.turn)
    }

    /// Flushes pending output and reads as much as the session may hold. A large packet is read
    /// once there is room for all of it; until then the session waits.
    ///
    /// # Errors
    /// Fails if the connection failed or its TLS is invalid.
    pub(super) fn read(&mut self, id: SessionId) -> io::Result<()> {
        let Some(session) = self.sessions.get_mut(&id) else {
            return Ok(());
        };
        session.socket.flush()?;
        session.read(self.turn)?;
        if session.lacks_room && !session.is_pending() {
            self.awaiting_memory.insert(id);
        } else {
            self.awaiting_memory.remove(&id);
        }
        Ok(())
    }

    fn detect_client_end(&mut self, now: Timestamp, id: SessionId) -> io::Result<()> {
        let Some(session) = self.sessions.get_mut(&id) else {
            return Ok(());
        };
        if session.has_client_ended()? {
            session.record_client_end(now);
            self.disconnected.insert(id);
        }
        Ok(())
    }

    fn process_packets(&mut self, now: Timestamp, id: SessionId, counters: &mut Counters) {
        while self.may_process_packet(id) {
            let Some(session) = self.sessions.get_mut(&id) else {
                return;
            };
            match packet::take_packet(&mut session.socket.read_buffer) {
                Ok(Some(packet)) => {
                    session.release_reservation();
                    session.packet_budget.record(self.turn);
                    self.packet_budget.record(self.turn);
                    self.process_packet(now, id, &packet, counters);
                }
                Ok(None) => return,
                Err(too_large) => session.reject_packet(now, &too_large.to_string()),
            }
        }
    }

    fn process_packet(
        &mut self,
        now: Timestamp,
        id: SessionId,
        packet: &Packet,
        counters: &mut Counters,
    ) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        session.sequence = packet.sequence;
        session.last_activity = now;
        session.partial_packet_since = None;
        match session.state {
            SessionState::AwaitingLogin
            | SessionState::AwaitingTlsLogin
            | SessionState::AwaitingToken => self.process_login(id, &packet.body, counters),
            SessionState::Ready | SessionState::Closing => {
                self.process_command(now, id, &packet.body);
            }
        }
        if let Some(session) = self
            .sessions
            .get_mut(&id)
            .filter(|session| session.is_pending())
        {
            session.pending_request_bytes = packet.body.len();
        }
    }

    fn schedule_next_turn(&mut self, now: Timestamp, id: SessionId) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        if session.state == SessionState::Closing {
            session.socket.read_buffer.clear();
            session.release_reservation();
            self.awaiting_memory.remove(&id);
        }
        session.socket.shrink_read_buffer();
        session.update_waiting_times(now);
        if session.has_more_work() {
            self.unfinished.insert(id);
        }
    }

    /// Writes what the socket accepts. Once every response is written, removes a session whose
    /// client has closed, and closes the sending direction of a session that is closing.
    pub(super) fn write(&mut self, now: Timestamp, id: SessionId, counters: &mut Counters) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        if let Err(error) = session.socket.flush() {
            return self.remove(id, &error.into(), counters);
        }
        session.record_write_progress(now);
        session.update_held();
        if !session.is_answered() {
            return;
        }
        if session.socket.peer_finished {
            return self.remove(id, &CloseReason::ClosedByClient, counters);
        }
        if session.state == SessionState::Closing {
            session.socket.finish_writing();
        }
    }
}
