//! Contains a panic in the piece of work that caused it.
//!
//! A gateway runs on one thread and holds the statements of hundreds of clients. A fault in one
//! connection, one wait of the event loop or one library must not end all of them, so each piece of
//! work runs contained.

use std::any::Any;
use std::fmt;
use std::panic::{self, AssertUnwindSafe, PanicHookInfo};

use thiserror::Error;

use crate::log_output;

/// A contained panic.
#[derive(Debug, Error)]
#[error("panicked: {}", message(&**payload))]
pub struct Panicked {
    payload: Box<dyn Any + Send>,
}

impl Panicked {
    /// Resumes the panic, so that the process ends as if it had not been contained.
    pub fn resume(self) -> ! {
        panic::resume_unwind(self.payload)
    }
}

/// Runs a piece of work and catches its panics. Changes made before the panic remain, so the caller
/// has to discard the state that the work operated on.
///
/// # Errors
/// The work panicked.
pub fn contain<T>(work: impl FnOnce() -> T) -> Result<T, Panicked> {
    panic::catch_unwind(AssertUnwindSafe(work)).map_err(|payload| Panicked { payload })
}

/// Reports panics as single lines of the log from now on. The default report would block while the
/// reader of standard error is slow.
pub fn log_panics() {
    panic::set_hook(Box::new(|panicked| {
        log_output::write_line_unless_writing(&PanicLine(panicked).to_string());
    }));
}

struct PanicLine<'a, 'b>(&'a PanicHookInfo<'b>);

impl fmt::Display for PanicLine<'_, '_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("laurelhitch: panic")?;
        if let Some(location) = self.0.location() {
            write!(f, " at {location}")?;
        }
        // A message with several lines is joined into one.
        let message = message(self.0.payload()).replace('\n', "; ");
        write!(f, ": {message}")
    }
}

/// Returns the message of a panic, or a fixed text when the payload is not a string.
fn message(payload: &(dyn Any + Send)) -> &str {
    let static_text = payload.downcast_ref::<&str>().copied();
    let formatted_text = payload.downcast_ref::<String>().map(String::as_str);
    static_text.or(formatted_text).unwrap_or("no message")
}
