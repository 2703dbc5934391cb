//! The turns of the event loop. Each turn handles everything that one wait reported, as separate
//! pieces of work.
//!
//! A panic is contained in its piece of work, and costs only what that work was about: one
//! connection, one client in the backlog or one pass over due work. The next turn continues with
//! everything else. The process ends only when every turn panics for [`PANIC_TIMEOUT`], because its
//! platform then restarts it.

use std::thread;
use std::time::Duration;

use admission::interface::{TimeDelta, Timestamp};
use tracing::warn;

use super::phase::Phase;
use super::reload::PendingReload;
use super::{Lifecycle, StartError};
use crate::clients::SessionId;
use crate::panic_containment::{self, Panicked};
use crate::socket::{EventSource, LoopEvents};

/// A turn that begins later than this after it was due counts as late.
const LATE_TURN_THRESHOLD: TimeDelta = TimeDelta::from_micros(5_000);

/// The process ends when every turn has panicked for this long.
const PANIC_TIMEOUT: TimeDelta = TimeDelta::from_micros(10_000_000);

/// Pause after a turn that panicked, so that repeated panics do not use a whole core.
const PANIC_PAUSE: Duration = Duration::from_millis(1);

/// The panics of the current series of turns.
#[derive(Default)]
pub(super) struct TurnPanics {
    /// The last panic of this turn.
    last: Option<Panicked>,
    /// The start of the series in which every turn has panicked, or `None`.
    since: Option<Timestamp>,
}

impl TurnPanics {
    /// Returns whether this turn panicked. Resumes the panic when every turn has panicked for too
    /// long.
    fn end_turn(&mut self, now: Timestamp) -> bool {
        let Some(last) = self.last.take() else {
            self.since = None;
            return false;
        };
        let since = *self.since.get_or_insert(now);
        if now - since > PANIC_TIMEOUT {
            last.resume();
        }
        true
    }
}

impl Lifecycle {
    /// Runs until the gateway exits after SIGTERM or SIGINT.
    ///
    /// # Errors
    /// The address for clients cannot be bound.
    pub fn run(mut self) -> Result<(), StartError> {
        let mut ready = LoopEvents::default();
        let mut busy_s = 0.0;
        while self.phase != Phase::Exited {
            let due = self.contain(Lifecycle::next_due);
            let due = due.unwrap_or_else(|| self.clock.now());
            self.wait(due, &mut ready);
            let now = self.clock.now();
            self.turn(now, due, &mut ready)?;
            if self.panics.end_turn(now) {
                thread::sleep(PANIC_PAUSE);
            }
            let turn_s = (self.clock.now() - now).secs();
            busy_s += turn_s;
            let counters = &mut self.service.counters;
            counters.busy_ms = (busy_s * 1e3) as u64;
            counters.longest_turn_ms = counters.longest_turn_ms.max((turn_s * 1e3) as u64);
        }
        self.print_counters();
        Ok(())
    }

    /// Runs a piece of work and contains its panics. Returns `None` when it panicked.
    pub(super) fn contain<T>(&mut self, work: impl FnOnce(&mut Self) -> T) -> Option<T> {
        match panic_containment::contain(|| work(self)) {
            Ok(result) => Some(result),
            Err(panicked) => {
                self.service.counters.panics += 1;
                self.panics.last = Some(panicked);
                None
            }
        }
    }

    fn next_due(&mut self) -> Timestamp {
        let now = self.clock.now();
        let due = [
            self.acceptor.next_due(now),
            self.phase.due(now),
            self.pending_reload.as_ref().map(PendingReload::due),
        ];
        due.into_iter()
            .flatten()
            .fold(self.service.next_due(now), Timestamp::min)
    }

    /// Handles everything that one wait of the event loop reported.
    fn turn(
        &mut self,
        now: Timestamp,
        due: Timestamp,
        ready: &mut LoopEvents,
    ) -> Result<(), StartError> {
        if std::mem::take(&mut ready.timer_fired) {
            self.timer.on_fired();
        }
        self.service.begin_turn();
        self.service.counters.turns += 1;
        if now - due > LATE_TURN_THRESHOLD {
            self.service.counters.late_turns += 1;
        }
        if std::mem::take(&mut ready.has_signals) {
            for signal in self.signals.take() {
                self.contain(|gateway| gateway.on_signal(now, signal));
            }
        }
        self.contain(|gateway| gateway.retry_reload(now));
        for changed in std::mem::take(&mut ready.key_changes) {
            self.contain(|gateway| gateway.reload_key_files(changed));
        }
        for source in std::mem::take(&mut ready.sources) {
            let handled = self.contain(|gateway| gateway.on_ready(now, source));
            if handled.is_none() {
                self.contain(|gateway| gateway.abandon(now, source));
            }
        }
        self.contain(|gateway| gateway.accept(now));
        self.contain(|gateway| gateway.service.turn(now));
        let advanced = self.contain(|gateway| gateway.advance_phase(now));
        advanced.unwrap_or(Ok(()))
    }

    fn on_ready(&mut self, now: Timestamp, source: EventSource) {
        let service = &mut self.service;
        let counters = &mut service.counters;
        match source {
            EventSource::Listener => self.acceptor.on_ready(),
            EventSource::Client(id) => service.sessions.on_ready(now, SessionId(id), counters),
            EventSource::Engine(connection) => {
                service.engines.on_socket_event(now, connection, counters);
            }
            EventSource::Discovery(poll) => service.discovery.on_ready(now, poll, counters),
            EventSource::PeerGateways => {
                if let Some(cluster) = service.cluster() {
                    cluster.set_readable();
                }
            }
        }
    }

    /// Drops the connection whose event handler panicked, because its state may be inconsistent.
    fn abandon(&mut self, now: Timestamp, source: EventSource) {
        warn!(
            ?source,
            "panic while handling an event; its connection, if any, is dropped"
        );
        let service = &mut self.service;
        let counters = &mut service.counters;
        match source {
            EventSource::Listener | EventSource::PeerGateways => {}
            EventSource::Client(id) => service.sessions.abandon(SessionId(id), counters),
            EventSource::Engine(connection) => {
                service
                    .engines
                    .abandon_connection(now, connection, counters);
            }
            EventSource::Discovery(poll) => service.discovery.abandon_poll(now, poll, counters),
        }
    }

    pub(super) fn accept(&mut self, now: Timestamp) {
        let service = &mut self.service;
        self.acceptor
            .accept(now, &mut service.sessions, &mut service.counters);
    }
}
