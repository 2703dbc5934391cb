//! Transport of attempts to engines: connections are opened, shared and closed, attempts are written, responses are
//! read, and what becomes of each attempt is reported.
//!
//! [`EngineTransport`] holds the parts together. Where its calls stand:
//!
//! - here: what an attempt begins with, and what is asked of the whole;
//! - `receiving`: bytes that come from engines;
//! - `ending`: time-outs, cancellation, withdrawal, and the loss of connections.

mod attempt;
mod attempt_timers;
mod connection;
mod ending;
mod paged_result;
mod pool;
pub mod protocol;
mod receiving;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use admission::interface::{AttemptEvent, EngineId, StatementId, TimeDelta, Timestamp};
use settings::ConnectionSettings;
use tracing::debug;

use crate::counters::Counters;
use crate::socket::{EventLoopHandle, EventSource};

pub use attempt::{AttemptUpdate, OutgoingAttempt};
pub use connection::ConnectionId;

use attempt::AttemptId;
use attempt_timers::AttemptTimers;
use pool::{Candidate, ConnectionPool, OpenError};
use protocol::RequestId;

/// Where an attempt is.
#[derive(Clone, Copy, Debug)]
struct AttemptLocation {
    connection: ConnectionId,
    request_id: RequestId,
}

/// All connections of one gateway to its engines, and all attempts on them.
///
/// It never waits: sockets are read and written as events of the loop tell. What becomes of attempts is taken from it by
/// [`take_updates`](Self::take_updates).
pub struct EngineTransport {
    pool: ConnectionPool,
    /// The attempts in flight.
    locations: HashMap<AttemptId, AttemptLocation>,
    timers: AttemptTimers,
    /// Connections with more to read than their part of a turn; the next turn goes on with them.
    unfinished_reads: BTreeSet<ConnectionId>,
    /// Updates that are not taken yet, in their order.
    updates: Vec<AttemptUpdate>,
}

impl EngineTransport {
    /// A transport without engines, of at most `max_connections` at once.
    #[must_use]
    pub fn new(
        event_loop: &EventLoopHandle,
        links: ConnectionSettings,
        max_connections: usize,
    ) -> Self {
        EngineTransport {
            pool: ConnectionPool::new(event_loop, links, max_connections),
            locations: HashMap::new(),
            timers: AttemptTimers::default(),
            unfinished_reads: BTreeSet::new(),
            updates: Vec::new(),
        }
    }

    /// Where discovery lists an engine; none: it lists it no longer. Attempts in flight go on.
    pub fn set_address(&mut self, engine: EngineId, address: Option<SocketAddr>) {
        self.pool.set_address(engine, address);
    }

    /// What all connections are noted as where they become ready.
    pub fn event_sources(&self) -> impl Iterator<Item = EventSource> {
        self.pool.ids().map(EventSource::Engine)
    }

    /// Connections that are open or coming up.
    #[must_use]
    pub fn connection_count(&self) -> usize {
        self.pool.len()
    }

    /// What happened to attempts since the last call, in its order.
    #[must_use]
    pub fn take_updates(&mut self) -> Vec<AttemptUpdate> {
        std::mem::take(&mut self.updates)
    }

    /// Attempts in flight at each engine, by the sockets; engines without any are left out.
    #[must_use]
    pub fn attempts_in_flight(&self) -> BTreeMap<EngineId, u32> {
        let mut by_engine = BTreeMap::new();
        for connection in self.pool.iter() {
            if !connection.attempts.is_empty() {
                *by_engine.entry(connection.engine).or_default() +=
                    connection.attempts.len() as u32;
            }
        }
        by_engine
    }

    /// Where a statement's attempts are and when they time out, for a line in the log.
    #[must_use]
    pub fn describe_attempts(&self, statement: StatementId) -> String {
        let locations: Vec<_> = self
            .locations
            .iter()
            .filter(|(id, _)| id.statement == statement)
            .collect();
        let deadlines: Vec<_> = self.timers.deadlines_of(statement).collect();
        format!("{locations:?} deadlines {deadlines:?}")
    }

