//! The connections to all engines: which there are, where they lead, and when each times out.
//!
//! An engine is known by its id and never by its address: a new one may listen where another did.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;

use admission::interface::{EngineId, TimeDelta, Timestamp};
use settings::ConnectionSettings;
use thiserror::Error;

use super::attempt::OutgoingAttempt;
use super::connection::{Connection, ConnectionId};
use crate::machine_errors::is_resource_exhaustion;
use crate::socket::{EventLoopHandle, EventSource, Socket};

/// An idle connection is closed after this part of the time in the settings: the close must be on the engine's side
/// before its own one, with a slow event loop and a slow network in between.
const IDLE_TIMEOUT_SHARE: f64 = 0.8;

/// Why no connection could be opened.
#[derive(Debug, Error)]
pub(super) enum OpenError {
    #[error("the engine is not listed")]
    NotListed,
    /// This machine is short of something; the engine has no part in it.
    #[error("out of descriptors or buffers: {0}")]
    ResourcesExhausted(#[source] io::Error),
    #[error(transparent)]
    Failed(io::Error),
}

/// A connection that an attempt may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Candidate {
    /// It is up and nothing is in flight on it.
    Idle(ConnectionId),
    /// It is not up yet, or other attempts are in flight on it.
    Busy(ConnectionId),
}

/// The connections of one gateway to its engines.
pub(super) struct ConnectionPool {
    event_loop: EventLoopHandle,
    links: ConnectionSettings,
    /// Descriptors that connections may take.
    max_connections: usize,
    next_id: u64,
    /// Listed engines.
    addresses: BTreeMap<EngineId, SocketAddr>,
    connections: BTreeMap<ConnectionId, Connection>,
    /// The connections of each engine; an engine without any has no entry.
    by_engine: BTreeMap<EngineId, BTreeSet<ConnectionId>>,
    /// When each connection is not up in time, stalls, or is idle for too long: one entry for each.
    timeouts: BTreeSet<(Timestamp, ConnectionId)>,
}

impl ConnectionPool {
    /// A pool without connections, of at most `max_connections`.
    pub(super) fn new(
        event_loop: &EventLoopHandle,
        links: ConnectionSettings,
        max_connections: usize,
    ) -> Self {
        ConnectionPool {
            event_loop: event_loop.clone(),
            links,
            max_connections,
            next_id: 0,
            addresses: BTreeMap::new(),
            connections: BTreeMap::new(),
            by_engine: BTreeMap::new(),
            timeouts: BTreeSet::new(),
        }
    }

    /// Where an engine is listed; none: it is no longer.
    pub(super) fn set_address(&mut self, engine: EngineId, address: Option<SocketAddr>) {
        match address {
            Some(address) => {
                self.addresses.insert(engine, address);
            }
            None => {
                self.addresses.remove(&engine);
            }
        }
        // Idle ones to where it is no longer close at once, the others with their last attempt.
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

    /// The numbers of all connections, in the order in which they were opened.
    pub(super) fn ids(&self) -> impl Iterator<Item = ConnectionId> {
        self.connections.keys().copied()
    }

    /// All connections, in the order in which they were opened.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Connection> {
        self.connections.values()
    }

    /// As [`iter`](Self::iter), to be changed.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Connection> {
        self.connections.values_mut()
    }

    /// The connections of an engine, in the order in which they were opened.
    pub(super) fn connections_of(&self, engine: EngineId) -> Vec<ConnectionId> {
        let ids = self.by_engine.get(&engine);
        ids.into_iter().flatten().copied().collect()
    }

    /// The best open connection for an attempt: that with the fewest attempts in flight, among these the last used, so
    /// that the others may end.
    pub(super) fn best_candidate(&self, outgoing: &OutgoingAttempt) -> Option<Candidate> {
        let address = self.addresses.get(&outgoing.engine);
        let fits = |id: ConnectionId, connection: &Connection| {
            let leads_there = address.is_none_or(|address| *address == connection.address);
            let has_capacity = connection.attempts.len() < self.links.multiplex;
            let is_fresh_to_statement = !outgoing.avoid.contains(&id)
                && !connection.attempts.contains_key(&outgoing.request_id);
            leads_there && !connection.retired && has_capacity && is_fresh_to_statement
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

    /// Begins a new connection to an engine.
    ///
    /// # Errors
    ///
    /// It is not listed, or the connection cannot be begun.
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
        let connect_timeout = self.links.connect_timeout;
        let connection = Connection::new(now, engine, address, socket, connect_timeout);
        self.timeouts.insert((connection.timeout, id));
        self.by_engine.entry(engine).or_default().insert(id);
        self.connections.insert(id, connection);
        Ok(id)
    }

    /// The connection that has been without attempts for the longest time.
    pub(super) fn longest_idle(&self) -> Option<ConnectionId> {
        self.connections
            .iter()
            .filter(|(_, connection)| connection.attempts.is_empty())
            .min_by_key(|(_, connection)| connection.idle_since)
            .map(|(id, _)| *id)
    }

    /// Takes a connection out; it closes as it is dropped.
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

    /// To be called after each change of a connection: one that is of no further use closes once nothing is in flight
    /// on it, of each other one the timeout is set anew.
    pub(super) fn update_timeout(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let is_listed = self.addresses.get(&connection.engine) == Some(&connection.address);
        let is_useless = connection.retired || !is_listed;
        if connection.is_idle() && is_useless {
            self.remove(id);
            return;
        }
        let idle_timeout =
            TimeDelta::from_secs(self.links.idle_timeout.secs() * IDLE_TIMEOUT_SHARE);
        let timeout = connection.next_timeout(idle_timeout);
        if timeout != connection.timeout {
            self.timeouts.remove(&(connection.timeout, id));
            self.timeouts.insert((timeout, id));
            connection.timeout = timeout;
        }
    }

    /// When the next connection times out.
    pub(super) fn next_timeout(&self) -> Option<Timestamp> {
        self.timeouts.first().map(|(at, _)| *at)
    }

    /// The connection that timed out first.
    pub(super) fn timed_out(&self, now: Timestamp) -> Option<ConnectionId> {
        let (at, id) = self.timeouts.first()?;
        (*at <= now).then_some(*id)
    }
}
