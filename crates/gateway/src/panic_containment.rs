//! Keeps a panic to the piece of work that it came from.
//!
//! A gateway is one thread and holds the statements of hundreds of clients. What one connection, one wait of the event loop
//! or one library meets must not take all of them along, so each such piece of work runs contained.

use std::any::Any;
use std::fmt;
use std::panic::{self, AssertUnwindSafe, PanicHookInfo};

use thiserror::Error;

use crate::log_output;

/// A piece of work panicked.
#[derive(Debug, Error)]
#[error("panicked: {}", message(&**payload))]
pub struct Panicked {
    payload: Box<dyn Any + Send>,
}

impl Panicked {
    /// Panics on, so that the process ends as if the panic had not been contained.
    pub fn resume(self) -> ! {
        panic::resume_unwind(self.payload)
    }
}

/// Runs a piece of work. What it had changed when it panicked stays changed: whoever calls gives up what the work was on.
///
/// # Errors
/// It panicked.
pub fn contain<T>(work: impl FnOnce() -> T) -> Result<T, Panicked> {
    panic::catch_unwind(AssertUnwindSafe(work)).map_err(|payload| Panicked { payload })
}

/// From here on a panic is one line of the log. The language's own report waits for whoever reads standard error.
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
        // One line, whatever the message is.
        let message = message(self.0.payload()).replace('\n', "; ");
        write!(f, ": {message}")
    }
}

/// What a panic says; those of other kinds than text say nothing.
fn message(payload: &(dyn Any + Send)) -> &str {
    let fixed = payload.downcast_ref::<&str>().copied();
    let composed = payload.downcast_ref::<String>().map(String::as_str);
    fixed.or(composed).unwrap_or("no message")
}
