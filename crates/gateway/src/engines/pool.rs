//! The pool of connections to all engines: opens and removes connections, selects one for an
//! attempt, and keeps their timeouts.
//!
//! Engines are identified by id and never by address, because a new engine may listen at the
//! address of an earlier one.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use admission::interface::{EngineId, TimeDelta, Timestamp};
use settings::ConnectionSettings;
use thiserror::Error;

use super::attempt::OutgoingAttempt;
use super::connection::{Connection, ConnectionId};
use crate::machine_errors::is_resource_exhaustion;
use crate::memory_account::MemoryAccount;
use crate::socket::{EventLoopHandle, EventSource, Socket};

/// The fraction of the idle timeout in the settings after which the gateway closes an idle
/// connection. The rest is a margin for a slow event loop and network, since the close must reach
/// the engine before the engine closes the connection itself.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;

/// Why no connection could be opened.
#[derive(Debug, Error)]
pub(super) enum OpenError {
    #[error("the discovery service does not list the engine")]
    NotListed,
    /// This machine has no file descriptor or buffer left, which does not count against the engine.
    #[error("no file descriptor or socket buffer is available: {0}")]
    ResourcesExhausted(#[source] io::Error),
    #[error(transparent)]
    Failed(io::Error),
}

/// A connection that an attempt may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Candidate {
    /// The connection is established and has no attempt in flight.
    Idle(ConnectionId),
    /// The connection is not established yet or has other attempts in flight.
    Busy(ConnectionId),
}

/// The connections of one gateway to its engines.
pub(super) struct ConnectionPool {
    event_loop: EventLoopHandle,
    /// The memory of all peers.
    memory: Rc<MemoryAccount>,
    settings: ConnectionSettings,
    /// The maximum number of connections, each of which takes a file descriptor.
    max_connections: usize,
    next_id: u64,
    /// The addresses of the engines that discovery lists.
    addresses: BTreeMap<EngineId, SocketAddr>,
    connections: BTreeMap<ConnectionId, Connection>,
    /// The connections of each engine; an engine without any has no entry.
    by_engine: BTreeMap<EngineId, BTreeSet<ConnectionId>>,
    /// One entry for each connection: the time at which it fails to be established, stalls or is
    /// idle for too long.
    timeouts: BTreeSet<(Timestamp, ConnectionId)>,
}

impl ConnectionPool {
    /// Creates an empty pool of at most `max_connections`.
    pub(super) fn new(
        event_loop: &EventLoopHandle,
        settings: ConnectionSettings,
        max_connections: usize,
        memory: &Rc<MemoryAccount>,
    ) -> Self {
        ConnectionPool {
            event_loop: event_loop.clone(),
            memory: memory.clone(),
            settings,
            max_connections,
            next_id: 0,
            addresses: BTreeMap::new(),
            connections: BTreeMap::new(),
            by_engine: BTreeMap::new(),
            timeouts: BTreeSet::new(),
        }
    }

    /// Sets the address at which an engine is listed; `None` if it is no longer listed.
    pub(super) fn set_address(&mut self, engine: EngineId, address: Option<SocketAddr>) {
        match address {
            Some(address) => {
                self.addresses.insert(engine, address);
            }
            None => {
                self.addresses.remove(&engine);
            }
        }
        // Idle connections to the old address close at once; the others close when their last
        // attempt ends.
        for id in self.connections_of(engine) {
            self.update_timeout(id);
        }
    }

    pub(super) fn len(&self) -> usize {
        self.connections.len()
    }

    pub(super) fn is_full(&self) -> bool {
        self.connections.len() >= self.max_connections
    }

    pub(super) fn contains(&self, id: ConnectionId) -> bool {
        self.connections.contains_key(&id)
    }

    pub(super) fn get(&self, id: ConnectionId) -> Option<&Connection> {
        self.connections.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.connections.get_mut(&id)
    }

    /// Returns the ids of all connections in the order in which they were opened.
    pub(super) fn ids(&self) -> impl Iterator<Item = ConnectionId> {
        self.connections.keys().copied()
    }

