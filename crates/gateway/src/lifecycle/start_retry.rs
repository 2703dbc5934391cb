//! A start tries again what the machine refuses for a moment: descriptors, buffers, memory, a file, an address. Only what it
//! refuses for 25 s ends the program.

use std::fmt::Display;
use std::hash::RandomState;
use std::panic::catch_unwind;
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use admission::interface::TimeDelta;
use thiserror::Error;

use super::signals::SignalReceiver;
use crate::clock::monotonic_now;
use crate::log_output;

/// How long a start tries. A gateway that is not ready 30 s after its start is given up by its platform.
const PATIENCE: Duration = Duration::from_secs(25);

/// Between two tries; one of them costs a few system calls.
const PAUSE: Duration = Duration::from_millis(50);

/// [`PATIENCE`] for the event loop's clock.
pub(super) const LISTEN_PATIENCE: TimeDelta = TimeDelta::from_micros(25_000_000);

/// [`PAUSE`] for the event loop's clock.
pub(super) const LISTEN_PAUSE: TimeDelta = TimeDelta::from_micros(50_000);

/// The machine gives no random bytes, without which there are no hash tables.
#[derive(Clone, Copy, Debug, Error)]
#[error("the machine gives no random bytes")]
pub struct NoRandomBytes;

/// The patience of one start.
#[derive(Clone)]
pub struct StartRetry {
    /// On the monotonic clock.
    give_up_at: Duration,
    /// One that ends the gateway ends its patience; none before signals can be read.
    signals: Option<Rc<SignalReceiver>>,
}

impl StartRetry {
    /// The patience of a start that begins now.
    #[must_use]
    pub fn begin() -> Self {
        StartRetry {
            give_up_at: monotonic_now() + PATIENCE,
            signals: None,
        }
    }

    /// The same patience, which ends with a signal that ends the gateway.
    #[must_use]
    pub fn until_terminated(self, signals: Rc<SignalReceiver>) -> Self {
        StartRetry {
            signals: Some(signals),
            ..self
        }
    }

    fn is_over(&self) -> bool {
        let is_terminated = self
            .signals
            .as_ref()
            .is_some_and(|signals| signals.is_termination_pending());
        is_terminated || monotonic_now() >= self.give_up_at
    }

    /// Tries until it succeeds, fails for good or the patience is over. The first failure goes to the log.
    ///
    /// # Errors
    /// The last failure.
    pub fn run<T, E: Display>(
        &self,
        what: &str,
        may_be_transient: impl Fn(&E) -> bool,
        mut attempt: impl FnMut() -> Result<T, E>,
    ) -> Result<T, E> {
        let mut is_first_failure = true;
        loop {
            let error = match attempt() {
                Ok(value) => return Ok(value),
                Err(error) => error,
            };
            if !may_be_transient(&error) || self.is_over() {
                return Err(error);
            }
            if is_first_failure {
                let line = format!("laurelhitch: {what}: {error}; it is tried again");
                log_output::write_line(&line);
            }
            is_first_failure = false;
            thread::sleep(PAUSE);
        }
    }

    /// Lets the standard library draw the seed of its hash tables, which it does once, and panics where the machine gives no
    /// random bytes.
    ///
    /// # Errors
    /// It gives none for too long.
    pub fn seed_hash_tables(&self) -> Result<(), NoRandomBytes> {
        self.run(
            "hash tables",
            |_| true,
            || {
                catch_unwind(RandomState::new)
                    .map(drop)
                    .map_err(|_| NoRandomBytes)
            },
        )
    }
}
