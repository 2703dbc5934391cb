//! MySQL sessions: one statement at a time on each, all that waits behind it unread.

pub mod comment;
pub mod packets;

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{IpAddr, TcpStream};
use std::rc::Rc;
use std::sync::Arc;

use admission::interface::*;
use bytes::{Bytes, BytesMut};
use rustls::ServerConfig;
use tracing::debug;

use crate::counters::Counters;
use crate::socket::{Loop, Peer, Socket};
use packets::{Answer, Command, Query};

/// Network facts. A client logs in and sends its first command at once, and is owed a word or a close within 3 s
/// of connecting; a packet once begun is whole soon after; it closes idle sessions after 4 s, so one idle for half a minute was forgotten; a peer
/// that takes nothing of its answer for 10 s is not reading any more; after our last word a client has this long
/// to read it before its socket goes.
const FIRST_S: f64 = 2.0;
const WHOLE_S: f64 = 2.0;
const IDLE_S: f64 = 30.0;
const STUCK_S: f64 = 10.0;
const LINGER_S: f64 = 1.0;
/// Part of the sessions that may be new ones without a command while others stand idle.
const NEW_SHARE: f64 = 0.25;
/// How often sessions are looked over for these; far finer than they are.
const SWEEP_S: f64 = 0.25;
/// Answers to pipelined commands that may wait unread before we stop reading more.
const UNREAD: usize = 4 << 10;
/// No usual statement is larger; where memory is short, larger packets go first.
const SMALL: usize = 8 << 10;
/// How many sessions are looked at for the place of a new one: each may turn out to be asking just then.
const MAKE_ROOM: usize = 8;
/// What one session may have of a turn, so that none slows the others: so much read, so many commands.
const ROOM: usize = 4 + packets::LARGEST;
const COMMANDS: usize = 16;

/// What a session brings to the decisions.
pub enum News {
    Asked {
        session: u32,
        text: Bytes,
        from: IpAddr,
        /// When it had come: earlier than now where it stood behind another.
        came: Timestamp,
    },
    /// A token, at login or later, to be judged.
    Token {
        session: u32,
        token: Rc<str>,
        login: bool,
    },
    /// What waits: all, or the statement of this id.
    Queue {
        session: u32,
        text: Bytes,
        id: Option<String>,
    },
    /// The other gateways.
    Fleet {
        session: u32,
        text: Bytes,
    },
    /// Budgets of all gateways.
    Shares {
        session: u32,
        text: Bytes,
    },
    Kill {
        by: u32,
        session: u32,
        whole: bool,
    },
    /// The client of a statement is gone; no answer can reach it.
    Left(StatementId),
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    Login,
    /// TLS stands; the login proper comes.
    Secured,
    /// The password was asked for.
    Password,
    Open,
    /// Our last word is said; what still comes is not read for meaning.
    Closing,
}

/// How a session stands that may be closed for another.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Rest {
    Over,
    New,
    Idle,
}

/// A client that sends no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Left {
    /// In which turn that was seen.
    pub seen: Timestamp,
    /// When its end had come to this machine: long before where we stood still, or its connection waited to be taken.
    pub came: Timestamp,
}

struct Session {
    socket: Socket,
    from: IpAddr,
    /// It takes progress reports while its statement waits.
    progress: bool,
    /// By which its statements are judged, each anew.
    token: Option<Rc<str>>,
    phase: Phase,
    /// Number of the packet that is to be answered.
    seq: u8,
    /// A query that waits for its answer, and once taken its statement.
    asked: bool,
    statement: Option<StatementId>,
    opened: Timestamp,
    /// Commands so far. One that never sent any is the first to go when sessions run short.
    commands: u64,
    /// When it last moved: a phase, a command, or bytes taken by the client.
    moved: Timestamp,
    /// Since when a packet has been begun and not ended.
    begun: Option<Timestamp>,
    /// Since when whole packets have stood behind an open statement: their clients' time runs.
    behind: Option<Timestamp>,
    /// When its client had been heard of last before we took its connection.
    heard: Timestamp,
    left: Option<Left>,
    written: u64,
}

impl Session {
    /// What has come waits: for the answer before it, for its client to read, or for good.
    fn held(&self) -> bool {
        self.asked || self.phase == Phase::Closing || self.socket.unwritten() > UNREAD
    }

