//! `laurelhitch serve`: runs the gateway.

use std::error::Error;
use std::fmt;
use std::path::PathBuf;
use std::rc::Rc;

use tracing_subscriber::EnvFilter;

use super::{CommandResult, LogFormat, config_path};
use crate::config::{Config, ConfigError, OperatorSettings};
use crate::lifecycle::Lifecycle;
use crate::lifecycle::signals::SignalReceiver;
use crate::lifecycle::start_retry::StartRetry;
use crate::log_output::LogWriter;
use crate::log_time::UtcTime;
use crate::panic_containment::{self, Panicked};

/// The environment variable that holds the log level.
const LOG_VARIABLE: &str = "LAURELHITCH_LOG";
const DEFAULT_LOG_LEVEL: &str = "info";

/// Runs the gateway until SIGTERM.
pub(super) fn serve(operator: Option<PathBuf>, format: LogFormat) -> CommandResult {
    // Set up signals first, so that a signal during startup stays pending until it can be handled.
    let retry = StartRetry::begin();
    let signals = Rc::new(retry.run("signals", |_| true, SignalReceiver::new)?);
    let retry = retry.until_terminated(signals.clone());
    panic_containment::log_panics();
    // No connection is accepted before the start is complete, so a start that panics can be
    // retried.
    let started = retry.run("start", StartFailure::may_be_transient, || {
        let start = || start(operator.clone(), format, signals.clone(), &retry);
        match panic_containment::contain(start) {
            Ok(result) => result.map_err(StartFailure::Failed),
            Err(panicked) => Err(StartFailure::Panicked(panicked)),
        }
    });
    match started {
        Ok(gateway) => Ok(gateway.run()?),
        // Terminated while the start was being retried. No client is waiting for a response.
        Err(_) if signals.is_termination_pending() => Ok(()),
        Err(StartFailure::Failed(error)) => Err(error),
        Err(StartFailure::Panicked(panicked)) => Err(panicked.into()),
    }
}

/// Why the gateway could not be started.
enum StartFailure {
    /// A step of the start failed for good, or still failed after its own retries.
    Failed(Box<dyn Error>),
    /// The start panicked.
    Panicked(Panicked),
}

impl StartFailure {
    /// Whether the start may be retried as a whole.
    fn may_be_transient(&self) -> bool {
        matches!(self, StartFailure::Panicked(_))
    }
}

impl fmt::Display for StartFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartFailure::Failed(error) => error.fmt(f),
            StartFailure::Panicked(panicked) => panicked.fmt(f),
        }
    }
}

fn start(
    operator: Option<PathBuf>,
    format: LogFormat,
    signals: Rc<SignalReceiver>,
    retry: &StartRetry,
) -> Result<Lifecycle, Box<dyn Error>> {
    retry.seed_hash_tables()?;
    start_log(format);
    let path = config_path(None)?;
    let config = retry.run("start", ConfigError::may_be_transient, || {
        Config::read_settled(&path)
    })?;
    let settings = retry.run("start", ConfigError::may_be_transient, || {
        OperatorSettings::read_settled(operator.clone(), &config)
    })?;
    Ok(Lifecycle::start(signals, path, config, settings, retry)?)
}

fn start_log(format: LogFormat) {
    let level =
        EnvFilter::try_from_env(LOG_VARIABLE).unwrap_or_else(|_| EnvFilter::new(DEFAULT_LOG_LEVEL));
    let log = tracing_subscriber::fmt()
        .with_env_filter(level)
        .with_timer(UtcTime)
        .with_writer(|| LogWriter)
        // Otherwise the library prints its own errors to standard error, and panics if that fails.
        .log_internal_errors(false)
        .with_ansi(false);
    // In a retried start the log is already set up, and `try_init` fails.
    let _ = match format {
        LogFormat::Text => log.try_init(),
        LogFormat::Json => log.json().try_init(),
    };
}
