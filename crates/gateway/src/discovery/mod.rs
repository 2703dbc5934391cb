//! The client of the discovery service: long polls for the events of the endpoint list.
//!
//! A poll that is late stays open while a fresh one is made beside it. So a service that answers late is still heard,
//! and a connection that has fallen silent hides nothing.

mod backoff;
pub mod endpoints;
pub mod http;
mod poll;
pub mod registry;
pub mod start_times;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use admission::interface::Timestamp;
use tracing::{debug, info, warn};

use backoff::Backoff;
use endpoints::{DiscoveryEvent, EndpointChange, EventBatch};
use http::ConnectionReuse;
use poll::{Poll, PollError, Received};

use crate::counters::Counters;
use crate::machine_errors::is_resource_exhaustion;
use crate::socket::{EventLoopHandle, EventSource};

/// Polls that run at once, late ones among them.
const MAX_POLLS: usize = 4;

/// Asks for events from the start.
const NO_REVISION: u64 = 0;

/// The polls of one gateway, and the events that they brought.
pub struct DiscoveryClient {
    handle: EventLoopHandle,
    address: SocketAddr,
    next_poll_id: u64,
    /// [`MAX_POLLS`] at most.
    polls: BTreeMap<u64, Poll>,
    /// The number of the last event that was taken.
    last_revision: u64,
    /// When a new poll is due; none while one is under way that is not late.
    next_poll: Option<Timestamp>,
    backoff: Backoff,
    /// The last poll found no descriptor.
    descriptor_shortage: bool,
    /// Events that are not taken yet, in their order.
    events: Vec<DiscoveryEvent>,
}

impl DiscoveryClient {
    /// A client that knows the events up to `last_revision`, and polls for later ones at once. `seed` is for the chance
    /// in its pauses.
    #[must_use]
    pub fn new(
        handle: &EventLoopHandle,
        address: SocketAddr,
        last_revision: u64,
        seed: u64,
        now: Timestamp,
    ) -> Self {
        DiscoveryClient {
            handle: handle.clone(),
            address,
            next_poll_id: 0,
            polls: BTreeMap::new(),
            last_revision,
            next_poll: Some(now),
            backoff: Backoff::new(seed),
            descriptor_shortage: false,
            events: Vec::new(),
        }
    }

    /// What all polls are noted as where they become ready.
    pub fn event_sources(&self) -> impl Iterator<Item = EventSource> {
        self.polls.keys().copied().map(EventSource::Discovery)
    }

    /// Polls that are open now.
    #[must_use]
    pub fn open_polls(&self) -> usize {
        self.polls.len()
    }

    /// A new configuration names the service and what is known of its events. Of these the ones past the last revision
    /// are taken; an older file tells nothing. Polls at another address are dropped, since it may never answer them.
    pub fn reconfigure(
        &mut self,
        now: Timestamp,
        address: SocketAddr,
        known: EventBatch,
        counters: &mut Counters,
    ) {
        if known.last_revision > self.last_revision {
            self.take_batch(self.last_revision, known, counters);
        }
        if address != self.address {
            info!(from = %self.address, to = %address, "discovery service moved");
            self.address = address;
            self.polls.clear();
            self.backoff.reset();
            self.next_poll = Some(now);
        }
    }

    /// Takes the events that came since the last call.
    #[must_use]
    pub fn take_events(&mut self) -> Vec<DiscoveryEvent> {
        std::mem::take(&mut self.events)
    }

    /// When [`Self::on_timer`] has something to do.
    #[must_use]
    pub fn next_due(&self) -> Option<Timestamp> {
        let polls = self.polls.values().map(Poll::next_due);
        polls.chain(self.next_poll).min()
    }

    /// Marks polls as late, gives up those that are far too late, and starts the next one if it is due.
    pub fn on_timer(&mut self, now: Timestamp, counters: &mut Counters) {
        for (poll_id, poll) in &mut self.polls {
            if poll.becomes_late(now) {
                debug!(poll_id, "discovery poll is late");
                poll.mark_late();
                self.next_poll = Some(now);
            }
        }
        let polls_before = self.polls.len();
        self.polls.retain(|_, poll| !poll.is_given_up(now));
        counters.discovery_polls_failed += (polls_before - self.polls.len()) as u64;
        if self.next_poll.is_some_and(|due| due <= now) {
            self.start_poll(now, counters);
        }
    }

    /// Whether no descriptor was left for the last poll. It is told once.
    #[must_use]
    pub fn take_descriptor_shortage(&mut self) -> bool {
        std::mem::take(&mut self.descriptor_shortage)
    }

    /// Polls at once, since there may be a descriptor by now.
    pub fn poll_now(&mut self, now: Timestamp, counters: &mut Counters) {
        self.start_poll(now, counters);
        self.descriptor_shortage = false;
    }

