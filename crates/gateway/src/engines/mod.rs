//! Connections to engines and the attempts on them. An engine is known by its id, never by its address: a new
//! one may listen where another did.

pub mod protocol;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use admission::interface::*;
use bytes::Bytes;
use settings::ConnectionSettings;
use tracing::debug;

use crate::counters::Counters;
use crate::socket::{EventLoopHandle, EventSource, Socket, is_resource_exhaustion};
use protocol::{AttemptRequest, RequestId, Response, ResponseKind, StatementKeys};

/// Network fact: a result holds 48,000 bytes at most, and what stands between its values. What is past this,
/// or in more pages, is no result, and must not fill our memory.
const PAGES: usize = 64;
const RESULT: usize = 64 << 10;
/// How long the rest of an answer may take once it has begun, and the next page once it was asked for: both stand
/// ready at the engine, and one segment sent again takes a fifth of a second. Past it the connection serves no
/// further use, though it stays open.
const REST_S: f64 = 0.3;
/// Inboxes read from one connection in a turn.
const READS: usize = 4;
/// We close an idle connection after this part of the time in the settings: our close must be on the engine's
/// side before its own, with a slow loop and a slow way between.
const IDLE_PART: f64 = 0.8;

/// An attempt to be written.
pub struct OutgoingAttempt<'a> {
    pub statement: StatementId,
    pub attempt: AttemptNumber,
    pub engine: EngineId,
    pub request_id: RequestId,
    pub class: &'a str,
    pub keys: &'a StatementKeys,
    pub text: &'a [u8],
    pub deadline: Timestamp,
    pub priority: Option<u8>,
    /// A repeat that has not left whole by then stays here.
    pub send_by: Option<Timestamp>,
    /// Connections that earlier attempts of the statement went on: what still comes there is not this one's.
    pub avoid: &'a [ConnectionId],
}

/// What became of an attempt; with a completed one its pages in order.
#[derive(Debug)]
pub struct AttemptUpdate {
    pub statement: StatementId,
    pub attempt: AttemptNumber,
    pub event: AttemptEvent,
    pub latency: TimeDelta,
    pub pages: Vec<Bytes>,
}

/// A result on its way: told done, some pages still to come.
struct Coming {
    latency: TimeDelta,
    cpu: Option<TimeDelta>,
    memory_mb: Option<f64>,
    pages: Vec<Option<Bytes>>,
    size: usize,
    /// When its last part came.
    moved: Timestamp,
}

struct SentAttempt {
    statement: StatementId,
    attempt: AttemptNumber,
    sent: Timestamp,
    due: Timestamp,
    /// Of all bytes put on the connection, the first of this attempt's, and the first after them.
    starts_at: u64,
    ends_at: u64,
    coming: Option<Coming>,
    /// Its client is gone: the work still counts, the pages do not.
    unwanted: bool,
}

struct Connection {
    engine: EngineId,
    /// Where it leads; an engine listed elsewhere since takes its attempts there.
    address: SocketAddr,
    socket: Socket,
    /// Until when it may take to come up; none once it is up.
    connecting: Option<Timestamp>,
    /// Bounded by the settings' multiplex.
    attempts: HashMap<RequestId, SentAttempt>,
    /// Since when an answer has been begun and not ended.
    begun: Option<Timestamp>,
    quiet_since: Timestamp,
    /// An attempt on it was given up unanswered: it takes no more. A vanished machine keeps its connections open, one
    /// spoilt answer may be its last, and a late answer must not be taken for a further attempt's.
    spent: bool,
    /// When something is next to be done about it, as it stands in `ends`.
    end: Timestamp,
}

/// A connection to an engine, by a number that is given once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

