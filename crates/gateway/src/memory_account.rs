//! One account of the memory that peers make the gateway hold: unread input, statements, requests to
//! engines, their responses, and output that clients have not read.
//!
//! Each holder keeps a [`HeldBytes`] that it updates whenever its buffers change. Before it reads
//! more from a peer, it asks how much is [`available`](MemoryAccount::available) for its purpose.
//! Input of clients runs out first, so that what has been accepted can be completed. Output that
//! clients have not read takes no room from input: it is what goes when the limit is exceeded.

use std::cell::Cell;
use std::rc::Rc;

/// Fraction of the process's memory that peers may take. The rest is for the program, its tables,
/// what every peer may hold however little is available, and the allocator.
const HELD_MEMORY_FRACTION: f64 = 0.3;

/// The divisor of the limit up to which large input of clients is read. A statement exists at most
/// twice, as its text and as a request to an engine, and the last part is for responses.
const CLIENT_INPUT_DIVISOR: usize = 3;

/// Free memory is returned to the system once so many bytes less are held than before.
const MIN_RETURNED_BYTES: usize = 1 << 20;

const BYTES_PER_MB: f64 = (1 << 20) as f64;

/// What memory is needed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Input of a client.
    ClientInput,
    /// A response of an engine.
    EngineResponse,
}

/// Who decides when held bytes are released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Release {
    /// The work that they are needed for ends in time.
    WithWork,
    /// The client that they are written to reads them.
    ByReader,
}

/// The bytes that all peers together make the gateway hold, and the limit on them.
#[derive(Debug)]
pub struct MemoryAccount {
    limit: usize,
    held: Cell<usize>,
    /// The part of the held bytes that clients have to read.
    unread_output: Cell<usize>,
    peak: Cell<usize>,
    /// The most bytes that were held at a time since free memory was last returned.
    recent_peak: Cell<usize>,
}

impl MemoryAccount {
    /// Creates an account for a process that may use this much memory.
    #[must_use]
    pub fn for_process(memory_mb: f64) -> Rc<Self> {
        Self::with_limit((memory_mb * HELD_MEMORY_FRACTION * BYTES_PER_MB) as usize)
    }

    /// Creates an account with a limit in bytes.
    #[must_use]
    pub fn with_limit(limit: usize) -> Rc<Self> {
        Rc::new(MemoryAccount {
            limit,
            held: Cell::new(0),
            unread_output: Cell::new(0),
            peak: Cell::new(0),
            recent_peak: Cell::new(0),
        })
    }

    /// The bytes that are held now.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held.get()
    }

    /// The most bytes that were held at a time.
    #[must_use]
    pub fn peak(&self) -> usize {
        self.peak.get()
    }

    /// Whether much less is held than was before. If so, the caller returns free memory to the
    /// system, and the comparison begins anew.
    #[must_use]
    pub fn take_return_due(&self) -> bool {
        let released = self.recent_peak.get() - self.held();
        if released < MIN_RETURNED_BYTES {
            return false;
        }
        self.recent_peak.set(self.held());
        true
    }

    /// How many further bytes may be held for this purpose.
    #[must_use]
    pub fn available(&self, purpose: Purpose) -> usize {
        match purpose {
            Purpose::ClientInput => {
                let held_for_work = self.held() - self.unread_output.get();
                (self.limit / CLIENT_INPUT_DIVISOR).saturating_sub(held_for_work)
            }
            Purpose::EngineResponse => self.limit.saturating_sub(self.held()),
        }
    }

    /// Whether more is held than the limit allows.
    #[must_use]
    pub fn is_exceeded(&self) -> bool {
        self.held() > self.limit
    }
}

/// What one holder has on the account. Dropping it gives everything back.
#[derive(Debug)]
pub struct HeldBytes {
    account: Rc<MemoryAccount>,
    release: Release,
    bytes: usize,
}

impl HeldBytes {
    /// Creates a holder of nothing.
    #[must_use]
    pub fn none(account: &Rc<MemoryAccount>) -> Self {
        Self::new(account, Release::WithWork)
    }

    /// Creates a holder of output that a client has to read, of which there is none yet.
    #[must_use]
    pub fn no_output(account: &Rc<MemoryAccount>) -> Self {
        Self::new(account, Release::ByReader)
    }

    fn new(account: &Rc<MemoryAccount>, release: Release) -> Self {
        HeldBytes {
            account: account.clone(),
            release,
            bytes: 0,
        }
    }

    /// The account.
    #[must_use]
    pub fn account(&self) -> &MemoryAccount {
        &self.account
    }

    /// The bytes of this holder.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the bytes of this holder.
    pub fn set(&mut self, bytes: usize) {
        let others = self.account.held() - self.bytes;
        let held = others + bytes;
        self.account.held.set(held);
        if self.release == Release::ByReader {
            let others = self.account.unread_output.get() - self.bytes;
            self.account.unread_output.set(others + bytes);
        }
        self.account.peak.set(self.account.peak().max(held));
        let recent_peak = self.account.recent_peak.get().max(held);
        self.account.recent_peak.set(recent_peak);
        self.bytes = bytes;
    }

    /// How many bytes this holder could have in all, if it took what is available for this purpose.
    #[must_use]
    pub fn max_bytes(&self, purpose: Purpose) -> usize {
        self.bytes + self.account.available(purpose)
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.set(0);
    }
}