    /// A whole packet has come, or one that can't be used.
    fn whole(&self) -> bool {
        packets::waiting(&self.socket.inbox)
    }

    /// May be closed for another, the least first: one that has had its last word, one that never asked, one at rest;
    /// of these the one that has stood still for longest.
    fn spare(&self) -> Option<(Rest, Timestamp)> {
        let owed = self.phase == Phase::Open && (self.asked || self.socket.unwritten() > 0);
        let rest = match self.phase {
            Phase::Closing => Rest::Over,
            Phase::Open if self.commands > 0 => Rest::Idle,
            _ => Rest::New,
        };
        (!owed).then_some((rest, self.moved))
    }

    /// A packet that is not read to its end; what follows has no meaning.
    fn turn_away(&mut self, now: Timestamp, why: &str) {
        self.socket
            .put(&Answer::to(self.seq).error(1153, b"08S01", why));
        (self.phase, self.moved) = (Phase::Closing, now);
    }

    /// Why it has to go by now.
    fn over(&self, now: Timestamp) -> bool {
        let past = |since: Timestamp, limit: f64| (now - since).secs() > limit;
        match self.phase {
            Phase::Closing => past(self.moved, LINGER_S),
            _ if self.commands == 0 && past(self.opened, FIRST_S) => true,
            _ if self.socket.unwritten() > 0 => past(self.moved, STUCK_S),
            _ if self.asked => false,
            _ => self.begun.is_some_and(|since| past(since, WHOLE_S)) || past(self.moved, IDLE_S),
        }
    }
}

pub struct Clients {
    handle: Loop,
    share: usize,
    /// Callers are to be known: TLS and a token, by this.
    tls: Option<Arc<ServerConfig>>,
    /// Progress reports are offered.
    progress: bool,
    /// Sessions that take them; they leave with the session.
    progressing: BTreeSet<u32>,
    /// What all inboxes may hold together and do; beyond it those that are not small are turned away.
    bound: usize,
    unread: usize,
    next: u32,
    sessions: BTreeMap<u32, Session>,
    /// Sessions with more to read or do than their part of a turn; emptied by the next.
    again: BTreeSet<u32>,
    /// Sessions whose clients send no more, while they stand.
    left: BTreeSet<u32>,
    news: Vec<News>,
    sweep: Timestamp,
}

impl Clients {
    pub fn new(handle: &Loop, share: usize, bound: usize, progress: bool, now: Timestamp) -> Self {
        let progressing = BTreeSet::new();
        let (sessions, again, left, news) = (
            BTreeMap::new(),
            BTreeSet::new(),
            BTreeSet::new(),
            Vec::new(),
        );
        Clients {
            handle: handle.clone(),
            share,
            tls: None,
            progress,
            progressing,
            bound,
            unread: 0,
            next: 0,
            sessions,
            again,
            left,
            news,
            sweep: now,
        }
    }

    /// Room for one more, if need be in the place of another. With an answer owed on all, connections wait in the
    /// machine's backlog, where they cost us nothing.
    pub fn room(&self) -> bool {
        self.sessions.len() < self.share
            || self
                .sessions
                .values()
                .any(|session| session.spare().is_some())
    }

    /// Against clients that keep their connection for good, or connect by the hundred and say nothing. Those that
    /// have not asked yet go first, the oldest of them; but so many may always be on their way in that one who
    /// just came has the time to ask: then the longest idle goes.
    fn make_room(&mut self, now: Timestamp, counters: &mut Counters) {
        for _ in 0..MAKE_ROOM {
            if self.sessions.len() < self.share || !self.close_one(now, counters) {
                return;
            }
        }
    }

    /// A descriptor is needed for something else than clients. False: no session can be spared.
    pub fn give_up_one(&mut self, now: Timestamp, counters: &mut Counters) -> bool {
        let before = self.sessions.len();
        (0..MAKE_ROOM).any(|_| self.close_one(now, counters) && self.sessions.len() < before)
    }