pub struct EngineTransport {
    handle: EventLoopHandle,
    links: ConnectionSettings,
    /// Descriptors that connections may take.
    share: usize,
    next: u64,
    /// Listed engines; leaves when the list says that it is gone.
    addresses: BTreeMap<EngineId, SocketAddr>,
    connections: BTreeMap<ConnectionId, Connection>,
    /// The connections of each engine; leaves with the last of them.
    of: BTreeMap<EngineId, BTreeSet<ConnectionId>>,
    /// When each connection is not up in time, stalls or is idle for too long; as many as connections.
    ends: BTreeSet<(Timestamp, ConnectionId)>,
    /// Connections with more to read than their part of a turn; emptied by the next.
    again: BTreeSet<ConnectionId>,
    /// Where each attempt is; leaves with the attempt.
    places: HashMap<(StatementId, AttemptNumber), (ConnectionId, RequestId)>,
    /// When attempts time out; as many as attempts.
    dues: BTreeSet<(Timestamp, StatementId, AttemptNumber)>,
    /// When repeats must have left; emptied as it passes.
    leaves: BTreeSet<(Timestamp, StatementId, AttemptNumber)>,
    reports: Vec<AttemptUpdate>,
}

impl EngineTransport {
    pub fn new(handle: &EventLoopHandle, links: ConnectionSettings, share: usize) -> Self {
        EngineTransport {
            handle: handle.clone(),
            links,
            share,
            next: 0,
            addresses: BTreeMap::new(),
            connections: BTreeMap::new(),
            of: BTreeMap::new(),
            ends: BTreeSet::new(),
            again: BTreeSet::new(),
            places: HashMap::new(),
            dues: BTreeSet::new(),
            leaves: BTreeSet::new(),
            reports: Vec::new(),
        }
    }

    pub fn set_address(&mut self, engine: EngineId, address: Option<SocketAddr>) {
        match address {
            Some(address) => drop(self.addresses.insert(engine, address)),
            None => drop(self.addresses.remove(&engine)),
        }
        // Idle ones to where it is no longer go at once, the others with their last attempt.
        let of: Vec<ConnectionId> = self
            .of
            .get(&engine)
            .into_iter()
            .flatten()
            .copied()
            .collect();
        of.into_iter().for_each(|at| self.settle(at));
    }

    /// The list says that an engine drains or is gone: what has not begun to leave for it must not begin any more. A
    /// connection that comes up late would carry it past the grace.
    pub fn drain_engine(&mut self, now: Timestamp, engine: EngineId, counters: &mut Counters) {
        let of: Vec<ConnectionId> = self
            .of
            .get(&engine)
            .into_iter()
            .flatten()
            .copied()
            .collect();
        for at in of {
            let Some(connection) = self.connections.get(&at) else {
                continue;
            };
            let written = connection.socket.bytes_written;
            let unbegun = connection
                .attempts
                .iter()
                .filter(|(_, attempt)| attempt.starts_at >= written);
            let mut unbegun: Vec<(u64, RequestId)> = unbegun
                .map(|(rid, attempt)| (attempt.starts_at, *rid))
                .collect();
            unbegun.sort_unstable();
            for (_, rid) in unbegun {
                self.retract(now, at, &rid, AttemptEvent::Withdrawn, counters);
            }
        }
    }

    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    pub fn take_updates(&mut self) -> Vec<AttemptUpdate> {
        std::mem::take(&mut self.reports)
    }

    /// The connection it went on; none if it was reported as never sent.
    pub fn send(
        &mut self,
        now: Timestamp,
        o: &OutgoingAttempt,
        counters: &mut Counters,
    ) -> Option<ConnectionId> {
        counters.attempts_sent += 1;
        let at = self.connection(now, o, counters)?;
        let max_ms = ((o.deadline - now).secs() * 1e3).max(1.0) as u64;
        let connection = self.connections.get_mut(&at).expect("just chosen");
        let starts_at = connection.socket.bytes_enqueued;
        connection.socket.enqueue(
            &AttemptRequest {
                request_id: o.request_id,
                class: o.class,
                timeout_ms: max_ms,
                priority: o.priority,
                keys: o.keys,
                text: o.text,
            }
            .encode(),
        );
        let attempt = SentAttempt {
            statement: o.statement,
            attempt: o.attempt,
            sent: now,
            due: o.deadline,
            starts_at,
            ends_at: connection.socket.bytes_enqueued,
            coming: None,
            unwanted: false,
        };
        connection.attempts.insert(o.request_id, attempt);
        self.places
            .insert((o.statement, o.attempt), (at, o.request_id));
        self.dues.insert((o.deadline, o.statement, o.attempt));
        self.leaves
            .extend(o.send_by.map(|by| (by, o.statement, o.attempt)));
        self.settle(at);
        self.flush(now, at, counters);
        Some(at)
    }

