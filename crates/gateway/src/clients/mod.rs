//! MySQL sessions: one statement at a time on each, all that waits behind it unread.

pub mod comment;
pub mod packets;

use std::collections::BTreeMap;
use std::net::TcpStream;

use admission::interface::*;
use bytes::{Bytes, BytesMut};
use tracing::debug;

use crate::counters::Counters;
use crate::socket::{Loop, Peer, Socket};
use packets::{Answer, Command, Query};

/// Network facts. A client logs in at once; it closes idle sessions after 4 s, so one idle for a minute was
/// forgotten; a peer that takes nothing of its answer for 10 s is not reading any more; after our last word
/// a client has this long to read it before its socket goes.
const LOGIN_S: f64 = 10.0;
const IDLE_S: f64 = 60.0;
const STUCK_S: f64 = 10.0;
const LINGER_S: f64 = 1.0;
/// How often sessions are looked over for these; far finer than they are.
const SWEEP_S: f64 = 0.25;
/// Answers to pipelined commands that may wait unread before we stop reading more.
const UNREAD: usize = 64 << 10;

/// What a session brings to the decisions.
pub enum News {
    Asked {
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
    Open,
    /// Our last word is said; what still comes is not read for meaning.
    Closing,
}

struct Session {
    socket: Socket,
    phase: Phase,
    /// Number of the packet that is to be answered.
    seq: u8,
    /// A query that waits for its answer, and once taken its statement.
    asked: bool,
    statement: Option<StatementId>,
    /// When it last moved: a phase, a command, or bytes taken by the client.
    moved: Moment,
    written: u64,
}

pub struct Clients {
    handle: Loop,
    share: usize,
    next: u32,
    sessions: BTreeMap<u32, Session>,
    news: Vec<News>,
    sweep: Moment,
}

impl Clients {
    pub fn new(handle: &Loop, share: usize, now: Moment) -> Self {
        let (sessions, news) = (BTreeMap::new(), Vec::new());
        Clients { handle: handle.clone(), share, next: 0, sessions, news, sweep: now }
    }

    /// Room for one more: without it, connections wait in the machine's backlog, where they cost us nothing.
    pub fn room(&self) -> bool {
        self.sessions.len() < self.share
    }

    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    /// No answer is owed and none is on its way.
    pub fn all_quiet(&self) -> bool {
        self.sessions.values().all(|s| !s.asked && s.socket.unwritten() == 0)
    }

    pub fn has_news(&self) -> bool {
        !self.news.is_empty()
    }

    pub fn news(&mut self) -> Vec<News> {
        std::mem::take(&mut self.news)
    }

    pub fn accept(&mut self, now: Moment, stream: TcpStream, counters: &mut Counters) {
        // Zero is what an unset connection id reads as.
        self.next = self.next.checked_add(1).unwrap_or(1);
        let id = self.next;
        let socket = match Socket::new(stream, &self.handle, Peer::Client(id)) {
            Ok(socket) => socket,
            Err(error) => return debug!(%error, "client not taken"),
        };
        counters.sessions_opened += 1;
        let mut session = Session {
            socket,
            phase: Phase::Login,
            seq: 0,
            asked: false,
            statement: None,
            moved: now,
            written: 0,
        };
        session.socket.put(&packets::greeting(id));
        self.sessions.insert(id, session);
        self.ready(now, id, counters);
    }

    pub fn ready(&mut self, now: Moment, id: u32, counters: &mut Counters) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let room = 4 + packets::LARGEST;
        if session.socket.flush().and_then(|()| session.socket.fill(room)).is_err() {
            return self.end(id, counters);
        }
        self.work(now, id, counters);
    }

    /// Works off whole packets up to the next statement, and reads on as they leave room.
    fn work(&mut self, now: Moment, id: u32, counters: &mut Counters) {
        loop {
            let Some(session) = self.sessions.get_mut(&id) else { return };
            if session.phase == Phase::Closing {
                session.socket.inbox.clear();
            }
            let held =
                session.asked || session.phase == Phase::Closing || session.socket.unwritten() > UNREAD;
            let packet = if held { Ok(None) } else { packets::take(&mut session.socket.inbox) };
            match packet {
                Ok(Some(packet)) => {
                    (session.seq, session.moved) = (packet.seq, now);
                    self.packet(id, &packet.body, counters);
                }
                Err(too_large) => {
                    let answer = Answer::to(session.seq).error(1153, b"08S01", &too_large.to_string());
                    session.socket.put(&answer);
                    session.phase = Phase::Closing;
                    session.moved = now;
                }
                Ok(None) => {
                    let more = session.socket.more() && session.socket.inbox.len() < 4 + packets::LARGEST;
                    if !more {
                        break;
                    }
                    if session.socket.refill(4 + packets::LARGEST).is_err() {
                        return self.end(id, counters);
                    }
                }
            }
        }
        self.settle(now, id, counters);
    }

