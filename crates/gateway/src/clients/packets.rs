//! The MySQL client protocol 4.1, the server's side: packets in, packets out.

use bytes::BytesMut;
use mysql_common::constants::{CapabilityFlags, ColumnType, StatusFlags};
use mysql_common::io::ParseBuf;
use mysql_common::misc::raw::{RawBytes, bytes::LenEnc};
use mysql_common::packets::{
    Column, ErrPacket, HandshakePacket, HandshakeResponse, ServerError, SqlState,
};
use mysql_common::proto::codec::{ChunkDecoder, ChunkInfo, packet_to_chunks};
use mysql_common::proto::{MyDeserialize, MySerialize};
use thiserror::Error;

/// Network fact: the largest packet a client of this protocol has reason to send.
pub const LARGEST: usize = 64 << 10;
/// Accounts are checked by user and database alone: the protocol has an empty password.
const USER: &[u8] = b"app";
const DATABASE: &[u8] = b"warehouse";
const UTF8: u8 = 33;

#[derive(Debug, Error, PartialEq, Eq)]
#[error("a packet of over {LARGEST} bytes")]
pub struct TooLarge;

pub struct Packet {
    pub seq: u8,
    pub body: BytesMut,
}

/// Takes one whole packet off the front, if it is all there; until then the front stays as it is.
pub fn take(from: &mut BytesMut) -> Result<Option<Packet>, TooLarge> {
    let mut body = BytesMut::new();
    match ChunkDecoder::default().decode(from, &mut body, LARGEST) {
        Ok(Some(ChunkInfo::Middle(seq) | ChunkInfo::Last(seq))) => Ok(Some(Packet { seq, body })),
        Ok(None) => Ok(None),
        Err(_) => Err(TooLarge),
    }
}

/// Whether `take` would bring something now.
pub fn waiting(from: &[u8]) -> bool {
    let Some(head) = from.get(..4) else {
        return false;
    };
    let length = u32::from_le_bytes([head[0], head[1], head[2], 0]) as usize;
    length > LARGEST || from.len() >= 4 + length
}

/// Packets of one answer, numbered on from the question's.
pub struct Answer {
    seq: u8,
    bytes: BytesMut,
    packet: Vec<u8>,
}

impl Answer {
    pub fn to(seq: u8) -> Self {
        Answer {
            seq: seq.wrapping_add(1),
            bytes: BytesMut::new(),
            packet: Vec::new(),
        }
    }

    fn packet(&mut self, write: impl FnOnce(&mut Vec<u8>)) {
        self.packet.clear();
        write(&mut self.packet);
        self.seq = packet_to_chunks(self.seq, &mut &self.packet[..], &mut self.bytes);
    }

    pub fn ok(mut self) -> BytesMut {
        // No rows changed, no id; autocommit; no warnings.
        self.packet(|out| out.extend([0, 0, 0, 2, 0, 0, 0]));
        self.bytes
    }

    /// A MariaDB progress report, ahead of the answer: the stage of so many, and thousandths of a percent of it.
    pub fn progress(mut self, (stage, stages): (u8, u8), done: u32, text: &str) -> (u8, BytesMut) {
        self.packet(|out| {
            out.extend([0xff, 0xff, 0xff, 1, stage, stages]);
            out.extend(&done.min(100_000).to_le_bytes()[..3]);
            RawBytes::<LenEnc>::new(text.as_bytes()).serialize(out);
        });
        (self.seq.wrapping_sub(1), self.bytes)
    }

    /// Columns by name, and rows of text.
    pub fn table<const N: usize>(mut self, names: [&str; N], rows: &[[String; N]]) -> BytesMut {
        self.columns(&names);
        rows.iter()
            .for_each(|row| self.row(row.iter().map(String::as_bytes)));
        self.eof();
        self.bytes
    }

    pub fn error(mut self, code: u16, state: &[u8; 5], text: &str) -> BytesMut {
        let error = ServerError::new(code, Some(SqlState::new(*state)), text.as_bytes());
        self.packet(|out| ErrPacket::Error(error).serialize(out));
        self.bytes
    }

    fn eof(&mut self) {
        self.packet(|out| out.extend([0xfe, 0, 0, 2, 0]));
    }

    fn columns(&mut self, names: &[&str]) {
        self.packet(|out| out.push(names.len() as u8));
        for name in names {
            let column = Column::new(ColumnType::MYSQL_TYPE_VAR_STRING).with_name(name.as_bytes());
            let column = column
                .with_character_set(UTF8.into())
                .with_column_length(1 << 16);
            self.packet(|out| column.serialize(out));
        }
        self.eof();
    }

