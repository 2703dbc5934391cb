//! The signals that a gateway handles, read from a descriptor.
//!
//! They are asked for before all else: one that comes while the program still starts waits, where it would have ended the
//! program by the machine's own rule. What is read here is not trusted to be whole: libraries that read signals panic where it
//! is not.

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

const HANDLED: [Signal; 4] = [
    Signal::SIGTERM,
    Signal::SIGINT,
    Signal::SIGHUP,
    Signal::SIGUSR1,
];

const RECORD_BYTES: usize = size_of::<signalfd_siginfo>();

/// Where the signal's number stands in a record, which begins with it.
const NUMBER_BYTES: usize = size_of::<u32>();

/// Reads of the descriptor at a time: the machine keeps one of each signal, and a read may be interrupted.
const MAX_READS: usize = 16;

/// Reads the signals of this process.
pub struct SignalReceiver {
    descriptor: Rc<SignalFd>,
    /// Signals that were read and not taken yet, one of each at most.
    unhandled: RefCell<Vec<Signal>>,
}

impl SignalReceiver {
    /// Blocks the signals from here on, and reads them instead.
    ///
    /// # Errors
    /// The machine is short of something. The signals are blocked all the same, and it may be tried again.
    pub fn new() -> io::Result<Self> {
        let handled: SigSet = HANDLED.into_iter().collect();
        handled.thread_block()?;
        let flags = SfdFlags::SFD_NONBLOCK | SfdFlags::SFD_CLOEXEC;
        Ok(SignalReceiver {
            descriptor: Rc::new(SignalFd::with_flags(&handled, flags)?),
            unhandled: RefCell::default(),
        })
    }

    /// Has the event loop tell of signals.
    ///
    /// # Errors
    /// The event loop cannot take the descriptor.
    pub(super) fn watch(&self, handle: &EventLoopHandle) -> calloop::Result<()> {
        // While one is unread each wait tells of it again.
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

    /// Takes the signals that came since the last call.
    pub(super) fn take(&self) -> Vec<Signal> {
        self.read();
        self.unhandled.take()
    }

    /// Whether one that ends the gateway came and was not taken yet.
    #[must_use]
    pub fn is_termination_pending(&self) -> bool {
        self.read();
        let unhandled = self.unhandled.borrow();
        unhandled.contains(&Signal::SIGTERM) || unhandled.contains(&Signal::SIGINT)
    }

    /// Reads what there is. What cannot be read now is read with the next call.
    fn read(&self) {
        let mut record = [0; RECORD_BYTES];
        for _ in 0..MAX_READS {
            match rustix::io::read(&*self.descriptor, &mut record) {
                Ok(RECORD_BYTES) => self.note(&record),
                Ok(_) | Err(Errno::INTR) => {}
                Err(_) => return,
            }
        }
    }

    fn note(&self, record: &[u8; RECORD_BYTES]) {
        let mut number = [0; NUMBER_BYTES];
        number.copy_from_slice(&record[..NUMBER_BYTES]);
        let Ok(signal) = Signal::try_from(u32::from_ne_bytes(number).cast_signed()) else {
            return;
        };
        let mut unhandled = self.unhandled.borrow_mut();
        if !unhandled.contains(&signal) {
            unhandled.push(signal);
        }
    }
}
