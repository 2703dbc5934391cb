//! The discovery service: long polls for the list's events. A poll that is slow stays open while a fresh one is
//! made beside it: a board that answers late is still heard, and a silent connection hides nothing.

pub mod http;
pub mod list;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use admission::interface::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tracing::{debug, info, warn};

use http::Answered;
pub use list::{Event, Events, ListError};

use crate::counters::Counters;
use crate::socket::{Loop, Peer, Socket, is_shortage};

/// Network facts, against the 7 s after which an event counts as told however slow the board is. How long
/// the board may linger; how much later than that a poll is late and another goes out beside it; when a poll
/// is given up; how many run at once; the longest and the first wait after failures.
const LINGER_S: f64 = 1.0;
const LATE_S: f64 = 0.5;
const GIVE_UP_S: f64 = 7.0;
const POLLS: usize = 4;
const LONGEST_WAIT_S: f64 = 1.0;
const FIRST_WAIT_S: f64 = 0.05;

struct Poll {
    socket: Socket,
    asked: Timestamp,
    /// The number it asked from.
    watch: u64,
    connecting: bool,
    late: bool,
}

pub struct Board {
    handle: Loop,
    address: SocketAddr,
    next: u64,
    /// Four at most.
    polls: BTreeMap<u64, Poll>,
    last: u64,
    ask_at: Option<Timestamp>,
    wait: TimeDelta,
    /// The last question found no descriptor.
    short: bool,
    /// Of a fleet that loses its board in one instant each gateway asks again at an instant of its own.
    rng: Pcg64Mcg,
    events: Vec<Event>,
}

impl Board {
    pub fn new(handle: &Loop, address: SocketAddr, last: u64, seed: u64, now: Timestamp) -> Self {
        Board {
            handle: handle.clone(),
            address,
            next: 0,
            polls: BTreeMap::new(),
            last,
            ask_at: Some(now),
            wait: TimeDelta::from_secs(FIRST_WAIT_S),
            short: false,
            rng: Pcg64Mcg::seed_from_u64(seed),
            events: Vec::new(),
        }
    }

    pub fn open(&self) -> usize {
        self.polls.len()
    }

    /// A new configuration names the board and what is known. Numbers go on: what lies past the last one is
    /// taken, an older file tells nothing. Polls at another address are dropped, since it may never answer them.
    pub fn moved(
        &mut self,
        now: Timestamp,
        address: SocketAddr,
        known: Events,
        counters: &mut Counters,
    ) {
        if known.last > self.last {
            self.take(self.last, known, counters);
        }
        if address != self.address {
            info!(from = %self.address, to = %address, "notice board moved");
            self.address = address;
            self.polls.clear();
            self.wait = TimeDelta::from_secs(FIRST_WAIT_S);
            self.ask_at = Some(now);
        }
    }

    pub fn events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    pub fn next_due(&self) -> Option<Timestamp> {
        let poll = |p: &Poll| {
            p.asked + TimeDelta::from_secs(if p.late { GIVE_UP_S } else { LINGER_S + LATE_S })
        };
        self.polls.values().map(poll).chain(self.ask_at).min()
    }

    pub fn expire(&mut self, now: Timestamp, counters: &mut Counters) {
        let since = |p: &Poll| (now - p.asked).secs();
        for (at, poll) in &mut self.polls {
            if !poll.late && since(poll) >= LINGER_S + LATE_S {
                debug!(at, "notice board is late");
                poll.late = true;
                self.ask_at = Some(now);
            }
        }
        let before = self.polls.len();
        self.polls.retain(|_, poll| since(poll) < GIVE_UP_S);
        counters.discovery_polls_failed += (before - self.polls.len()) as u64;
        if self.ask_at.is_some_and(|at| at <= now) {
            self.ask(now, counters);
        }
    }

    /// No descriptor was left for the last question. Told once.
    pub fn short(&mut self) -> bool {
        std::mem::take(&mut self.short)
    }

    /// Asks at once, since there may be a descriptor by now.
    pub fn ask_again(&mut self, now: Timestamp, counters: &mut Counters) {
        self.ask(now, counters);
        self.short = false;
    }

