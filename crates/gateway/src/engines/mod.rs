//! Transport of attempts to engines. Opens, shares and closes connections, writes attempts, reads
//! responses, and reports the progress and the end of each attempt.
//!
//! The methods of [`EngineTransport`] are split over three files:
//!
//! - this file: the start of attempts, and queries about the whole transport;
//! - `receiving`: reading from engines;
//! - `ending`: timeouts, cancellation, withdrawal and the loss of connections.

mod attempt;
mod attempt_timers;
mod connection;
mod ending;
mod paged_result;
mod paused_reads;
mod pool;
pub mod protocol;
mod receiving;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use admission::interface::{AttemptEvent, EngineId, StatementId, TimeDelta, Timestamp};
use settings::ConnectionSettings;
use tracing::debug;

use crate::counters::Counters;
use crate::memory_account::{HeldBytes, MemoryAccount};
use crate::socket::{EventLoopHandle, EventSource};
use crate::turn_budget::TurnNumber;

pub use attempt::{AttemptUpdate, OutgoingAttempt};
pub use connection::ConnectionId;

use attempt::AttemptId;
use attempt_timers::AttemptTimers;
use connection::ConnectionError;
use paused_reads::PausedReads;
use pool::{Candidate, ConnectionPool, OpenError};
use protocol::RequestId;

/// The connection that an attempt is on, and its request id there.
#[derive(Clone, Copy, Debug)]
struct AttemptLocation {
    connection: ConnectionId,
    request_id: RequestId,
}

/// All connections of one gateway to its engines, and all attempts on them.
///
/// Calls never block: sockets are read and written when the event loop reports them ready. Updates
/// about attempts are collected by [`take_updates`](Self::take_updates).
pub struct EngineTransport {
    pool: ConnectionPool,
    /// The locations of the attempts in flight.
    locations: HashMap<AttemptId, AttemptLocation>,
    timers: AttemptTimers,
    /// Connections that may have more to read after their last read, to be continued in the next
    /// turn.
    unfinished_reads: BTreeSet<ConnectionId>,
    /// Which connections are not read for lack of memory.
    paused_reads: PausedReads,
    /// The current turn, in which a limited number of responses of each connection is handled.
    turn: TurnNumber,
    /// Updates that have not been collected yet, oldest first.
    updates: Vec<AttemptUpdate>,
    /// The memory of the results in `updates`.
    updates_held: HeldBytes,
}

impl EngineTransport {
    /// Creates a transport without engines that holds at most `max_connections` at the same time.
    #[must_use]
    pub fn new(
        event_loop: &EventLoopHandle,
        connection_settings: ConnectionSettings,
        max_connections: usize,
        memory: &Rc<MemoryAccount>,
    ) -> Self {
        EngineTransport {
            pool: ConnectionPool::new(event_loop, connection_settings, max_connections, memory),
            locations: HashMap::new(),
            timers: AttemptTimers::default(),
            unfinished_reads: BTreeSet::new(),
            paused_reads: PausedReads::new(memory),
            turn: TurnNumber::default(),
            updates: Vec::new(),
            updates_held: HeldBytes::none(memory),
        }
    }

    /// Sets the address at which discovery lists an engine; `None` if it is no longer listed.
    /// Attempts in flight go on.
    pub fn set_address(&mut self, engine: EngineId, address: Option<SocketAddr>) {
        self.pool.set_address(engine, address);
    }

    /// Returns the event source of each connection, by which the event loop reports its readiness.
    pub fn event_sources(&self) -> impl Iterator<Item = EventSource> {
        self.pool.ids().map(EventSource::Engine)
    }

    /// Returns the number of connections that are established or being established.
    #[must_use]
    pub fn connection_count(&self) -> usize {
        self.pool.len()
    }

    /// Takes the updates about attempts since the last call, oldest first.
    #[must_use]
    pub fn take_updates(&mut self) -> Vec<AttemptUpdate> {
        self.updates_held.set(0);
        std::mem::take(&mut self.updates)
    }

    /// Counts the attempts in flight on the connections of each engine. Engines without any are
    /// left out.
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

    /// Describes the locations and deadlines of a statement's attempts for a log line.
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

    /// Returns when [`expire_timeouts`](Self::expire_timeouts) or
    /// [`resume_reads`](Self::resume_reads) is due; `None` if neither has anything to do.
    #[must_use]
    pub fn next_timeout(&self, now: Timestamp) -> Option<Timestamp> {
        let has_work = !self.unfinished_reads.is_empty() || self.paused_reads.is_due();
        let resume = has_work.then_some(now);
        self.pool
            .next_timeout()
            .into_iter()
            .chain(self.timers.next())
            .chain(resume)
            .min()
    }

    /// Begins a turn of the event loop. Responses of every connection may be handled again, up to
    /// its limit for one turn.
    pub fn begin_turn(&mut self) {
        self.turn = self.turn.next();
        self.paused_reads.begin_turn();
    }

    /// Sends an attempt and returns the connection that it uses. Returns `None` if it could not be
    /// sent; its end is then reported.
    pub fn send(
        &mut self,
        now: Timestamp,
        outgoing: &OutgoingAttempt,
        counters: &mut Counters,
    ) -> Option<ConnectionId> {
        counters.attempts_sent += 1;
        let id = self.acquire_connection(now, outgoing, counters)?;
        let connection = self
            .pool
            .get_mut(id)
            .expect("the connection was just acquired");
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

    /// Returns an idle connection or opens a new one. Attempts share a connection only if the limit
    /// on connections is reached, because a reset or an unusable response ends every attempt on a
    /// connection. Returns `None` after it has reported the attempt as not sent.
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
                debug!(
                    engine = outgoing.engine.0,
                    %error,
                    "cannot open a connection to the engine; reporting the attempt as not sent"
                );
                self.report_open_error(outgoing, &error, counters);
                None
            }
        }
    }

    /// Returns an open connection that the attempt can use; `None` if it needs a new one.
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
            // The engine may have closed the connection after this turn's events were polled. An
            // attempt written to it might then have run or not, so the socket is read once more
            // before its use.
            self.pool.get_mut(id)?.socket.mark_readable();
            self.read(now, id, counters);
            let is_paused = self.paused_reads.contains(id);
            if is_paused || self.unfinished_reads.contains(&id) {
                // Behind more input than a turn allows, its end cannot be seen.
                self.fail_connection(now, id, &ConnectionError::UnexpectedResponse, counters);
            }
            if self.pool.contains(id) {
                return Some(id);
            }
        }
    }

    /// Closes the connection that has been without attempts for the longest time. Returns false if
    /// all have attempts.
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
            // A shortage of resources on this machine must not count against the engine.
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

    /// Reports `event` as the end of an attempt that was not enqueued on any connection.
    fn report_unsent(&mut self, outgoing: &OutgoingAttempt, event: AttemptEvent) {
        let update = AttemptUpdate::without_pages(outgoing.id(), event, TimeDelta::ZERO);
        self.updates.push(update);
    }
}