    /// An idle connection, the last used, so that the others may end; else a new one; with descriptors short the
    /// one with the fewest attempts. A connection that is spoilt or reset costs all attempts on it, so each has its
    /// own as far as descriptors go. None: the attempt was reported as never sent.
    fn connection(
        &mut self,
        now: Timestamp,
        o: &OutgoingAttempt,
        counters: &mut Counters,
    ) -> Option<ConnectionId> {
        let (most, address) = (self.links.multiplex, self.addresses.get(&o.engine).copied());
        loop {
            let fits = |(at, c): &(ConnectionId, &Connection)| {
                address.is_none_or(|address| address == c.address)
                    && !c.spent
                    && c.attempts.len() < most
                    && !o.avoid.contains(at)
                    && !c.attempts.contains_key(&o.request_id)
            };
            let of = self
                .of
                .get(&o.engine)
                .into_iter()
                .flatten()
                .map(|at| (*at, &self.connections[at]));
            let least = of
                .filter(fits)
                .min_by_key(|(_, c)| (c.attempts.len(), Reverse(c.quiet_since)));
            let full = self.connections.len() >= self.share;
            let Some((at, rests)) =
                least.map(|(at, c)| (at, c.attempts.is_empty() && c.connecting.is_none()))
            else {
                break;
            };
            if !rests {
                if full {
                    return Some(at);
                }
                break;
            }
            // A last look: its engine may have closed it since this turn's events were taken, and what is written on it
            // then may have run for all that can be known.
            self.connections
                .get_mut(&at)
                .into_iter()
                .for_each(|connection| connection.socket.mark_readable());
            self.read(now, at, counters);
            if self.connections.contains_key(&at) {
                return Some(at);
            }
        }
        let never = |event| AttemptUpdate {
            statement: o.statement,
            attempt: o.attempt,
            event,
            latency: TimeDelta::ZERO,
            pages: Vec::new(),
        };
        if self.connections.len() >= self.share && !self.close_one_idle(counters) {
            counters.attempts_never_sent += 1;
            self.reports.push(never(AttemptEvent::NeverSent));
            return None;
        }
        let at = ConnectionId(self.next);
        let opened = address.map(|to| {
            (
                to,
                Socket::connect(to, &self.handle, EventSource::Engine(at)),
            )
        });
        let (address, socket) = match opened {
            Some((address, Ok(socket))) => (address, socket),
            other => {
                let error = other.and_then(|(_, opened)| opened.err());
                debug!(engine = o.engine.0, ?error, "no connection could be begun");
                // Our own shortage must not be laid at the engine's door.
                let (event, count) = match error {
                    Some(error) if is_resource_exhaustion(&error) => {
                        (AttemptEvent::NeverSent, &mut counters.attempts_never_sent)
                    }
                    _ => (
                        AttemptEvent::Unreachable,
                        &mut counters.attempts_unreachable,
                    ),
                };
                *count += 1;
                self.reports.push(never(event));
                return None;
            }
        };
        self.next += 1;
        counters.engine_connections += 1;
        let connection = Connection {
            engine: o.engine,
            address,
            socket,
            connecting: Some(now + self.links.connect_timeout),
            attempts: HashMap::new(),
            begun: None,
            quiet_since: now,
            spent: false,
            end: now,
        };
        self.ends.insert((now, at));
        self.of.entry(o.engine).or_default().insert(at);
        self.connections.insert(at, connection);
        Some(at)
    }

