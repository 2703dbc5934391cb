//! One non-blocking socket with its buffers, and what the event loop tells of sockets.
//!
//! A socket is registered once, edge-triggered, for both directions. Whoever gets its event reads until nothing is left,
//! and writes whenever something is to be written.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::ops::Range;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::engines::ConnectionId;
use crate::keywatch::{AuthMaterial, WatchError};
use crate::machine_errors::is_transfer_shortage;
use crate::socket_queries;
use admission::interface::{TimeDelta, Timestamp};
use bytes::{Buf, BufMut, BytesMut};
use calloop::generic::Generic;
use calloop::timer::{TimeoutAction, Timer};
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use rustix::net::{AddressFamily, SocketFlags, SocketType, connect, ipproto, socket_with};
use rustls::{ServerConfig, ServerConnection};

/// What a readiness event is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EventSource {
    /// The listener for clients.
    Listener,
    /// The session of this number.
    Client(u32),
    /// A connection to an engine.
    Engine(ConnectionId),
    /// The poll of the discovery service of this number.
    Discovery(u64),
    /// The datagram socket to other gateways.
    PeerGateways,
}

/// What one wait of the event loop brought. Event sources only note it here; it is processed in order afterwards.
#[derive(Default)]
pub struct LoopEvents {
    /// Sources that are ready, in the order in which they became so; one may stand here twice.
    pub sources: Vec<EventSource>,
    /// Signals came, and are to be read.
    pub has_signals: bool,
    /// The timer has fired, and is removed.
    pub timer_fired: bool,
    /// Key files that changed, or why they cannot be used.
    pub key_changes: Vec<Result<AuthMaterial, WatchError>>,
}

/// A handle of the event loop, by which sources are registered.
pub type EventLoopHandle = LoopHandle<'static, LoopEvents>;

/// The most that is read from the machine at a time, and the largest write buffer that an idle socket keeps, in bytes.
const CHUNK_BYTES: usize = 16 << 10;

/// How soon a transfer is tried again for which the machine had no buffers: no event tells when it has some.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(5);

/// A connection to a client, an engine or the discovery service; it closes as it is dropped.
pub struct Socket {
    stream: Rc<TcpStream>,
    /// Whose events it makes.
    source: EventSource,
    /// None once it is dropped.
    registration: Option<RegistrationToken>,
    event_loop: EventLoopHandle,
    /// What the peer sent and nobody has processed yet. Its bound is its user's, by [`read_up_to`](Self::read_up_to).
    pub read_buffer: BytesMut,
    write_buffer: BytesMut,
    /// Bytes that the machine has taken so far, of all that were ever enqueued. Within TLS these are bytes of its records.
    pub bytes_written: u64,
    /// Bytes that were ever enqueued, less those that were retracted.
    pub bytes_enqueued: u64,
    /// The peer has finished its direction.
    pub peer_finished: bool,
    /// This side has finished its own.
    write_finished: bool,
    /// The machine may hold bytes that no further event will tell of.
    may_be_readable: bool,
    /// A transfer found no buffers, and an event that makes it be tried again is on its way.
    retry_scheduled: bool,
    /// From the start of its handshake on, all that is read and written goes through it.
    tls: Option<Box<ServerConnection>>,
}

