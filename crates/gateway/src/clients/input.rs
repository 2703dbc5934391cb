//! A session's turn: reading, whole packets one by one, and writing.

use std::io;

use admission::interface::Timestamp;

use super::Sessions;
use super::events::SessionId;
use super::protocol::packet::{self, Packet};
use super::session::{CloseReason, Session, SessionState};
use crate::counters::Counters;

/// What one session may have read and not processed, so that none slows the others: one packet of the largest.
const MAX_INBOX_BYTES: usize = packet::HEADER_BYTES + packet::MAX_BODY_BYTES;

/// Packets of one session that are processed in a turn.
const MAX_PACKETS_PER_TURN: usize = 16;

/// No usual statement is larger; where memory is short, larger packets go first.
const USUAL_PACKET_BYTES: usize = 8 << 10;

impl Session {
    /// Whether the client has ended its direction.
    fn has_client_ended(&self) -> io::Result<bool> {
        if self.socket.peer_finished {
            return Ok(true);
        }
        // Where there is no room to read up to it, the end has to be asked for.
        let is_full = self.is_pending() && self.socket.read_buffer.len() >= MAX_INBOX_BYTES;
        if is_full {
            return self.socket.peer_hung_up();
        }
        Ok(false)
    }

    /// Whether the next turn goes on with it. What is blocked goes on with its response, or when its client has read.
    fn is_unfinished(&self) -> bool {
        let can_read =
            self.socket.may_have_more() && self.socket.read_buffer.len() < MAX_INBOX_BYTES;
        if self.state == SessionState::Closing {
            return can_read;
        }
        !self.is_blocked() && (can_read || self.has_packet())
    }
}

impl Sessions {
    /// The connection of a session has news: there is something to read, room to write, or its end.
    pub fn on_ready(&mut self, now: Timestamp, id: SessionId, counters: &mut Counters) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.socket.mark_readable();
            self.process(now, id, counters);
        }
    }

    /// Goes on with sessions that had used up their part of the turn before.
    pub fn resume(&mut self, now: Timestamp, counters: &mut Counters) {
        for id in std::mem::take(&mut self.unfinished) {
            self.process(now, id, counters);
        }
    }

    /// Reads a part and processes whole packets, up to the next one that waits for a response; then writes.
    pub(super) fn process(&mut self, now: Timestamp, id: SessionId, counters: &mut Counters) {
        let received = self.read(id).and_then(|()| self.look_for_end(now, id));
        if let Err(error) = received {
            return self.remove(id, &error.into(), counters);
        }
        self.process_packets(now, id, counters);
        self.plan_next_turn(now, id);
        self.write(now, id, counters);
    }

    /// Reads what there is room for.
    pub(super) fn read(&mut self, id: SessionId) -> io::Result<()> {
        let Some(session) = self.sessions.get_mut(&id) else {
            return Ok(());
        };
        let bytes_before = session.socket.read_buffer.len();
        let transfer = session
            .socket
            .flush()
            .and_then(|()| session.socket.read_up_to(MAX_INBOX_BYTES));
        self.unread_bytes += session.socket.read_buffer.len() - bytes_before;
        transfer
    }

    fn look_for_end(&mut self, now: Timestamp, id: SessionId) -> io::Result<()> {
        let Some(session) = self.sessions.get_mut(&id) else {
            return Ok(());
        };
        if session.has_client_ended()? {
            session.note_client_end(now);
            self.disconnected.insert(id);
        }
        Ok(())
    }

    fn process_packets(&mut self, now: Timestamp, id: SessionId, counters: &mut Counters) {
        for _ in 0..MAX_PACKETS_PER_TURN {
            let Some(session) = self.sessions.get_mut(&id) else {
                return;
            };
            if session.is_blocked() {
                return;
            }
            let bytes_before = session.socket.read_buffer.len();
            let packet = packet::take_packet(&mut session.socket.read_buffer);
            let bytes_left = session.socket.read_buffer.len();
            self.unread_bytes -= bytes_before - bytes_left;
            let is_crowded = self.unread_bytes > self.limits.max_unread_bytes;
            match packet {
                Ok(Some(packet)) => self.process_packet(now, id, &packet, counters),
                Ok(None) if is_crowded && bytes_left > USUAL_PACKET_BYTES => {
                    session.reject_packet(now, "too many large packets at once");
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
        session.packet_begun = None;
        match session.state {
            SessionState::AwaitingLogin
            | SessionState::AwaitingTlsLogin
            | SessionState::AwaitingToken => self.process_login(id, &packet.body, counters),
            SessionState::Ready | SessionState::Closing => {
                self.process_command(now, id, &packet.body);
            }
        }
    }

    fn plan_next_turn(&mut self, now: Timestamp, id: SessionId) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        if session.state == SessionState::Closing {
            self.unread_bytes -= session.socket.read_buffer.len();
            session.socket.read_buffer.clear();
        }
        session.update_waiting_times(now);
        if session.is_unfinished() {
            self.unfinished.insert(id);
        }
    }

    /// Writes what the machine takes, and closes a session that has nothing more to say.
    pub(super) fn write(&mut self, now: Timestamp, id: SessionId, counters: &mut Counters) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        if let Err(error) = session.socket.flush() {
            return self.remove(id, &error.into(), counters);
        }
        session.note_written(now);
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