    fn close_one_idle(&mut self, counters: &mut Counters) -> bool {
        let idle = self
            .connections
            .iter()
            .filter(|(_, c)| c.attempts.is_empty());
        let oldest = idle.min_by_key(|(_, c)| c.quiet_since).map(|(at, _)| *at);
        counters.engine_idle_closed += u64::from(oldest.is_some());
        oldest.and_then(|at| self.drop_connection(at)).is_some()
    }

    fn drop_connection(&mut self, at: ConnectionId) -> Option<Connection> {
        let connection = self.connections.remove(&at)?;
        self.ends.remove(&(connection.end, at));
        if let Some(of) = self.of.get_mut(&connection.engine) {
            of.remove(&at);
        }
        self.of.retain(|_, of| !of.is_empty());
        Some(connection)
    }

    /// What a change means for a connection: one that is of no use goes once it is empty, of the others the time
    /// stands at which they are looked at next.
    fn settle(&mut self, at: ConnectionId) {
        let (rest, idle) = (
            TimeDelta::from_secs(REST_S),
            TimeDelta::from_secs(self.links.idle_timeout.secs() * IDLE_PART),
        );
        let Some(connection) = self.connections.get_mut(&at) else {
            return;
        };
        let empty = connection.attempts.is_empty();
        let there = self.addresses.get(&connection.engine) == Some(&connection.address);
        if empty && connection.connecting.is_none() && (connection.spent || !there) {
            drop(self.drop_connection(at));
            return;
        }
        let coming = connection
            .attempts
            .values()
            .filter_map(|attempt| attempt.coming.as_ref());
        let coming = coming.map(|coming| coming.moved).min();
        let stalls = connection
            .begun
            .into_iter()
            .chain(coming)
            .map(|since| since + rest);
        let quiet = empty.then_some(connection.quiet_since + idle);
        let end = stalls.chain(connection.connecting).chain(quiet).min();
        // With attempts out the last of them looks after itself.
        let end = end.unwrap_or(connection.quiet_since + TimeDelta::from_secs(1e9));
        if end != connection.end {
            self.ends.remove(&(connection.end, at));
            self.ends.insert((end, at));
            connection.end = end;
        }
    }

    /// Gives an attempt up by the decisions' word.
    pub fn cancel(
        &mut self,
        now: Timestamp,
        id: StatementId,
        no: AttemptNumber,
        counters: &mut Counters,
    ) {
        counters.attempts_cancelled += u64::from(self.places.contains_key(&(id, no)));
        self.give_up(now, id, no, AttemptEvent::Cancelled, counters);
    }

    /// Its client sends no more: what has not left whole stays here. Nothing is said of what has.
    pub fn withdraw(
        &mut self,
        now: Timestamp,
        id: StatementId,
        no: AttemptNumber,
        counters: &mut Counters,
    ) -> bool {
        let Some((at, rid)) = self.places.get(&(id, no)).copied() else {
            return false;
        };
        self.retract(now, at, &rid, AttemptEvent::Withdrawn, counters)
    }

    /// No client waits for it any more: what is still to come of its result is not asked for.
    pub fn abandon(
        &mut self,
        now: Timestamp,
        id: StatementId,
        no: AttemptNumber,
        counters: &mut Counters,
    ) {
        if self.withdraw(now, id, no, counters) {
            return;
        }
        let Some((at, rid)) = self.places.get(&(id, no)).copied() else {
            return;
        };
        let attempt = self
            .connections
            .get_mut(&at)
            .and_then(|connection| connection.attempts.get_mut(&rid));
        attempt
            .into_iter()
            .for_each(|attempt| attempt.unwanted = true);
        self.complete(now, at, &rid, counters);
    }

