//! The listening socket for clients, and the acceptance of their connections.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use admission::interface::{TimeDelta, Timestamp};
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction, RegistrationToken};
use rustix::net::{AddressFamily, SocketFlags, SocketType, ipproto, socket_with, sockopt};
use tracing::warn;

use super::StartError;
use crate::clients::Sessions;
use crate::counters::Counters;
use crate::machine_errors::is_pending_connection_error;
use crate::socket::{EventLoopHandle, EventSource, LoopEvents};
use crate::socket_queries;

/// Length of the listen backlog. The standard library's 128 is too short: a client whose connection
/// attempt finds the backlog full retries only a second later.
const BACKLOG: i32 = 1024;

/// Connections accepted per turn of the event loop. The limit lets other sockets be served in
/// between.
const MAX_ACCEPTS_PER_TURN: usize = 32;

/// Delay before accepting again after a resource shortage. The kernel reports no event when the
/// shortage ends, and the statements of waiting clients have deadlines.
const RETRY_DELAY: TimeDelta = TimeDelta::from_micros(10_000);

/// The listening socket, watched by the event loop until it is dropped.
struct Listener {
    socket: Rc<TcpListener>,
    /// `None` until the event loop has accepted the registration.
    registration: Option<RegistrationToken>,
    handle: EventLoopHandle,
}

impl Listener {
    /// Binds the address and listens on it. Listening is the last step: clients can connect from
    /// then on, and a failure after it would reset their connections.
    fn bind(address: SocketAddr, handle: &EventLoopHandle) -> io::Result<Self> {
        let family = if address.is_ipv4() {
            AddressFamily::INET
        } else {
            AddressFamily::INET6
        };
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let socket = socket_with(family, SocketType::STREAM, flags, Some(ipproto::TCP))?;
        sockopt::set_socket_reuseaddr(&socket, true)?;
        rustix::net::bind(&socket, &address)?;
        rustix::net::listen(&socket, BACKLOG)?;
        Ok(Listener {
            socket: Rc::new(TcpListener::from(socket)),
            registration: None,
            handle: handle.clone(),
        })
    }

    /// Registers the socket with the event loop, unless it is registered already.
    fn watch(&mut self) -> calloop::Result<()> {
        if self.registration.is_some() {
            return Ok(());
        }
        let source = Generic::new(self.socket.clone(), Interest::READ, Mode::Edge);
        let on_ready = |_, _: &mut _, ready: &mut LoopEvents| {
            ready.sources.push(EventSource::Listener);
            Ok(PostAction::Continue)
        };
        let registration = self
            .handle
            .insert_source(source, on_ready)
            .map_err(|failure| failure.error)?;
        self.registration = Some(registration);
        Ok(())
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        if let Some(registration) = self.registration.take() {
            self.handle.remove(registration);
        }
    }
}

/// An accepted connection.
struct AcceptedClient {
    stream: Rc<TcpStream>,
    ip: IpAddr,
}

/// Accepts the next connection in the backlog. A client whose address the kernel does not report is
/// accepted with the unspecified address.
fn accept_client(listener: &TcpListener) -> io::Result<AcceptedClient> {
    let accepted = socket_queries::accept(listener)?;
    let unknown = IpAddr::from(Ipv4Addr::UNSPECIFIED);
    Ok(AcceptedClient {
        stream: Rc::new(accepted.stream),
        ip: accepted.peer.map_or(unknown, |peer| peer.ip()),
    })
}

/// Accepts clients while there is room for further sessions.
#[derive(Default)]
pub(super) struct Acceptor {
    /// `None` before the gateway listens and after it has stopped.
    listener: Option<Listener>,
    /// The kernel's backlog may hold connections that were not accepted yet. The socket is
    /// edge-triggered, so no further event reports them.
    may_have_unaccepted: bool,
    /// A connection that was accepted but has no session yet, because of a resource shortage. It is
    /// kept for a retry, since the client may have sent a statement already.
    pending_client: Option<AcceptedClient>,
    /// There is no room for a further session, so accepting waits until one closes.
    at_capacity: bool,
    /// When to try again after a resource shortage.
    retry_at: Option<Timestamp>,
    /// A failure was logged and no client was accepted since.
    failure_logged: bool,
}

