//! The errors that a statement is answered with before it reaches the scheduler.

use admission::interface::TimeDelta;
use identity::{AuthorizationError, TokenRejection};
use thiserror::Error;

use super::endings::rejection_text;
use crate::clients::comment::CommentError;
use crate::clients::protocol::ErrorCode;

/// Why a statement is invalid or not allowed. Such a statement is never sent to an engine.
#[derive(Debug, Error)]
pub(super) enum StatementError {
    /// The comment of the statement cannot be parsed.
    #[error(transparent)]
    Comment(#[from] CommentError),
    /// The settings have no such query class.
    #[error("unknown method")]
    UnknownClass,
    /// The settings have no such tenant.
    #[error("unknown acct")]
    UnknownTenant,
    /// Another open statement has the same request id.
    #[error("rid of a statement that is still open")]
    DuplicateRequestId,
    /// The limit on open statements is reached.
    #[error("too many statements open")]
    TooManyOpen,
    /// The caller's grant does not cover the statement.
    #[error("not granted: {0}")]
    NotGranted(AuthorizationError),
    /// Callers are authenticated, but the session has no token.
    #[error("no token")]
    NoToken,
    /// The session's token is no longer accepted.
    #[error("{0}")]
    TokenRejected(TokenRejection),
    /// The session's token cannot be verified yet, because its key has not reached this gateway.
    /// The client may retry after this time.
    #[error("{}", rejection_text(Some(*.0)))]
    RetryLater(TimeDelta),
}

impl StatementError {
    /// Returns the MySQL error code for the client. The error's text is its `Display` output.
    pub(super) fn code(&self) -> ErrorCode {
        match self {
            StatementError::Comment(_)
            | StatementError::UnknownClass
            | StatementError::UnknownTenant
            | StatementError::DuplicateRequestId => ErrorCode::PARSE_ERROR,
            StatementError::TooManyOpen => ErrorCode::TOO_MANY_OPEN,
            StatementError::NotGranted(_) => ErrorCode::NOT_GRANTED,
            StatementError::NoToken | StatementError::TokenRejected(_) => ErrorCode::ACCESS_DENIED,
            StatementError::RetryLater(_) => ErrorCode::LIMIT_REACHED,
        }
    }
}
