//! Waiting for events, and recovery when a wait fails.
//!
//! Sockets are edge-triggered, so each event is reported once. A failed wait may have consumed
//! events and lost them. After a failure the gateway therefore checks for signals and treats all
//! sockets as ready. While waits keep failing, it serves by polling all sockets repeatedly.
//!
//! A wait that panics leaves the event loop in an undefined state, in which it may report no
//! further events. The gateway then continues without the event loop.

use std::thread;
use std::time::Duration;

use admission::interface::Timestamp;
use tracing::{error, warn};

use super::Lifecycle;
use crate::socket::{EventSource, LoopEvents};

/// Pause after the first failure of a series. It doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(1);

/// Upper limit of the backoff. Statements and answers of engines keep arriving during it.
const MAX_BACKOFF: Duration = Duration::from_millis(20);

/// Interval between two polls of all sockets without the event loop. It limits the added latency of
/// a statement, and polling hundreds of sockets takes a few percent of a core.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The failures since the last successful wait.
#[derive(Default)]
pub(super) struct LoopFailures {
    /// The backoff after the last failure, or `None` after a success.
    backoff: Option<Duration>,
    /// A wait has panicked, and the event loop is no longer used.
    is_disabled: bool,
}

impl LoopFailures {
    /// Returns the backoff after a further failure.
    fn next_backoff(&mut self) -> Duration {
        let backoff = self
            .backoff
            .map_or(INITIAL_BACKOFF, |backoff| (backoff * 2).min(MAX_BACKOFF));
        self.backoff = Some(backoff);
        backoff
    }
}

impl Lifecycle {
    /// Waits until an event arrives or `due` is reached. A failure of the event loop does not end
    /// the process, because statements are open.
    pub(super) fn wait(&mut self, due: Timestamp, ready: &mut LoopEvents) {
        if self.loop_failures.is_disabled {
            return self.poll_all_sources(due, ready);
        }
        let waited = self.contain(|gateway| {
            let handle = gateway.event_loop.handle();
            gateway.timer.arm(due, &gateway.clock, &handle)?;
            gateway.event_loop.dispatch(None, ready)
        });
        match waited {
            Some(Ok(())) => self.loop_failures = LoopFailures::default(),
            Some(Err(error)) => self.on_failed_wait(&error.to_string(), ready),
            None => {
                error!("the event loop panicked; polling all sockets from now on");
                self.service.counters.event_loop_failures += 1;
                self.loop_failures.is_disabled = true;
                self.poll_all_sources(due, ready);
            }
        }
    }

    /// Replaces the wait of a disabled event loop.
    fn poll_all_sources(&mut self, due: Timestamp, ready: &mut LoopEvents) {
        let remaining_s = (due - self.clock.now()).secs().max(0.0);
        thread::sleep(POLL_INTERVAL.min(Duration::from_secs_f64(remaining_s)));
        self.mark_all_ready(ready);
    }

    fn mark_all_ready(&mut self, ready: &mut LoopEvents) {
        ready.has_signals = true;
        ready.sources.extend(self.all_sources());
    }

    fn on_failed_wait(&mut self, error: &str, ready: &mut LoopEvents) {
        self.service.counters.event_loop_failures += 1;
        if self.loop_failures.backoff.is_none() {
            warn!(
                error,
                "a wait of the event loop failed; treating all sockets as ready and retrying"
            );
        }
        self.contain(|gateway| gateway.timer.disarm(&gateway.event_loop.handle()));
        thread::sleep(self.loop_failures.next_backoff());
        self.mark_all_ready(ready);
    }

    /// Returns every source that can become ready.
    fn all_sources(&mut self) -> Vec<EventSource> {
        let service = &mut self.service;
        let mut sources = vec![EventSource::Listener];
        sources.extend(service.sessions.event_sources());
        sources.extend(service.engines.event_sources());
        sources.extend(service.discovery.event_sources());
        if service.cluster().is_some() {
            sources.push(EventSource::PeerGateways);
        }
        sources
    }
}
