//! What the machine tells of sockets, taken as it comes.
//!
//! The length of such an answer differs between versions of Linux, and the libraries that ask these questions assert the one
//! that they were built for: where it differed, the gateway ended with its first connection. So they are asked here, and an
//! answer that is too short for what is looked for counts as none.

use std::io;
use std::mem::offset_of;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, TcpStream};
use std::os::fd::{AsFd, AsRawFd, BorrowedFd, FromRawFd, OwnedFd};
use std::time::Duration;

use nix::libc::{self, c_int, c_void, sockaddr, sockaddr_in, sockaddr_in6, socklen_t, tcp_info};

/// Room for the answer to any question that is asked here; what Linux tells of a TCP connection takes 280 bytes in 2026.
const MAX_OPTION_BYTES: usize = 512;

/// Room for an address of any family.
const MAX_ADDRESS_BYTES: usize = size_of::<libc::sockaddr_storage>();

/// The value of a socket's option, of the length that the machine gave it.
struct OptionValue {
    buffer: [u8; MAX_OPTION_BYTES],
    length: usize,
}

impl OptionValue {
    fn read(socket: BorrowedFd<'_>, level: c_int, name: c_int) -> io::Result<Self> {
        let mut buffer = [0; MAX_OPTION_BYTES];
        let mut length = MAX_OPTION_BYTES as socklen_t;
        // SAFETY: the buffer has room for as many bytes as the machine is told.
        let result = unsafe {
            libc::getsockopt(
                socket.as_raw_fd(),
                level,
                name,
                buffer.as_mut_ptr().cast::<c_void>(),
                &raw mut length,
            )
        };
        if result < 0 {
            return Err(io::Error::last_os_error());
        }
        let length = (length as usize).min(MAX_OPTION_BYTES);
        Ok(OptionValue { buffer, length })
    }

    /// The four bytes at this place, where the value has them.
    fn bytes_at(&self, offset: usize) -> Option<[u8; 4]> {
        let value = &self.buffer[..self.length];
        value.get(offset..)?.first_chunk().copied()
    }
}

/// Takes the error that a connection has met since it was last asked for. What the machine does not tell shows when the
/// connection is used.
///
/// # Errors
/// That error, or the machine cannot tell.
pub fn take_connection_error(stream: &TcpStream) -> io::Result<()> {
    let value = OptionValue::read(stream.as_fd(), libc::SOL_SOCKET, libc::SO_ERROR)?;
    match value.bytes_at(0).map_or(0, i32::from_ne_bytes) {
        0 => Ok(()),
        code => Err(io::Error::from_raw_os_error(code)),
    }
}

/// How long ago the peer's last segment came; none where the machine does not tell.
#[must_use]
pub fn time_since_last_receive(stream: &TcpStream) -> Option<Duration> {
    let value = OptionValue::read(stream.as_fd(), libc::IPPROTO_TCP, libc::TCP_INFO).ok()?;
    let silent_ms = value.bytes_at(offset_of!(tcp_info, tcpi_last_ack_recv))?;
    Some(Duration::from_millis(u32::from_ne_bytes(silent_ms).into()))
}

/// Whether the connection has a peer; false while it is coming up.
///
/// # Errors
/// The machine cannot tell.
pub fn has_peer(stream: &TcpStream) -> io::Result<bool> {
    let mut address = ReceivedAddress::room();
    // SAFETY: the address has room for as many bytes as the machine is told.
    let result = unsafe {
        libc::getpeername(
            stream.as_raw_fd(),
            address.buffer(),
            address.length_to_fill(),
        )
    };
    if result == 0 {
        return Ok(true);
    }
    let error = io::Error::last_os_error();
    if error.kind() == io::ErrorKind::NotConnected {
        return Ok(false);
    }
    Err(error)
}

/// A connection that was taken off the backlog.
pub struct AcceptedSocket {
    /// It waits for nothing, and is closed in programs that this one starts.
    pub stream: TcpStream,
    /// Where its peer is; none where the machine did not tell.
    pub peer: Option<SocketAddr>,
}

