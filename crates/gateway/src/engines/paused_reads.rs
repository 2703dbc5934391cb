//! The connections that are not read because the memory of all peers is short.

use std::collections::BTreeSet;
use std::rc::Rc;

use super::connection::ConnectionId;
use super::protocol::MAX_RESPONSE_BYTES;
use crate::memory_account::{MemoryAccount, Purpose};

/// The connections that wait for memory, and the one that is read without.
///
/// Responses that have begun on many connections may take all memory so that none can be completed.
/// One connection at a time is therefore read beyond the limit, until its response is complete or
/// its engine stalls.
pub(super) struct PausedReads {
    memory: Rc<MemoryAccount>,
    waiting: BTreeSet<ConnectionId>,
    /// The connection that is read without regard to the memory.
    exempt: Option<ConnectionId>,
    /// The exemption ends with this turn, so that a turn collects one response beyond the limit.
    is_exemption_over: bool,
}

impl PausedReads {
    pub(super) fn new(memory: &Rc<MemoryAccount>) -> Self {
        PausedReads {
            memory: memory.clone(),
            waiting: BTreeSet::new(),
            exempt: None,
            is_exemption_over: false,
        }
    }

    pub(super) fn contains(&self, id: ConnectionId) -> bool {
        self.waiting.contains(&id)
    }

    /// Begins a turn of the event loop, in which another connection may be exempted.
    pub(super) fn begin_turn(&mut self) {
        if std::mem::take(&mut self.is_exemption_over) {
            self.exempt = None;
        }
    }

    /// Returns the first of the waiting connections if it may be read in this turn.
    pub(super) fn next(&self) -> Option<ConnectionId> {
        let may_read = self.has_memory() || self.exempt.is_none();
        self.waiting.first().copied().filter(|_| may_read)
    }

    /// Whether a waiting connection may be read in this turn or the next one.
    pub(super) fn is_due(&self) -> bool {
        let may_exempt = self.exempt.is_none() || self.is_exemption_over;
        !self.waiting.is_empty() && (may_exempt || self.has_memory())
    }

    fn has_memory(&self) -> bool {
        self.memory.available(Purpose::EngineResponse) >= MAX_RESPONSE_BYTES
    }

    /// Whether a connection is read without regard to the memory.
    pub(super) fn is_exempt(&self, id: ConnectionId) -> bool {
        self.exempt == Some(id) && !self.is_exemption_over
    }

    /// Makes a connection that lacks memory wait, or exempts it if none is. Returns whether it may
    /// be read.
    pub(super) fn exempt_or_pause(&mut self, id: ConnectionId) -> bool {
        self.exempt.get_or_insert(id);
        if self.is_exempt(id) {
            return true;
        }
        self.waiting.insert(id);
        false
    }

    /// Ends the wait of a connection that was read or is gone.
    pub(super) fn end_wait(&mut self, id: ConnectionId) {
        self.waiting.remove(&id);
    }

    /// Ends the exemption of a connection whose response is complete or that is gone.
    pub(super) fn end_exemption(&mut self, id: ConnectionId) {
        self.is_exemption_over |= self.exempt == Some(id);
    }
}
