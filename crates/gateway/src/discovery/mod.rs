//! The client of the discovery service, which asks for the events of the endpoint list with long
//! polls.
//!
//! A late poll stays open while another one is started beside it. A slow answer is therefore still
//! received, and a connection that no longer delivers anything does not hold up the events.

mod backoff;
pub mod endpoints;
pub mod http;
mod poll;
pub mod registry;
pub mod start_times;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use admission::interface::Timestamp;
use tracing::{debug, info, warn};

use backoff::Backoff;
use endpoints::{DiscoveryEvent, EndpointChange, EventBatch};
use http::ConnectionReuse;
use poll::{Poll, PollError, Received};

use crate::counters::Counters;
use crate::machine_errors::is_resource_exhaustion;
use crate::memory_account::MemoryAccount;
use crate::socket::{EventLoopHandle, EventSource};

/// The maximum number of simultaneous polls, including late ones.
const MAX_POLLS: usize = 4;

/// The revision before the first event; a poll with it asks for all events.
const NO_REVISION: u64 = 0;

/// The polls of one gateway, and the events that they returned.
pub struct DiscoveryClient {
    handle: EventLoopHandle,
    /// The memory of all peers.
    memory: Rc<MemoryAccount>,
    address: SocketAddr,
    next_poll_id: u64,
    /// The open polls by id, at most [`MAX_POLLS`].
    polls: BTreeMap<u64, Poll>,
    /// The number of the last accepted event, or [`NO_REVISION`] if the next poll asks for all
    /// events.
    last_revision: u64,
    /// When a new poll is due; `None` while a poll is open that is not late.
    next_poll: Option<Timestamp>,
    backoff: Backoff,
    /// Whether a poll could not be started for lack of a file descriptor or buffer, and this was
    /// not reported yet.
    descriptor_shortage: bool,
    /// Accepted events that have not been collected yet, in order.
    events: Vec<DiscoveryEvent>,
}