    /// Closes the session that can best be spared, or answers it if it asks just then. False: none can.
    fn close_one(&mut self, now: Timestamp, counters: &mut Counters) -> bool {
        let (mut new, mut oldest) = (0, [None; 3]);
        for (id, session) in &self.sessions {
            let Some((rest, since)) = session.spare() else {
                continue;
            };
            new += usize::from(rest == Rest::New);
            let oldest = &mut oldest[rest as usize];
            *oldest = oldest.map_or(Some((since, *id)), |old: (Timestamp, u32)| {
                Some(old.min((since, *id)))
            });
        }
        let [over, new_one, idle_one] = oldest;
        let crowd = new as f64 > self.share as f64 * NEW_SHARE;
        let goes = if crowd {
            new_one.or(idle_one)
        } else {
            idle_one.or(new_one)
        };
        let Some((_, id)) = over.or(goes) else {
            return false;
        };
        // One that asks in this very moment is none to spare, and another goes.
        if self.at_rest(now, id, counters) {
            counters.sessions_evicted += 1;
            self.sessions
                .get_mut(&id)
                .into_iter()
                .for_each(|session| session.socket.finish());
            self.end(id, counters);
        }
        true
    }

    /// The last look before a session is closed: nothing whole has come since it was read. What has is worked off, and the
    /// session stays for its answer.
    fn at_rest(&mut self, now: Timestamp, id: u32, counters: &mut Counters) -> bool {
        let Some(session) = self.sessions.get_mut(&id) else {
            return true;
        };
        session.socket.news();
        if session.phase == Phase::Closing || self.read(id).is_err() {
            return true;
        }
        let rests = self
            .sessions
            .get(&id)
            .is_none_or(|session| !session.whole());
        if !rests {
            self.work(now, id, counters);
        }
        rests
    }

    /// Ends a session that rests: our side is shut first and its client read until it closes too. Closed at once, what
    /// may still come would have the machine reset the connection, and throw away what was written before.
    fn part(&mut self, now: Timestamp, id: u32, counters: &mut Counters) {
        if self.at_rest(now, id, counters)
            && let Some(session) = self.sessions.get_mut(&id)
        {
            (session.phase, session.moved) = (Phase::Closing, now);
            self.work(now, id, counters);
        }
    }

    /// The gateway ends, and nothing is owed: ends all sessions so. False: something came in this very moment.
    pub fn part_all(&mut self, now: Timestamp, counters: &mut Counters) -> bool {
        let all: Vec<u32> = self.sessions.keys().copied().collect();
        // First a look at all, so that what came is answered before anybody is sent away.
        let ask = all
            .iter()
            .filter(|id| !self.at_rest(now, **id, counters))
            .count();
        let quiet = ask == 0 && self.all_quiet() && !self.has_news();
        if quiet {
            all.into_iter().for_each(|id| self.part(now, id, counters));
        }
        quiet
    }

    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    /// No answer is owed and none is on its way.
    pub fn all_quiet(&self) -> bool {
        self.sessions
            .values()
            .all(|s| !s.asked && s.socket.unwritten() == 0)
    }

    pub fn has_news(&self) -> bool {
        !self.news.is_empty()
    }

    pub fn news(&mut self) -> Vec<News> {
        std::mem::take(&mut self.news)
    }

    pub fn accept(
        &mut self,
        now: Timestamp,
        stream: TcpStream,
        from: IpAddr,
        counters: &mut Counters,
    ) {
        self.make_room(now, counters);
        // Zero is what an unset connection id reads as.
        self.next = self.next.checked_add(1).unwrap_or(1);
        let id = self.next;
        let socket = match Socket::new(stream, &self.handle, Peer::Client(id)) {
            Ok(socket) => socket,
            Err(error) => return debug!(%error, "client not taken"),
        };
        let heard = socket.heard(now);
        counters.sessions_opened += 1;
        let mut session = Session {
            socket,
            from,
            progress: false,
            token: None,
            phase: Phase::Login,
            seq: 0,
            asked: false,
            statement: None,
            opened: now,
            commands: 0,
            moved: now,
            begun: None,
            behind: None,
            heard,
            left: None,
            written: 0,
        };
        session
            .socket
            .put(&packets::greeting(id, self.progress, self.tls.is_some()));
        self.sessions.insert(id, session);
        self.ready(now, id, counters);
    }

