//! The listening socket, and the clients that wait there to be accepted.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsFd;

use admission::interface::Timestamp;
use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction};
use tracing::warn;

use super::StartError;
use crate::clients::Sessions;
use crate::counters::Counters;
use crate::socket::{EventLoopHandle, EventSource, LoopEvents};

/// Connections that may wait to be accepted. The library asks for 128; what finds no place is only tried again a second
/// later.
const BACKLOG: i32 = 1024;

/// Connections accepted in a turn at most: between them the others are read.
const MAX_ACCEPTS_A_TURN: usize = 32;

/// Accepts clients, as far as there is room for them.
#[derive(Default)]
pub(super) struct Acceptor {
    /// None: nobody can connect yet, or any more.
    listener: Option<TcpListener>,
    /// The backlog may hold more than was accepted; no further readiness tells of it.
    has_backlog: bool,
    /// There is no room for what the backlog holds.
    lacks_room: bool,
    /// Accepting failed, and was logged once.
    failure_logged: bool,
}

impl Acceptor {
    /// Binds the address and listens.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub(super) fn listen(
        &mut self,
        address: SocketAddr,
        handle: &EventLoopHandle,
    ) -> Result<(), StartError> {
        let unable = |error| StartError::Listen(address, error);
        let listener = TcpListener::bind(address).map_err(unable)?;
        rustix::net::listen(&listener, BACKLOG).map_err(|error| unable(error.into()))?;
        listener.set_nonblocking(true).map_err(unable)?;
        let descriptor = listener.as_fd().try_clone_to_owned().map_err(unable)?;
        let source = Generic::new(descriptor, Interest::READ, Mode::Edge);
        let on_ready = |_, _: &mut _, ready: &mut LoopEvents| {
            ready.sources.push(EventSource::Listener);
            Ok(PostAction::Continue)
        };
        handle
            .insert_source(source, on_ready)
            .map_err(|error| error.error)?;
        self.listener = Some(listener);
        Ok(())
    }

    /// Accepts nobody any more.
    pub(super) fn close(&mut self) {
        self.listener = None;
    }

    /// The listening socket is ready: somebody may wait there.
    pub(super) fn on_ready(&mut self) {
        self.has_backlog = true;
    }

    /// Whether somebody may wait to be accepted.
    pub(super) fn has_backlog(&self) -> bool {
        self.has_backlog
    }

    /// Whether the next turn is to accept more, with nothing else to tell of it.
    pub(super) fn is_due(&self) -> bool {
        self.has_backlog && !self.lacks_room
    }

    /// Accepts those who wait, as many as a turn may.
    pub(super) fn accept(
        &mut self,
        now: Timestamp,
        sessions: &mut Sessions,
        counters: &mut Counters,
    ) {
        let Some(listener) = &self.listener else {
            return;
        };
        for _ in 0..MAX_ACCEPTS_A_TURN {
            self.lacks_room = self.has_backlog && !sessions.has_room();
            if !self.has_backlog || self.lacks_room {
                return;
            }
            match listener.accept() {
                Ok((stream, client)) => {
                    self.failure_logged = false;
                    sessions.accept(now, stream, client.ip(), counters);
                }
                Err(error) => match error.kind() {
                    io::ErrorKind::WouldBlock => self.has_backlog = false,
                    io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted => {}
                    _ => {
                        // Out of descriptors: they wait in the backlog, and the next turn tries again.
                        if !self.failure_logged {
                            warn!(%error, "accept");
                        }
                        self.failure_logged = true;
                        self.lacks_room = true;
                        return;
                    }
                },
            }
        }
    }
}
