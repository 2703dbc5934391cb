//! How much of its input a session may hold: a little at any time, and a large packet once there is
//! room for all of it on the memory account.

use std::io;

use super::protocol::packet;
use super::session::{Session, SessionState};
use crate::memory_account::Purpose;
use crate::turn_budget::TurnNumber;

/// How much unread input every session may hold, however little memory is available. It is enough
/// for many commands that are sent at once.
const READ_AHEAD_BYTES: usize = 4 << 10;

/// The size that ordinary statements stay below. Room for a packet of this size is always there.
const MAX_TYPICAL_PACKET_BYTES: usize = 8 << 10;

/// How much input of a session that is closing is read, and discarded, in a turn.
const MAX_DISCARDED_BYTES: usize = 64 << 10;

impl Session {
    /// How many unread bytes the session may hold now.
    pub(super) fn read_limit(&self) -> usize {
        if self.state == SessionState::Closing {
            // What is read is discarded at once.
            return MAX_DISCARDED_BYTES;
        }
        self.reserved_bytes.max(READ_AHEAD_BYTES)
    }

    /// Whether there is room for more input, within the limit of the session.
    pub(super) fn can_read(&self) -> bool {
        !self.lacks_room && self.socket.buffered_input_bytes() < self.read_limit()
    }

    /// Reads what there is room for. A large packet is read once there is room for all of it. With
    /// TLS, a limited part is read in a turn.
    ///
    /// # Errors
    /// Fails if the connection failed or its TLS is invalid.
    pub(super) fn read(&mut self, turn: TurnNumber) -> io::Result<()> {
        self.reserve_packet();
        while self.socket.may_have_more() && self.can_read() {
            if self.socket.is_tls() {
                if self.tls_read_budget.is_used_up(turn) {
                    return Ok(());
                }
                self.tls_read_budget.record(turn);
            }
            self.socket.read_up_to(self.read_limit())?;
            self.update_held();
            self.reserve_packet();
        }
        Ok(())
    }

    /// Reserves room for the packet, or for the TLS record, that has begun to arrive. If there is
    /// none, [`Self::lacks_room`] is set and the session must not be read.
    pub(super) fn reserve_packet(&mut self) {
        self.lacks_room = !self.has_room_for_packet();
        let needed = self.incomplete_input_bytes();
        if self.lacks_room || needed <= self.read_limit() {
            return;
        }
        self.reserved_bytes = needed;
        self.partial_packet_since = None;
        self.update_held();
    }

    /// Whether the packet that has begun to arrive may be read. A large one waits until enough
    /// memory is available, and until the statement before it is answered.
    pub(super) fn has_room_for_packet(&self) -> bool {
        let needed = self.incomplete_input_bytes();
        if needed <= MAX_TYPICAL_PACKET_BYTES || needed <= self.read_limit() {
            return true;
        }
        let additional = needed - self.socket.buffered_input_bytes();
        let available = self.held_input.account().available(Purpose::ClientInput);
        !self.is_pending() && additional <= available
    }

    /// The size of the unread input once the packet and the TLS record that have begun to arrive
    /// are complete. Zero if none has begun, or if the packet is too large to be accepted.
    fn incomplete_input_bytes(&self) -> usize {
        if self.state == SessionState::Closing {
            return 0;
        }
        let record = self.socket.incomplete_tls_record();
        let with_record = record.map_or(0, |record| self.socket.read_buffer.len() + record);
        let has_packet = self.has_packet();
        let packet = packet::announced_bytes(&self.socket.read_buffer).filter(|_| !has_packet);
        packet.unwrap_or(0).max(with_record)
    }

    /// Gives up the room for a packet that was taken from the read buffer, or is not to be read.
    pub(super) fn release_reservation(&mut self) {
        self.reserved_bytes = 0;
        self.lacks_room = false;
    }

    /// Updates what this session has on the memory account. It is to be called after each change of
    /// its buffers.
    pub(super) fn update_held(&mut self) {
        let reserved = self
            .reserved_bytes
            .saturating_sub(self.socket.buffered_input_bytes());
        let input = self.socket.held_input_bytes() + reserved;
        self.held_input.set(input + self.pending_request_bytes);
        self.held_output.set(self.socket.held_output_bytes());
    }
}