    /// Attempts out to each engine, as they stand on the sockets.
    pub fn attempts_in_flight(&self) -> BTreeMap<EngineId, u32> {
        let mut out = BTreeMap::new();
        self.connections
            .values()
            .for_each(|c| *out.entry(c.engine).or_default() += c.attempts.len() as u32);
        out.retain(|_, attempts| *attempts > 0);
        out
    }

    /// The gateway ends: what is out is to have ended by then.
    pub fn cap_deadlines(&mut self, by: Timestamp) {
        for connection in self.connections.values_mut() {
            connection
                .attempts
                .values_mut()
                .for_each(|attempt| attempt.due = attempt.due.min(by));
        }
        self.dues = std::mem::take(&mut self.dues)
            .into_iter()
            .map(|(due, s, r)| (due.min(by), s, r))
            .collect();
    }

    /// Where a statement's attempts stand, for a line in the log.
    pub fn describe_attempts(&self, id: StatementId) -> String {
        let places: Vec<_> = self.places.iter().filter(|(key, _)| key.0 == id).collect();
        let dues: Vec<_> = self.dues.iter().filter(|due| due.1 == id).collect();
        format!("{places:?} due {dues:?}")
    }

    pub fn next_timeout(&self, now: Timestamp) -> Option<Timestamp> {
        let attempt = self.dues.first().map(|due| due.0);
        let again = (!self.again.is_empty()).then_some(now);
        let leave = self.leaves.first().map(|leave| leave.0);
        self.ends
            .first()
            .map(|end| end.0)
            .into_iter()
            .chain(attempt)
            .chain(leave)
            .chain(again)
            .min()
    }

    pub fn expire_timeouts(&mut self, now: Timestamp, counters: &mut Counters) {
        while let Some((due, id, no)) = self.dues.first().copied().filter(|due| due.0 <= now) {
            counters.attempts_timed_out += 1;
            self.give_up(now, id, no, AttemptEvent::TimedOut, counters);
            // Gone already where the attempt was; else an entry that nothing else would take out.
            self.dues.remove(&(due, id, no));
        }
        while let Some((_, id, no)) = self.leaves.first().copied().filter(|leave| leave.0 <= now) {
            self.leaves.pop_first();
            self.withdraw(now, id, no, counters);
        }
        while let Some((_, at)) = self.ends.first().copied().filter(|end| end.0 <= now) {
            let connection = &self.connections[&at];
            if connection.connecting.is_some() {
                self.end(now, at, "not up in time", counters);
            } else if connection.attempts.is_empty() && connection.begun.is_none() {
                counters.engine_idle_closed += 1;
                drop(self.drop_connection(at));
            } else {
                counters.answers_malformed += 1;
                self.end(now, at, "an answer that stopped half way", counters);
            }
        }
    }

    /// Reads on where a turn's part was not enough.
    pub fn resume_reads(&mut self, now: Timestamp, counters: &mut Counters) {
        std::mem::take(&mut self.again)
            .into_iter()
            .for_each(|at| self.read(now, at, counters));
    }

    fn give_up(
        &mut self,
        now: Timestamp,
        id: StatementId,
        no: AttemptNumber,
        event: AttemptEvent,
        counters: &mut Counters,
    ) {
        let Some((at, rid)) = self.places.get(&(id, no)).copied() else {
            return;
        };
        let Some(connection) = self.connections.get_mut(&at) else {
            return;
        };
        let Some(attempt) = connection.attempts.get(&rid) else {
            return;
        };
        // Not up in the statement's time tells of the engine; bytes that it did not take yet, of nobody.
        let kept = if connection.connecting.is_some() {
            AttemptEvent::Unreachable
        } else {
            AttemptEvent::NeverSent
        };
        if attempt.ends_at > connection.socket.bytes_written
            && self.retract(now, at, &rid, kept, counters)
        {
            return;
        }
        let Some(connection) = self.connections.get_mut(&at) else {
            return;
        };
        let Some(attempt) = connection.attempts.get(&rid) else {
            return;
        };
        if attempt.coming.is_some() {
            connection.socket.enqueue(&protocol::encode_release(&rid));
        } else {
            connection.socket.enqueue(&protocol::encode_cancel(&rid));
        }
        connection.spent = true;
        let latency = now - attempt.sent;
        self.over(now, at, &rid, event, latency, Vec::new());
        self.flush(now, at, counters);
        self.settle(at);
    }