    fn row<'a>(&mut self, values: impl Iterator<Item = &'a [u8]>) {
        self.packet(|out| values.for_each(|value| RawBytes::<LenEnc>::new(value).serialize(out)));
    }

    /// A result of whole rows as the engine's pages hold them: a tab between columns, a line feed after each.
    pub fn result<'a>(mut self, pages: impl Iterator<Item = &'a [u8]>) -> BytesMut {
        self.columns(&["c1", "c2", "c3"]);
        for page in pages {
            for row in page.split_inclusive(|byte| *byte == b'\n') {
                let row = row.strip_suffix(b"\n").unwrap_or(row);
                self.row(row.split(|byte| *byte == b'\t'));
            }
        }
        self.eof();
        self.bytes
    }

    /// What a client's own set-up asks: one value, or none of our concern.
    pub fn value(mut self, name: &str, value: &[u8]) -> BytesMut {
        self.columns(&[name]);
        self.row([value].into_iter());
        self.eof();
        self.bytes
    }
}

fn offered() -> CapabilityFlags {
    CapabilityFlags::CLIENT_LONG_PASSWORD
        | CapabilityFlags::CLIENT_LONG_FLAG
        | CapabilityFlags::CLIENT_CONNECT_WITH_DB
        | CapabilityFlags::CLIENT_PROTOCOL_41
        | CapabilityFlags::CLIENT_TRANSACTIONS
        | CapabilityFlags::CLIENT_SECURE_CONNECTION
        | CapabilityFlags::CLIENT_PLUGIN_AUTH
}

/// Of MariaDB's capabilities beyond the thirty-two: its clients take progress reports.
const PROGRESS: u32 = 1;

/// `progress`: progress reports are offered, in MariaDB's form: without the capability that marks MySQL's own servers,
/// the last four bytes of what is reserved are further capabilities.
/// `tls`: the client may ask for TLS.
pub fn greeting(connection: u32, progress: bool, tls: bool) -> BytesMut {
    let more = if tls {
        CapabilityFlags::CLIENT_SSL
    } else {
        CapabilityFlags::empty()
    };
    let packet = HandshakePacket::new(
        10,
        &b"8.0.0-laurelhitch"[..],
        connection,
        // No password is ever checked with it.
        *b"laurel--",
        Some(&b"hitch-------\0"[..]),
        offered() | more,
        UTF8,
        StatusFlags::SERVER_STATUS_AUTOCOMMIT,
        Some(&b"mysql_native_password"[..]),
    );
    let mut answer = Answer::to(u8::MAX);
    answer.packet(|out| {
        packet.serialize(out);
        // Version, connection, first part of the scramble and its end stand ahead of the capabilities.
        let lower = out
            .iter()
            .skip(1)
            .position(|byte| *byte == 0)
            .map_or(0, |end| end + 2 + 4 + 8 + 1);
        if progress && out.len() > lower + 18 {
            out[lower] &= !(CapabilityFlags::CLIENT_LONG_PASSWORD.bits() as u8);
            out[lower + 14..lower + 18].copy_from_slice(&PROGRESS.to_le_bytes());
        }
    });
    answer.bytes
}

/// Whether a login announces that progress reports are understood.
pub fn takes_progress(body: &[u8]) -> bool {
    let word = |at: usize| {
        body.get(at..at + 4)
            .map(|word| u32::from_le_bytes([word[0], word[1], word[2], word[3]]))
    };
    let mysql = CapabilityFlags::CLIENT_LONG_PASSWORD.bits();
    word(0).is_some_and(|own| own & mysql == 0) && word(28).is_some_and(|more| more & PROGRESS != 0)
}

/// What a login packet asks for, where callers are to be known.
#[derive(Debug, PartialEq)]
pub enum Hello {
    /// TLS first, and the login again behind it.
    Tls,
    Login,
}

/// Whether a first packet only asks for TLS: it ends before the user's name.
pub fn hello(body: &[u8]) -> Hello {
    let word = body
        .get(..4)
        .map(|word| u32::from_le_bytes([word[0], word[1], word[2], word[3]]));
    let tls = word.is_some_and(|own| own & CapabilityFlags::CLIENT_SSL.bits() != 0);
    if tls && body.len() == 32 {
        Hello::Tls
    } else {
        Hello::Login
    }
}

/// The user that a token is the password of.
pub const TOKEN_USER: &[u8] = b"token";
const CLEAR: &[u8] = b"mysql_clear_password";

impl Answer {
    /// Asks for the password as it is: only ever within TLS.
    pub fn ask_clear(mut self) -> BytesMut {
        self.packet(|out| {
            out.push(0xfe);
            out.extend(CLEAR);
            out.push(0);
        });
        self.bytes
    }
}

