//! What sessions report to the gateway, and what it asks of them by value.

use std::net::IpAddr;
use std::rc::Rc;

use admission::interface::{StatementId, Timestamp};
use bytes::Bytes;

use super::protocol::KillScope;

/// A session, by the connection id that its client was greeted with; never zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u32);

/// What a token is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenPurpose {
    /// The session's login.
    Login,
    /// A session that is logged in goes on with it.
    Renewal,
}

/// What a session wants of the gateway. It gets a response to each but [`SessionEvent::StatementAbandoned`].
pub enum SessionEvent {
    /// A statement is to be run.
    Statement {
        /// Whose it is.
        session: SessionId,
        /// The query's text, its comment included.
        text: Bytes,
        /// Where the client is.
        client_ip: IpAddr,
        /// When it had come: earlier than now where it stood behind another statement.
        received: Timestamp,
    },
    /// A token is to be checked.
    Token {
        /// Whose it is.
        session: SessionId,
        /// The token as it came.
        token: Rc<str>,
        /// What it is for.
        purpose: TokenPurpose,
    },
    /// `SHOW QUEUE`: what waits.
    ShowQueue {
        /// Who asks.
        session: SessionId,
        /// The query's text, for a gateway that has nothing to show.
        text: Bytes,
        /// The statement of this id; none: all that waits.
        request_id: Option<String>,
    },
    /// `SHOW FLEET`: the other gateways.
    ShowFleet {
        /// Who asks.
        session: SessionId,
        /// The query's text, for a gateway that has nothing to show.
        text: Bytes,
    },
    /// `SHOW SHARES`: the quotas of all gateways.
    ShowShares {
        /// Who asks.
        session: SessionId,
        /// The query's text, for a gateway that has nothing to show.
        text: Bytes,
    },
    /// `KILL`: another session is to be ended, or its statement.
    Kill {
        /// Who asks.
        requester: SessionId,
        /// Which session.
        target: SessionId,
        /// What of it ends.
        scope: KillScope,
    },
    /// The session of this statement is gone; no response can reach its client.
    StatementAbandoned(StatementId),
}

/// What [`super::Sessions::kill`] found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KillOutcome {
    /// There is no such session.
    UnknownSession,
    /// The session has no statement in hand.
    NoStatement,
    /// This statement has got its response, and is to be given up.
    Interrupted(StatementId),
}

/// The end of what a client sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientEnd {
    /// The time of the turn in which it was seen.
    pub detected: Timestamp,
    /// When it had come to this machine: long before where the gateway stood still, or where the connection waited to be
    /// accepted.
    pub arrived: Timestamp,
}

/// A statement whose client sends no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disconnection {
    /// The statement.
    pub statement: StatementId,
    /// The client's end.
    pub end: ClientEnd,
}

/// A statement whose client takes progress reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgressSubscriber {
    /// The client's session.
    pub session: SessionId,
    /// The statement that it waits for.
    pub statement: StatementId,
}
