//! Handles the signals of the gateway through a signalfd descriptor.
//!
//! The signals are blocked before anything else, so that one that arrives during the start stays
//! pending instead of ending the process by its default action. The records are read here and not
//! by a library, because the libraries that read signals panic on a truncated record.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;

use calloop::generic::Generic;
use calloop::{Interest, Mode, PostAction};
use nix::libc::signalfd_siginfo;
use nix::sys::signal::{SigSet, Signal};
use nix::sys::signalfd::{SfdFlags, SignalFd};
use rustix::io::Errno;

use crate::socket::{EventLoopHandle, LoopEvents};

const HANDLED_SIGNALS: [Signal; 4] = [
    Signal::SIGTERM,
    Signal::SIGINT,
    Signal::SIGHUP,
    Signal::SIGUSR1,
];

const RECORD_BYTES: usize = size_of::<signalfd_siginfo>();

/// Size of the signal number, which is the first field of a record.
const SIGNAL_NUMBER_BYTES: usize = size_of::<u32>();

/// Limit on reads per call. The kernel keeps at most one pending signal of each kind, and reads may
/// be interrupted.
const MAX_READS: usize = 16;

/// Reads the signals of this process.
pub struct SignalReceiver {
    descriptor: Rc<SignalFd>,
    /// Signals that were read and not taken yet, at most one of each kind.
    pending: RefCell<Vec<Signal>>,
}

impl SignalReceiver {
    /// Blocks the handled signals and opens a descriptor to read them.
    ///
    /// # Errors
    /// A resource is short. The signals are blocked even so, and the call may be repeated.
    pub fn new() -> io::Result<Self> {
        let handled: SigSet = HANDLED_SIGNALS.into_iter().collect();
        handled.thread_block()?;
        let flags = SfdFlags::SFD_NONBLOCK | SfdFlags::SFD_CLOEXEC;
        Ok(SignalReceiver {
            descriptor: Rc::new(SignalFd::with_flags(&handled, flags)?),
            pending: RefCell::default(),
        })
    }

    /// Registers the descriptor with the event loop.
    ///
    /// # Errors
    /// The event loop cannot register the descriptor.
    pub(super) fn watch(&self, handle: &EventLoopHandle) -> calloop::Result<()> {
        // Level-triggered: every wait reports the descriptor as long as a signal is unread.
        let source = Generic::new(self.descriptor.clone(), Interest::READ, Mode::Level);
        let on_ready = |_, _: &mut _, ready: &mut LoopEvents| {
            ready.has_signals = true;
            Ok(PostAction::Continue)
        };
        handle
            .insert_source(source, on_ready)
            .map(drop)
            .map_err(|failure| failure.error)
    }

    /// Returns the signals that arrived since the last call.
    pub(super) fn take(&self) -> Vec<Signal> {
        self.read();
        self.pending.take()
    }

    /// Whether SIGTERM or SIGINT has arrived and was not taken yet.
    #[must_use]
    pub fn is_termination_pending(&self) -> bool {
        self.read();
        let pending = self.pending.borrow();
        pending.contains(&Signal::SIGTERM) || pending.contains(&Signal::SIGINT)
    }

    /// Reads all available signals. After a failure the next call continues.
    fn read(&self) {
        let mut record = [0; RECORD_BYTES];
        for _ in 0..MAX_READS {
            match rustix::io::read(&*self.descriptor, &mut record) {
                Ok(RECORD_BYTES) => self.record_signal(&record),
                Ok(_) | Err(Errno::INTR) => {}
                Err(_) => return,
            }
        }
    }

    fn record_signal(&self, record: &[u8; RECORD_BYTES]) {
        let mut number = [0; SIGNAL_NUMBER_BYTES];
        number.copy_from_slice(&record[..SIGNAL_NUMBER_BYTES]);
        let Ok(signal) = Signal::try_from(u32::from_ne_bytes(number).cast_signed()) else {
            return;
        };
        let mut pending = self.pending.borrow_mut();
        if !pending.contains(&signal) {
            pending.push(signal);
        }
    }
}
