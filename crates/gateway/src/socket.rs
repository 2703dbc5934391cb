//! A non-blocking TCP socket with its buffers, and the events that the event loop reports.
//!
//! A socket is registered once, edge-triggered, for both directions. The handler of its event must
//! read until nothing is left. Writes do not wait for an event: they are tried whenever there is
//! data.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::ops::Range;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::engines::ConnectionId;
use crate::keywatch::WatchResult;
use crate::machine_errors::is_transfer_shortage;
use crate::socket_queries;
use crate::tls_stream::{TlsInput, TlsStream};
use admission::interface::{TimeDelta, Timestamp};
use bytes::{Buf, BytesMut};
use calloop::generic::Generic;
use calloop::timer::{TimeoutAction, Timer};
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use rustix::net::{AddressFamily, SocketFlags, SocketType, connect, ipproto, socket_with};
use rustls::ServerConfig;

/// The source of a readiness event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EventSource {
    /// The listening socket for clients.
    Listener,
    /// The session with this number.
    Client(u32),
    /// A connection to an engine.
    Engine(ConnectionId),
    /// The poll of the discovery service with this number.
    Discovery(u64),
    /// The UDP socket to the other gateways.
    PeerGateways,
}

/// The events of one wait of the event loop. Event callbacks only record them here, and they are
/// handled in order afterwards.
#[derive(Default)]
pub struct LoopEvents {
    /// Ready sources, in the order in which they became ready. A source may occur twice.
    pub sources: Vec<EventSource>,
    /// Signals are ready to be read.
    pub has_signals: bool,
    /// The timer has fired, and the event loop has removed it.
    pub timer_fired: bool,
    /// The content of changed key files, or why they cannot be used.
    pub key_changes: Vec<WatchResult>,
}

/// A handle of the event loop, used to register event sources.
pub type EventLoopHandle = LoopHandle<'static, LoopEvents>;

/// Size in bytes of one read from the kernel.
const CHUNK_BYTES: usize = 16 << 10;

/// Size in bytes of one read from the kernel with TLS. Each of its records takes time to decrypt,
/// however little it carries.
const TLS_CHUNK_BYTES: usize = 4 << 10;

/// Delay before a transfer is repeated that failed because the kernel lacked buffers. No event
/// reports when buffers are available again.
const SHORTAGE_RETRY_DELAY: Duration = Duration::from_millis(5);

/// A connection to a client, an engine or the discovery service. Dropping it closes the connection.
pub struct Socket {
    stream: Rc<TcpStream>,
    /// The source under which its events are recorded.
    source: EventSource,
    /// `None` once the socket is dropped.
    registration: Option<RegistrationToken>,
    event_loop: EventLoopHandle,
    /// Received data that was not processed yet. The caller bounds its size through
    /// [`read_up_to`](Self::read_up_to).
    pub read_buffer: BytesMut,
    /// The largest size of the read buffer since its allocation was last replaced.
    read_buffer_peak: usize,
    write_buffer: BytesMut,
    /// The largest size of the write buffer since its allocation was last replaced.
    write_buffer_peak: usize,
    /// Bytes that the kernel has accepted since the socket was created. With TLS these are bytes of
    /// TLS records.
    pub bytes_written: u64,
    /// Bytes enqueued since the socket was created, less those that were retracted.
    pub bytes_enqueued: u64,
    /// The peer has closed its sending direction.
    pub peer_finished: bool,
    /// This side has closed its sending direction.
    write_finished: bool,
    /// The kernel may hold received bytes that no further event will report.
    may_be_readable: bool,
    /// A timer is set that repeats a transfer for which the kernel lacked buffers.
    retry_scheduled: bool,
    /// The TLS state. `None` until a TLS handshake starts. From then on all data passes through it.
    tls: Option<Box<TlsStream>>,
}