    /// When [`expire_timeouts`](Self::expire_timeouts) or [`resume_reads`](Self::resume_reads) is next to be called;
    /// none: there is nothing to be called for.
    #[must_use]
    pub fn next_timeout(&self, now: Timestamp) -> Option<Timestamp> {
        let resume = (!self.unfinished_reads.is_empty()).then_some(now);
        self.pool
            .next_timeout()
            .into_iter()
            .chain(self.timers.next())
            .chain(resume)
            .min()
    }

    /// Sends an attempt. Returns the connection that it uses; none: it could not be sent, and its end is among the updates.
    pub fn send(
        &mut self,
        now: Timestamp,
        outgoing: &OutgoingAttempt,
        counters: &mut Counters,
    ) -> Option<ConnectionId> {
        counters.attempts_sent += 1;
        let id = self.acquire_connection(now, outgoing, counters)?;
        let connection = self.pool.get_mut(id).expect("acquired above");
        connection.enqueue_attempt(now, outgoing);
        let location = AttemptLocation {
            connection: id,
            request_id: outgoing.request_id,
        };
        self.locations.insert(outgoing.id(), location);
        self.timers
            .start(outgoing.id(), outgoing.deadline, outgoing.send_by);
        self.pool.update_timeout(id);
        self.flush(now, id, counters);
        Some(id)
    }

    /// An idle connection, else a new one. Only with descriptors short attempts share a connection: one that brings an
    /// unusable response or is reset costs all attempts on it. None: the attempt was reported as not sent.
    fn acquire_connection(
        &mut self,
        now: Timestamp,
        outgoing: &OutgoingAttempt,
        counters: &mut Counters,
    ) -> Option<ConnectionId> {
        let reusable = self.reusable_connection(now, outgoing, counters);
        if reusable.is_some() {
            return reusable;
        }
        if self.pool.is_full() && !self.close_longest_idle(counters) {
            counters.attempts_never_sent += 1;
            self.report_unsent(outgoing, AttemptEvent::NeverSent);
            return None;
        }
        match self.pool.open(now, outgoing.engine) {
            Ok(id) => {
                counters.engine_connections += 1;
                Some(id)
            }
            Err(error) => {
                debug!(engine = outgoing.engine.0, %error, "no connection could be opened");
                self.report_open_error(outgoing, &error, counters);
                None
            }
        }
    }

    /// An open connection that the attempt is to use; none: it needs a new one.
    fn reusable_connection(
        &mut self,
        now: Timestamp,
        outgoing: &OutgoingAttempt,
        counters: &mut Counters,
    ) -> Option<ConnectionId> {
        loop {
            let id = match self.pool.best_candidate(outgoing)? {
                Candidate::Idle(id) => id,
                Candidate::Busy(id) => return self.pool.is_full().then_some(id),
            };
            // Its engine may have closed it since this turn's events were taken, and nobody could tell whether what is
            // written on it then has run: it is looked at once more.
            self.pool.get_mut(id)?.socket.mark_readable();
            self.read(now, id, counters);
            if self.pool.contains(id) {
                return Some(id);
            }
        }
    }

    /// Closes the connection that has been without attempts for the longest time. False: all have some.
    fn close_longest_idle(&mut self, counters: &mut Counters) -> bool {
        let Some(id) = self.pool.longest_idle() else {
            return false;
        };
        counters.engine_idle_closed += 1;
        self.pool.remove(id);
        true
    }

    fn report_open_error(
        &mut self,
        outgoing: &OutgoingAttempt,
        error: &OpenError,
        counters: &mut Counters,
    ) {
        match error {
            // This machine's shortage must not count against the engine.
            OpenError::ResourcesExhausted(_) => {
                counters.attempts_never_sent += 1;
                self.report_unsent(outgoing, AttemptEvent::NeverSent);
            }
            OpenError::NotListed | OpenError::Failed(_) => {
                counters.attempts_unreachable += 1;
                self.report_unsent(outgoing, AttemptEvent::Unreachable);
            }
        }
    }

    fn report_unsent(&mut self, outgoing: &OutgoingAttempt, event: AttemptEvent) {
        let update = AttemptUpdate::without_pages(outgoing.id(), event, TimeDelta::ZERO);
        self.updates.push(update);
    }
}
