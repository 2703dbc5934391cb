//! One non-blocking socket with its buffers. Registered once, edge-triggered, for both directions: whoever
//! is told of it reads until nothing is left, and writes whenever something is to be written.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::OwnedFd;
use std::rc::Rc;
use std::sync::Arc;

use crate::engines::ConnectionId;
use crate::keywatch::{Known, WatchError};
use admission::interface::{TimeDelta, Timestamp};
use bytes::{Buf, BufMut, BytesMut};
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use nix::sys::socket::getsockopt;
use nix::{getsockopt_impl, libc, sockopt_impl};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::net::{AddressFamily, SocketFlags, SocketType, connect, ipproto, socket_with, sockopt};
use rustls::{ServerConfig, ServerConnection};

sockopt_impl!(
    /// What the machine knows of a TCP connection.
    TcpInfo,
    GetOnly,
    libc::IPPROTO_TCP,
    libc::TCP_INFO,
    libc::tcp_info
);

/// This machine or program is out of descriptors or buffers; the peer has no part in it.
pub fn is_resource_exhaustion(error: &io::Error) -> bool {
    use rustix::io::Errno;
    let short = [
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::ADDRNOTAVAIL,
    ];
    Errno::from_io_error(error).is_some_and(|errno| short.contains(&errno))
}

/// Whom a readiness is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EventSource {
    Listener,
    Client(u32),
    Engine(ConnectionId),
    Discovery(u64),
    /// Datagrams of other gateways.
    PeerGateways,
}

/// What one sleep of the loop brought: sources only note it, it is worked off in turn afterwards.
#[derive(Default)]
pub struct LoopEvents {
    pub sources: Vec<EventSource>,
    pub signals: Vec<calloop::signals::Signal>,
    /// The timer has fired, and is gone.
    pub timer_fired: bool,
    /// Key files that changed, or why they cannot be used.
    pub key_changes: Vec<Result<Known, WatchError>>,
}

pub type EventLoopHandle = LoopHandle<'static, LoopEvents>;

/// Read at most so much at a time; what a peer may leave unread in `read_buffer` is each user's bound.
const CHUNK: usize = 16 << 10;

pub struct Socket {
    stream: Rc<TcpStream>,
    token: Option<RegistrationToken>,
    handle: EventLoopHandle,
    pub read_buffer: BytesMut,
    out: BytesMut,
    /// Bytes accepted by the machine so far, of all ever put.
    pub bytes_written: u64,
    pub bytes_enqueued: u64,
    /// The peer has ended its direction.
    pub peer_finished: bool,
    /// We have ended ours.
    finished: bool,
    /// The machine may still hold bytes that no edge will announce again.
    unread: bool,
    /// From the start of its handshake on: what is read and written goes through it.
    tls: Option<Box<ServerConnection>>,
}