impl Acceptor {
    /// Binds the address, listens and registers with the event loop. Completed steps are kept: a
    /// further call continues after them, and clients that have connected in the meantime are
    /// accepted.
    ///
    /// # Errors
    /// The address cannot be bound, or a resource is short. The call may be repeated.
    pub(super) fn listen(
        &mut self,
        address: SocketAddr,
        handle: &EventLoopHandle,
    ) -> Result<(), StartError> {
        let listener = match &mut self.listener {
            Some(listener) => listener,
            None => {
                let bound = Listener::bind(address, handle)
                    .map_err(|error| StartError::Listen(address, error))?;
                self.listener.insert(bound)
            }
        };
        self.may_have_unaccepted = true;
        listener.watch()?;
        Ok(())
    }

    /// Stops accepting clients.
    pub(super) fn close(&mut self) {
        self.listener = None;
    }

    /// Handles a readiness event of the listening socket.
    pub(super) fn on_ready(&mut self) {
        self.may_have_unaccepted = true;
    }

    /// Whether connections may be waiting to be accepted.
    pub(super) fn has_backlog(&self) -> bool {
        self.may_have_unaccepted || self.pending_client.is_some()
    }

    /// When the next turn has to accept connections without a readiness event, or `None`.
    pub(super) fn next_due(&self, now: Timestamp) -> Option<Timestamp> {
        let is_waiting = self.listener.is_some() && self.has_backlog() && !self.at_capacity;
        is_waiting.then(|| self.retry_at.unwrap_or(now))
    }

    /// Accepts waiting connections, up to the limit per turn.
    pub(super) fn accept(
        &mut self,
        now: Timestamp,
        sessions: &mut Sessions,
        counters: &mut Counters,
    ) {
        if self.retry_at.is_some_and(|retry_at| now < retry_at) {
            return;
        }
        self.retry_at = None;
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            self.at_capacity = self.has_backlog() && !sessions.has_room();
            if self.at_capacity {
                return;
            }
            let Some(client) = self.next_client(now, counters) else {
                return;
            };
            let accepted = sessions.accept(now, client.stream.clone(), client.ip, counters);
            if let Err(error) = accepted {
                self.pending_client = Some(client);
                return self.retry_later(now, &error, counters);
            }
            self.failure_logged = false;
        }
    }

    /// Returns the next client, or `None` when no connection waits or a resource is short.
    fn next_client(&mut self, now: Timestamp, counters: &mut Counters) -> Option<AcceptedClient> {
        if let Some(client) = self.pending_client.take() {
            return Some(client);
        }
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            if !self.may_have_unaccepted {
                return None;
            }
            let error = match accept_client(&self.listener.as_ref()?.socket) {
                Ok(client) => return Some(client),
                Err(error) => error,
            };
            if error.kind() == io::ErrorKind::WouldBlock {
                self.may_have_unaccepted = false;
            } else if is_pending_connection_error(&error) {
                counters.accepts_failed += 1;
            } else {
                self.retry_later(now, &error, counters);
                return None;
            }
        }
        // All connections of this batch had failed before they were accepted. A later turn
        // continues.
        self.retry_at = Some(now + RETRY_DELAY);
        None
    }

    /// Schedules a retry after a shortage of descriptors, buffers or memory. Waiting connections
    /// stay in the backlog.
    fn retry_later(&mut self, now: Timestamp, error: &io::Error, counters: &mut Counters) {
        counters.accepts_failed += 1;
        if !self.failure_logged {
            warn!(%error, "cannot accept client connections; retrying");
        }
        self.failure_logged = true;
        self.retry_at = Some(now + RETRY_DELAY);
    }
}