    fn start_poll(&mut self, now: Timestamp, counters: &mut Counters) {
        self.next_poll = None;
        if self.polls.len() >= MAX_POLLS {
            self.polls.pop_first();
            counters.discovery_polls_failed += 1;
        }
        let poll_id = self.next_poll_id;
        self.next_poll_id += 1;
        match Poll::connect(self.address, &self.handle, poll_id, now) {
            Ok(mut poll) => {
                self.send_request(now, &mut poll, counters);
                self.polls.insert(poll_id, poll);
            }
            Err(error) => {
                self.descriptor_shortage = is_resource_exhaustion(&error);
                self.on_failure(now, &error.to_string(), counters);
            }
        }
    }

    fn send_request(&self, now: Timestamp, poll: &mut Poll, counters: &mut Counters) {
        counters.discovery_polls += 1;
        poll.send_request(now, self.last_revision, self.address);
    }

    /// Unless another poll is under way, the next one goes out after a pause.
    fn on_failure(&mut self, now: Timestamp, why: &str, counters: &mut Counters) {
        counters.discovery_polls_failed += 1;
        debug!(why, "discovery poll failed");
        if self.polls.values().all(Poll::is_late) {
            self.next_poll = Some(now + self.backoff.next_pause());
        }
    }

    /// The connection of a poll has news: it came up, its response came, or it ended.
    pub fn on_ready(&mut self, now: Timestamp, poll_id: u64, counters: &mut Counters) {
        let Some(poll) = self.polls.get_mut(&poll_id) else {
            return;
        };
        match poll.receive() {
            Ok(None) => {}
            Ok(Some(received)) => self.on_response(now, poll_id, received, counters),
            Err(error) => {
                if let PollError::Response(error) = &error {
                    warn!(why = %error, "invalid answer of the discovery service");
                }
                self.polls.remove(&poll_id);
                self.on_failure(now, &error.to_string(), counters);
            }
        }
    }

    /// Drops a poll whose state may be half changed.
    pub fn abandon_poll(&mut self, now: Timestamp, poll_id: u64, counters: &mut Counters) {
        self.polls.remove(&poll_id);
        self.on_failure(now, "a fault of the gateway", counters);
    }

    /// Takes the events of a response, and polls on: on the same connection where it carries another request.
    fn on_response(
        &mut self,
        now: Timestamp,
        poll_id: u64,
        received: Received,
        counters: &mut Counters,
    ) {
        let Some(poll) = self.polls.remove(&poll_id) else {
            return;
        };
        let revision_before = self.last_revision;
        self.take_batch(poll.since_revision(), received.batch, counters);
        let brought_nothing = self.last_revision <= revision_before;
        // Without a pause this would poll again and again.
        if poll.is_early(now) && brought_nothing {
            return self.on_failure(now, "an early answer with no later event", counters);
        }
        self.backoff.reset();
        let another_under_way = self.polls.values().any(|poll| !poll.is_late());
        if another_under_way {
            return;
        }
        match received.reuse {
            ConnectionReuse::KeepAlive => self.poll_again(now, poll_id, poll, counters),
            ConnectionReuse::Close => self.next_poll = Some(now),
        }
    }

    fn poll_again(
        &mut self,
        now: Timestamp,
        poll_id: u64,
        mut poll: Poll,
        counters: &mut Counters,
    ) {
        self.send_request(now, &mut poll, counters);
        poll.flush();
        self.polls.insert(poll_id, poll);
    }

    /// Takes the events that follow on the last one, in order; `since_revision` is what they were asked from. A service
    /// whose numbers are below that counts anew, and a gap means that something was missed: both are polled for from
    /// the start.
    fn take_batch(&mut self, since_revision: u64, batch: EventBatch, counters: &mut Counters) {
        if batch.last_revision < since_revision {
            let last_revision = batch.last_revision;
            info!(
                last_revision,
                since_revision, "discovery service restarted its revisions"
            );
            self.last_revision = NO_REVISION;
            return;
        }
        let mut events = batch.events;
        events.sort_by_key(|event| event.revision);
        for event in events {
            if event.revision <= self.last_revision {
                continue;
            }
            let is_next = event.revision == self.last_revision + 1;
            let is_snapshot = event
                .change
                .as_ref()
                .is_some_and(EndpointChange::is_snapshot);
            // What the service no longer holds from the start on, it cannot tell a second time either.
            let asked_from_start = since_revision == NO_REVISION;
            if !is_next && !is_snapshot && !asked_from_start {
                warn!(
                    revision = event.revision,
                    last_revision = self.last_revision,
                    "gap in the discovery service's events"
                );
                self.last_revision = NO_REVISION;
                return;
            }
            self.last_revision = event.revision;
            counters.watch_events += 1;
            self.events.push(event);
        }
    }
}
