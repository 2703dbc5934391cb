//! The listening socket, and the clients that wait there to be accepted.

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

/// Connections that may wait to be accepted. The library asks for 128; what finds no place is only tried again a second
/// later.
const BACKLOG: i32 = 1024;

/// Connections accepted in a turn at most: between them the others are read.
const MAX_ACCEPTS_A_TURN: usize = 32;

/// How soon accepting is tried again after the machine was short of something. No event tells of it, and the statements of
/// those that wait have their deadlines.
const RETRY_PAUSE: TimeDelta = TimeDelta::from_micros(10_000);

/// The listening socket, watched by the event loop until it is dropped.
struct Listener {
    socket: Rc<TcpListener>,
    /// None: the event loop could not take it yet.
    registration: Option<RegistrationToken>,
    handle: EventLoopHandle,
}

impl Listener {
    /// Binds an address and listens there. Listening comes last: clients connect from then on, and a failure after it would
    /// reset them.
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

    /// Has the event loop watch it; nothing happens where it does already.
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

/// A connection that was accepted.
struct AcceptedClient {
    stream: Rc<TcpStream>,
    ip: IpAddr,
}

/// Takes the next connection off the backlog. A client whose address the machine does not tell is a client all the same.
fn accept_client(listener: &TcpListener) -> io::Result<AcceptedClient> {
    let accepted = socket_queries::accept(listener)?;
    let unknown = IpAddr::from(Ipv4Addr::UNSPECIFIED);
    Ok(AcceptedClient {
        stream: Rc::new(accepted.stream),
        ip: accepted.peer.map_or(unknown, |peer| peer.ip()),
    })
}

/// Accepts clients, as far as there is room for them.
#[derive(Default)]
pub(super) struct Acceptor {
    /// None: nobody can connect yet, or any more.
    listener: Option<Listener>,
    /// The machine's backlog may hold more than was accepted; no further readiness tells of it.
    has_unaccepted: bool,
    /// Accepted, and not a session yet: the machine was short of something. It may have sent a statement already, so it is
    /// not closed for that.
    pending_client: Option<AcceptedClient>,
    /// There is no room for a further session.
    lacks_room: bool,
    /// The machine was short of something, and is tried again then.
    retry_at: Option<Timestamp>,
    /// A failure was logged, and nothing succeeded since.
    failure_logged: bool,
}

impl Acceptor {
    /// Binds the address, listens, and has the event loop watch for clients. What was done stays done: a further call goes
    /// on from there, and clients that have connected meanwhile are accepted.
    ///
    /// # Errors
    /// The address cannot be bound, or the machine is short of something. It may be tried again.
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
        self.has_unaccepted = true;
        listener.watch()?;
        Ok(())
    }

    /// Accepts nobody any more.
    pub(super) fn close(&mut self) {
        self.listener = None;
    }

    /// The listening socket is ready: somebody may wait there.
    pub(super) fn on_ready(&mut self) {
        self.has_unaccepted = true;
    }

    /// Whether somebody may wait to be accepted.
    pub(super) fn has_backlog(&self) -> bool {
        self.has_unaccepted || self.pending_client.is_some()
    }

    /// When a turn is to accept more, with nothing else to tell of it.
    pub(super) fn next_due(&self, now: Timestamp) -> Option<Timestamp> {
        let is_waiting = self.listener.is_some() && self.has_backlog() && !self.lacks_room;
        is_waiting.then(|| self.retry_at.unwrap_or(now))
    }

    /// Accepts those who wait, as many as a turn may.
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
        for _ in 0..MAX_ACCEPTS_A_TURN {
            self.lacks_room = self.has_backlog() && !sessions.has_room();
            if self.lacks_room {
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

    /// The next client; none: nobody waits, or the machine is short of something.
    fn next_client(&mut self, now: Timestamp, counters: &mut Counters) -> Option<AcceptedClient> {
        if let Some(client) = self.pending_client.take() {
            return Some(client);
        }
        for _ in 0..MAX_ACCEPTS_A_TURN {
            if !self.has_unaccepted {
                return None;
            }
            let error = match accept_client(&self.listener.as_ref()?.socket) {
                Ok(client) => return Some(client),
                Err(error) => error,
            };
            if error.kind() == io::ErrorKind::WouldBlock {
                self.has_unaccepted = false;
            } else if is_pending_connection_error(&error) {
                counters.accepts_failed += 1;
            } else {
                self.retry_later(now, &error, counters);
                return None;
            }
        }
        // All that came were gone, and the next turn looks at the rest.
        self.retry_at = Some(now + RETRY_PAUSE);
        None
    }

    /// The machine is short of something: descriptors, buffers or memory. Those who wait stay where they are.
    fn retry_later(&mut self, now: Timestamp, error: &io::Error, counters: &mut Counters) {
        counters.accepts_failed += 1;
        if !self.failure_logged {
            warn!(%error, "accept");
        }
        self.failure_logged = true;
        self.retry_at = Some(now + RETRY_PAUSE);
    }
}
