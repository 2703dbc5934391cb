//! Why a statement is answered with an error before any decision.

use admission::interface::TimeDelta;
use identity::{AuthorizationError, TokenRejection};
use thiserror::Error;

use super::endings::rejection_text;
use crate::clients::comment::CommentError;
use crate::clients::protocol::ErrorCode;

/// A statement that is invalid or not allowed: nothing of it reaches an engine.
#[derive(Debug, Error)]
pub(super) enum StatementError {
    /// Its comment cannot be read.
    #[error(transparent)]
    Comment(#[from] CommentError),
    /// The settings have no such query class.
    #[error("unknown method")]
    UnknownClass,
    /// The settings have no such tenant.
    #[error("unknown acct")]
    UnknownTenant,
    /// Another statement with its request id is open.
    #[error("rid of a statement that is still open")]
    DuplicateRequestId,
    /// As many statements are open as the settings allow.
    #[error("too many statements open")]
    TooManyOpen,
    /// The caller's grant does not cover it.
    #[error("not granted: {0}")]
    NotGranted(AuthorizationError),
    /// Callers are authenticated, and the session has no token.
    #[error("no token")]
    NoToken,
    /// The session's token is not accepted any more.
    #[error("{0}")]
    TokenRejected(TokenRejection),
    /// The session's token may be accepted after this time: its key is still arriving here.
    #[error("{}", rejection_text(Some(*.0)))]
    RetryLater(TimeDelta),
}

impl StatementError {
    /// The MySQL error that the client gets, beside the text that this error displays.
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