    pub fn ready(&mut self, now: Timestamp, id: u32, counters: &mut Counters) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        session.socket.news();
        self.work(now, id, counters);
    }

    /// Goes on with sessions that had used up their part of the turn before.
    pub fn go_on(&mut self, now: Timestamp, counters: &mut Counters) {
        std::mem::take(&mut self.again)
            .into_iter()
            .for_each(|id| self.work(now, id, counters));
    }

    /// Reads what there is room for.
    fn read(&mut self, id: u32) -> io::Result<()> {
        let Some(session) = self.sessions.get_mut(&id) else {
            return Ok(());
        };
        let before = session.socket.inbox.len();
        let read = session
            .socket
            .flush()
            .and_then(|()| session.socket.fill(ROOM));
        self.unread += session.socket.inbox.len() - before;
        read
    }

    /// Reads a part and works off whole packets, up to the next statement.
    fn work(&mut self, now: Timestamp, id: u32, counters: &mut Counters) {
        if self.read(id).is_err() {
            return self.end(id, counters);
        }
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        // Where there is no room to read up to it, the end has to be asked for.
        let full = session.asked && session.socket.inbox.len() >= ROOM;
        let left = session.socket.ended
            || match full.then(|| session.socket.hung_up()).transpose() {
                Ok(left) => left.unwrap_or(false),
                Err(_) => return self.end(id, counters),
            };
        if left {
            // What we write is acknowledged, and the machine's word of the client's end with it.
            let taken_now = session.opened == now;
            let came = if taken_now {
                session.heard
            } else {
                session.socket.heard(now)
            };
            session.left.get_or_insert(Left { seen: now, came });
            self.left.insert(id);
        }
        for _ in 0..COMMANDS {
            let Some(session) = self.sessions.get_mut(&id) else {
                return;
            };
            if session.held() {
                break;
            }
            let before = session.socket.inbox.len();
            let packet = packets::take(&mut session.socket.inbox);
            self.unread -= before - session.socket.inbox.len();
            let crowded = self.unread > self.bound && session.socket.inbox.len() > SMALL;
            match packet {
                Ok(None) if crowded => session.turn_away(now, "too many large packets at once"),
                Ok(Some(packet)) => {
                    (session.seq, session.moved, session.begun) = (packet.seq, now, None);
                    self.packet(now, id, &packet.body, counters);
                }
                Ok(None) => break,
                Err(too_large) => session.turn_away(now, &too_large.to_string()),
            }
        }
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        if session.phase == Phase::Closing {
            // Read on for a while all the same: closing with unread input would reset our last word away.
            self.unread -= session.socket.inbox.len();
            session.socket.inbox.clear();
        }
        let behind = session.asked && session.whole();
        session.behind = session
            .behind
            .filter(|_| session.whole())
            .or(behind.then_some(now));
        let begun = !session.held() && !session.socket.inbox.is_empty();
        session.begun = session.begun.filter(|_| begun).or(begun.then_some(now));
        // What is held goes on with its answer, or when its client has read.
        let more = session.socket.more() && session.socket.inbox.len() < ROOM;
        if session.phase == Phase::Closing && more || !session.held() && (more || session.whole()) {
            self.again.insert(id);
        }
        self.settle(now, id, counters);
    }

    /// Writes what is to be written, and closes what has said all.
    fn settle(&mut self, now: Timestamp, id: u32, counters: &mut Counters) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        if session.socket.flush().is_err() {
            return self.end(id, counters);
        }
        if session.socket.written != session.written {
            (session.written, session.moved) = (session.socket.written, now);
        }
        let said = !session.asked && session.socket.unwritten() == 0;
        if said && session.socket.ended {
            return self.end(id, counters);
        }
        if said && session.phase == Phase::Closing {
            session.socket.finish();
        }
    }

    fn packet(&mut self, now: Timestamp, id: u32, body: &[u8], counters: &mut Counters) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let answer = Answer::to(session.seq);
        if let Some(tls) = &self.tls
            && matches!(
                session.phase,
                Phase::Login | Phase::Secured | Phase::Password
            )
        {
            let known = match (session.phase, packets::hello(body)) {
                (Phase::Login, packets::Hello::Tls) => {
                    session.phase = Phase::Secured;
                    // The rest of this packet's turn reads on within TLS.
                    let before = session.socket.inbox.len();
                    let ended = session.socket.start_tls(tls.clone()).is_err();
                    self.unread = self.unread + session.socket.inbox.len() - before;
                    counters.tls_failed += u64::from(ended);
                    session.phase = if ended { Phase::Closing } else { session.phase };
                    return;
                }
                // Nothing of it is read: what ought to be secret is not to be sent so again.
                (Phase::Login, packets::Hello::Login) => {
                    Err((3159, b"HY000", "TLS is required here"))
                }
                (Phase::Secured, _) => packets::token_login(body).map(|()| answer.ask_clear()),
                _ => match std::str::from_utf8(body.strip_suffix(&[0]).unwrap_or(body)) {
                    Ok(token) => {
                        session.asked = true;
                        self.news.push(News::Token {
                            session: id,
                            token: token.into(),
                            login: true,
                        });
                        return;
                    }
                    Err(_) => Err((1045, b"28000", "Access denied")),
                },
            };
            match known {
                Ok(bytes) => {
                    session.phase = Phase::Password;
                    session.socket.put(&bytes);
                }
                Err((code, state, text)) => {
                    counters.logins_rejected += 1;
                    session.phase = Phase::Closing;
                    session
                        .socket
                        .put(&Answer::to(session.seq).error(code, state, text));
                }
            }
            return;
        }
        if session.phase == Phase::Login {
            match packets::login(body) {
                Ok(()) => {
                    session.progress = self.progress && packets::takes_progress(body);
                    if session.progress {
                        self.progressing.insert(id);
                    }
                    session.phase = Phase::Open;
                    session.socket.put(&answer.ok());
                }
                Err((code, state, text)) => {
                    counters.logins_rejected += 1;
                    session.phase = Phase::Closing;
                    session.socket.put(&answer.error(code, state, text));
                }
            }
            return;
        }
        session.commands += 1;
        match packets::command(body) {
            Command::Quit => session.phase = Phase::Closing,
            Command::Ping | Command::Fine => session.socket.put(&answer.ok()),
            Command::Unknown => {
                session
                    .socket
                    .put(&answer.error(1047, b"08S01", "Unknown command"))
            }
            Command::Query(text) => match packets::query(text) {
                Query::Fine => session.socket.put(&answer.ok()),
                Query::Renew(token) if self.tls.is_some() => {
                    session.asked = true;
                    self.news.push(News::Token {
                        session: id,
                        token: token.into(),
                        login: false,
                    });
                }
                Query::Renew(_) => session.socket.put(&answer.ok()),
                Query::Variable(name) => {
                    let largest = packets::LARGEST.to_string();
                    let known = name.eq_ignore_ascii_case("@@max_allowed_packet");
                    let value = if known { largest.as_bytes() } else { b"" };
                    session.socket.put(&answer.value(name, value));
                }
                Query::Kill { connection, whole } => {
                    session.asked = true;
                    self.news.push(News::Kill {
                        by: id,
                        session: connection,
                        whole,
                    });
                }
                Query::Statement => {
                    session.asked = true;
                    let (text, from) = (Bytes::copy_from_slice(text), session.from);
                    let came = session.behind.unwrap_or(now);
                    self.news.push(News::Asked {
                        session: id,
                        text,
                        from,
                        came,
                    });
                }
                Query::Fleet => {
                    session.asked = true;
                    self.news.push(News::Fleet {
                        session: id,
                        text: Bytes::copy_from_slice(text),
                    });
                }
                Query::Shares => {
                    session.asked = true;
                    self.news.push(News::Shares {
                        session: id,
                        text: Bytes::copy_from_slice(text),
                    });
                }
                Query::Queue(rid) => {
                    session.asked = true;
                    let (text, id_of) = (Bytes::copy_from_slice(text), rid.map(String::from));
                    self.news.push(News::Queue {
                        session: id,
                        text,
                        id: id_of,
                    });
                }
            },
        }
    }

    /// The statement that a session's query became.
    pub fn took(&mut self, id: u32, statement: StatementId) {
        self.sessions
            .get_mut(&id)
            .into_iter()
            .for_each(|session| session.statement = Some(statement));
    }

    /// Callers are to be known from now on; new handshakes use this, sessions that stand keep what they have.
    pub fn secure(&mut self, tls: Arc<ServerConfig>) {
        self.tls = Some(tls);
    }

    pub fn stands(&self, id: u32) -> bool {
        self.sessions.contains_key(&id)
    }

    pub fn from(&self, id: u32) -> IpAddr {
        self.sessions
            .get(&id)
            .map_or(IpAddr::from([0; 4]), |session| session.from)
    }

    pub fn token(&self, id: u32) -> Option<Rc<str>> {
        self.sessions.get(&id)?.token.clone()
    }

    /// The session's token was found good: it is logged in, or goes on with this one.
    pub fn known(&mut self, now: Timestamp, id: u32, token: Rc<str>, counters: &mut Counters) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.token = Some(token);
            session.phase = Phase::Open;
        }
        self.answer(now, id, counters, |answer| answer.ok());
    }

    /// Its token is not good enough to log in with: it is told why, and its session ends.
    pub fn unknown(
        &mut self,
        now: Timestamp,
        id: u32,
        counters: &mut Counters,
        answer: impl FnOnce(Answer) -> BytesMut,
    ) {
        counters.logins_rejected += 1;
        if let Some(session) = self.sessions.get_mut(&id) {
            session.phase = Phase::Closing;
        }
        self.answer(now, id, counters, answer);
    }

    /// Sessions that take progress reports and have a statement open.
    pub fn progressing(&self) -> Vec<(u32, StatementId)> {
        let open = |id: &u32| Some((*id, self.sessions.get(id)?.statement?));
        self.progressing.iter().filter_map(open).collect()
    }

    /// A report ahead of a session's answer; one that does not read its reports gets no more.
    pub fn tell_progress(
        &mut self,
        now: Timestamp,
        id: u32,
        done: u32,
        text: &str,
        counters: &mut Counters,
    ) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        if !session.asked || session.socket.unwritten() > 0 {
            return;
        }
        let (seq, packet) = Answer::to(session.seq).progress((1, 2), done, text);
        session.seq = seq;
        session.socket.put(&packet);
        counters.progress_reports_sent += 1;
        self.settle(now, id, counters);
    }

    /// Gives a session its one answer, and reads on behind it. False: nobody waits for it any more.
    pub fn answer(
        &mut self,
        now: Timestamp,
        id: u32,
        counters: &mut Counters,
        answer: impl FnOnce(Answer) -> BytesMut,
    ) -> bool {
        let Some(session) = self.sessions.get_mut(&id).filter(|session| session.asked) else {
            return false;
        };
        session.socket.put(&answer(Answer::to(session.seq)));
        (session.asked, session.statement, session.moved) = (false, None, now);
        self.work(now, id, counters);
        true
    }

    /// The statement that another session wants ended. `whole`: its session too.
    pub fn kill(
        &mut self,
        now: Timestamp,
        id: u32,
        whole: bool,
        counters: &mut Counters,
    ) -> Option<Option<StatementId>> {
        let session = self.sessions.get_mut(&id)?;
        let statement = session.statement;
        if whole {
            // First of all, or its answer would let the next command be read.
            (session.phase, session.moved) = (Phase::Closing, now);
        }
        if statement.is_some() {
            let interrupted =
                |answer: Answer| answer.error(1317, b"70100", "Query execution was interrupted");
            self.answer(now, id, counters, interrupted);
        }
        if whole {
            self.work(now, id, counters);
        }
        Some(statement)
    }

    /// Statements whose client sends no more.
    pub fn left(&self) -> Vec<(StatementId, Left)> {
        let open = |id: &u32| {
            let session = self.sessions.get(id)?;
            Some((session.statement?, session.left?))
        };
        self.left.iter().filter_map(open).collect()
    }

    fn end(&mut self, id: u32, counters: &mut Counters) {
        let Some(session) = self.sessions.remove(&id) else {
            return;
        };
        counters.sessions_closed += 1;
        self.progressing.remove(&id);
        self.left.remove(&id);
        self.unread -= session.socket.inbox.len();
        self.news.extend(session.statement.map(News::Left));
    }

    pub fn next_due(&self, now: Timestamp) -> Option<Timestamp> {
        let sweep = (!self.sessions.is_empty()).then_some(self.sweep);
        if self.again.is_empty() && self.news.is_empty() {
            sweep
        } else {
            Some(now)
        }
    }

    pub fn expire(&mut self, now: Timestamp, counters: &mut Counters) {
        if now < self.sweep {
            return;
        }
        self.sweep = now + TimeDelta::from_secs(SWEEP_S);
        let over = self
            .sessions
            .iter()
            .filter(|(_, session)| session.over(now));
        // Who does not read would not read our last word either.
        let stuck =
            |session: &Session| session.phase == Phase::Closing || session.socket.unwritten() > 0;
        let over: Vec<(u32, bool)> = over.map(|(id, session)| (*id, stuck(session))).collect();
        for (id, stuck) in over {
            if stuck {
                self.end(id, counters)
            } else {
                self.part(now, id, counters)
            }
        }
    }
}
