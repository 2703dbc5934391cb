//! Errors of system calls, by what they say: a shortage of this machine, a connection that has gone, or something that
//! passes by itself. The classes follow the calls' manual pages.

use std::io;

use rustix::io::Errno;

/// Out of descriptors, buffers, memory, ports or watches.
const SHORTAGES: [Errno; 7] = [
    Errno::AGAIN,
    Errno::MFILE,
    Errno::NFILE,
    Errno::NOBUFS,
    Errno::NOMEM,
    Errno::NOSPC,
    Errno::ADDRNOTAVAIL,
];

/// accept(2) passes these on from a connection that failed while it waited: the next one may be good.
const FAILED_WHILE_WAITING: [Errno; 15] = [
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

/// What may keep a file from being read for a while.
const FILE_UNREADABLE_FOR_NOW: [Errno; 5] = [
    Errno::BUSY,
    Errno::INTR,
    Errno::IO,
    Errno::STALE,
    Errno::TIMEDOUT,
];

fn is_one_of(error: &io::Error, class: &[Errno]) -> bool {
    Errno::from_io_error(error).is_some_and(|errno| class.contains(&errno))
}

/// Whether this machine or process is out of something; the peer has no part in it.
#[must_use]
pub fn is_resource_exhaustion(error: &io::Error) -> bool {
    is_one_of(error, &SHORTAGES)
}

/// Whether a read or a write on a connection that is up found the machine short of buffers. The connection stands, and no
/// event tells when there are some again.
#[must_use]
pub fn is_transfer_shortage(error: &io::Error) -> bool {
    is_one_of(error, &[Errno::NOBUFS, Errno::NOMEM])
}

/// Whether accepting failed because of the one connection that was next, which is gone.
#[must_use]
pub fn is_pending_connection_error(error: &io::Error) -> bool {
    is_one_of(error, &FAILED_WHILE_WAITING)
}

/// Whether a file that cannot be read now may be readable soon.
#[must_use]
pub fn is_transient_file_error(error: &io::Error) -> bool {
    is_resource_exhaustion(error) || is_one_of(error, &FILE_UNREADABLE_FOR_NOW)
}