    /// Takes an attempt back that has not left this machine whole. It has its answer, or is about to: a connection that comes
    /// up later, or takes bytes again, must not carry it on after that. True: it is off the books, and never ran.
    fn retract(
        &mut self,
        now: Timestamp,
        at: ConnectionId,
        rid: &RequestId,
        event: AttemptEvent,
        counters: &mut Counters,
    ) -> bool {
        let Some(connection) = self.connections.get_mut(&at) else {
            return false;
        };
        let Some(attempt) = connection.attempts.get(rid) else {
            return false;
        };
        let (from, to, latency) = (attempt.starts_at, attempt.ends_at, now - attempt.sent);
        if to <= connection.socket.bytes_written {
            return false;
        }
        let alone = connection.attempts.len() == 1;
        if connection.socket.retract(from, to) {
            let later = connection
                .attempts
                .values_mut()
                .filter(|attempt| attempt.starts_at >= to);
            later.for_each(|attempt| {
                (attempt.starts_at, attempt.ends_at) = (
                    attempt.starts_at - (to - from),
                    attempt.ends_at - (to - from),
                );
            });
        } else if !alone {
            // Begun already, and others' are behind it: its end is needed for them to be read.
            return false;
        }
        counters.attempts_withdrawn += 1;
        self.over(now, at, rid, event, latency, Vec::new());
        if alone {
            // Nobody waits for it any more, or what it began must not be ended.
            drop(self.drop_connection(at));
        } else {
            self.settle(at);
        }
        true
    }

    /// Takes an attempt off the books and tells of its end.
    fn over(
        &mut self,
        now: Timestamp,
        at: ConnectionId,
        rid: &RequestId,
        event: AttemptEvent,
        latency: TimeDelta,
        pages: Vec<Bytes>,
    ) {
        let Some(connection) = self.connections.get_mut(&at) else {
            return;
        };
        let Some(attempt) = connection.attempts.remove(rid) else {
            return;
        };
        if connection.attempts.is_empty() {
            connection.quiet_since = now;
        }
        let (statement, relay_no) = (attempt.statement, attempt.attempt);
        self.places.remove(&(statement, relay_no));
        self.dues.remove(&(attempt.due, statement, relay_no));
        self.reports.push(AttemptUpdate {
            statement,
            attempt: relay_no,
            event,
            latency,
            pages,
        });
    }

    fn flush(&mut self, now: Timestamp, at: ConnectionId, counters: &mut Counters) {
        let Some(connection) = self.connections.get_mut(&at) else {
            return;
        };
        if connection.connecting.is_none()
            && let Err(error) = connection.socket.flush()
        {
            self.end(now, at, &error.to_string(), counters);
        }
    }

    /// A connection is lost. What had not left this machine whole never ran; the rest may have.
    fn end(&mut self, now: Timestamp, at: ConnectionId, why: &str, counters: &mut Counters) {
        let Some(connection) = self.connections.get(&at) else {
            return;
        };
        debug!(
            engine = connection.engine.0,
            attempts = connection.attempts.len(),
            why,
            "connection lost"
        );
        let written = connection.socket.bytes_written;
        let mut ends: Vec<(StatementId, RequestId, AttemptEvent, TimeDelta)> = connection
            .attempts
            .iter()
            .map(|(rid, attempt)| {
                let never = connection.connecting.is_some() || attempt.ends_at > written;
                let event = if never {
                    AttemptEvent::Unreachable
                } else {
                    AttemptEvent::Reset
                };
                (attempt.statement, *rid, event, now - attempt.sent)
            })
            .collect();
        // In the order of taking, not of the hash: what follows must not hang on it.
        ends.sort_by_key(|end| end.0);
        for (_, rid, event, latency) in ends {
            match event {
                AttemptEvent::Reset => counters.attempts_reset += 1,
                _ => counters.attempts_unreachable += 1,
            }
            self.over(now, at, &rid, event, latency, Vec::new());
        }
        self.drop_connection(at);
    }

