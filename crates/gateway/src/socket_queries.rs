//! Queries to the kernel about sockets, which accept results of any length.
//!
//! The length of such a result differs between versions of Linux. Libraries that make these queries
//! assert the length that they were built for, which made the gateway panic at its first connection
//! on another version. The queries are therefore made here, and a result that is too short for the
//! wanted field counts as missing.

use std::io;
use std::mem::offset_of;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, TcpStream};
use std::os::fd::{AsFd, AsRawFd, BorrowedFd, FromRawFd, OwnedFd};
use std::time::Duration;

use nix::libc::{self, c_int, c_void, sockaddr, sockaddr_in, sockaddr_in6, socklen_t, tcp_info};

/// Buffer size for any option that is read here. Linux returned 280 bytes for TCP_INFO in 2026.
const MAX_OPTION_BYTES: usize = 512;

/// Buffer size for an address of any family.
const MAX_ADDRESS_BYTES: usize = size_of::<libc::sockaddr_storage>();

/// The value of a socket option, with the length that the kernel returned.
struct OptionValue {
    buffer: [u8; MAX_OPTION_BYTES],
    length: usize,
}

impl OptionValue {
    fn read(socket: BorrowedFd<'_>, level: c_int, name: c_int) -> io::Result<Self> {
        let mut buffer = [0; MAX_OPTION_BYTES];
        let mut length = MAX_OPTION_BYTES as socklen_t;
        // SAFETY: the buffer has room for as many bytes as `length` tells the kernel.
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

    /// Returns the four bytes at an offset, or `None` when the value is too short.
    fn bytes_at(&self, offset: usize) -> Option<[u8; 4]> {
        let value = &self.buffer[..self.length];
        value.get(offset..)?.first_chunk().copied()
    }
}

/// Checks a connection for a pending error, and clears the error. When the kernel returns no value,
/// the connection counts as good, and the next read or write reports the error.
///
/// # Errors
/// Returns the connection's error, or the error of the query.
pub fn take_connection_error(stream: &TcpStream) -> io::Result<()> {
    let value = OptionValue::read(stream.as_fd(), libc::SOL_SOCKET, libc::SO_ERROR)?;
    match value.bytes_at(0).map_or(0, i32::from_ne_bytes) {
        0 => Ok(()),
        code => Err(io::Error::from_raw_os_error(code)),
    }
}

/// How long ago the last segment of the peer arrived. `None` when the kernel does not report it.
#[must_use]
pub fn time_since_last_receive(stream: &TcpStream) -> Option<Duration> {
    let value = OptionValue::read(stream.as_fd(), libc::IPPROTO_TCP, libc::TCP_INFO).ok()?;
    let since_last_receive_ms = value.bytes_at(offset_of!(tcp_info, tcpi_last_ack_recv))?;
    Some(Duration::from_millis(
        u32::from_ne_bytes(since_last_receive_ms).into(),
    ))
}

/// Whether the connection has a peer. Returns false while it is being established.
///
/// # Errors
/// The query failed.
pub fn has_peer(stream: &TcpStream) -> io::Result<bool> {
    let mut address = ReceivedAddress::empty();
    // SAFETY: the address has room for as many bytes as its length tells the kernel.
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

/// An accepted connection.
pub struct AcceptedSocket {
    /// The connection, which is non-blocking and close-on-exec.
    pub stream: TcpStream,
    /// The address of its peer. `None` when the kernel does not report it.
    pub peer: Option<SocketAddr>,
}

/// Accepts the next connection from the backlog of a listening socket.
///
/// # Errors
/// No connection is waiting, the next one has already failed, or a resource is short.
pub fn accept(listener: impl AsFd) -> io::Result<AcceptedSocket> {
    let mut address = ReceivedAddress::empty();
    // SAFETY: the address has room for as many bytes as its length tells the kernel.
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
    // SAFETY: the kernel has just created this descriptor, and nothing else owns it.
    let socket = unsafe { OwnedFd::from_raw_fd(descriptor) };
    Ok(AcceptedSocket {
        stream: TcpStream::from(socket),
        peer: address.socket_address(),
    })
}

/// A datagram that was read into a buffer.
pub struct ReceivedDatagram {
    /// Its length in the buffer. A longer datagram is truncated.
    pub length: usize,
    /// The address of the sender. `None` when the kernel does not report it.
    pub from: Option<SocketAddr>,
}

/// Reads the next datagram.
///
/// # Errors
/// No datagram is available, or the kernel reports an error about an earlier one.
pub fn receive_datagram(socket: impl AsFd, buffer: &mut [u8]) -> io::Result<ReceivedDatagram> {
    const NO_FLAGS: c_int = 0;
    let mut address = ReceivedAddress::empty();
    // SAFETY: the buffer and the address have room for as many bytes as their lengths tell the
    // kernel.
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

/// A socket address as the kernel writes it, with the length that it returns.
#[repr(C, align(8))]
struct ReceivedAddress {
    bytes: [u8; MAX_ADDRESS_BYTES],
    length: socklen_t,
}

impl ReceivedAddress {
    fn empty() -> Self {
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

    /// Decodes the address. Returns `None` when it is incomplete or of another family than IP.
    fn socket_address(&self) -> Option<SocketAddr> {
        let length = (self.length as usize).min(MAX_ADDRESS_BYTES);
        let address_bytes = &self.bytes[..length];
        let family = u16::from_ne_bytes(*address_bytes.first_chunk()?);
        let is_long_enough = match c_int::from(family) {
            libc::AF_INET => length >= size_of::<sockaddr_in>(),
            libc::AF_INET6 => length >= size_of::<sockaddr_in6>(),
            _ => false,
        };
        if !is_long_enough {
            return None;
        }
        // The port and the address are in network byte order.
        if c_int::from(family) == libc::AF_INET {
            let port = u16::from_be_bytes(
                *address_bytes[offset_of!(sockaddr_in, sin_port)..].first_chunk()?,
            );
            let ip: [u8; 4] = *address_bytes[offset_of!(sockaddr_in, sin_addr)..].first_chunk()?;
            return Some((Ipv4Addr::from(ip), port).into());
        }
        let port = u16::from_be_bytes(
            *address_bytes[offset_of!(sockaddr_in6, sin6_port)..].first_chunk()?,
        );
        let ip: [u8; 16] = *address_bytes[offset_of!(sockaddr_in6, sin6_addr)..].first_chunk()?;
        Some((Ipv6Addr::from(ip), port).into())
    }
}