impl Socket {
    /// A socket of a stream that is up, or coming up. Its events are noted as those of `source`.
    ///
    /// # Errors
    ///
    /// The stream cannot be set up, or the event loop cannot take it. Whoever holds on to the stream may try again.
    pub fn new(
        stream: Rc<TcpStream>,
        event_loop: &EventLoopHandle,
        source: EventSource,
    ) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        // Responses and attempts are small and written at once: waiting to fill a segment would only delay them.
        stream.set_nodelay(true)?;
        let readiness = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let registration = event_loop
            .insert_source(readiness, move |_, _, events: &mut LoopEvents| {
                events.sources.push(source);
                Ok(PostAction::Continue)
            })
            .map_err(|error| io::Error::other(error.error))?;
        Ok(Socket {
            stream,
            source,
            registration: Some(registration),
            event_loop: event_loop.clone(),
            read_buffer: BytesMut::new(),
            write_buffer: BytesMut::new(),
            bytes_written: 0,
            bytes_enqueued: 0,
            peer_finished: false,
            write_finished: false,
            may_be_readable: true,
            retry_scheduled: false,
            tls: None,
        })
    }

    /// Starts to connect; [`is_connected`](Self::is_connected) tells how it went.
    ///
    /// # Errors
    ///
    /// The connection cannot be started.
    pub fn connect(
        address: SocketAddr,
        event_loop: &EventLoopHandle,
        source: EventSource,
    ) -> io::Result<Self> {
        let family = if address.is_ipv4() {
            AddressFamily::INET
        } else {
            AddressFamily::INET6
        };
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let fd: OwnedFd = socket_with(family, SocketType::STREAM, flags, Some(ipproto::TCP))?;
        match connect(&fd, &address) {
            // Interrupted, it goes on as one that does not wait.
            Ok(()) | Err(Errno::INPROGRESS | Errno::INTR) => {
                Self::new(Rc::new(TcpStream::from(fd)), event_loop, source)
            }
            Err(error) => Err(error.into()),
        }
    }

    /// Whether the connection is up; false while it is coming up.
    ///
    /// # Errors
    ///
    /// It failed.
    pub fn is_connected(&self) -> io::Result<bool> {
        socket_queries::take_connection_error(&self.stream)?;
        socket_queries::has_peer(&self.stream)
    }

    /// There may be something to read, or the peer's end: an event of the socket told so.
    pub fn mark_readable(&mut self) {
        self.may_be_readable = true;
        self.retry_scheduled = false;
    }

    /// The machine has no buffers for a transfer: makes an event a little later, since the machine will make none.
    fn schedule_retry(&mut self) {
        if self.retry_scheduled {
            return;
        }
        let source = self.source;
        let on_due = move |_, _: &mut (), events: &mut LoopEvents| {
            events.sources.push(source);
            TimeoutAction::Drop
        };
        let timer = Timer::from_duration(SHORTAGE_PAUSE);
        // A timer of the event loop makes no system call: this fails only where the loop has ended.
        self.retry_scheduled = self.event_loop.insert_source(timer, on_due).is_ok();
    }

    /// Starts TLS, as its server. All from here on is TLS, what has come already too: bytes that were sent before the
    /// handshake must not count as a command.
    ///
    /// # Errors
    ///
    /// The configuration cannot be used, or what has come is no TLS.
    pub fn start_tls(&mut self, config: Arc<ServerConfig>) -> io::Result<()> {
        let mut tls = ServerConnection::new(config).map_err(io::Error::other)?;
        // What may wait to be written is bounded by whoever enqueues it.
        tls.set_buffer_limit(None);
        self.tls = Some(Box::new(tls));
        let received = self.read_buffer.split();
        self.take_received(&received)
    }

    /// Whether TLS was started.
    #[must_use]
    pub fn is_tls(&self) -> bool {
        self.tls.is_some()
    }

    /// Takes what the peer sent into the read buffer, within TLS its plain text. A record that cannot be used is an error,
    /// which ends the connection.
    fn take_received(&mut self, mut received: &[u8]) -> io::Result<()> {
        let Some(tls) = &mut self.tls else {
            self.read_buffer.extend_from_slice(received);
            return Ok(());
        };
        while !received.is_empty() {
            tls.read_tls(&mut received)?;
            let state = match tls.process_new_packets() {
                Ok(state) => state,
                Err(error) => {
                    // Its alert goes out first, or the client would only see a reset.
                    let mut alert = Vec::new();
                    let _ = tls.write_tls(&mut alert);
                    let _ = (&*self.stream).write(&alert);
                    return Err(io::Error::new(ErrorKind::InvalidData, error));
                }
            };
            let plain_text_start = self.read_buffer.len();
            let plain_text_end = plain_text_start + state.plaintext_bytes_to_read();
            self.read_buffer.resize(plain_text_end, 0);
            tls.reader()
                .read_exact(&mut self.read_buffer[plain_text_start..])?;
            self.peer_finished |= state.peer_has_closed();
        }
        Ok(())
    }

    /// Reads what is there, until the read buffer holds `limit` bytes or somewhat more: a peer that sends without end gets
    /// no more of a turn. The buffer has the size of what waits in it, and not of what could.
    ///
    /// # Errors
    ///
    /// The connection failed, or brought what is no TLS.
    pub fn read_up_to(&mut self, limit: usize) -> io::Result<()> {
        let mut chunk = [0; CHUNK_BYTES];
        while self.may_have_more() && self.read_buffer.len() < limit {
            match (&*self.stream).read(&mut chunk) {
                Ok(0) => self.peer_finished = true,
                Ok(length) => self.take_received(&chunk[..length])?,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => self.may_be_readable = false,
                Err(error) if is_transfer_shortage(&error) => {
                    self.may_be_readable = false;
                    self.schedule_retry();
                }
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Whether there may be more to read than the last [`read_up_to`](Self::read_up_to) had room for.
    #[must_use]
    pub fn may_have_more(&self) -> bool {
        self.may_be_readable && !self.peer_finished
    }

    /// Whether the peer has finished behind bytes for which there is no room. To be asked where
    /// [`read_up_to`](Self::read_up_to) may not read on: an end that is found only by reading would stay unseen for as
    /// long as the bytes before it wait.
    ///
    /// # Errors
    ///
    /// The connection was reset.
    pub fn peer_hung_up(&self) -> io::Result<bool> {
        let mut watched = [PollFd::new(&*self.stream, PollFlags::RDHUP)];
        let no_wait = Timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        // A machine that cannot tell has not told of an end.
        if poll(&mut watched, Some(&no_wait)).is_err() {
            return Ok(false);
        }
        let events = watched[0].revents();
        if events.intersects(PollFlags::ERR | PollFlags::HUP) {
            return Err(ErrorKind::ConnectionReset.into());
        }
        Ok(events.contains(PollFlags::RDHUP))
    }

    /// When the peer's last segment came to this machine, whether or not it was read since: its end, if it has finished. A
    /// segment that only acknowledges counts too. `now` where the machine cannot tell.
    #[must_use]
    pub fn last_received(&self, now: Timestamp) -> Timestamp {
        let silent = socket_queries::time_since_last_receive(&self.stream).unwrap_or_default();
        now + TimeDelta::from_secs(-silent.as_secs_f64())
    }

    /// Puts bytes behind those that are to be written; [`flush`](Self::flush) writes them.
    pub fn enqueue(&mut self, bytes: &[u8]) {
        self.bytes_enqueued += bytes.len() as u64;
        match &mut self.tls {
            // Into its buffer, which has no limit: this cannot fail.
            Some(tls) => drop(tls.writer().write_all(bytes)),
            None => self.write_buffer.extend_from_slice(bytes),
        }
    }

    /// Writes what the machine takes; the rest follows when an event tells that there is room.
    ///
    /// # Errors
    ///
    /// The connection failed.
    pub fn flush(&mut self) -> io::Result<()> {
        while let Some(tls) = self.tls.as_mut().filter(|tls| tls.wants_write()) {
            tls.write_tls(&mut (&mut self.write_buffer).writer())?;
        }
        while !self.write_buffer.is_empty() {
            match (&*self.stream).write(&self.write_buffer) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(length) => {
                    self.bytes_written += length as u64;
                    self.write_buffer.advance(length);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if is_transfer_shortage(&error) => {
                    self.schedule_retry();
                    return Ok(());
                }
                Err(error) => return Err(error),
            }
        }
        // An idle peer keeps no memory of its largest response.
        if self.write_buffer.capacity() > CHUNK_BYTES {
            self.write_buffer = BytesMut::new();
        }
        Ok(())
    }

    /// Takes enqueued bytes back, by their place among all that were ever enqueued; what stands behind them moves up. True:
    /// they are gone, and were never written. False: some have been written, or there is no such range. Bytes within TLS
    /// cannot be taken back.
    pub fn retract(&mut self, bytes: Range<u64>) -> bool {
        let is_unwritten = bytes.start >= self.bytes_written && bytes.end <= self.bytes_enqueued;
        if self.is_tls() || !is_unwritten || bytes.is_empty() {
            return false;
        }
        let start = (bytes.start - self.bytes_written) as usize;
        let end = (bytes.end - self.bytes_written) as usize;
        let behind = self.write_buffer.split_off(end);
        self.write_buffer.truncate(start);
        self.write_buffer.unsplit(behind);
        self.bytes_enqueued -= bytes.end - bytes.start;
        true
    }

    /// Bytes that wait to be written; what waits within TLS counts as one.
    #[must_use]
    pub fn unwritten_bytes(&self) -> usize {
        let tls_waits = self.tls.as_ref().is_some_and(|tls| tls.wants_write());
        if tls_waits {
            self.write_buffer.len() + 1
        } else {
            self.write_buffer.len()
        }
    }

    /// Finishes this side's direction: the peer reads to the end and then finds it. Does so once: the machine makes an
    /// event of each shutdown, so that one at every look would bring the next look at once.
    pub fn finish_writing(&mut self) {
        if self.write_finished {
            return;
        }
        self.write_finished = true;
        if let Some(tls) = &mut self.tls {
            tls.send_close_notify();
            let _ = tls.write_tls(&mut (&mut self.write_buffer).writer());
            let _ = (&*self.stream).write(&self.write_buffer);
        }
        let _ = self.stream.shutdown(Shutdown::Write);
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        if let Some(registration) = self.registration.take() {
            self.event_loop.remove(registration);
        }
    }
}
