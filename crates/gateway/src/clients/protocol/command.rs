//! Parses the commands of logged-in clients, and the queries that the gateway answers itself.

use super::handshake::DATABASE;

/// The user variable that a client sets to renew its token.
const TOKEN_VARIABLE: &str = "@laurelhitch_token";

/// The first keywords of queries with which ordinary clients set up sessions and transactions.
const SETUP_KEYWORDS: [&str; 6] = ["set", "use", "begin", "commit", "rollback", "start"];

/// A command packet.
#[derive(Debug, PartialEq, Eq)]
pub enum Command<'a> {
    /// The client ends the session.
    Quit,
    /// The client checks whether the session is alive.
    Ping,
    /// A command that is acknowledged without effect. Selecting the only database changes nothing,
    /// and a session has neither options to set nor state to reset.
    NoOperation,
    /// A query with this text.
    Query(&'a [u8]),
    /// A command that the gateway does not support.
    Unknown,
}

impl<'a> Command<'a> {
    /// Parses the body of a command packet.
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

/// What a `KILL` command ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KillScope {
    /// The pending statement of the session.
    Query,
    /// The session, including its pending statement.
    Connection,
}

/// A query, classified by who answers it and how.
#[derive(Debug, PartialEq, Eq)]
pub enum Query<'a> {
    /// A statement for the engines. Any text that is none of the other forms counts as one.
    Statement,
    /// `SET @laurelhitch_token = '...'`: renew the session's token with this one.
    SetToken(&'a str),
    /// `KILL`: close another session or end its statement.
    Kill {
        /// The connection id of the other session.
        connection_id: u32,
        /// Whether to close the session or only to end its statement.
        scope: KillScope,
    },
    /// `SHOW QUEUE`: list everything that is waiting, or with `FOR`, the statement with this
    /// request id.
    ShowQueue(Option<&'a str>),
    /// `SHOW FLEET`: list the other gateways.
    ShowFleet,
    /// `SHOW SHARES`: list the quotas of all gateways.
    ShowShares,
    /// A query that ordinary clients set up sessions and transactions with, such as `SET` or
    /// `BEGIN`. It is acknowledged without effect.
    NoOperation,
    /// `SELECT @@name`: read the system variable of this name, which includes the `@@`.
    SystemVariable(&'a str),
}

/// The first four words of a query. Words that the query does not have are empty.
#[derive(Clone, Copy)]
struct Words<'a> {
    first: &'a str,
    second: &'a str,
    third: &'a str,
    fourth: &'a str,
}

impl<'a> Query<'a> {
    /// Classifies a query by its first words.
    #[must_use]
    pub fn parse(text: &'a [u8]) -> Self {
        let Ok(text) = std::str::from_utf8(text) else {
            return Query::Statement;
        };
        let words = Words::split(text);
        let first_is = |keyword: &&str| is_keyword(words.first, keyword);
        if first_is(&"kill") {
            return words.parse_kill();
        }
        if first_is(&"show") {
            return words.parse_show();
        }
        if first_is(&"select") {
            return words.parse_select();
        }
        if first_is(&"set") && is_keyword(words.second, TOKEN_VARIABLE) && words.third == "=" {
            return unquote(words.fourth).map_or(Query::Statement, Query::SetToken);
        }
        if SETUP_KEYWORDS.iter().any(first_is) {
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

    /// Parses `KILL 7`, `KILL CONNECTION 7` or `KILL QUERY 7`.
    fn parse_kill(self) -> Query<'a> {
        let (scope, connection_id) = if is_keyword(self.second, "query") {
            (KillScope::Query, self.third)
        } else if is_keyword(self.second, "connection") {
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

    /// Parses `SHOW FLEET`, `SHOW SHARES`, `SHOW QUEUE` or `SHOW QUEUE FOR 'id'`.
    fn parse_show(self) -> Query<'a> {
        let has_no_more_words = self.third.is_empty();
        if is_keyword(self.second, "fleet") && has_no_more_words {
            return Query::ShowFleet;
        }
        if is_keyword(self.second, "shares") && has_no_more_words {
            return Query::ShowShares;
        }
        if is_keyword(self.second, "queue") && has_no_more_words {
            return Query::ShowQueue(None);
        }
        if is_keyword(self.second, "queue") && is_keyword(self.third, "for") {
            let id = unquote(self.fourth);
            return id.map_or(Query::Statement, |id| Query::ShowQueue(Some(id)));
        }
        Query::Statement
    }

    /// Parses `SELECT @@name`, optionally with a `LIMIT`.
    fn parse_select(self) -> Query<'a> {
        let has_limit = is_keyword(self.third, "limit") && !self.fourth.is_empty();
        let has_no_more_words = self.third.is_empty() || has_limit;
        if self.second.starts_with("@@") && has_no_more_words {
            Query::SystemVariable(self.second)
        } else {
            Query::Statement
        }
    }
}

fn is_keyword(word: &str, keyword: &str) -> bool {
    word.eq_ignore_ascii_case(keyword)
}

/// The text between single quotes, or `None` if the word is not quoted.
fn unquote(word: &str) -> Option<&str> {
    word.strip_prefix('\'')?.strip_suffix('\'')
}
