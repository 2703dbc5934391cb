//! Classifies the errors of system calls: resource shortages of the host, failed connections and
//! transient file errors. The classes follow the manual pages of the calls.

use std::io;

use rustix::io::Errno;

/// The host or process is out of descriptors, buffers, memory, ports or watches.
const RESOURCE_SHORTAGES: [Errno; 7] = [
    Errno::AGAIN,
    Errno::MFILE,
    Errno::NFILE,
    Errno::NOBUFS,
    Errno::NOMEM,
    Errno::NOSPC,
    Errno::ADDRNOTAVAIL,
];

/// Errors that accept(2) reports for a pending connection that has already failed. The next
/// connection may be good.
const PENDING_CONNECTION_ERRORS: [Errno; 15] = [
    Errno::INTR,
    Errno::CONNABORTED,
    Errno::CONNRESET,
    Errno::HOSTDOWN,
    Errno::HOSTUNREACH,
    Errno::NETDOWN,
    Errno::NETUNREACH,
    Errno::NONET,
    Errno::NOPROTOOPT,
    Errno::NOTCONN,
    Errno::OPNOTSUPP,
    Errno::PERM,
    Errno::PIPE,
    Errno::PROTO,
    Errno::TIMEDOUT,
];

/// Errors that may temporarily keep a file from being read.
const TRANSIENT_FILE_ERRORS: [Errno; 5] = [
    Errno::BUSY,
    Errno::INTR,
    Errno::IO,
    Errno::STALE,
    Errno::TIMEDOUT,
];

fn is_in_class(error: &io::Error, class: &[Errno]) -> bool {
    Errno::from_io_error(error).is_some_and(|errno| class.contains(&errno))
}

/// Whether the host or the process has run out of a resource. Such an error says nothing about the
/// peer.
#[must_use]
pub fn is_resource_exhaustion(error: &io::Error) -> bool {
    is_in_class(error, &RESOURCE_SHORTAGES)
}

/// Whether the kernel lacked buffers for a read or write on an open connection. The connection
/// stays open, and no event reports when buffers are available again.
#[must_use]
pub fn is_transfer_shortage(error: &io::Error) -> bool {
    is_in_class(error, &[Errno::NOBUFS, Errno::NOMEM])
}

/// Whether accepting failed only because the next pending connection has already failed.
#[must_use]
pub fn is_pending_connection_error(error: &io::Error) -> bool {
    is_in_class(error, &PENDING_CONNECTION_ERRORS)
}

/// Whether a file that cannot be read now may become readable soon.
#[must_use]
pub fn is_transient_file_error(error: &io::Error) -> bool {
    is_resource_exhaustion(error) || is_in_class(error, &TRANSIENT_FILE_ERRORS)
}

/// Whether a file does not exist, which may be the case for a moment while it is being copied.
#[must_use]
pub fn is_missing_file(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::NotFound
}
