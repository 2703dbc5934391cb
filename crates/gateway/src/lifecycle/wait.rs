//! One wait of the event loop, and what follows where it fails.
//!
//! Each socket tells of news only once. A wait that fails may have taken such events and lost them, so after it signals
//! are looked for and all sockets count as ready. While waits go on failing, the gateway serves by looking at all sockets
//! again and again.
//!
//! A wait that panics leaves the event loop in a state of which nothing is promised, and it was seen to report no event from
//! then on. The gateway serves without it then.

use std::thread;
use std::time::Duration;

use admission::interface::Timestamp;
use tracing::{error, warn};

use super::Lifecycle;
use crate::socket::{EventSource, LoopEvents};

/// The pause after the first failure of a series; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(1);

/// No pause is longer: statements go on coming, and their engines' answers.
const MAX_PAUSE: Duration = Duration::from_millis(20);

/// Between two looks at all sockets, where the event loop is out of use: a statement waits so long at most, and hundreds of
/// sockets take a few percent of a core.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);

/// The failures since a wait last succeeded.
#[derive(Default)]
pub(super) struct LoopFailures {
    /// The pause after the last one; none: it succeeded.
    pause: Option<Duration>,
    /// A wait panicked, and no other one is made.
    is_out_of_use: bool,
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
        if self.loop_failures.is_out_of_use {
            return self.look_at_all(due, ready);
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
                error!("the event loop panicked; all sockets are looked at from here on");
                self.service.counters.event_loop_failures += 1;
                self.loop_failures.is_out_of_use = true;
                self.look_at_all(due, ready);
            }
        }
    }

    /// Stands in for the event loop.
    fn look_at_all(&mut self, due: Timestamp, ready: &mut LoopEvents) {
        let remaining_s = (due - self.clock.now()).secs().max(0.0);
        thread::sleep(LOOK_INTERVAL.min(Duration::from_secs_f64(remaining_s)));
        self.mark_all_ready(ready);
    }

    fn mark_all_ready(&mut self, ready: &mut LoopEvents) {
        ready.has_signals = true;
        ready.sources.extend(self.all_sources());
    }

    fn on_failed_wait(&mut self, why: &str, ready: &mut LoopEvents) {
        self.service.counters.event_loop_failures += 1;
        if self.loop_failures.pause.is_none() {
            warn!(why, "a wait of the event loop failed; it goes on");
        }
        self.contain(|gateway| gateway.timer.disarm(&gateway.event_loop.handle()));
        thread::sleep(self.loop_failures.next_pause());
        self.mark_all_ready(ready);
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
