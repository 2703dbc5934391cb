//! Events that sessions report to the gateway, and the values that pass between the two.

use std::net::IpAddr;
use std::rc::Rc;

use admission::interface::{StatementId, Timestamp};
use bytes::Bytes;

use super::protocol::KillScope;

/// Identifies a session by the connection id in its greeting. The id is never zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u32);

/// Why a client has sent a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenPurpose {
    /// The client logs in with the token.
    Login,
    /// The token replaces the current one of a logged-in session.
    Renewal,
}

/// An event of a session. Every event is a request that the gateway has to answer, except
/// [`SessionEvent::StatementAbandoned`].
pub enum SessionEvent {
    /// The client has sent a statement to run.
    Statement {
        /// The session that the statement came from.
        session: SessionId,
        /// The query's text, including its comment.
        text: Bytes,
        /// The client's IP address.
        client_ip: IpAddr,
        /// When the statement arrived, which is in the past if it was queued behind another
        /// command.
        received: Timestamp,
    },
    /// The client has sent a token to verify.
    Token {
        /// The session that the token came from.
        session: SessionId,
        /// The token as the client sent it.
        token: Rc<str>,
        /// Whether the token is for a login or a renewal.
        purpose: TokenPurpose,
    },
    /// `SHOW QUEUE`: list what is waiting.
    ShowQueue {
        /// The session that asked.
        session: SessionId,
        /// The query's text, handled as a statement if the gateway has no queues.
        text: Bytes,
        /// The request id of the statement to show, or `None` for everything that is waiting.
        request_id: Option<String>,
    },
    /// `SHOW FLEET`: list the other gateways.
    ShowFleet {
        /// The session that asked.
        session: SessionId,
        /// The query's text, handled as a statement if the gateway is not part of a fleet.
        text: Bytes,
    },
    /// `SHOW SHARES`: list the quotas of all gateways.
    ShowShares {
        /// The session that asked.
        session: SessionId,
        /// The query's text, handled as a statement if the gateway shares no quotas.
        text: Bytes,
    },
    /// `KILL`: close another session or end its statement.
    Kill {
        /// The session that sent the command.
        requester: SessionId,
        /// The session to act on.
        target: SessionId,
        /// Whether to close the session or only to end its statement.
        scope: KillScope,
    },
    /// The session of this statement is closed, so no response can reach the client.
    StatementAbandoned(StatementId),
}

impl SessionEvent {
    /// Whether the answer is a table that may have hundreds of rows, which takes much longer than
    /// any other answer.
    pub(super) fn requests_table(&self) -> bool {
        match self {
            SessionEvent::ShowQueue { .. }
            | SessionEvent::ShowFleet { .. }
            | SessionEvent::ShowShares { .. } => true,
            SessionEvent::Statement { .. }
            | SessionEvent::Token { .. }
            | SessionEvent::Kill { .. }
            | SessionEvent::StatementAbandoned(_) => false,
        }
    }
}

/// The result of [`super::Sessions::kill`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KillOutcome {
    /// There is no such session.
    UnknownSession,
    /// The session has no pending statement.
    NoStatement,
    /// This statement has been answered with an error, and the gateway should abandon it.
    Interrupted(StatementId),
}

/// When a client closed its sending direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientEnd {
    /// The time of the turn in which the gateway noticed it.
    pub detected: Timestamp,
    /// When the end of the client's data reached this machine. This is long before `detected` if
    /// the gateway was stalled or the connection waited in the accept backlog.
    pub arrived: Timestamp,
}

/// A pending statement whose client has closed its sending direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disconnection {
    /// The pending statement.
    pub statement: StatementId,
    /// When the client closed its sending direction.
    pub end: ClientEnd,
}

/// A pending statement whose client accepts progress reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgressSubscriber {
    /// The client's session.
    pub session: SessionId,
    /// The statement that the session is waiting for.
    pub statement: StatementId,
}
