//! HTTP/1.1 codec of the discovery service: a poll's request, and its response off a connection's inbox.

use std::net::SocketAddr;

use bytes::BytesMut;
use thiserror::Error;

use super::endpoints::{EndpointListError, EventBatch};

/// Network fact: the largest response that a list of engines has reason to fill, in bytes, head and body each.
pub const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Most header lines that a response may have.
const MAX_HEADERS: usize = 32;

const STATUS_OK: u16 = 200;

/// The line end behind each chunk's data.
const CHUNK_END_BYTES: usize = 2;

/// Whether more may come on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InputState {
    /// The peer may send more.
    Open,
    /// The peer has ended its direction.
    Ended,
}

/// Whether the connection carries another request after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// It does.
    KeepAlive,
    /// The service closes it.
    Close,
}

/// What the inbox holds of a response.
#[derive(Debug, PartialEq)]
pub enum PollResponse {
    /// Not all of it has come.
    Incomplete,
    /// A whole response, which is taken off the inbox.
    Complete {
        /// Its events.
        batch: EventBatch,
        /// Whether the connection carries another request.
        reuse: ConnectionReuse,
    },
}

/// Why a response cannot be used.
#[derive(Debug, Error)]
pub enum ResponseError {
    /// No end of the head within [`MAX_RESPONSE_BYTES`].
    #[error("a head without an end")]
    UnendedHead,
    /// The head is not HTTP.
    #[error(transparent)]
    Head(#[from] httparse::Error),
    /// Another status than 200.
    #[error("status {0:?}")]
    Status(Option<u16>),
    /// A chunk that cannot be read, that is too large or not ended.
    #[error("an invalid chunk")]
    Chunk,
    /// The body's length is no number, or is more than [`MAX_RESPONSE_BYTES`].
    #[error("an invalid length, or one too large")]
    Length,
    /// The body is no JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The body has no events in it.
    #[error(transparent)]
    Events(#[from] EndpointListError),
}

/// A long poll for the events after `since_revision`, which the service may hold open for `linger_ms`.
#[must_use]
pub fn poll_request(since_revision: u64, linger_ms: u64, host: SocketAddr) -> String {
    format!(
        "GET /board/poll?watch={since_revision}&linger={linger_ms} HTTP/1.1\r\nHost: {host}\r\n\r\n"
    )
}

/// Takes a whole response off the inbox; until it is all there the inbox stays as it is.
///
/// # Errors
///
/// Bytes that are no response, a status other than 200, a body that holds no events, or more than
/// [`MAX_RESPONSE_BYTES`]. The inbox is of no further use then.
pub fn take_response(
    inbox: &mut BytesMut,
    input: InputState,
) -> Result<PollResponse, ResponseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let head_bytes = match head.parse(inbox)? {
        httparse::Status::Complete(head_bytes) => head_bytes,
        httparse::Status::Partial if inbox.len() >= MAX_RESPONSE_BYTES => {
            return Err(ResponseError::UnendedHead);
        }
        httparse::Status::Partial => return Ok(PollResponse::Incomplete),
    };
    if head.code != Some(STATUS_OK) {
        return Err(ResponseError::Status(head.code));
    }
    let reuse = connection_reuse(&head);
    let framing = Framing::from_head(&head)?;
    let Some(body) = framing.take_body(&inbox[head_bytes..], inbox.len(), input)? else {
        return Ok(PollResponse::Incomplete);
    };
    let _ = inbox.split_to(head_bytes + body.encoded_bytes);
    let json = serde_json::from_slice(&body.content)?;
    let batch = EventBatch::from_json(&json)?;
    Ok(PollResponse::Complete { batch, reuse })
}

/// The value of the first header of this name, where it is text.
fn header<'h>(head: &httparse::Response<'_, 'h>, name: &str) -> Option<&'h str> {
    let header = head
        .headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(header.value).ok().map(str::trim)
}

fn connection_reuse(head: &httparse::Response<'_, '_>) -> ConnectionReuse {
    match header(head, "connection") {
        Some(value) if value.eq_ignore_ascii_case("close") => ConnectionReuse::Close,
        _ => ConnectionReuse::KeepAlive,
    }
}

/// What tells where the body ends.
enum Framing {
    /// Its last chunk.
    Chunked,
    /// Its length in bytes.
    ContentLength(usize),
    /// The end of the connection.
    UntilClose,
}

/// A body that is all there.
struct Body {
    content: Vec<u8>,
    /// Its bytes on the connection, chunk sizes among them.
    encoded_bytes: usize,
}

impl Framing {
    fn from_head(head: &httparse::Response<'_, '_>) -> Result<Self, ResponseError> {
        let is_chunked = header(head, "transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        if is_chunked {
            return Ok(Framing::Chunked);
        }
        match header(head, "content-length").map(str::parse::<usize>) {
            Some(Ok(length)) if length <= MAX_RESPONSE_BYTES => Ok(Framing::ContentLength(length)),
            Some(_) => Err(ResponseError::Length),
            None => Ok(Framing::UntilClose),
        }
    }

    /// The body at the front of `rest`, which is what follows the head; none while more of it has to come.
    fn take_body(
        &self,
        rest: &[u8],
        inbox_bytes: usize,
        input: InputState,
    ) -> Result<Option<Body>, ResponseError> {
        let may_grow = inbox_bytes < MAX_RESPONSE_BYTES;
        match *self {
            Framing::Chunked => match join_chunks(rest) {
                Ok(Some(body)) => Ok(Some(body)),
                Ok(None) if may_grow && input == InputState::Open => Ok(None),
                Ok(None) | Err(_) => Err(ResponseError::Chunk),
            },
            Framing::ContentLength(length) => Ok(rest.get(..length).map(|content| Body {
                content: content.to_vec(),
                encoded_bytes: length,
            })),
            Framing::UntilClose if input == InputState::Ended => Ok(Some(Body {
                content: rest.to_vec(),
                encoded_bytes: rest.len(),
            })),
            Framing::UntilClose if may_grow => Ok(None),
            Framing::UntilClose => Err(ResponseError::Length),
        }
    }
}

/// Joins the chunks of a body; none while the last one has not come.
fn join_chunks(encoded: &[u8]) -> Result<Option<Body>, httparse::InvalidChunkSize> {
    let mut content = Vec::new();
    let mut position = 0;
    loop {
        let size_line = httparse::parse_chunk_size(&encoded[position..])?;
        let httparse::Status::Complete((size_line_bytes, size)) = size_line else {
            return Ok(None);
        };
        let size = usize::try_from(size).map_err(|_| httparse::InvalidChunkSize)?;
        let start = position + size_line_bytes;
        let end = start
            .checked_add(size)
            .and_then(|end| end.checked_add(CHUNK_END_BYTES));
        let Some(chunk) = end.and_then(|end| encoded.get(start..end)) else {
            return if size > MAX_RESPONSE_BYTES {
                Err(httparse::InvalidChunkSize)
            } else {
                Ok(None)
            };
        };
        position = start + chunk.len();
        if size == 0 {
            return Ok(Some(Body {
                content,
                encoded_bytes: position,
            }));
        }
        content.extend_from_slice(&chunk[..size]);
    }
}