    pub fn on_socket_event(&mut self, now: Timestamp, at: ConnectionId, counters: &mut Counters) {
        let Some(connection) = self.connections.get_mut(&at) else {
            return;
        };
        if connection.connecting.is_some() {
            match connection.socket.is_connected() {
                Ok(false) => return,
                Ok(true) => connection.connecting = None,
                Err(error) => return self.end(now, at, &error.to_string(), counters),
            }
        }
        connection.socket.mark_readable();
        self.flush(now, at, counters);
        self.read(now, at, counters);
    }

    /// Reads a bounded part. Bytes that can't be used end the connection at once, whatever else it says.
    fn read(&mut self, now: Timestamp, at: ConnectionId, counters: &mut Counters) {
        for _ in 0..READS {
            let Some(connection) = self.connections.get_mut(&at) else {
                return;
            };
            let read = connection.socket.read_up_to(protocol::MAX_RESPONSE_BYTES);
            // What came before an end still counts.
            loop {
                let Some(connection) = self.connections.get_mut(&at) else {
                    return;
                };
                match Response::decode(&mut connection.socket.read_buffer) {
                    Ok(Some(answer)) => {
                        connection.begun = None;
                        self.answered(now, at, answer, counters);
                    }
                    Ok(None) => break,
                    Err(error) => {
                        counters.answers_malformed += 1;
                        return self.end(now, at, &error.to_string(), counters);
                    }
                }
            }
            let Some(connection) = self.connections.get_mut(&at) else {
                return;
            };
            match read {
                Err(error) => return self.end(now, at, &error.to_string(), counters),
                Ok(()) if connection.socket.peer_finished => {
                    return self.end(now, at, "closed by the engine", counters);
                }
                Ok(()) => {}
            }
            let partial = !connection.socket.read_buffer.is_empty();
            if partial && connection.attempts.is_empty() {
                // Nobody asked for it, and what is put on this connection next would stand behind it.
                counters.answers_malformed += 1;
                return self.end(now, at, "half an answer to nothing", counters);
            }
            connection.begun = connection
                .begun
                .filter(|_| partial)
                .or(partial.then_some(now));
            if !connection.socket.may_have_more() {
                return self.settle(at);
            }
        }
        self.again.insert(at);
        self.settle(at);
    }