/// Takes the next connection off the backlog of a listening socket.
///
/// # Errors
/// Nobody waits there, the one who waited is gone, or the machine is short of something.
pub fn accept(listener: impl AsFd) -> io::Result<AcceptedSocket> {
    let mut address = ReceivedAddress::room();
    // SAFETY: the address has room for as many bytes as the machine is told.
    let descriptor = unsafe {
        libc::accept4(
            listener.as_fd().as_raw_fd(),
            address.buffer(),
            address.length_to_fill(),
            libc::SOCK_NONBLOCK | libc::SOCK_CLOEXEC,
        )
    };
    if descriptor < 0 {
        return Err(io::Error::last_os_error());
    }
    // SAFETY: the machine has just made this descriptor, and nobody else knows it.
    let socket = unsafe { OwnedFd::from_raw_fd(descriptor) };
    Ok(AcceptedSocket {
        stream: TcpStream::from(socket),
        peer: address.socket_address(),
    })
}

/// A datagram that was read into a buffer.
pub struct ReceivedDatagram {
    /// Its bytes in the buffer; what was longer is cut.
    pub length: usize,
    /// Where it came from; none where the machine did not tell.
    pub from: Option<SocketAddr>,
}

/// Reads the next datagram.
///
/// # Errors
/// There is none, or the machine reports what became of an earlier one.
pub fn receive_datagram(socket: impl AsFd, buffer: &mut [u8]) -> io::Result<ReceivedDatagram> {
    const NO_FLAGS: c_int = 0;
    let mut address = ReceivedAddress::room();
    // SAFETY: the buffer and the address have room for as many bytes as the machine is told.
    let received = unsafe {
        libc::recvfrom(
            socket.as_fd().as_raw_fd(),
            buffer.as_mut_ptr().cast::<c_void>(),
            buffer.len(),
            NO_FLAGS,
            address.buffer(),
            address.length_to_fill(),
        )
    };
    let length = usize::try_from(received).map_err(|_| io::Error::last_os_error())?;
    Ok(ReceivedDatagram {
        length: length.min(buffer.len()),
        from: address.socket_address(),
    })
}

/// An address as the machine writes it, of the length that it says.
#[repr(C, align(8))]
struct ReceivedAddress {
    bytes: [u8; MAX_ADDRESS_BYTES],
    length: socklen_t,
}

impl ReceivedAddress {
    fn room() -> Self {
        ReceivedAddress {
            bytes: [0; MAX_ADDRESS_BYTES],
            length: MAX_ADDRESS_BYTES as socklen_t,
        }
    }

    fn buffer(&mut self) -> *mut sockaddr {
        self.bytes.as_mut_ptr().cast()
    }

    fn length_to_fill(&mut self) -> *mut socklen_t {
        &raw mut self.length
    }

    /// The address, where the machine gave all of one.
    fn socket_address(&self) -> Option<SocketAddr> {
        let length = (self.length as usize).min(MAX_ADDRESS_BYTES);
        let told = &self.bytes[..length];
        let family = u16::from_ne_bytes(*told.first_chunk()?);
        let is_long_enough = match c_int::from(family) {
            libc::AF_INET => length >= size_of::<sockaddr_in>(),
            libc::AF_INET6 => length >= size_of::<sockaddr_in6>(),
            _ => false,
        };
        if !is_long_enough {
            return None;
        }
        // Port and addresses stand in the order of the network.
        if c_int::from(family) == libc::AF_INET {
            let port =
                u16::from_be_bytes(*told[offset_of!(sockaddr_in, sin_port)..].first_chunk()?);
            let ip: [u8; 4] = *told[offset_of!(sockaddr_in, sin_addr)..].first_chunk()?;
            return Some((Ipv4Addr::from(ip), port).into());
        }
        let port = u16::from_be_bytes(*told[offset_of!(sockaddr_in6, sin6_port)..].first_chunk()?);
        let ip: [u8; 16] = *told[offset_of!(sockaddr_in6, sin6_addr)..].first_chunk()?;
        Some((Ipv6Addr::from(ip), port).into())
    }
}