/// A login by token: of the right user and database.
pub fn token_login(body: &[u8]) -> Result<(), Denied> {
    login_of(body, TOKEN_USER, false)
}

/// Why a login is turned down, as code, state and text.
pub type Denied = (u16, &'static [u8; 5], &'static str);

pub fn login(body: &[u8]) -> Result<(), Denied> {
    login_of(body, USER, true)
}

/// `empty`: there is no password, and a login with one is wrong.
fn login_of(body: &[u8], user: &[u8], empty: bool) -> Result<(), Denied> {
    let malformed = (1043, b"08S01", "Bad handshake");
    // Only what both sides can do shapes the packet; ordinary clients name more than they were offered.
    let mut body = body.to_vec();
    let offered = offered().bits().to_le_bytes();
    body.iter_mut()
        .zip(offered)
        .for_each(|(theirs, ours)| *theirs &= ours);
    let response =
        HandshakeResponse::deserialize((), &mut ParseBuf(&body)).map_err(|_| malformed)?;
    if !response
        .capabilities()
        .contains(CapabilityFlags::CLIENT_PROTOCOL_41)
    {
        return Err(malformed);
    }
    if response.user() != user || empty && !response.scramble_buf().is_empty() {
        return Err((1045, b"28000", "Access denied"));
    }
    if response
        .db_name()
        .is_some_and(|name| !name.is_empty() && name != DATABASE)
    {
        return Err((1049, b"42000", "Unknown database"));
    }
    Ok(())
}

#[derive(Debug, PartialEq)]
pub enum Command<'a> {
    Quit,
    Ping,
    /// Nothing to do, and done: the database is the one there is, a session has no state to reset.
    Fine,
    Query(&'a [u8]),
    Unknown,
}

pub fn command(body: &[u8]) -> Command<'_> {
    match body {
        [0x01, ..] => Command::Quit,
        [0x02, name @ ..] if name == DATABASE => Command::Fine,
        [0x03, text @ ..] => Command::Query(text),
        [0x0e, ..] => Command::Ping,
        [0x1b, _, _] | [0x1f, ..] => Command::Fine,
        _ => Command::Unknown,
    }
}

#[derive(Debug, PartialEq)]
pub enum Query<'a> {
    Statement,
    /// The session's next token.
    Renew(&'a str),
    Kill {
        connection: u32,
        whole: bool,
    },
    /// What waits: all teams, or the statement of this id.
    Queue(Option<&'a str>),
    /// The other gateways.
    Fleet,
    /// Budgets of all gateways.
    Shares,
    /// Of an ordinary client's set-up: `SET` and the like.
    Fine,
    /// `SELECT @@name`, with its name.
    Variable(&'a str),
}

pub fn query(text: &[u8]) -> Query<'_> {
    let Ok(plain) = std::str::from_utf8(text) else {
        return Query::Statement;
    };
    let plain = plain.trim().trim_end_matches(';').trim_end();
    let mut words = plain.split_ascii_whitespace();
    let mut word = || words.next().unwrap_or("");
    let (first, second, third, more) = (word(), word(), word(), word());
    let is = |word: &str, name: &str| word.eq_ignore_ascii_case(name);
    if is(first, "kill") {
        let whole = !is(second, "query");
        let number = if whole && !is(second, "connection") {
            second
        } else {
            third
        };
        return number
            .parse()
            .map_or(Query::Statement, |connection| Query::Kill {
                connection,
                whole,
            });
    }
    if is(first, "show") && is(second, "fleet") && third.is_empty() {
        return Query::Fleet;
    }
    if is(first, "show") && is(second, "shares") && third.is_empty() {
        return Query::Shares;
    }
    if is(first, "show") && is(second, "queue") {
        let id = more.strip_prefix('\'').and_then(|id| id.strip_suffix('\''));
        match id {
            None if third.is_empty() => return Query::Queue(None),
            Some(id) if is(third, "for") => return Query::Queue(Some(id)),
            _ => {}
        }
    }
    if is(first, "set") && is(second, "@laurelhitch_token") && third == "=" {
        let token = more
            .strip_prefix('\'')
            .and_then(|token| token.strip_suffix('\''));
        return token.map_or(Query::Statement, Query::Renew);
    }
    let plain_words = ["set", "use", "begin", "commit", "rollback", "start"];
    if plain_words.iter().any(|name| is(first, name)) {
        return Query::Fine;
    }
    match second.strip_prefix("@@") {
        Some(_)
            if is(first, "select")
                && (third.is_empty() || is(third, "limit") && !more.is_empty()) =>
        {
            Query::Variable(second)
        }
        _ => Query::Statement,
    }
}
