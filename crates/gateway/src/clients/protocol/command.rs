//! What clients ask once they are logged in: commands, and the queries that the gateway itself answers.

use super::handshake::DATABASE;

/// The variable of a session that takes its next token.
const TOKEN_VARIABLE: &str = "@laurelhitch_token";

/// Ordinary clients set up their sessions with these.
const SET_UP_KEYWORDS: [&str; 6] = ["set", "use", "begin", "commit", "rollback", "start"];

/// A command packet.
#[derive(Debug, PartialEq, Eq)]
pub enum Command<'a> {
    /// The client ends the session.
    Quit,
    /// The client wants to know whether the session stands.
    Ping,
    /// Nothing is to be done: the database is the one there is, and a session has no state to reset.
    NoOperation,
    /// A query, with its text.
    Query(&'a [u8]),
    /// None that is served here.
    Unknown,
}

impl<'a> Command<'a> {
    /// Reads a packet's body.
    #[must_use]
    pub fn parse(body: &'a [u8]) -> Self {
        match body {
            [0x01, ..] => Command::Quit,
            [0x02, database @ ..] if database == DATABASE => Command::NoOperation,
            [0x03, text @ ..] => Command::Query(text),
            [0x0e, ..] => Command::Ping,
            // COM_SET_OPTION and COM_RESET_CONNECTION.
            [0x1b, _, _] | [0x1f, ..] => Command::NoOperation,
            _ => Command::Unknown,
        }
    }
}

/// What a `KILL` ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KillScope {
    /// The session's statement.
    Query,
    /// The session, and its statement with it.
    Connection,
}

/// What a query's text asks for.
#[derive(Debug, PartialEq, Eq)]
pub enum Query<'a> {
    /// A statement for the engines; also whatever cannot be read here.
    Statement,
    /// `SET @laurelhitch_token = '...'`: the session's next token.
    SetToken(&'a str),
    /// `KILL`: ends another session, or its statement.
    Kill {
        /// The number of that session.
        connection_id: u32,
        /// What of it ends.
        scope: KillScope,
    },
    /// `SHOW QUEUE`: what waits, all of it or `FOR` the statement of this id.
    ShowQueue(Option<&'a str>),
    /// `SHOW FLEET`: the other gateways.
    ShowFleet,
    /// `SHOW SHARES`: the quotas of all gateways.
    ShowShares,
    /// Part of an ordinary client's set-up, `SET` and the like; nothing is to be done.
    NoOperation,
    /// `SELECT @@name`, with its name.
    SystemVariable(&'a str),
}

/// The words that a query begins with; an empty one where it has fewer.
#[derive(Clone, Copy)]
struct Words<'a> {
    first: &'a str,
    second: &'a str,
    third: &'a str,
    fourth: &'a str,
}

impl<'a> Query<'a> {
    /// Reads a query's text, as far as the gateway itself may answer it.
    #[must_use]
    pub fn parse(text: &'a [u8]) -> Self {
        let Ok(text) = std::str::from_utf8(text) else {
            return Query::Statement;
        };
        let words = Words::split(text);
        let first_is = |keyword: &&str| is(words.first, keyword);
        if first_is(&"kill") {
            return words.kill();
        }
        if first_is(&"show") {
            return words.show();
        }
        if first_is(&"select") {
            return words.select();
        }
        if first_is(&"set") && is(words.second, TOKEN_VARIABLE) && words.third == "=" {
            return unquote(words.fourth).map_or(Query::Statement, Query::SetToken);
        }
        if SET_UP_KEYWORDS.iter().any(first_is) {
            return Query::NoOperation;
        }
        Query::Statement
    }
}

impl<'a> Words<'a> {
    fn split(text: &'a str) -> Self {
        let text = text.trim().trim_end_matches(';').trim_end();
        let mut words = text.split_ascii_whitespace();
        let mut next = || words.next().unwrap_or("");
        Words {
            first: next(),
            second: next(),
            third: next(),
            fourth: next(),
        }
    }

    /// `KILL 7`, `KILL CONNECTION 7` or `KILL QUERY 7`.
    fn kill(self) -> Query<'a> {
        let (scope, connection_id) = if is(self.second, "query") {
            (KillScope::Query, self.third)
        } else if is(self.second, "connection") {
            (KillScope::Connection, self.third)
        } else {
            (KillScope::Connection, self.second)
        };
        match connection_id.parse() {
            Ok(connection_id) => Query::Kill {
                connection_id,
                scope,
            },
            Err(_) => Query::Statement,
        }
    }

    /// `SHOW FLEET`, `SHOW SHARES`, `SHOW QUEUE` or `SHOW QUEUE FOR 'id'`.
    fn show(self) -> Query<'a> {
        let ends_here = self.third.is_empty();
        if is(self.second, "fleet") && ends_here {
            return Query::ShowFleet;
        }
        if is(self.second, "shares") && ends_here {
            return Query::ShowShares;
        }
        if is(self.second, "queue") && ends_here {
            return Query::ShowQueue(None);
        }
        if is(self.second, "queue") && is(self.third, "for") {
            let id = unquote(self.fourth);
            return id.map_or(Query::Statement, |id| Query::ShowQueue(Some(id)));
        }
        Query::Statement
    }

    /// `SELECT @@name`, maybe with a limit.
    fn select(self) -> Query<'a> {
        let has_limit = is(self.third, "limit") && !self.fourth.is_empty();
        let ends_here = self.third.is_empty() || has_limit;
        if self.second.starts_with("@@") && ends_here {
            Query::SystemVariable(self.second)
        } else {
            Query::Statement
        }
    }
}

fn is(word: &str, keyword: &str) -> bool {
    word.eq_ignore_ascii_case(keyword)
}

/// What stands between two single quotes.
fn unquote(word: &str) -> Option<&str> {
    word.strip_prefix('\'')?.strip_suffix('\'')
}