    /// Writes what is to be written, and closes what has said all.
    fn settle(&mut self, now: Moment, id: u32, counters: &mut Counters) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
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

    fn packet(&mut self, id: u32, body: &[u8], counters: &mut Counters) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let answer = Answer::to(session.seq);
        if session.phase == Phase::Login {
            match packets::login(body) {
                Ok(()) => {
                    session.phase = Phase::Open;
                    session.socket.put(&answer.ok());
                }
                Err((code, state, text)) => {
                    counters.logins_denied += 1;
                    session.phase = Phase::Closing;
                    session.socket.put(&answer.error(code, state, text));
                }
            }
            return;
        }
        match packets::command(body) {
            Command::Quit => session.phase = Phase::Closing,
            Command::Ping | Command::Fine => session.socket.put(&answer.ok()),
            Command::Unknown => session.socket.put(&answer.error(1047, b"08S01", "Unknown command")),
            Command::Query(text) => match packets::query(text) {
                Query::Fine => session.socket.put(&answer.ok()),
                Query::Variable(name) => {
                    let largest = packets::LARGEST.to_string();
                    let known = name.eq_ignore_ascii_case("@@max_allowed_packet");
                    let value = if known { largest.as_bytes() } else { b"" };
                    session.socket.put(&answer.value(name, value));
                }
                Query::Kill { connection, whole } => {
                    session.asked = true;
                    self.news.push(News::Kill { by: id, session: connection, whole });
                }
                Query::Statement => {
                    session.asked = true;
                    let text = Bytes::copy_from_slice(text);
                    self.news.push(News::Asked { session: id, text });
                }
            },
        }
    }

    /// The statement that a session's query became.
    pub fn took(&mut self, id: u32, statement: StatementId) {
        self.sessions.get_mut(&id).into_iter().for_each(|session| session.statement = Some(statement));
    }

    /// Gives a session its one answer, and reads on behind it. False: nobody waits for it any more.
    pub fn answer(
        &mut self,
        now: Moment,
        id: u32,
        counters: &mut Counters,
        answer: impl FnOnce(Answer) -> BytesMut,
    ) -> bool {
        let Some(session) = self.sessions.get_mut(&id).filter(|session| session.asked) else { return false };
        session.socket.put(&answer(Answer::to(session.seq)));
        (session.asked, session.statement, session.moved) = (false, None, now);
        self.work(now, id, counters);
        true
    }

    /// The statement that another session wants ended. `whole`: its session too.
    pub fn kill(
        &mut self,
        now: Moment,
        id: u32,
        whole: bool,
        counters: &mut Counters,
    ) -> Option<Option<StatementId>> {
        let statement = self.sessions.get(&id)?.statement;
        if statement.is_some() {
            let interrupted =
                |answer: Answer| answer.error(1317, b"70100", "Query execution was interrupted");
            self.answer(now, id, counters, interrupted);
        }
        if whole {
            self.end(id, counters);
        }
        Some(statement)
    }

    fn end(&mut self, id: u32, counters: &mut Counters) {
        let Some(session) = self.sessions.remove(&id) else { return };
        counters.sessions_closed += 1;
        self.news.extend(session.statement.map(News::Left));
    }

    pub fn next_due(&self) -> Option<Moment> {
        (!self.sessions.is_empty()).then_some(self.sweep)
    }

    pub fn expire(&mut self, now: Moment, counters: &mut Counters) {
        if now < self.sweep {
            return;
        }
        self.sweep = now + Span::from_secs(SWEEP_S);
        let over = |s: &Session| {
            let still = (now - s.moved).secs();
            match s.phase {
                Phase::Login => still > LOGIN_S,
                Phase::Closing => still > LINGER_S,
                Phase::Open if s.socket.unwritten() > 0 => still > STUCK_S,
                Phase::Open => !s.asked && still > IDLE_S,
            }
        };
        let over: Vec<u32> = self.sessions.iter().filter(|(_, s)| over(s)).map(|(id, _)| *id).collect();
        over.into_iter().for_each(|id| self.end(id, counters));
    }
}
