//! One wait of the event loop, and what follows where it fails.
//!
//! Each socket tells of news only once. A wait that fails may have taken such events and lost them, so after it signals
//! are looked for and all sockets count as ready. While waits go on failing, the gateway serves by looking at all sockets
//! again and again.

use std::thread;
use std::time::Duration;

use admission::interface::Timestamp;
use tracing::warn;

use super::Lifecycle;
use crate::socket::{EventSource, LoopEvents};

/// The pause after the first failure of a series; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(1);

/// No pause is longer: statements go on coming, and their engines' answers.
const MAX_PAUSE: Duration = Duration::from_millis(20);

/// The failures since a wait last succeeded.
#[derive(Default)]
pub(super) struct LoopFailures {
    /// The pause after the last one; none: it succeeded.
    pause: Option<Duration>,
}

impl LoopFailures {
    /// The pause after a further failure.
    fn next_pause(&mut self) -> Duration {
        let pause = self
            .pause
            .map_or(FIRST_PAUSE, |pause| (pause * 2).min(MAX_PAUSE));
        self.pause = Some(pause);
        pause
    }
}

impl Lifecycle {
    /// Sleeps until something is ready or due. A failure of the event loop is no reason to end: statements are open.
    pub(super) fn wait(&mut self, due: Timestamp, ready: &mut LoopEvents) {
        let handle = self.event_loop.handle();
        let waited = self
            .timer
            .arm(due, &self.clock, &handle)
            .and_then(|()| self.event_loop.dispatch(None, ready));
        match waited {
            Ok(()) => self.loop_failures = LoopFailures::default(),
            Err(error) => self.on_failed_wait(&error, ready),
        }
    }

    fn on_failed_wait(&mut self, error: &calloop::Error, ready: &mut LoopEvents) {
        self.service.counters.event_loop_failures += 1;
        if self.loop_failures.pause.is_none() {
            warn!(%error, "a wait of the event loop failed; it goes on");
        }
        self.timer.disarm(&self.event_loop.handle());
        thread::sleep(self.loop_failures.next_pause());
        ready.has_signals = true;
        ready.sources.extend(self.all_sources());
    }

    /// Everything that can become ready.
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
