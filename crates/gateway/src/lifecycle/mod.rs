//! The gateway process from start to exit: the event loop, signals, reloads and the phases.
//!
//! The event loop works in turns: a turn is one iteration, which waits for events and then handles
//! all of them.

mod acceptor;
mod phase;
mod reload;
pub mod signals;
mod start;
pub mod start_retry;
mod timer;
mod turn;
mod wait;

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use admission::interface::Timestamp;
use calloop::EventLoop;
use identity::KeyIndexError;
use nix::sys::signal::Signal;
use settings::SettingsError;
use thiserror::Error;
use tracing::{info, warn};

use self::acceptor::Acceptor;
pub use self::phase::DrainTimes;
use self::phase::{Conditions, Phase, Transition};
use self::reload::PendingReload;
use self::signals::SignalReceiver;
use self::start_retry::NoRandomBytes;
use self::timer::WakeTimer;
use self::turn::TurnPanics;
use self::wait::LoopFailures;
use crate::clock::Clock;
use crate::cluster::{ClusterEndpoint, ClusterError};
use crate::config::{Config, OperatorSettings};
use crate::keywatch::WatchError;
use crate::log_output;
use crate::service::Service;
use crate::socket::LoopEvents;

/// Why the gateway cannot start or has to exit.
#[derive(Debug, Error)]
pub enum StartError {
    /// The address for clients cannot be bound.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// The event loop failed.
    #[error("event loop failed: {0}")]
    Loop(#[from] calloop::Error),
    /// The thread that watches key files cannot be started.
    #[error("cannot start the thread that watches the key files: {0}")]
    KeyWatch(io::Error),
    /// A setting is missing or invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The key files or the certificate cannot be used.
    #[error(transparent)]
    KeyFiles(#[from] WatchError),
    /// The key index is inconsistent.
    #[error(transparent)]
    Keys(#[from] KeyIndexError),
    /// The gateway cannot join the fleet.
    #[error(transparent)]
    Cluster(#[from] ClusterError),
    /// The system provides no random bytes to seed the hash tables.
    #[error(transparent)]
    RandomBytes(#[from] NoRandomBytes),
}

/// One gateway, from its start to its exit.
pub struct Lifecycle {
    phase: Phase,
    event_loop: EventLoop<'static, LoopEvents>,
    signals: Rc<SignalReceiver>,
    acceptor: Acceptor,
    clock: Clock,
    timer: WakeTimer,
    loop_failures: LoopFailures,
    panics: TurnPanics,
    service: Service,
    drain_times: DrainTimes,
    /// The file that the configuration is read from.
    config_path: PathBuf,
    /// The configuration in force. Its endpoint events were moved into the service.
    config: Config,
    /// The part of the operator's file that is in force.
    operator_settings: OperatorSettings,
    /// A reload after SIGHUP that waits for a file that is not readable yet.
    pending_reload: Option<PendingReload>,
}

impl Lifecycle {
    fn on_signal(&mut self, now: Timestamp, signal: Signal) {
        match signal {
            Signal::SIGUSR1 => self.print_counters(),
            Signal::SIGHUP => self.reload(now),
            _ => self.drain(now),
        }
    }

    /// Starts draining. Does nothing when the gateway is already draining or has gone further.
    fn drain(&mut self, now: Timestamp) {
        let Some(draining) = self.phase.after_termination_signal(now, self.drain_times) else {
            return;
        };
        info!("draining: open statements are answered before the gateway exits");
        self.phase = draining;
        self.service.drain_by(now + self.drain_times.answered);
        if let Some(cluster) = self.service.cluster() {
            cluster.leave(now);
        }
    }

    fn advance_phase(&mut self, now: Timestamp) -> Result<(), StartError> {
        let conditions = Conditions {
            has_endpoints: self.service.has_endpoints(),
            has_statement: self.service.counters.statements_accepted > 0,
            all_answered: self.service.all_answered(),
            all_closed: self.service.sessions.is_empty(),
        };
        match self.phase.transition(now, conditions) {
            None => {}
            Some(Transition::Listen) => self.try_listen(now)?,
            Some(Transition::Serve) => {
                info!("serving: the first statement arrived");
                self.phase = Phase::Serving;
            }
            Some(Transition::Close { exit_by }) => {
                self.close_sessions(now, exit_by);
            }
            Some(Transition::Exit) => {
                info!(
                    open = self.service.counters.open(),
                    sessions = self.service.sessions.len(),
                    "exiting"
                );
                self.phase = Phase::Exited;
            }
        }
        Ok(())
    }

    fn try_listen(&mut self, now: Timestamp) -> Result<(), StartError> {
        let Err(error) = self.listen() else {
            self.phase = Phase::Ready;
            return Ok(());
        };
        if matches!(self.phase, Phase::Starting { .. }) {
            warn!(%error, "cannot listen for clients; retrying");
        }
        match self.phase.after_failed_listen(now) {
            Some(phase) => {
                self.phase = phase;
                Ok(())
            }
            None => Err(error),
        }
    }

    fn listen(&mut self) -> Result<(), StartError> {
        let handle = self.event_loop.handle();
        self.acceptor.listen(self.config.listen, &handle)?;
        if !self.service.has_endpoints() {
            warn!("no endpoint list yet; statements are rejected until one arrives");
        }
        info!(listen = %self.config.listen, "ready");
        Ok(())
    }

    /// Shuts down all sessions and closes the listening socket, unless connections or statements
    /// have arrived that have to be answered first.
    fn close_sessions(&mut self, now: Timestamp, exit_by: Timestamp) {
        // Connections in the backlog count as received, even if the event loop has not reported
        // them yet.
        self.acceptor.on_ready();
        self.accept(now);
        let service = &mut self.service;
        let shut_down = !self.acceptor.has_backlog()
            && service
                .sessions
                .try_shut_down_all(now, &mut service.counters);
        if shut_down {
            self.acceptor.close();
            info!(sessions = self.service.sessions.len(), "closing sessions");
            self.phase = Phase::closing(now, exit_by);
        }
    }

    /// Prints the counters at any log level, because they were requested explicitly.
    fn print_counters(&mut self) {
        self.service.update_counters();
        self.service.counters.log_lines_lost = log_output::lost_lines();
        let now = self.clock.now();
        let fleet = self
            .service
            .cluster()
            .map_or_else(String::new, |cluster: &mut ClusterEndpoint| {
                cluster.counters(now)
            });
        let service = &self.service;
        log_output::write_line(&format!(
            "counters: {}{fleet}open={} waiting={} sessions={} engine_connections_open={} engines_ejected={} discovery_polls_open={}",
            service.counters,
            service.counters.open(),
            service.waiting(),
            service.sessions.len(),
            service.engines.connection_count(),
            service.ejected_engines(),
            service.discovery.open_polls()
        ));
    }
}