impl DiscoveryClient {
    /// Creates a client that knows the events up to `last_revision` and polls for later ones at
    /// once. `seed` determines the jitter of its pauses.
    #[must_use]
    pub fn new(
        handle: &EventLoopHandle,
        memory: &Rc<MemoryAccount>,
        address: SocketAddr,
        last_revision: u64,
        seed: u64,
        now: Timestamp,
    ) -> Self {
        DiscoveryClient {
            handle: handle.clone(),
            memory: memory.clone(),
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

    /// Returns the event source of each poll, by which the event loop reports its readiness.
    pub fn event_sources(&self) -> impl Iterator<Item = EventSource> {
        self.polls.keys().copied().map(EventSource::Discovery)
    }

    /// Returns the number of open polls.
    #[must_use]
    pub fn open_polls(&self) -> usize {
        self.polls.len()
    }

    /// Applies the service's address and the known events of a new configuration. Events after the
    /// last accepted one are accepted; a configuration that has none has no effect on the events.
    /// If the address changes, open polls are dropped, since the old address may never answer them.
    pub fn reconfigure(
        &mut self,
        now: Timestamp,
        address: SocketAddr,
        known: EventBatch,
        counters: &mut Counters,
    ) {
        if known.last_revision > self.last_revision {
            self.accept_batch(self.last_revision, known, counters);
        }
        if address != self.address {
            info!(
                from = %self.address,
                to = %address,
                "address of the discovery service changed; polling the new address"
            );
            self.address = address;
            self.polls.clear();
            self.backoff.reset();
            self.next_poll = Some(now);
        }
    }

    /// Takes the events that were accepted since the last call.
    #[must_use]
    pub fn take_events(&mut self) -> Vec<DiscoveryEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns when [`Self::on_timer`] is due; `None` if it has nothing to do.
    #[must_use]
    pub fn next_due(&self) -> Option<Timestamp> {
        let polls = self.polls.values().map(Poll::next_due);
        polls.chain(self.next_poll).min()
    }

    /// Marks polls as late, drops those that have timed out, and starts the next poll if it is due.
    pub fn on_timer(&mut self, now: Timestamp, counters: &mut Counters) {
        for (poll_id, poll) in &mut self.polls {
            if poll.becomes_late(now) {
                debug!(
                    poll_id,
                    "discovery poll is late; starting another one beside it"
                );
                poll.mark_late();
                self.next_poll = Some(now);
            }
        }
        let polls_before = self.polls.len();
        self.polls.retain(|_, poll| !poll.has_timed_out(now));
        counters.discovery_polls_failed += (polls_before - self.polls.len()) as u64;
        if self.next_poll.is_some_and(|due| due <= now) {
            self.start_poll(now, counters);
        }
    }

    /// Whether the last poll could not be started for lack of a file descriptor or buffer. A call
    /// clears the flag.
    #[must_use]
    pub fn take_descriptor_shortage(&mut self) -> bool {
        std::mem::take(&mut self.descriptor_shortage)
    }

    /// Starts a poll at once, after a file descriptor was freed for it.
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
        match Poll::connect(self.address, &self.handle, &self.memory, poll_id, now) {
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

    /// Counts a failed poll and, if all open polls are late, schedules the next one after a pause.
    fn on_failure(&mut self, now: Timestamp, error: &str, counters: &mut Counters) {
        counters.discovery_polls_failed += 1;
        debug!(
            error,
            "discovery poll failed; retrying after a pause unless another poll is open"
        );
        if self.polls.values().all(Poll::is_late) {
            self.next_poll = Some(now + self.backoff.next_pause());
        }
    }

    /// Handles a socket event of a poll: its connection was established, became readable or ended.
    pub fn on_ready(&mut self, now: Timestamp, poll_id: u64, counters: &mut Counters) {
        let Some(poll) = self.polls.get_mut(&poll_id) else {
            return;
        };
        match poll.receive() {
            Ok(None) => {}
            Ok(Some(received)) => self.on_response(now, poll_id, received, counters),
            Err(error) => {
                if let PollError::Response(error) = &error {
                    warn!(
                        error = %error,
                        "invalid response from the discovery service; closing the connection"
                    );
                }
                self.polls.remove(&poll_id);
                self.on_failure(now, &error.to_string(), counters);
            }
        }
    }

    /// Drops a poll whose state may be inconsistent after a fault of the gateway.
    pub fn abandon_poll(&mut self, now: Timestamp, poll_id: u64, counters: &mut Counters) {
        self.polls.remove(&poll_id);
        self.on_failure(now, "a fault of the gateway", counters);
    }

    /// Accepts the events of a response and starts the next poll, on the same connection if it
    /// stays open.
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
        self.accept_batch(poll.since_revision(), received.batch, counters);
        let has_no_new_event = self.last_revision <= revision_before;
        // Without a pause, such responses would make the client poll in a tight loop.
        if poll.is_early(now) && has_no_new_event {
            return self.on_failure(now, "early response without a new event", counters);
        }
        self.backoff.reset();
        let another_is_on_time = self.polls.values().any(|poll| !poll.is_late());
        if another_is_on_time {
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

    /// Accepts the events after the last accepted one, in order. `since_revision` is the revision
    /// that the poll named.
    ///
    /// If the service's last revision is below that, the service has restarted its numbering. A gap
    /// in the numbers means that an event was missed. In both cases the next poll asks for all
    /// events.
    fn accept_batch(&mut self, since_revision: u64, batch: EventBatch, counters: &mut Counters) {
        if batch.last_revision < since_revision {
            let last_revision = batch.last_revision;
            info!(
                last_revision,
                since_revision, "discovery service restarted its revisions; polling for all events"
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
            // The answer to a poll for all events starts with the oldest event that the service
            // still holds, so polling again would not fill the gap before it.
            let polled_for_all = since_revision == NO_REVISION;
            if !is_next && !is_snapshot && !polled_for_all {
                warn!(
                    revision = event.revision,
                    last_revision = self.last_revision,
                    "gap in the events of the discovery service; polling for all events"
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
