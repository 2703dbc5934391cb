//! `laurelhitch serve`.

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

/// The environment's name of the log's level.
const LOG_VARIABLE: &str = "LAURELHITCH_LOG";
const DEFAULT_LOG_LEVEL: &str = "info";

/// Serves until SIGTERM.
pub(super) fn serve(operator: Option<PathBuf>, format: LogFormat) -> CommandResult {
    // Before all else: a signal that comes while the program still starts waits.
    let retry = StartRetry::begin();
    let signals = Rc::new(retry.run("signals", |_| true, SignalReceiver::new)?);
    let retry = retry.until_terminated(signals.clone());
    panic_containment::log_panics();
    // Nothing is taken before the start's end, so one that panics may begin anew.
    let started = retry.run("start", StartFailure::may_be_transient, || {
        let start = || start(operator.clone(), format, signals.clone(), &retry);
        match panic_containment::contain(start) {
            Ok(result) => result.map_err(StartFailure::Failed),
            Err(panicked) => Err(StartFailure::Panicked(panicked)),
        }
    });
    match started {
        Ok(gateway) => Ok(gateway.run()?),
        // Told to end while it waited for the machine: it has taken nothing, and owes nothing.
        Err(_) if signals.is_termination_pending() => Ok(()),
        Err(StartFailure::Failed(error)) => Err(error),
        Err(StartFailure::Panicked(panicked)) => Err(panicked.into()),
    }
}

/// Why a start brought no gateway.
enum StartFailure {
    /// Its own retries are over.
    Failed(Box<dyn Error>),
    Panicked(Panicked),
}

impl StartFailure {
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
        Config::read(&path)
    })?;
    let operated = retry.run("start", ConfigError::may_be_transient, || {
        OperatorSettings::read(operator.clone(), &config)
    })?;
    Ok(Lifecycle::start(signals, path, config, operated, retry)?)
}

fn start_log(format: LogFormat) {
    let level =
        EnvFilter::try_from_env(LOG_VARIABLE).unwrap_or_else(|_| EnvFilter::new(DEFAULT_LOG_LEVEL));
    let log = tracing_subscriber::fmt()
        .with_env_filter(level)
        .with_timer(UtcTime)
        .with_writer(|| LogWriter)
        // The library would print its own errors, and panic where that fails.
        .log_internal_errors(false)
        .with_ansi(false);
    // A start that begins anew finds its log there.
    let _ = match format {
        LogFormat::Text => log.try_init(),
        LogFormat::Json => log.json().try_init(),
    };
}