    /// Returns all connections in the order in which they were opened.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Connection> {
        self.connections.values()
    }

    /// Returns all connections, mutably, in the order in which they were opened.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Connection> {
        self.connections.values_mut()
    }

    /// Returns the connections of an engine in the order in which they were opened.
    pub(super) fn connections_of(&self, engine: EngineId) -> Vec<ConnectionId> {
        let ids = self.by_engine.get(&engine);
        ids.into_iter().flatten().copied().collect()
    }

    /// Returns the best open connection for an attempt: the one with the fewest attempts in flight
    /// and, among equals, the most recently used, so that the others reach their idle timeout.
    /// Returns `None` if no connection fits.
    pub(super) fn best_candidate(&self, outgoing: &OutgoingAttempt) -> Option<Candidate> {
        let address = self.addresses.get(&outgoing.engine);
        let fits = |id: ConnectionId, connection: &Connection| {
            let has_listed_address = address.is_none_or(|address| *address == connection.address);
            let has_capacity = connection.attempts.len() < self.settings.multiplex;
            let is_new_to_statement = !outgoing.avoid.contains(&id)
                && !connection.attempts.contains_key(&outgoing.request_id);
            has_listed_address && !connection.retired && has_capacity && is_new_to_statement
        };
        let (id, connection) = self
            .by_engine
            .get(&outgoing.engine)
            .into_iter()
            .flatten()
            .map(|id| (*id, &self.connections[id]))
            .filter(|(id, connection)| fits(*id, connection))
            .min_by_key(|(_, connection)| {
                (connection.attempts.len(), Reverse(connection.idle_since))
            })?;
        if connection.is_idle() {
            Some(Candidate::Idle(id))
        } else {
            Some(Candidate::Busy(id))
        }
    }

    /// Begins to establish a new connection to an engine.
    ///
    /// # Errors
    ///
    /// The engine is not listed, or its socket cannot be opened or begin to connect.
    pub(super) fn open(
        &mut self,
        now: Timestamp,
        engine: EngineId,
    ) -> Result<ConnectionId, OpenError> {
        let address = *self.addresses.get(&engine).ok_or(OpenError::NotListed)?;
        let id = ConnectionId(self.next_id);
        let source = EventSource::Engine(id);
        let socket = match Socket::connect(address, &self.event_loop, source) {
            Ok(socket) => socket,
            Err(error) if is_resource_exhaustion(&error) => {
                return Err(OpenError::ResourcesExhausted(error));
            }
            Err(error) => return Err(OpenError::Failed(error)),
        };
        self.next_id += 1;
        let connect_timeout = self.settings.connect_timeout;
        let connection =
            Connection::new(now, engine, address, socket, connect_timeout, &self.memory);
        self.timeouts.insert((connection.timeout, id));
        self.by_engine.entry(engine).or_default().insert(id);
        self.connections.insert(id, connection);
        Ok(id)
    }

    /// Returns the connection that has been without attempts for the longest time; `None` if all
    /// have attempts.
    pub(super) fn longest_idle(&self) -> Option<ConnectionId> {
        self.connections
            .iter()
            .filter(|(_, connection)| connection.attempts.is_empty())
            .min_by_key(|(_, connection)| connection.idle_since)
            .map(|(id, _)| *id)
    }

    /// Removes and returns a connection, which closes when it is dropped.
    pub(super) fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        let connection = self.connections.remove(&id)?;
        self.timeouts.remove(&(connection.timeout, id));
        if let Some(ids) = self.by_engine.get_mut(&connection.engine) {
            ids.remove(&id);
            if ids.is_empty() {
                self.by_engine.remove(&connection.engine);
            }
        }
        Some(connection)
    }

    /// Updates a connection's timeout and its memory, or closes the connection if it takes no more
    /// attempts and is idle. This must be called after each change of a connection.
    pub(super) fn update_timeout(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.update_held();
        let is_listed = self.addresses.get(&connection.engine) == Some(&connection.address);
        let takes_no_attempts = connection.retired || !is_listed;
        if connection.is_idle() && takes_no_attempts {
            self.remove(id);
            return;
        }
        let idle_timeout =
            TimeDelta::from_secs(self.settings.idle_timeout.secs() * IDLE_TIMEOUT_FRACTION);
        let timeout = connection.next_timeout(idle_timeout);
        if timeout != connection.timeout {
            self.timeouts.remove(&(connection.timeout, id));
            self.timeouts.insert((timeout, id));
            connection.timeout = timeout;
        }
    }

    /// Returns when the next connection times out; `None` without connections.
    pub(super) fn next_timeout(&self) -> Option<Timestamp> {
        self.timeouts.first().map(|(at, _)| *at)
    }

    /// Returns the connection with the earliest timeout; `None` if no timeout has passed.
    pub(super) fn first_timed_out(&self, now: Timestamp) -> Option<ConnectionId> {
        let (at, id) = self.timeouts.first()?;
        (*at <= now).then_some(*id)
    }
}