impl Socket {
    /// Creates a socket from a stream that is connected or connecting. Its events are recorded
    /// under `source`.
    ///
    /// # Errors
    ///
    /// The stream cannot be configured or registered with the event loop. A caller that still holds
    /// the stream may repeat the call.
    pub fn new(
        stream: Rc<TcpStream>,
        event_loop: &EventLoopHandle,
        source: EventSource,
    ) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        // Responses and attempts are small and written at once, so Nagle's algorithm would only
        // delay them.
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
            read_buffer_peak: 0,
            write_buffer: BytesMut::new(),
            write_buffer_peak: 0,
            bytes_written: 0,
            bytes_enqueued: 0,
            peer_finished: false,
            write_finished: false,
            may_be_readable: true,
            retry_scheduled: false,
            tls: None,
        })
    }

    /// Starts to connect. [`is_connected`](Self::is_connected) reports the result.
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
            // An interrupted connect(2) continues in the background.
            Ok(()) | Err(Errno::INPROGRESS | Errno::INTR) => {
                Self::new(Rc::new(TcpStream::from(fd)), event_loop, source)
            }
            Err(error) => Err(error.into()),
        }
    }

    /// Whether the connection is established. Returns false while it is still being established.
    ///
    /// # Errors
    ///
    /// The connection failed.
    pub fn is_connected(&self) -> io::Result<bool> {
        socket_queries::take_connection_error(&self.stream)?;
        socket_queries::has_peer(&self.stream)
    }

    /// Handles a readiness event: data or the end of the stream may be available.
    pub fn mark_readable(&mut self) {
        self.may_be_readable = true;
        self.retry_scheduled = false;
    }

    /// Sets a timer to repeat a transfer for which the kernel lacked buffers, because no event
    /// reports when they are available.
    fn schedule_retry(&mut self) {
        if self.retry_scheduled {
            return;
        }
        let source = self.source;
        let on_due = move |_, _: &mut (), events: &mut LoopEvents| {
            events.sources.push(source);
            TimeoutAction::Drop
        };
        let timer = Timer::from_duration(SHORTAGE_RETRY_DELAY);
        // Inserting a timer makes no system call, and fails only when the event loop has ended.
        self.retry_scheduled = self.event_loop.insert_source(timer, on_due).is_ok();
    }

    /// Starts TLS as the server. Bytes that were already received are treated as TLS too: bytes
    /// sent before the handshake must not be accepted as a command.
    ///
    /// # Errors
    ///
    /// The configuration cannot be used, or the received bytes are not TLS.
    pub fn start_tls(&mut self, config: Arc<ServerConfig>) -> io::Result<()> {
        self.tls = Some(Box::new(TlsStream::new(config)?));
        let received = self.read_buffer.split();
        self.append_received(&received)
    }

    /// Whether TLS was started.
    #[must_use]
    pub fn is_tls(&self) -> bool {
        self.tls.is_some()
    }

    /// Whether a TLS handshake was started and is not complete.
    #[must_use]
    pub fn is_handshaking(&self) -> bool {
        self.tls.as_ref().is_some_and(|tls| tls.is_handshaking())
    }

    /// Appends received bytes to the read buffer, decrypted if TLS was started. An invalid record
    /// is an error that ends the connection.
    fn append_received(&mut self, received: &[u8]) -> io::Result<()> {
        let Some(tls) = &mut self.tls else {
            self.read_buffer.extend_from_slice(received);
            return Ok(());
        };
        match tls.decrypt(received, &mut self.read_buffer) {
            Ok(state) => self.peer_finished |= state == TlsInput::Ended,
            Err(error) => {
                // The TLS alert is sent first, because otherwise the client would only see a reset.
                tls.take_output(&mut self.write_buffer);
                let _ = (&*self.stream).write(&self.write_buffer);
                return Err(error);
            }
        }
        Ok(())
    }

    /// Reads available data until `limit` bytes are buffered. The limit keeps a peer that sends
    /// continuously from taking up the turn and the memory. With TLS, one chunk is read, since what
    /// is received may carry no data and never reach the limit. A record that has begun counts as
    /// it was received, and the data of a complete one may exceed the limit. The buffer grows with
    /// its content only.
    ///
    /// # Errors
    ///
    /// The connection failed, or the received data is not valid TLS.
    pub fn read_up_to(&mut self, limit: usize) -> io::Result<()> {
        let mut chunk = [0; CHUNK_BYTES];
        while self.may_have_more() && self.buffered_input_bytes() < limit {
            let chunk_bytes = if self.is_tls() {
                TLS_CHUNK_BYTES
            } else {
                CHUNK_BYTES
            };
            let room = (limit - self.buffered_input_bytes()).min(chunk_bytes);
            match (&*self.stream).read(&mut chunk[..room]) {
                Ok(0) => self.peer_finished = true,
                Ok(length) => {
                    self.append_received(&chunk[..length])?;
                    if self.is_tls() {
                        break;
                    }
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => self.may_be_readable = false,
                Err(error) if is_transfer_shortage(&error) => {
                    self.may_be_readable = false;
                    self.schedule_retry();
                }
                Err(error) => return Err(error),
            }
        }
        self.read_buffer_peak = self.read_buffer_peak.max(self.read_buffer.len());
        Ok(())
    }

    /// The received bytes that were not processed yet, with those of an incomplete TLS record.
    #[must_use]
    pub fn buffered_input_bytes(&self) -> usize {
        self.read_buffer.len() + self.tls.as_ref().map_or(0, |tls| tls.undecrypted_bytes())
    }

    /// The size of the TLS record whose rest has not arrived, or `None` without TLS or if no header
    /// of a record waits for its content.
    #[must_use]
    pub fn incomplete_tls_record(&self) -> Option<usize> {
        self.tls.as_ref()?.incomplete_record()
    }

    /// Whether there may be more data than the last [`read_up_to`](Self::read_up_to) had room for.
    #[must_use]
    pub fn may_have_more(&self) -> bool {
        self.may_be_readable && !self.peer_finished
    }

    /// Whether the peer has closed its sending direction behind unread bytes. It is for sockets on
    /// which [`read_up_to`](Self::read_up_to) has reached its limit: reading would find the end of
    /// the stream only after the bytes before it were processed.
    ///
    /// # Errors
    ///
    /// The connection was reset.
    pub fn peer_hung_up(&self) -> io::Result<bool> {
        let mut watched = [PollFd::new(&*self.stream, PollFlags::RDHUP)];
        let zero_timeout = Timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        // When the state is unknown, the peer counts as connected.
        if poll(&mut watched, Some(&zero_timeout)).is_err() {
            return Ok(false);
        }
        let events = watched[0].revents();
        if events.intersects(PollFlags::ERR | PollFlags::HUP) {
            return Err(ErrorKind::ConnectionReset.into());
        }
        Ok(events.contains(PollFlags::RDHUP))
    }

    /// When the last segment from the peer arrived, whether or not its data was read. Pure
    /// acknowledgements and the end of the stream count too. Returns `now` when the kernel does not
    /// report it.
    #[must_use]
    pub fn last_received(&self, now: Timestamp) -> Timestamp {
        let since_last_receive =
            socket_queries::time_since_last_receive(&self.stream).unwrap_or_default();
        now + TimeDelta::from_secs(-since_last_receive.as_secs_f64())
    }

    /// Appends bytes to the data to be written. [`flush`](Self::flush) writes them.
    pub fn enqueue(&mut self, bytes: &[u8]) {
        self.bytes_enqueued += bytes.len() as u64;
        match &mut self.tls {
            Some(tls) => tls.encrypt(bytes, &mut self.write_buffer),
            None => self.write_buffer.extend_from_slice(bytes),
        }
        self.write_buffer_peak = self.write_buffer_peak.max(self.write_buffer.len());
    }

    /// Writes as much as the kernel accepts. The rest follows when an event reports that the socket
    /// is writable.
    ///
    /// # Errors
    ///
    /// The connection failed.
    pub fn flush(&mut self) -> io::Result<()> {
        if let Some(tls) = &mut self.tls {
            tls.take_output(&mut self.write_buffer);
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
        // An idle connection does not keep the memory of its responses.
        self.write_buffer = BytesMut::new();
        self.write_buffer_peak = 0;
        Ok(())
    }

    /// Replaces the allocation of the read buffer if most of it is no longer used. It is to be
    /// called once the data that can be processed was taken from the buffer.
    pub fn shrink_read_buffer(&mut self) {
        self.read_buffer_peak = self.read_buffer_peak.max(self.read_buffer.len());
        if self.read_buffer.len() > self.read_buffer_peak / 2 {
            return;
        }
        self.read_buffer = BytesMut::from(&self.read_buffer[..]);
        self.read_buffer_peak = self.read_buffer.len();
    }

    /// The memory that this socket holds because of its peer, in bytes.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.held_input_bytes() + self.held_output_bytes()
    }

    /// The part of [`held_bytes`](Self::held_bytes) for what the peer sends.
    #[must_use]
    pub fn held_input_bytes(&self) -> usize {
        let tls = self.tls.as_ref().map_or(0, |tls| tls.held_bytes());
        self.read_buffer_peak.max(self.read_buffer.len()) + tls
    }

    /// The part of [`held_bytes`](Self::held_bytes) for what the peer has not read.
    #[must_use]
    pub fn held_output_bytes(&self) -> usize {
        self.write_buffer_peak.max(self.write_buffer.len())
    }

    /// Removes enqueued bytes that were not written yet. `bytes` is a range of positions in the
    /// stream of all enqueued bytes, and what follows it moves up. Returns whether the bytes were
    /// removed: false when some of them were written already, the range is empty or invalid, or TLS
    /// is in use.
    pub fn retract(&mut self, bytes: Range<u64>) -> bool {
        let is_unwritten = bytes.start >= self.bytes_written && bytes.end <= self.bytes_enqueued;
        if self.is_tls() || !is_unwritten || bytes.is_empty() {
            return false;
        }
        let start = (bytes.start - self.bytes_written) as usize;
        let end = (bytes.end - self.bytes_written) as usize;
        let suffix = self.write_buffer.split_off(end);
        self.write_buffer.truncate(start);
        self.write_buffer.unsplit(suffix);
        self.bytes_enqueued -= bytes.end - bytes.start;
        true
    }

    /// The number of bytes that wait to be written. Data inside the TLS state counts as one byte.
    #[must_use]
    pub fn unwritten_bytes(&self) -> usize {
        let tls_waits = self.tls.as_ref().is_some_and(|tls| tls.has_output());
        if tls_waits {
            self.write_buffer.len() + 1
        } else {
            self.write_buffer.len()
        }
    }

    /// Closes this side's sending direction: the peer reads the remaining data and then the end of
    /// the stream. It does so only once, because the kernel reports an event for each shutdown, and
    /// a shutdown in every handler of the event would wake the event loop without end.
    pub fn finish_writing(&mut self) {
        if self.write_finished {
            return;
        }
        self.write_finished = true;
        if let Some(tls) = &mut self.tls {
            tls.close(&mut self.write_buffer);
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
