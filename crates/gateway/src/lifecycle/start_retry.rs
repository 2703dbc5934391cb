//! Retries the steps of the start that fail for a while: a shortage of descriptors, buffers or
//! memory, an unreadable file, or an address in use. The process exits only when a step still fails
//! after 25 s.

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

/// How long a start retries. The platform gives up on a gateway that is not ready 30 s after its
/// start.
const RETRY_TIMEOUT: Duration = Duration::from_secs(25);

/// Interval between two attempts, each of which costs a few system calls.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// [`RETRY_TIMEOUT`] in the event loop's unit of time.
pub(super) const LISTEN_RETRY_TIMEOUT: TimeDelta = TimeDelta::from_micros(25_000_000);

/// [`RETRY_INTERVAL`] in the event loop's unit of time.
pub(super) const LISTEN_RETRY_INTERVAL: TimeDelta = TimeDelta::from_micros(50_000);

/// The system provides no random bytes, which the standard library needs to create hash tables.
#[derive(Clone, Copy, Debug, Error)]
#[error("the operating system provides no random bytes")]
pub struct NoRandomBytes;

/// The retry policy of one start.
#[derive(Clone)]
pub struct StartRetry {
    /// When to give up, as a time on the monotonic clock.
    give_up_at: Duration,
    /// A termination signal ends the retries. `None` before signals can be read.
    signals: Option<Rc<SignalReceiver>>,
}

impl StartRetry {
    /// Returns the policy of a start that begins now.
    #[must_use]
    pub fn begin() -> Self {
        StartRetry {
            give_up_at: monotonic_now() + RETRY_TIMEOUT,
            signals: None,
        }
    }

    /// Returns the same policy, which also stops at a termination signal.
    #[must_use]
    pub fn until_terminated(self, signals: Rc<SignalReceiver>) -> Self {
        StartRetry {
            signals: Some(signals),
            ..self
        }
    }

    fn is_exhausted(&self) -> bool {
        let is_terminated = self
            .signals
            .as_ref()
            .is_some_and(|signals| signals.is_termination_pending());
        is_terminated || monotonic_now() >= self.give_up_at
    }

    /// Repeats `attempt` until it succeeds, fails with an error that is not transient, or the time
    /// is over. Writes the first failure to the log.
    ///
    /// # Errors
    /// Returns the last failure.
    pub fn run<T, E: Display>(
        &self,
        step: &str,
        may_be_transient: impl Fn(&E) -> bool,
        mut attempt: impl FnMut() -> Result<T, E>,
    ) -> Result<T, E> {
        let mut is_first_failure = true;
        loop {
            let error = match attempt() {
                Ok(value) => return Ok(value),
                Err(error) => error,
            };
            if !may_be_transient(&error) || self.is_exhausted() {
                return Err(error);
            }
            if is_first_failure {
                let line = format!("laurelhitch: {step}: {error}; it is tried again");
                log_output::write_line(&line);
            }
            is_first_failure = false;
            thread::sleep(RETRY_INTERVAL);
        }
    }

    /// Makes the standard library draw the random seed of its hash tables. It does so once per
    /// thread, and panics when the system provides no random bytes.
    ///
    /// # Errors
    /// No random bytes were available before the time was over.
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