impl Socket {
    pub fn new(stream: TcpStream, handle: &EventLoopHandle, peer: EventSource) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        // Answers and attempts are small and whole: waiting to fill a segment only delays them.
        stream.set_nodelay(true)?;
        let stream = Rc::new(stream);
        let source = Generic::new(stream.clone(), Interest::BOTH, Mode::Edge);
        let token = handle
            .insert_source(source, move |_, _, events: &mut LoopEvents| {
                events.sources.push(peer);
                Ok(PostAction::Continue)
            })
            .map_err(|e| io::Error::other(e.error))?;
        Ok(Socket {
            stream,
            token: Some(token),
            handle: handle.clone(),
            read_buffer: BytesMut::new(),
            out: BytesMut::new(),
            bytes_written: 0,
            bytes_enqueued: 0,
            peer_finished: false,
            finished: false,
            unread: true,
            tls: None,
        })
    }

    /// Starts to connect; `connected` tells how it went.
    pub fn connect(
        to: SocketAddr,
        handle: &EventLoopHandle,
        peer: EventSource,
    ) -> io::Result<Self> {
        let family = if to.is_ipv4() {
            AddressFamily::INET
        } else {
            AddressFamily::INET6
        };
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let fd: OwnedFd = socket_with(family, SocketType::STREAM, flags, Some(ipproto::TCP))?;
        match connect(&fd, &to) {
            Ok(()) | Err(rustix::io::Errno::INPROGRESS) => {
                Self::new(TcpStream::from(fd), handle, peer)
            }
            Err(error) => Err(error.into()),
        }
    }

    /// Whether the connection is up; an error if it failed.
    pub fn is_connected(&self) -> io::Result<bool> {
        sockopt::socket_error(&*self.stream)??;
        match self.stream.peer_addr() {
            Ok(_) => Ok(true),
            Err(error) if error.kind() == ErrorKind::NotConnected => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// An edge told that there is something to read, or the peer's end.
    pub fn mark_readable(&mut self) {
        self.unread = true;
    }

    /// All from here on is TLS, what has come already too: bytes put before the handshake are no command of anybody.
    pub fn start_tls(&mut self, config: Arc<ServerConfig>) -> io::Result<()> {
        let mut tls = ServerConnection::new(config).map_err(io::Error::other)?;
        // What may wait to be written is bounded by who puts it.
        tls.set_buffer_limit(None);
        self.tls = Some(Box::new(tls));
        let come = self.read_buffer.split();
        self.decrypt(&come)
    }

    pub fn is_tls(&self) -> bool {
        self.tls.is_some()
    }

    /// Takes bytes of the peer's: as they are, or what they say through TLS. A record of no use ends the connection.
    fn decrypt(&mut self, mut come: &[u8]) -> io::Result<()> {
        let Some(tls) = &mut self.tls else {
            self.read_buffer.extend_from_slice(come);
            return Ok(());
        };
        while !come.is_empty() {
            tls.read_tls(&mut come)?;
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
            let before = self.read_buffer.len();
            self.read_buffer
                .resize(before + state.plaintext_bytes_to_read(), 0);
            tls.reader().read_exact(&mut self.read_buffer[before..])?;
            self.peer_finished |= state.peer_has_closed();
        }
        Ok(())
    }

    /// Reads what is there, up to `bound` in the read_buffer: a peer that sends without end gets no more of a turn.
    /// An read_buffer has the size of what waits in it, not of what could.
    pub fn read_up_to(&mut self, bound: usize) -> io::Result<()> {
        let mut chunk = [0; CHUNK];
        while self.unread && !self.peer_finished && self.read_buffer.len() < bound {
            match (&*self.stream).read(&mut chunk) {
                Ok(0) => self.peer_finished = true,
                Ok(n) => self.decrypt(&chunk[..n])?,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => self.unread = false,
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// More may be there than there was room for.
    pub fn may_have_more(&self) -> bool {
        self.unread && !self.peer_finished
    }

    /// Whether the peer's end stands behind bytes for which there is no room. Asked for where `fill` may not read on:
    /// an end that is only found by reading would stay unseen for as long as the bytes before it wait.
    pub fn peer_hung_up(&self) -> io::Result<bool> {
        let mut of = [PollFd::new(&*self.stream, PollFlags::RDHUP)];
        let now = Timespec {
            tv_sec: 0,
            tv_nsec: 0,
        };
        // A machine that cannot tell has not told of an end.
        if poll(&mut of, Some(&now)).is_err() {
            return Ok(false);
        }
        let seen = of[0].revents();
        if seen.intersects(PollFlags::ERR | PollFlags::HUP) {
            return Err(ErrorKind::ConnectionReset.into());
        }
        Ok(seen.contains(PollFlags::RDHUP))
    }

    /// When the peer's last segment came to this machine, whether or not it was read since: its end, if it has ended. What
    /// it acknowledges counts too. Now where the machine cannot tell.
    pub fn last_received(&self, now: Timestamp) -> Timestamp {
        let silent_ms =
            getsockopt(&*self.stream, TcpInfo).map_or(0, |info| info.tcpi_last_ack_recv);
        now + TimeDelta::from_micros(-i64::from(silent_ms) * 1000)
    }

    pub fn enqueue(&mut self, bytes: &[u8]) {
        self.bytes_enqueued += bytes.len() as u64;
        match &mut self.tls {
            // Into its buffer, which has no limit: this cannot fail.
            Some(tls) => drop(tls.writer().write_all(bytes)),
            None => self.out.extend_from_slice(bytes),
        }
    }

    /// Writes what the machine takes; the rest follows when an edge tells of room.
    pub fn flush(&mut self) -> io::Result<()> {
        while let Some(tls) = self.tls.as_mut().filter(|tls| tls.wants_write()) {
            tls.write_tls(&mut (&mut self.out).writer())?;
        }
        while !self.out.is_empty() {
            match (&*self.stream).write(&self.out) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => {
                    self.bytes_written += n as u64;
                    self.out.advance(n);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error),
            }
        }
        // An idle peer keeps no memory of its largest answer.
        if self.out.capacity() > CHUNK {
            self.out = BytesMut::new();
        }
        Ok(())
    }

    /// Takes bytes back that were put and of which nothing has left; what was put behind them moves up. True: they are
    /// gone, and were never written. Bytes within TLS cannot be taken back.
    pub fn retract(&mut self, from: u64, to: u64) -> bool {
        if self.tls.is_some() || from < self.bytes_written || to > self.bytes_enqueued || from >= to
        {
            return false;
        }
        let (from, to) = (
            (from - self.bytes_written) as usize,
            (to - self.bytes_written) as usize,
        );
        let behind = self.out.split_off(to);
        self.out.truncate(from);
        self.out.unsplit(behind);
        self.bytes_enqueued -= (to - from) as u64;
        true
    }

    pub fn unwritten_bytes(&self) -> usize {
        self.out.len() + usize::from(self.tls.as_ref().is_some_and(|tls| tls.wants_write()))
    }

    /// No more is written: the peer reads to the end and then finds it. Once only: the machine tells of each shutdown as of
    /// something new at the connection, so that one at every look would bring the next look at once.
    pub fn finish_writing(&mut self) {
        if std::mem::replace(&mut self.finished, true) {
            return;
        }
        if let Some(tls) = &mut self.tls {
            tls.send_close_notify();
            let _ = tls.write_tls(&mut (&mut self.out).writer());
            let _ = (&*self.stream).write(&self.out);
        }
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        self.token
            .take()
            .into_iter()
            .for_each(|token| self.handle.remove(token));
    }
}