    fn ask(&mut self, now: Timestamp, counters: &mut Counters) {
        self.ask_at = None;
        if self.polls.len() >= POLLS {
            self.polls.pop_first();
            counters.discovery_polls_failed += 1;
        }
        let at = self.next;
        self.next += 1;
        match Socket::connect(self.address, &self.handle, Peer::Board(at)) {
            Ok(socket) => {
                let mut poll = Poll {
                    socket,
                    asked: now,
                    watch: self.last,
                    connecting: true,
                    late: false,
                };
                self.question(now, &mut poll, counters);
                self.polls.insert(at, poll);
            }
            Err(error) => {
                self.short = is_shortage(&error);
                self.failed(now, &error.to_string(), counters);
            }
        }
    }

    fn question(&self, now: Timestamp, poll: &mut Poll, counters: &mut Counters) {
        counters.discovery_polls += 1;
        (poll.asked, poll.watch, poll.late) = (now, self.last, false);
        let linger = (LINGER_S * 1e3) as u64;
        let question = format!(
            "GET /board/poll?watch={}&linger={linger} HTTP/1.1\r\nHost: {}\r\n\r\n",
            self.last, self.address
        );
        poll.socket.put(question.as_bytes());
    }

    /// Growing waits, but far below the time after which events count as told.
    fn failed(&mut self, now: Timestamp, why: &str, counters: &mut Counters) {
        counters.discovery_polls_failed += 1;
        debug!(why, "poll failed");
        if self.polls.values().all(|poll| poll.late) {
            let part = 0.5 + 0.5 * self.rng.random::<f64>();
            self.ask_at = Some(now + TimeDelta::from_secs(self.wait.secs() * part));
            self.wait = TimeDelta::from_secs((self.wait.secs() * 2.0).min(LONGEST_WAIT_S));
        }
    }

    pub fn ready(&mut self, now: Timestamp, at: u64, counters: &mut Counters) {
        let Some(poll) = self.polls.get_mut(&at) else {
            return;
        };
        if poll.connecting {
            match poll.socket.connected() {
                Ok(true) => poll.connecting = false,
                Ok(false) => return,
                Err(error) => {
                    self.polls.remove(&at);
                    return self.failed(now, &error.to_string(), counters);
                }
            }
        }
        poll.socket.news();
        let read = poll
            .socket
            .flush()
            .and_then(|()| poll.socket.fill(http::LARGEST));
        let ended = poll.socket.ended;
        match http::take(&mut poll.socket.inbox, ended) {
            Answered::Events(events, keep) => {
                let watch = poll.watch;
                let early = (now - poll.asked).secs() < LINGER_S * 0.5;
                let mut poll = self
                    .polls
                    .remove(&at)
                    .filter(|_| keep && !ended && read.is_ok());
                let before = self.last;
                self.take(watch, events, counters);
                // An answer at once that brings nothing would have us ask without a pause.
                if early && self.last <= before {
                    return self.failed(now, "an early answer with no later event", counters);
                }
                self.wait = TimeDelta::from_secs(FIRST_WAIT_S);
                if self.polls.values().any(|poll| !poll.late) {
                    return;
                }
                match &mut poll {
                    Some(poll) => {
                        self.question(now, poll, counters);
                        let _ = poll.socket.flush();
                    }
                    None => self.ask_at = Some(now),
                }
                poll.map(|poll| self.polls.insert(at, poll));
            }
            Answered::NotYet if read.is_ok() && !poll.socket.ended => {}
            Answered::NotYet => {
                self.polls.remove(&at);
                self.failed(now, "closed before its answer", counters);
            }
            Answered::Nonsense(why) => {
                warn!(why, "notice board answers nonsense");
                self.polls.remove(&at);
                self.failed(now, &why, counters);
            }
        }
    }

    /// Takes what follows on the last event, in order. A number below what was asked from means that the
    /// board counts anew; a gap, that something was missed: both are asked for from the start.
    fn take(&mut self, watch: u64, answer: Events, counters: &mut Counters) {
        if answer.last < watch {
            info!(last = answer.last, watch, "notice board counts anew");
            self.last = 0;
            return;
        }
        let mut events = answer.events;
        events.sort_by_key(|event| event.number);
        for event in events {
            if event.number <= self.last {
                continue;
            }
            let whole = event.list.as_ref().is_some_and(|change| change.whole);
            // What the board no longer holds from the start on, it cannot tell a second time either.
            if event.number != self.last + 1 && !whole && watch != 0 {
                warn!(
                    number = event.number,
                    last = self.last,
                    "gap in the notice board's events"
                );
                self.last = 0;
                return;
            }
            self.last = event.number;
            counters.watch_events += 1;
            self.events.push(event);
        }
    }
}