    fn answered(
        &mut self,
        now: Timestamp,
        at: ConnectionId,
        answer: Response,
        counters: &mut Counters,
    ) {
        let Some(connection) = self.connections.get_mut(&at) else {
            return;
        };
        let rid = RequestId::try_from(&answer.request_id[..]).ok();
        let Some((rid, attempt)) =
            rid.and_then(|rid| Some((rid, connection.attempts.get_mut(&rid)?)))
        else {
            // Late, twice or unasked: no further attempt of that id is ever on this connection.
            counters.answers_late += u64::from(answer.kind != ResponseKind::Pong);
            return;
        };
        let latency = now - attempt.sent;
        let end = match answer.kind {
            ResponseKind::Pong => return,
            ResponseKind::Status => {
                counters.engine_notes += 1;
                let event = match (answer.field("remark"), answer.number::<f64>("datum")) {
                    (Some(b"done"), Some(done)) if done.is_finite() => AttemptEvent::Progress(done),
                    (Some(b"spills" | b"waits"), _) => AttemptEvent::Stalled,
                    _ => return,
                };
                let (statement, attempt) = (attempt.statement, attempt.attempt);
                self.reports.push(AttemptUpdate {
                    statement,
                    attempt,
                    event,
                    latency,
                    pages: Vec::new(),
                });
                return;
            }
            ResponseKind::Rejected => (AttemptEvent::Rejected, &mut counters.attempts_rejected),
            ResponseKind::Expired => (AttemptEvent::NeverSent, &mut counters.attempts_expired),
            ResponseKind::Failed => (AttemptEvent::Error, &mut counters.attempts_failed),
            ResponseKind::Completed if attempt.coming.is_some() => {
                counters.answers_late += 1;
                return;
            }
            ResponseKind::Completed => {
                let total = answer.number::<usize>("total").unwrap_or(1).max(1);
                if total > PAGES {
                    counters.answers_malformed += 1;
                    return self.end(now, at, "a result of too many pages", counters);
                }
                let mut coming = Coming {
                    latency,
                    cpu: answer
                        .quantity("elapsed")
                        .map(|ms| TimeDelta::from_secs(ms / 1e3)),
                    memory_mb: answer.quantity("rss"),
                    size: answer.body.len(),
                    pages: vec![None; total],
                    moved: now,
                };
                coming.pages[0] = Some(answer.body);
                attempt.coming = Some(coming);
                if !attempt.unwanted {
                    (1..total).for_each(|number| {
                        connection
                            .socket
                            .enqueue(&protocol::encode_page_request(&rid, number))
                    });
                    self.flush(now, at, counters);
                }
                return self.complete(now, at, &rid, counters);
            }
            ResponseKind::Page => {
                counters.pages_received += 1;
                let number = answer.number::<usize>("index").unwrap_or(0);
                let coming = attempt.coming.as_mut();
                let slot = coming
                    .and_then(|c| Some((&mut c.size, &mut c.moved, c.pages.get_mut(number)?)));
                let Some((size, moved, slot @ None)) = slot else {
                    counters.answers_late += 1;
                    return;
                };
                (*size, *moved) = (*size + answer.body.len(), now);
                *slot = Some(answer.body);
                return self.complete(now, at, &rid, counters);
            }
        };
        *end.1 += 1;
        self.over(now, at, &rid, end.0, latency, Vec::new());
    }

    /// Ends an attempt whose pages are all there, or not wanted. What is no text of whole rows ends the connection.
    fn complete(
        &mut self,
        now: Timestamp,
        at: ConnectionId,
        rid: &RequestId,
        counters: &mut Counters,
    ) {
        let Some(connection) = self.connections.get_mut(&at) else {
            return;
        };
        let Some(attempt) = connection.attempts.get_mut(rid) else {
            return;
        };
        let Some(coming) = attempt.coming.as_mut() else {
            return;
        };
        let missing = coming.pages.iter().any(Option::is_none);
        let pages: Vec<Bytes> = if missing {
            Vec::new()
        } else {
            coming.pages.iter().flatten().cloned().collect()
        };
        if coming.size > RESULT || !pages.iter().all(|page| is_rows(page)) {
            counters.answers_malformed += 1;
            debug!(
                engine = connection.engine.0,
                "a result that is no rows of text"
            );
            return self.end(now, at, "a result that is no rows of text", counters);
        }
        if missing && !attempt.unwanted {
            return;
        }
        let event = AttemptEvent::Completed {
            cpu: coming.cpu,
            memory_mb: coming.memory_mb,
        };
        let latency = coming.latency;
        counters.attempts_completed += 1;
        if missing {
            connection.socket.enqueue(&protocol::encode_release(rid));
        }
        self.over(now, at, rid, event, latency, pages);
        self.flush(now, at, counters);
    }
}

fn is_rows(page: &[u8]) -> bool {
    let lines = page
        .strip_suffix(b"\n")
        .map(|rows| rows.split(|byte| *byte == b'\n'));
    let three = |row: &[u8]| row.iter().filter(|byte| **byte == b'\t').count() == 2;
    std::str::from_utf8(page).is_ok()
        && (page.is_empty() || lines.is_some_and(|mut lines| lines.all(three)))
}
